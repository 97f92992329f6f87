//! What copies see of zones, joined. Each copy says in bounded numbers what it sees of each zone's replicas; the newest word
//! of each that is not too old makes a matrix, from zone to zone. From that: a zone that is dead, a way between two zones
//! that is cut, a zone cut off from all, and one copy that is itself sick are four different things. Nothing is decided
//! here of where work goes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// Copies of one zone that speak for it: enough that the middle of them stands against two sick ones; what those who
/// decide hear grows with zones, not with copies.
pub const REPORTERS_PER_ZONE: usize = 5;
/// A word is good for so long: some of those who speak so often may be lost.
pub const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(250);
const REPORT_LIFETIME: TimeSpan = TimeSpan::from_millis(1000);
/// Share of the replicas seen that are bad from which a zone is seen as bad, and from which it is seen as well again.
pub const UNHEALTHY_FRACTION: f64 = 0.8;
pub const HEALTHY_FRACTION: f64 = 0.2;
/// A copy that holds this share of all zones but its own for bad, while others of its zone do not, is sick itself.
const MOST: f64 = 0.99;

/// What one copy sees of one zone's replicas, as counts; work in thousandths of a replica's second, each second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCounts {
    pub listed: u16,
    pub answering: u16,
    pub silent: u16,
    pub failing: u16,
    pub saturated: u16,
    pub warming_up: u16,
    /// Parts a second merged there.
    pub answered_parts: u32,
}

impl ReplicaCounts {
    pub fn seen(&self) -> u32 {
        [self.answering, self.silent, self.failing, self.saturated].iter().map(|&n| u32::from(n)).sum()
    }

    /// Share of the replicas seen that give nothing; none where nothing was seen.
    pub fn bad(&self) -> Option<f64> {
        let seen = self.seen();
        (seen > 0).then(|| f64::from(u32::from(self.silent) + u32::from(self.failing)) / f64::from(seen))
    }

    fn share(&self, n: u16) -> f64 {
        f64::from(n) / f64::from(self.seen().max(1))
    }
}

/// A copy's word on all zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Its own zone, by place.
    pub zone: u16,
    /// Grows with each word of one process.
    pub sequence: u64,
    /// By zone, in the operators' order.
    pub replica_counts: Vec<ReplicaCounts>,
    /// Parts a second asked of this copy by clients.
    pub demand: u32,
    /// Copies that it knows of in its zone, itself counted.
    pub nodes: u16,
}

impl EvidenceReport {
    /// Whether it can be one: as many rows as there are zones, counts that do not exceed what is listed by much.
    pub fn is_valid(&self, zones: usize) -> bool {
        usize::from(self.zone) < zones
            && self.replica_counts.len() == zones
            && self.nodes > 0
            && self.replica_counts.iter().all(|r| r.seen() <= u32::from(r.listed) && r.warming_up <= r.listed)
    }
}

struct Held {
    at: Timestamp,
    instance: u64,
    word: EvidenceReport,
}

/// The newest word of each copy that speaks. One entry a speaker, gone when it is too old.
pub struct EvidenceTable {
    zones: usize,
    held: BTreeMap<SocketAddr, Held>,
}

/// What all words of one zone's copies say of one zone: the middle of them, so that one sick copy changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvidenceCell {
    /// Copies whose word counts.
    pub reporters: usize,
    /// Share of replicas seen that give nothing; none where none was seen.
    pub bad: Option<f64>,
    pub saturated: f64,
    pub warming_up: f64,
    pub listed: f64,
    /// Leaves that were seen to be well.
    pub answering: f64,
    /// Parts a second that the zone's copies together had merged there.
    pub answered_parts: f64,
}

/// What there is about one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nobody has seen enough of it.
    Unknown,
    Healthy,
    /// Some of its replicas give nothing: it can carry less.
    Degraded,
    /// It takes work and all of it waits.
    Slow,
    /// Nobody gets anything from its replicas, its own copies, where any speak, no more than others.
    Dead,
    /// No other zone reaches it, and no copy of its own says anything.
    CutOff,
}

impl Finding {
    /// As it is shown to operators and written to logs.
    pub fn name(self) -> &'static str {
        match self {
            Finding::Unknown => "Unknown",
            Finding::Healthy => "Well",
            Finding::Degraded => "Part",
            Finding::Slow => "Slow",
            Finding::Dead => "Dead",
            Finding::CutOff => "CutOff",
        }
    }
}

/// All that was said, joined.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EvidenceMatrix {
    /// `[from][to]`.
    pub cells: Vec<Vec<EvidenceCell>>,
    /// Parts a second asked by the clients of each zone, over all its copies.
    pub demand: Vec<f64>,
    /// Copies whose word differs from all others of their zone in what they reach.
    pub sick: Vec<SocketAddr>,
}

impl EvidenceTable {
    pub fn new(zones: usize) -> EvidenceTable {
        EvidenceTable { zones, held: BTreeMap::new() }
    }

    /// Takes a copy's word; whether it could be used.
    pub fn record(&mut self, now: Timestamp, from: SocketAddr, instance: u64, word: EvidenceReport) -> bool {
        if !word.is_valid(self.zones) {
            return false;
        }
        // Guards against words that overtook each other.
        if self.held.get(&from).is_some_and(|h| h.instance == instance && h.word.sequence >= word.sequence) {
            return true;
        }
        // Speakers are few; a peer that floods addresses is not let fill the memory.
        if self.held.len() >= self.zones * REPORTERS_PER_ZONE * 4 && !self.held.contains_key(&from) {
            return false;
        }
        self.held.insert(from, Held { at: now, instance, word });
        true
    }

    pub fn matrix(&mut self, now: Timestamp) -> EvidenceMatrix {
        self.held.retain(|_, h| now - h.at <= REPORT_LIFETIME);
        let mut matrix = EvidenceMatrix {
            cells: vec![vec![EvidenceCell::default(); self.zones]; self.zones],
            demand: vec![0.0; self.zones],
            sick: Vec::new(),
        };
        for from in 0..self.zones {
            let all: Vec<(SocketAddr, &EvidenceReport)> =
                self.held.iter().map(|(a, h)| (*a, &h.word)).collect();
            let mut words: Vec<(SocketAddr, &EvidenceReport)> =
                all.into_iter().filter(|(_, w)| usize::from(w.zone) == from).collect();
            let others_reach = words.iter().filter(|(_, w)| !reaches_nobody(w)).count();
            if others_reach * 2 > words.len() {
                matrix.sick.extend(words.iter().filter(|(_, w)| reaches_nobody(w)).map(|(a, _)| *a));
                words.retain(|(_, w)| !reaches_nobody(w));
            }
            let nodes = middle(words.iter().map(|(_, w)| f64::from(w.nodes))).unwrap_or(0.0);
            let each = |sum: f64| if words.is_empty() { 0.0 } else { sum / words.len() as f64 * nodes };
            matrix.demand[from] = each(words.iter().map(|(_, w)| f64::from(w.demand)).sum());
            for to in 0..self.zones {
                let replica_counts = || words.iter().map(|(_, w)| w.replica_counts[to]);
                let sighted = || replica_counts().filter(|r| r.seen() > 0);
                matrix.cells[from][to] = EvidenceCell {
                    reporters: words.len(),
                    bad: middle(sighted().filter_map(|r| r.bad())),
                    saturated: middle(sighted().map(|r| r.share(r.saturated))).unwrap_or(0.0),
                    warming_up: middle(sighted().map(|r| r.share(r.warming_up))).unwrap_or(0.0),
                    listed: middle(replica_counts().map(|r| f64::from(r.listed))).unwrap_or(0.0),
                    answering: middle(
                        replica_counts().map(|r| f64::from(r.answering) + f64::from(r.saturated)),
                    )
                    .unwrap_or(0.0),
                    answered_parts: each(replica_counts().map(|r| f64::from(r.answered_parts)).sum()),
                };
            }
        }
        matrix
    }
}

/// It gets nothing from any zone, its own among them.
fn reaches_nobody(word: &EvidenceReport) -> bool {
    let mut seen = word.replica_counts.iter().filter_map(ReplicaCounts::bad).peekable();
    seen.peek().is_some() && seen.all(|bad| bad >= MOST)
}

fn middle(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    // Of an even number the lower: it takes more than half of the copies to call a zone bad.
    values.get(values.len().checked_sub(1)? / 2).copied()
}

impl EvidenceMatrix {
    pub fn zones(&self) -> usize {
        self.cells.len()
    }

    /// Whether copies of that zone get nothing from the other.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cells[from][to].bad.is_some_and(|bad| bad >= UNHEALTHY_FRACTION)
    }

    /// What there is about one zone. A zone whose own copies do not speak is judged by the others alone, one that only
    /// itself sees by itself.
    pub fn finding(&self, zone: usize) -> Finding {
        let seen =
            |from: &usize| self.cells[*from][zone].bad.map(|bad| (bad, self.cells[*from][zone].saturated));
        let others: Vec<(f64, f64)> =
            (0..self.zones()).filter(|f| *f != zone).filter_map(|f| seen(&f)).collect();
        let own = seen(&zone);
        let all_others_bad = !others.is_empty() && others.iter().all(|(bad, _)| *bad >= UNHEALTHY_FRACTION);
        match own {
            Some((bad, _)) if bad >= UNHEALTHY_FRACTION && (all_others_bad || others.is_empty()) => {
                Finding::Dead
            }
            // Where its own copies get on with it, only the ways there are cut: it goes on for its own clients.
            None if all_others_bad => Finding::CutOff,
            None if others.is_empty() => Finding::Unknown,
            _ => {
                // By those who reach it: a way that is cut says nothing of the zone.
                let reach: Vec<(f64, f64)> =
                    others.into_iter().chain(own).filter(|(bad, _)| *bad < UNHEALTHY_FRACTION).collect();
                let bad = middle(reach.iter().map(|r| r.0)).unwrap_or(1.0);
                let saturated = middle(reach.iter().map(|r| r.1)).unwrap_or(0.0);
                if saturated >= UNHEALTHY_FRACTION {
                    Finding::Slow
                } else if bad > HEALTHY_FRACTION {
                    Finding::Degraded
                } else {
                    Finding::Healthy
                }
            }
        }
    }

    /// Leaves of a zone that are well, by those who reach most of it.
    pub fn well(&self, zone: usize) -> f64 {
        let reach = (0..self.zones()).filter(|f| !self.is_cut(*f, zone));
        let of = |from: usize| {
            let cell = self.cells[from][zone];
            cell.bad.map_or(0.0, |bad| cell.listed * (1.0 - bad))
        };
        reach.map(of).fold(0.0, f64::max)
    }

    /// Leaves listed there, as most copies have it.
    pub fn listed(&self, zone: usize) -> f64 {
        middle(self.cells.iter().map(|row| row[zone].listed).filter(|n| *n > 0.0)).unwrap_or(0.0)
    }

    pub fn warming_up(&self, zone: usize) -> f64 {
        middle(
            (0..self.zones())
                .filter(|f| self.cells[*f][zone].bad.is_some())
                .map(|f| self.cells[f][zone].warming_up),
        )
        .unwrap_or(0.0)
    }

    pub fn answered_parts(&self, zone: usize) -> f64 {
        (0..self.zones()).map(|from| self.cells[from][zone].answered_parts).sum()
    }

    /// Copies heard of that zone.
    pub fn reporters(&self, zone: usize) -> usize {
        self.cells[zone].first().map_or(0, |c| c.reporters)
    }
}

/// Whether this copy is among those that speak for its zone: the first by a mix of address and process, so that places
/// in the list, and the eldest, do not always carry it.
pub fn is_reporter(own: &crate::peer::Peer, of_zone: impl Iterator<Item = crate::peer::Peer>) -> bool {
    let rank = |p: &crate::peer::Peer| {
        let mixed = blake3::hash(format!("{} {}", p.address, p.instance).as_bytes());
        (*mixed.as_bytes(), p.address)
    };
    let ours = rank(own);
    of_zone.filter(|p| p.address != own.address && rank(p) < ours).take(REPORTERS_PER_ZONE).count()
        < REPORTERS_PER_ZONE
}

#[cfg(test)]
mod tests;

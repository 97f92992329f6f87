//! What copies see of zones, joined. Each copy says in bounded numbers what it sees of each zone's leaves; the newest word
//! of each that is not too old makes a matrix, from zone to zone. From that: a zone that is dead, a way between two zones
//! that is cut, a zone cut off from all, and one copy that is itself sick are four different things. Nothing is decided
//! here of where work goes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pipitcrank::time::{At, Span};
use serde::{Deserialize, Serialize};

/// Copies of one zone that speak for it: enough that the middle of them stands against two sick ones; what those who
/// decide hear grows with zones, not with copies.
pub const SPEAKERS: usize = 5;
/// A word is good for so long: some of those who speak so often may be lost.
pub const SPEAK: Span = Span::from_ms(250);
const GOOD_FOR: Span = Span::from_ms(1000);
/// Share of the leaves seen that are bad from which a zone is seen as bad, and from which it is seen as well again.
pub const BAD: f64 = 0.8;
pub const WELL: f64 = 0.2;
/// A copy that holds this share of all zones but its own for bad, while others of its zone do not, is sick itself.
const MOST: f64 = 0.99;

/// What one copy sees of one zone's leaves, as counts; work in thousandths of a leaf's second, each second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub listed: u16,
    pub answering: u16,
    pub silent: u16,
    pub failing: u16,
    pub full: u16,
    pub cold: u16,
    /// Parts a second merged there.
    pub merged: u32,
}

impl Row {
    pub fn seen(&self) -> u32 {
        [self.answering, self.silent, self.failing, self.full].iter().map(|&n| u32::from(n)).sum()
    }

    /// Share of the leaves seen that give nothing; none where nothing was seen.
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
pub struct Word {
    /// Its own zone, by place.
    pub zone: u16,
    /// Grows with each word of one process.
    pub number: u64,
    /// By zone, in the operators' order.
    pub rows: Vec<Row>,
    /// Parts a second asked of this copy by clients.
    pub asked: u32,
    /// Copies that it knows of in its zone, itself counted.
    pub copies: u16,
}

impl Word {
    /// Whether it can be one: as many rows as there are zones, counts that do not exceed what is listed by much.
    pub fn sound(&self, zones: usize) -> bool {
        usize::from(self.zone) < zones
            && self.rows.len() == zones
            && self.copies > 0
            && self.rows.iter().all(|r| r.seen() <= u32::from(r.listed) && r.cold <= r.listed)
    }
}

struct Held {
    at: At,
    instance: u64,
    word: Word,
}

/// The newest word of each copy that speaks. One entry a speaker, gone when it is too old.
pub struct Words {
    zones: usize,
    held: BTreeMap<SocketAddr, Held>,
}

/// What all words of one zone's copies say of one zone: the middle of them, so that one sick copy changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cell {
    /// Copies whose word counts.
    pub speakers: usize,
    /// Share of leaves seen that give nothing; none where none was seen.
    pub bad: Option<f64>,
    pub full: f64,
    pub cold: f64,
    pub listed: f64,
    /// Leaves that were seen to be well.
    pub answering: f64,
    /// Parts a second that the zone's copies together had merged there.
    pub merged: f64,
}

/// What there is about one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nobody has seen enough of it.
    Unknown,
    Well,
    /// Some of its leaves give nothing: it can carry less.
    Part,
    /// It takes work and all of it waits.
    Slow,
    /// Nobody gets anything from its leaves, its own copies, where any speak, no more than others.
    Dead,
    /// No other zone reaches it, and no copy of its own says anything.
    CutOff,
}

/// All that was said, joined.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Matrix {
    /// `[from][to]`.
    pub cells: Vec<Vec<Cell>>,
    /// Parts a second asked by the clients of each zone, over all its copies.
    pub asked: Vec<f64>,
    /// Copies whose word differs from all others of their zone in what they reach.
    pub sick: Vec<SocketAddr>,
}

impl Words {
    pub fn new(zones: usize) -> Words {
        Words { zones, held: BTreeMap::new() }
    }

    /// Takes a copy's word; whether it could be used.
    pub fn take(&mut self, now: At, from: SocketAddr, instance: u64, word: Word) -> bool {
        if !word.sound(self.zones) {
            return false;
        }
        // Guards against words that overtook each other.
        if self.held.get(&from).is_some_and(|h| h.instance == instance && h.word.number >= word.number) {
            return true;
        }
        // Speakers are few; a peer that floods addresses is not let fill the memory.
        if self.held.len() >= self.zones * SPEAKERS * 4 && !self.held.contains_key(&from) {
            return false;
        }
        self.held.insert(from, Held { at: now, instance, word });
        true
    }

    pub fn join(&mut self, now: At) -> Matrix {
        self.held.retain(|_, h| now - h.at <= GOOD_FOR);
        let mut matrix = Matrix {
            cells: vec![vec![Cell::default(); self.zones]; self.zones],
            asked: vec![0.0; self.zones],
            sick: Vec::new(),
        };
        for from in 0..self.zones {
            let all: Vec<(SocketAddr, &Word)> = self.held.iter().map(|(a, h)| (*a, &h.word)).collect();
            let mut words: Vec<(SocketAddr, &Word)> =
                all.into_iter().filter(|(_, w)| usize::from(w.zone) == from).collect();
            let others_reach = words.iter().filter(|(_, w)| !reaches_nobody(w)).count();
            if others_reach * 2 > words.len() {
                matrix.sick.extend(words.iter().filter(|(_, w)| reaches_nobody(w)).map(|(a, _)| *a));
                words.retain(|(_, w)| !reaches_nobody(w));
            }
            let copies = middle(words.iter().map(|(_, w)| f64::from(w.copies))).unwrap_or(0.0);
            let each = |sum: f64| if words.is_empty() { 0.0 } else { sum / words.len() as f64 * copies };
            matrix.asked[from] = each(words.iter().map(|(_, w)| f64::from(w.asked)).sum());
            for to in 0..self.zones {
                let rows = || words.iter().map(|(_, w)| w.rows[to]);
                let sighted = || rows().filter(|r| r.seen() > 0);
                matrix.cells[from][to] = Cell {
                    speakers: words.len(),
                    bad: middle(sighted().filter_map(|r| r.bad())),
                    full: middle(sighted().map(|r| r.share(r.full))).unwrap_or(0.0),
                    cold: middle(sighted().map(|r| r.share(r.cold))).unwrap_or(0.0),
                    listed: middle(rows().map(|r| f64::from(r.listed))).unwrap_or(0.0),
                    answering: middle(rows().map(|r| f64::from(r.answering) + f64::from(r.full)))
                        .unwrap_or(0.0),
                    merged: each(rows().map(|r| f64::from(r.merged)).sum()),
                };
            }
        }
        matrix
    }
}

/// It gets nothing from any zone, its own among them.
fn reaches_nobody(word: &Word) -> bool {
    let mut seen = word.rows.iter().filter_map(Row::bad).peekable();
    seen.peek().is_some() && seen.all(|bad| bad >= MOST)
}

fn middle(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    // Of an even number the lower: it takes more than half of the copies to call a zone bad.
    values.get(values.len().checked_sub(1)? / 2).copied()
}

impl Matrix {
    pub fn zones(&self) -> usize {
        self.cells.len()
    }

    /// Whether copies of that zone get nothing from the other.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cells[from][to].bad.is_some_and(|bad| bad >= BAD)
    }

    /// What there is about one zone. A zone whose own copies do not speak is judged by the others alone, one that only
    /// itself sees by itself.
    pub fn finding(&self, zone: usize) -> Finding {
        let seen = |from: &usize| self.cells[*from][zone].bad.map(|bad| (bad, self.cells[*from][zone].full));
        let others: Vec<(f64, f64)> =
            (0..self.zones()).filter(|f| *f != zone).filter_map(|f| seen(&f)).collect();
        let own = seen(&zone);
        let all_others_bad = !others.is_empty() && others.iter().all(|(bad, _)| *bad >= BAD);
        match own {
            Some((bad, _)) if bad >= BAD && (all_others_bad || others.is_empty()) => Finding::Dead,
            // Where its own copies get on with it, only the ways there are cut: it goes on for its own clients.
            None if all_others_bad => Finding::CutOff,
            None if others.is_empty() => Finding::Unknown,
            _ => {
                // By those who reach it: a way that is cut says nothing of the zone.
                let reach: Vec<(f64, f64)> =
                    others.into_iter().chain(own).filter(|(bad, _)| *bad < BAD).collect();
                let bad = middle(reach.iter().map(|r| r.0)).unwrap_or(1.0);
                let full = middle(reach.iter().map(|r| r.1)).unwrap_or(0.0);
                if full >= BAD {
                    Finding::Slow
                } else if bad > WELL {
                    Finding::Part
                } else {
                    Finding::Well
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

    pub fn cold(&self, zone: usize) -> f64 {
        middle(
            (0..self.zones())
                .filter(|f| self.cells[*f][zone].bad.is_some())
                .map(|f| self.cells[f][zone].cold),
        )
        .unwrap_or(0.0)
    }

    pub fn merged(&self, zone: usize) -> f64 {
        (0..self.zones()).map(|from| self.cells[from][zone].merged).sum()
    }

    /// Copies heard of that zone.
    pub fn speakers(&self, zone: usize) -> usize {
        self.cells[zone].first().map_or(0, |c| c.speakers)
    }
}

/// Whether this copy is among those that speak for its zone: the first by a mix of address and process, so that places
/// in the list, and the eldest, do not always carry it.
pub fn speaks(own: &crate::peer::Peer, of_zone: impl Iterator<Item = crate::peer::Peer>) -> bool {
    let rank = |p: &crate::peer::Peer| {
        let mixed = blake3::hash(format!("{} {}", p.address, p.instance).as_bytes());
        (*mixed.as_bytes(), p.address)
    };
    let ours = rank(own);
    of_zone.filter(|p| p.address != own.address && rank(p) < ours).take(SPEAKERS).count() < SPEAKERS
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn at(n: u16) -> SocketAddr {
        ([127, 0, 0, 1], n).into()
    }

    fn row(good: u16, silent: u16) -> Row {
        Row { listed: good + silent, answering: good, silent, ..Row::default() }
    }

    /// Three copies a zone; each zone sees each other with so many of ten leaves silent.
    fn joined(silent: [[u16; 3]; 3]) -> Matrix {
        let mut words = Words::new(3);
        for zone in 0..3u16 {
            for copy in 0..3 {
                let rows = silent[usize::from(zone)].iter().map(|&s| row(10 - s, s)).collect();
                let word = Word { zone, number: 1, rows, asked: 10, copies: 3 };
                assert!(words.take(At::default(), at(zone * 10 + copy), 1, word));
            }
        }
        words.join(At::default())
    }

    #[test]
    fn four_troubles_are_told_apart() {
        let well = joined([[0, 0, 0], [0, 0, 0], [0, 0, 0]]);
        assert!((0..3).all(|z| well.finding(z) == Finding::Well));
        assert_eq!(well.asked, [30.0, 30.0, 30.0]);
        let dead = joined([[0, 10, 0], [0, 10, 0], [0, 10, 0]]);
        assert_eq!([0, 1, 2].map(|z| dead.finding(z)), [Finding::Well, Finding::Dead, Finding::Well]);
        let one_way = joined([[0, 10, 0], [10, 0, 0], [0, 0, 0]]);
        assert!((0..3).all(|z| one_way.finding(z) == Finding::Well), "the third reaches both");
        assert!(one_way.is_cut(0, 1) && one_way.is_cut(1, 0) && !one_way.is_cut(2, 1));
        let cut_off = joined([[0, 10, 0], [10, 0, 10], [0, 10, 0]]);
        assert!((0..3).all(|z| cut_off.finding(z) == Finding::Well), "it is well for its own clients");
        assert!(
            cut_off.is_cut(0, 1) && cut_off.is_cut(2, 1) && cut_off.is_cut(1, 0) && !cut_off.is_cut(1, 1)
        );
        let half = joined([[0, 5, 0], [0, 5, 0], [0, 5, 0]]);
        assert_eq!(half.finding(1), Finding::Part);
        assert_eq!(half.well(1), 5.0);
    }

    #[test]
    fn one_sick_copy_is_named_and_changes_nothing() {
        let mut words = Words::new(2);
        for copy in 0..3 {
            let silent = if copy == 2 { 10 } else { 0 };
            let rows = vec![row(10 - silent, silent); 2];
            words.take(At::default(), at(copy), 1, Word { zone: 0, number: 1, rows, asked: 1, copies: 3 });
        }
        let matrix = words.join(At::default());
        assert_eq!(matrix.sick, [at(2)]);
        assert_eq!(matrix.finding(1), Finding::Well);
        assert_eq!(matrix.speakers(0), 2);
    }

    #[test]
    fn all_copies_of_a_zone_alone_with_dead_leaves_are_heard() {
        // Of the copies of zone 1 all see their own leaves dead, and the others' well.
        let matrix = joined([[0, 10, 0], [0, 10, 0], [0, 10, 0]]);
        assert_eq!((matrix.finding(1), matrix.speakers(1)), (Finding::Dead, 3));
        // The other way round: its leaves are well, and none of its copies speaks.
        let mut words = Words::new(2);
        words.take(
            At::default(),
            at(1),
            1,
            Word { zone: 0, number: 1, rows: vec![row(9, 0); 2], asked: 1, copies: 1 },
        );
        let matrix = words.join(At::default());
        assert_eq!((matrix.finding(1), matrix.speakers(1)), (Finding::Well, 0));
    }

    #[test]
    fn a_slow_zone_is_no_dead_one() {
        let mut words = Words::new(2);
        let slow = Row { listed: 10, full: 9, answering: 1, ..Row::default() };
        words.take(
            At::default(),
            at(1),
            1,
            Word { zone: 0, number: 1, rows: vec![row(9, 0), slow], asked: 1, copies: 1 },
        );
        assert_eq!(words.join(At::default()).finding(1), Finding::Slow);
    }

    #[test]
    fn old_and_impossible_words_do_not_count() {
        let mut words = Words::new(2);
        let word = |number, good| Word { zone: 0, number, rows: vec![row(good, 0); 2], asked: 5, copies: 1 };
        assert!(words.take(At::default(), at(1), 1, word(2, 9)));
        assert!(words.take(At::default(), at(1), 1, word(1, 3)), "overtaken, left");
        assert_eq!(words.join(At::default()).well(1), 9.0);
        assert!(words.take(At::default(), at(1), 2, word(1, 4)), "another process");
        assert_eq!(words.join(At::default()).well(1), 4.0);
        assert!(!words.take(At::default(), at(2), 1, Word { zone: 7, ..word(1, 1) }));
        assert!(!words.take(At::default(), at(2), 1, Word { rows: vec![], ..word(1, 1) }));
        let over = Row { listed: 1, answering: 5, ..Row::default() };
        assert!(!words.take(At::default(), at(2), 1, Word { rows: vec![over; 2], ..word(1, 1) }));
        let later = At::default() + GOOD_FOR + Span::from_ms(1);
        assert_eq!(words.join(later).finding(1), Finding::Unknown);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever fewer than half of a zone's copies say, the findings on zones stay what the others make them.
        #[test]
        fn a_minority_of_liars_changes_no_finding(lies in proptest::collection::vec((0u16..10, 0u16..10), 6)) {
            let honest = joined([[0, 10, 0], [0, 10, 0], [0, 10, 0]]);
            let mut words = Words::new(3);
            for zone in 0..3u16 {
                for copy in 0..5u16 {
                    let rows = (0..3).map(|z| match (copy, z) {
                        (0 | 1, z) => { let (g, s) = lies[usize::from(copy) * 3 + z]; row(g, s) }
                        (_, 1) => row(0, 10),
                        _ => row(10, 0),
                    }).collect();
                    words.take(At::default(), at(zone * 10 + copy), 1, Word { zone, number: 1, rows, asked: 1, copies: 5 });
                }
            }
            let matrix = words.join(At::default());
            for zone in 0..3 {
                prop_assert_eq!(matrix.finding(zone), honest.finding(zone));
            }
        }

        /// As many speak as should, whatever the number of copies.
        #[test]
        fn so_many_speak(copies in 1u16..40) {
            let all: Vec<_> = (0..copies).map(|n| crate::peer::Peer { address: at(n), instance: 3, zone: 0 }).collect();
            let speaking = all.iter().filter(|p| speaks(p, all.iter().cloned())).count();
            prop_assert_eq!(speaking, usize::from(copies).min(SPEAKERS));
        }
    }
}

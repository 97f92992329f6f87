//! Datagrams on their way in simulated time.

use std::collections::{BTreeMap, BTreeSet};

use pipitcrank_core::time::{TimeSpan, Timestamp};
use rand::Rng;
use rand_pcg::Pcg64;

/// What happens next.
pub enum Next {
    /// A datagram for that copy.
    Datagram(usize, Vec<u8>),
    /// The copy asked to be called.
    Due(usize),
    /// The world goes a step on.
    Step,
}

/// All that is to come, in its order, and how the net is.
pub struct Net {
    to_come: BTreeMap<(Timestamp, u64), Next>,
    order: u64,
    chance: Pcg64,
    /// Share of datagrams lost, and the longest delay.
    pub loss: f64,
    pub delay: TimeSpan,
    /// Zones that do not hear each other, from and to.
    pub cut: BTreeSet<(u16, u16)>,
    pub sent: u64,
    pub bytes: u64,
}

/// No way is shorter.
const LEAST_DELAY: TimeSpan = TimeSpan::from_millis(1);

impl Net {
    pub fn new(chance: Pcg64, loss: f64, delay: TimeSpan) -> Net {
        let (to_come, cut) = (BTreeMap::new(), BTreeSet::new());
        Net { to_come, order: 0, chance, loss, delay, cut, sent: 0, bytes: 0 }
    }

    pub fn at(&mut self, when: Timestamp, next: Next) {
        self.order += 1;
        self.to_come.insert((when, self.order), next);
    }

    /// A copy of one zone sends to one of another; `to` none is an address where nobody is.
    pub fn send(&mut self, now: Timestamp, from: u16, to: Option<(usize, u16)>, bytes: Vec<u8>) {
        self.sent += 1;
        self.bytes += bytes.len() as u64;
        let Some((copy, zone)) = to else { return };
        if self.cut.contains(&(from, zone)) || self.chance.random_bool(self.loss) {
            return;
        }
        let delay = LEAST_DELAY + self.delay * self.chance.random::<f64>();
        self.at(now + delay, Next::Datagram(copy, bytes));
    }

    pub fn take_next(&mut self) -> Option<(Timestamp, Next)> {
        self.to_come.pop_first().map(|((at, _), next)| (at, next))
    }
}

//! Records the datagrams received from each sender, to detect replayed ones.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Largest number of senders kept, above the size of any fleet. The sender that has been silent for longest
/// is dropped first.
const MAX_SENDERS: usize = 8192;
/// Number of earlier processes kept per sender.
const MAX_FORMER_INSTANCES: usize = 4;
/// Range of sequence numbers behind the newest one that are tracked individually; datagrams overtake each
/// other by a few.
const WINDOW: u64 = 128;

/// Datagrams received from one sender.
struct SenderWindow {
    instance: u64,
    newest: u64,
    /// Bit mask: bit `n` is set if the number `newest - n` was received.
    received: u128,
    /// Earlier processes of this sender.
    former_instances: VecDeque<u64>,
    /// Time of the last datagram, as a count of datagrams checked.
    last_received: u64,
}

/// Tracks the sequence numbers received from each sender within a window.
#[derive(Default)]
pub(crate) struct ReplayFilter {
    senders: BTreeMap<SocketAddr, SenderWindow>,
    checked: u64,
}

impl ReplayFilter {
    /// Records a datagram; returns whether it is new.
    pub(crate) fn accept(&mut self, sender: SocketAddr, instance: u64, number: u64) -> bool {
        self.checked += 1;
        self.make_space_for(sender);
        let last_received = self.checked;
        let window = self.senders.entry(sender).or_insert_with(|| SenderWindow {
            instance,
            newest: 0,
            received: 0,
            former_instances: VecDeque::new(),
            last_received,
        });
        if !window.switch_to(instance) {
            return false;
        }
        window.last_received = last_received;
        window.accept(number)
    }

    fn make_space_for(&mut self, sender: SocketAddr) {
        if self.senders.contains_key(&sender) || self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, window)| window.last_received).map(|(a, _)| *a);
        oldest.map(|address| self.senders.remove(&address));
    }
}

impl SenderWindow {
    /// Resets the window for a new process of the sender. Returns false for an earlier process, whose
    /// datagrams are late or replayed.
    fn switch_to(&mut self, instance: u64) -> bool {
        if self.instance == instance {
            return true;
        }
        if self.former_instances.contains(&instance) {
            return false;
        }
        self.former_instances.push_back(self.instance);
        if self.former_instances.len() > MAX_FORMER_INSTANCES {
            self.former_instances.pop_front();
        }
        (self.instance, self.newest, self.received) = (instance, 0, 0);
        true
    }

    fn accept(&mut self, number: u64) -> bool {
        if number > self.newest {
            let ahead = number - self.newest;
            self.received = if ahead < WINDOW { self.received << ahead | 1 } else { 1 };
            self.newest = number;
            return true;
        }
        let behind = self.newest - number;
        let bit = 1u128.checked_shl(behind as u32).unwrap_or(0);
        let is_new = behind < WINDOW && self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}

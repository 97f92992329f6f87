//! The hands of this copy's store: opens it, passes on what a process before this one kept, and has what this one knows
//! written now and then. What may be gone by stands in `pipitcrank-recovery`.

use std::rc::Rc;
use std::time::Duration;

use pipitcrank_config::StoreConfig;
use pipitcrank_core::time::Timestamp;
use pipitcrank_failover::node::RestartState;
use pipitcrank_failover::voter::VoterMemory;
use pipitcrank_handover::clock::monotonic_micros;
use pipitcrank_recovery::last_known_state::{ClockReading, LastKnownState, RecoveredState};
use pipitcrank_recovery::store::{Store, StoreError, WriteStatus};
use pipitcrank_server::discovery::client::SharedRevision;
use pipitcrank_server::runtime::counters::Counters;
use pipitcrank_server::runtime::event_loop::EventLoop;
use tokio::sync::Notify;

use crate::peers::{since_1970_us, span};

/// A start is held up by the disk for no longer than this.
const OPENS_WITHIN: Duration = Duration::from_millis(500);
/// While another process of this copy still has the file, it is asked for again so often.
const LOOK: Duration = Duration::from_millis(100);
/// What waits longer for the disk than this is worth a line.
const SLOW: Duration = Duration::from_millis(1000);

/// What was found of a process before this one.
#[derive(Default)]
pub struct Past {
    pub recalled: RecoveredState,
    pub memory: Option<VoterMemory>,
}

pub struct Disk {
    store: Store,
    told: StoreConfig,
    bell: std::sync::Arc<Notify>,
    written: Option<Timestamp>,
    wanted: u64,
    /// What was last said of it.
    said: Option<StoreError>,
    slow: bool,
}

fn clocks() -> ClockReading {
    ClockReading { wall_us: since_1970_us() as i64, monotonic_us: monotonic_micros() }
}

impl Disk {
    /// Opens the store of the copy `owner`, and reads what it holds. What is wrong with it is said by name and held against
    /// nobody: the copy serves as one without a store.
    pub fn open(told: &StoreConfig, owner: &str) -> (Disk, Past) {
        let bell = std::sync::Arc::new(Notify::new());
        let rings = bell.clone();
        let store = Store::open(told.path.clone(), owner.to_string(), move || rings.notify_one());
        let found = store.stored_values(OPENS_WITHIN);
        let mut disk =
            Disk { store, told: told.clone(), bell, written: None, wanted: 0, said: None, slow: false };
        let past = match found {
            Ok(found) => disk.read(found.voter_memory.as_deref(), found.learned_state.as_deref()),
            Err(fault) => {
                tracing::warn!("/store/path {}: {fault}; nothing of it is gone by", told.path.display());
                disk.said = Some(fault);
                Past::default()
            }
        };
        (disk, past)
    }

    /// The same once no other process of this copy has the file, as in an upgrade; until `gone` says that this one ends too.
    pub async fn open_when_free(
        told: &StoreConfig,
        owner: &str,
        mut gone: impl FnMut() -> bool,
    ) -> (Disk, Past) {
        loop {
            let (disk, past) = Disk::open(told, owner);
            if disk.said != Some(StoreError::InUse) || gone() {
                return (disk, past);
            }
            drop(disk);
            tokio::time::sleep(LOOK).await;
        }
    }

    fn read(&self, promises: Option<&[u8]>, beliefs: Option<&[u8]>) -> Past {
        let at = self.told.path.display();
        let memory = promises.and_then(|bytes| {
            let read = VoterMemory::decode(bytes);
            if read.is_none() {
                tracing::warn!(
                    "/store/path {at}: what a voter must not forget can't be read; it comes back as a new one"
                );
            }
            read
        });
        let Some(beliefs) = beliefs else { return Past { memory, ..Past::default() } };
        let Some(beliefs) = LastKnownState::decode(beliefs) else {
            tracing::warn!("/store/path {at}: what was known can't be read, and is left");
            return Past { memory, ..Past::default() };
        };
        let recalled = beliefs.recover(clocks(), span(self.told.max_age));
        if recalled.learned.is_none() {
            tracing::info!(
                "/store/path {at}: what was known of leaves is too old, or a clock was set; it is left"
            );
        }
        Past { recalled, memory }
    }

    /// Rung each time that something was written, or could not be.
    pub async fn rings(&self) {
        self.bell.notified().await;
    }

    pub fn keep(&mut self, memory: &VoterMemory) {
        self.wanted = self.store.save_voter_memory(memory.encode());
    }

    /// Whether all that was to be kept is.
    pub fn is_kept(&self) -> bool {
        self.store.synced_sequence() >= self.wanted
    }

    /// Has what is known written, where it is time for that; and says how the disk does.
    pub fn look(
        &mut self,
        now: Timestamp,
        event_loop: &EventLoop,
        rev: &SharedRevision,
        agreed: impl FnOnce() -> RestartState,
    ) {
        self.say(&event_loop.counters);
        if self.written.is_some_and(|at| now - at < span(self.told.write_interval)) {
            return;
        }
        self.written = Some(now);
        let snapshot = event_loop.update(|e| e.snapshot(now, monotonic_micros(), rev.get()));
        let RestartState { decision, members } = agreed();
        self.store.save_learned_state(LastKnownState::new(clocks(), &snapshot, decision, members).encode());
        event_loop.counters.add("store", "written");
    }

    /// When `look` is due.
    pub fn due(&self) -> Timestamp {
        self.written.map_or(Timestamp::default(), |at| at + span(self.told.write_interval))
    }

    fn say(&mut self, counters: &Counters) {
        let WriteStatus { error: failing, pending_for: waits } = self.store.write_status();
        let at = self.told.path.display();
        if failing != self.said {
            match &failing {
                Some(fault) => {
                    counters.add("store_faults", fault.name());
                    tracing::warn!("/store/path {at}: {fault}");
                }
                None => tracing::info!("/store/path {at}: written again"),
            }
            self.said = failing;
        }
        if (waits > SLOW) != self.slow {
            self.slow = waits > SLOW;
            if self.slow {
                counters.add("store_faults", "slow");
                tracing::warn!("/store/path {at}: a write has waited for {waits:?}");
            }
        }
    }
}

/// Has what is known written, where this copy stands alone; until the end is called.
pub async fn write_alone(
    mut disk: Disk,
    event_loop: Rc<EventLoop>,
    rev: SharedRevision,
    mut leaving: tokio::sync::watch::Receiver<bool>,
) {
    loop {
        let due = event_loop.clock.instant(disk.due());
        tokio::select! {
            _ = leaving.wait_for(|left| *left) => return,
            () = disk.rings() => {}
            () = tokio::time::sleep_until(due) => {}
        }
        disk.look(event_loop.clock.now(), &event_loop, &rev, RestartState::default);
    }
}

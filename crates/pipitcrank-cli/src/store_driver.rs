//! Access to this co-ordinator's store: opens it, restores the state saved by the previous process, and saves the
//! last known state at intervals. `pipitcrank-recovery` decides which parts of the saved state are still valid.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pipitcrank_config::StoreConfig;
use pipitcrank_core::time::Timestamp;
use pipitcrank_failover::node::RestartState;
use pipitcrank_failover::voter::PersistentVoterState;
use pipitcrank_handover::clock::monotonic_micros;
use pipitcrank_recovery::last_known_state::{ClockReading, LastKnownState, RecoveredState};
use pipitcrank_recovery::store::{Store, StoreError, StoredValues, WriteStatus};
use pipitcrank_server::discovery::client::SharedRevision;
use pipitcrank_server::runtime::counters::Counters;
use pipitcrank_server::runtime::event_loop::EventLoop;
use tokio::sync::{Notify, watch};

use crate::clocks::{micros_since_epoch, time_span};
use crate::environment::node_name;

/// Longest time that a start waits for the store to be read.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between attempts to open the file while another process of this co-ordinator has it open.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Duration from which a pending write is logged as slow.
const SLOW_WRITE: Duration = Duration::from_millis(1000);

/// State in the store, saved by the previous process.
#[derive(Default)]
pub(crate) struct StoredState {
    pub(crate) recovered: RecoveredState,
    pub(crate) voter_state: Option<PersistentVoterState>,
}

/// A store, if one is configured, and the state in it.
#[derive(Default)]
pub(crate) struct OpenedStore {
    pub(crate) driver: Option<StoreDriver>,
    pub(crate) state: StoredState,
}

/// Source of the store: opened at start, or to be opened later.
pub(crate) struct StoreSource {
    /// The store opened at start; `None` while the previous process may have it open.
    pub(crate) opened: Option<OpenedStore>,
    /// The store to open if `opened` is `None`, if one is configured.
    pub(crate) config: Option<StoreConfig>,
}

impl StoreSource {
    /// Returns the store, opened once no other process of this co-ordinator has it open. Can be called again once the
    /// store has been dropped.
    pub(crate) async fn open(&mut self, draining: watch::Receiver<bool>) -> OpenedStore {
        if let Some(opened) = self.opened.take() {
            return opened;
        }
        let Some(config) = &self.config else { return OpenedStore::default() };
        let owner = node_name().unwrap_or_default();
        let (driver, state) = StoreDriver::open_when_free(config, &owner, draining).await;
        OpenedStore { driver: Some(driver), state }
    }
}

/// Driver of an open store.
pub(crate) struct StoreDriver {
    store: Store,
    config: StoreConfig,
    /// Notified after each write, whether it succeeded or failed.
    write_finished: Arc<Notify>,
    last_write: Option<Timestamp>,
    /// Sequence number of the newest voter state passed to the store.
    voter_state_sequence: u64,
    /// The error logged last; `None` after a successful write.
    logged_error: Option<StoreError>,
    is_slow: bool,
}

fn read_clocks() -> ClockReading {
    ClockReading { wall_us: micros_since_epoch() as i64, monotonic_us: monotonic_micros() }
}

impl StoreDriver {
    /// Opens and reads the store of the co-ordinator `owner`. After an error, which is logged, the co-ordinator
    /// serves as if the store were empty.
    pub(crate) fn open(config: &StoreConfig, owner: &str) -> (StoreDriver, StoredState) {
        let write_finished = Arc::new(Notify::new());
        let notify = write_finished.clone();
        let store = Store::open(config.path.clone(), owner.to_string(), move || notify.notify_one());
        let stored = store.stored_values(OPEN_TIMEOUT);
        let mut driver = StoreDriver {
            store,
            config: config.clone(),
            write_finished,
            last_write: None,
            voter_state_sequence: 0,
            logged_error: None,
            is_slow: false,
        };
        let state = match stored {
            Ok(values) => driver.decode(&values),
            Err(error) => {
                tracing::warn!(
                    "/store/path {}: {error}; starting without stored state",
                    config.path.display()
                );
                driver.logged_error = Some(error);
                StoredState::default()
            }
        };
        (driver, state)
    }

    /// Opens the store like [`StoreDriver::open`], but during an upgrade first waits until the other process has
    /// closed the file or this process drains.
    async fn open_when_free(
        config: &StoreConfig,
        owner: &str,
        draining: watch::Receiver<bool>,
    ) -> (StoreDriver, StoredState) {
        loop {
            let (driver, state) = StoreDriver::open(config, owner);
            if driver.logged_error != Some(StoreError::InUse) || *draining.borrow() {
                return (driver, state);
            }
            drop(driver);
            tokio::time::sleep(OPEN_RETRY_INTERVAL).await;
        }
    }

    fn decode(&self, values: &StoredValues) -> StoredState {
        let voter_state = values.voter_state.as_deref().and_then(|bytes| self.decode_voter_state(bytes));
        let last_known_state = values.last_known_state.as_deref();
        let recovered =
            last_known_state.and_then(|bytes| self.decode_last_known_state(bytes)).unwrap_or_default();
        StoredState { recovered, voter_state }
    }

    fn decode_voter_state(&self, bytes: &[u8]) -> Option<PersistentVoterState> {
        let voter_state = PersistentVoterState::decode(bytes);
        if voter_state.is_none() {
            let path = self.config.path.display();
            tracing::warn!(
                "/store/path {path}: stored voter state can't be decoded; rejoining as a new voter"
            );
        }
        voter_state
    }

    fn decode_last_known_state(&self, bytes: &[u8]) -> Option<RecoveredState> {
        let path = self.config.path.display();
        let Some(state) = LastKnownState::decode(bytes) else {
            tracing::warn!(
                "/store/path {path}: stored last known state can't be decoded; starting without it"
            );
            return None;
        };
        let recovered = state.recover(read_clocks(), time_span(self.config.max_age));
        if recovered.learned.is_none() {
            tracing::info!(
                "/store/path {path}: stored last known state is too old, or a clock was set; its learned part is not used"
            );
        }
        Some(recovered)
    }

    /// Waits until a write has succeeded or failed.
    pub(crate) async fn write_finished(&self) {
        self.write_finished.notified().await;
    }

    /// Starts a write of the voter state.
    pub(crate) fn save_voter_state(&mut self, voter_state: &PersistentVoterState) {
        self.voter_state_sequence = self.store.save_voter_state(voter_state.encode());
    }

    /// Whether the newest voter state is on disk.
    pub(crate) fn is_voter_state_saved(&self) -> bool {
        self.store.synced_sequence() >= self.voter_state_sequence
    }

    /// Starts a write of the last known state if one is due, and logs errors of earlier writes.
    pub(crate) fn save_last_known_state_if_due(
        &mut self,
        now: Timestamp,
        event_loop: &EventLoop,
        revision: &SharedRevision,
        restart_state: impl FnOnce() -> RestartState,
    ) {
        self.log_write_status(&event_loop.counters);
        let interval = time_span(self.config.write_interval);
        if self.last_write.is_some_and(|last| now - last < interval) {
            return;
        }
        self.last_write = Some(now);
        let snapshot =
            event_loop.update(|exchange| exchange.snapshot(now, monotonic_micros(), revision.get()));
        let RestartState { decision, members } = restart_state();
        let state = LastKnownState::new(read_clocks(), &snapshot, decision, members);
        self.store.save_last_known_state(state.encode());
        event_loop.counters.add("store", "written");
    }

    /// Time at which the next write of the last known state is due.
    pub(crate) fn next_write(&self) -> Timestamp {
        let interval = time_span(self.config.write_interval);
        self.last_write.map_or(Timestamp::default(), |last| last + interval)
    }

    fn log_write_status(&mut self, counters: &Counters) {
        let WriteStatus { error, pending_for } = self.store.write_status();
        let path = self.config.path.display();
        if error != self.logged_error {
            match &error {
                Some(error) => {
                    counters.add("store_faults", error.counter_name());
                    tracing::warn!("/store/path {path}: {error}; serving continues");
                }
                None => tracing::info!("/store/path {path}: a write succeeded after earlier errors"),
            }
            self.logged_error = error;
        }
        if (pending_for > SLOW_WRITE) != self.is_slow {
            self.is_slow = pending_for > SLOW_WRITE;
            if self.is_slow {
                counters.add("store_faults", "slow");
                tracing::warn!(
                    "/store/path {path}: a write to the disk has been pending for {pending_for:?}; serving continues"
                );
            }
        }
    }
}

/// Saves the last known state whenever this process does not drain, for a co-ordinator without failover.
pub(crate) async fn save_while_serving(
    mut store: StoreSource,
    event_loop: Rc<EventLoop>,
    revision: SharedRevision,
    draining: watch::Receiver<bool>,
) {
    let mut resumed = draining.clone();
    // The draining ends if the upgrade is rolled back.
    while resumed.wait_for(|draining| !draining).await.is_ok() {
        let Some(driver) = store.open(draining.clone()).await.driver else { return };
        save_until_draining(driver, event_loop.clone(), revision.clone(), draining.clone()).await;
    }
}

async fn save_until_draining(
    mut driver: StoreDriver,
    event_loop: Rc<EventLoop>,
    revision: SharedRevision,
    mut draining: watch::Receiver<bool>,
) {
    loop {
        let next_write = event_loop.clock.instant(driver.next_write());
        tokio::select! {
            _ = draining.wait_for(|draining| *draining) => return,
            () = driver.write_finished() => {}
            () = tokio::time::sleep_until(next_write) => {}
        }
        let now = event_loop.clock.now();
        driver.save_last_known_state_if_due(now, &event_loop, &revision, RestartState::default);
    }
}

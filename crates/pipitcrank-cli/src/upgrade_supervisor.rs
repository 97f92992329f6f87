//! The upgrade supervisor, which is the process that operators start and signal if upgrades are enabled. It holds a
//! copy of the listener, starts workers and executes the actions of the upgrade state machine. Only workers serve
//! queries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use pipitcrank_config::{OperatorsConfig, UpgradeConfig};
use pipitcrank_core::time::Timestamp;
use pipitcrank_handover::descriptor_passing::socket_pair;
use pipitcrank_handover::messages::ToWorker;
use pipitcrank_handover::upgrade_event::{UpgradeAction, UpgradeEvent, UpgradeTimeouts, WorkerId};
use pipitcrank_handover::upgrade_state::UpgradeStateMachine;
use pipitcrank_server::runtime::listener;
use rustix::process::Signal;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::clocks::time_span;
use crate::worker_process::WorkerProcess;

/// Supervisor of the workers of one listener.
pub(crate) struct UpgradeSupervisor {
    /// Path of the program. An upgrade starts the file that is at this path when the upgrade begins.
    program: PathBuf,
    operators: Option<PathBuf>,
    started: Instant,
    /// `None` after a shutdown request: from then on only workers hold the listener, and once they close it, new
    /// connections are refused.
    listener: Option<std::net::TcpListener>,
    workers: BTreeMap<WorkerId, WorkerProcess>,
    events: UnboundedSender<UpgradeEvent>,
    state: UpgradeStateMachine,
}

fn timeouts(upgrade: UpgradeConfig) -> UpgradeTimeouts {
    UpgradeTimeouts {
        start: time_span(upgrade.start_timeout),
        trial: time_span(upgrade.trial_time),
        heartbeat: time_span(upgrade.heartbeat_timeout),
        drain: time_span(upgrade.drain_timeout),
    }
}

fn elapsed(started: Instant) -> Timestamp {
    Timestamp::from_micros(started.elapsed().as_micros() as i64)
}

/// Runs a supervisor until all workers have exited, and returns the exit code.
pub(crate) async fn supervise(
    program: PathBuf,
    operators: Option<PathBuf>,
    listen: SocketAddr,
    upgrade: UpgradeConfig,
) -> Result<i32> {
    let mut upgrades = signal(SignalKind::user_defined2())?;
    let mut hangups = signal(SignalKind::hangup())?;
    let mut terminations = signal(SignalKind::terminate())?;
    let mut interrupts = signal(SignalKind::interrupt())?;
    let listener =
        listener::listen(listen).with_context(|| format!("/listen {listen} can't be bound"))?.into_std()?;
    let (events, mut worker_events) = unbounded_channel();
    let started = Instant::now();
    let (state, actions) = UpgradeStateMachine::start(elapsed(started), timeouts(upgrade));
    let (listener, workers) = (Some(listener), BTreeMap::new());
    let mut supervisor = UpgradeSupervisor { program, operators, started, listener, workers, events, state };
    tracing::info!("upgrade supervisor listens at {listen}; starting a worker");
    if let Some(code) = supervisor.execute(actions) {
        return Ok(code);
    }
    loop {
        let event = tokio::select! {
            Some(event) = worker_events.recv() => event,
            Some(()) = upgrades.recv() => UpgradeEvent::UpgradeRequested,
            Some(()) = terminations.recv() => UpgradeEvent::ShutdownRequested,
            Some(()) = interrupts.recv() => UpgradeEvent::ShutdownRequested,
            Some(()) = hangups.recv() => {
                supervisor.reload();
                continue;
            }
            () = supervisor.next_tick() => UpgradeEvent::Tick,
        };
        if let Some(code) = supervisor.handle(event) {
            return Ok(code);
        }
    }
}

impl UpgradeSupervisor {
    async fn next_tick(&self) {
        match self.state.next_tick() {
            Some(due) => {
                let left = (due - elapsed(self.started)).as_micros().max(0) as u64;
                tokio::time::sleep(Duration::from_micros(left)).await;
            }
            None => std::future::pending().await,
        }
    }

    /// Handles SIGHUP: the workers reload the node configuration, the supervisor the operators' file. An invalid file
    /// is logged and changes nothing.
    fn reload(&mut self) {
        for worker in self.workers.values() {
            worker.signal(Signal::HUP);
        }
        let Some(path) = &self.operators else { return };
        match OperatorsConfig::read(path) {
            Ok(OperatorsConfig { upgrade: Some(upgrade), .. }) => {
                self.state.set_timeouts(timeouts(upgrade));
                tracing::info!("operators' file reloaded; its upgrade time limits now apply");
            }
            Ok(_) => tracing::error!(
                "/upgrade is off in the new operators' file: that takes a restart to apply; the old time limits stay"
            ),
            Err(error) => {
                tracing::error!("the new operators' file is invalid, the old one stays: {error}");
            }
        }
    }

    /// Passes an event to the state machine and executes its actions. Returns the exit code when it is time to exit.
    fn handle(&mut self, event: UpgradeEvent) -> Option<i32> {
        match event {
            UpgradeEvent::UpgradeRequested => tracing::info!("upgrade requested by SIGUSR2"),
            UpgradeEvent::ShutdownRequested => {
                tracing::info!("shutdown requested; the workers finish their queries");
                self.listener = None;
            }
            UpgradeEvent::Exited(id, _) | UpgradeEvent::StartFailed(id) => drop(self.workers.remove(&id)),
            _ => {}
        }
        let rolled_back = self.state.counts().rolled_back;
        let actions = self.state.handle(elapsed(self.started), event);
        if self.state.counts().rolled_back > rolled_back && !self.state.is_upgrading() {
            tracing::warn!("upgrade rolled back to the previous worker: {:?}", self.state.last_rollback());
        }
        self.execute(actions)
    }

    /// Executes actions in order. Returns the exit code if one of them is to exit.
    fn execute(&mut self, actions: Vec<UpgradeAction>) -> Option<i32> {
        for action in actions {
            tracing::debug!(?action);
            match action {
                UpgradeAction::Start(id) => self.start_worker(id),
                UpgradeAction::Serve(id) => self.give_listener(id),
                UpgradeAction::Connect { predecessor, successor } => self.connect(predecessor, successor),
                UpgradeAction::ContinueAlone(id) => self.send(id, &ToWorker::ContinueAlone, None),
                UpgradeAction::TransferConnections(id) => {
                    tracing::info!(
                        worker = id.0,
                        "trial passed; worker transfers the listener and its connections"
                    );
                    self.send(id, &ToWorker::TransferConnections, None);
                }
                UpgradeAction::Kill(id) => self.signal(id, Signal::KILL),
                UpgradeAction::Terminate(id) => self.signal(id, Signal::TERM),
                UpgradeAction::ReportCounts(id) => {
                    self.send(id, &ToWorker::UpgradeCounts(self.state.counts()), None);
                }
                UpgradeAction::Exit(code) => return Some(code),
            }
        }
        None
    }

    fn start_worker(&mut self, id: WorkerId) {
        match WorkerProcess::start(id, &self.program, self.operators.as_deref(), &self.events) {
            Ok(worker) => {
                self.workers.insert(id, worker);
            }
            Err(error) => {
                tracing::error!("worker can't be started from {}: {error:#}", self.program.display());
                let _ = self.events.send(UpgradeEvent::StartFailed(id));
            }
        }
    }

    fn give_listener(&self, id: WorkerId) {
        let Some(listener) = &self.listener else { return };
        match listener.try_clone() {
            Ok(listener) => {
                tracing::info!(worker = id.0, "worker starts to serve");
                self.send(id, &ToWorker::Serve, Some(listener.into()));
            }
            Err(error) => {
                // A worker can't serve without the listener. Its exit is handled like any other.
                tracing::error!("the listener can't be duplicated for a worker, which is killed: {error}");
                self.signal(id, Signal::KILL);
            }
        }
    }

    fn connect(&self, predecessor: WorkerId, successor: WorkerId) {
        match socket_pair() {
            Ok((ours, theirs)) => {
                tracing::info!(predecessor = predecessor.0, successor = successor.0, "handover begins");
                self.send(predecessor, &ToWorker::HandOver, Some(ours.into()));
                self.send(successor, &ToWorker::TakeOver, Some(theirs.into()));
            }
            // The timeout of this step ends the upgrade.
            Err(error) => tracing::error!(
                "the link between two workers can't be created; the upgrade will time out: {error}"
            ),
        }
    }

    fn send(&self, id: WorkerId, message: &ToWorker, descriptor: Option<OwnedFd>) {
        if let Some(worker) = self.workers.get(&id) {
            worker.send(message, descriptor);
        }
    }

    fn signal(&self, id: WorkerId, signal: Signal) {
        if let Some(worker) = self.workers.get(&id) {
            worker.signal(signal);
        }
    }
}

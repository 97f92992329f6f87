//! The process that operators start and signal where upgrades are on: it holds a copy of the listener, starts workers
//! and carries out what the upgrade state machine decides. It serves nobody itself and knows no query.

use std::collections::BTreeMap;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Instant;

use anyhow::{Context, Result};
use pipitcrank_config::{OperatorsConfig, UpgradeConfig};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::descriptor_passing::{LinkError, LinkReceiver, LinkSender, open_link, socket_pair};
use pipitcrank_handover::messages::{ToSupervisor, ToWorker, VERSION};
use pipitcrank_handover::upgrade_event::{UpgradeAction, UpgradeEvent, UpgradeTimeouts, WorkerId};
use pipitcrank_handover::upgrade_state::UpgradeStateMachine;
use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

pub struct Keeper {
    /// Where the program is; what stands there at an upgrade is what is started.
    program: PathBuf,
    operators: Option<PathBuf>,
    start: Instant,
    /// None once the end was called: then only workers listen, and clients are refused when they cease to.
    listener: Option<std::net::TcpListener>,
    workers: BTreeMap<WorkerId, Running>,
    events: UnboundedSender<UpgradeEvent>,
}

struct Running {
    to: LinkSender,
    signals: UnboundedSender<Signal>,
}

fn span(d: std::time::Duration) -> TimeSpan {
    TimeSpan::from_secs_f64(d.as_secs_f64())
}

fn times(upgrade: UpgradeConfig) -> UpgradeTimeouts {
    UpgradeTimeouts {
        start: span(upgrade.start_timeout),
        trial: span(upgrade.trial_time),
        heartbeat: span(upgrade.heartbeat_timeout),
        drain: span(upgrade.drain_timeout),
    }
}

/// Runs until all workers have ended; the exit code.
pub async fn keep(
    program: PathBuf,
    operators: Option<PathBuf>,
    listen: std::net::SocketAddr,
    upgrade: UpgradeConfig,
) -> Result<i32> {
    let mut upgrades = signal(SignalKind::user_defined2())?;
    let mut hangups = signal(SignalKind::hangup())?;
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let listener =
        TcpListener::bind(listen).await.with_context(|| format!("/listen: {listen}"))?.into_std()?;
    let (events, mut happened) = unbounded_channel();
    let mut keeper = Keeper {
        program,
        operators,
        start: Instant::now(),
        listener: Some(listener),
        workers: BTreeMap::new(),
        events,
    };
    let (mut book, actions) = UpgradeStateMachine::start(keeper.now(), times(upgrade));
    tracing::info!("keeping a listener at {listen}");
    if let Some(code) = keeper.carry_out(&book, actions) {
        return Ok(code);
    }
    loop {
        let event = tokio::select! {
            Some(event) = happened.recv() => event,
            Some(()) = upgrades.recv() => {
                tracing::info!("asked to upgrade");
                UpgradeEvent::UpgradeRequested
            }
            Some(()) = term.recv() => UpgradeEvent::ShutdownRequested,
            Some(()) = int.recv() => UpgradeEvent::ShutdownRequested,
            Some(()) = hangups.recv() => {
                keeper.reload(&mut book);
                continue;
            }
            () = keeper.due(&book) => UpgradeEvent::Tick,
        };
        match event {
            UpgradeEvent::ShutdownRequested => {
                tracing::info!("asked to end");
                keeper.listener = None;
            }
            UpgradeEvent::Exited(who, _) | UpgradeEvent::StartFailed(who) => {
                drop(keeper.workers.remove(&who))
            }
            _ => {}
        }
        let rolled_back = book.counts().rolled_back;
        let actions = book.handle(keeper.now(), event);
        if book.counts().rolled_back > rolled_back && !book.is_upgrading() {
            tracing::warn!("the upgrade is undone: {:?}", book.last_rollback());
        }
        if let Some(code) = keeper.carry_out(&book, actions) {
            return Ok(code);
        }
    }
}

impl Keeper {
    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as i64)
    }

    async fn due(&self, book: &UpgradeStateMachine) {
        match book.next_tick() {
            Some(due) => {
                let left = (due - self.now()).as_micros().max(0) as u64;
                tokio::time::sleep(std::time::Duration::from_micros(left)).await;
            }
            None => std::future::pending().await,
        }
    }

    /// SIGHUP: workers read their node configuration again, the keeper the operators' file. A faulty one changes nothing.
    fn reload(&self, book: &mut UpgradeStateMachine) {
        for worker in self.workers.values() {
            let _ = worker.signals.send(Signal::HUP);
        }
        let Some(path) = &self.operators else { return };
        match OperatorsConfig::read(path) {
            Ok(OperatorsConfig { upgrade: Some(upgrade), .. }) => {
                book.set_timeouts(times(upgrade));
                tracing::info!("the operators' file is read again");
            }
            Ok(_) => tracing::error!("/upgrade is off in the new operators' file: that takes a new start"),
            Err(wrong) => tracing::error!("the new operators' file is faulty, the old one stays: {wrong}"),
        }
    }

    fn carry_out(&mut self, book: &UpgradeStateMachine, actions: Vec<UpgradeAction>) -> Option<i32> {
        for action in actions {
            tracing::debug!(?action);
            match action {
                UpgradeAction::Start(who) => {
                    if let Err(wrong) = self.start_worker(who) {
                        tracing::error!("{} can't be started: {wrong:#}", self.program.display());
                        let _ = self.events.send(UpgradeEvent::StartFailed(who));
                    }
                }
                UpgradeAction::Serve(who) => match self.listener.as_ref().map(|l| l.try_clone()) {
                    Some(Ok(listener)) => {
                        tracing::info!(worker = who.0, "serves");
                        self.tell(who, ToWorker::Serve, Some(listener.into()));
                    }
                    Some(Err(e)) => {
                        // Without the listener it is of no use; its end is dealt with as any other.
                        tracing::error!("the listener can't be given to a worker: {e}");
                        self.signal(who, Signal::KILL);
                    }
                    None => {}
                },
                UpgradeAction::Connect { predecessor: old, successor: new } => match socket_pair() {
                    Ok((a, b)) => {
                        tracing::info!(old = old.0, new = new.0, "hands over");
                        self.tell(old, ToWorker::HandOver, Some(a.into()));
                        self.tell(new, ToWorker::TakeOver, Some(b.into()));
                    }
                    // The limit of the step ends this try.
                    Err(e) => tracing::error!("no link between workers: {e}"),
                },
                UpgradeAction::ContinueAlone(who) => self.tell(who, ToWorker::ContinueAlone, None),
                UpgradeAction::TransferConnections(who) => {
                    tracing::info!(worker = who.0, "passes listener and connections");
                    self.tell(who, ToWorker::TransferConnections, None);
                }
                UpgradeAction::Kill(who) => self.signal(who, Signal::KILL),
                UpgradeAction::Terminate(who) => self.signal(who, Signal::TERM),
                UpgradeAction::ReportCounts(who) => {
                    self.tell(who, ToWorker::UpgradeCounts(book.counts()), None);
                }
                UpgradeAction::Exit(code) => return Some(code),
            }
        }
        None
    }

    fn tell(&self, who: WorkerId, what: ToWorker, fd: Option<OwnedFd>) {
        if let Some(worker) = self.workers.get(&who) {
            worker.to.send(&what, fd);
        }
    }

    fn signal(&self, who: WorkerId, signal: Signal) {
        if let Some(worker) = self.workers.get(&who) {
            let _ = worker.signals.send(signal);
        }
    }

    fn start_worker(&mut self, who: WorkerId) -> Result<()> {
        let (ours, theirs) = socket_pair()?;
        let mut command = Command::new(&self.program);
        command.arg("work").stdin(Stdio::from(OwnedFd::from(theirs)));
        if let Some(path) = &self.operators {
            command.arg("--operators").arg(path);
        }
        let child = command.spawn()?;
        let (to, from) = open_link(ours)?;
        to.send(&ToWorker::Hello { version: VERSION }, None);
        let (signals, wanted) = unbounded_channel();
        tracing::info!(worker = who.0, pid = child.id(), "started");
        tokio::task::spawn_local(listen(who, from, self.events.clone()));
        tokio::task::spawn_local(wait(who, child, wanted, self.events.clone()));
        self.workers.insert(who, Running { to, signals });
        Ok(())
    }
}

/// Hands on what the worker says, until it says no more.
async fn listen(who: WorkerId, mut from: LinkReceiver, events: UnboundedSender<UpgradeEvent>) {
    loop {
        let event = match from.receive::<ToSupervisor>().await.map(|received| received.message) {
            Ok(ToSupervisor::Hello { version: VERSION }) => continue,
            Ok(ToSupervisor::Hello { version }) => {
                tracing::error!(worker = who.0, "speaks version {version}, not {VERSION}");
                UpgradeEvent::ProtocolError(who)
            }
            Ok(ToSupervisor::Ready) => UpgradeEvent::Ready(who),
            Ok(ToSupervisor::StateLoaded) => UpgradeEvent::StateLoaded(who),
            Ok(ToSupervisor::Heartbeat) => UpgradeEvent::Heartbeat(who),
            Ok(ToSupervisor::Drained) => UpgradeEvent::Drained(who),
            Ok(ToSupervisor::HandedOver) => UpgradeEvent::HandedOver(who),
            Err(LinkError::Closed | LinkError::Io(_)) => return,
            Err(wrong) => {
                tracing::error!(worker = who.0, "{wrong}");
                let _ = events.send(UpgradeEvent::ProtocolError(who));
                return;
            }
        };
        let _ = events.send(event);
    }
}

/// Waits for the process's end; it is signalled only before that, so that no other process ever is.
async fn wait(
    who: WorkerId,
    mut child: Child,
    mut wanted: UnboundedReceiver<Signal>,
    events: UnboundedSender<UpgradeEvent>,
) {
    let status: Option<ExitStatus> = loop {
        tokio::select! {
            status = child.wait() => break status.ok(),
            Some(signal) = wanted.recv() => {
                if let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
                    let _ = kill_process(pid, signal);
                }
            }
        }
    };
    tracing::info!(worker = who.0, "ended: {}", status.map_or("unknown".to_string(), |s| s.to_string()));
    let _ = events.send(UpgradeEvent::Exited(who, status.and_then(|s| s.code())));
}

/// The program's path as it was started, resolved now: what is put there later is what an upgrade starts.
pub fn program() -> Result<PathBuf> {
    let path = std::env::current_exe().context("the program's path")?;
    Ok(Path::new(&path).to_path_buf())
}

//! Starts a worker process with a link to the upgrade supervisor as its standard input, signals it and waits for its
//! exit.

use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{ExitStatus, Stdio};

use anyhow::Result;
use pipitcrank_handover::descriptor_passing::{LinkError, LinkReceiver, LinkSender, open_link, socket_pair};
use pipitcrank_handover::messages::{PROTOCOL_VERSION, ToSupervisor, ToWorker};
use pipitcrank_handover::upgrade_event::{UpgradeEvent, WorkerId};
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A running worker process.
pub(crate) struct WorkerProcess {
    link: LinkSender,
    signals: UnboundedSender<Signal>,
}

impl WorkerProcess {
    /// Starts the program as a worker. Its messages and its exit are sent to `events`.
    pub(crate) fn start(
        id: WorkerId,
        program: &Path,
        operators: Option<&Path>,
        events: &UnboundedSender<UpgradeEvent>,
    ) -> Result<WorkerProcess> {
        let (ours, theirs) = socket_pair()?;
        let mut command = Command::new(program);
        command.arg("work").stdin(Stdio::from(OwnedFd::from(theirs)));
        if let Some(path) = operators {
            command.arg("--operators").arg(path);
        }
        let child = command.spawn()?;
        let (link, receiver) = open_link(ours)?;
        link.send(&ToWorker::Hello { version: PROTOCOL_VERSION }, None);
        let (signals, signals_to_send) = unbounded_channel();
        tracing::info!(worker = id.0, pid = child.id(), "worker started");
        tokio::task::spawn_local(forward_messages(id, receiver, events.clone()));
        tokio::task::spawn_local(wait_for_exit(id, child, signals_to_send, events.clone()));
        Ok(WorkerProcess { link, signals })
    }

    pub(crate) fn send(&self, message: &ToWorker, descriptor: Option<OwnedFd>) {
        self.link.send(message, descriptor);
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let _ = self.signals.send(signal);
    }
}

/// Forwards the worker's messages as events until its link is closed.
async fn forward_messages(id: WorkerId, mut link: LinkReceiver, events: UnboundedSender<UpgradeEvent>) {
    loop {
        let event = match link.receive::<ToSupervisor>().await.map(|received| received.message) {
            Ok(ToSupervisor::Hello { version: PROTOCOL_VERSION }) => continue,
            Ok(ToSupervisor::Hello { version }) => {
                tracing::error!(
                    worker = id.0,
                    "worker has protocol version {version}, expected {PROTOCOL_VERSION}; killing it"
                );
                UpgradeEvent::ProtocolError(id)
            }
            Ok(ToSupervisor::Ready) => UpgradeEvent::Ready(id),
            Ok(ToSupervisor::StateLoaded) => UpgradeEvent::StateLoaded(id),
            Ok(ToSupervisor::Heartbeat) => UpgradeEvent::Heartbeat(id),
            Ok(ToSupervisor::Drained) => UpgradeEvent::Drained(id),
            Ok(ToSupervisor::HandedOver) => UpgradeEvent::HandedOver(id),
            Err(LinkError::Closed | LinkError::Io(_)) => return,
            Err(error) => {
                tracing::error!(worker = id.0, "can't read messages from the worker, killing it: {error}");
                let _ = events.send(UpgradeEvent::ProtocolError(id));
                return;
            }
        };
        let _ = events.send(event);
    }
}

/// Waits for the exit of the process and delivers signals until then. After the exit no signal is sent, since the
/// process id may belong to another process.
async fn wait_for_exit(
    id: WorkerId,
    mut child: Child,
    mut signals: UnboundedReceiver<Signal>,
    events: UnboundedSender<UpgradeEvent>,
) {
    let status: Option<ExitStatus> = loop {
        tokio::select! {
            status = child.wait() => break status.ok(),
            Some(signal) = signals.recv() => {
                if let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
                    let _ = kill_process(pid, signal);
                }
            }
        }
    };
    let described = status.map_or("unknown".to_string(), |status| status.to_string());
    tracing::info!(worker = id.0, "worker process exited: {described}");
    let _ = events.send(UpgradeEvent::Exited(id, status.and_then(|status| status.code())));
}

//! The upgrade worker: executes the supervisor's commands and reports its progress over the supervisor's link.
//!
//! The supervisor decides the order of steps and all timeouts (`pipitcrank_handover::upgrade_state`); `resource_split`
//! decides the resources that each of the two processes may use.

use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream as StdStream;
use std::rc::Rc;
use std::time::Duration;

use pipitcrank_handover::descriptor_passing::{LinkError, LinkReceiver, LinkSender, Received, open_link};
use pipitcrank_handover::messages::{PROTOCOL_VERSION, ToPredecessor, ToSuccessor, ToSupervisor, ToWorker};
use pipitcrank_handover::upgrade_event::UpgradeCounts;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Interval, MissedTickBehavior};

use super::context::UpgradeContext;
use super::predecessor::Predecessor;
use super::successor::Successor;
use crate::clients::acceptor::AcceptorCommand;
use crate::clients::connection::AdoptedConnection;
use crate::exchange::Exchange;
use crate::runtime::counter_names::{group, upgrade};

/// Interval of heartbeats and progress checks; a small fraction of any timeout that operators may set.
const TICK: Duration = Duration::from_millis(50);

/// The other process of an upgrade, if one is in progress.
enum Peer {
    None,
    Predecessor(Predecessor),
    Successor(Successor),
}

/// Whether the supervisor's link is still open.
enum Supervision {
    Continues,
    Ended,
}

/// Executes the supervisor's commands until the supervisor exits. Then it requests the shutdown of this process, which could no
/// longer be upgraded or signalled.
pub async fn run(context: Rc<UpgradeContext>, supervisor: StdStream) -> Result<(), LinkError> {
    let mut worker = Worker::start(context, supervisor)?;
    while let Supervision::Continues = worker.step().await? {}
    Ok(())
}

async fn receive<M: DeserializeOwned>(link: &mut Option<LinkReceiver>) -> Result<Received<M>, LinkError> {
    match link {
        Some(link) => link.receive().await,
        None => std::future::pending().await,
    }
}

struct Worker {
    context: Rc<UpgradeContext>,
    supervisor: LinkSender,
    from_supervisor: LinkReceiver,
    peer: Peer,
    from_predecessor: Option<LinkReceiver>,
    from_successor: Option<LinkReceiver>,
    /// Channel of the client connections that the acceptor releases for the successor.
    transfers: UnboundedSender<AdoptedConnection>,
    transferred: UnboundedReceiver<AdoptedConnection>,
    ticks: Interval,
}

impl Worker {
    fn start(context: Rc<UpgradeContext>, supervisor: StdStream) -> Result<Worker, LinkError> {
        let (supervisor, from_supervisor) = open_link(supervisor)?;
        supervisor.send(&ToSupervisor::Hello { version: PROTOCOL_VERSION }, None);
        supervisor.send(&ToSupervisor::Ready, None);
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (transfers, transferred) = unbounded_channel();
        Ok(Worker {
            context,
            supervisor,
            from_supervisor,
            peer: Peer::None,
            from_predecessor: None,
            from_successor: None,
            transfers,
            transferred,
            ticks,
        })
    }

    async fn step(&mut self) -> Result<Supervision, LinkError> {
        tokio::select! {
            received = self.from_supervisor.receive::<ToWorker>() => match received {
                Ok(Received { message, descriptor }) => self.handle_supervisor(message, descriptor)?,
                Err(_) => {
                    self.supervisor_exited();
                    return Ok(Supervision::Ended);
                }
            },
            received = receive(&mut self.from_predecessor) => self.handle_predecessor(received),
            received = receive(&mut self.from_successor) => self.handle_successor(received),
            Some(connection) = self.transferred.recv() => {
                if let Peer::Successor(successor) = &self.peer {
                    successor.transfer(connection);
                }
            }
            _ = self.ticks.tick() => self.tick().await,
        }
        Ok(Supervision::Continues)
    }

    fn supervisor_exited(&self) {
        tracing::warn!("upgrade supervisor exited, shutting down");
        self.context.use_initial_list();
        self.context.request_shutdown();
    }

    fn handle_supervisor(&mut self, message: ToWorker, descriptor: Option<OwnedFd>) -> Result<(), LinkError> {
        match message {
            ToWorker::Hello { version: PROTOCOL_VERSION } => {}
            ToWorker::Hello { .. } => return Err(LinkError::Malformed),
            ToWorker::Serve => self.serve(descriptor)?,
            ToWorker::TakeOver => {
                let (link, receiver) = open_peer_link(descriptor)?;
                link.send(&ToPredecessor::Hello { version: PROTOCOL_VERSION }, None);
                self.from_predecessor = Some(receiver);
                self.peer = Peer::Predecessor(Predecessor::new(link));
            }
            ToWorker::HandOver => {
                let (link, receiver) = open_peer_link(descriptor)?;
                link.send(&ToSuccessor::Hello { version: PROTOCOL_VERSION }, None);
                self.from_successor = Some(receiver);
                self.peer = Peer::Successor(Successor::new(link));
            }
            ToWorker::TransferConnections => {
                if let Peer::Successor(successor) = &mut self.peer {
                    successor.transferring = true;
                    let command = AcceptorCommand::Transfer(self.transfers.clone());
                    let _ = self.context.acceptor.send(command);
                }
            }
            ToWorker::ContinueAlone => self.continue_alone(),
            ToWorker::UpgradeCounts(counts) => self.set_upgrade_counters(counts),
        }
        Ok(())
    }

    fn serve(&self, descriptor: Option<OwnedFd>) -> Result<(), LinkError> {
        let listener = std::net::TcpListener::from(descriptor.ok_or(LinkError::DescriptorMismatch)?);
        listener.set_nonblocking(true)?;
        if matches!(self.peer, Peer::None) {
            self.context.use_initial_list();
        }
        let _ = self.context.acceptor.send(AcceptorCommand::Accept(TcpListener::from_std(listener)?));
        Ok(())
    }

    fn continue_alone(&mut self) {
        match std::mem::replace(&mut self.peer, Peer::None) {
            Peer::Successor(successor) => successor.abandon(&self.context),
            Peer::Predecessor(predecessor) => predecessor.abandon(&self.context),
            Peer::None => {}
        }
        (self.from_predecessor, self.from_successor) = (None, None);
    }

    fn set_upgrade_counters(&self, counts: UpgradeCounts) {
        let UpgradeCounts { requested, completed, rolled_back } = counts;
        for (name, value) in [
            (upgrade::REQUESTED, requested),
            (upgrade::COMPLETED, completed),
            (upgrade::ROLLED_BACK, rolled_back),
        ] {
            self.context.event_loop.counters.set(group::UPGRADES, name, value);
        }
    }

    fn handle_predecessor(&mut self, received: Result<Received<ToSuccessor>, LinkError>) {
        match received {
            Ok(Received { message, descriptor }) => {
                if let Peer::Predecessor(predecessor) = &mut self.peer {
                    predecessor.handle(&self.context, &self.supervisor, message, descriptor);
                }
            }
            Err(error) => {
                tracing::info!("link to the predecessor closed: {error}");
                self.from_predecessor = None;
                if let Peer::Predecessor(predecessor) = &mut self.peer {
                    // No last message can arrive any more, so all delegated retries count as used.
                    predecessor.settle(&self.context, None);
                }
            }
        }
    }

    fn handle_successor(&mut self, received: Result<Received<ToPredecessor>, LinkError>) {
        let message = received.map(|received| received.message);
        match (message, &mut self.peer) {
            (Ok(ToPredecessor::Hello { version: PROTOCOL_VERSION }), Peer::Successor(successor)) => {
                successor.hand_over(&self.context);
            }
            (Ok(ToPredecessor::Response { ticket, response }), _) => {
                self.context.relay.respond(ticket, response);
            }
            (Ok(_), _) => {
                tracing::warn!("successor uses an unsupported protocol version, closing its link");
                self.from_successor = None;
            }
            (Err(error), _) => {
                // The supervisor decides how the upgrade ends; the relayed queries are answered at once.
                tracing::info!("link to the successor closed: {error}");
                self.from_successor = None;
                let lost = self.context.relay.stop();
                tracing::warn!("answered {lost} relayed queries that were pending at the successor");
            }
        }
    }

    async fn tick(&mut self) {
        match &mut self.peer {
            Peer::Predecessor(predecessor) if predecessor.is_active() => {
                self.supervisor.send(&ToSupervisor::Heartbeat, None);
            }
            Peer::Successor(successor) if successor.has_state => {
                successor.report_held_resources(&self.context);
                let is_drained = self.context.event_loop.read(Exchange::is_drained);
                if is_drained && !successor.drained {
                    successor.drained = true;
                    self.supervisor.send(&ToSupervisor::Drained, None);
                }
                if is_drained && successor.transferring && self.nothing_left_to_transfer() {
                    self.finish_handover().await;
                }
            }
            _ => {}
        }
    }

    fn nothing_left_to_transfer(&self) -> bool {
        self.from_successor.is_some()
            && self.context.relay.is_empty()
            && self.context.client_connections.open() == 0
            && self.transferred.is_empty()
    }

    async fn finish_handover(&mut self) {
        if let Peer::Successor(successor) = std::mem::replace(&mut self.peer, Peer::None) {
            successor.finish(&self.context);
        }
        self.supervisor.send(&ToSupervisor::HandedOver, None);
        // Leaves the sender tasks time to write the queued messages before they end.
        tokio::time::sleep(TICK).await;
        let _ = self.context.acceptor.send(AcceptorCommand::Exit);
    }
}

fn open_peer_link(descriptor: Option<OwnedFd>) -> Result<(LinkSender, LinkReceiver), LinkError> {
    open_link(StdStream::from(descriptor.ok_or(LinkError::DescriptorMismatch)?))
}

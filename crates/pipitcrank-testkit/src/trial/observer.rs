//! Observes all members of a cluster over the failover protocol: polls the status of each member, records the
//! answers, and sends operators' orders.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use pipitcrank_failover::decision::{Decision, OperatorOrder, UNKNOWN_CAPACITY};
use pipitcrank_failover::node::{OperatorAnswer, OperatorClient, ReceivedAnswer, StatusReport};
use pipitcrank_failover::routing_table::{Proximity, RoutingTable};
use pipitcrank_membership::envelope::derive_key;
use tokio::net::UdpSocket;

use super::operators_file::SECRET;
use crate::fleet::free_address;

/// Pause between two polls of all members.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for an answer to an order.
const ORDER_LIMIT: Duration = Duration::from_secs(6);
/// Pause between two retransmissions of an order.
const ORDER_INTERVAL: Duration = Duration::from_millis(300);
/// Size of the receive buffer.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// A member to observe.
pub(super) struct ObservedMember {
    pub address: SocketAddr,
    /// Whether the script expects the member to be running.
    pub up: Rc<Cell<bool>>,
}

/// Decisions and statuses that the members reported.
#[derive(Default)]
pub(super) struct Observations {
    /// All reported decisions by number.
    pub decisions: BTreeMap<u64, Decision>,
    /// Time of the first report of each decision, by decision number.
    pub first_seen: BTreeMap<u64, Instant>,
    /// Number of reports whose decision differs from an earlier one with the same number.
    pub conflicting_decisions: u64,
    /// Number of reports whose decision is older than one that the same member reported before.
    pub regressions: u64,
    /// Number of decisions that route more load to a zone than its capacity.
    pub over_capacity: u64,
    /// Number of the newest decision that each member reported.
    pub newest: BTreeMap<usize, u64>,
    /// Last status of each member with its time of receipt.
    pub last: BTreeMap<usize, (Instant, StatusReport)>,
}

impl Observations {
    fn record(&mut self, member: usize, status: StatusReport, proximity: &Proximity) {
        if let Some(decision) = &status.decision {
            match self.decisions.get(&decision.number) {
                Some(known) => self.conflicting_decisions += u64::from(known != decision),
                None => self.record_new(decision, proximity),
            }
            let newest = self.newest.entry(member).or_insert(0);
            self.regressions += u64::from(decision.number < *newest);
            *newest = decision.number.max(*newest);
        }
        self.last.insert(member, (Instant::now(), status));
    }

    fn record_new(&mut self, decision: &Decision, proximity: &Proximity) {
        let table = RoutingTable::new(decision, proximity);
        let over =
            table.load.iter().zip(&decision.zones).any(|(load, zone)| {
                zone.capacity != UNKNOWN_CAPACITY && *load > u64::from(zone.capacity) + 1
            });
        self.over_capacity += u64::from(over);
        self.first_seen.insert(decision.number, Instant::now());
        self.decisions.insert(decision.number, decision.clone());
    }

    /// Discards the observations of a member whose process has been replaced.
    pub(super) fn discard(&mut self, member: usize) {
        self.newest.remove(&member);
        self.last.remove(&member);
    }

    /// Number of the newest decision that any member reported, or 0 if there is none.
    pub(super) fn newest_number(&self) -> u64 {
        self.decisions.last_key_value().map_or(0, |(number, _)| *number)
    }
}

fn operator_client(socket: &UdpSocket) -> Result<OperatorClient> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    Ok(OperatorClient::new(derive_key(SECRET), socket.local_addr()?, since))
}

/// Starts a task that polls all members until the runtime ends. Statuses of members that should be down are ignored.
pub(super) async fn observe(
    observed: Rc<RefCell<Observations>>,
    members: Vec<ObservedMember>,
    proximity: Proximity,
) -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let mut client = operator_client(&socket)?;
    tokio::task::spawn_local(async move {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            for member in &members {
                if let Some(request) = client.request(member.address, None) {
                    let _ = socket.send_to(&request, member.address).await;
                }
            }
            let next_poll = tokio::time::Instant::now() + POLL_INTERVAL;
            while let Ok(received) = tokio::time::timeout_at(next_poll, socket.recv_from(&mut bytes)).await {
                let Ok((length, _)) = received else { continue };
                let Some(ReceivedAnswer { from, answer: OperatorAnswer::Status(status) }) =
                    client.open_answer(&bytes[..length])
                else {
                    continue;
                };
                let Some(index) = members.iter().position(|member| member.address == from) else { continue };
                // A datagram that a member sent before it was killed may still arrive.
                if members[index].up.get() {
                    observed.borrow_mut().record(index, status, &proximity);
                }
            }
        }
    });
    Ok(())
}

/// Sends an operator's order to all voters until the leader answers, as the program's `zones` command does. An order
/// without an answer counts as rejected.
///
/// # Errors
///
/// Returns an error if the socket can't be opened.
pub(super) async fn send_order(voters: &[SocketAddr], order: OperatorOrder) -> Result<OperatorAnswer> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let mut client = operator_client(&socket)?;
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    let until = Instant::now() + ORDER_LIMIT;
    while Instant::now() < until {
        for voter in voters {
            if let Some(request) = client.request(*voter, Some(order)) {
                let _ = socket.send_to(&request, voter).await;
            }
        }
        let next_try = tokio::time::Instant::now() + ORDER_INTERVAL;
        while let Ok(received) = tokio::time::timeout_at(next_try, socket.recv_from(&mut bytes)).await {
            let Ok((length, _)) = received else { continue };
            match client.open_answer(&bytes[..length]) {
                Some(ReceivedAnswer { answer: OperatorAnswer::NotLeader(_), .. }) | None => {}
                Some(ReceivedAnswer { answer, .. }) => return Ok(answer),
            }
        }
    }
    Ok(OperatorAnswer::Rejected("no answer".to_string()))
}

/// Returns an unused UDP address on loopback.
pub(super) async fn free_udp_address() -> Result<SocketAddr> {
    Ok(UdpSocket::bind((free_address()?.ip(), 0)).await?.local_addr()?)
}

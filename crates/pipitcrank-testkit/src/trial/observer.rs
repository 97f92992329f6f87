//! Observes all members of a cluster over the failover protocol: polls each for its status and keeps what it answered,
//! and sends operators' orders.

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
/// How long an order is repeated until it is answered, and the pause between two repeats.
const ORDER_LIMIT: Duration = Duration::from_secs(6);
const ORDER_INTERVAL: Duration = Duration::from_millis(300);
/// Longest datagram read.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// A member to observe: its address, and whether it is meant to be running.
pub(super) struct ObservedMember {
    pub address: SocketAddr,
    pub up: Rc<Cell<bool>>,
}

/// What was observed of the members.
#[derive(Default)]
pub(super) struct Observations {
    /// All decisions reported, by number.
    pub decisions: BTreeMap<u64, Decision>,
    /// When each was first reported.
    pub first_seen: BTreeMap<u64, Instant>,
    /// Reports of a decision that differs from one known under the same number.
    pub conflicting_decisions: u64,
    /// Reports of an older decision than the member reported before.
    pub regressions: u64,
    /// Decisions that route more to a zone than it can carry.
    pub over_capacity: u64,
    /// The newest decision that each member reported.
    pub newest: BTreeMap<usize, u64>,
    /// The last status of each member, and when it came.
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

    /// Forgets a member whose process is replaced by another.
    pub(super) fn forget(&mut self, member: usize) {
        self.newest.remove(&member);
        self.last.remove(&member);
    }

    /// The newest decision known anywhere, 0 if there is none.
    pub(super) fn newest_number(&self) -> u64 {
        self.decisions.last_key_value().map_or(0, |(number, _)| *number)
    }
}

fn operator_client(socket: &UdpSocket) -> Result<OperatorClient> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    Ok(OperatorClient::new(derive_key(SECRET), socket.local_addr()?, since))
}

/// Polls all members in a task of its own, for as long as the runtime lives; only those meant to be running are recorded.
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
                // What a member sent before it was killed may still arrive.
                if members[index].up.get() {
                    observed.borrow_mut().record(index, status, &proximity);
                }
            }
        }
    });
    Ok(())
}

/// Sends an operator's order to all voters until the leader answers, as the program's `zones` command does.
///
/// # Errors
///
/// A socket that can't be opened. An order that nobody answers counts as rejected.
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

/// A UDP address that nothing else uses.
pub(super) async fn free_udp_address() -> Result<SocketAddr> {
    Ok(UdpSocket::bind((free_address()?.ip(), 0)).await?.local_addr()?)
}

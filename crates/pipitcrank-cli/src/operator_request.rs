//! Requests of operators to co-ordinators, over the members' UDP protocol.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use pipitcrank_config::ZonesConfig;
use pipitcrank_failover::decision::OperatorOrder;
use pipitcrank_failover::node::{OperatorAnswer, OperatorClient};
use pipitcrank_membership::envelope::{MAX_DATAGRAM_BYTES, derive_key};
use tokio::net::UdpSocket;

use crate::clocks::micros_since_epoch;
use crate::runtime::block_on;

/// Interval after which an unanswered request is sent to all addresses again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// A request to one or more co-ordinators.
pub(crate) enum OperatorRequest {
    /// An operator's order, or a request for the status if there is none.
    Order(Option<OperatorOrder>),
    /// Request for the list of members after this address.
    Members { after: Option<SocketAddr> },
    /// Request to continue without the voters in these slots.
    ExcludeVoters(Vec<u8>),
}

/// Sends a request until a co-ordinator answers; `None` if there is no answer within `wait`. The answer that a
/// co-ordinator is not the leader is returned only if there is no other.
pub(crate) fn send(
    zones: &ZonesConfig,
    to: &[SocketAddr],
    request: &OperatorRequest,
    wait: Duration,
) -> Result<Option<OperatorAnswer>> {
    block_on(send_until_answered(zones, to, request, wait))?
}

async fn send_until_answered(
    zones: &ZonesConfig,
    to: &[SocketAddr],
    request: &OperatorRequest,
    wait: Duration,
) -> Result<Option<OperatorAnswer>> {
    let socket = UdpSocket::bind((zones.listen.ip(), 0)).await.context("an address to ask from")?;
    let mut client =
        OperatorClient::new(derive_key(&zones.secret), socket.local_addr()?, micros_since_epoch());
    let (until, mut last) = (Instant::now() + wait, None);
    while Instant::now() < until {
        for &address in to {
            let datagram = match request {
                OperatorRequest::Order(order) => client.request(address, *order),
                OperatorRequest::Members { after } => client.request_members(address, *after),
                OperatorRequest::ExcludeVoters(slots) => client.request_exclusion(address, slots.clone()),
            };
            if let Some(datagram) = datagram {
                let _ = socket.send_to(&datagram, address).await;
            }
        }
        let resend = Instant::now() + RESEND_INTERVAL;
        while let Some(answer) = receive_answer(&socket, &mut client, resend).await {
            match answer {
                OperatorAnswer::NotLeader(_) => last = Some(answer),
                answer => return Ok(Some(answer)),
            }
        }
    }
    Ok(last)
}

/// The next answer received before `until`.
async fn receive_answer(
    socket: &UdpSocket,
    client: &mut OperatorClient,
    until: Instant,
) -> Option<OperatorAnswer> {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let received = tokio::time::timeout_at(until.into(), socket.recv_from(&mut buffer)).await.ok()?;
        // The error concerns one address without a receiver; others may still answer.
        let Ok((length, _)) = received else { continue };
        if let Some(received) = client.open_answer(&buffer[..length]) {
            return Some(received.answer);
        }
    }
}

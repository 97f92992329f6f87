//! Logs and counts the events of failover and membership.

use std::rc::Rc;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_failover::decision::Decision;
use pipitcrank_failover::node::NodeEvent;
use pipitcrank_membership::members::{Departure, MembershipEvent};
use pipitcrank_server::runtime::counters::Counters;

use crate::zone_topology::ZoneTopology;

/// Shortest interval between log lines on rejected datagrams. All of them are counted.
const REJECTION_LOG_INTERVAL: TimeSpan = TimeSpan::from_millis(10_000);

/// Log and counters of failover and membership events.
pub(crate) struct EventLog {
    topology: Rc<ZoneTopology>,
    last_rejection_log: Option<Timestamp>,
}

impl EventLog {
    pub(crate) fn new(topology: Rc<ZoneTopology>) -> EventLog {
        EventLog { topology, last_rejection_log: None }
    }

    /// Logs and counts one event.
    pub(crate) fn record(&mut self, now: Timestamp, event: NodeEvent, counters: &Counters) {
        match event {
            NodeEvent::Decided(decision) => self.decided(&decision, counters),
            NodeEvent::Proposed { cause, zone, health, reporters, voters } => {
                counters.add("zones", "proposed");
                let zone = &self.topology.names[usize::from(zone)];
                let (cause, evidence) = (cause.name(), health.name());
                tracing::info!(
                    cause,
                    zone,
                    evidence,
                    reporters,
                    voters,
                    "as leader, proposing a zone decision to the voters"
                );
            }
            NodeEvent::Membership(event) => self.membership_changed(event, counters),
            NodeEvent::StatusChanged(status) => {
                counters.add("zones_standing", status.name());
                tracing::info!("status of this co-ordinator's zone decision changed to {}", status.name());
            }
            NodeEvent::LeadershipChanged(leads) => {
                counters.add("zones", if leads { "leads" } else { "leads_no_more" });
                tracing::info!(
                    "{}",
                    if leads {
                        "this co-ordinator is now the leader of the voters"
                    } else {
                        "this co-ordinator is no longer the leader of the voters"
                    }
                );
            }
            NodeEvent::DatagramRejected(rejection) => self.rejected(now, rejection.name(), counters),
            NodeEvent::Undecodable => self.rejected(now, "unread", counters),
            NodeEvent::OrderAnswered(order, answer) => tracing::info!(?order, ?answer, "answered an order"),
        }
    }

    fn decided(&self, decision: &Decision, counters: &Counters) {
        counters.add("zones", "decisions");
        let zone = &self.topology.names[usize::from(decision.zone)];
        let states = self.topology.names.iter().zip(&decision.zones).map(|(name, zone)| {
            format!("{name} {} {:.1} %", zone.state.name(), f64::from(zone.retained) / 10.0)
        });
        let states: Vec<String> = states.collect();
        tracing::info!(
            number = decision.number,
            cause = decision.cause.name(),
            zone,
            frozen = decision.frozen,
            "zone decision in effect: {}",
            states.join(", ")
        );
    }

    fn membership_changed(&self, event: MembershipEvent, counters: &Counters) {
        match event {
            MembershipEvent::Up(peer) => {
                counters.add("members", "up");
                let zone = self.topology.name(peer.zone);
                tracing::info!(member = %peer.address, zone, "member joined");
            }
            MembershipEvent::Down(peer, departure) => {
                let departure = match departure {
                    Departure::Left => "left",
                    Departure::Upgraded => "upgraded",
                    Departure::Died => "died",
                };
                counters.add("members", departure);
                let zone = self.topology.name(peer.zone);
                tracing::info!(member = %peer.address, zone, "member {departure}");
            }
            MembershipEvent::Refuted(_) => {
                counters.add("members", "refuted");
                tracing::warn!(
                    "other members reported this co-ordinator as failed; it rejoins under a new identity"
                );
            }
        }
    }

    fn rejected(&mut self, now: Timestamp, reason: &'static str, counters: &Counters) {
        counters.add("peers_left", reason);
        if self.last_rejection_log.is_none_or(|last| now - last >= REJECTION_LOG_INTERVAL) {
            self.last_rejection_log = Some(now);
            tracing::warn!(
                reason,
                "rejected a datagram; this is logged every 10 s at most, and each is counted under peers_left"
            );
        }
    }
}

//! Another site as this one sends to it: its streams and its health, and what both tell the exchange.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use pipitcrank_core::ids::ReplicaId;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::AttemptId;
use pipitcrank_server::runtime::event_loop::EventLoop;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::sent_forwards::{ClosedForward, SentForwards};
use crate::site_health::{ForwardResult, SiteHealth};

/// A change of a site's delay by less than this fraction and [`MIN_DELAY_CHANGE_S`] is not passed on: each change makes
/// the decision module look at all candidates again.
const MIN_DELAY_CHANGE: f64 = 0.1;
/// See [`MIN_DELAY_CHANGE`]; in seconds.
const MIN_DELAY_CHANGE_S: f64 = 0.001;

/// This site, and what its tasks share.
pub(crate) struct LocalSite {
    pub(crate) event_loop: Rc<EventLoop>,
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    /// Names of the request classes.
    pub(crate) classes: Vec<String>,
}

/// What a stream's task is to do.
pub(crate) enum StreamCommand {
    Forward { replica: ReplicaId, attempts: Vec<AttemptId> },
    Cancel { number: u64 },
}

/// One stream of forwards: a connection while it is up, and what outlasts it.
pub(crate) struct LinkStream {
    pub(crate) number: u16,
    pub(crate) commands: UnboundedSender<StreamCommand>,
    pub(crate) sent: RefCell<SentForwards<AttemptId>>,
    /// Forward commands that wait; with the outstanding forwards they say how busy the stream is.
    pub(crate) queued: Cell<usize>,
    pub(crate) is_up: Cell<bool>,
}

impl LinkStream {
    /// Ends the attempts of a command that can't be carried out: they never ran.
    pub(crate) fn reject(&self, local: &LocalSite, command: StreamCommand) {
        if let StreamCommand::Forward { replica, attempts } = command {
            self.queued.set(self.queued.get() - 1);
            local.never_began(replica, attempts);
        }
    }

    /// Rejects commands for as long as there are senders.
    pub(crate) async fn reject_all(
        &self,
        local: &LocalSite,
        commands: &mut UnboundedReceiver<StreamCommand>,
    ) {
        while let Some(command) = commands.recv().await {
            self.reject(local, command);
        }
    }
}

impl LocalSite {
    /// Nothing of these attempts was sent.
    pub(crate) fn never_began(&self, replica: ReplicaId, attempts: Vec<AttemptId>) {
        self.event_loop.update(|exchange| {
            attempts.into_iter().for_each(|attempt| exchange.attempt_never_started(replica, attempt))
        });
    }
}

/// Another site.
pub(crate) struct RemoteSite {
    /// Its number with the exchange.
    pub(crate) number: u16,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) health: RefCell<SiteHealth>,
    pub(crate) streams: Vec<Rc<LinkStream>>,
    /// The delay that the exchange has; none while the site is closed.
    pub(crate) published_delay: Cell<Option<TimeSpan>>,
}

impl RemoteSite {
    /// Passes the site's delay on to the exchange, where it differs by enough to matter.
    pub(crate) fn publish_delay(&self, local: &LocalSite) {
        let delay = self.health.borrow_mut().delay(local.event_loop.clock.now());
        let published = self.published_delay.get();
        if is_similar(delay, published) {
            return;
        }
        if delay.is_some() != published.is_some() {
            let (state, counted) = if delay.is_some() { ("open", "opened") } else { ("closed", "closed") };
            let delay_ms = delay.map(|delay| delay.as_secs_f64() * 1000.0);
            tracing::info!(site = self.name, delay_ms, "site is {state}");
            local.event_loop.counters.add("sites", counted);
        }
        self.published_delay.set(delay);
        local.event_loop.update(|exchange| exchange.set_remote_delay(self.number, delay));
    }

    /// A forward has ended: for the site's health, the retry budget and the attempts.
    pub(crate) fn close(&self, local: &LocalSite, closed: ClosedForward<AttemptId>) {
        let now = local.event_loop.clock.now();
        self.health.borrow_mut().forward_ended(now, closed.health_id, closed.result);
        let counted = match closed.result {
            ForwardResult::Answered => "answered",
            ForwardResult::Rejected(_) => "rejected",
            ForwardResult::Neutral => "over",
            ForwardResult::Failed => "failed",
        };
        local.event_loop.counters.add("forwards", counted);
        local.event_loop.update(|exchange| {
            if let Some(retries_made) = closed.retries_made {
                exchange.delegation_returned(now, closed.delegation, retries_made);
            }
            for attempt in closed.attempts {
                exchange.attempt_ended(attempt, closed.outcome, None, None);
            }
        });
        self.publish_delay(local);
    }

    /// Ends forwards past their deadline.
    pub(crate) fn expire_forwards(&self, local: &LocalSite) {
        let now = local.event_loop.clock.now();
        for stream in &self.streams {
            let expired = stream.sent.borrow_mut().expire(now);
            expired.into_iter().for_each(|closed| self.close(local, closed));
        }
    }
}

fn is_similar(delay: Option<TimeSpan>, published: Option<TimeSpan>) -> bool {
    match (delay, published) {
        (Some(delay), Some(published)) => {
            let change = (delay - published).as_secs_f64().abs();
            change <= published.as_secs_f64() * MIN_DELAY_CHANGE + MIN_DELAY_CHANGE_S
        }
        (delay, published) => delay.is_none() && published.is_none(),
    }
}

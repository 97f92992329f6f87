//! State of another site on the sending side: its streams and its health, and the events that both report to the
//! exchange.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use pipitcrank_core::ids::ReplicaId;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::AttemptHandle;
use pipitcrank_server::runtime::event_loop::EventLoop;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::sent_forwards::{ClosedForward, SentForwards};
use crate::site_health::{ForwardResult, SiteHealth};

/// Changes of a site's delay up to this fraction of the published delay plus [`MIN_DELAY_CHANGE_S`] are not published,
/// since each published change makes the `Coordinator` re-evaluate all candidates.
const MIN_DELAY_CHANGE: f64 = 0.1;
/// Constant part of the threshold described at [`MIN_DELAY_CHANGE`], in seconds.
const MIN_DELAY_CHANGE_S: f64 = 0.001;

/// The local site, with the state that its tasks share.
pub(crate) struct LocalSite {
    pub(crate) event_loop: Rc<EventLoop>,
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    /// Names of the request classes.
    pub(crate) classes: Vec<String>,
}

/// Command to the task of a stream.
pub(crate) enum StreamCommand {
    Forward { replica: ReplicaId, attempts: Vec<AttemptHandle> },
    Cancel { number: u64 },
}

/// One stream of forwards to another site. Its state outlasts the individual connections.
pub(crate) struct LinkStream {
    pub(crate) number: u16,
    pub(crate) commands: UnboundedSender<StreamCommand>,
    pub(crate) sent: RefCell<SentForwards<AttemptHandle>>,
    /// Number of queued forward commands, which count towards the load by which a stream is selected.
    pub(crate) queued: Cell<usize>,
    pub(crate) is_up: Cell<bool>,
}

impl LinkStream {
    /// Rejects a command that can't be executed: the attempts in it are reported as never started.
    pub(crate) fn reject(&self, local: &LocalSite, command: StreamCommand) {
        if let StreamCommand::Forward { attempts, .. } = command {
            self.queued.set(self.queued.get() - 1);
            local.attempts_never_started(attempts);
        }
    }

    /// Rejects commands until the command channel is closed.
    pub(crate) async fn reject_commands(
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
    /// Reports to the exchange that these attempts were never sent.
    pub(crate) fn attempts_never_started(&self, attempts: Vec<AttemptHandle>) {
        self.event_loop.update(|exchange| {
            attempts.into_iter().for_each(|attempt| exchange.attempt_never_started(attempt))
        });
    }
}

/// Another site, to which forwards are sent.
pub(crate) struct RemoteSite {
    /// Number of the site in the exchange.
    pub(crate) number: u16,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) health: RefCell<SiteHealth>,
    pub(crate) streams: Vec<Rc<LinkStream>>,
    /// The delay last published to the exchange; `None` while the site is closed.
    pub(crate) published_delay: Cell<Option<TimeSpan>>,
}

impl RemoteSite {
    /// Publishes the site's delay to the exchange if it differs enough from the last published delay.
    pub(crate) fn publish_delay(&self, local: &LocalSite) {
        let delay = self.health.borrow_mut().delay(local.event_loop.clock.now());
        let published = self.published_delay.get();
        if is_similar(delay, published) {
            return;
        }
        if delay.is_some() != published.is_some() {
            let (state, counter) = if delay.is_some() { ("open", "opened") } else { ("closed", "closed") };
            let delay_ms = delay.map(|delay| delay.as_secs_f64() * 1000.0);
            tracing::info!(site = self.name, delay_ms, "remote site is now {state} for forwards");
            local.event_loop.counters.add("sites", counter);
        }
        self.published_delay.set(delay);
        local.event_loop.update(|exchange| exchange.set_remote_delay(self.number, delay));
    }

    /// Reports a closed forward to the site's health, the retry budget and its attempts.
    pub(crate) fn close_forward(&self, local: &LocalSite, closed: ClosedForward<AttemptHandle>) {
        let now = local.event_loop.clock.now();
        self.health.borrow_mut().forward_ended(now, closed.health_id, closed.result);
        let counter = match closed.result {
            ForwardResult::Answered => "answered",
            ForwardResult::Rejected(_) => "rejected",
            ForwardResult::Neutral => "over",
            ForwardResult::Failed => "failed",
        };
        local.event_loop.counters.add("forwards", counter);
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

    /// Closes the forwards whose deadline has passed.
    pub(crate) fn expire_forwards(&self, local: &LocalSite) {
        let now = local.event_loop.clock.now();
        for stream in &self.streams {
            let expired = stream.sent.borrow_mut().expire(now);
            expired.into_iter().for_each(|closed| self.close_forward(local, closed));
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

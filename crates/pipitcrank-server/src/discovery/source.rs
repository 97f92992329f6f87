//! The discovery service at one address: polls and watches.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::endpoint_update::{EndpointUpdate, Endpoints};
use super::http::{HttpClient, MAX_LIST, complete_list, malformed, request};
use super::json_objects::JsonObjectStream;
use super::poll_pacing::PollPacing;
use crate::exchange::Endpoint;
use crate::replicas::connection_end::ConnectionEnd;
use crate::runtime::event_loop::EventLoop;

/// A watch that brings nothing whole for so long has died unnoticed, or never ends an object: an empty line is due every
/// 2 s.
const WATCH_SILENCE: Duration = Duration::from_millis(2500);
/// From one poll to the next. It leaves time for eight calls, of which seven may fail, before a change has to be known.
const POLL_INTERVAL: Duration = Duration::from_millis(2000);
/// A call that has brought nothing for so long gets another beside it.
const HEDGE_DELAY: Duration = Duration::from_millis(500);
/// Longest time of a call, for a list that comes slowly.
const CALL_TIMEOUT: Duration = Duration::from_millis(4000);
/// Calls under way at once: as many as begin within the longest time of one.
const MAX_CALLS: usize = 8;
/// A watch whose head does not come within this is asked for anew.
const WATCH_HEAD_TIMEOUT: Duration = Duration::from_millis(1000);
/// Between a watch that ended and the poll that follows: what ends all watches of a fleet does not cause a storm.
const PAUSE_AFTER_WATCH: Duration = Duration::from_millis(50);
/// Longest time of a call where calls are paid for: cancelled and repeated it would cost the service twice.
const PAID_CALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// An update as received.
struct ReceivedUpdate {
    revision: u64,
    complete: bool,
    endpoints: Vec<Endpoint>,
}

/// What follows a poll that brought a list.
#[derive(PartialEq)]
enum PollResult {
    Done,
    /// The list was older than the current one: to be polled once more before it counts.
    PollAgain,
}

pub(super) struct DiscoverySource<'a> {
    event_loop: &'a Rc<EventLoop>,
    client: &'a HttpClient,
    address: &'a str,
    /// Of the current list; none where there is none.
    revision: &'a Cell<Option<u64>>,
    pacing: Option<&'a PollPacing>,
    /// Asks for a poll before its time.
    poll_requested: Notify,
    /// A list has come where there was none.
    list_received: Notify,
    /// The last poll brought an older revision than the current one.
    doubted: Cell<bool>,
}

impl<'a> DiscoverySource<'a> {
    pub(super) fn new(
        event_loop: &'a Rc<EventLoop>,
        client: &'a HttpClient,
        address: &'a str,
        revision: &'a Cell<Option<u64>>,
        pacing: Option<&'a PollPacing>,
    ) -> DiscoverySource<'a> {
        DiscoverySource {
            event_loop,
            client,
            address,
            revision,
            pacing,
            poll_requested: Notify::new(),
            list_received: Notify::new(),
            doubted: Cell::new(false),
        }
    }

    /// Has the complete list polled before its time.
    pub(super) fn poll_now(&self) {
        self.poll_requested.notify_one();
    }

    pub(super) async fn poll_forever(&self) -> Infallible {
        if let Some(pacing) = self.pacing {
            return self.poll_paced(pacing).await;
        }
        loop {
            let begun = Instant::now();
            self.poll().await;
            tokio::select! {
                () = sleep_until(begun + POLL_INTERVAL) => {}
                () = self.poll_requested.notified() => sleep_until(begun + PAUSE_AFTER_WATCH).await,
            }
        }
    }

    /// Polls where each call is paid for: at once where there is no list or a poll was requested, else rarely, and more rarely
    /// while calls are refused, so that a fleet does not keep the service from answering anybody.
    async fn poll_paced(&self, pacing: &PollPacing) -> Infallible {
        let mut failed = 0;
        loop {
            if self.revision.get().is_some() {
                tokio::select! {
                    () = sleep(pacing.poll_interval(failed)) => {}
                    () = self.poll_requested.notified() => {}
                }
            }
            let before = self.revision.get();
            let deadline = Instant::now() + PAID_CALL_TIMEOUT;
            let received = complete_list(self.client, self.address, deadline).await;
            match received.and_then(|body| self.apply_poll(before, &body)) {
                Ok(PollResult::Done) => failed = 0,
                Ok(PollResult::PollAgain) => self.poll_requested.notify_one(),
                Err(end) => {
                    self.record_end("poll", end);
                    failed += 1;
                    // Without a list, polls are all that there is to go by.
                    if self.revision.get().is_none() {
                        sleep(pacing.pause(failed)).await;
                    }
                }
            }
        }
    }

    /// Polls until one call brings the list. Calls may hang, be refused, be reset or bring half a list: each costs
    /// `HEDGE_DELAY`, and none delays the next.
    async fn poll(&self) {
        let mut calls = JoinSet::new();
        let mut under_way: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let begun = Instant::now();
            if under_way.len() == MAX_CALLS {
                under_way.pop_front().inspect(AbortHandle::abort);
            }
            let (client, address) = (self.client.clone(), self.address.to_string());
            let before = self.revision.get();
            under_way.push_back(calls.spawn_local(async move {
                (before, complete_list(&client, &address, begun + CALL_TIMEOUT).await)
            }));
            loop {
                tokio::select! {
                    () = sleep_until(begun + HEDGE_DELAY) => break,
                    Some(done) = calls.join_next() => {
                        let Ok((before, received)) = done else { continue };
                        match received.and_then(|body| self.apply_poll(before, &body)) {
                            Ok(PollResult::Done) => return,
                            Ok(PollResult::PollAgain) => {}
                            Err(end) => self.record_end("poll", end),
                        }
                    }
                }
            }
        }
    }

    fn record_end(&self, what: &str, end: ConnectionEnd) {
        tracing::warn!("the {what} of discovery ended: {}", end.name());
        self.event_loop.counters.add("discovery", end.name());
    }

    /// Applies what a poll brought. `before`: the revision that was current when it began.
    fn apply_poll(&self, before: Option<u64>, body: &[u8]) -> Result<PollResult, ConnectionEnd> {
        let update = self.decode(body)?;
        if !update.complete {
            tracing::warn!("discovery sent changes in place of the complete list");
            return Err(ConnectionEnd::ProtocolError);
        }
        let revision = update.revision;
        let is_older = self.revision.get().is_some_and(|current| revision < current);
        // Another call brought a newer list while this one was under way.
        if is_older && before.is_some_and(|before| revision >= before) {
            return Ok(PollResult::Done);
        }
        // Revisions start anew where the service has. One call may have been answered late, so two calls have to agree.
        if is_older && !self.doubted.replace(true) {
            tracing::warn!(
                "discovery sent revision {revision} older than the current one; requesting the full list"
            );
            return Ok(PollResult::PollAgain);
        }
        self.doubted.set(false);
        // After a restart of the service its revisions may reach the current number with another list.
        if self.revision.get() != Some(revision)
            || !self.event_loop.read(|e| e.matches_endpoints(&update.endpoints))
        {
            self.apply(update);
        }
        Ok(PollResult::Done)
    }

    fn apply(&self, update: ReceivedUpdate) {
        let ReceivedUpdate { revision, complete, endpoints } = update;
        let now = self.event_loop.clock.now();
        self.event_loop.update(|e| e.update_endpoints(now, complete, endpoints));
        if self.revision.replace(Some(revision)).is_none() {
            self.list_received.notify_one();
        }
    }

    pub(super) async fn watch_forever(&self) -> Infallible {
        let mut failed = 0;
        if let Some(pacing) = self.pacing {
            sleep(pacing.initial_pause()).await;
        }
        loop {
            let Some(current) = self.revision.get() else {
                self.list_received.notified().await;
                continue;
            };
            let begun = Instant::now();
            let Err(end) = self.run_watch(current).await;
            self.record_end("watch", end);
            if let Some(pacing) = self.pacing {
                failed = if begun.elapsed() > 2 * PAID_CALL_TIMEOUT { 1 } else { failed + 1 };
                // A call that hangs once is no sign of too many: a poll goes beside the next.
                if end == ConnectionEnd::ConnectTimeout && failed <= 2 {
                    self.poll_requested.notify_one();
                }
                sleep(pacing.pause(failed)).await;
                continue;
            }
            self.poll_requested.notify_one();
            // At once after one that lasted.
            sleep_until(begun + HEDGE_DELAY).await;
        }
    }

    /// Runs one watch until it ends.
    async fn run_watch(&self, current: u64) -> Result<Infallible, ConnectionEnd> {
        let query = format!("?stream=1&index={current}");
        let head_timeout = if self.pacing.is_some() { PAID_CALL_TIMEOUT } else { WATCH_HEAD_TIMEOUT };
        let mut body = request(self.client, self.address, &query, Instant::now() + head_timeout).await?;
        // A list may come indented: a line is no object.
        let mut objects = JsonObjectStream::new(MAX_LIST);
        let (mut position, mut whole_since) = (current, Instant::now());
        loop {
            match timeout_at(whole_since + WATCH_SILENCE, body.frame()).await {
                Err(_) => return Err(ConnectionEnd::Silent),
                Ok(None) => return Err(ConnectionEnd::Closed),
                Ok(Some(Err(_))) => return Err(ConnectionEnd::Reset),
                Ok(Some(Ok(frame))) => objects.push(frame.data_ref().unwrap_or(&Bytes::new())),
            }
            while let Some(object) = objects.take().map_err(malformed)? {
                position = self.apply_watch_event(position, &object)?;
                whole_since = Instant::now();
            }
            // Only what is whole is a sign of life: an object may go on for ever.
            if !objects.has_partial() {
                whole_since = Instant::now();
            }
        }
    }

    /// Applies a watch event. `position`: the revision that the watch stood at; returns the one that it stands at now.
    fn apply_watch_event(&self, position: u64, object: &[u8]) -> Result<u64, ConnectionEnd> {
        let update = self.decode(object)?;
        let revision = update.revision;
        let current = self.revision.get();
        // A poll has found that revisions started anew: this watch is of the service's earlier incarnation.
        if current.is_some_and(|current| current < position) {
            return Err(ConnectionEnd::NotNeeded);
        }
        let is_older = revision < position;
        if is_older && !update.complete {
            tracing::warn!("discovery sent changes of revision {revision} after {position}");
            return Err(ConnectionEnd::ProtocolError);
        }
        // A poll may have brought as much already.
        if is_older || current.is_none_or(|current| current < revision) {
            self.apply(update);
        }
        Ok(revision)
    }

    fn decode(&self, bytes: &[u8]) -> Result<ReceivedUpdate, ConnectionEnd> {
        let update: Result<EndpointUpdate, _> = serde_json::from_slice(bytes);
        let update = update.map_err(|error| unreadable(&error))?;
        let revision = update.revision;
        let endpoints = update.endpoints(&self.event_loop.clock);
        let Endpoints { complete, endpoints } = endpoints.map_err(|error| unreadable(&error))?;
        Ok(ReceivedUpdate { revision, complete, endpoints })
    }
}

fn unreadable(error: &dyn std::error::Error) -> ConnectionEnd {
    tracing::warn!("discovery sent an update that can't be read: {error}");
    ConnectionEnd::ProtocolError
}

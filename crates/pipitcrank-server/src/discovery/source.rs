//! Polls and watches of the discovery service at one address.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::endpoint_update::{EndpointUpdate, Endpoints};
use super::http::{HttpClient, ListMemory, complete_list, malformed, request};
use super::json_objects::JsonObjectStream;
use super::poll_pacing::PollPacing;
use crate::exchange::Endpoint;
use crate::replicas::connection_end::ConnectionEnd;
use crate::runtime::counter_names::group;
use crate::runtime::event_loop::EventLoop;

/// Time limit for a watch to deliver an empty line or a complete object. An empty line is due every 2 s, so a watch that
/// exceeds the limit is dead or has sent an object that does not end.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval between polls. It leaves time for eight calls, of which seven may fail, before a change must be known.
const POLL_INTERVAL: Duration = Duration::from_millis(2000);
/// Delay after which a second call is started beside a call that has not finished.
const HEDGE_DELAY: Duration = Duration::from_millis(500);
/// Time limit of a call, long enough for a list that arrives slowly.
const CALL_TIMEOUT: Duration = Duration::from_millis(4000);
/// Maximum number of concurrent calls, equal to the number of calls that start within `CALL_TIMEOUT`.
const MAX_CONCURRENT_CALLS: usize = 8;
/// Time limit for the response head of a watch. The watch is requested again when it expires.
const WATCH_HEAD_TIMEOUT: Duration = Duration::from_millis(1000);
/// Minimum time between the starts of a poll and of a poll that is requested early, for example at the end of a watch.
/// It prevents a storm of polls when an event ends all watches of a fleet.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of a call to a service with a cost per call. It is longer than `HEDGE_DELAY` and `WATCH_HEAD_TIMEOUT`,
/// since a call that is cancelled and repeated costs the service twice.
const COSTLY_CALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// A decoded update of the endpoint list.
struct ReceivedUpdate {
    revision: u64,
    complete: bool,
    endpoints: Vec<Endpoint>,
}

/// Result of a poll that received a list.
#[derive(PartialEq)]
enum PollResult {
    Done,
    /// The list is older than the current one, and a second poll must confirm it.
    PollAgain,
}

pub(super) struct DiscoverySource<'a> {
    event_loop: &'a Rc<EventLoop>,
    client: &'a HttpClient,
    address: &'a str,
    /// Revision of the current list; `None` if there is no list.
    revision: &'a Cell<Option<u64>>,
    pacing: Option<&'a PollPacing>,
    /// Requests a poll before the next regular one.
    poll_requested: Notify,
    /// Signals that a list was received while there was none.
    list_received: Notify,
    /// Whether the last poll received a revision older than the current one.
    older_revision_received: Cell<bool>,
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
            older_revision_received: Cell::new(false),
        }
    }

    /// Requests a poll of the complete list before the next regular one.
    pub(super) fn poll_now(&self) {
        self.poll_requested.notify_one();
    }

    pub(super) async fn poll_forever(&self) -> Infallible {
        if let Some(pacing) = self.pacing {
            return self.poll_paced(pacing).await;
        }
        loop {
            let started = Instant::now();
            self.poll().await;
            tokio::select! {
                () = sleep_until(started + POLL_INTERVAL) => {}
                () = self.poll_requested.notified() => sleep_until(started + MIN_POLL_INTERVAL).await,
            }
        }
    }

    /// Polls a service with a cost per call. A poll starts at once if there is no list or a poll was requested, and
    /// otherwise after a long interval, which grows while calls are refused. This prevents a fleet from overloading the
    /// service to the point where it answers no calls.
    async fn poll_paced(&self, pacing: &PollPacing) -> Infallible {
        let mut failures = 0;
        loop {
            if self.revision.get().is_some() {
                tokio::select! {
                    () = sleep(pacing.poll_interval(failures)) => {}
                    () = self.poll_requested.notified() => {}
                }
            }
            let before = self.revision.get();
            let deadline = Instant::now() + COSTLY_CALL_TIMEOUT;
            let received = complete_list(self.client, self.address, deadline, self.list_memory()).await;
            match received.and_then(|body| self.apply_poll(before, &body)) {
                Ok(PollResult::Done) => failures = 0,
                Ok(PollResult::PollAgain) => self.poll_requested.notify_one(),
                Err(end) => {
                    self.record_end("poll", end);
                    failures += 1;
                    // Without a list there is no watch and no regular interval, so the next poll follows this pause.
                    if self.revision.get().is_none() {
                        sleep(pacing.pause(failures)).await;
                    }
                }
            }
        }
    }

    /// Polls until one call receives the list. A call may hang, be refused, be reset or receive half a list; such a call
    /// costs `HEDGE_DELAY` and does not delay the next one.
    async fn poll(&self) {
        let mut calls = JoinSet::new();
        let mut abort_handles: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let started = Instant::now();
            if abort_handles.len() == MAX_CONCURRENT_CALLS {
                abort_handles.pop_front().inspect(AbortHandle::abort);
            }
            let (client, address) = (self.client.clone(), self.address.to_string());
            let (before, memory) = (self.revision.get(), self.list_memory());
            abort_handles.push_back(calls.spawn_local(async move {
                (before, complete_list(&client, &address, started + CALL_TIMEOUT, memory).await)
            }));
            loop {
                tokio::select! {
                    () = sleep_until(started + HEDGE_DELAY) => break,
                    Some(result) = calls.join_next() => {
                        let Ok((before, received)) = result else { continue };
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

    fn record_end(&self, kind: &str, end: ConnectionEnd) {
        tracing::warn!("discovery {kind} ended with reason {}; retrying", end.name());
        self.event_loop.counters.add(group::DISCOVERY, end.name());
    }

    /// Applies the result of a poll. `before`: the revision that was current when the poll started.
    fn apply_poll(&self, before: Option<u64>, body: &[u8]) -> Result<PollResult, ConnectionEnd> {
        let update = self.decode(body)?;
        if !update.complete {
            tracing::warn!(
                "discovery answered a poll with changes instead of the complete list; ignoring them"
            );
            return Err(ConnectionEnd::ProtocolError);
        }
        let revision = update.revision;
        let is_older = self.revision.get().is_some_and(|current| revision < current);
        // Another call received a newer list while this one was in progress.
        if is_older && before.is_some_and(|before| revision >= before) {
            return Ok(PollResult::Done);
        }
        // Revisions restart when the service restarts. A single call may have been answered late, so an older revision
        // is accepted only after two calls in a row.
        if is_older && !self.older_revision_received.replace(true) {
            tracing::warn!(
                "discovery sent revision {revision}, which is older than the current one; polling again"
            );
            return Ok(PollResult::PollAgain);
        }
        self.older_revision_received.set(false);
        // After a restart of the service, its revisions may reach the current number again with a different list, so
        // the endpoints are compared as well.
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
        let mut failures = 0;
        if let Some(pacing) = self.pacing {
            sleep(pacing.initial_pause()).await;
        }
        loop {
            let Some(current) = self.revision.get() else {
                self.list_received.notified().await;
                continue;
            };
            let started = Instant::now();
            let Err(end) = self.run_watch(current).await;
            self.record_end("watch", end);
            if let Some(pacing) = self.pacing {
                failures = if started.elapsed() > 2 * COSTLY_CALL_TIMEOUT { 1 } else { failures + 1 };
                // One or two calls that hang do not indicate an overloaded service, so a poll is started beside the
                // next watch.
                if end == ConnectionEnd::ConnectTimeout && failures <= 2 {
                    self.poll_requested.notify_one();
                }
                sleep(pacing.pause(failures)).await;
                continue;
            }
            self.poll_requested.notify_one();
            // After a watch that has lasted longer than this delay, the next one starts at once.
            sleep_until(started + HEDGE_DELAY).await;
        }
    }

    fn list_memory(&self) -> ListMemory {
        ListMemory::new(&self.event_loop.memory, self.event_loop.max_list_bytes)
    }

    /// Runs one watch from the revision `current` until the watch ends.
    async fn run_watch(&self, current: u64) -> Result<Infallible, ConnectionEnd> {
        let query = format!("?stream=1&index={current}");
        let head_timeout = if self.pacing.is_some() { COSTLY_CALL_TIMEOUT } else { WATCH_HEAD_TIMEOUT };
        let mut body = request(self.client, self.address, &query, Instant::now() + head_timeout).await?;
        // The service may indent its JSON, so objects cannot be split at line ends.
        let max_bytes = self.event_loop.max_list_bytes;
        let (mut objects, mut memory) = (JsonObjectStream::new(max_bytes), self.list_memory());
        let (mut position, mut last_complete) = (current, Instant::now());
        loop {
            match timeout_at(last_complete + WATCH_SILENCE_TIMEOUT, body.frame()).await {
                Err(_) => return Err(ConnectionEnd::Silent),
                Ok(None) => return Err(ConnectionEnd::Closed),
                Ok(Some(Err(_))) => return Err(ConnectionEnd::Reset),
                Ok(Some(Ok(frame))) => {
                    let data = frame.data_ref().map_or(&[][..], |data| data);
                    memory.hold(objects.buffered() + data.len())?;
                    objects.push(data);
                }
            }
            while let Some(object) = objects.take().map_err(|error| malformed(error, max_bytes))? {
                position = self.apply_watch_event(position, &object)?;
                last_complete = Instant::now();
            }
            // A partial object does not extend the time limit, since an object may never end.
            if !objects.has_partial() {
                last_complete = Instant::now();
            }
        }
    }

    /// Applies a watch event. `position`: the revision that the watch has reached. Returns the revision that the watch
    /// has reached after the event.
    fn apply_watch_event(&self, position: u64, object: &[u8]) -> Result<u64, ConnectionEnd> {
        let update = self.decode(object)?;
        let revision = update.revision;
        let current = self.revision.get();
        // A poll has accepted an older revision after a restart of the service. This watch is still connected to the
        // earlier instance of the service.
        if current.is_some_and(|current| current < position) {
            return Err(ConnectionEnd::NotNeeded);
        }
        let is_older = revision < position;
        if is_older && !update.complete {
            tracing::warn!(
                "discovery sent changes of revision {revision} after revision {position}; ending the watch"
            );
            return Err(ConnectionEnd::ProtocolError);
        }
        // A poll may already have applied this revision or a newer one.
        if is_older || current.is_none_or(|current| current < revision) {
            self.apply(update);
        }
        Ok(revision)
    }

    fn decode(&self, bytes: &[u8]) -> Result<ReceivedUpdate, ConnectionEnd> {
        let update: Result<EndpointUpdate, _> = serde_json::from_slice(bytes);
        let update = update.map_err(|error| invalid_update(&error))?;
        let revision = update.revision;
        let endpoints = update.endpoints(&self.event_loop.clock);
        let Endpoints { complete, endpoints } = endpoints.map_err(|error| invalid_update(&error))?;
        Ok(ReceivedUpdate { revision, complete, endpoints })
    }
}

fn invalid_update(error: &dyn std::error::Error) -> ConnectionEnd {
    tracing::warn!("discovery sent an invalid update: {error}; ignoring the update");
    ConnectionEnd::ProtocolError
}

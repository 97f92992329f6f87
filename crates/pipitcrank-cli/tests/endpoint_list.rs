//! A change of the endpoint list must be applied within 6 s after discovery has it and is reachable, and within 4 s
//! after SIGHUP, whichever calls fail. A stand-in for discovery has scripted faults, so that each test forces its
//! order of events.

mod stand_ins;

use std::time::{Duration, Instant};

use pipitcrank_testkit::client::{Clients, DedicatedConnection, HttpResponse, QueryRequest, get};
use pipitcrank_testkit::discovery::row;
use pipitcrank_testkit::process::Process;
use pipitcrank_testkit::query_log::QueryLog;
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::Signal;
use serde_json::Value;
use stand_ins::{CallFault, ScriptedDiscovery, StandInReplica, node_config, program};
use tokio::task::JoinHandle;

const LIMIT: Duration = Duration::from_secs(60);
/// Required longest time until a change takes effect.
const MAX_DELAY: Duration = Duration::from_secs(6);
const MAX_DELAY_AFTER_HUP: Duration = Duration::from_secs(4);

/// A process with two replicas of one cell. Queries of one part show which replica is used.
struct Fixture {
    source: ScriptedDiscovery,
    replicas: [StandInReplica; 2],
    process: Process,
    queries_sent: u32,
}

impl Fixture {
    async fn start() -> anyhow::Result<Fixture> {
        Fixture::start_with(|_| ()).await
    }

    async fn start_with(change: impl Fn(&mut Value)) -> anyhow::Result<Fixture> {
        let replicas = [StandInReplica::start().await?, StandInReplica::start().await?];
        let source = ScriptedDiscovery::start(1, vec![row("a", replicas[0].address, 0, "active", 0)]).await?;
        let mut config = node_config(&source, 1, 256)?;
        change(&mut config);
        let process = Process::start(program(), config, None).await?;
        let fixture = Fixture { source, replicas, process, queries_sent: 0 };
        fixture.source.wait_for_watch().await;
        Ok(fixture)
    }

    /// Changes the list: the first replica drains, and the second one is added.
    fn move_to_second_replica(&self, rev: u64) -> Instant {
        let [a, b] = &self.replicas;
        self.source
            .set_list(rev, vec![row("a", a.address, 0, "leaving", 0), row("b", b.address, 0, "active", 0)]);
        Instant::now()
    }

    /// Sends a query and returns whether its part reached the second replica.
    async fn query_reaches_second_replica(&mut self) -> bool {
        self.queries_sent += 1;
        let (id, wait) = (format!("view-{}", self.queries_sent), Duration::from_millis(900));
        let query = QueryRequest { id, class: "view", shards: vec![0], wait, text: "c41e".to_string() };
        let mut connection =
            DedicatedConnection::connect(self.process.address, QueryLog::default()).await.unwrap();
        let mut pending_query = std::pin::pin!(connection.send_in_pieces(query, &[]));
        let [a, b] = &mut self.replicas;
        let reached_second = tokio::select! {
            part = a.next_part() => { part.answer(); false }
            part = b.next_part() => { part.answer(); true }
            outcome = &mut pending_query => panic!("no part arrived: {outcome:?}; {}", self.process.log()),
        };
        pending_query.await;
        reached_second
    }

    /// Sends queries until the change takes effect, and returns the time since `changed_at`.
    async fn delay_after(&mut self, changed_at: Instant) -> Duration {
        while !self.query_reaches_second_replica().await {
            assert!(
                changed_at.elapsed() < 3 * MAX_DELAY,
                "the change is never applied; {}",
                self.process.log()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        changed_at.elapsed()
    }
}

/// Checks that a change is applied in time although `prepare_watches` disturbs the watches and the next calls have
/// `faults`.
fn applied_in_time(prepare_watches: impl Fn(&ScriptedDiscovery), faults: &'static [CallFault]) {
    on_one_thread(LIMIT, async {
        let mut fixture = Fixture::start().await?;
        prepare_watches(&fixture.source);
        fixture.source.script_calls(faults);
        let changed_at = fixture.move_to_second_replica(2);
        let took = fixture.delay_after(changed_at).await;
        assert!(took < MAX_DELAY, "{took:?} after {faults:?}; {}", fixture.process.log());
        // The change stays in effect.
        for _ in 0..3 {
            assert!(fixture.query_reaches_second_replica().await);
        }
        Ok(())
    })
    .unwrap();
}

#[test]
fn a_silent_watch() {
    applied_in_time(ScriptedDiscovery::silence_watches, &[]);
}

#[test]
fn a_silent_watch_and_calls_without_response() {
    applied_in_time(
        ScriptedDiscovery::silence_watches,
        &[CallFault::NoResponse, CallFault::NoResponse, CallFault::NoResponse, CallFault::NoResponse],
    );
}

#[test]
fn a_silent_watch_and_calls_with_all_faults() {
    let faults = &[
        CallFault::Close,
        CallFault::StallAfterHead,
        CallFault::StallInBody,
        CallFault::ResetAfterHead,
        CallFault::EndlessBody,
    ];
    applied_in_time(ScriptedDiscovery::silence_watches, faults);
}

/// New watches are silent as well: they send only the response head.
#[test]
fn all_current_and_new_watches_are_silent() {
    let silent = |source: &ScriptedDiscovery| {
        source.silence_watches();
        source.silence_new_watches();
    };
    applied_in_time(silent, &[]);
}

/// The watch sends keep-alive lines but never the change.
#[test]
fn a_watch_with_only_keep_alive_lines() {
    applied_in_time(ScriptedDiscovery::withhold_changes, &[]);
}

/// The watch keeps sending bytes but never completes an object, so it must be replaced by a new watch.
#[test]
fn a_watch_with_an_endless_object_is_replaced() {
    on_one_thread(LIMIT, async {
        let fixture = Fixture::start().await?;
        let before = fixture.source.watch_count();
        fixture.source.send_endless_object();
        let started_at = Instant::now();
        while fixture.source.watch_count() == before {
            assert!(started_at.elapsed() < MAX_DELAY, "the watch is not replaced; {}", fixture.process.log());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    })
    .unwrap();
}

/// Discovery does not respond while it is down. Calls from that time must not delay new ones when it returns.
#[test]
fn the_list_is_applied_at_once_when_discovery_returns() {
    on_one_thread(LIMIT, async {
        let mut fixture = Fixture::start().await?;
        fixture.source.set_down(true);
        fixture.source.close_watches();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let changed_at = fixture.move_to_second_replica(2);
        fixture.source.set_down(false);
        let took = fixture.delay_after(changed_at).await;
        assert!(
            took < Duration::from_secs(2),
            "took {took:?}, longer than the grace period of a drain may be"
        );
        Ok(())
    })
    .unwrap();
}

/// A new incarnation of discovery starts at a lower revision, while a watch of the old one is still open and sends
/// one more change.
#[test]
fn a_lower_revision_is_followed_and_an_older_incarnation_is_ignored() {
    on_one_thread(LIMIT, async {
        let mut fixture = Fixture::start().await?;
        fixture.source.set_list_silently(40, vec![row("a", fixture.replicas[0].address, 0, "active", 0)]);
        fixture.source.send_changes(40);
        while fixture.process.counter("discovery changes").await != Some(1) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // A new incarnation starts; the watches of the old one stay open and send no changes.
        fixture.source.orphan_watches();
        let changed_at = fixture.move_to_second_replica(3);
        let took = fixture.delay_after(changed_at).await;
        assert!(took < MAX_DELAY, "{took:?}; {}", fixture.process.log());
        fixture
            .source
            .send_to_orphaned_watches(41, vec![row("b", fixture.replicas[1].address, 0, "leaving", 0)]);
        tokio::time::sleep(Duration::from_millis(200)).await;
        for _ in 0..3 {
            assert!(fixture.query_reaches_second_replica().await, "an older list over a newer one");
        }
        Ok(())
    })
    .unwrap();
}

/// A new incarnation of discovery has the current revision number but other replicas.
#[test]
fn a_new_incarnation_of_discovery_at_the_current_revision_is_followed() {
    on_one_thread(LIMIT, async {
        let mut fixture = Fixture::start().await?;
        assert!(!fixture.query_reaches_second_replica().await);
        fixture.source.orphan_watches();
        let changed_at = fixture.move_to_second_replica(1);
        let took = fixture.delay_after(changed_at).await;
        assert!(took < MAX_DELAY, "{took:?}; {}", fixture.process.log());
        Ok(())
    })
    .unwrap();
}

/// A poll is sent before the watch delivers a change and is answered after it.
#[test]
fn a_poll_overtaken_by_the_watch_does_not_restore_the_older_list() {
    on_one_thread(LIMIT, async {
        let mut fixture = Fixture::start().await?;
        // Two polls, since a single late response would only cause another poll.
        let held_polls = [fixture.source.hold_next_poll().await, fixture.source.hold_next_poll().await];
        // Further polls get no response, so only the held ones do.
        fixture.source.script_calls(&[CallFault::NoResponse; 6]);
        let changed_at = fixture.move_to_second_replica(2);
        fixture.source.send_changes(2);
        assert!(fixture.delay_after(changed_at).await < MAX_DELAY);
        // The responses have the list as of the polls' arrival: only the first replica, active.
        held_polls.into_iter().for_each(stand_ins::HeldPoll::release);
        tokio::time::sleep(Duration::from_millis(200)).await;
        for _ in 0..5 {
            assert!(
                fixture.query_reaches_second_replica().await,
                "an older list over a newer one; {}",
                fixture.process.log()
            );
        }
        Ok(())
    })
    .unwrap();
}

/// After SIGHUP a change must be applied within 4 s although the first calls fail, both with the same address of
/// discovery and with a new one.
#[test]
fn a_change_is_applied_within_four_seconds_after_sighup() {
    for address_changes in [false, true] {
        on_one_thread(LIMIT, async {
            let mut fixture = Fixture::start().await?;
            fixture.source.silence_watches();
            fixture.source.silence_new_watches();
            let changed_at = if address_changes {
                let new_source = ScriptedDiscovery::start(9, Vec::new()).await?;
                let [a, b] = &fixture.replicas;
                let rows = vec![row("a", a.address, 0, "leaving", 0), row("b", b.address, 0, "active", 0)];
                new_source.set_list(9, rows);
                new_source.script_calls(&[
                    CallFault::NoResponse,
                    CallFault::StallInBody,
                    CallFault::NoResponse,
                    CallFault::Close,
                    CallFault::StallAfterHead,
                ]);
                fixture.process.override_node_config("/discovery", new_source.address.to_string().into())?;
                fixture.source = new_source;
                Instant::now()
            } else {
                fixture.source.script_calls(&[
                    CallFault::NoResponse,
                    CallFault::StallInBody,
                    CallFault::NoResponse,
                    CallFault::Close,
                ]);
                fixture.move_to_second_replica(2)
            };
            fixture.process.signal(Signal::HUP)?;
            let took = fixture.delay_after(changed_at).await;
            assert!(
                took < MAX_DELAY_AFTER_HUP,
                "{took:?}, new address: {address_changes}; {}",
                fixture.process.log()
            );
            Ok(())
        })
        .unwrap();
    }
}

/// Calls without response are repeated at a limited rate.
#[test]
fn a_discovery_that_answers_nothing_is_polled_twice_a_second_over_few_connections() {
    on_one_thread(LIMIT, async {
        let fixture = Fixture::start().await?;
        fixture.source.silence_watches();
        fixture.source.set_down(true);
        let before = fixture.source.call_count();
        tokio::time::sleep(Duration::from_secs(8)).await;
        let calls = fixture.source.call_count() - before;
        // A poll every half second, and a watch every second.
        assert!((16..=28).contains(&calls), "{calls} calls in 8 s");
        assert!(fixture.source.open_connections() <= 11, "{} connections", fixture.source.open_connections());
        Ok(())
    })
    .unwrap();
}

/// In poll mode discovery serves a limited number of calls per second and rejects the rest. When all watches of a
/// fleet become silent at once, repeated polls of some processes must not keep the others from getting a response.
#[test]
fn a_fleet_does_not_overload_a_discovery_with_low_capacity() {
    const PROCESSES: usize = 8;
    on_one_thread(LIMIT, async {
        let replica = StandInReplica::start().await?;
        let rows = |state| vec![row("a", replica.address, 0, state, 0)];
        let source = ScriptedDiscovery::start(1, rows("active")).await?;
        let mut processes = Vec::new();
        for _ in 0..PROCESSES {
            let mut config = node_config(&source, 1, 256)?;
            config["settings"]["registry_mode"] = "ask".into();
            config["settings"]["balancers"] = PROCESSES.into();
            processes.push(Process::start(program(), config, None).await?);
        }
        while source.watch_count() < PROCESSES {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // One call per process and second.
        source.set_capacity(PROCESSES);
        source.silence_watches();
        source.set_list(2, rows("leaving"));
        let changed_at = Instant::now();
        // A process without replicas reports that it is not ready.
        for process in &processes {
            while get(process.address, "/up").await.is_some_and(|a| a.status == 200) {
                assert!(
                    changed_at.elapsed() < MAX_DELAY,
                    "the change is not applied, {} calls rejected; {}",
                    source.rejected_calls(),
                    process.log()
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        // Afterwards polls are rare.
        let before = source.call_count();
        tokio::time::sleep(2 * MAX_DELAY).await;
        let calls = source.call_count() - before;
        assert!(
            (PROCESSES..=6 * PROCESSES).contains(&calls),
            "{calls} calls of {PROCESSES} processes in {:?}",
            2 * MAX_DELAY
        );
        Ok(())
    })
    .unwrap();
}

/// In poll mode, too, a change is applied in time after a silent watch and a call without response.
#[test]
fn a_silent_watch_and_a_call_without_response_in_poll_mode() {
    on_one_thread(LIMIT, async {
        let mut fixture =
            Fixture::start_with(|config| config["settings"]["registry_mode"] = "ask".into()).await?;
        fixture.source.silence_watches();
        fixture.source.script_calls(&[CallFault::NoResponse]);
        let changed_at = fixture.move_to_second_replica(2);
        let took = fixture.delay_after(changed_at).await;
        assert!(took < MAX_DELAY, "{took:?}; {}", fixture.process.log());
        Ok(())
    })
    .unwrap();
}

/// Sends a query on a new connection; its final answer is the result of the task.
fn spawn_query(process: &Process, id: &str, wait: Duration) -> JoinHandle<Option<HttpResponse>> {
    let clients = Clients::new(process.address, QueryLog::default());
    let query =
        QueryRequest { id: id.to_string(), class: "view", shards: vec![0], wait, text: id.to_string() };
    tokio::task::spawn_local(async move { clients.send(query).await })
}

/// Guards against a client being served a value that was made for another client (review case 6): after SIGHUP to a
/// discovery that lists the replica at another address, the late answer to a query that was refused came from the earlier
/// address while a newer query was open.
#[test]
fn a_late_answer_from_an_earlier_address_is_served_to_no_other_client() {
    on_one_thread(LIMIT, async {
        let mut fixture = Fixture::start().await?;
        let refused = spawn_query(&fixture.process, "early", Duration::from_secs(1));
        let early = fixture.replicas[0].next_part().await;
        let rows = vec![row("a", fixture.replicas[1].address, 0, "active", 0)];
        let new_source = ScriptedDiscovery::start(2, rows).await?;
        fixture.process.override_node_config("/discovery", new_source.address.to_string().into())?;
        fixture.process.signal(Signal::HUP)?;
        assert_eq!(refused.await?.map(|response| response.status), Some(503));
        let served = spawn_query(&fixture.process, "late", Duration::from_secs(4));
        let late = fixture.replicas[1].next_part().await;
        early.answer_with("made for early");
        tokio::time::sleep(Duration::from_millis(200)).await;
        late.answer_with("made for late");
        let response = served.await?.expect("the query has a final answer");
        assert_eq!(response.status, 200);
        assert!(response.body.contains("made for late"), "{}", response.body);
        assert_eq!(*fixture.replicas[0].cancelled.borrow(), ["early.0"], "the part is cancelled where it is");
        Ok(())
    })
    .unwrap();
}

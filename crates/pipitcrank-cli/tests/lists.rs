//! A change of the list counts as told 6 s after discovery had it and could be reached, 4 s after SIGHUP, whatever call
//! failed. A stand-in for discovery spoils its calls by script; each order is forced, none is waited for by luck.

mod stand_ins;

use std::time::{Duration, Instant};

use pipitcrank_testkit::client::{DedicatedConnection, QueryRequest, get};
use pipitcrank_testkit::discovery::row;
use pipitcrank_testkit::process::Process;
use pipitcrank_testkit::query_log::QueryLog;
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::Signal;
use serde_json::Value;
use stand_ins::{CallFault, ScriptedDiscovery, StandInReplica, node_config, program};

const LIMIT: Duration = Duration::from_secs(60);
/// Longest time until a change takes effect, as the users require it.
const MAX_DELAY: Duration = Duration::from_secs(6);
const MAX_DELAY_AFTER_HUP: Duration = Duration::from_secs(4);

/// Two replicas of one cell; which of them a query's one part comes to.
struct Scene {
    source: ScriptedDiscovery,
    replicas: [StandInReplica; 2],
    process: Process,
    asked: u32,
}

impl Scene {
    async fn set() -> anyhow::Result<Scene> {
        Scene::set_with(|_| ()).await
    }

    async fn set_with(change: impl Fn(&mut Value)) -> anyhow::Result<Scene> {
        let replicas = [StandInReplica::start().await?, StandInReplica::start().await?];
        let source = ScriptedDiscovery::start(1, vec![row("a", replicas[0].address, 0, "active", 0)]).await?;
        let mut config = node_config(&source, 1, 256)?;
        change(&mut config);
        let process = Process::start(program(), config, None).await?;
        let scene = Scene { source, replicas, process, asked: 0 };
        scene.source.until_watched().await;
        Ok(scene)
    }

    /// Discovery has it: the first replica drains, the second is there.
    fn moves_on(&self, rev: u64) -> Instant {
        let [a, b] = &self.replicas;
        self.source
            .holds(rev, vec![row("a", a.address, 0, "leaving", 0), row("b", b.address, 0, "active", 0)]);
        Instant::now()
    }

    /// Asks once; whether its part went to the second replica.
    async fn goes_to_the_second(&mut self) -> bool {
        self.asked += 1;
        let (id, wait) = (format!("view-{}", self.asked), Duration::from_millis(900));
        let question = QueryRequest { id, class: "view", shards: vec![0], wait, text: "c41e".to_string() };
        let mut lone = DedicatedConnection::connect(self.process.address, QueryLog::default()).await.unwrap();
        let mut asking = std::pin::pin!(lone.send_in_pieces(question, &[]));
        let [a, b] = &mut self.replicas;
        let went = tokio::select! {
            call = a.call() => { call.answers(); false }
            call = b.call() => { call.answers(); true }
            how = &mut asking => panic!("answered by nobody: {how:?}; {}", self.process.log()),
        };
        asking.await;
        went
    }

    /// Asks all the time, until the change shows; how long after that moment.
    async fn delay_after(&mut self, had: Instant) -> Duration {
        while !self.goes_to_the_second().await {
            assert!(had.elapsed() < 3 * MAX_DELAY, "never told; {}", self.process.log());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        had.elapsed()
    }
}

/// What becomes of watches, and all calls but the last within the time come to nothing, each in another way.
fn applied_in_time(watches: impl Fn(&ScriptedDiscovery), spoilt: &'static [CallFault]) {
    on_one_thread(LIMIT, async {
        let mut scene = Scene::set().await?;
        watches(&scene.source);
        scene.source.next_calls_are(spoilt);
        let had = scene.moves_on(2);
        let took = scene.delay_after(had).await;
        assert!(took < MAX_DELAY, "{took:?} after {spoilt:?}; {}", scene.process.log());
        // Said again and again, it stays so.
        for _ in 0..3 {
            assert!(scene.goes_to_the_second().await);
        }
        Ok(())
    })
    .unwrap();
}

#[test]
fn a_watch_that_falls_silent_alone() {
    applied_in_time(ScriptedDiscovery::silences_watches, &[]);
}

#[test]
fn a_silent_watch_and_calls_that_hang() {
    applied_in_time(
        ScriptedDiscovery::silences_watches,
        &[CallFault::Hangs, CallFault::Hangs, CallFault::Hangs, CallFault::Hangs],
    );
}

#[test]
fn a_silent_watch_and_calls_that_end_in_all_ways() {
    let all = &[
        CallFault::Refuses,
        CallFault::HeadOnly,
        CallFault::Half,
        CallFault::Resets,
        CallFault::HalfForEver,
    ];
    applied_in_time(ScriptedDiscovery::silences_watches, all);
}

/// Every new watch is silent as well, from its head on.
#[test]
fn all_watches_silent_from_then_on() {
    let silent = |source: &ScriptedDiscovery| {
        source.silences_watches();
        source.silences_new_watches();
    };
    applied_in_time(silent, &[]);
}

/// A sign of life all the time, and never the change.
#[test]
fn a_watch_that_brings_empty_lines_and_never_its_change() {
    applied_in_time(ScriptedDiscovery::keeps_changes_from_watches, &[]);
}

/// Bytes all the time, and never a whole object: the watch is left for a new one.
#[test]
fn a_watch_that_never_ends_its_object_is_left() {
    on_one_thread(LIMIT, async {
        let scene = Scene::set().await?;
        let before = scene.source.watches();
        scene.source.watches_bring_half_for_ever();
        let begun = Instant::now();
        while scene.source.watches() == before {
            assert!(begun.elapsed() < MAX_DELAY, "it is not left; {}", scene.process.log());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    })
    .unwrap();
}

/// Silent while it is down, discovery answers at its return: calls that hang meanwhile do not hold up those that come.
#[test]
fn what_discovery_has_at_its_return_is_applied_at_once() {
    on_one_thread(LIMIT, async {
        let mut scene = Scene::set().await?;
        scene.source.is_down(true);
        scene.source.closes_watches();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let had = scene.moves_on(2);
        scene.source.is_down(false);
        let took = scene.delay_after(had).await;
        assert!(took < Duration::from_secs(2), "a drain's grace may be no longer: {took:?}");
        Ok(())
    })
    .unwrap();
}

/// Versions begin anew, and the old life's watch is still open and brings one more change of its own.
#[test]
fn revisions_that_go_back_are_followed_and_an_older_incarnation_changes_nothing() {
    on_one_thread(LIMIT, async {
        let mut scene = Scene::set().await?;
        scene.source.holds_quietly(40, vec![row("a", scene.replicas[0].address, 0, "active", 0)]);
        scene.source.tells_watches(40);
        while scene.process.counter("discovery changes").await != Some(1) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // A new life: what there was of watches stays open and silent.
        scene.source.orphans_watches();
        let had = scene.moves_on(3);
        let took = scene.delay_after(had).await;
        assert!(took < MAX_DELAY, "{took:?}; {}", scene.process.log());
        scene.source.orphans_bring(41, vec![row("b", scene.replicas[1].address, 0, "leaving", 0)]);
        tokio::time::sleep(Duration::from_millis(200)).await;
        for _ in 0..3 {
            assert!(scene.goes_to_the_second().await, "an older list over a newer one");
        }
        Ok(())
    })
    .unwrap();
}

/// Versions begin anew, and come to the very number held, with other replicas behind it.
#[test]
fn a_new_incarnation_of_discovery_at_the_current_revision_is_followed() {
    on_one_thread(LIMIT, async {
        let mut scene = Scene::set().await?;
        assert!(!scene.goes_to_the_second().await);
        scene.source.orphans_watches();
        let had = scene.moves_on(1);
        let took = scene.delay_after(had).await;
        assert!(took < MAX_DELAY, "{took:?}; {}", scene.process.log());
        Ok(())
    })
    .unwrap();
}

/// A look that was asked for before the watch brought more, and is answered after.
#[test]
fn a_poll_overtaken_by_the_watch_brings_no_older_list() {
    on_one_thread(LIMIT, async {
        let mut scene = Scene::set().await?;
        // Two, since one late answer alone would be asked for again.
        let held = [scene.source.holds_next_look().await, scene.source.holds_next_look().await];
        // They are the ones that bring an answer.
        scene.source.next_calls_are(&[CallFault::Hangs; 6]);
        let had = scene.moves_on(2);
        scene.source.tells_watches(2);
        assert!(scene.delay_after(had).await < MAX_DELAY);
        // As it was when they were asked for: the first replica alone, active.
        held.into_iter().for_each(stand_ins::HeldPoll::answers);
        tokio::time::sleep(Duration::from_millis(200)).await;
        for _ in 0..5 {
            assert!(
                scene.goes_to_the_second().await,
                "an older list over a newer one; {}",
                scene.process.log()
            );
        }
        Ok(())
    })
    .unwrap();
}

/// After SIGHUP there are 4 s, at the same address and at another one, where the first calls hang.
#[test]
fn after_sighup_what_discovery_has_is_applied_within_four_seconds() {
    for moved in [false, true] {
        on_one_thread(LIMIT, async {
            let mut scene = Scene::set().await?;
            scene.source.silences_watches();
            scene.source.silences_new_watches();
            let had = if moved {
                let there = ScriptedDiscovery::start(9, Vec::new()).await?;
                let [a, b] = &scene.replicas;
                let rows = vec![row("a", a.address, 0, "leaving", 0), row("b", b.address, 0, "active", 0)];
                there.holds(9, rows);
                there.next_calls_are(&[
                    CallFault::Hangs,
                    CallFault::Half,
                    CallFault::Hangs,
                    CallFault::Refuses,
                    CallFault::HeadOnly,
                ]);
                scene.process.override_node_config("/discovery", there.address.to_string().into())?;
                scene.source = there;
                Instant::now()
            } else {
                scene.source.next_calls_are(&[
                    CallFault::Hangs,
                    CallFault::Half,
                    CallFault::Hangs,
                    CallFault::Refuses,
                ]);
                scene.moves_on(2)
            };
            scene.process.signal(Signal::HUP)?;
            let took = scene.delay_after(had).await;
            assert!(took < MAX_DELAY_AFTER_HUP, "{took:?}, moved: {moved}; {}", scene.process.log());
            Ok(())
        })
        .unwrap();
    }
}

/// An unhelpful order costs calls, but no storm of them.
#[test]
fn a_discovery_that_answers_nothing_is_polled_twice_a_second_over_few_connections() {
    on_one_thread(LIMIT, async {
        let scene = Scene::set().await?;
        scene.source.silences_watches();
        scene.source.is_down(true);
        let before = scene.source.calls();
        tokio::time::sleep(Duration::from_secs(8)).await;
        let calls = scene.source.calls() - before;
        // Looks each half second, and a watch each second.
        assert!((16..=28).contains(&calls), "{calls} calls in 8 s");
        assert!(scene.source.open() <= 11, "{} connections", scene.source.open());
        Ok(())
    })
    .unwrap();
}

/// Where lists are told to who asks alone discovery bears so many calls and refuses the rest. All watches of a fleet fall
/// silent at once: asking again and again, each kept the others from an answer.
#[test]
fn a_fleet_does_not_keep_a_discovery_that_bears_few_calls_from_answering() {
    const COPIES: usize = 8;
    on_one_thread(LIMIT, async {
        let replica = StandInReplica::start().await?;
        let rows = |state| vec![row("a", replica.address, 0, state, 0)];
        let source = ScriptedDiscovery::start(1, rows("active")).await?;
        let mut copies = Vec::new();
        for _ in 0..COPIES {
            let mut config = node_config(&source, 1, 256)?;
            config["settings"]["registry_mode"] = "ask".into();
            config["settings"]["balancers"] = COPIES.into();
            copies.push(Process::start(program(), config, None).await?);
        }
        while source.watches() < COPIES {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // All of them in a second, and no more.
        source.bears(COPIES);
        source.silences_watches();
        source.holds(2, rows("leaving"));
        let had = Instant::now();
        // Whoever has no replica left is not able to serve.
        for copy in &copies {
            while get(copy.address, "/up").await.is_some_and(|a| a.status == 200) {
                assert!(had.elapsed() < MAX_DELAY, "not told, {} refused; {}", source.refused(), copy.log());
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        // All is quiet then: a look now and then.
        let before = source.calls();
        tokio::time::sleep(2 * MAX_DELAY).await;
        let calls = source.calls() - before;
        assert!(
            (COPIES..=6 * COPIES).contains(&calls),
            "{calls} calls of {COPIES} copies in {:?}",
            2 * MAX_DELAY
        );
        Ok(())
    })
    .unwrap();
}

/// There a watch gone silent and a call that hangs stay within the time as well.
#[test]
fn a_silent_watch_and_a_call_that_hangs_where_lists_are_polled() {
    on_one_thread(LIMIT, async {
        let mut scene = Scene::set_with(|config| config["settings"]["registry_mode"] = "ask".into()).await?;
        scene.source.silences_watches();
        scene.source.next_calls_are(&[CallFault::Hangs]);
        let had = scene.moves_on(2);
        let took = scene.delay_after(had).await;
        assert!(took < MAX_DELAY, "{took:?}; {}", scene.process.log());
        Ok(())
    })
    .unwrap();
}

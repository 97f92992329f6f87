//! The book on events of every kind and order, beside a plain record of who lives, who listens and who was told what.

use std::collections::BTreeSet;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::upgrade_state::{Book, Event, Times, Undone, Wish, Worker};
use proptest::prelude::*;

const TIMES: Times = Times {
    start: TimeSpan::from_millis(1000),
    settle: TimeSpan::from_millis(500),
    silent: TimeSpan::from_millis(300),
    finish: TimeSpan::from_millis(2000),
};

struct World {
    now: Timestamp,
    book: Book,
    alive: BTreeSet<Worker>,
    /// Told to serve and not to pass since.
    accepting: BTreeSet<Worker>,
    /// Told to end or killed: their processes end sooner or later.
    ending: BTreeSet<Worker>,
    learned: Option<(Worker, Timestamp)>,
    exit: Option<i32>,
    end_called: bool,
    told: Vec<Wish>,
}

impl World {
    fn new() -> World {
        let now = Timestamp::from_micros(0);
        let (book, wishes) = Book::open(now, TIMES);
        let mut world = World {
            now,
            book,
            alive: BTreeSet::new(),
            accepting: BTreeSet::new(),
            ending: BTreeSet::new(),
            learned: None,
            exit: None,
            end_called: false,
            told: Vec::new(),
        };
        world.carry_out(wishes);
        world
    }

    fn on(&mut self, event: Event) {
        if self.exit.is_some() {
            return;
        }
        match event {
            Event::Gone(who, _) | Event::NotStarted(who) => {
                if !self.alive.remove(&who) {
                    return;
                }
                self.accepting.remove(&who);
                self.ending.remove(&who);
            }
            Event::Learned(who) if self.learned.is_none_or(|(w, _)| w != who) => {
                self.learned = Some((who, self.now))
            }
            Event::EndCalled => self.end_called = true,
            _ => {}
        }
        let wishes = self.book.on(self.now, event);
        self.carry_out(wishes);
        self.check();
    }

    fn carry_out(&mut self, wishes: Vec<Wish>) {
        for wish in wishes {
            self.told.push(wish);
            match wish {
                Wish::Start(who) => {
                    assert!(self.alive.len() < 2, "never three at once");
                    assert!(!self.end_called, "none starts after the end was called");
                    self.alive.insert(who);
                }
                Wish::Serve(who) => {
                    assert!(self.alive.contains(&who));
                    self.accepting.insert(who);
                }
                Wish::Join(old, new) => {
                    assert!(old != new && self.accepting.contains(&old) && self.alive.contains(&new));
                }
                Wish::Pass(old) => {
                    let (new, at) = self.learned.expect("somebody has learned");
                    assert!(new != old && self.alive.contains(&new), "what passes has somebody to pass to");
                    assert!(self.now - at >= TIMES.settle, "the trial was not cut short");
                    self.accepting.remove(&old);
                }
                Wish::Kill(who) | Wish::End(who) => {
                    assert!(self.alive.contains(&who));
                    self.ending.insert(who);
                }
                Wish::Alone(who) | Wish::Tell(who) => assert!(self.alive.contains(&who)),
                Wish::Exit(code) => {
                    assert!(self.alive.is_empty(), "nobody is left behind");
                    self.exit = Some(code);
                }
            }
        }
    }

    fn check(&self) {
        assert_eq!(self.book.alive().iter().copied().collect::<BTreeSet<_>>(), self.alive);
        if self.exit.is_some() || self.end_called {
            return;
        }
        // Somebody listens who is not on the way out, or a start is under way, or due.
        let listens = self.accepting.iter().any(|w| !self.ending.contains(w));
        let starting = self.book.serving().is_none() && (!self.alive.is_empty() || self.book.due().is_some());
        let leaving = self.accepting.iter().any(|w| self.ending.contains(w));
        assert!(listens || starting || leaving, "{:?}", self.told);
        let under_way = u64::from(self.book.upgrading());
        assert!(self.book.asked <= self.book.done + self.book.undone + under_way, "an upgrade is forgotten");
    }

    /// Processes that were told to end do, and time passes: all comes to rest.
    fn rest(&mut self) {
        for _ in 0..50 {
            if let Some(&who) = self.ending.iter().next() {
                self.on(Event::Gone(who, None));
            } else if let Some(due) = self.book.due().filter(|_| self.exit.is_none()) {
                self.now = self.now.max(due);
                self.on(Event::Tick);
            } else {
                return;
            }
        }
        panic!("it does not come to rest: {:?}", self.told);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Wait(i64),
    Happens(u8, u32),
}

fn event(kind: u8, who: Worker) -> Event {
    match kind {
        0 | 1 => Event::Asked,
        2 | 3 => Event::Checked(who),
        4 | 5 => Event::Learned(who),
        6 | 7 => Event::Beat(who),
        8 | 9 => Event::Drained(who),
        10 => Event::Gone(who, None),
        11 => Event::Gone(who, Some(2)),
        12 => Event::Garbled(who),
        13 => Event::Passed(who),
        14 => Event::NotStarted(who),
        _ => Event::EndCalled,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 3000, ..ProptestConfig::default() })]

    #[test]
    fn whatever_happens_somebody_serves_and_all_comes_to_rest(steps in proptest::collection::vec(
        prop_oneof![
            2 => (1i64..900).prop_map(Step::Wait),
            6 => (0u8..15, 0u32..3).prop_map(|(k, w)| Step::Happens(k, w)),
            1 => Just(Step::Happens(15, 0)).prop_filter("rarely", |_| true),
        ], 0..60), calls_end in any::<bool>())
    {
        let mut world = World::new();
        for step in steps {
            match step {
                Step::Wait(ms) => {
                    world.now = world.now + TimeSpan::from_millis(ms);
                    world.on(Event::Tick);
                }
                Step::Happens(15, _) if !calls_end => {}
                // Mostly what those about do, by how long ago they were started; sometimes it is nobody's.
                Step::Happens(kind, back) => {
                    let newest = world.alive.iter().next_back().map_or(0, |w| w.0);
                    world.on(event(kind, Worker(newest.saturating_sub(back))));
                }
            }
        }
        world.rest();
        prop_assert!(world.exit.is_some() || world.end_called || !world.book.upgrading());
        prop_assert!(world.exit.is_some() || !world.end_called, "after the end is called the keeper ends");
    }
}

fn served() -> World {
    let mut world = World::new();
    world.on(Event::Checked(Worker(0)));
    assert_eq!(world.told, [Wish::Start(Worker(0)), Wish::Serve(Worker(0)), Wish::Tell(Worker(0))]);
    world.told.clear();
    world
}

fn wait(world: &mut World, ms: i64) {
    world.now = world.now + TimeSpan::from_millis(ms);
    world.on(Event::Tick);
}

fn on_trial() -> World {
    let mut world = served();
    world.on(Event::Asked);
    world.on(Event::Checked(Worker(1)));
    world.on(Event::Learned(Worker(1)));
    world.told.clear();
    world
}

#[test]
fn an_upgrade_step_by_step() {
    let (old, new) = (Worker(0), Worker(1));
    let mut world = served();
    world.on(Event::Asked);
    assert_eq!(world.told, [Wish::Start(new), Wish::Tell(old)]);
    world.on(Event::Checked(new));
    assert_eq!(world.told[2..], [Wish::Join(old, new)]);
    world.on(Event::Learned(new));
    world.on(Event::Drained(old));
    for _ in 0..4 {
        wait(&mut world, 120);
        world.on(Event::Beat(new));
    }
    assert_eq!(world.told.len(), 3, "on trial still");
    wait(&mut world, 20);
    assert_eq!(world.told.len(), 3, "settled, and not heard of since");
    world.on(Event::Beat(new));
    assert_eq!(world.told[3..], [Wish::Pass(old), Wish::Serve(new)]);
    world.on(Event::Passed(old));
    world.on(Event::Gone(old, Some(0)));
    assert_eq!(world.told[5..], [Wish::Alone(new), Wish::Tell(new)]);
    assert_eq!((world.book.asked, world.book.done, world.book.undone), (1, 1, 0));
    assert_eq!(world.book.serving(), Some(new));
}

#[test]
fn each_fault_before_the_confirmation_leaves_the_old_one_as_it_was() {
    type Fault = (fn(&mut World), Undone);
    let faults: [Fault; 6] = [
        (|w| w.on(Event::Gone(Worker(1), None)), Undone::Crashed),
        (|w| w.on(Event::NotStarted(Worker(1))), Undone::NotStarted),
        (|w| w.on(Event::Garbled(Worker(1))), Undone::Garbled),
        (|w| wait(w, 1000), Undone::TooLong),
        (
            |w| {
                w.on(Event::Checked(Worker(1)));
                wait(w, 1000);
            },
            Undone::TooLong,
        ),
        (
            |w| {
                w.on(Event::Checked(Worker(1)));
                w.on(Event::Learned(Worker(1)));
                wait(w, 300);
            },
            Undone::Silent,
        ),
    ];
    for (fault, why) in faults {
        let mut world = served();
        world.on(Event::Asked);
        fault(&mut world);
        assert_eq!(world.book.last_undone(), Some(why));
        assert_eq!((world.book.serving(), world.book.undone), (Some(Worker(0)), 1));
        assert!(world.told.contains(&Wish::Alone(Worker(0))));
        world.rest();
        world.on(Event::Asked);
        assert!(world.told.contains(&Wish::Start(Worker(2))), "the next one is as good as the first");
    }
}

#[test]
fn one_at_a_time_and_the_second_is_said_to_be_undone() {
    let mut world = on_trial();
    world.on(Event::Asked);
    assert_eq!(world.told, [Wish::Tell(Worker(0))]);
    assert_eq!((world.book.asked, world.book.undone), (2, 1));
}

#[test]
fn the_end_called_in_a_trial_ends_the_old_one_in_order_and_the_new_one_at_once() {
    let mut world = on_trial();
    world.on(Event::EndCalled);
    assert!(world.told.contains(&Wish::Kill(Worker(1))) && world.told.contains(&Wish::End(Worker(0))));
    world.rest();
    assert_eq!(world.exit, Some(0));
}

#[test]
fn an_old_one_that_dies_in_the_trial_leaves_the_listener_to_the_new_one() {
    let mut world = on_trial();
    world.on(Event::Gone(Worker(0), None));
    assert_eq!(world.told, [Wish::Serve(Worker(1)), Wish::Alone(Worker(1)), Wish::Tell(Worker(1))]);
}

#[test]
fn an_old_one_that_can_not_finish_is_passed_by_and_asked_to_end() {
    let mut world = on_trial();
    for _ in 0..9 {
        wait(&mut world, 200);
        world.on(Event::Beat(Worker(1)));
    }
    assert_eq!(world.told, [], "its own queries are open");
    wait(&mut world, 200);
    world.on(Event::Beat(Worker(1)));
    assert_eq!(world.told, [Wish::Pass(Worker(0)), Wish::Serve(Worker(1))]);
    wait(&mut world, 2000);
    assert_eq!(world.told[2..], [Wish::End(Worker(0))]);
    wait(&mut world, 9000);
    assert_eq!(world.told.len(), 3, "asked once");
}

#[test]
fn one_that_serves_and_dies_is_started_again_but_not_for_ever() {
    let mut world = served();
    for n in 0..3 {
        world.on(Event::Gone(Worker(n), None));
        world.now = world.now + TimeSpan::from_millis(400);
        world.on(Event::Tick);
        assert!(world.told.contains(&Wish::Start(Worker(n + 1))));
        world.on(Event::Checked(Worker(n + 1)));
    }
    world.on(Event::Gone(Worker(3), Some(101)));
    assert_eq!(world.exit, Some(101));
}

#[test]
fn a_first_start_that_fails_says_why_by_its_code() {
    let mut world = World::new();
    world.on(Event::Gone(Worker(0), Some(2)));
    assert_eq!(world.exit, Some(2));
}

use super::*;
use crate::decision::State;

const HOLD: TimeSpan = TimeSpan::from_millis(10_000);

fn at(ms: i64) -> Timestamp {
    Timestamp::from_secs_f64(100.0) + TimeSpan::from_millis(ms)
}

fn follow() -> Follow {
    Follow::new(0, 3, Nearness::new(&["r", "r", "r"].map(str::to_string)), HOLD, false)
}

fn rows(silent: [u16; 3]) -> Vec<Row> {
    silent.iter().map(|&s| Row { listed: 10, answering: 10 - s, silent: s, ..Row::default() }).collect()
}

/// Zone 1 is out.
fn out(number: u64) -> Decision {
    let mut decision = Decision::first(3, number);
    (decision.places[1].state, decision.places[1].kept) = (State::Out, 0);
    decision
}

fn pass(follow: &mut Follow, from: i64, to: i64, silent: [u16; 3]) {
    (from..=to).step_by(100).for_each(|ms| follow.tick(at(ms), &rows(silent)));
}

#[test]
fn no_older_decision_is_taken_after_a_newer_one() {
    let mut follow = follow();
    assert_eq!(follow.standing(at(0)), Standing::Blind);
    assert_eq!(follow.plan(at(0)), Plan { number: 0, shares: vec![(0, 1000)], shut: vec![], lack: 0 });
    assert!(follow.decided(at(0), out(5)));
    assert!(!follow.decided(at(0), out(4)) && !follow.decided(at(0), Decision::first(3, 5)));
    assert_eq!((follow.older, follow.plan(at(0)).number, follow.plan(at(0)).shut), (2, 5, vec![1]));
    assert!(!follow.decided(at(0), Decision::first(2, 9)), "of other zones");
}

#[test]
fn old_beats_say_nothing_and_one_of_a_missed_decision_makes_it_look() {
    let mut follow = follow();
    follow.decided(at(0), out(5));
    follow.beats(at(0), (2, 7), 5);
    assert_eq!(follow.standing(at(100)), Standing::Following);
    // A leader of before that woke goes on beating.
    follow.beats(at(3000), (1, 900), 5);
    follow.beats(at(3000), (2, 7), 5);
    assert_eq!(follow.standing(at(3000)), Standing::Holding);
    follow.beats(at(3100), (2, 8), 6);
    assert!(follow.looks(at(3100)) && follow.standing(at(3100)) == Standing::Holding);
    follow.decided(at(0), out(6));
    follow.beats(at(3200), (2, 9), 6);
    assert!(!follow.looks(at(3200)));
}

#[test]
fn a_beat_heard_of_late_is_as_old_as_it_is() {
    let mut follow = follow();
    follow.decided(at(0), out(5));
    follow.beats(at(0), (1, 1), 5);
    // At 2.4 s a member says that it heard a newer one, two seconds ago.
    follow.beats(at(400), (1, 2), 5);
    assert_eq!(follow.standing(at(2800)), Standing::Following);
    assert_eq!(
        (follow.standing(at(3000)), follow.beat_age(at(3000))),
        (Standing::Holding, TimeSpan::from_millis(2600))
    );
}

#[test]
fn it_holds_for_the_stated_time_and_then_moves_no_more_than_the_stated_share() {
    let mut follow = follow();
    follow.decided(at(0), Decision::first(3, 5));
    follow.beats(at(0), (1, 1), 5);
    pass(&mut follow, 0, 9000, [10, 0, 0]);
    assert_eq!(follow.standing(at(9000)), Standing::Holding);
    assert_eq!(follow.plan(at(9000)).shares, [(0, 1000)], "own evidence does not count yet");
    pass(&mut follow, 9100, 11_000, [10, 0, 0]);
    assert_eq!(follow.standing(at(11_000)), Standing::Alone);
    assert_eq!(follow.plan(at(11_000)).shares, [(0, 500), (1, 250), (2, 250)]);
    // Voters again: to the letter.
    follow.beats(at(11_100), (1, 2), 5);
    assert_eq!(follow.plan(at(11_100)).shares, [(0, 1000)]);
}

#[test]
fn alone_a_zone_that_was_out_stays_out_while_another_serves() {
    let mut follow = follow();
    follow.decided(at(0), out(5));
    pass(&mut follow, 0, 20_000, [0, 0, 0]);
    assert_eq!(follow.standing(at(20_000)), Standing::Alone);
    assert_eq!(follow.plan(at(20_000)).shut, [1]);
}

#[test]
fn a_copy_that_stood_still_looks_before_it_goes_on() {
    let mut follow = follow();
    let mut spilling = Decision::first(3, 5);
    for (place, (asked, carries)) in spilling.places.iter_mut().zip([(300, 200), (10, 900), (10, 900)]) {
        (place.asked, place.carries) = (asked, carries);
    }
    follow.decided(at(0), spilling);
    pass(&mut follow, 0, 500, [0; 3]);
    follow.beats(at(500), (1, 1), 5);
    assert!(follow.plan(at(500)).shares.len() == 3);
    follow.tick(at(30_000), &rows([0; 3]));
    assert_eq!(follow.standing(at(30_000)), Standing::Looking);
    assert_eq!(follow.plan(at(30_000)).shares, [(0, 1000)]);
    assert!(follow.looks(at(30_000)));
    follow.beats(at(30_100), (1, 60), 5);
    assert_eq!((follow.standing(at(30_100)), follow.plan(at(30_100)).shares.len()), (Standing::Following, 3));
}

#[test]
fn what_is_recalled_is_a_floor_at_once_and_gone_by_only_when_nobody_says_what_stands() {
    let mut follow = follow();
    follow.recall(at(0), out(7));
    assert_eq!((follow.standing(at(0)), follow.plan(at(0)).shut), (Standing::Blind, vec![]));
    assert!(!follow.decided(at(10), out(6)), "a survivor that missed one says less than was acted on");
    assert_eq!(follow.older, 1);
    pass(&mut follow, 0, 3900, [0; 3]);
    assert_eq!(follow.standing(at(3900)), Standing::Blind);
    pass(&mut follow, 4000, 4100, [0; 3]);
    assert_eq!((follow.standing(at(4100)), follow.plan(at(4100)).shut), (Standing::Alone, vec![1]));
    // Then what stands is heard after all.
    assert!(follow.decided(at(4200), Decision::first(3, 8)));
    follow.beats(at(4200), (1, 1), 8);
    assert_eq!((follow.standing(at(4300)), follow.plan(at(4300)).shut), (Standing::Following, vec![]));
}

#[test]
fn the_same_that_was_recalled_is_followed_as_soon_as_it_is_said_to_stand() {
    let mut follow = follow();
    follow.recall(at(0), out(7));
    assert!(follow.decided(at(300), out(7)));
    follow.beats(at(300), (4, 1), 7);
    assert_eq!((follow.standing(at(400)), follow.plan(at(400)).shut), (Standing::Following, vec![1]));
}

#[test]
fn dry_nothing_moves() {
    let mut follow = Follow::new(1, 3, Nearness::new(&["r", "r", "r"].map(str::to_string)), HOLD, true);
    follow.decided(at(0), out(5));
    assert_eq!(follow.plan(at(0)).shares, [(1, 1000)]);
    assert_eq!(follow.plan(at(0)).shut, Vec::<u16>::new());
}

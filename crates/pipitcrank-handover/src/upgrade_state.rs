//! Who serves, and when that changes: the keeper's state machine. Events and times come in, wishes go out; no I/O.
//!
//! ```text
//!  Idle --asked--> Starting --checked--> Learning --learned--> Trial --drained, settled--> Passing --old gone--> Idle
//!    ^                |  too long, gone     |  too long, gone    |  silent, gone               |  new gone
//!    +---- undone ----+---------------------+--------------------+-----------------------------+
//! ```
//!
//! | step | listener, clients' connections | new queries' work | what the old one holds | way back |
//! | --- | --- | --- | --- | --- |
//! | `Starting` | old | old | old | kill the new one |
//! | `Learning` | old | old, from the snapshot on: new | old | kill the new one; the old one answers what it had handed on |
//! | `Trial` | old | new, handed on by the old one | old | the same |
//! | `Passing` | go over one by one | new | old | none for what has passed; the old one goes on with the rest |
//! | `Idle` | the one that serves | the same | - | - |
//!
//! The keeper holds a copy of the listener throughout, so a client never finds nobody listening while any process lives.

use std::collections::VecDeque;

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// A worker, by the order in which they were started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Worker(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The operators ask for an upgrade.
    Asked,
    /// The operators ask for the end.
    EndCalled,
    /// It could not be started at all.
    NotStarted(Worker),
    Checked(Worker),
    Learned(Worker),
    /// A sign of life.
    Beat(Worker),
    /// Of its own queries none is open.
    Drained(Worker),
    /// It has nothing left.
    Passed(Worker),
    /// It said what can't be read, or speaks another version.
    Garbled(Worker),
    /// Its process has ended, with that exit code where it had one.
    Gone(Worker, Option<i32>),
    /// Time has passed.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    Start(Worker),
    /// It serves, with the listener; what was handed to it stays.
    Serve(Worker),
    /// Join them by a link over which the first hands over to the second.
    Join(Worker, Worker),
    /// The other is no more; it goes on alone.
    Alone(Worker),
    /// It passes listener and connections.
    Pass(Worker),
    Kill(Worker),
    /// It is asked to end in order.
    End(Worker),
    /// The counts of upgrades are told to who serves.
    Tell(Worker),
    Exit(i32),
}

/// Why an upgrade did not come about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Undone {
    NotStarted,
    TooLong,
    Crashed,
    Silent,
    Garbled,
    EndCalled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nobody else is about. Without anybody who serves one is started at `start_at`.
    Idle {
        serving: Option<Worker>,
        start_at: Option<Timestamp>,
    },
    Starting {
        old: Option<Worker>,
        new: Worker,
        since: Timestamp,
    },
    Learning {
        old: Worker,
        new: Worker,
        since: Timestamp,
    },
    Trial {
        old: Worker,
        new: Worker,
        since: Timestamp,
        heard: Timestamp,
        drained: bool,
    },
    Passing {
        old: Worker,
        new: Worker,
        since: Timestamp,
        ended: bool,
    },
    Ending {
        code: i32,
    },
}

/// What the operators set; none is a decision of its own.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// For a new process to have read and checked all, and again to have taken what is known.
    pub start: TimeSpan,
    /// A new one is on trial for so long at least.
    pub settle: TimeSpan,
    /// One on trial is silent for so long at most.
    pub silent: TimeSpan,
    /// For the old one's own queries in a trial, and again for its last answers while it passes.
    pub finish: TimeSpan,
}

pub struct Book {
    times: Times,
    state: State,
    /// Alive, as far as known; two at most. Each leaves with its `Gone`.
    alive: Vec<Worker>,
    next: u32,
    /// When workers that served died of themselves; emptied as they leave the span.
    crashes: VecDeque<Timestamp>,
    last_undone: Option<Undone>,
    pub asked: u64,
    pub done: u64,
    pub undone: u64,
}

/// A worker that serves and dies is started anew so often within the span, then the keeper ends too, as the process
/// alone would have: a program that can't live is no better for being started for ever.
const MOST_CRASHES: usize = 3;
const CRASH_SPAN: TimeSpan = TimeSpan::from_millis(60_000);
/// The pause before a second start, doubled with each crash more; the first is made up for at once.
const START_AGAIN: TimeSpan = TimeSpan::from_millis(100);

impl Book {
    /// The first worker is to be started.
    pub fn open(now: Timestamp, times: Times) -> (Book, Vec<Wish>) {
        let state = State::Idle { serving: None, start_at: None };
        let (alive, crashes) = (Vec::new(), VecDeque::new());
        let mut book =
            Book { times, state, alive, next: 0, crashes, last_undone: None, asked: 0, done: 0, undone: 0 };
        let mut wishes = Vec::new();
        book.start(now, None, &mut wishes);
        (book, wishes)
    }

    /// What of the file may change while all runs.
    pub fn set_times(&mut self, times: Times) {
        self.times = times;
    }

    /// When `Tick` is due if nothing happens before.
    pub fn due(&self) -> Option<Timestamp> {
        match self.state {
            State::Idle { start_at, .. } => start_at,
            State::Starting { since, .. } | State::Learning { since, .. } => Some(since + self.times.start),
            State::Trial { since, heard, drained, .. } => {
                let settled = since
                    + if drained { self.times.settle } else { self.times.settle.max(self.times.finish) };
                // Guards against a process that stands still and is confirmed before its silence is seen: it has to be
                // heard of after it settled.
                Some(if heard >= settled { settled } else { heard + self.times.silent })
            }
            State::Passing { since, ended: false, .. } => Some(since + self.times.finish),
            State::Passing { .. } | State::Ending { .. } => None,
        }
    }

    pub fn last_undone(&self) -> Option<Undone> {
        self.last_undone
    }

    /// Who was last told to serve, or holds the listener for the one on trial.
    pub fn serving(&self) -> Option<Worker> {
        match self.state {
            State::Idle { serving, .. } => serving,
            State::Starting { old, .. } => old,
            State::Learning { old, .. } | State::Trial { old, .. } => Some(old),
            State::Passing { new, .. } => Some(new),
            State::Ending { .. } => None,
        }
    }

    pub fn upgrading(&self) -> bool {
        !matches!(self.state, State::Idle { .. } | State::Starting { old: None, .. } | State::Ending { .. })
    }

    pub fn alive(&self) -> &[Worker] {
        &self.alive
    }

    pub fn on(&mut self, now: Timestamp, event: Event) -> Vec<Wish> {
        let mut wishes = Vec::new();
        if let Event::Gone(who, _) | Event::NotStarted(who) = event {
            // Guards against a second end of the same process: only the first is one.
            if !self.alive.contains(&who) {
                return wishes;
            }
            self.alive.retain(|w| *w != who);
        }
        match event {
            Event::Asked => self.asked(now, &mut wishes),
            Event::EndCalled => self.end_called(&mut wishes),
            Event::Tick => self.tick(now, &mut wishes),
            Event::NotStarted(who) => self.gone(now, who, Some(2), Undone::NotStarted, &mut wishes),
            Event::Gone(who, code) => self.gone(now, who, code, Undone::Crashed, &mut wishes),
            Event::Garbled(who) => self.garbled(who, &mut wishes),
            Event::Checked(who) => self.checked(now, who, &mut wishes),
            Event::Learned(who) => {
                if let State::Learning { old, new, .. } = self.state
                    && who == new
                {
                    self.state = State::Trial { old, new, since: now, heard: now, drained: false };
                }
            }
            Event::Beat(who) => {
                if let State::Trial { new, ref mut heard, .. } = self.state
                    && who == new
                {
                    *heard = now;
                    self.tick(now, &mut wishes);
                }
            }
            Event::Drained(who) => {
                if let State::Trial { old, ref mut drained, .. } = self.state
                    && who == old
                {
                    *drained = true;
                    self.tick(now, &mut wishes);
                }
            }
            // It exits of itself; if not in time, it is asked to.
            Event::Passed(_) => {}
        }
        wishes
    }

    fn start(&mut self, now: Timestamp, old: Option<Worker>, wishes: &mut Vec<Wish>) {
        let new = Worker(self.next);
        self.next += 1;
        self.alive.push(new);
        self.state = State::Starting { old, new, since: now };
        wishes.push(Wish::Start(new));
    }

    fn asked(&mut self, now: Timestamp, wishes: &mut Vec<Wish>) {
        self.asked += 1;
        match self.state {
            State::Idle { serving: Some(old), .. } if self.alive == [old] => {
                self.start(now, Some(old), wishes)
            }
            // One at a time: what is under way goes on, and this one is not kept for later, as it would then start a
            // program that nobody watches any more.
            _ => self.undone += 1,
        }
        wishes.extend(self.serving().map(Wish::Tell));
    }

    fn checked(&mut self, now: Timestamp, who: Worker, wishes: &mut Vec<Wish>) {
        match self.state {
            State::Starting { old: None, new, .. } if new == who => {
                self.state = State::Idle { serving: Some(new), start_at: None };
                wishes.extend([Wish::Serve(new), Wish::Tell(new)]);
            }
            State::Starting { old: Some(old), new, .. } if new == who => {
                self.state = State::Learning { old, new, since: now };
                wishes.push(Wish::Join(old, new));
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Timestamp, wishes: &mut Vec<Wish>) {
        if self.due().is_none_or(|due| now < due) {
            return;
        }
        match self.state {
            State::Idle { serving: None, .. } => self.start(now, None, wishes),
            // The first of all, or one that makes up for a crash: there is nobody to go back to.
            State::Starting { old: None, new, .. } => wishes.push(Wish::Kill(new)),
            State::Starting { old: Some(old), new, .. } | State::Learning { old, new, .. } => {
                self.undo(old, new, Undone::TooLong, wishes);
            }
            State::Trial { old, new, heard, .. } if now >= heard + self.times.silent => {
                self.undo(old, new, Undone::Silent, wishes);
            }
            State::Trial { old, new, .. } => {
                self.state = State::Passing { old, new, since: now, ended: false };
                wishes.extend([Wish::Pass(old), Wish::Serve(new)]);
            }
            State::Passing { old, new, since, .. } => {
                self.state = State::Passing { old, new, since, ended: true };
                wishes.push(Wish::End(old));
            }
            State::Idle { .. } | State::Ending { .. } => {}
        }
    }

    /// Back to the old one, which has the listener and all clients still.
    fn undo(&mut self, old: Worker, new: Worker, why: Undone, wishes: &mut Vec<Wish>) {
        self.undone += 1;
        self.last_undone = Some(why);
        self.state = State::Idle { serving: Some(old), start_at: None };
        if self.alive.contains(&new) {
            wishes.push(Wish::Kill(new));
        }
        wishes.extend([Wish::Alone(old), Wish::Tell(old)]);
    }

    fn garbled(&mut self, who: Worker, wishes: &mut Vec<Wish>) {
        match self.state {
            State::Starting { old: Some(old), new, .. }
            | State::Learning { old, new, .. }
            | State::Trial { old, new, .. }
                if who == new =>
            {
                self.undo(old, new, Undone::Garbled, wishes);
            }
            // Whoever else can't be understood can't be led either; its end is dealt with as it comes.
            _ if self.alive.contains(&who) => wishes.push(Wish::Kill(who)),
            _ => {}
        }
    }

    fn gone(&mut self, now: Timestamp, who: Worker, code: Option<i32>, why: Undone, wishes: &mut Vec<Wish>) {
        match self.state {
            State::Starting { old: Some(old), new, .. }
            | State::Learning { old, new, .. }
            | State::Trial { old, new, .. }
                if who == new =>
            {
                self.undo(old, new, why, wishes);
            }
            // The old one died before the new one knew anything: what is left is a new start, under way already.
            State::Starting { old: Some(old), new, since } if who == old => {
                self.crashes.push_back(now);
                self.done += 1;
                self.state = State::Starting { old: None, new, since };
            }
            // The old one died under the new one's eyes; that goes on with what it has.
            State::Learning { old, new, .. } | State::Trial { old, new, .. } if who == old => {
                self.crashes.push_back(now);
                self.done += 1;
                self.state = State::Idle { serving: Some(new), start_at: None };
                wishes.extend([Wish::Serve(new), Wish::Alone(new), Wish::Tell(new)]);
            }
            State::Passing { old, new, .. } if who == old => {
                self.done += 1;
                self.state = State::Idle { serving: Some(new), start_at: None };
                wishes.extend([Wish::Alone(new), Wish::Tell(new)]);
            }
            // What had passed is lost with it; the old one takes up the listener again, with all it still holds.
            State::Passing { old, new, .. } if who == new => {
                self.undone += 1;
                self.last_undone = Some(why);
                self.state = State::Idle { serving: Some(old), start_at: None };
                wishes.extend([Wish::Alone(old), Wish::Serve(old), Wish::Tell(old)]);
            }
            State::Starting { old: None, new, .. } if who == new => self.died(now, code, true, wishes),
            State::Idle { serving: Some(serving), .. } if who == serving => {
                self.died(now, code, false, wishes)
            }
            State::Ending { code } if self.alive.is_empty() => wishes.push(Wish::Exit(code)),
            _ => {}
        }
    }

    /// Nobody serves any more. `fresh`: it had not begun to.
    fn died(&mut self, now: Timestamp, code: Option<i32>, fresh: bool, wishes: &mut Vec<Wish>) {
        self.crashes.retain(|&t| now - t < CRASH_SPAN);
        // The very first start says by its code what is wrong, and one that ends well was asked to by its signal.
        let told = fresh && self.crashes.is_empty() || code == Some(0);
        if told || self.crashes.len() >= MOST_CRASHES {
            self.state = State::Ending { code: code.unwrap_or(1) };
            if self.alive.is_empty() {
                wishes.push(Wish::Exit(code.unwrap_or(1)));
            } else {
                wishes.extend(self.alive.iter().map(|&w| Wish::Kill(w)));
            }
            return;
        }
        let earlier = self.crashes.len() as u32;
        self.crashes.push_back(now);
        let pause = if earlier == 0 { TimeSpan::ZERO } else { START_AGAIN * f64::from(1 << (earlier - 1)) };
        self.state = State::Idle { serving: None, start_at: Some(now + pause) };
        if pause == TimeSpan::ZERO {
            self.tick(now, wishes);
        }
    }

    fn end_called(&mut self, wishes: &mut Vec<Wish>) {
        match self.state {
            // Before the confirmation the old one has all there is: it ends as if there had been no upgrade.
            State::Starting { old: Some(old), new, .. }
            | State::Learning { old, new, .. }
            | State::Trial { old, new, .. } => {
                self.undo(old, new, Undone::EndCalled, wishes);
            }
            _ => {}
        }
        // Both end where connections are passing: each answers what it has.
        let killed = wishes.clone();
        let others = self.alive.iter().filter(|&&w| !killed.contains(&Wish::Kill(w)));
        wishes.extend(others.map(|&w| Wish::End(w)));
        self.state = State::Ending { code: 0 };
        if self.alive.is_empty() {
            wishes.push(Wish::Exit(0));
        }
    }
}

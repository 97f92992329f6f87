//! Checks the rules of voter membership, and of the decisions that nodes follow, with a model checker
//! (`stateright`). The model covers every order of crashes with loss of all state, restarts, partitions,
//! foundings, admissions and decisions, and of lost, late or duplicated messages, up to a bound. Raft itself
//! is not modelled: a group decides if a majority of its ids reach each other and each id belongs to a
//! process that still has its state.

use std::collections::BTreeSet;

use stateright::{Checker, Model, Property};

/// Largest generation in the model.
const MAX_GENERATION: u8 = 2;
/// Largest number of voter changes in the model, in addition to the decisions.
const MAX_ADMISSIONS: u8 = 3;
/// Id in place of a voter that has not promised.
const NO_ID: u8 = 255;
/// Added to the id in a crashed voter's promise field when the injected fault keeps the id.
const KEPT_ID_MARK: u8 = 100;

/// A decision or a change of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Entry {
    generation: u8,
    number: u8,
    content: u8,
}

/// State of a group as held by one voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct GroupState {
    generation: u8,
    /// Voter ids by slot, as recorded by this voter.
    voters: Vec<u8>,
    /// Number and content of the newest entry of this voter.
    number: u8,
    content: u8,
}

impl GroupState {
    fn entry(&self) -> Entry {
        Entry { generation: self.generation, number: self.number, content: self.content }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Voter {
    /// None while the process is down.
    id: Option<u8>,
    group: Option<GroupState>,
    promised: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct ModelState {
    voters: Vec<Voter>,
    /// Slots isolated from the others.
    isolated: BTreeSet<usize>,
    /// All entries ever decided.
    decided: BTreeSet<Entry>,
    /// Generation and number of the newest entry that the modelled follower acts on.
    follows: (u8, u8),
    regressed: bool,
    next_id: u8,
    last_content: u8,
    faults: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Crash(usize),
    Restart(usize),
    Isolate(usize),
    Heal,
    /// The first slot collects promises for a new generation from all voters.
    Found,
    /// A voter that promised receives the start of the group; late or repeated delivery has the same effect.
    Start(usize),
    /// A majority decides; the other voters may miss the decision.
    Decide(Vec<usize>),
    /// A majority admits the new id of a slot in place of the old one.
    Admit(Vec<usize>, usize),
    /// One voter receives the newer entries of another.
    CatchUp {
        from: usize,
        to: usize,
    },
    /// The follower receives any entry ever decided: late, repeated or out of order.
    Receive(Entry),
}

struct Rules {
    slots: usize,
    faults: u8,
    decisions: u8,
    /// Injected fault: a process that lost its state continues under its old id.
    keeps_id: bool,
    /// Injected fault: a group starts with the promises of a majority only.
    founds_with_majority: bool,
    /// Injected fault: nodes accept older decisions.
    accepts_older: bool,
}

impl Rules {
    fn correct(slots: usize, faults: u8, decisions: u8) -> Rules {
        Rules { slots, faults, decisions, keeps_id: false, founds_with_majority: false, accepts_older: false }
    }

    fn majorities(&self) -> Vec<Vec<usize>> {
        let sets = (0u32..1 << self.slots).filter(|m| m.count_ones() as usize * 2 > self.slots);
        sets.map(|m| (0..self.slots).filter(|s| m & (1 << s) != 0).collect()).collect()
    }

    /// Returns the newest group state within `set` if its slots reach each other, are up, and are voters of
    /// that group.
    fn acting_group(&self, state: &ModelState, set: &[usize]) -> Option<GroupState> {
        let isolated = set.iter().filter(|slot| state.isolated.contains(slot)).count();
        let is_partitioned = isolated > 0 && isolated < set.len();
        if is_partitioned || isolated > 1 {
            return None;
        }
        let members: Option<Vec<(&GroupState, u8)>> = set
            .iter()
            .map(|&slot| {
                let voter = &state.voters[slot];
                Some((voter.group.as_ref()?, voter.id?))
            })
            .collect();
        let members = members?;
        let newest = members.iter().map(|m| m.0).max_by_key(|m| (m.generation, m.number))?;
        let are_voters = set.iter().zip(&members).all(|(&slot, (member, id))| {
            member.generation == newest.generation && newest.voters[slot] == *id
        });
        let are_free = set.iter().all(|&slot| state.voters[slot].promised <= newest.generation);
        (are_voters && are_free).then(|| newest.clone())
    }

    fn crash(&self, state: &mut ModelState, slot: usize) -> Option<()> {
        state.faults += 1;
        let id = state.voters[slot].id;
        state.voters[slot] = Voter { id: None, group: None, promised: 0 };
        if self.keeps_id {
            // The next process continues under the same id and in the same group, but without the promises
            // made.
            state.voters[slot].promised = KEPT_ID_MARK + id?;
        }
        Some(())
    }

    fn restart(&self, state: &mut ModelState, slot: usize) {
        let mark = std::mem::take(&mut state.voters[slot].promised);
        if mark >= KEPT_ID_MARK {
            state.voters[slot].id = Some(mark - KEPT_ID_MARK);
            let newest = state.voters.iter().filter_map(|voter| voter.group.clone()).max();
            state.voters[slot].group = newest.map(|group| GroupState { number: 0, content: 0, ..group });
        } else {
            state.voters[slot].id = Some(state.take_id());
        }
    }

    fn found(&self, state: &mut ModelState) -> Option<()> {
        let present: Vec<usize> = (0..self.slots)
            .filter(|slot| state.voters[*slot].id.is_some() && !state.isolated.contains(slot))
            .collect();
        let enough = match self.founds_with_majority {
            true => present.len() * 2 > self.slots,
            false => present.len() == self.slots,
        };
        // No leader exists if no majority among the present slots could decide.
        let has_leader = self.majorities().iter().any(|set| {
            set.iter().all(|slot| present.contains(slot)) && self.acting_group(state, set).is_some()
        });
        let has_promise = present.iter().any(|&slot| state.voters[slot].promised > 0);
        if !enough || has_leader || has_promise {
            return None;
        }
        // The generation is above those of the present voters; without any state, above those that clocks
        // gave before.
        let known = present.iter().filter_map(|&slot| state.voters[slot].group.as_ref());
        let by_clock = || state.decided.iter().map(|entry| entry.generation).max().unwrap_or(0);
        let generation = 1 + known.map(|group| group.generation).max().unwrap_or_else(by_clock);
        if generation > MAX_GENERATION {
            return None;
        }
        // Each voter leaves its group for good and takes another id.
        for &slot in &present {
            if state.voters[slot].group.take().is_some() {
                state.voters[slot].id = Some(state.take_id());
            }
            state.voters[slot].promised = generation;
        }
        Some(())
    }

    fn start(&self, state: &mut ModelState, slot: usize) -> Option<()> {
        let generation = state.voters[slot].promised;
        // All voters that promised this generation, with the ids they had when counted: a voter that crashed
        // since is counted under its old id.
        let counted = state.voters.iter().find_map(|voter| {
            let started = voter.group.as_ref().filter(|m| m.generation == generation && m.number == 0);
            started.map(|group| group.voters.clone())
        });
        let promised = |voter: &Voter| voter.id.filter(|_| voter.promised == generation).unwrap_or(NO_ID);
        let ids = counted.unwrap_or_else(|| state.voters.iter().map(promised).collect());
        let promises = ids.iter().filter(|id| **id != NO_ID).count();
        let enough =
            if self.founds_with_majority { promises * 2 > self.slots } else { promises == self.slots };
        if !enough || ids[slot] != state.voters[slot].id? {
            return None;
        }
        let group = GroupState { generation, voters: ids, number: 0, content: 0 };
        (state.voters[slot].group, state.voters[slot].promised) = (Some(group), 0);
        Some(())
    }

    fn decide(&self, state: &mut ModelState, set: &[usize]) -> Option<()> {
        let newest = self.acting_group(state, set)?;
        state.last_content += 1;
        let decided = GroupState { number: newest.number + 1, content: state.last_content, ..newest };
        state.decided.insert(decided.entry());
        set.iter().for_each(|&slot| state.voters[slot].group = Some(decided.clone()));
        Some(())
    }

    fn admit(&self, state: &mut ModelState, set: &[usize], slot: usize) -> Option<()> {
        let newest = self.acting_group(state, set)?;
        let id = state.voters[slot].id?;
        let is_free = state.voters[slot].group.is_none() && state.voters[slot].promised == 0;
        if newest.voters[slot] == id || !is_free || set.contains(&slot) || state.isolated.contains(&slot) {
            return None;
        }
        let mut voters = newest.voters.clone();
        voters[slot] = id;
        // The change is an entry like any other, with a number.
        state.last_content += 1;
        if state.last_content > self.decisions + MAX_ADMISSIONS {
            return None;
        }
        let changed = GroupState { voters, number: newest.number + 1, content: state.last_content, ..newest };
        state.decided.insert(changed.entry());
        set.iter().for_each(|&member| state.voters[member].group = Some(changed.clone()));
        state.voters[slot].group = Some(changed);
        Some(())
    }

    fn receive(&self, state: &mut ModelState, entry: Entry) -> Option<()> {
        let received = (entry.generation, entry.number);
        if received <= state.follows && !self.accepts_older {
            return None;
        }
        state.regressed |= received < state.follows;
        state.follows = received;
        Some(())
    }
}

impl ModelState {
    fn take_id(&mut self) -> u8 {
        self.next_id += 1;
        self.next_id - 1
    }

    fn catch_up(&mut self, from: usize, to: usize) -> Option<()> {
        let newer = self.voters[from].group.clone()?;
        let known = self.voters[to].group.as_ref()?;
        let is_partitioned = self.isolated.contains(&from) != self.isolated.contains(&to);
        let is_newer = newer.generation == known.generation && newer.number > known.number;
        if is_partitioned || !is_newer || newer.voters[to] != self.voters[to].id? {
            return None;
        }
        self.voters[to].group = Some(newer);
        Some(())
    }
}

impl Model for Rules {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let voter = |slot: usize| Voter { id: Some(slot as u8), group: None, promised: 0 };
        vec![ModelState {
            voters: (0..self.slots).map(voter).collect(),
            isolated: BTreeSet::new(),
            decided: BTreeSet::new(),
            follows: (0, 0),
            regressed: false,
            next_id: self.slots as u8,
            last_content: 0,
            faults: 0,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        for (slot, voter) in state.voters.iter().enumerate() {
            if state.faults < self.faults && voter.id.is_some() {
                actions.push(Action::Crash(slot));
                if state.isolated.is_empty() {
                    actions.push(Action::Isolate(slot));
                }
            }
            if voter.id.is_none() {
                actions.push(Action::Restart(slot));
            }
            if voter.promised > 0 && voter.group.is_none() {
                actions.push(Action::Start(slot));
            }
        }
        if !state.isolated.is_empty() {
            actions.push(Action::Heal);
        }
        actions.push(Action::Found);
        for set in self.majorities() {
            if state.last_content < self.decisions {
                actions.push(Action::Decide(set.clone()));
            }
            for slot in 0..self.slots {
                actions.push(Action::Admit(set.clone(), slot));
            }
        }
        for from in 0..self.slots {
            let others = (0..self.slots).filter(|to| *to != from);
            actions.extend(others.map(|to| Action::CatchUp { from, to }));
        }
        actions.extend(state.decided.iter().map(|entry| Action::Receive(*entry)));
    }

    fn next_state(&self, last: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = last.clone();
        match action {
            Action::Crash(slot) => self.crash(&mut state, slot)?,
            Action::Restart(slot) => self.restart(&mut state, slot),
            Action::Isolate(slot) => {
                state.faults += 1;
                state.isolated.insert(slot);
            }
            Action::Heal => state.isolated.clear(),
            Action::Found => self.found(&mut state)?,
            Action::Start(slot) => self.start(&mut state, slot)?,
            Action::Decide(set) => self.decide(&mut state, &set)?,
            Action::Admit(set, slot) => self.admit(&mut state, &set, slot)?,
            Action::CatchUp { from, to } => state.catch_up(from, to)?,
            Action::Receive(entry) => self.receive(&mut state, entry)?,
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one decision for each number", |_, state: &ModelState| {
                let numbers: BTreeSet<(u8, u8)> =
                    state.decided.iter().map(|entry| (entry.generation, entry.number)).collect();
                numbers.len() == state.decided.len()
            }),
            Property::always("no follower regresses", |_, state: &ModelState| !state.regressed),
            Property::always("one group acts", |rules: &Rules, state: &ModelState| {
                let acting: BTreeSet<u8> = rules
                    .majorities()
                    .iter()
                    .filter_map(|set| rules.acting_group(state, set))
                    .map(|group| group.generation)
                    .collect();
                acting.len() <= 1
            }),
            Property::sometimes("decides after state was lost", |_, state: &ModelState| {
                state.next_id > state.voters.len() as u8 && state.decided.iter().any(|entry| entry.number > 1)
            }),
            Property::sometimes("a second generation decides", |_, state: &ModelState| {
                state.decided.iter().any(|entry| entry.generation == 2)
            }),
        ]
    }
}

fn check(rules: Rules, depth: usize) -> (usize, Vec<&'static str>) {
    let checker = rules.checker().target_max_depth(depth).threads(2).spawn_bfs().join();
    let always = ["one decision for each number", "no follower regresses", "one group acts"];
    let broken = checker.discoveries().into_keys().filter(|name| always.contains(name)).collect();
    (checker.unique_state_count(), broken)
}

#[test]
fn three_voters_with_crashes_and_partitions_keep_the_rules() {
    let (states, broken) = check(Rules::correct(3, 4, 2), 22);
    println!("{states} states at depth 22");
    assert!(broken.is_empty(), "{broken:?}");
    assert!(states > 10_000, "{states}");
}

#[test]
fn five_voters_keep_the_rules() {
    let (states, broken) = check(Rules::correct(5, 2, 2), 12);
    println!("{states} states at depth 12");
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn what_the_rules_allow_is_reached() {
    let checker = Rules::correct(3, 3, 2).checker().target_max_depth(14).threads(2).spawn_bfs();
    let checker = checker.join();
    for name in ["decides after state was lost", "a second generation decides"] {
        assert!(checker.discovery(name).is_some(), "{name}");
    }
}

/// Guards the model itself: every injected fault must break a property.
#[test]
fn a_missing_rule_is_found() {
    let keeps = Rules { keeps_id: true, ..Rules::correct(3, 3, 3) };
    assert!(
        !check(keeps, 12).1.is_empty(),
        "a process without state that votes under its old id is not found"
    );
    let founds = Rules { founds_with_majority: true, ..Rules::correct(3, 4, 2) };
    assert!(!check(founds, 22).1.is_empty(), "a founding by a majority is not found");
    let older = Rules { accepts_older: true, ..Rules::correct(3, 1, 2) };
    assert_eq!(check(older, 10).1, ["no follower regresses"]);
}

//! The rules of who belongs to the voters, and of what nodes follow, in a model checker (`stateright`): every order of
//! crashes that lose all memory, restarts, partitions, foundings, admissions and decisions, and of messages that are lost,
//! late or duplicated, up to a bound. Raft itself is not checked: a group decides where a majority of its ids, each held by
//! a process that still has its memory, reach each other. What is checked are the rules around it.

use std::collections::BTreeSet;

use stateright::{Checker, Model, Property};

/// Generations that are modelled.
const MAX_GENERATION: u8 = 2;
/// Changes of voters that are modelled, beside the decisions.
const MAX_ADMISSIONS: u8 = 3;
/// Stands for the id of a voter that has not promised.
const NO_ID: u8 = 255;
/// Marks, in a crashed voter's promise, the id that the injected fault keeps.
const KEPT_ID_MARK: u8 = 100;

/// A decision, or a change of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Entry {
    generation: u8,
    number: u8,
    content: u8,
}

/// What a voter's process knows of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Memory {
    generation: u8,
    /// Ids that vote, by slot, as far as it knows.
    voters: Vec<u8>,
    /// Number and content of the newest entry it knows.
    number: u8,
    content: u8,
}

impl Memory {
    fn entry(&self) -> Entry {
        Entry { generation: self.generation, number: self.number, content: self.content }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Voter {
    /// None while it is down.
    id: Option<u8>,
    memory: Option<Memory>,
    promised: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct World {
    voters: Vec<Voter>,
    /// Slots cut off from the others.
    isolated: BTreeSet<usize>,
    /// Entries that were ever decided.
    decided: BTreeSet<Entry>,
    /// Generation and number of the newest that the one follower acts on, and whether it ever went back.
    follows: (u8, u8),
    went_back: bool,
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
    /// The first slot has all promise a generation.
    Found,
    /// One of those that promised hears that the group starts; late or twice makes no difference.
    Start(usize),
    /// A majority decides; the others may miss it.
    Decide(Vec<usize>),
    /// A majority admits a slot's new id in place of its old one.
    Admit(Vec<usize>, usize),
    /// One voter learns what another knows.
    CatchUp {
        from: usize,
        to: usize,
    },
    /// The follower hears of any entry ever decided: late, again, or in another order.
    Hear(Entry),
}

struct Rules {
    slots: usize,
    faults: u8,
    decisions: u8,
    /// Injected fault: a process that lost its memory goes on under the id that it had.
    keeps_id: bool,
    /// Injected fault: a group starts with the promises of a majority alone.
    founds_with_majority: bool,
    /// Injected fault: nodes accept whatever they hear last.
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

    /// What the newest of these knows, if they reach each other, are up, and are voters of its group.
    fn acting_group(&self, world: &World, set: &[usize]) -> Option<Memory> {
        let isolated = set.iter().filter(|slot| world.isolated.contains(slot)).count();
        let is_partitioned = isolated > 0 && isolated < set.len();
        if is_partitioned || isolated > 1 {
            return None;
        }
        let members: Option<Vec<(&Memory, u8)>> = set
            .iter()
            .map(|&slot| {
                let voter = &world.voters[slot];
                Some((voter.memory.as_ref()?, voter.id?))
            })
            .collect();
        let members = members?;
        let newest = members.iter().map(|m| m.0).max_by_key(|m| (m.generation, m.number))?;
        let are_voters = set.iter().zip(&members).all(|(&slot, (memory, id))| {
            memory.generation == newest.generation && newest.voters[slot] == *id
        });
        let are_free = set.iter().all(|&slot| world.voters[slot].promised <= newest.generation);
        (are_voters && are_free).then(|| newest.clone())
    }

    fn crash(&self, world: &mut World, slot: usize) -> Option<()> {
        world.faults += 1;
        let id = world.voters[slot].id;
        world.voters[slot] = Voter { id: None, memory: None, promised: 0 };
        if self.keeps_id {
            // The next process claims to be the same, and knows its group, but not what it had promised.
            world.voters[slot].promised = KEPT_ID_MARK + id?;
        }
        Some(())
    }

    fn restart(&self, world: &mut World, slot: usize) {
        let mark = std::mem::take(&mut world.voters[slot].promised);
        if mark >= KEPT_ID_MARK {
            world.voters[slot].id = Some(mark - KEPT_ID_MARK);
            let newest = world.voters.iter().filter_map(|voter| voter.memory.clone()).max();
            world.voters[slot].memory = newest.map(|memory| Memory { number: 0, content: 0, ..memory });
        } else {
            world.voters[slot].id = Some(world.take_id());
        }
    }

    fn found(&self, world: &mut World) -> Option<()> {
        let present: Vec<usize> = (0..self.slots)
            .filter(|slot| world.voters[*slot].id.is_some() && !world.isolated.contains(slot))
            .collect();
        let enough = match self.founds_with_majority {
            true => present.len() * 2 > self.slots,
            false => present.len() == self.slots,
        };
        // Nobody knows of a leader: none of those present could decide.
        let has_leader = self.majorities().iter().any(|set| {
            set.iter().all(|slot| present.contains(slot)) && self.acting_group(world, set).is_some()
        });
        let has_promise = present.iter().any(|&slot| world.voters[slot].promised > 0);
        if !enough || has_leader || has_promise {
            return None;
        }
        // Above what those present know; where none of them has memory, above what clocks gave before.
        let known = present.iter().filter_map(|&slot| world.voters[slot].memory.as_ref());
        let by_clock = || world.decided.iter().map(|entry| entry.generation).max().unwrap_or(0);
        let generation = 1 + known.map(|memory| memory.generation).max().unwrap_or_else(by_clock);
        if generation > MAX_GENERATION {
            return None;
        }
        // Each leaves its group for good: another id.
        for &slot in &present {
            if world.voters[slot].memory.take().is_some() {
                world.voters[slot].id = Some(world.take_id());
            }
            world.voters[slot].promised = generation;
        }
        Some(())
    }

    fn start(&self, world: &mut World, slot: usize) -> Option<()> {
        let generation = world.voters[slot].promised;
        // All who promised that, as they were counted: who crashed since is counted under its old id.
        let counted = world.voters.iter().find_map(|voter| {
            let started = voter.memory.as_ref().filter(|m| m.generation == generation && m.number == 0);
            started.map(|memory| memory.voters.clone())
        });
        let promised = |voter: &Voter| voter.id.filter(|_| voter.promised == generation).unwrap_or(NO_ID);
        let ids = counted.unwrap_or_else(|| world.voters.iter().map(promised).collect());
        let promises = ids.iter().filter(|id| **id != NO_ID).count();
        let enough =
            if self.founds_with_majority { promises * 2 > self.slots } else { promises == self.slots };
        if !enough || ids[slot] != world.voters[slot].id? {
            return None;
        }
        let memory = Memory { generation, voters: ids, number: 0, content: 0 };
        (world.voters[slot].memory, world.voters[slot].promised) = (Some(memory), 0);
        Some(())
    }

    fn decide(&self, world: &mut World, set: &[usize]) -> Option<()> {
        let newest = self.acting_group(world, set)?;
        world.last_content += 1;
        let decided = Memory { number: newest.number + 1, content: world.last_content, ..newest };
        world.decided.insert(decided.entry());
        set.iter().for_each(|&slot| world.voters[slot].memory = Some(decided.clone()));
        Some(())
    }

    fn admit(&self, world: &mut World, set: &[usize], slot: usize) -> Option<()> {
        let newest = self.acting_group(world, set)?;
        let id = world.voters[slot].id?;
        let is_free = world.voters[slot].memory.is_none() && world.voters[slot].promised == 0;
        if newest.voters[slot] == id || !is_free || set.contains(&slot) || world.isolated.contains(&slot) {
            return None;
        }
        let mut voters = newest.voters.clone();
        voters[slot] = id;
        // The change is an entry as any: it has a number.
        world.last_content += 1;
        if world.last_content > self.decisions + MAX_ADMISSIONS {
            return None;
        }
        let changed = Memory { voters, number: newest.number + 1, content: world.last_content, ..newest };
        world.decided.insert(changed.entry());
        set.iter().for_each(|&member| world.voters[member].memory = Some(changed.clone()));
        world.voters[slot].memory = Some(changed);
        Some(())
    }

    fn hear(&self, world: &mut World, entry: Entry) -> Option<()> {
        let heard = (entry.generation, entry.number);
        if heard <= world.follows && !self.accepts_older {
            return None;
        }
        world.went_back |= heard < world.follows;
        world.follows = heard;
        Some(())
    }
}

impl World {
    fn take_id(&mut self) -> u8 {
        self.next_id += 1;
        self.next_id - 1
    }

    fn catch_up(&mut self, from: usize, to: usize) -> Option<()> {
        let newer = self.voters[from].memory.clone()?;
        let known = self.voters[to].memory.as_ref()?;
        let is_partitioned = self.isolated.contains(&from) != self.isolated.contains(&to);
        let is_newer = newer.generation == known.generation && newer.number > known.number;
        if is_partitioned || !is_newer || newer.voters[to] != self.voters[to].id? {
            return None;
        }
        self.voters[to].memory = Some(newer);
        Some(())
    }
}

impl Model for Rules {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let voter = |slot: usize| Voter { id: Some(slot as u8), memory: None, promised: 0 };
        vec![World {
            voters: (0..self.slots).map(voter).collect(),
            isolated: BTreeSet::new(),
            decided: BTreeSet::new(),
            follows: (0, 0),
            went_back: false,
            next_id: self.slots as u8,
            last_content: 0,
            faults: 0,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        for (slot, voter) in world.voters.iter().enumerate() {
            if world.faults < self.faults && voter.id.is_some() {
                actions.push(Action::Crash(slot));
                if world.isolated.is_empty() {
                    actions.push(Action::Isolate(slot));
                }
            }
            if voter.id.is_none() {
                actions.push(Action::Restart(slot));
            }
            if voter.promised > 0 && voter.memory.is_none() {
                actions.push(Action::Start(slot));
            }
        }
        if !world.isolated.is_empty() {
            actions.push(Action::Heal);
        }
        actions.push(Action::Found);
        for set in self.majorities() {
            if world.last_content < self.decisions {
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
        actions.extend(world.decided.iter().map(|entry| Action::Hear(*entry)));
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        match action {
            Action::Crash(slot) => self.crash(&mut world, slot)?,
            Action::Restart(slot) => self.restart(&mut world, slot),
            Action::Isolate(slot) => {
                world.faults += 1;
                world.isolated.insert(slot);
            }
            Action::Heal => world.isolated.clear(),
            Action::Found => self.found(&mut world)?,
            Action::Start(slot) => self.start(&mut world, slot)?,
            Action::Decide(set) => self.decide(&mut world, &set)?,
            Action::Admit(set, slot) => self.admit(&mut world, &set, slot)?,
            Action::CatchUp { from, to } => world.catch_up(from, to)?,
            Action::Hear(entry) => self.hear(&mut world, entry)?,
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one decision for each number", |_, world: &World| {
                let numbers: BTreeSet<(u8, u8)> =
                    world.decided.iter().map(|entry| (entry.generation, entry.number)).collect();
                numbers.len() == world.decided.len()
            }),
            Property::always("nobody goes back", |_, world: &World| !world.went_back),
            Property::always("one group acts", |rules: &Rules, world: &World| {
                let acting: BTreeSet<u8> = rules
                    .majorities()
                    .iter()
                    .filter_map(|set| rules.acting_group(world, set))
                    .map(|memory| memory.generation)
                    .collect();
                acting.len() <= 1
            }),
            Property::sometimes("decides after memory was lost", |_, world: &World| {
                world.next_id > world.voters.len() as u8 && world.decided.iter().any(|entry| entry.number > 1)
            }),
            Property::sometimes("a second generation decides", |_, world: &World| {
                world.decided.iter().any(|entry| entry.generation == 2)
            }),
        ]
    }
}

fn check(rules: Rules, depth: usize) -> (usize, Vec<&'static str>) {
    let checker = rules.checker().target_max_depth(depth).threads(2).spawn_bfs().join();
    let always = ["one decision for each number", "nobody goes back", "one group acts"];
    let broken = checker.discoveries().into_keys().filter(|name| always.contains(name)).collect();
    (checker.unique_state_count(), broken)
}

#[test]
fn three_voters_with_crashes_and_partitions_keep_the_rules() {
    let (states, broken) = check(Rules::correct(3, 4, 2), 22);
    println!("{states} states, depth 22");
    assert!(broken.is_empty(), "{broken:?}");
    assert!(states > 10_000, "{states}");
}

#[test]
fn five_voters_keep_the_rules() {
    let (states, broken) = check(Rules::correct(5, 2, 2), 12);
    println!("{states} states, depth 12");
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn what_the_rules_allow_is_reached() {
    let checker = Rules::correct(3, 3, 2).checker().target_max_depth(14).threads(2).spawn_bfs();
    let checker = checker.join();
    for name in ["decides after memory was lost", "a second generation decides"] {
        assert!(checker.discovery(name).is_some(), "{name}");
    }
}

/// Each injected fault is found.
#[test]
fn a_missing_rule_is_found() {
    let keeps = Rules { keeps_id: true, ..Rules::correct(3, 3, 3) };
    assert!(!check(keeps, 12).1.is_empty(), "a process without memory that votes as if it had one");
    let founds = Rules { founds_with_majority: true, ..Rules::correct(3, 4, 2) };
    assert!(!check(founds, 22).1.is_empty(), "a founding by a majority");
    let older = Rules { accepts_older: true, ..Rules::correct(3, 1, 2) };
    assert_eq!(check(older, 10).1, ["nobody goes back"]);
}

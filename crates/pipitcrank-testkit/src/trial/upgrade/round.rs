//! Rounds of the upgrade trial: what goes wrong in each, and their order.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

/// Upgrades by how they ended, as the program's counters have them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct UpgradeCounts {
    /// The new process took over.
    pub done: u64,
    /// The old process went on.
    pub undone: u64,
}

impl std::ops::Add for UpgradeCounts {
    type Output = UpgradeCounts;

    fn add(self, other: UpgradeCounts) -> UpgradeCounts {
        UpgradeCounts { done: self.done + other.done, undone: self.undone + other.undone }
    }
}

/// What happens in one round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Round {
    /// Nothing goes wrong.
    Plain,
    /// The new process is killed so many milliseconds into its trial.
    NewCrashes(u64),
    /// The new process is stopped in its trial.
    NewHangs,
    /// The program's file is missing.
    NoProgram,
    /// The program's file is not executable.
    NotExecutable,
    /// The program does nothing.
    HangsBeforeReady,
    /// The program exits at once.
    CrashesBeforeReady,
    /// The node configuration has a value of the wrong type.
    FaultyNodeConfig,
    /// A program that writes what no worker writes.
    BadOutput,
    /// A second upgrade is requested during the first.
    RequestedTwice,
    /// The node configuration is reloaded during the upgrade.
    Reloaded,
    /// A replica drains the moment before.
    Drained,
    /// The old process is killed in the trial: what it held is lost with it, and is counted apart. Idle connections are
    /// held there then, so that the kill closes some each time.
    OldKilled,
}

impl Round {
    /// Upgrades that come about in the round, and that do not.
    pub(super) fn expected(self) -> UpgradeCounts {
        let (done, undone) = match self {
            Round::Plain | Round::Reloaded | Round::Drained | Round::OldKilled => (1, 0),
            Round::RequestedTwice => (1, 1),
            _ => (0, 1),
        };
        UpgradeCounts { done, undone }
    }
}

/// The spelling that `--only` takes and that messages print.
impl std::fmt::Display for Round {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Round::Plain => f.write_str("Plain"),
            Round::NewCrashes(after_ms) => write!(f, "NewCrashes({after_ms})"),
            Round::NewHangs => f.write_str("NewHangs"),
            Round::NoProgram => f.write_str("NoProgram"),
            Round::NotExecutable => f.write_str("NotExecutable"),
            Round::HangsBeforeReady => f.write_str("HangsBeforeReady"),
            Round::CrashesBeforeReady => f.write_str("CrashesBeforeReady"),
            Round::FaultyNodeConfig => f.write_str("FaultyCharter"),
            Round::BadOutput => f.write_str("Noise"),
            Round::RequestedTwice => f.write_str("AskedTwice"),
            Round::Reloaded => f.write_str("Reloaded"),
            Round::Drained => f.write_str("Drained"),
            Round::OldKilled => f.write_str("OldKilled"),
        }
    }
}

/// All kinds but `OldKilled`, which loses what the old process held.
pub(super) const KINDS: [Round; 12] = [
    Round::Plain,
    Round::NewCrashes(0),
    Round::NewHangs,
    Round::NoProgram,
    Round::NotExecutable,
    Round::HangsBeforeReady,
    Round::CrashesBeforeReady,
    Round::FaultyNodeConfig,
    Round::BadOutput,
    Round::RequestedTwice,
    Round::Reloaded,
    Round::Drained,
];

/// Each kind comes up as rounds go on; the order is the seed's.
pub(super) fn script(rng: &mut Pcg64, rounds: u32) -> Vec<Round> {
    let mut kinds = KINDS;
    let mut script = Vec::new();
    while script.len() < rounds as usize {
        kinds.shuffle(rng);
        // Every second one is plain: what goes wrong happens on a chain of upgrades that did not.
        script.extend(kinds.iter().flat_map(|k| [*k, Round::Plain]));
    }
    script.truncate(rounds as usize);
    for round in &mut script {
        if *round == Round::NewCrashes(0) {
            *round = Round::NewCrashes(rng.random_range(1..500));
        }
    }
    script
}

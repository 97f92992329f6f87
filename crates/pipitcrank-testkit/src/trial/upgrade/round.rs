//! Rounds of the upgrade trial: the fault of each round, and the order of rounds.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

/// Number of upgrades by outcome, as in the program's counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct UpgradeCounts {
    /// Upgrades in which the new process took over.
    pub done: u64,
    /// Upgrades after which the old process continued.
    pub undone: u64,
}

impl std::ops::Add for UpgradeCounts {
    type Output = UpgradeCounts;

    fn add(self, other: UpgradeCounts) -> UpgradeCounts {
        UpgradeCounts { done: self.done + other.done, undone: self.undone + other.undone }
    }
}

/// Kind of a round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Round {
    /// The upgrade has no fault.
    Plain,
    /// The new process is killed the given number of milliseconds into its trial period.
    NewCrashes(u64),
    /// The new process is stopped by SIGSTOP in its trial period.
    NewHangs,
    /// The program's file is missing.
    NoProgram,
    /// The program's file is not executable.
    NotExecutable,
    /// The new program hangs before it is ready.
    HangsBeforeReady,
    /// The new program exits at once.
    CrashesBeforeReady,
    /// The node configuration has a value of the wrong type.
    FaultyNodeConfig,
    /// The new program writes random bytes to the socket of the supervisor.
    BadOutput,
    /// A second upgrade is requested during the first.
    RequestedTwice,
    /// The node configuration is reloaded during the upgrade.
    Reloaded,
    /// A replica begins to drain just before the upgrade.
    Drained,
    /// The old process is killed during the trial period. Its queries and connections are lost and are counted
    /// separately. The round opens idle connections first, so that the kill always closes some.
    OldKilled,
}

impl Round {
    /// Expected changes of the upgrade counters in the round.
    pub(super) fn expected(self) -> UpgradeCounts {
        let (done, undone) = match self {
            Round::Plain | Round::Reloaded | Round::Drained | Round::OldKilled => (1, 0),
            Round::RequestedTwice => (1, 1),
            _ => (0, 1),
        };
        UpgradeCounts { done, undone }
    }
}

/// Formats the name used by `--only` and in messages.
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

/// All kinds except `OldKilled`, which loses queries of the old process.
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

/// Builds a script of the given number of rounds that repeats all kinds in random order.
pub(super) fn script(rng: &mut Pcg64, rounds: u32) -> Vec<Round> {
    let mut kinds = KINDS;
    let mut script = Vec::new();
    while script.len() < rounds as usize {
        kinds.shuffle(rng);
        // A plain round follows each kind, so that faults also occur in processes that have already been upgraded.
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

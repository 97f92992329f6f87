//! Cases of the return trial.

/// A case of the return trial: which members fail, and what state they restart from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// All members are killed; they have no stores.
    NoStores,
    /// All members but one are killed; they have no stores.
    OneSurvivor,
    /// All members are killed; each restarts with its store.
    Stores,
    /// Nine of the twelve members are killed; each restarts with its store.
    ThreeSurvivors,
    /// All members are killed; half of them restart with a store from before the last decision.
    StaleStores,
    /// All members are killed, and the stores of all voters are deleted.
    LostVoterStores,
    /// All members are killed, and half of the stores are truncated.
    TruncatedStores,
    /// All members are killed, and killed again one second after their restart.
    KilledTwice,
    /// Eight members are stopped by SIGSTOP for six seconds.
    Stopped,
    /// All members are killed while a zone is lost; the zone is restored after their restart.
    Failover,
    /// One member is killed 0.8 s after each of its starts.
    CrashLoop,
    /// Each member in turn is shut down gracefully and restarted.
    RollingRestart,
    /// All members are killed, the stores of all voters are deleted, and one voter does not restart, so that an
    /// operator has to start the decisions anew by the `zones begin` command.
    Begin,
}

/// All cases with their names in `--only`, figures and messages. Every run includes the first `FIXED_CASES`, which
/// cover restarts with and without stores.
pub const CASES: [(Case, &str); 13] = [
    (Case::NoStores, "Nothing"),
    (Case::OneSurvivor, "Survivors"),
    (Case::Stores, "Stores"),
    (Case::ThreeSurvivors, "Both"),
    (Case::StaleStores, "Old"),
    (Case::LostVoterStores, "Lost"),
    (Case::TruncatedStores, "Torn"),
    (Case::KilledTwice, "Twice"),
    (Case::Stopped, "Stopped"),
    (Case::Failover, "Failover"),
    (Case::CrashLoop, "Crasher"),
    (Case::RollingRestart, "Rolling"),
    (Case::Begin, "Begin"),
];

impl Case {
    /// The name of the case in `--only`, figures and messages.
    pub fn name(self) -> &'static str {
        CASES.iter().find(|(case, _)| *case == self).map_or("", |(_, name)| name)
    }

    /// Whether the members have stores.
    pub(super) fn keeps_stores(self) -> bool {
        !matches!(self, Case::NoStores | Case::OneSurvivor)
    }
}

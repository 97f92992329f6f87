//! Cases of the return trial: what members restart from, and what fails beside it.

/// What members restart from, and what fails beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// All die, nothing is kept.
    NoStores,
    /// All but one die, nothing is kept.
    OneSurvivor,
    /// All die, each has its store.
    Stores,
    /// Nine die, each has its store.
    ThreeSurvivors,
    /// All die, and half restart on a store of before the last decision.
    StaleStores,
    /// All die, and the voters' stores are gone.
    LostVoterStores,
    /// All die, and half of the stores are truncated.
    TruncatedStores,
    /// All die, and die again a second after their restart.
    KilledTwice,
    /// Eight are stopped for six seconds.
    Stopped,
    /// All die while a zone is lost, which returns later.
    Failover,
    /// One member dies 0.8 s after each of its starts.
    CrashLoop,
    /// Each is shut down gracefully and started again, one after the other.
    RollingRestart,
    /// All die, the voters' stores are gone, and one voter stays away: begun anew by an operator's command.
    Begin,
}

/// All cases with the names that `--only` takes and that figures and messages print; the four kinds of memory first.
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
    /// The name that `--only` takes and that figures and messages print.
    pub fn name(self) -> &'static str {
        CASES.iter().find(|(case, _)| *case == self).map_or("", |(_, name)| name)
    }

    /// Whether members have stores.
    pub(super) fn keeps_stores(self) -> bool {
        !matches!(self, Case::NoStores | Case::OneSurvivor)
    }
}

value_type! {
    /// What is known of the capacity of a group.
    #[derive(Copy, Eq, Hash)]
    pub enum PacePhase {
        /// No request has shown yet that the group responds in time.
        Probing,
        /// The group responds; its limit follows its first events.
        Ramping,
        /// The group is not bounded.
        Steady,
    }
}

impl PacePhase {
    /// All phases.
    pub const ALL: [Self; 3] = [Self::Probing, Self::Ramping, Self::Steady];

    /// Label of the phase in log lines and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Probing => "probing",
            Self::Ramping => "ramping",
            Self::Steady => "steady",
        }
    }
}

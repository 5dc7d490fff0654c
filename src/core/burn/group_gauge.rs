use std::collections::BTreeMap;

value_type! {
    /// What a lease holder sees now of missing groups and unused accelerators.
    ///
    /// The ledger integrates a gauge until the next one, for at most
    /// [`super::MinuteLedger::GAUGE_LIFETIME`].
    #[derive(Default, Eq)]
    pub struct GroupGauge {
        /// Wanted groups that do not serve, by service.
        pub missing_groups: BTreeMap<String, u32>,
        /// Healthy accelerators in no serving group.
        pub stranded_accelerators: u32,
    }
}

use std::collections::BTreeMap;

value_type! {
    /// Missing groups and unused accelerators of a failure domain, as its lease holder counts them
    /// now.
    ///
    /// The ledger integrates a gauge until the next one, for at most
    /// [`super::MinuteLedger::GAUGE_LIFETIME`].
    #[derive(Default, Eq)]
    pub struct GroupGauge {
        /// Number of serving groups by which a model service is below its `min_groups`, by service
        /// name.
        pub missing_groups: BTreeMap<String, u32>,
        /// Number of accelerators of instances with a recent report that are in no serving group.
        pub stranded_accelerators: u32,
    }
}

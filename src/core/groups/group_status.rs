use crate::wire::GroupState;

wire_type! {
    /// State of a group, for `/status`.
    pub struct GroupStatus {
        /// Identifier.
        pub id: String,
        /// Model service.
        pub service: String,
        /// State.
        pub state: GroupState,
        /// Epoch of its members.
        pub epoch: u64,
        /// Instances by rank.
        pub members: Vec<String>,
        /// True while a planned drain runs.
        pub draining: bool,
    }

    /// State of a service in the failure domain, for `/status`.
    pub struct ServiceStatus {
        /// Name.
        pub name: String,
        /// Serving groups, or responsive instances of a plain service.
        pub serving: u32,
        /// Groups wanted at least; 1 for a plain service.
        pub wanted: u32,
        /// Dependencies that are out, directly or through others.
        pub missing_dependencies: Vec<String>,
    }

    /// State of a group keeper, for `/status`.
    pub struct KeeperStatus {
        /// Failure domain.
        pub failure_domain: String,
        /// Term under which this process may give orders, if any.
        pub term: Option<u64>,
        /// True when the last platform call failed.
        pub platform_out: bool,
        /// Groups.
        pub groups: Vec<GroupStatus>,
        /// Services.
        pub services: Vec<ServiceStatus>,
    }
}

use crate::wire::GroupState;

wire_type! {
    /// State of a group, for `/status`.
    pub struct GroupStatus {
        /// Group identifier, `<failure domain>-<term>-<number>`.
        pub id: String,
        /// Name of the model service.
        pub service: String,
        /// State as this process sees it; only a serving group takes requests.
        pub state: GroupState,
        /// Epoch of the members; it grows with each change of members.
        pub epoch: u64,
        /// Names of the instances by rank.
        pub members: Vec<String>,
        /// True while the group takes no new requests because of a planned move or a leaving
        /// member.
        pub draining: bool,
    }

    /// State of a service in the failure domain, for `/status`.
    pub struct ServiceStatus {
        /// Name in the operator text, of a model service or a plain service.
        pub name: String,
        /// Serving groups, or responsive instances of a plain service.
        pub serving: u32,
        /// Least number of groups wanted. For a plain service 1, or 0 when it has no instance in
        /// this failure domain.
        pub wanted: u32,
        /// Names of the direct and indirect dependencies that are wanted here but do not serve.
        pub missing_dependencies: Vec<String>,
    }

    /// State of a group manager, for `/status`.
    pub struct ManagerStatus {
        /// Failure domain whose groups the process manages.
        pub failure_domain: String,
        /// Lease term under which this process may send orders; `None` without that right.
        pub term: Option<u64>,
        /// True when the last platform call failed.
        pub platform_out: bool,
        /// Groups that this process knows, also those that another controller published.
        pub groups: Vec<GroupStatus>,
        /// Model services, then plain services; empty before the first operator text.
        pub services: Vec<ServiceStatus>,
    }
}

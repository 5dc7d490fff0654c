use {
    crate::{
        conf::OperatorText,
        wire::{ControllerBeat, GroupEntry, GroupId, PeerHeartbeat, SuspectEntry, UsageEntry},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

value_type! {
    /// A committed operator text with its version.
    pub struct Configuration {
        /// Version of the row `config/current`; a process only moves up.
        pub version: u64,
        /// The checked text.
        pub text: OperatorText,
    }

    /// The newest heartbeat of a lease holder and when it arrived.
    pub struct ControllerSighting {
        /// The heartbeat with the highest term and sequence.
        pub beat: ControllerBeat,
        /// Monotonic time of arrival of the newest heartbeat.
        pub heard_at: Duration,
    }

    /// The newest heartbeat of a peer and when it arrived.
    pub struct PeerSighting {
        /// The heartbeat with the highest boot id and sequence.
        pub heartbeat: PeerHeartbeat,
        /// Monotonic time of arrival.
        pub heard_at: Duration,
    }

    /// Usage of one client account on one gateway.
    pub struct AccountUsage {
        /// What the gateway reported last.
        pub usage: UsageEntry,
        /// Monotonic time of arrival.
        pub heard_at: Duration,
    }

    /// Immutable snapshot of everything that a process has learned from the
    /// platform and from its peers.
    #[derive(Default)]
    pub struct ClusterView {
        /// The highest configuration adopted, if any.
        pub configuration: Option<Arc<Configuration>>,
        /// Why no configuration is in force; `None` once one is.
        pub config_problem: Option<String>,
        /// Newest entry of each replica group, all failure domains.
        pub groups: BTreeMap<GroupId, GroupEntry>,
        /// Lease holders by failure domain.
        pub controllers: BTreeMap<String, ControllerSighting>,
        /// Peers by process name.
        pub peers: BTreeMap<String, PeerSighting>,
        /// Usage by (gateway, client account).
        pub usage: BTreeMap<(String, String), AccountUsage>,
        /// Suspect requests by fingerprint.
        pub suspects: BTreeMap<u64, SuspectEntry>,
        /// Names of backend servers that the platform's instance list shows as leaving.
        pub leaving: Vec<String>,
    }
}

use {
    crate::{
        conf::OperatorText,
        wire::{ControllerHeartbeat, GroupEntry, GroupId, PeerHeartbeat, SuspectEntry, UsageEntry},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

value_type! {
    /// An operator text that was applied, with its version.
    pub struct Configuration {
        /// Version in the row `config/current`; a process never returns to a lower one.
        pub version: u64,
        /// The text, parsed and validated.
        pub text: OperatorText,
    }

    /// The newest heartbeat of a lease holder and the time of its arrival.
    pub struct ControllerRecord {
        /// The heartbeat with the highest term and sequence.
        pub heartbeat: ControllerHeartbeat,
        /// Monotonic time at which `heartbeat` arrived.
        pub received_at: Duration,
    }

    /// The newest heartbeat of a peer and the time at which the peer was last known to be alive.
    pub struct HeartbeatRecord {
        /// The newest heartbeat in the order of [`ClusterView::merge_heartbeat`].
        pub heartbeat: PeerHeartbeat,
        /// Monotonic arrival time of the heartbeat, or of a later compact one of the same boot.
        pub received_at: Duration,
    }

    /// Usage of one client account on one gateway.
    pub struct AccountUsage {
        /// The entry of the latest round that the gateway reported.
        pub usage: UsageEntry,
        /// Monotonic time at which `usage` arrived.
        pub received_at: Duration,
    }

    /// Everything that a process has learned from the platform and from its peers. Other parts of
    /// the process read it as an immutable snapshot.
    #[derive(Default)]
    pub struct ClusterView {
        /// The configuration in force, which is the highest version learned; `None` after a start.
        pub configuration: Option<Arc<Configuration>>,
        /// Why no configuration is in force; `None` once one is.
        pub config_problem: Option<String>,
        /// Newest entry of each replica group in all failure domains.
        pub groups: BTreeMap<GroupId, GroupEntry>,
        /// Lease holders by the failure domain whose lease they hold.
        pub controllers: BTreeMap<String, ControllerRecord>,
        /// Peers by process name, without this process.
        pub peers: BTreeMap<String, HeartbeatRecord>,
        /// Usage by (gateway, client account).
        pub usage: BTreeMap<(String, String), AccountUsage>,
        /// Requests suspected of crashing replica groups, by request fingerprint.
        pub suspects: BTreeMap<u64, SuspectEntry>,
        /// Names of backend servers that the platform's instance list shows as leaving.
        pub leaving: Vec<String>,
    }
}

use {
    crate::{
        conf::OperatorText,
        core::lease::LeaseEvent,
        wire::{FencingNumber, GroupEntry, InstanceReport, OrderRefusal, TableRow},
    },
    std::{sync::Arc, time::Duration},
};

value_type! {
    /// Answer of a backend server to an order.
    pub enum OrderAnswer {
        /// The server accepted the order; the report shows its state afterwards.
        Accepted(InstanceReport),
        /// The server refused the order, or the sender dropped it as expired; it has no effect.
        Refused(OrderRefusal),
        /// No usable answer arrived; the order may have taken effect or still do so.
        Unknown,
    }

    /// Input of the group manager.
    pub enum GroupEvent {
        /// Time has passed; expected every 100 ms.
        Tick,
        /// A newer operator text is in force.
        Configured(Arc<OperatorText>),
        /// Names of all instances that the platform lists as leaving; replaces the previous list.
        Leaving(Vec<String>),
        /// A member answered a poll.
        Reported {
            /// Monotonic time at which the poll was sent; the report may miss later changes.
            polled_at: Duration,
            /// State of the instance at some time after `polled_at`.
            report: InstanceReport,
        },
        /// A backend server answered an order.
        OrderAnswered {
            /// Name of the instance that the order was sent to.
            instance: String,
            /// Fencing number that the order carried.
            fencing: FencingNumber,
            /// Outcome; `Unknown` on a timeout or a connection error.
            answer: OrderAnswer,
        },
        /// Result of reading the lease row or of a commit.
        Lease(LeaseEvent),
        /// All rows under `member/` and under `group/<failure domain>/`.
        Rows {
            /// Rows under `member/`, of all failure domains.
            members: Vec<TableRow>,
            /// Rows under `group/<failure domain>/`.
            groups: Vec<TableRow>,
        },
        /// Reading the rows failed; the manager scans again later.
        ScanFailed,
        /// A newer heartbeat of the lease holder of this failure domain arrived.
        HolderHeartbeat,
        /// Entries of this failure domain that are new or changed in the group view.
        Seen(Vec<GroupEntry>),
    }
}

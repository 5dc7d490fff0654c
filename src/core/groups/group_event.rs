use {
    crate::{
        conf::OperatorText,
        core::lease::LeaseEvent,
        wire::{FencingNumber, GroupEntry, InstanceReport, OrderRefusal, TableRow},
    },
    std::{sync::Arc, time::Duration},
};

value_type! {
    /// Answer to an order.
    pub enum OrderAnswer {
        /// Accepted, with the state afterwards.
        Accepted(InstanceReport),
        /// Refused, not carried out.
        Refused(OrderRefusal),
        /// No answer; the order may be carried out.
        Unknown,
    }

    /// Input of the group keeper.
    pub enum GroupEvent {
        /// Time passed; expected every 100 ms.
        Tick,
        /// A newer operator text is in force.
        Configured(Arc<OperatorText>),
        /// Instances that the platform lists as leaving.
        Leaving(Vec<String>),
        /// A member answered a poll.
        Reported {
            /// When the poll was sent; an answer says nothing about later times.
            polled_at: Duration,
            /// The answer.
            report: InstanceReport,
        },
        /// A backend server answered an order.
        OrderAnswered {
            /// Name of the instance.
            instance: String,
            /// Number of the order.
            fencing: FencingNumber,
            /// The answer.
            answer: OrderAnswer,
        },
        /// An answer of the lease row or of a commit.
        Lease(LeaseEvent),
        /// All rows under `member/` and under `group/<failure domain>/`.
        Rows {
            /// Rows of instances.
            members: Vec<TableRow>,
            /// Rows of groups.
            groups: Vec<TableRow>,
        },
        /// The scan of the rows failed.
        RowsFailed,
        /// A heartbeat of another lease holder of this failure domain arrived.
        HolderHeard,
        /// Entries of this failure domain that another controller published.
        Seen(Vec<GroupEntry>),
    }
}

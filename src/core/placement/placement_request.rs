use {
    super::{AttemptKey, TicketKey},
    std::{net::SocketAddr, time::Duration},
};

value_type! {
    /// Why an answer will be late whatever is done. Such requests take the
    /// room that those in time leave, in this order.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Lateness {
        /// It can still be in time.
        InTime,
        /// A broken stream goes on.
        Resumed,
    }

    /// A request that needs a replica group.
    pub struct PlacementAsk {
        /// Service of the route.
        pub service: String,
        /// Model.
        pub model: String,
        /// Route, whose requests are compared by size.
        pub route: String,
        /// Prompt tokens, with the part of the answer that is already delivered.
        pub prompt_tokens: u32,
        /// Expected tokens of the answer.
        pub answer_tokens: u32,
        /// Rank; 0 is the most urgent.
        pub priority: u32,
        /// Time to the first event that counts as in time.
        pub objective: Duration,
        /// Time until which the first event is in time.
        pub in_time_until: Duration,
        /// Time until which a request that is late in any case waits for room.
        pub wait_until: Duration,
        /// Time after which nobody waits for the answer.
        pub give_up_at: Duration,
        /// Why the answer will be late in any case, though its caller waits.
        pub lateness: Lateness,
        /// Group and epoch that broke the stream.
        pub avoid: Option<(String, u64)>,
    }

    /// Where a request runs.
    pub struct Placement {
        /// Key of the attempt, for its events.
        pub attempt: AttemptKey,
        /// Group.
        pub group: String,
        /// Epoch of the group.
        pub epoch: u64,
        /// Identifier of the head.
        pub head: String,
        /// Address of the head.
        pub address: SocketAddr,
        /// Predicted time to the first event.
        pub predicted: Duration,
        /// Requests thought to run there.
        pub running: u32,
        /// Age of the oldest peer figure used.
        pub peer_age: Duration,
    }

    /// Why a request is refused before it was sent.
    #[derive(Copy, Eq)]
    pub enum RefusalCause {
        /// No group serves the model.
        NoGroup,
        /// No group can send the first event in time.
        TooLate,
        /// Too many requests wait.
        QueueFull,
    }

    /// Answer to an ask.
    pub enum PlacementVerdict {
        /// Send it there.
        Place(Placement),
        /// Wait for a later verdict under this ticket.
        Wait(TicketKey),
        /// Turn it away.
        Refuse {
            /// Why.
            cause: RefusalCause,
            /// When room is expected.
            retry_after: Duration,
        },
    }
}

impl RefusalCause {
    /// Name in logs and counters.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoGroup => "no_group",
            Self::TooLate => "too_late",
            Self::QueueFull => "queue_full",
        }
    }
}

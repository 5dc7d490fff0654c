use {
    super::{AttemptKey, TicketKey},
    crate::core::fairness::AccountTag,
    smallvec::SmallVec,
    std::{net::SocketAddr, time::Duration},
};

value_type! {
    /// Whether a request can still meet its latency objective. Queued requests are placed in the
    /// order of the variants, and later variants may fill a smaller share of a group's slots.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum PlacementClass {
        /// The first event can still arrive within the objective of the route.
        InTime,
        /// The first event misses the objective, but the caller still waits for it.
        Late,
        /// The request resumes a broken stream at another group. Its caller still waits, so it is
        /// not refused for being late.
        Resumed,
    }

    /// A request that needs a replica group.
    pub struct PlacementRequest {
        /// Service that the route chose for the request.
        pub service: String,
        /// Name of the requested model.
        pub model: String,
        /// Name of the route; prompt sizes are tracked per route.
        pub route: String,
        /// Tokens to prefill: those of the prompt and, for a resumed stream, of the part of the
        /// answer that is already delivered.
        pub prompt_tokens: u32,
        /// Expected length of the answer in tokens.
        pub answer_tokens: u32,
        /// Priority of the account or, without one, of the route; 0 is the most urgent.
        pub priority: u32,
        /// Account of the caller.
        pub account: AccountTag,
        /// Longest time to the first event by the latency objective of the route.
        pub objective: Duration,
        /// Time at which the objective ends: arrival of the request plus `objective`.
        pub in_time_until: Duration,
        /// Time until which a [`PlacementClass::Resumed`] request waits for a free slot, and by which
        /// a [`PlacementClass::Late`] one must get its first event.
        pub wait_until: Duration,
        /// Time after which the caller no longer waits for the answer.
        pub give_up_at: Duration,
        /// Whether the request can still meet its objective.
        pub placement_class: PlacementClass,
        /// Group and epoch at which the previous attempt failed; the request is not placed there
        /// again. None while no attempt has failed.
        pub avoid: Option<(String, u64)>,
        /// Heads of the groups at which the request may be placed; empty when all may take it. With
        /// so few groups left, suspect ones are used, too.
        pub only_heads: SmallVec<[String; 2]>,
    }

    /// The replica group at which a request was placed.
    pub struct Placement {
        /// Key under which the events and the end of the attempt are reported to the scheduler.
        pub attempt: AttemptKey,
        /// Name of the group.
        pub group: String,
        /// Epoch of the group, by which a later failure is attributed to this set of members.
        pub epoch: u64,
        /// Identifier of the head, the member that accepts requests.
        pub head: String,
        /// Start time of the head in Unix milliseconds, as in its entry.
        pub head_born_ms: u64,
        /// Address of the head, to which the request is sent.
        pub address: SocketAddr,
        /// Predicted time from sending the request to its first event.
        pub predicted: Duration,
        /// Requests of all gateways that ran at the group by the load known at the decision,
        /// without this one.
        pub running: u32,
        /// Age of the oldest gateway load report in use; zero without any.
        pub peer_age: Duration,
    }

    /// Reason for refusing a request before it is sent to a group.
    #[derive(Copy, Eq)]
    pub enum RefusalCause {
        /// No open group serves the model.
        NoGroup,
        /// No group can send the first event within the objective, or the caller no longer waits.
        TooLate,
        /// The wait queue of the gateway is full.
        QueueFull,
        /// All groups that serve the model asked for a pause.
        Paused,
        /// The heads of all groups that serve the model are cold, and the next permit of this
        /// gateway is too late.
        Cold,
        /// All groups that serve the model are in drained failure domains.
        Drained,
        /// The capacity is short, and the account has used its share of it.
        AccountShare,
    }

    /// What the scheduler decided about a request.
    pub enum PlacementDecision {
        /// Send the request to this group.
        Place(Placement),
        /// The request is queued; a later tick decides about it under this key.
        Wait(TicketKey),
        /// Reject the request without sending it.
        Refuse {
            /// Reason, as reported to the caller.
            cause: RefusalCause,
            /// Time after which the caller is told to retry.
            retry_after: Duration,
        },
    }
}

impl PlacementRequest {
    /// True when the request may be placed at the group of this head.
    #[must_use]
    pub fn may_run_at(&self, head: &str) -> bool {
        self.only_heads.is_empty() || self.only_heads.iter().any(|only| only == head)
    }
}

impl RefusalCause {
    /// Label of the cause in log lines, metrics and answers to callers.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoGroup => "no_group",
            Self::TooLate => "too_late",
            Self::QueueFull => "queue_full",
            Self::Paused => "paused",
            Self::Cold => "cold",
            Self::Drained => "drained",
            Self::AccountShare => "account_share",
        }
    }
}

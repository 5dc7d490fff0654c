use {
    super::lease_calls::LeaseReply,
    crate::core::formation::{OrderOutcome, ProbeOutcome},
    std::time::Duration,
};

/// Messages to the control actor.
#[derive(Debug)]
pub enum ControlMessage {
    /// The tick interval passed, the fleet changed or a group became suspect.
    Tick,
    /// A call to the store about the lease of the named failure domain has ended.
    Lease(String, LeaseReply),
    /// An engine refused an order under the lease of the named failure domain, since it knows a
    /// later term or epoch.
    Outranked(String),
    /// An order to an engine has ended.
    OrderFinished {
        /// Failure domain whose manager gave the order.
        domain: String,
        /// Service whose manager gave the order.
        service: String,
        /// Backend server that received the order.
        server: String,
        /// Number that the manager gave the order.
        number: u64,
        /// What the engine answered, or how the exchange failed.
        outcome: OrderOutcome,
    },
    /// A query for the state of an engine has ended.
    ProbeFinished {
        /// Failure domain whose manager sent the query.
        domain: String,
        /// Service whose manager sent the query.
        service: String,
        /// Backend server that was queried.
        server: String,
        /// State of the engine, or why there is none.
        outcome: ProbeOutcome,
    },
    /// An engine answered an order or a query by asking for a pause.
    CallsDeferred {
        /// Failure domain whose manager made the call.
        domain: String,
        /// Service whose manager made the call.
        service: String,
        /// Backend server that asked for the pause.
        server: String,
        /// Length of the pause from now.
        pause: Duration,
    },
    /// A gateway suspects a replica group, given by its identifier and epoch.
    GroupSuspected(String, u64),
}

use {
    std::time::Duration,
    toucanring::{
        core::groups::GroupEvent,
        wire::{CommitRequest, ControllerHeartbeat, GroupEntry, MemberOrder},
    },
};

/// Fault of a simulated history. The log shows it with its variant name. Instances and controllers
/// are given by index.
#[derive(Debug, Clone, PartialEq)]
pub enum WorldFault {
    /// An instance stops, and restarts after this time without membership and shard.
    Die(usize, Duration),
    /// An instance neither answers nor loads for this time.
    Pause(usize, Duration),
    /// An instance restarts at once and reports the membership and shard that it had before.
    Impersonate(usize),
    /// An instance reports slow decode steps for this time.
    Straggle(usize, Duration),
    /// An instance announces that it leaves, and restarts after this time without membership and
    /// shard.
    Leave(usize, Duration),
    /// All instances of the named fabric domain stop, and restart after this time.
    FabricDown(String, Duration),
    /// Every call to the platform fails for this time.
    PlatformOut(Duration),
    /// Commits take effect, but their answers are lost, for this time.
    LoseAnswers(Duration),
    /// Commits called during this time take effect after their caller has given up.
    SlowCommits(Duration),
    /// A controller handles no event for this time, and catches up on them afterwards.
    PauseNode(usize, Duration),
    /// A controller's calls to the platform fail for this time.
    CutNode(usize, Duration),
    /// A controller stops for good.
    KillNode(usize),
    /// Orders that a controller sends during the second time are delayed by the first.
    SlowOrders(usize, Duration, Duration),
}

/// Event at a moment of virtual time. Controllers (nodes) and instances are given by index.
#[derive(Debug, Clone, PartialEq)]
pub enum WorldEvent {
    /// A controller ticks.
    Tick(usize),
    /// An event reaches a controller.
    Deliver(usize, GroupEvent),
    /// A poll reaches an instance.
    Poll {
        /// Controller that polls.
        node: usize,
        /// Instance that is polled.
        instance: usize,
        /// Virtual time at which the poll was sent.
        sent: Duration,
    },
    /// An instance reads an order; a paused instance reads it when it resumes.
    Order {
        /// Controller that sent the order.
        node: usize,
        /// Instance that receives it.
        instance: usize,
        /// Virtual time of its arrival at the server, from which its waiting time counts.
        arrived: Duration,
        /// Order with its fencing number and deadline.
        order: MemberOrder,
    },
    /// A commit takes effect although its caller has given up.
    LateCommit(CommitRequest),
    /// Group entries published by a controller reach the gateways and the other controllers.
    Publish(usize, Vec<GroupEntry>),
    /// The heartbeat of a lease holder reaches the gateways and the other controllers.
    Heartbeat(usize, ControllerHeartbeat),
    /// A fault begins.
    Fault(WorldFault),
    /// An instance that stopped or leaves restarts.
    Restart(usize),
    /// A straggler has its usual step time again.
    Recover(usize),
}

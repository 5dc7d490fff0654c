use {
    std::time::Duration,
    toucanring::{
        core::groups::GroupEvent,
        wire::{CommitRequest, ControllerBeat, GroupEntry, MemberOrder},
    },
};

/// A fault at a moment of a history.
#[derive(Debug, Clone, PartialEq)]
pub enum WorldFault {
    /// An instance stops and starts anew after a time.
    Die(usize, Duration),
    /// An instance does nothing for a time.
    Pause(usize, Duration),
    /// An instance restarts at once and claims to be what it was.
    Impersonate(usize),
    /// An instance is slow for a time.
    Straggle(usize, Duration),
    /// An instance announces that it leaves, and is replaced after a time.
    Leave(usize, Duration),
    /// All instances of a fabric domain stop for a time.
    FabricDown(String, Duration),
    /// The platform answers nothing for a time.
    PlatformOut(Duration),
    /// Answers of commits are lost for a time.
    LoseAnswers(Duration),
    /// Commits take effect late for a time.
    SlowCommits(Duration),
    /// A controller does nothing for a time.
    PauseNode(usize, Duration),
    /// A controller cannot reach the platform for a time.
    CutNode(usize, Duration),
    /// A controller stops for good.
    KillNode(usize),
    /// Orders of a controller are under way for the first time during the second.
    SlowOrders(usize, Duration, Duration),
}

/// What happens at a moment of virtual time. Numbers are indices of nodes and instances.
#[derive(Debug, Clone, PartialEq)]
pub enum WorldEvent {
    /// A controller ticks.
    Tick(usize),
    /// An event reaches a controller.
    Deliver(usize, GroupEvent),
    /// A poll reaches an instance.
    Poll {
        /// Controller.
        node: usize,
        /// Instance.
        instance: usize,
        /// When it was sent.
        sent: Duration,
    },
    /// An order reaches an instance.
    Order {
        /// Controller.
        node: usize,
        /// Instance.
        instance: usize,
        /// When it arrived; it may wait while the instance is paused.
        arrived: Duration,
        /// The order.
        order: MemberOrder,
    },
    /// A commit takes effect although its caller has given up.
    LateCommit(CommitRequest),
    /// Entries reach gateways and the other controllers.
    Publish(usize, Vec<GroupEntry>),
    /// A heartbeat reaches gateways and the other controllers.
    Beat(usize, ControllerBeat),
    /// A fault begins.
    Fault(WorldFault),
    /// An instance that had stopped starts anew.
    Restart(usize),
    /// A straggler recovers.
    Recover(usize),
}

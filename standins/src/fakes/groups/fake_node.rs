use {std::time::Duration, toucanring::core::groups::GroupManager};

/// Controller process in memory.
#[derive(Debug)]
pub struct FakeNode {
    /// Process name, `controller-` with the failure domain and a number.
    pub name: String,
    /// Failure domain whose groups it manages when it holds the lease.
    pub failure_domain: String,
    /// Group manager under test.
    pub manager: GroupManager,
    /// Virtual time before which it handles no event; events wait until then.
    pub paused_until: Duration,
    /// Virtual time before which its calls to the platform fail.
    pub partitioned_until: Duration,
    /// Additional delay of its orders, and the virtual time before which it applies.
    pub order_delay: (Duration, Duration),
    /// True when the process has stopped for good: its events are dropped.
    pub stopped: bool,
}

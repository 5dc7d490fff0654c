use {std::time::Duration, toucanring::core::groups::GroupManager};

/// A controller process in memory.
#[derive(Debug)]
pub struct FakeNode {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Decisions under test.
    pub keeper: GroupManager,
    /// Handles nothing before this time.
    pub paused_until: Duration,
    /// Its calls to the platform fail before this time.
    pub cut_until: Duration,
    /// Its orders are under way this long, before this time.
    pub slow_orders: (Duration, Duration),
    /// Never handles anything again.
    pub dead: bool,
}

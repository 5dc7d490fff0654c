use {
    super::{ColdRule, ServerRank},
    std::time::Duration,
};

/// Largest difference between the clocks of a server and of this node. A server that started longer
/// ago than this and its cold time is not cold from its start.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// Time after a statement within which a response does not shorten it. The response may be from
/// before the statement.
const RESPONSE_DELAY: Duration = Duration::from_millis(250);

value_type! {
    /// What showed that a server is cold.
    #[derive(Copy, Eq)]
    pub enum ColdSource {
        /// Its entry states the remaining time.
        Entry,
        /// The head of a response states the remaining time.
        Response,
        /// Another node says in its beacon that it got such a response.
        Peer,
        /// It has a new start time, and its entry states nothing.
        Start,
        /// The drain of its failure domain has ended.
        Drain,
    }

    /// What the entry of a server says that matters here.
    pub struct EntryFacts {
        /// Identifier of the server.
        pub server: String,
        /// Service that the server runs.
        pub service: String,
        /// Failure domain of the server.
        pub failure_domain: String,
        /// Start time of the server in Unix milliseconds; 0 when the entry does not have it.
        pub born_ms: u64,
        /// Time for which the server stays cold; none when the entry does not state it.
        pub cold_left: Option<Duration>,
        /// Time since the start by the clock of this node; none when it is not known.
        pub age: Option<Duration>,
    }

    /// A server that became cold, for the log.
    pub struct ColdNotice {
        /// Identifier of the server.
        pub server: String,
        /// What showed it.
        pub source: ColdSource,
        /// Time for which the server stays cold from now on.
        pub left: Duration,
    }

    /// Until when a server is cold.
    #[derive(Copy)]
    enum ColdClaim {
        /// As an entry or a response states.
        Until(Duration),
        /// For the cold time of its service from then on.
        From(Duration),
    }

    /// One server, cold or not, and the permits of this node for it.
    pub(super) struct ColdServer {
        pub service: String,
        pub failure_domain: String,
        born_ms: u64,
        claim: ColdClaim,
        claimed_at: Duration,
        /// Time at which the server became cold as far as this node knows; the permits begin then.
        pub cold_since: Duration,
        /// Earliest time of the next permit by this node's last request to the server; zero before
        /// the first.
        pub next_due: Duration,
        /// Time at which its entry was dropped; none while it has one.
        pub gone_at: Option<Duration>,
        /// Revision of the node roster and place of this node in the order of the server.
        pub rank: Option<(u64, ServerRank)>,
    }
}

impl ColdSource {
    /// Name of the source in log lines.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Response => "response",
            Self::Peer => "peer",
            Self::Start => "start",
            Self::Drain => "drain",
        }
    }
}

impl ColdServer {
    /// Creates the record of a server from its first entry.
    pub fn new(now: Duration, facts: &EntryFacts) -> Self {
        Self {
            service: facts.service.clone(),
            failure_domain: facts.failure_domain.clone(),
            born_ms: facts.born_ms,
            claim: first_claim(now, facts),
            claimed_at: now,
            cold_since: now,
            next_due: Duration::ZERO,
            gone_at: None,
            rank: None,
        }
    }

    /// True when the entry is of another start of the server.
    pub const fn is_restart(&self, facts: &EntryFacts) -> bool {
        self.born_ms != facts.born_ms
    }

    /// Takes a later entry; one that states nothing about the same start changes nothing.
    pub fn take_entry(&mut self, now: Duration, facts: &EntryFacts) {
        self.service.clone_from(&facts.service);
        self.failure_domain.clone_from(&facts.failure_domain);
        self.gone_at = None;
        if self.is_restart(facts) {
            self.born_ms = facts.born_ms;
            self.set_claim(now, first_claim(now, facts));
        } else if let Some(left) = facts.cold_left {
            self.set_claim(now, ColdClaim::Until(now + left));
        }
    }

    /// Takes the remaining time that a response of the start `born_ms` states; false when it is
    /// ignored.
    pub fn take_response(
        &mut self,
        now: Duration,
        born_ms: u64,
        left: Duration,
        rule: &ColdRule,
    ) -> bool {
        let is_recent = now < self.claimed_at + RESPONSE_DELAY;
        let is_shorter = now + left < self.cold_until(rule);
        if born_ms != self.born_ms || (is_recent && is_shorter) {
            return false;
        }
        self.set_claim(now, ColdClaim::Until(now + left));
        true
    }

    /// Counts the server as cold for the cold time of its service from now on.
    pub fn restart_cold_time(&mut self, now: Duration) {
        self.set_claim(now, ColdClaim::From(now));
    }

    fn set_claim(&mut self, now: Duration, claim: ColdClaim) {
        self.claim = claim;
        self.claimed_at = now;
    }

    /// Time until which the server is cold, as far as known.
    pub fn cold_until(&self, rule: &ColdRule) -> Duration {
        match self.claim {
            ColdClaim::Until(until) => until,
            ColdClaim::From(from) => from + rule.start,
        }
    }

    /// True when an entry or a response stated the remaining time.
    pub const fn is_stated(&self) -> bool {
        matches!(self.claim, ColdClaim::Until(_))
    }
}

/// The claim of a new start. Without a statement the server is cold from now on, or from the latest
/// time at which it can have started.
fn first_claim(now: Duration, facts: &EntryFacts) -> ColdClaim {
    if let Some(left) = facts.cold_left {
        return ColdClaim::Until(now + left);
    }
    let least_age = facts.age.unwrap_or_default().saturating_sub(MAX_CLOCK_SKEW);
    ColdClaim::From(now.saturating_sub(least_age))
}

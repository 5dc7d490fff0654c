use {
    super::{
        ColdBound, ColdNotice, ColdRule, ColdSource, EntryFacts, NodeRoster, NodeSighting,
        PermitPlan, SendRight, cold_server::ColdServer, permit_plan::MAX_LATENESS,
    },
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time for which a server without an entry is remembered: the entry may come back, and the last
/// request to the server still counts.
const GONE_MEMORY: Duration = Duration::from_mins(1);

/// Time for which beacons name a server that became cold by a response: each node of the failure
/// domain gets several of them, and most of the others one.
const ANNOUNCED_FOR: Duration = Duration::from_secs(1);

/// Most servers that a beacon names as cold. A failure domain that becomes cold as a whole shows it in
/// its entries.
const MAX_STATED: usize = 4;

value_type! {
    /// A server that became cold by a response to this node.
    struct StatedServer {
        server: String,
        born_ms: u64,
        heard_at: Duration,
        until: Duration,
    }

    /// Whether this node may send a request to a server now, as far as the server being cold matters.
    #[derive(Copy, Eq)]
    pub enum ColdPermit {
        /// The server is not cold, or tolerates any rate.
        Free,
        /// The server is cold, and this node has a permit.
        Due,
        /// The server is cold, and this node may send at this time at the earliest: at its next
        /// permit, or when the server is no longer cold.
        At(Duration),
    }

    /// Permits of this node since its start.
    #[derive(Copy, Default, Eq)]
    pub struct PermitCounts {
        /// Requests placed at cold servers.
        pub used: u64,
        /// Permits that passed before the next request came.
        pub lost: u64,
    }
}

/// Decides which cold servers this node may send to, and when. All times are given by the caller, as
/// durations since an arbitrary start.
#[derive(Debug)]
pub struct ColdLimiter {
    failure_domain: String,
    bound: ColdBound,
    /// Services whose servers tolerate a limited rate while they are cold.
    rules: HashMap<String, ColdRule>,
    servers: BTreeMap<String, ColdServer>,
    /// Time from which no server is cold any more by what is known; saves the look-ups of each
    /// request while all are warm.
    all_warm_at: Duration,
    /// Servers that said in a response to this node that they are cold, the newest last.
    stated: VecDeque<StatedServer>,
    roster: NodeRoster,
    /// Number of nodes and plan for it, by service.
    plans: HashMap<String, (usize, Option<PermitPlan>)>,
    counts: PermitCounts,
}

impl ColdLimiter {
    /// Creates the limiter of the node at `own` in `failure_domain`, which starts now.
    #[must_use]
    pub fn new(own: SocketAddr, failure_domain: &str, bound: ColdBound, now: Duration) -> Self {
        Self {
            failure_domain: failure_domain.to_owned(),
            bound,
            rules: HashMap::new(),
            servers: BTreeMap::new(),
            all_warm_at: Duration::ZERO,
            stated: VecDeque::new(),
            roster: NodeRoster::new(own, now),
            plans: HashMap::new(),
            counts: PermitCounts::default(),
        }
    }

    /// Sets the rules of all services. Those without a limit for cold servers are left out.
    pub fn set_rules(&mut self, rules: impl IntoIterator<Item = (String, ColdRule)>) {
        let limited = rules.into_iter().filter(|(_, rule)| rule.per_s > 0.0);
        self.rules = limited.collect();
        self.plans.clear();
        let ends = self.servers.values().filter_map(|server| {
            let rule = self.rules.get(&server.service)?;
            Some(server.cold_until(rule))
        });
        self.all_warm_at = ends.max().unwrap_or_default();
    }

    /// Takes an entry that was received now. Returns a notice when the server becomes cold by it.
    pub fn note_entry(&mut self, now: Duration, facts: &EntryFacts) -> Option<ColdNotice> {
        let source = match facts.cold_left {
            Some(_) => ColdSource::Entry,
            None => ColdSource::Start,
        };
        let was_cold = self.is_cold(now, &facts.server);
        if let Some(known) = self.servers.get_mut(&facts.server) {
            known.take_entry(now, facts);
        } else {
            let server = ColdServer::new(now, facts);
            self.servers.insert(facts.server.clone(), server);
        }
        self.after_claim(now, &facts.server, source, was_cold)
    }

    /// Takes the remaining cold time that a response states which was received now from the start
    /// `born_ms` of a server. Returns a notice when the server becomes cold by it.
    pub fn note_response(
        &mut self,
        now: Duration,
        server: &str,
        born_ms: u64,
        left: Duration,
    ) -> Option<ColdNotice> {
        let notice = self.note_stated(now, server, born_ms, left, ColdSource::Response);
        if notice.is_some() {
            if self.stated.len() >= MAX_STATED {
                self.stated.pop_front();
            }
            self.stated.push_back(StatedServer {
                server: server.to_owned(),
                born_ms,
                heard_at: now,
                until: now + left,
            });
        }
        notice
    }

    /// Takes the remaining cold time that a server has stated to another node in a response. A time
    /// that is not longer than known changes nothing. Returns a notice when the server becomes cold
    /// by it.
    pub fn note_peer(
        &mut self,
        now: Duration,
        server: &str,
        born_ms: u64,
        left: Duration,
    ) -> Option<ColdNotice> {
        let known_until = self.cold_until(now, server);
        if known_until.is_some_and(|until| now + left <= until) {
            return None;
        }
        self.note_stated(now, server, born_ms, left, ColdSource::Peer)
    }

    /// Servers that became cold by a response to this node within the last second, with their start
    /// times and remaining times, for the beacons: their entries may show it later.
    #[must_use]
    pub fn to_announce(&self, now: Duration) -> Vec<(String, u64, Duration)> {
        let mut named = Vec::new();
        for stated in self.stated.iter().rev() {
            let left = stated.until.saturating_sub(now);
            if now < stated.heard_at + ANNOUNCED_FOR && !left.is_zero() {
                named.push((stated.server.clone(), stated.born_ms, left));
            }
        }
        named
    }

    fn note_stated(
        &mut self,
        now: Duration,
        server: &str,
        born_ms: u64,
        left: Duration,
        source: ColdSource,
    ) -> Option<ColdNotice> {
        let was_cold = self.is_cold(now, server);
        let known = self.servers.get_mut(server)?;
        let rule = self.rules.get(&known.service).copied().unwrap_or_default();
        if !known.take_response(now, born_ms, left, &rule) {
            return None;
        }
        self.after_claim(now, server, source, was_cold)
    }

    /// Counts all servers of a failure domain as cold for the cold time of their service from now
    /// on, since its drain has ended. An entry or a response that arrives later decides instead.
    /// Returns the servers whose service has a limit.
    pub fn drain_ended(&mut self, now: Duration, failure_domain: &str) -> Vec<ColdNotice> {
        let mut notices = Vec::new();
        let ids: Vec<String> = self.servers.keys().cloned().collect();
        for id in ids {
            let was_cold = self.is_cold(now, &id);
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            if server.failure_domain != failure_domain {
                continue;
            }
            server.restart_cold_time(now);
            notices.extend(self.after_claim(now, &id, ColdSource::Drain, was_cold));
        }
        notices
    }

    /// Starts the permits of a server that has become cold.
    fn after_claim(
        &mut self,
        now: Duration,
        id: &str,
        source: ColdSource,
        was_cold: bool,
    ) -> Option<ColdNotice> {
        let server = self.servers.get(id)?;
        let rule = self.rules.get(&server.service)?;
        self.all_warm_at = self.all_warm_at.max(server.cold_until(rule));
        let until = self.cold_until(now, id)?;
        if was_cold {
            return None;
        }
        self.servers.get_mut(id)?.cold_since = now;
        Some(ColdNotice {
            server: id.to_owned(),
            source,
            left: until.saturating_sub(now),
        })
    }

    /// Records that the entry of a server was dropped.
    pub fn note_gone(&mut self, now: Duration, server: &str) {
        if let Some(known) = self.servers.get_mut(server) {
            known.gone_at = Some(now);
        }
    }

    /// Takes the last beacons of the other nodes of the own failure domain; see
    /// [`NodeRoster::update`].
    pub fn update_nodes(&mut self, now: Duration, heard: impl IntoIterator<Item = NodeSighting>) {
        self.roster.update(now, heard);
        self.servers.retain(|_, server| {
            let gone_at = server.gone_at;
            gone_at.is_none_or(|at| now < at + GONE_MEMORY)
        });
    }

    /// Number of nodes of the own failure domain that this node knows by itself, itself included.
    #[must_use]
    pub fn known_nodes(&self) -> usize {
        self.roster.known()
    }

    /// Time until which a server is cold; none when it is not, or when its service has no limit.
    #[must_use]
    pub fn cold_until(&self, now: Duration, server: &str) -> Option<Duration> {
        if now >= self.all_warm_at {
            return None;
        }
        let known = self.servers.get(server)?;
        let rule = self.rules.get(&known.service)?;
        let until = known.cold_until(rule);
        (now < until).then_some(until)
    }

    fn is_cold(&self, now: Duration, server: &str) -> bool {
        self.cold_until(now, server).is_some()
    }

    /// Remaining cold time that a server stated, as of now; none when it stated none.
    #[must_use]
    pub fn stated_left(&self, now: Duration, server: &str) -> Option<Duration> {
        let known = self.servers.get(server).filter(|known| known.is_stated())?;
        let until = known.cold_until(&ColdRule::default());
        Some(until.saturating_sub(now))
    }

    /// Whether this node may send a request to a server now.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::cold::{ColdBound, ColdLimiter, ColdPermit, ColdRule, EntryFacts},
    /// };
    ///
    /// let own = "10.0.0.1:7000".parse().unwrap();
    /// let mut limiter = ColdLimiter::new(own, "kochi", ColdBound::default(), Duration::ZERO);
    /// let rule = ColdRule { start: Duration::from_secs(3), per_s: 10.0 };
    /// limiter.set_rules([("model".to_owned(), rule)]);
    /// let now = Duration::from_secs(2);
    /// limiter.update_nodes(now, []);
    /// limiter.note_entry(now, &EntryFacts {
    ///     server: "i-1".to_owned(),
    ///     service: "model".to_owned(),
    ///     failure_domain: "kochi".to_owned(),
    ///     born_ms: 1,
    ///     cold_left: Some(Duration::from_secs(1)),
    ///     age: None,
    /// });
    /// assert_eq!(limiter.permit(now, "i-1"), ColdPermit::Due);
    /// limiter.spend(now, "i-1");
    /// assert!(matches!(limiter.permit(now, "i-1"), ColdPermit::At(next) if next > now));
    /// assert_eq!(limiter.permit(Duration::from_secs(3), "i-1"), ColdPermit::Free);
    /// ```
    pub fn permit(&mut self, now: Duration, server: &str) -> ColdPermit {
        let Some(until) = self.cold_until(now, server) else {
            return ColdPermit::Free;
        };
        match self.due_at(now, server) {
            Some((due, _)) if now >= due => ColdPermit::Due,
            Some((due, _)) => ColdPermit::At(due.min(until)),
            None => ColdPermit::At(until),
        }
    }

    /// The plan for the servers of a service and the present number of nodes.
    fn plan_for(&mut self, service: &str) -> Option<PermitPlan> {
        let nodes = self.roster.sharers();
        if let Some((planned, plan)) = self.plans.get(service)
            && *planned == nodes
        {
            return *plan;
        }
        let rule = self.rules.get(service)?;
        let max_in_second = self.bound.max_in_second(rule.per_s);
        let plan = PermitPlan::choose(rule.per_s, max_in_second, nodes);
        self.plans.insert(service.to_owned(), (nodes, plan));
        plan
    }

    /// Time of this node's next permit for a cold server and the time between two permits; none
    /// when this node does not send to it.
    fn due_at(&mut self, now: Duration, id: &str) -> Option<(Duration, Duration)> {
        let service = self.servers.get(id).map(|server| &server.service)?;
        let plan = self.plan_for(&service.clone())?;
        let server = self.servers.get_mut(id)?;
        if server.failure_domain != self.failure_domain {
            return None;
        }
        let start_delay = match self.roster.right(now) {
            SendRight::Granted => Duration::ZERO,
            SendRight::Starting(until) => until,
            SendRight::Isolated => return None,
        };
        let revision = self.roster.revision();
        let rank = match server.rank.filter(|(ranked, _)| *ranked == revision) {
            Some((_, rank)) => rank,
            None => self.roster.rank(id),
        };
        server.rank = Some((revision, rank));
        // A silent node may still send. The others may replace some, at the cost of half of the reserve.
        let kept = rank.silent.saturating_sub(plan.reserve / 2);
        let place = rank.heard + kept;
        if place >= plan.senders {
            return None;
        }
        // The first permits are spread over one interval, since all nodes may learn at once that
        // the server is cold.
        #[allow(clippy::cast_precision_loss)] // few nodes
        let phase = place as f64 / plan.senders as f64;
        let first = server.cold_since + plan.interval.mul_f64(phase);
        let due = first.max(server.next_due).max(start_delay);
        Some((due, plan.interval))
    }

    /// Number of requests that this node may send to a server up to `end`; `u32::MAX` when the
    /// server is no longer cold then.
    pub fn permits_until(&mut self, now: Duration, server: &str, end: Duration) -> u32 {
        let until = self.cold_until(now, server);
        let Some(until) = until.filter(|until| end < *until) else {
            return u32::MAX;
        };
        let Some((due, interval)) = self.due_at(now, server) else {
            return 0;
        };
        let first = due.max(now);
        if end < first {
            return 0;
        }
        let last = end.min(until).saturating_sub(first);
        1 + count_intervals(last, interval)
    }

    /// Records that a request was placed at a server now, which uses a permit up when the server is
    /// cold. Requests to other servers count, too: they may have become cold without this node's
    /// knowledge.
    pub fn spend(&mut self, now: Duration, server: &str) {
        let is_cold = self.is_cold(now, server);
        self.counts.used += u64::from(is_cold);
        let Some((due, interval)) = self.due_at(now, server) else {
            return;
        };
        if is_cold {
            let passed = count_intervals(now.saturating_sub(due), interval);
            self.counts.lost += u64::from(passed);
        }
        if let Some(known) = self.servers.get_mut(server) {
            let base = due.max(now.saturating_sub(MAX_LATENESS)).min(now);
            known.next_due = base + interval;
        }
    }

    /// Servers that are cold and have a limit, with the time until which each is cold.
    #[must_use]
    pub fn cold_ends(&self, now: Duration) -> BTreeMap<String, Duration> {
        let cold = self.servers.keys().filter_map(|id| {
            let until = self.cold_until(now, id)?;
            Some((id.clone(), until))
        });
        cold.collect()
    }

    /// Permits of this node since its start.
    #[must_use]
    pub const fn counts(&self) -> PermitCounts {
        self.counts
    }
}

/// Whole intervals in a span of time.
fn count_intervals(span: Duration, interval: Duration) -> u32 {
    let count = span.as_nanos() / interval.as_nanos().max(1);
    u32::try_from(count).unwrap_or(u32::MAX)
}

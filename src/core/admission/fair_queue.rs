use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// Most requests that wait for one service.
const MOST_QUEUED: usize = 2_000;

value_type! {
    /// A request that waits for a place on a group.
    pub struct QueuedRequest {
        /// Number of the request within the process.
        pub ticket: u64,
        /// Client account.
        pub account: String,
        /// Lower numbers go first.
        pub priority: u8,
        /// Estimated tokens of prompt and answer.
        pub cost: f64,
        /// Value of its completion.
        pub weight: f64,
        /// Time after which the first token is of no use.
        pub deadline: Duration,
    }
}

/// Order within a queue: priority, then value for the cost, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LaneKey {
    priority: u8,
    cost_per_value: u64,
    number: u64,
}

#[derive(Debug, Clone, Default)]
struct AccountQueue {
    waiting: BTreeMap<LaneKey, QueuedRequest>,
    /// Cost served so far; queues with less go first.
    served: f64,
}

/// Bounded queue of a service: priorities first, then fair by cost between
/// client accounts, then by value for the cost.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    queues: BTreeMap<String, AccountQueue>,
    places: HashMap<u64, (String, LaneKey)>,
    next_number: u64,
    served: f64,
}

impl FairQueue {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// True when nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Requests that go before a new one of this priority.
    #[must_use]
    pub fn ahead_of(&self, priority: u8) -> usize {
        let queues = self.queues.values();
        queues
            .map(|queue| {
                let bound = LaneKey {
                    priority,
                    cost_per_value: u64::MAX,
                    number: u64::MAX,
                };
                queue.waiting.range(..=bound).count()
            })
            .sum()
    }

    /// Adds a request. When the queue is full, the last request of the
    /// longest queue gives way; its ticket is returned and may be the new one.
    pub fn push(&mut self, request: QueuedRequest) -> Option<u64> {
        let key = LaneKey {
            priority: request.priority,
            cost_per_value: cost_per_value(&request),
            number: self.next_number,
        };
        self.next_number += 1;
        self.places
            .insert(request.ticket, (request.account.clone(), key));
        let served = self.served;
        let queue = self.queues.entry(request.account.clone()).or_default();
        if queue.waiting.is_empty() {
            // An account that was idle gains no credit from it.
            queue.served = queue.served.max(served);
        }
        queue.waiting.insert(key, request);
        if self.places.len() <= MOST_QUEUED {
            return None;
        }
        self.evict()
    }

    fn evict(&mut self) -> Option<u64> {
        let queues = self.queues.values_mut();
        let longest = queues.max_by_key(|queue| queue.waiting.len())?;
        let (_, request) = longest.waiting.pop_last()?;
        self.places.remove(&request.ticket);
        Some(request.ticket)
    }

    /// The request that goes next.
    #[must_use]
    pub fn head(&self) -> Option<&QueuedRequest> {
        let mut best: Option<(u8, f64, &QueuedRequest)> = None;
        for queue in self.queues.values() {
            let Some((key, request)) = queue.waiting.first_key_value() else {
                continue;
            };
            let better = best.is_none_or(|(priority, served, _)| {
                (key.priority, queue.served) < (priority, served)
            });
            if better {
                best = Some((key.priority, queue.served, request));
            }
        }
        best.map(|(_, _, request)| request)
    }

    /// Removes a request that is sent now, and charges its account.
    pub fn take(&mut self, ticket: u64) {
        let Some(request) = self.remove(ticket) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&request.account) else {
            return;
        };
        self.served = self.served.max(queue.served);
        queue.served += request.cost;
    }

    /// Removes a request that is not sent.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        let (account, key) = self.places.remove(&ticket)?;
        self.queues.get_mut(&account)?.waiting.remove(&key)
    }

    /// Requests whose deadline has passed.
    #[must_use]
    pub fn expired(&self, now: Duration) -> Vec<u64> {
        let waiting = self
            .queues
            .values()
            .flat_map(|queue| queue.waiting.values());
        waiting
            .filter(|request| request.deadline <= now)
            .map(|request| request.ticket)
            .collect()
    }

    /// All waiting requests.
    #[must_use]
    pub fn tickets(&self) -> Vec<u64> {
        self.places.keys().copied().collect()
    }
}

fn cost_per_value(request: &QueuedRequest) -> u64 {
    let ratio = 1_000.0 * request.cost / request.weight.max(0.001);
    // Rounded to a power of two, so that requests of similar value keep their order of arrival.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let rounded = ratio.max(1.0).log2().round() as u64;
    rounded
}

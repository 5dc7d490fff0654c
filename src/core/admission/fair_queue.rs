use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// Maximum number of requests that wait for one service.
const MAX_QUEUED: usize = 2_000;

value_type! {
    /// A request that waits for a batch slot on a group.
    pub struct QueuedRequest {
        /// Number of the request, unique within the gateway process.
        pub ticket: u64,
        /// Name of the client account, among which the queue is fair.
        pub account: String,
        /// Lower numbers are started first, across all accounts.
        pub priority: u8,
        /// Estimated prompt and answer tokens, charged to the account when the request is started.
        pub cost: f64,
        /// Value of a completed answer; a lower cost per value goes first within an account.
        pub weight: f64,
        /// Monotonic time by which the first token is due.
        pub deadline: Duration,
    }
}

/// Order within the queue of an account: priority, then cost per value, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: u8,
    cost_per_value: u64,
    arrival_number: u64,
}

#[derive(Debug, Clone, Default)]
struct AccountQueue {
    waiting: BTreeMap<QueueKey, QueuedRequest>,
    /// Cost of the requests started so far; the account with the lowest one goes first.
    served_cost: f64,
}

/// Bounded queue of a service, ordered by priority, then by fair sharing of the cost between client
/// accounts, then by cost per value.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    queues: BTreeMap<String, AccountQueue>,
    positions: HashMap<u64, (String, QueueKey)>,
    next_arrival_number: u64,
    /// Virtual time of the fair sharing: highest served cost at which an account had a request
    /// started.
    virtual_cost: f64,
}

impl FairQueue {
    /// Number of waiting requests, of all accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Number of waiting requests with this priority or a more urgent one; a new request may have
    /// to wait for these.
    #[must_use]
    pub fn ahead_of(&self, priority: u8) -> usize {
        let queues = self.queues.values();
        queues
            .map(|queue| {
                let bound = QueueKey {
                    priority,
                    cost_per_value: u64::MAX,
                    arrival_number: u64::MAX,
                };
                queue.waiting.range(..=bound).count()
            })
            .sum()
    }

    /// Adds a request. If the queue is full, removes the last request of the account with the most
    /// waiting requests and returns its ticket, which may be that of the new request.
    pub fn push(&mut self, request: QueuedRequest) -> Option<u64> {
        let key = QueueKey {
            priority: request.priority,
            cost_per_value: cost_per_value(&request),
            arrival_number: self.next_arrival_number,
        };
        self.next_arrival_number += 1;
        self.positions
            .insert(request.ticket, (request.account.clone(), key));
        let virtual_cost = self.virtual_cost;
        let queue = self.queues.entry(request.account.clone()).or_default();
        if queue.waiting.is_empty() {
            // Being idle gives an account no credit.
            queue.served_cost = queue.served_cost.max(virtual_cost);
        }
        queue.waiting.insert(key, request);
        if self.positions.len() <= MAX_QUEUED {
            return None;
        }
        self.evict()
    }

    fn evict(&mut self) -> Option<u64> {
        let queues = self.queues.values_mut();
        let longest = queues.max_by_key(|queue| queue.waiting.len())?;
        let (_, request) = longest.waiting.pop_last()?;
        self.positions.remove(&request.ticket);
        Some(request.ticket)
    }

    /// The request to be started next; `None` if the queue is empty.
    #[must_use]
    pub fn head(&self) -> Option<&QueuedRequest> {
        let mut best: Option<(u8, f64, &QueuedRequest)> = None;
        for queue in self.queues.values() {
            let Some((key, request)) = queue.waiting.first_key_value() else {
                continue;
            };
            let better = best.is_none_or(|(priority, served_cost, _)| {
                (key.priority, queue.served_cost) < (priority, served_cost)
            });
            if better {
                best = Some((key.priority, queue.served_cost, request));
            }
        }
        best.map(|(_, _, request)| request)
    }

    /// Removes a request that is started now, and charges its cost to the account.
    pub fn take(&mut self, ticket: u64) {
        let Some(request) = self.remove(ticket) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&request.account) else {
            return;
        };
        self.virtual_cost = self.virtual_cost.max(queue.served_cost);
        queue.served_cost += request.cost;
    }

    /// Removes a request without charging its account; returns `None` if it does not wait here.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        let (account, key) = self.positions.remove(&ticket)?;
        self.queues.get_mut(&account)?.waiting.remove(&key)
    }

    /// Tickets of the requests whose deadline has passed.
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

    /// Tickets of all waiting requests, in no particular order.
    #[must_use]
    pub fn tickets(&self) -> Vec<u64> {
        self.positions.keys().copied().collect()
    }
}

fn cost_per_value(request: &QueuedRequest) -> u64 {
    let ratio = 1_000.0 * request.cost / request.weight.max(0.001);
    // The rounded base-2 logarithm keeps requests of similar cost per value in their order of
    // arrival.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let rounded = ratio.max(1.0).log2().round() as u64;
    rounded
}

use {
    super::{PlacementClass, PlacementRequest},
    slotmap::SlotMap,
    std::time::Duration,
};

slotmap::new_key_type! {
    /// Key of a queued request.
    pub struct TicketKey;
}

/// Largest number of requests queued at one gateway, for all models together.
const MAX_WAITING_REQUESTS: usize = 256;

value_type! {
    /// A request that waits for a free slot at a group.
    pub struct WaitingRequest {
        /// The request as it arrived.
        pub request: PlacementRequest,
        /// Time at which the request was queued.
        pub queued_at: Duration,
    }
}

/// Requests that wait for a free slot at a group of their model.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    tickets: SlotMap<TicketKey, WaitingRequest>,
}

impl WaitQueue {
    /// Adds a request; none when the queue is full.
    pub fn add(&mut self, now: Duration, request: PlacementRequest) -> Option<TicketKey> {
        if self.tickets.len() >= MAX_WAITING_REQUESTS {
            return None;
        }
        Some(self.tickets.insert(WaitingRequest {
            request,
            queued_at: now,
        }))
    }

    /// Removes and returns a request; none when it has left the queue already.
    pub fn remove(&mut self, key: TicketKey) -> Option<WaitingRequest> {
        self.tickets.remove(key)
    }

    /// Number of queued requests for `model` of the given class or an earlier one.
    #[must_use]
    pub fn count_ahead(&self, model: &str, placement_class: PlacementClass) -> usize {
        let fits = |ticket: &&WaitingRequest| {
            ticket.request.model == model && ticket.request.placement_class <= placement_class
        };
        self.tickets.values().filter(fits).count()
    }

    /// Number of queued requests for the model of `request` that come before it or with it by class
    /// and priority.
    #[must_use]
    pub fn count_before(&self, request: &PlacementRequest) -> usize {
        let order = |request: &PlacementRequest| (request.placement_class, request.priority);
        let is_before = |ticket: &&WaitingRequest| {
            ticket.request.model == request.model && order(&ticket.request) <= order(request)
        };
        self.tickets.values().filter(is_before).count()
    }

    /// The queued requests, in no particular order.
    pub fn requests(&self) -> impl Iterator<Item = &PlacementRequest> {
        self.tickets.values().map(|ticket| &ticket.request)
    }

    /// Number of queued requests for `model`.
    #[must_use]
    pub fn count_of(&self, model: &str) -> usize {
        let fits = |ticket: &&WaitingRequest| ticket.request.model == model;
        self.tickets.values().filter(fits).count()
    }

    /// Keys in the order in which free slots are given: first by class, then by priority, then by
    /// the share that the account has used, then by the latest time at which the prefill must start
    /// to meet the objective. `prefill` returns the prefill time of a request, and `used_share` the
    /// share, the same for all while none is limited.
    #[must_use]
    pub fn order(
        &self,
        prefill: impl Fn(&PlacementRequest) -> Duration,
        used_share: impl Fn(&PlacementRequest) -> u8,
    ) -> Vec<TicketKey> {
        let mut order: Vec<TicketKey> = self.tickets.keys().collect();
        order.sort_by_cached_key(|key| {
            let request = &self.tickets[*key].request;
            let latest_start = request.in_time_until.saturating_sub(prefill(request));
            (
                request.placement_class,
                request.priority,
                used_share(request),
                latest_start,
            )
        });
        order
    }

    /// The queued request with this key; none when it has left the queue.
    #[must_use]
    pub fn get(&self, key: TicketKey) -> Option<&WaitingRequest> {
        self.tickets.get(key)
    }

    /// True when nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}

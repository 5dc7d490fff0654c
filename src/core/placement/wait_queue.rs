use {
    super::{Lateness, PlacementAsk},
    slotmap::SlotMap,
    std::time::Duration,
};

slotmap::new_key_type! {
    /// Key of a request that waits for a place.
    pub struct TicketKey;
}

/// Most requests that wait at one gateway.
const MOST_WAITING: usize = 256;

value_type! {
    /// A request that waits for a place.
    pub struct WaitTicket {
        /// What it asks for.
        pub ask: PlacementAsk,
        /// Since when it waits.
        pub since: Duration,
    }
}

/// Requests that wait for a place, in the order in which they get one.
#[derive(Debug, Clone, Default)]
pub struct WaitList {
    tickets: SlotMap<TicketKey, WaitTicket>,
}

impl WaitList {
    /// Adds a request; none when the list is full.
    pub fn add(&mut self, now: Duration, ask: PlacementAsk) -> Option<TicketKey> {
        if self.tickets.len() >= MOST_WAITING {
            return None;
        }
        Some(self.tickets.insert(WaitTicket { ask, since: now }))
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: TicketKey) -> Option<WaitTicket> {
        self.tickets.remove(key)
    }

    /// Requests that wait for a model and go before one of this lateness.
    #[must_use]
    pub fn ahead(&self, model: &str, lateness: Lateness) -> usize {
        let fits =
            |ticket: &&WaitTicket| ticket.ask.model == model && ticket.ask.lateness <= lateness;
        self.tickets.values().filter(fits).count()
    }

    /// Keys in the order in which places are given: requests that can be in
    /// time before those that cannot, more urgent ones first, then the one
    /// that must start first; `read` is the time that reading a prompt takes.
    #[must_use]
    pub fn order(&self, read: impl Fn(&PlacementAsk) -> Duration) -> Vec<TicketKey> {
        let mut order: Vec<TicketKey> = self.tickets.keys().collect();
        order.sort_by_key(|key| {
            let ask = &self.tickets[*key].ask;
            let start = ask.in_time_until.saturating_sub(read(ask));
            (ask.lateness, ask.priority, start)
        });
        order
    }

    /// The ticket of a key.
    #[must_use]
    pub fn get(&self, key: TicketKey) -> Option<&WaitTicket> {
        self.tickets.get(key)
    }

    /// True when nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}

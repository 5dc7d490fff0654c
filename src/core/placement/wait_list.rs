use {super::PlacementAsk, slotmap::SlotMap, std::time::Duration};

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

    /// Requests that wait for a model.
    #[must_use]
    pub fn waiting(&self, model: &str) -> usize {
        let fits = |ticket: &&WaitTicket| ticket.ask.model == model;
        self.tickets.values().filter(fits).count()
    }

    /// Keys in the order in which places are given: fresh requests before
    /// broken streams, more urgent ones first, then the earliest to be too late.
    #[must_use]
    pub fn order(&self) -> Vec<TicketKey> {
        let mut order: Vec<TicketKey> = self.tickets.keys().collect();
        order.sort_by_key(|key| {
            let ask = &self.tickets[*key].ask;
            (ask.resumed, ask.priority, ask.in_time_until)
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

//! A store with one lease row that can be restored from an older copy.

use {
    rand::{Rng, RngExt},
    serde_json::Value,
    std::collections::VecDeque,
    toucanring::{
        core::lease::LeaseEvent,
        wire::{CommitRequest, RowCondition, TableRow},
    },
};

/// Time for which copies are kept, in milliseconds.
const COPY_MEMORY_MS: u64 = 15_000;

#[derive(Debug, Clone, Default)]
struct StoreContent {
    row: Option<(u64, Value)>,
    version: u64,
}

#[derive(Debug)]
pub struct LeaseStore {
    content: StoreContent,
    era: u64,
    copies: VecDeque<(u64, StoreContent)>,
}

impl Default for LeaseStore {
    fn default() -> Self {
        Self {
            content: StoreContent::default(),
            era: 1,
            copies: VecDeque::new(),
        }
    }
}

impl LeaseStore {
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Copies the content, and lets other writers use up versions.
    pub fn advance(&mut self, now_ms: u64, rng: &mut impl Rng) {
        self.copies.push_back((now_ms, self.content.clone()));
        while self
            .copies
            .front()
            .is_some_and(|(at, _)| at + COPY_MEMORY_MS < now_ms)
        {
            self.copies.pop_front();
        }
        self.content.version += rng.random_range(0..2);
    }

    /// Puts the content of `age_ms` ago back.
    pub fn restore(&mut self, now_ms: u64, age_ms: u64) {
        let is_old = |(at, _): &&(u64, StoreContent)| at + age_ms <= now_ms;
        let copy = self.copies.iter().rev().find(is_old);
        self.content = copy.map_or_else(StoreContent::default, |(_, content)| content.clone());
        self.era += 1;
    }

    pub fn read(&self) -> LeaseEvent {
        LeaseEvent::Read(self.content.row.clone().map(|(version, value)| TableRow {
            key: "lease/kochi".to_owned(),
            version,
            value,
        }))
    }

    pub fn commit(&mut self, request: &CommitRequest) -> LeaseEvent {
        let version = self.content.row.as_ref().map_or(0, |(version, _)| *version);
        if version != request.conditions[0].version {
            return LeaseEvent::Conflict(vec![RowCondition {
                key: request.conditions[0].key.clone(),
                version,
            }]);
        }
        self.content.version += 1;
        let value = request.writes[0].value.clone();
        self.content.row = Some((self.content.version, value));
        LeaseEvent::Committed(self.content.version)
    }
}

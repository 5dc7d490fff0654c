use std::{collections::VecDeque, time::Duration};

/// Slots into which the window is divided.
const SLOTS_PER_WINDOW: u32 = 10;

/// Share of the permitted retries that is used; the rest covers other gateways
/// whose number is not known exactly.
const USED_SHARE: f64 = 0.8;

/// Bounds the retries to a service in a sliding window: a share of the fresh
/// requests plus this gateway's part of a fixed number.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    ratio: f64,
    extra: f64,
    slot: Duration,
    /// Start, fresh requests and retries of each slot.
    slots: VecDeque<(Duration, u32, u32)>,
}

impl RetryWindow {
    /// Creates a window of `length` in which retries may reach `ratio` times
    /// the fresh requests plus `extra`, over all gateways.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::placement::RetryWindow};
    ///
    /// let mut window = RetryWindow::new(Duration::from_secs(10), 0.2, 5.0);
    /// let now = Duration::from_secs(1);
    /// for _ in 0..4 {
    ///     assert!(window.spend(now, 1));
    /// }
    /// assert!(!window.spend(now, 1));
    /// ```
    #[must_use]
    pub fn new(length: Duration, ratio: f64, extra: f64) -> Self {
        Self {
            ratio,
            extra,
            slot: (length / SLOTS_PER_WINDOW).max(Duration::from_millis(1)),
            slots: VecDeque::new(),
        }
    }

    fn slot(&mut self, now: Duration) -> &mut (Duration, u32, u32) {
        let length = self.slot * SLOTS_PER_WINDOW;
        while let Some((start, _, _)) = self.slots.front().copied() {
            // The oldest slot ends a whole slot after its start.
            if now < start + length + self.slot {
                break;
            }
            self.slots.pop_front();
        }
        let fresh = self
            .slots
            .back()
            .is_none_or(|slot| now >= slot.0 + self.slot);
        if fresh {
            self.slots.push_back((now, 0, 0));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Counts a fresh request.
    pub fn earn(&mut self, now: Duration) {
        self.slot(now).1 += 1;
    }

    /// Takes one retry when `gateways` share the window; false when it is used up.
    pub fn spend(&mut self, now: Duration, gateways: u32) -> bool {
        self.slot(now);
        let fresh: u32 = self.slots.iter().map(|slot| slot.1).sum();
        let spent: u32 = self.slots.iter().map(|slot| slot.2).sum();
        let part = self.extra / f64::from(gateways.max(1));
        let allowed = USED_SHARE * (self.ratio * f64::from(fresh) + part);
        if f64::from(spent) + 1.0 > allowed {
            return false;
        }
        self.slot(now).2 += 1;
        true
    }
}

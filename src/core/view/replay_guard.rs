use std::{collections::BTreeMap, time::Duration};

/// Sequence numbers below the highest that may still arrive; one word has 64.
const WINDOW_WORDS: usize = 16;
/// Boots with a window; the one heard longest ago makes place for a new one.
const MAX_BOOTS: usize = 2_048;

/// Sequence numbers seen from one boot of a sender.
#[derive(Debug, Clone, Default)]
pub struct ReplayWindow {
    highest: u64,
    seen: [u64; WINDOW_WORDS],
}

impl ReplayWindow {
    /// Width of the window in sequence numbers.
    pub const WIDTH: u64 = 64 * WINDOW_WORDS as u64;

    /// Records a sequence number; false when it was seen or is too old.
    ///
    /// ```
    /// use toucanring::core::view::ReplayWindow;
    ///
    /// let mut window = ReplayWindow::default();
    /// assert!(window.admit(5) && window.admit(3));
    /// assert!(!window.admit(5) && !window.admit(3));
    /// ```
    pub fn admit(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            self.clear_skipped(sequence);
            self.highest = sequence;
            self.mark(sequence, true);
            return true;
        }
        if self.highest - sequence >= Self::WIDTH || self.is_seen(sequence) {
            return false;
        }
        self.mark(sequence, true);
        true
    }

    /// Positions of skipped numbers still hold marks of the last turn.
    fn clear_skipped(&mut self, sequence: u64) {
        if sequence - self.highest >= Self::WIDTH {
            self.seen = [0; WINDOW_WORDS];
            return;
        }
        let mut skipped = self.highest + 1;
        while skipped < sequence {
            // Whole words at once: gaps are long when a sender has many peers.
            if skipped.is_multiple_of(64) && skipped + 64 <= sequence {
                self.seen[Self::place(skipped).0] = 0;
                skipped += 64;
                continue;
            }
            self.mark(skipped, false);
            skipped += 1;
        }
    }

    fn place(sequence: u64) -> (usize, u64) {
        let bit = sequence % Self::WIDTH;
        let word = usize::try_from(bit / 64).unwrap_or(0);
        (word, 1 << (bit % 64))
    }

    fn mark(&mut self, sequence: u64, seen: bool) {
        let (word, mask) = Self::place(sequence);
        if seen {
            self.seen[word] |= mask;
        } else {
            self.seen[word] &= !mask;
        }
    }

    fn is_seen(&self, sequence: u64) -> bool {
        let (word, mask) = Self::place(sequence);
        self.seen[word] & mask != 0
    }
}

/// Replay windows of all senders.
#[derive(Debug, Clone, Default)]
pub struct ReplayGuard {
    windows: BTreeMap<u64, (ReplayWindow, Duration)>,
}

impl ReplayGuard {
    /// Records a datagram; false when it must be dropped as replayed.
    pub fn admit(&mut self, boot: u64, sequence: u64, now: Duration) -> bool {
        if !self.windows.contains_key(&boot) && self.windows.len() >= MAX_BOOTS {
            let oldest = self.windows.iter().min_by_key(|(_, (_, heard))| *heard);
            let oldest = oldest.map(|(boot, _)| *boot);
            oldest.and_then(|boot| self.windows.remove(&boot));
        }
        let (window, heard) = self.windows.entry(boot).or_default();
        *heard = now;
        window.admit(sequence)
    }
}

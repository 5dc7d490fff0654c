use std::{collections::BTreeMap, time::Duration};

/// Words of 64 sequence numbers in the window below the highest number seen.
const WINDOW_WORDS: usize = 16;
/// Most boots with a window; a new boot evicts the one that has been silent longest.
const MAX_BOOTS: usize = 2_048;

/// Sequence numbers received from one boot of a sender.
#[derive(Debug, Clone, Default)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit `sequence % WIDTH` is set when that number was received.
    seen: [u64; WINDOW_WORDS],
}

impl ReplayWindow {
    /// Width of the window in sequence numbers.
    pub const WIDTH: u64 = 64 * WINDOW_WORDS as u64;

    /// Records a sequence number; returns false when it was seen before or is older than the
    /// window.
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
            self.set_seen(sequence, true);
            return true;
        }
        if self.highest - sequence >= Self::WIDTH || self.is_seen(sequence) {
            return false;
        }
        self.set_seen(sequence, true);
        true
    }

    /// Clears the bits of skipped numbers, which still belong to the numbers one window width
    /// below.
    fn clear_skipped(&mut self, sequence: u64) {
        if sequence - self.highest >= Self::WIDTH {
            self.seen = [0; WINDOW_WORDS];
            return;
        }
        let mut skipped = self.highest + 1;
        while skipped < sequence {
            // Whole words at once: gaps are long when a sender has many peers.
            if skipped.is_multiple_of(64) && skipped + 64 <= sequence {
                self.seen[Self::bit_position(skipped).0] = 0;
                skipped += 64;
                continue;
            }
            self.set_seen(skipped, false);
            skipped += 1;
        }
    }

    fn bit_position(sequence: u64) -> (usize, u64) {
        let bit = sequence % Self::WIDTH;
        let word = usize::try_from(bit / 64).unwrap_or(0);
        (word, 1 << (bit % 64))
    }

    fn set_seen(&mut self, sequence: u64, seen: bool) {
        let (word, mask) = Self::bit_position(sequence);
        if seen {
            self.seen[word] |= mask;
        } else {
            self.seen[word] &= !mask;
        }
    }

    fn is_seen(&self, sequence: u64) -> bool {
        let (word, mask) = Self::bit_position(sequence);
        self.seen[word] & mask != 0
    }
}

/// Replay windows of all senders, by boot id.
#[derive(Debug, Clone, Default)]
pub struct ReplayGuard {
    windows: BTreeMap<u64, (ReplayWindow, Duration)>,
}

impl ReplayGuard {
    /// Records a datagram; returns false when it must be dropped as replayed.
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

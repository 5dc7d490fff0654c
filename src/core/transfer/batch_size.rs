use super::PieceEntry;

/// First size of a batch, in bytes, and the size after a failure.
const MIN_BATCH_BYTES: usize = 16 * 1_024;

/// Largest size of a batch in bytes.
const MAX_BATCH_BYTES: usize = 256 * 1_024;

/// Number of bytes, before compression, that a node asks for at a time. It doubles with each batch that arrives and
/// begins anew after one that does not, so that each batch ends in time also over a slow link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchSize(usize);

impl Default for BatchSize {
    fn default() -> Self {
        Self(MIN_BATCH_BYTES)
    }
}

impl BatchSize {
    /// Records that a batch has arrived.
    pub const fn grow(&mut self) {
        if self.0 < MAX_BATCH_BYTES {
            self.0 *= 2;
        }
    }

    /// Records that a batch has not arrived in time or the connection broke.
    pub const fn reset(&mut self) {
        self.0 = MIN_BATCH_BYTES;
    }

    /// Returns the first pieces, as many as the batch holds; at least one unless there are none.
    ///
    /// ```
    /// use toucanring::core::transfer::{BatchSize, PieceDigest, PieceEntry};
    ///
    /// let entry = PieceEntry { digest: PieceDigest::of(b"piece"), bytes: 10_000 };
    /// let missing = [entry; 5];
    /// let mut size = BatchSize::default();
    /// assert_eq!(size.first_of(&missing).len(), 1);
    /// size.grow();
    /// assert_eq!(size.first_of(&missing).len(), 3);
    /// ```
    #[must_use]
    pub fn first_of<'a>(&self, missing: &'a [PieceEntry]) -> &'a [PieceEntry] {
        let mut bytes = 0;
        let mut count = 0;
        for entry in missing {
            bytes += entry.bytes as usize;
            if count > 0 && bytes > self.0 {
                break;
            }
            count += 1;
        }
        &missing[..count]
    }
}

value_type! {
    /// Identification of an answer chunk, read from its `id`, `sequence` and `finish_reason`.
    pub struct ChunkHeader<'a> {
        /// Identifier of the attempt that the chunk states.
        pub attempt: &'a str,
        /// Position in the answer, counted from 0 over all attempts.
        pub sequence: u64,
        /// True for the chunk that carries `finish_reason`.
        pub last: bool,
    }

    /// How the gateway handles a chunk.
    #[derive(Copy, Eq)]
    pub enum ChunkVerdict {
        /// It is the next chunk of the answer, to be delivered to the caller.
        Deliver,
        /// It belongs to another attempt or request, is a repetition, or follows the final chunk;
        /// to be ignored.
        Drop,
        /// Chunks before it are missing, so that the attempt has failed.
        Gap,
    }
}

/// Decides which chunks belong to the answer of one request.
///
/// A chunk is delivered only if it states the current attempt and is the next in sequence. The
/// answer is complete only after the final chunk and a `[DONE]` marker.
#[derive(Debug, Clone, Default)]
pub struct AnswerTracker {
    attempt: String,
    delivered: u64,
    finished: bool,
    complete: bool,
}

impl AnswerTracker {
    /// Starts an attempt; chunks of earlier attempts are dropped from now on.
    pub fn begin(&mut self, attempt: &str) {
        attempt.clone_into(&mut self.attempt);
    }

    /// Number of chunks delivered over all attempts; the value of `Resume-From`.
    #[must_use]
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Whether the chunk that carries `finish_reason` has been delivered.
    #[must_use]
    pub const fn finished(&self) -> bool {
        self.finished
    }

    /// Whether the whole answer has been delivered and `[DONE]` has arrived.
    #[must_use]
    pub const fn complete(&self) -> bool {
        self.complete
    }

    /// Checks a chunk, and counts it if it is to be delivered.
    ///
    /// ```
    /// use toucanring::core::retry::{AnswerTracker, ChunkHeader, ChunkVerdict};
    ///
    /// let mut tracker = AnswerTracker::default();
    /// tracker.begin("a1");
    /// let chunk = ChunkHeader { attempt: "a1", sequence: 0, last: false };
    /// assert_eq!(tracker.accept(&chunk), ChunkVerdict::Deliver);
    /// assert_eq!(tracker.accept(&chunk), ChunkVerdict::Drop);
    /// ```
    pub fn accept(&mut self, chunk: &ChunkHeader<'_>) -> ChunkVerdict {
        if chunk.attempt != self.attempt || self.finished {
            return ChunkVerdict::Drop;
        }
        if chunk.sequence < self.delivered {
            return ChunkVerdict::Drop;
        }
        if chunk.sequence > self.delivered {
            return ChunkVerdict::Gap;
        }
        self.delivered += 1;
        self.finished = chunk.last;
        ChunkVerdict::Deliver
    }

    /// Processes the `[DONE]` marker; returns whether the answer is complete. It is truncated if
    /// the final chunk did not come before the marker.
    pub const fn close(&mut self) -> bool {
        self.complete = self.finished;
        self.complete
    }
}

value_type! {
    /// What identifies a chunk of an answer.
    pub struct ChunkMark<'a> {
        /// Attempt id that the chunk names.
        pub attempt: &'a str,
        /// Position in the answer, counted from 0 over all attempts.
        pub sequence: u64,
        /// True for the chunk that carries `finish_reason`.
        pub last: bool,
    }

    /// What to do with a chunk.
    #[derive(Copy, Eq)]
    pub enum ChunkVerdict {
        /// Deliver it to the caller.
        Deliver,
        /// Foreign, late or repeated: ignore it.
        Drop,
        /// Chunks before it are missing: the attempt cannot be continued.
        Gap,
    }
}

/// Decides which chunks belong to the answer of one request.
///
/// A chunk is delivered only when it names the current attempt and is the
/// next in sequence; the answer is complete only after the final chunk and
/// the `[DONE]` marker of the same attempt.
#[derive(Debug, Clone, Default)]
pub struct AnswerTracker {
    attempt: String,
    delivered: u64,
    finished: bool,
    complete: bool,
}

impl AnswerTracker {
    /// Starts an attempt; chunks of former attempts are dropped from now on.
    pub fn begin(&mut self, attempt: &str) {
        attempt.clone_into(&mut self.attempt);
    }

    /// Number of chunks delivered over all attempts; the value of `Resume-From`.
    #[must_use]
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// True after the chunk that carries `finish_reason`.
    #[must_use]
    pub const fn finished(&self) -> bool {
        self.finished
    }

    /// True when the whole answer has been delivered.
    #[must_use]
    pub const fn complete(&self) -> bool {
        self.complete
    }

    /// Judges a chunk.
    ///
    /// ```
    /// use toucanring::core::retry::{AnswerTracker, ChunkMark, ChunkVerdict};
    ///
    /// let mut tracker = AnswerTracker::default();
    /// tracker.begin("a1");
    /// let chunk = ChunkMark { attempt: "a1", sequence: 0, last: false };
    /// assert_eq!(tracker.accept(&chunk), ChunkVerdict::Deliver);
    /// assert_eq!(tracker.accept(&chunk), ChunkVerdict::Drop);
    /// ```
    pub fn accept(&mut self, chunk: &ChunkMark<'_>) -> ChunkVerdict {
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

    /// Takes the `[DONE]` marker; returns whether the answer is now complete.
    ///
    /// A marker without the final chunk before it is a truncated answer.
    pub const fn close(&mut self) -> bool {
        self.complete = self.finished;
        self.complete
    }
}

//! Limits the memory for responses that are buffered before they are passed on. A faulty server may
//! send bytes without end, to many requests at once.

use {
    crate::core::intake::DEFAULT_MEMORY_MB,
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Body,
    std::sync::atomic::{AtomicUsize, Ordering},
};

/// Largest response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Divides a node's memory to give the part that all buffered responses together may take.
const MEMORY_DIVISOR: u64 = 8;

/// Counts the bytes of all responses that a node buffers at present, up to a limit.
#[derive(Debug)]
pub struct ResponseBudget {
    limit_bytes: usize,
    held_bytes: AtomicUsize,
}

/// Bytes held by one response; given back when it is dropped.
struct HeldBytes<'a> {
    budget: &'a ResponseBudget,
    bytes: usize,
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        self.budget
            .held_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl ResponseBudget {
    /// Creates the budget of a node with `memory_mb` MiB of memory; 160 if none.
    ///
    /// ```
    /// use toucanring::node::ResponseBudget;
    ///
    /// assert_eq!(ResponseBudget::new(Some(160)).limit_bytes(), 20 * 1024 * 1024);
    /// ```
    #[must_use]
    pub fn new(memory_mb: Option<u64>) -> Self {
        let bytes = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1024 * 1024 / MEMORY_DIVISOR;
        Self {
            limit_bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
            held_bytes: AtomicUsize::new(0),
        }
    }

    /// Limit for the bytes of all buffered responses together.
    #[must_use]
    pub const fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Bytes of responses that are being read at present.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: usize) -> bool {
        let add = |held: usize| {
            held.checked_add(bytes)
                .filter(|all| *all <= self.limit_bytes)
        };
        let order = Ordering::Relaxed;
        self.held_bytes.fetch_update(order, order, add).is_ok()
    }

    /// Reads a body to its end; none when it breaks off, is larger than 16 MiB, or does not fit
    /// into the budget beside the others.
    pub async fn collect<B: Body<Data = Bytes> + Unpin>(&self, mut body: B) -> Option<Bytes> {
        let mut held = HeldBytes {
            budget: self,
            bytes: 0,
        };
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else {
                continue;
            };
            let fits = held.bytes + data.len() <= MAX_RESPONSE_BYTES;
            if !fits || !self.reserve(data.len()) {
                return None;
            }
            held.bytes += data.len();
            collected.extend_from_slice(&data);
        }
        Some(collected.freeze())
    }
}

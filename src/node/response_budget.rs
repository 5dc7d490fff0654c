//! Limits the memory for responses that are buffered before they are passed on. A faulty server may
//! send bytes without end, to many requests at once.

use {
    crate::core::intake::{DEFAULT_MEMORY_MB, ReaderVerdict, SMALL_BODY_BYTES},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Body,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
};

/// Largest response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Divides a node's memory to give the part that all buffered responses together may take.
const MEMORY_DIVISOR: u64 = 8;

/// Divides a node's memory to give the part that small responses may take in addition.
const SMALL_DIVISOR: u64 = 32;

/// Time until a closed connection has freed its response.
const CLOSE_DELAY: Duration = Duration::from_millis(5);

/// Longest time for which a response waits for room.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Counts the bytes of all responses that a node buffers at present, up to a limit: until the last
/// byte is written to the caller.
#[derive(Debug)]
pub struct ResponseBudget {
    limit_bytes: usize,
    /// Bytes that responses up to [`SMALL_BODY_BYTES`] may take in addition.
    small_bytes: usize,
    held: Arc<AtomicUsize>,
}

/// Bytes held by one response; given back when it is dropped.
struct HeldBytes {
    all: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A whole response, which counts until the last reference to it is dropped.
struct HeldResponse {
    bytes: Vec<u8>,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldResponse {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
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
        let memory = memory_mb
            .unwrap_or(DEFAULT_MEMORY_MB)
            .saturating_mul(1024 * 1024);
        let part = |divisor: u64| usize::try_from(memory / divisor).unwrap_or(usize::MAX);
        Self {
            limit_bytes: part(MEMORY_DIVISOR),
            small_bytes: part(SMALL_DIVISOR),
            held: Arc::default(),
        }
    }

    /// Limit for the bytes of all buffered responses together.
    #[must_use]
    pub const fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Bytes of responses that are being read, or written to their callers, at present.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Takes bytes for a response that has `bytes` with them.
    fn reserve(&self, added: usize, bytes: usize) -> bool {
        let limit = if bytes <= SMALL_BODY_BYTES {
            self.limit_bytes + self.small_bytes
        } else {
            self.limit_bytes
        };
        let add = |held: usize| held.checked_add(added).filter(|all| *all <= limit);
        let order = Ordering::Relaxed;
        self.held.fetch_update(order, order, add).is_ok()
    }

    /// Reads a body to its end; none when it breaks off, is larger than 16 MiB, or does not fit
    /// into the budget beside the others. The result counts until its last clone is dropped.
    pub async fn collect<B: Body<Data = Bytes> + Unpin>(&self, body: B) -> Option<Bytes> {
        self.collect_with(body, || ReaderVerdict::AllRead).await
    }

    /// As [`Self::collect`]. `make_room` is asked to close a connection whose caller does not read,
    /// when the body does not fit.
    pub async fn collect_with<B: Body<Data = Bytes> + Unpin>(
        &self,
        mut body: B,
        make_room: impl Fn() -> ReaderVerdict,
    ) -> Option<Bytes> {
        let mut held = HeldBytes {
            all: Arc::clone(&self.held),
            bytes: 0,
        };
        let mut collected: Vec<u8> = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else {
                continue;
            };
            let bytes = held.bytes + data.len();
            if bytes > MAX_RESPONSE_BYTES || !self.wait_for(data.len(), bytes, &make_room).await {
                return None;
            }
            held.bytes = bytes;
            collected.extend_from_slice(&data);
        }
        collected.shrink_to_fit();
        Some(Bytes::from_owner(HeldResponse {
            bytes: collected,
            _held: held,
        }))
    }

    /// Takes bytes as soon as callers that do not read have given way; false when there are none.
    async fn wait_for(
        &self,
        added: usize,
        bytes: usize,
        make_room: &impl Fn() -> ReaderVerdict,
    ) -> bool {
        let started = Instant::now();
        while !self.reserve(added, bytes) {
            let wait = match make_room() {
                ReaderVerdict::Close(_) => CLOSE_DELAY,
                ReaderVerdict::Wait(wait) => wait.max(CLOSE_DELAY),
                ReaderVerdict::AllRead => return false,
            };
            if started.elapsed() + wait > MAX_WAIT {
                return false;
            }
            tokio::time::sleep(wait).await;
        }
        true
    }
}

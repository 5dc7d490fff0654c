use super::DEFAULT_MEMORY_MB;

/// Bytes that an open connection takes without what it reads: its tasks and empty buffers.
const BASE_BYTES: usize = 12 * 1024;

/// Eighths of a node's memory that all connections together may take.
const MEMORY_EIGHTHS: u64 = 3;

value_type! {
    /// Limits for the connections of callers.
    #[derive(Copy, Eq)]
    pub struct ConnectionLimits {
        /// Most open connections.
        pub connections: usize,
        /// Bytes of all connections together, without bodies and responses.
        pub bytes: usize,
        /// Bytes that each connection takes beside what it reads.
        pub base_bytes: usize,
    }
}

impl ConnectionLimits {
    /// Limits of a node with `memory_mb` MiB of memory, 160 if none, that may have `connections`.
    ///
    /// ```
    /// use toucanring::core::intake::ConnectionLimits;
    ///
    /// let limits = ConnectionLimits::for_memory(Some(160), 2_900);
    /// assert_eq!(limits.bytes, 60 * 1024 * 1024);
    /// ```
    #[must_use]
    pub fn for_memory(memory_mb: Option<u64>, connections: usize) -> Self {
        let memory = memory_mb
            .unwrap_or(DEFAULT_MEMORY_MB)
            .saturating_mul(1024 * 1024);
        let bytes = memory / 8 * MEMORY_EIGHTHS;
        Self {
            connections,
            bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
            base_bytes: BASE_BYTES,
        }
    }
}

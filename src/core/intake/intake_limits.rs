/// Largest body in bytes that counts as small, its head included.
pub const SMALL_BODY_BYTES: usize = 32 * 1024;

/// Memory of a node whose settings do not state it, in MiB.
pub const DEFAULT_MEMORY_MB: u64 = 160;

/// Divides a node's memory to give the part that bodies above [`SMALL_BODY_BYTES`] may take
/// together.
const LARGE_DIVISOR: u64 = 8;

/// Divides a node's memory to give the part that is kept for requests without a body and with a
/// small one.
const SMALL_DIVISOR: u64 = 32;

value_type! {
    /// Limits for the bytes that are kept of the requests of callers.
    #[derive(Copy, Eq)]
    pub struct IntakeLimits {
        /// Bytes of all bodies above [`SMALL_BODY_BYTES`] together. One that is alone may take
        /// more.
        pub large_bytes: usize,
        /// Bytes that are kept for small requests. When they are used up, small requests take from
        /// `large_bytes`.
        pub small_bytes: usize,
    }
}

impl IntakeLimits {
    /// Limits of a process with `memory_mb` MiB of memory; 160 if none. `large_mb` replaces the
    /// eighth of it that large bodies may take, in MiB.
    ///
    /// ```
    /// use toucanring::core::intake::IntakeLimits;
    ///
    /// let limits = IntakeLimits::for_memory(Some(160), None);
    /// assert_eq!(limits.large_bytes, 20 * 1024 * 1024);
    /// assert_eq!(limits.small_bytes, 5 * 1024 * 1024);
    /// ```
    #[must_use]
    pub fn for_memory(memory_mb: Option<u64>, large_mb: Option<u64>) -> Self {
        let memory = memory_mb
            .unwrap_or(DEFAULT_MEMORY_MB)
            .saturating_mul(1024 * 1024);
        let large = large_mb.map_or(memory / LARGE_DIVISOR, |mb| mb.saturating_mul(1024 * 1024));
        Self {
            large_bytes: usize::try_from(large).unwrap_or(usize::MAX),
            small_bytes: usize::try_from(memory / SMALL_DIVISOR).unwrap_or(usize::MAX),
        }
    }
}

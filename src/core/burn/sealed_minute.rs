use {super::LostCount, bytes::Bytes};

/// A minute that is not stored yet, encoded so that its size is known.
#[derive(Debug)]
pub(super) struct SealedMinute {
    /// Minutes since the Unix epoch.
    pub(super) minute: u64,
    /// Number of requests counted in the minute.
    pub(super) requests: u64,
    /// Losses that the record reports. They are added to a later record when this one is dropped.
    pub(super) lost: LostCount,
    pub(super) body: Bytes,
}

use {super::LostCount, bytes::Bytes};

/// A minute that waits to be stored, already encoded so that its size is known.
#[derive(Debug)]
pub(super) struct SealedMinute {
    pub(super) minute: u64,
    pub(super) requests: u64,
    /// Losses that the record reports; reported again when it is itself dropped.
    pub(super) lost: LostCount,
    pub(super) body: Bytes,
}

use {super::BodyIntake, crate::core::intake::BodyKey, bytes::Bytes, std::sync::Arc};

/// Bytes that count for a request, until the last clone is dropped.
#[derive(Debug)]
pub struct BodyLease {
    pub(super) intake: Arc<BodyIntake>,
    pub(super) key: BodyKey,
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.intake.end(self.key);
    }
}

/// A body that was read to its end.
#[derive(Debug, Clone)]
pub struct KeptBody {
    /// All bytes. They count until the last clone is dropped, also after the lease.
    pub bytes: Bytes,
    /// Keeps the request counted, also when its body is empty.
    pub lease: Arc<BodyLease>,
}

/// Joined bytes that keep their lease.
struct LeasedBytes {
    bytes: Vec<u8>,
    _lease: Arc<BodyLease>,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl KeptBody {
    pub(super) fn new(bytes: Vec<u8>, lease: Arc<BodyLease>) -> Self {
        let owner = LeasedBytes {
            bytes,
            _lease: Arc::clone(&lease),
        };
        Self {
            bytes: Bytes::from_owner(owner),
            lease,
        }
    }

    /// The body with another text of about the same length, which counts in its place.
    pub(crate) fn with_text(self, text: Vec<u8>) -> Self {
        Self::new(text, self.lease)
    }
}

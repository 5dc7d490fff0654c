use {
    crate::wire::PeerMessage,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Version of the datagram format; datagrams of another version are dropped.
pub const EXCHANGE_VERSION: u8 = 1;

/// Largest datagram in bytes; fits the 1,280-byte minimum of IPv6 with headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Bytes of the authentication tag, a truncated keyed blake3 digest.
const TAG_BYTES: usize = 16;

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// Shorter than a header and a tag, or longer than the bound.
    Length,
    /// Another format version.
    Version,
    /// The tag does not match the key.
    Forged,
    /// The tag matches but the body does not decode.
    Malformed,
    /// The sequence number was seen before or is older than the window.
    Replayed,
}

impl fmt::Display for DropReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Length => "length",
            Self::Version => "version",
            Self::Forged => "forged",
            Self::Malformed => "malformed",
            Self::Replayed => "replayed",
        })
    }
}

/// A datagram after decoding.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerDatagram {
    /// Random number that the sender chose at its start.
    pub boot: u64,
    /// Number of the datagram within the boot.
    pub sequence: u64,
    /// Payload.
    pub messages: Vec<PeerMessage>,
}

/// Encodes and authenticates datagrams: version byte, postcard body, tag.
#[derive(Clone)]
pub struct PeerCodec {
    key: [u8; 32],
}

impl PeerCodec {
    /// Creates a codec with the shared 32-byte key.
    #[must_use]
    pub const fn new(key: [u8; 32]) -> Self {
        Self { key }
    }

    /// Encodes and tags a datagram.
    ///
    /// # Panics
    /// Never for the types of this crate: postcard fails only on types without
    /// a known length.
    #[must_use]
    pub fn seal(&self, datagram: &PeerDatagram) -> Vec<u8> {
        let bytes = postcard::to_extend(datagram, vec![EXCHANGE_VERSION]);
        let mut bytes = bytes.expect("peer messages have known lengths");
        let tag = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        bytes
    }

    /// Checks and decodes a datagram of at most `limit` bytes.
    ///
    /// # Errors
    /// The reason for which the datagram must be dropped.
    pub fn open(&self, bytes: &[u8], limit: usize) -> Result<PeerDatagram, DropReason> {
        if bytes.len() <= TAG_BYTES || bytes.len() > limit {
            return Err(DropReason::Length);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        if signed[0] != EXCHANGE_VERSION {
            return Err(DropReason::Version);
        }
        let expected = blake3::keyed_hash(&self.key, signed);
        // Compares in constant time through blake3's own comparison.
        let mut full = *expected.as_bytes();
        full[..TAG_BYTES].copy_from_slice(tag);
        if expected != blake3::Hash::from_bytes(full) {
            return Err(DropReason::Forged);
        }
        postcard::from_bytes(&signed[1..]).map_err(|_| DropReason::Malformed)
    }
}

impl fmt::Debug for PeerCodec {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerCodec")
    }
}

use {
    crate::wire::PeerMessage,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::fmt,
};

/// Version of the datagram format; datagrams of another version are dropped.
pub const EXCHANGE_VERSION: u8 = 5;

/// Largest datagram; with IP and UDP headers it fits the minimum IPv6 MTU of 1,280 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Version byte and kind byte.
const HEADER_BYTES: usize = 2;

/// Length of the authentication tag, a truncated keyed blake3 digest.
const TAG_BYTES: usize = 16;

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// No longer than a header and a tag, or longer than the limit.
    Length,
    /// The format version is not [`EXCHANGE_VERSION`].
    Version,
    /// The tag does not match the key, or the body is of another [`SealKind`].
    Forged,
    /// The tag matches but the body does not decode or has bytes left over.
    Malformed,
    /// The sequence number was seen before or is older than the replay window, or the datagram is
    /// from this process itself.
    Replayed,
}

impl DropReason {
    /// All reasons, in the order of the variants.
    pub const ALL: [Self; 5] = [
        Self::Length,
        Self::Version,
        Self::Forged,
        Self::Malformed,
        Self::Replayed,
    ];
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

/// Kind of a sealed body; the tag covers it, so that a body of one kind is not accepted as another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum SealKind {
    /// Datagram over UDP.
    Datagram = 1,
    /// Request over TCP.
    Call = 2,
    /// Answer over TCP.
    Answer = 3,
}

/// Body of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerDatagram {
    /// Random number that the sender chose at its start.
    pub boot: u64,
    /// Number of the datagram within the boot, from 1.
    pub sequence: u64,
    /// Messages in the order in which the receiver merges them.
    pub messages: Vec<PeerMessage>,
}

/// Encodes and authenticates bodies. The format is version byte, kind byte, postcard body, tag.
#[derive(Clone)]
pub struct PeerCodec {
    key: [u8; 32],
}

impl PeerCodec {
    /// Creates a codec; `key` is shared by all processes of the deployment.
    #[must_use]
    pub const fn new(key: [u8; 32]) -> Self {
        Self { key }
    }

    /// Encodes a body and appends its authentication tag.
    ///
    /// # Panics
    /// Never for the types of this crate: postcard fails only on types without
    /// a known length.
    ///
    /// ```
    /// use toucanring::core::view::{DropReason, PeerCodec, SealKind};
    ///
    /// let codec = PeerCodec::new([7; 32]);
    /// let mut bytes = codec.seal(SealKind::Call, &42_u64);
    /// assert_eq!(codec.open(SealKind::Call, &bytes, 1_200), Ok(42_u64));
    /// bytes[2] ^= 1;
    /// let opened = codec.open::<u64>(SealKind::Call, &bytes, 1_200);
    /// assert_eq!(opened, Err(DropReason::Forged));
    /// ```
    #[must_use]
    pub fn seal<T: Serialize>(&self, kind: SealKind, body: &T) -> Vec<u8> {
        let header = vec![EXCHANGE_VERSION, kind as u8];
        let bytes = postcard::to_extend(body, header);
        let mut bytes = bytes.expect("peer messages have known lengths");
        let tag = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        bytes
    }

    /// Authenticates and decodes a body; `limit` bounds its length in bytes with header and tag.
    ///
    /// # Errors
    /// Returns the reason for which the body must be dropped.
    pub fn open<T: DeserializeOwned>(
        &self,
        kind: SealKind,
        bytes: &[u8],
        limit: usize,
    ) -> Result<T, DropReason> {
        if bytes.len() <= HEADER_BYTES + TAG_BYTES || bytes.len() > limit {
            return Err(DropReason::Length);
        }
        let (tagged, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        if tagged[0] != EXCHANGE_VERSION {
            return Err(DropReason::Version);
        }
        let expected = blake3::keyed_hash(&self.key, tagged);
        // blake3 compares hashes in constant time.
        let mut full = *expected.as_bytes();
        full[..TAG_BYTES].copy_from_slice(tag);
        if tagged[1] != kind as u8 || expected != blake3::Hash::from_bytes(full) {
            return Err(DropReason::Forged);
        }
        let (body, rest) = postcard::take_from_bytes(&tagged[HEADER_BYTES..])
            .map_err(|_| DropReason::Malformed)?;
        if !rest.is_empty() {
            return Err(DropReason::Malformed);
        }
        Ok(body)
    }
}

impl fmt::Debug for PeerCodec {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerCodec")
    }
}

use fastcdc::v2020::FastCDC;

/// Smallest piece in bytes, but for the last one of a content.
const MIN_PIECE_BYTES: usize = 1_024;

/// Usual size of a piece in bytes. A change of one route replaces one or two pieces; the list of a
/// configuration of 3,000 routes takes about 3 kB.
const USUAL_PIECE_BYTES: usize = 4 * 1_024;

/// Largest piece in bytes.
const MAX_PIECE_BYTES: usize = 16 * 1_024;

/// Largest content in bytes.
pub const MAX_CONTENT_BYTES: usize = 8 * 1_024 * 1_024;

/// Largest number of pieces; as many smallest pieces make the largest content.
const MAX_PIECES: usize = MAX_CONTENT_BYTES / MIN_PIECE_BYTES;

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 16;

wire_type! {
    /// Name of a piece: the first half of its blake3 digest.
    #[derive(Copy, Eq, Hash)]
    pub struct PieceDigest([u8; DIGEST_BYTES]);

    /// A piece in the list of a content.
    #[derive(Copy, Eq)]
    pub struct PieceEntry {
        /// Digest of the bytes of the piece.
        pub digest: PieceDigest,
        /// Length of the piece in bytes.
        pub bytes: u32,
    }

    /// The pieces of one version of the configuration, in their order.
    #[derive(Eq, Default)]
    pub struct PieceList {
        /// Version of the configuration; 0 without any.
        pub version: u64,
        /// The pieces. The same one may occur more than once.
        pub entries: Vec<PieceEntry>,
    }
}

impl PieceDigest {
    /// Returns the digest of the bytes of a piece.
    #[must_use]
    pub fn of(piece: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&blake3::hash(piece).as_bytes()[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl PieceList {
    /// Cuts a content into pieces. The cuts depend on the bytes around them, so that a change of the
    /// content leaves the pieces before and after it as they are.
    ///
    /// ```
    /// use toucanring::core::transfer::PieceList;
    ///
    /// let text: String = (0..5_000).map(|number| format!("route {number};")).collect();
    /// let changed = text.replacen("route 2500;", "path 2500;", 1);
    /// let list = PieceList::split(1, text.as_bytes());
    /// let other = PieceList::split(2, changed.as_bytes());
    /// let is_new = |entry: &&_| !list.entries.contains(entry);
    /// assert!(other.entries.iter().filter(is_new).count() <= 2);
    /// ```
    #[must_use]
    pub fn split(version: u64, content: &[u8]) -> Self {
        let cuts = FastCDC::new(content, MIN_PIECE_BYTES, USUAL_PIECE_BYTES, MAX_PIECE_BYTES);
        let mut entries = Vec::with_capacity(content.len() / USUAL_PIECE_BYTES + 1);
        for cut in cuts {
            let piece = &content[cut.offset..cut.offset + cut.length];
            entries.push(PieceEntry {
                digest: PieceDigest::of(piece),
                bytes: u32::try_from(piece.len()).unwrap_or(u32::MAX),
            });
        }
        Self { version, entries }
    }

    /// Length of the whole content in bytes.
    #[must_use]
    pub fn content_bytes(&self) -> usize {
        let lengths = self.entries.iter().map(|entry| entry.bytes as usize);
        lengths.fold(0, usize::saturating_add)
    }

    /// True when the list keeps the bounds on the number and the sizes of pieces.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        let is_piece = |entry: &PieceEntry| (1..=MAX_PIECE_BYTES).contains(&(entry.bytes as usize));
        self.entries.len() <= MAX_PIECES
            && self.entries.iter().all(is_piece)
            && self.content_bytes() <= MAX_CONTENT_BYTES
    }
}

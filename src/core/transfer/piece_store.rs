use {
    super::{PieceDigest, PieceEntry, PieceList},
    bytes::{Bytes, BytesMut},
    lz4_flex::block::{compress, decompress},
    std::collections::{HashMap, HashSet},
};

/// Largest sum of the sizes of compressed pieces kept, in bytes, beyond which those of earlier versions are
/// dropped.
const MAX_HELD_BYTES: usize = 16 * 1_024 * 1_024;

/// The pieces of the configuration that a node uses, and those that it has of the one that it
/// fetches, compressed. Pieces stay when a transfer breaks off, and serve for later versions as well.
#[derive(Debug, Default)]
pub struct PieceStore {
    pieces: HashMap<PieceDigest, Bytes>,
    held_bytes: usize,
    current: PieceList,
    wanted: Option<PieceList>,
}

impl PieceStore {
    /// Sets the configuration that the node uses, as read from the store. Pieces of others that are
    /// not being fetched are dropped.
    pub fn publish(&mut self, version: u64, content: &[u8]) {
        self.current = PieceList::split(version, content);
        let mut rest = content;
        for entry in &self.current.entries {
            let (piece, after) = rest.split_at(entry.bytes as usize);
            rest = after;
            let packed = self.pieces.entry(entry.digest);
            packed.or_insert_with(|| Bytes::from(compress(piece)));
        }
        self.wanted.take_if(|wanted| wanted.version <= version);
        self.drop_unlisted();
    }

    /// Sets the fetched configuration as the one that the node uses; no effect while a piece of it is
    /// missing.
    pub fn publish_fetched(&mut self) {
        if !self.missing().is_empty() {
            return;
        }
        let Some(list) = self.wanted.take() else {
            return;
        };
        self.current = list;
        self.drop_unlisted();
    }

    /// The list of the configuration that the node uses; none unless it is newer than `above`.
    #[must_use]
    pub fn newer_list(&self, above: u64) -> Option<&PieceList> {
        Some(&self.current).filter(|list| list.version > above)
    }

    /// Returns a piece that the node has, compressed.
    #[must_use]
    pub fn piece(&self, digest: &PieceDigest) -> Option<&Bytes> {
        self.pieces.get(digest)
    }

    /// Sets the configuration that is to be fetched; false when its list exceeds a bound.
    pub fn want(&mut self, list: PieceList) -> bool {
        if !list.is_bounded() {
            return false;
        }
        self.wanted = Some(list);
        if self.held_bytes > MAX_HELD_BYTES {
            self.drop_unlisted();
        }
        true
    }

    fn drop_unlisted(&mut self) {
        let wanted = self.wanted.as_ref().map(|list| &list.entries);
        let entries = self.current.entries.iter();
        let listed: HashSet<PieceDigest> = entries
            .chain(wanted.into_iter().flatten())
            .map(|entry| entry.digest)
            .collect();
        self.pieces.retain(|digest, _| listed.contains(digest));
        self.held_bytes = self.pieces.values().map(Bytes::len).sum();
    }

    /// The pieces that are still missing from the wanted configuration, each once.
    #[must_use]
    pub fn missing(&self) -> Vec<PieceEntry> {
        let entries = self.wanted.iter().flat_map(|list| &list.entries);
        let mut seen = HashSet::new();
        let mut missing = Vec::new();
        for entry in entries {
            if self.pieces.contains_key(&entry.digest) || !seen.insert(entry.digest) {
                continue;
            }
            missing.push(*entry);
        }
        missing
    }

    /// Adds a compressed piece; false when it is not `expected`, the piece that was asked for.
    pub fn add(&mut self, expected: &PieceEntry, packed: Bytes) -> bool {
        let Ok(piece) = decompress(&packed, expected.bytes as usize) else {
            return false;
        };
        if piece.len() != expected.bytes as usize || PieceDigest::of(&piece) != expected.digest {
            return false;
        }
        self.held_bytes += packed.len();
        self.pieces.insert(expected.digest, packed);
        true
    }

    /// Puts the wanted configuration together; none while a piece is missing.
    ///
    /// ```
    /// use {
    ///     bytes::Bytes,
    ///     toucanring::core::transfer::{PieceList, PieceStore},
    /// };
    ///
    /// let content = Bytes::from("configuration ".repeat(1_000));
    /// let (mut here, mut there) = (PieceStore::default(), PieceStore::default());
    /// there.publish(7, &content);
    /// here.want(there.newer_list(0).unwrap().clone());
    /// assert_eq!(here.assemble(), None);
    /// for entry in here.missing() {
    ///     let piece = there.piece(&entry.digest).unwrap().clone();
    ///     assert!(here.add(&entry, piece));
    /// }
    /// assert_eq!(here.assemble(), Some((7, content)));
    /// ```
    #[must_use]
    pub fn assemble(&self) -> Option<(u64, Bytes)> {
        let list = self.wanted.as_ref()?;
        let mut content = BytesMut::with_capacity(list.content_bytes());
        for entry in &list.entries {
            let packed = self.pieces.get(&entry.digest)?;
            // Pieces are checked before they are kept.
            let piece = decompress(packed, entry.bytes as usize).ok()?;
            content.extend_from_slice(&piece);
        }
        Some((list.version, content.freeze()))
    }
}

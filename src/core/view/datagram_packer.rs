use {super::MAX_DATAGRAM_BYTES, crate::wire::PeerMessage};

/// Upper bound for the header, boot id, sequence number, message count and tag of a datagram.
const OVERHEAD_BYTES: usize = 48;

/// Packs messages, in order, into datagrams of at most [`MAX_DATAGRAM_BYTES`].
#[derive(Debug, Default)]
pub struct DatagramPacker {
    full: Vec<Vec<PeerMessage>>,
    open: Vec<PeerMessage>,
    open_bytes: usize,
}

impl DatagramPacker {
    /// Adds a message; returns false and leaves it out when it is too large for any datagram.
    pub fn push(&mut self, message: PeerMessage) -> bool {
        let limit = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES;
        let size = postcard::experimental::serialized_size(&message).unwrap_or(usize::MAX);
        if size > limit {
            return false;
        }
        if self.open_bytes + size > limit {
            self.full.push(std::mem::take(&mut self.open));
            self.open_bytes = 0;
        }
        self.open_bytes += size;
        self.open.push(message);
        true
    }

    /// Returns the messages of each datagram; empty when nothing was added.
    #[must_use]
    pub fn finish(mut self) -> Vec<Vec<PeerMessage>> {
        if !self.open.is_empty() {
            self.full.push(self.open);
        }
        self.full
    }
}

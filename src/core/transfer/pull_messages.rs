use {
    super::{PieceDigest, PieceList},
    crate::core::{fleet::BackendEntry, store::StoreVersion},
    bytes::Bytes,
};

wire_type! {
    /// Request over TCP for what the requesting node does not know yet. A connection carries any
    /// number of them, one after another.
    pub enum PullRequest {
        /// The pieces of the configuration that the answering node uses.
        List {
            /// Version that the requesting node uses; 0 without any.
            above: u64,
        },
        /// Pieces of the configuration.
        Pieces {
            /// Digests of the pieces, in the order in which they are to be sent.
            digests: Vec<PieceDigest>,
            /// Bytes before compression that the requesting node still misses, with these pieces.
            missing_bytes: u64,
        },
        /// The list of backend servers.
        Servers,
    }

    /// Answer to a [`PullRequest`].
    pub enum PullAnswer {
        /// The list of pieces; none when the answering node has no newer version.
        List(Option<PieceList>),
        /// The first of the requested pieces, compressed, up to one that the answering node lacks or
        /// that would exceed the size of an answer.
        Pieces(Vec<Bytes>),
        /// The answering node sends large contents to others at present.
        Busy,
        /// The list of backend servers.
        Servers {
            /// Version up to which the list is complete.
            version: StoreVersion,
            /// The entries, each with the version of its row.
            entries: Vec<(StoreVersion, BackendEntry)>,
        },
    }
}

use {super::BodyKey, smallvec::SmallVec};

value_type! {
    /// Decision about bytes that a body needs.
    #[derive(Eq)]
    pub enum IntakeVerdict {
        /// The bytes are reserved. These unfinished bodies are dropped for them and no longer
        /// count; their memory must be freed before the new bytes are kept.
        Granted(SmallVec<[BodyKey; 4]>),
        /// There is no room, and no other body is to be dropped in favour of this one, which no
        /// longer counts.
        NoRoom,
        /// The body was dropped before, in favour of another one.
        Dropped,
    }
}

use {super::CrashSubject, smallvec::SmallVec, std::time::Duration};

/// Subjects of one request: the parts of its prompt, in their order, and itself.
pub type SubjectList = SmallVec<[CrashSubject; 4]>;

value_type! {
    /// Whether a request may be sent to a server.
    #[derive(Copy, Eq)]
    pub enum CrashVerdict {
        /// No crash speaks against the request and its parts.
        Unsuspected,
        /// A server crashed while a request with this subject waited there. It may be sent: the
        /// requests beside the one that crashes servers are under the same suspicion.
        Suspected(CrashSubject),
        /// The request must not be sent to any server.
        Blocked(BlockedSubject),
    }

    /// A subject that crashes servers and is sent to none.
    #[derive(Copy, Eq)]
    pub struct BlockedSubject {
        /// The request or part of a prompt.
        pub subject: CrashSubject,
        /// Time at which the block ends.
        pub until: Duration,
        /// Crashes known.
        pub crashes: usize,
        /// Number of blocks so far, this one included.
        pub blocks: u8,
    }

    /// A subject that was proven sound after crashes had spoken against it.
    #[derive(Copy, Eq)]
    pub struct ClearedSubject {
        /// The request or part of a prompt.
        pub subject: CrashSubject,
        /// Crashes that no longer count.
        pub crashes: usize,
    }

    /// Why a block has ended.
    #[derive(Copy, Eq)]
    pub enum BlockEnd {
        /// Its time was over.
        Expired,
        /// A first event proved the subject sound.
        ProvenSound,
        /// Another subject accounts for the crashes.
        OtherSubject,
    }

    /// Changes made by a step of the tracker.
    #[derive(Default)]
    pub struct EvidenceChanges {
        /// Subjects whose block has begun.
        pub blocked: Vec<BlockedSubject>,
        /// Subjects whose block has ended.
        pub ended: Vec<(CrashSubject, BlockEnd)>,
        /// Subjects against which crashes spoke until a first event.
        pub cleared: Vec<ClearedSubject>,
    }
}

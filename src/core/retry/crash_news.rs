wire_type! {
    /// What may crash the servers that begin to answer a request: the request itself or a part of
    /// its prompt.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum CrashSubject {
        /// A part of the prompt that other requests share, by its identifier.
        PromptPart(u64),
        /// The whole request: a hash of account, method, path and body, equal for repetitions.
        Request(u64),
    }

    /// A crash as other nodes are told of it.
    #[derive(Copy, Eq)]
    pub struct ReportedCrash {
        /// Hash of the identifier and the start time of the server.
        pub server: u32,
        /// Hash of the request that waited.
        pub request: u32,
        /// Time since the crash in milliseconds; nodes have no common clock.
        pub age_ms: u32,
    }

    /// The crashes that speak against a subject.
    #[derive(Eq)]
    pub struct CrashReport {
        /// The suspected subject.
        pub subject: CrashSubject,
        /// Highest position of the subject in a prompt, counted from 1.
        pub depth: u8,
        /// Number of blocks of the subject so far.
        pub blocks: u8,
        /// The crashes, or as many as fit.
        pub crashes: Vec<ReportedCrash>,
    }

    /// A subject whose request received a first event, which clears it of earlier crashes.
    #[derive(Copy, Eq)]
    pub struct SoundReport {
        /// The cleared subject.
        pub subject: CrashSubject,
        /// Time since that event in milliseconds.
        pub age_ms: u32,
    }

    /// Evidence that a node tells the others.
    #[derive(Eq, Default)]
    pub struct CrashNews {
        /// Suspected and blocked subjects.
        pub crashes: Vec<CrashReport>,
        /// Cleared subjects.
        pub sound: Vec<SoundReport>,
    }
}

impl CrashNews {
    /// True when there is nothing to tell.
    ///
    /// ```
    /// assert!(toucanring::core::retry::CrashNews::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty()
    }
}

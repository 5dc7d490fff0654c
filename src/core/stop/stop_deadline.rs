use std::time::Duration;

/// Part of the grace that is kept free of answers: the signal may be noticed late on a slow machine,
/// and error responses have to be written before the process ends.
const ANSWER_RESERVE: Duration = Duration::from_millis(400);

/// Time after the last answers for writing error responses, before the process ends.
const LAST_WRITES: Duration = Duration::from_millis(100);

/// Time for writing a response to its caller.
const WRITE_TIME: Duration = Duration::from_millis(50);

/// Shortest time that a request is taken to need, also when earlier ones needed less: a connection
/// to a server may have to be opened on a busy machine.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(100);

value_type! {
    /// How long an attempt may take.
    #[derive(Copy, Eq)]
    pub struct AttemptOutlook {
        /// Time until the whole response is expected.
        pub expected: Duration,
        /// Time until the caller no longer waits and gets an error response; no attempt lasts
        /// longer.
        pub longest: Duration,
    }

    /// What a stopping node does with an attempt.
    #[derive(Copy, Eq)]
    pub enum StopVerdict {
        /// The attempt is sent; it is expected to end in time.
        Serve,
        /// The attempt is not sent: it would be cut off by the end of the process.
        Refuse,
    }

    /// Time limits of a planned stop, on the clock of the node.
    #[derive(Copy, Eq)]
    pub struct StopDeadline {
        /// Time until which responses have to be complete.
        pub answers_until: Duration,
        /// Time at which the process ends at the latest.
        pub process_until: Duration,
    }
}

impl AttemptOutlook {
    /// Time that the attempt has to be given, with that for writing its response.
    fn needed(&self) -> Duration {
        self.expected.max(MIN_ATTEMPT_TIME).min(self.longest) + WRITE_TIME
    }
}

impl StopDeadline {
    /// Limits of a stop that began at `started` and has `grace` until the process is killed.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::stop::StopDeadline};
    ///
    /// let started = Duration::from_secs(100);
    /// let deadline = StopDeadline::after(started, Duration::from_secs(8));
    /// assert!(deadline.answers_until < deadline.process_until);
    /// assert!(deadline.process_until < started + Duration::from_secs(8));
    /// ```
    #[must_use]
    pub fn after(started: Duration, grace: Duration) -> Self {
        let answers_until = started + grace.saturating_sub(ANSWER_RESERVE);
        Self {
            answers_until,
            process_until: answers_until + LAST_WRITES,
        }
    }

    /// Last time at which an attempt may be sent.
    #[must_use]
    pub fn latest_start(&self, outlook: &AttemptOutlook) -> Duration {
        self.answers_until.saturating_sub(outlook.needed())
    }

    /// Last time at which an attempt of the shortest kind may be sent. A request whose body is still
    /// incomplete then can no longer be served.
    #[must_use]
    pub fn last_start(&self) -> Duration {
        self.latest_start(&AttemptOutlook {
            expected: Duration::ZERO,
            longest: MIN_ATTEMPT_TIME,
        })
    }

    /// Decides about an attempt that would be sent at `now`.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::stop::{AttemptOutlook, StopDeadline, StopVerdict},
    /// };
    ///
    /// let deadline = StopDeadline::after(Duration::ZERO, Duration::from_secs(8));
    /// let outlook = AttemptOutlook {
    ///     expected: Duration::from_secs(2),
    ///     longest: Duration::from_secs(30),
    /// };
    /// assert_eq!(deadline.decide(Duration::from_secs(5), &outlook), StopVerdict::Serve);
    /// assert_eq!(deadline.decide(Duration::from_secs(6), &outlook), StopVerdict::Refuse);
    /// ```
    #[must_use]
    pub fn decide(&self, now: Duration, outlook: &AttemptOutlook) -> StopVerdict {
        if now <= self.latest_start(outlook) {
            StopVerdict::Serve
        } else {
            StopVerdict::Refuse
        }
    }
}

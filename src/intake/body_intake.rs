use {
    super::{BodyLease, IntakeFault, KeptBody, Result, body_segments::BodySegments},
    crate::core::intake::{BodyKey, BodyLedger, IntakeLimits, IntakeVerdict},
    slotmap::SecondaryMap,
    smallvec::SmallVec,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, Semaphore},
        time::Instant,
    },
};

/// Bodies that are read on after their rejection at a time, so that their callers get the response.
/// The connections of others are closed at once.
const MAX_DISCARDED_BODIES: usize = 32;

/// Time between two log lines about rejected bodies of the same fault.
const LOG_INTERVAL: Duration = Duration::from_mins(1);

/// The bytes that a process keeps of the requests of its callers.
#[derive(Debug)]
pub struct BodyIntake {
    started: Instant,
    state: Mutex<IntakeState>,
    pub(super) discard_permits: Arc<Semaphore>,
    /// Times of the last log lines about rejected bodies, by fault.
    logged: Mutex<SmallVec<[(IntakeFault, Instant); 8]>>,
}

#[derive(Debug)]
struct IntakeState {
    ledger: BodyLedger,
    /// The bodies that are being read.
    unfinished: SecondaryMap<BodyKey, UnfinishedBody>,
}

#[derive(Debug)]
struct UnfinishedBody {
    segments: BodySegments,
    /// Bytes that count beside those of the body.
    head_bytes: usize,
    /// Notified when the body is dropped in favour of another one.
    dropped: Arc<Notify>,
}

impl BodyIntake {
    /// Creates an intake that keeps nothing yet.
    ///
    /// ```
    /// use toucanring::{core::intake::IntakeLimits, intake::BodyIntake};
    ///
    /// let intake = BodyIntake::new(IntakeLimits::for_memory(Some(160), None));
    /// assert_eq!(intake.held_bytes(), 0);
    /// ```
    #[must_use]
    pub fn new(limits: IntakeLimits) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            state: Mutex::new(IntakeState {
                ledger: BodyLedger::new(limits),
                unfinished: SecondaryMap::new(),
            }),
            discard_permits: Arc::new(Semaphore::new(MAX_DISCARDED_BODIES)),
            logged: Mutex::default(),
        })
    }

    /// Bytes that are kept of all requests at present.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.lock().ledger.held_bytes()
    }

    /// Number of requests of which bytes are kept at present.
    #[must_use]
    pub fn bodies(&self) -> usize {
        self.lock().ledger.bodies()
    }

    /// True when a rejected body is to be logged: once a minute for each fault, and never for bodies
    /// that their callers cut off.
    #[must_use]
    pub fn is_log_due(&self, fault: IntakeFault) -> bool {
        if fault == IntakeFault::CutOff {
            return false;
        }
        let now = Instant::now();
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        let Some((_, last)) = logged.iter_mut().find(|(other, _)| *other == fault) else {
            logged.push((fault, now));
            return true;
        };
        if now.duration_since(*last) < LOG_INTERVAL {
            return false;
        }
        *last = now;
        true
    }

    /// Begins a request whose head has `head_bytes`. The notification tells that its body is
    /// dropped.
    pub(super) fn begin(
        self: &Arc<Self>,
        account: Option<u64>,
        head_bytes: usize,
    ) -> Result<(Arc<BodyLease>, Arc<Notify>)> {
        let now = self.now();
        let dropped = Arc::new(Notify::new());
        let mut state = self.lock();
        let key = state.ledger.begin(now, account);
        let body = UnfinishedBody {
            segments: BodySegments::default(),
            head_bytes,
            dropped: Arc::clone(&dropped),
        };
        state.unfinished.insert(key, body);
        let reserved = state.reserve(now, key, head_bytes);
        drop(state);
        let lease = BodyLease {
            intake: Arc::clone(self),
            key,
        };
        reserved.map(|()| (Arc::new(lease), dropped))
    }

    /// Reserves room for the next bytes of a body of which at most `left` bytes are to come.
    pub(super) fn make_room(&self, key: BodyKey, left: usize) -> Result<()> {
        self.lock().make_room(self.now(), key, left)
    }

    /// Keeps bytes of a body that may be `limit` bytes long.
    pub(super) fn append(&self, key: BodyKey, mut bytes: &[u8], limit: usize) -> Result<()> {
        let now = self.now();
        let mut state = self.lock();
        state.ledger.note_arrival(now, key, bytes.len());
        while !bytes.is_empty() {
            let left = limit.saturating_sub(state.length(key)?);
            if bytes.len() > left {
                return Err(IntakeFault::TooLarge);
            }
            state.make_room(now, key, left)?;
            let body = state.unfinished.get_mut(key);
            let count = body.ok_or(IntakeFault::Dropped)?.segments.append(bytes);
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Joins a body whose last byte has arrived.
    pub(super) fn finish(&self, lease: Arc<BodyLease>) -> Result<KeptBody> {
        let mut state = self.lock();
        let body = state.unfinished.remove(lease.key);
        let body = body.ok_or(IntakeFault::Dropped)?;
        let length = body.segments.len();
        // The joined bytes and the segments exist together for a moment, of one body at a time.
        let joined = body.segments.join();
        state.ledger.finish(lease.key, body.head_bytes + length);
        drop(state);
        Ok(KeptBody::new(joined, lease))
    }

    /// Frees what is kept of a request.
    pub(super) fn end(&self, key: BodyKey) {
        let mut state = self.lock();
        state.unfinished.remove(key);
        state.ledger.end(key);
    }

    /// Time without a byte of a body; none when it was dropped.
    pub(super) fn idle_time(&self, key: BodyKey) -> Option<Duration> {
        let last_byte = self.lock().ledger.last_byte(key)?;
        Some(self.now().saturating_sub(last_byte))
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, IntakeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IntakeState {
    fn length(&self, key: BodyKey) -> Result<usize> {
        let body = self.unfinished.get(key).ok_or(IntakeFault::Dropped)?;
        Ok(body.segments.len())
    }

    fn make_room(&mut self, now: Duration, key: BodyKey, left: usize) -> Result<()> {
        let body = self.unfinished.get(key).ok_or(IntakeFault::Dropped)?;
        if body.segments.room() > 0 || left == 0 {
            return Ok(());
        }
        let size = body.segments.next_size(left);
        self.reserve(now, key, size)?;
        let body = self.unfinished.get_mut(key).ok_or(IntakeFault::Dropped)?;
        body.segments.add_segment(size);
        Ok(())
    }

    fn reserve(&mut self, now: Duration, key: BodyKey, bytes: usize) -> Result<()> {
        match self.ledger.reserve(now, key, bytes) {
            IntakeVerdict::Granted(victims) => {
                for victim in victims {
                    if let Some(body) = self.unfinished.remove(victim) {
                        body.dropped.notify_one();
                    }
                }
                Ok(())
            }
            IntakeVerdict::NoRoom => {
                self.unfinished.remove(key);
                Err(IntakeFault::NoRoom)
            }
            IntakeVerdict::Dropped => Err(IntakeFault::Dropped),
        }
    }
}

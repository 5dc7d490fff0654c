use {
    super::PlatformClient,
    crate::core::burn::{
        FinishedRequest, GroupGauge, LedgerAction, LedgerEvent, LedgerSettings, MinuteLedger,
    },
    slog::{Logger, warn},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{MissedTickBehavior, interval, sleep, timeout},
    },
};

/// Time between two checks for minutes that have ended.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that [`MinuteWriter::close`] spends on writes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two attempts to write the remaining minutes while closing.
const CLOSE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Counts finished requests and group gauges, and stores each minute after its end.
///
/// Clones share one ledger. The task that writes ends when the last clone is dropped, or with
/// [`MinuteWriter::close`].
///
/// ```
/// use std::time::Duration;
/// use toucanring::{
///     adapters::{MinuteWriter, PlatformClient},
///     core::burn::{FinishedRequest, RequestOutcome},
/// };
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let logger = slog::Logger::root(slog::Discard, slog::o!());
/// let address = "127.0.0.1:1".parse().unwrap();
/// let platform = PlatformClient::new(address, "val-isarco", Duration::from_millis(100));
/// let writer = MinuteWriter::start(platform, "gateway-1", 77, &logger);
/// writer.note(FinishedRequest {
///     service: "chat".into(),
///     account: "foundry".into(),
///     kind: "note".into(),
///     weight: 1.0,
///     outcome: RequestOutcome::Completed,
/// });
/// // No platform answers here, so the open minute is lost.
/// assert_eq!(writer.close().await, 1);
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct MinuteWriter {
    shared: Arc<SharedLedger>,
    closing: mpsc::Sender<oneshot::Sender<usize>>,
}

#[derive(Debug)]
struct SharedLedger {
    ledger: Mutex<MinuteLedger>,
    started: Instant,
}

impl SharedLedger {
    fn step(&self, event: LedgerEvent) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock, so that it never decreases for the ledger.
        ledger.step(self.started.elapsed(), event, &mut actions);
        actions
    }

    fn pending_minutes(&self) -> usize {
        let ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.pending_minutes()
    }
}

impl MinuteWriter {
    /// Starts counting for the process with this name and boot number, which are part of the key of
    /// each stored minute. Must be called inside a tokio runtime.
    #[must_use]
    pub fn start(platform: PlatformClient, process: &str, boot: u64, logger: &Logger) -> Self {
        let wall_origin = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let settings = LedgerSettings::new(process, boot, wall_origin);
        let shared = Arc::new(SharedLedger {
            ledger: Mutex::new(MinuteLedger::new(settings)),
            started: Instant::now(),
        });
        let (closing, requests) = mpsc::channel(1);
        let task = WriterTask {
            shared: Arc::clone(&shared),
            platform,
            logger: logger.clone(),
        };
        tokio::spawn(task.run(requests));
        Self { shared, closing }
    }

    /// Counts a finished request; to be called once for each request, when its outcome is known.
    pub fn note(&self, request: FinishedRequest) {
        self.shared.step(LedgerEvent::Finished(request));
    }

    /// Replaces the gauge of missing groups and stranded accelerators. The lease holder calls this
    /// at least every 2 s, and once with an empty gauge when it loses the lease. A gauge counts for
    /// at most 5 s.
    pub fn gauge(&self, gauge: GroupGauge) {
        self.shared.step(LedgerEvent::Gauge(gauge));
    }

    /// Seals the open minute and stores the pending minutes, within 3 s. Returns the number of
    /// minutes that could not be stored. Later counts are ignored.
    pub async fn close(&self) -> usize {
        let (sender, receiver) = oneshot::channel();
        if self.closing.send(sender).await.is_err() {
            return self.shared.pending_minutes();
        }
        receiver
            .await
            .unwrap_or_else(|_| self.shared.pending_minutes())
    }
}

/// State of the task that carries out the writes.
struct WriterTask {
    shared: Arc<SharedLedger>,
    platform: PlatformClient,
    logger: Logger,
}

impl WriterTask {
    async fn run(self, mut closing: mpsc::Receiver<oneshot::Sender<usize>>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle_event(LedgerEvent::Tick).await,
                request = closing.recv() => {
                    if let Some(reply) = request {
                        self.finish(reply).await;
                    }
                    return;
                }
            }
        }
    }

    async fn finish(&self, reply: oneshot::Sender<usize>) {
        let writes = async {
            self.handle_event(LedgerEvent::Stop).await;
            while self.shared.pending_minutes() > 0 {
                sleep(CLOSE_RETRY_INTERVAL).await;
                self.handle_event(LedgerEvent::Tick).await;
            }
        };
        if timeout(CLOSE_TIMEOUT, writes).await.is_err() {
            warn!(
                self.logger,
                "gave up storing the last service-level minutes: time limit reached"
            );
        }
        // Fails if the future of `close` was dropped.
        let _ = reply.send(self.shared.pending_minutes());
    }

    /// Passes an event to the ledger and carries out the writes that follow from it.
    async fn handle_event(&self, event: LedgerEvent) {
        let mut actions = self.shared.step(event);
        while let Some(LedgerAction::Write { minute, key, body }) = actions.pop() {
            let event = match self.platform.write_object(&key, body).await {
                Ok(()) => LedgerEvent::Written(minute),
                Err(report) => {
                    warn!(self.logger, "failed to store a service-level minute; retrying later";
                        "key" => &key, "error" => report.to_string());
                    LedgerEvent::Unclear(minute)
                }
            };
            actions.extend(self.shared.step(event));
        }
    }
}

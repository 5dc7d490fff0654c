use std::time::Duration;

/// One request that crashes each server which runs it, and that its caller repeats.
#[derive(Debug, Clone)]
pub struct RepeatedRequest {
    /// Visits one after the other, each as soon as the one before it was answered.
    pub visits: u32,
    /// Callers that come at the same moment.
    pub copies: u32,
    /// Time from one round of visits to the next.
    pub pause: Duration,
    /// Time from the arrival at a server to its crash.
    pub run: Duration,
    /// True when the request was sound at all gateways until shortly before.
    pub was_sound: bool,
    /// True when each caller has another request, and only a part of the prompt is the same.
    pub is_part: bool,
}

/// Load pattern and faults of a run.
#[derive(Debug, Clone)]
pub struct CrashLoad {
    pub gateways: usize,
    pub servers: usize,
    /// Requests a second, over all gateways.
    pub rate: f64,
    /// Number of first parts, of which the sound and the deadly requests use the same ones.
    pub parts: u64,
    /// Share of the requests that have a deadly part.
    pub deadly_share: f64,
    /// Deadly parts, used in turn.
    pub deadly_parts: u64,
    /// True when a deadly request is one request that its callers repeat, without a deadly part.
    pub whole_request: bool,
    /// A request that crashes servers beside the others; none without it.
    pub repeated: Option<RepeatedRequest>,
    /// Times at which all gateways start anew, one after the other within a second.
    pub rolled_at: Option<Duration>,
    /// Time between crashes that no request causes; none without them.
    pub crash_interval: Option<Duration>,
    /// Share of the servers that break off in the same moment at each of these crashes.
    pub crash_share: f64,
    /// Time over which the servers break off at each of these crashes.
    pub crash_spread: Duration,
    /// Number of different sound requests, which come again and again; none when all differ.
    pub sound_requests: Option<u64>,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// False when gateways ignore the tracker, as before it existed.
    pub tracked: bool,
    /// Time from which to which deadly requests come, and end of the run.
    pub deadly: (Duration, Duration),
    pub end: Duration,
    pub seed: u64,
}

impl Default for CrashLoad {
    fn default() -> Self {
        Self {
            gateways: 6,
            servers: 12,
            rate: 36.0,
            parts: 60,
            deadly_share: 0.05,
            deadly_parts: 1,
            whole_request: false,
            repeated: None,
            rolled_at: None,
            crash_interval: None,
            crash_share: 0.0,
            crash_spread: Duration::ZERO,
            sound_requests: None,
            loss: 0.02,
            tracked: true,
            deadly: (Duration::from_secs(4), Duration::from_secs(26)),
            end: Duration::from_secs(30),
            seed: 1,
        }
    }
}

/// What a run has shown.
#[derive(Debug, Default, Clone)]
pub struct CrashCounts {
    /// Crashes by requests.
    pub crashes: usize,
    /// Deadly requests sent to a server in all.
    pub deadly_sends: usize,
    /// Deadly requests sent later than [`super::SETTLING`] after the fifth crash by their part, or the
    /// third by a whole request; those of the part with most.
    pub late_sends: usize,
    /// Time from that crash to the last send.
    pub last_send_after: Duration,
    pub sound_arrivals: usize,
    pub sound_served: usize,
    /// Sound requests refused because they or a part of theirs were blocked.
    pub sound_refused: usize,
    /// Datagrams sent by all gateways.
    pub datagrams: usize,
}

use {
    crate::{
        backend::{ChatRequest, answer_digest, answer_text},
        deploy::{ACCOUNT_KEY, CallerCall, CallerClient, Deployment, chat_call, event_data},
    },
    http_body_util::BodyExt,
    hyper::{Response, StatusCode, body::Incoming},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// One request in this many is a booking; the others are chat completions.
const REQUESTS_PER_BOOKING: u64 = 4;

/// How often a booking is sent at most, while its outcome is unknown.
const MAX_SENDS: u32 = 4;

/// Time after which a caller gives up; the call then counts as broken.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Results that the callers observed. Each send of a booking that gets no whole answer counts under
/// its own result.
#[derive(Debug, Clone, Default)]
pub struct LoadCounts {
    /// Requests sent; a booking that is sent again counts once.
    pub sent: u64,
    /// Requests answered completely, correctly or not.
    pub completed: u64,
    /// Answers, or delivered parts of one, that differ from the expected answer.
    pub wrong_answers: u64,
    /// Streams that ended without a broken connection, and without final marker or error.
    pub silently_cut: u64,
    /// Refusals and streams that ended with an error whose `execution` is not `not_run`.
    pub ended_with_error: u64,
    /// Calls whose connection broke or that timed out.
    pub broken_connections: u64,
    /// `Idempotency-Key` of each booking that was refused as `not_run`, at its first or a later
    /// send.
    pub not_run_keys: Vec<String>,
    /// Answer digest of each chat completion that was refused as `not_run`.
    pub not_run_digests: Vec<u64>,
}

/// State that the callers of a run share.
#[derive(Debug)]
pub struct LoadState {
    /// Addresses of the gateways; the fault injection replaces them after a restart.
    pub gateways: Mutex<Vec<SocketAddr>>,
    client: CallerClient,
    /// Number of the next request to start.
    next: AtomicU64,
    /// Number of requests in the run.
    requests: u64,
    seed: u64,
    counts: Mutex<LoadCounts>,
}

/// Result of one call, as its caller sees it.
enum CallResult {
    /// The whole answer.
    Whole(String),
    /// Value of `execution` in the error, `missing` if it has none, and the part of the answer that
    /// was delivered before.
    Refused(String, String),
    /// Delivered part of a stream that ended without final marker or error.
    Cut(String),
    /// Delivered part of a call whose connection broke.
    Broken(String),
}

impl LoadState {
    /// Creates the state of a run that sends `requests` requests. The callers draw sizes,
    /// gateways, timeouts and pauses at random, each from a generator that depends on the seed.
    #[must_use]
    pub fn new(deployment: &Deployment, requests: u64, seed: u64) -> Self {
        let gateways = deployment.gateways.iter().map(|node| node.address);
        Self {
            gateways: Mutex::new(gateways.collect()),
            client: CallerClient::default(),
            next: AtomicU64::new(0),
            requests,
            seed,
            counts: Mutex::default(),
        }
    }

    /// Returns whether all requests have been started; some may still be open.
    #[must_use]
    pub fn all_started(&self) -> bool {
        self.next.load(Ordering::Relaxed) >= self.requests
    }

    /// Returns the results observed so far.
    #[must_use]
    pub fn counts(&self) -> LoadCounts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, LoadCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends requests one after the other until the callers together have started all of them.
    pub async fn call_until_done(&self, caller: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed * 1_000 + caller);
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.requests {
                return;
            }
            self.lock().sent += 1;
            if number.is_multiple_of(REQUESTS_PER_BOOKING) {
                self.send_booking(number, &mut rng).await;
            } else {
                self.send_chat(number, &mut rng).await;
            }
            let pause = rng.random_range(0..60);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Address of a random gateway.
    fn random_gateway(&self, rng: &mut ChaCha8Rng) -> SocketAddr {
        let gateways = self.gateways.lock().unwrap_or_else(PoisonError::into_inner);
        gateways[rng.random_range(0..gateways.len())]
    }

    /// Sends a chat completion, once.
    async fn send_chat(&self, number: u64, rng: &mut ChaCha8Rng) {
        let prompt = format!("request {number} of run {}", self.seed);
        let tokens = rng.random_range(1..24);
        let streamed = rng.random_range(0..3) > 0;
        let call = with_random_timeout(chat_call(&prompt, tokens, streamed), rng);
        let request = ChatRequest {
            model: "chat".to_owned(),
            messages: json!([{"role": "user", "content": prompt}]),
            max_tokens: tokens,
            stream: streamed,
        };
        let expected = answer_text(&request);
        let result = self.send(self.random_gateway(rng), call).await;
        let mut counts = self.lock();
        let part = match &result {
            CallResult::Whole(text) => {
                counts.completed += 1;
                counts.wrong_answers += u64::from(*text != expected);
                return;
            }
            CallResult::Refused(execution, part) => {
                if execution == "not_run" {
                    counts.not_run_digests.push(answer_digest(&request));
                } else {
                    counts.ended_with_error += 1;
                }
                part
            }
            CallResult::Cut(part) => {
                counts.silently_cut += 1;
                part
            }
            CallResult::Broken(part) => {
                counts.broken_connections += 1;
                part
            }
        };
        // The delivered part must be a prefix of the expected answer.
        counts.wrong_answers += u64::from(!expected.starts_with(part.as_str()));
    }

    /// Sends a booking, again with the same key when its outcome is unknown.
    async fn send_booking(&self, number: u64, rng: &mut ChaCha8Rng) {
        let key = format!("booking-{}-{number}", self.seed);
        for _ in 0..MAX_SENDS {
            let body = format!(r#"{{"number":{number}}}"#);
            let call = CallerCall::post("/services/ledger/bookings", body.clone())
                .header("Idempotency-Key", &key)
                .header("Request-Kind", "booking");
            let call = with_random_timeout(call, rng);
            let result = self.send(self.random_gateway(rng), call).await;
            let mut counts = self.lock();
            match result {
                CallResult::Whole(text) => {
                    counts.completed += 1;
                    let answer: Value = serde_json::from_str(&text).unwrap_or_default();
                    counts.wrong_answers += u64::from(answer["body"] != body);
                    return;
                }
                CallResult::Refused(execution, _) if execution == "not_run" => {
                    counts.not_run_keys.push(key);
                    return;
                }
                CallResult::Refused(..) => counts.ended_with_error += 1,
                CallResult::Cut(_) => counts.silently_cut += 1,
                CallResult::Broken(_) => counts.broken_connections += 1,
            }
        }
    }

    async fn send(&self, gateway: SocketAddr, call: CallerCall) -> CallResult {
        let call = call.header("Authorization", &format!("Bearer {ACCOUNT_KEY}"));
        let exchange = async {
            match self.client.open(gateway, call).await {
                Ok(response) => read_response(response).await,
                Err(_) => CallResult::Broken(String::new()),
            }
        };
        let result = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
        result.unwrap_or_else(|_| CallResult::Broken(String::new()))
    }
}

/// Gives one call in eight a timeout so short that it often misses it under faults.
fn with_random_timeout(call: CallerCall, rng: &mut ChaCha8Rng) -> CallerCall {
    if rng.random_range(0..8) > 0 {
        return call;
    }
    let timeout_ms: u32 = rng.random_range(5..300);
    call.header("Request-Timeout-Ms", &timeout_ms.to_string())
}

/// Reads the response to its end.
async fn read_response(response: Response<Incoming>) -> CallResult {
    let (parts, mut body) = response.into_parts();
    let streamed = parts
        .headers
        .get("content-type")
        .is_some_and(|value| value == "text/event-stream");
    let mut bytes = Vec::new();
    let mut broken = false;
    while let Some(frame) = body.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                broken = true;
                break;
            }
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if streamed {
        return read_events(&text, broken);
    }
    if broken {
        return CallResult::Broken(String::new());
    }
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    if parts.status != StatusCode::OK {
        let execution = value["execution"].as_str().unwrap_or("missing");
        return CallResult::Refused(execution.to_owned(), String::new());
    }
    match value["choices"][0]["message"]["content"].as_str() {
        Some(content) => CallResult::Whole(content.to_owned()),
        None => CallResult::Whole(text),
    }
}

/// Reads the events of a stream; `broken` tells that its connection broke.
fn read_events(text: &str, broken: bool) -> CallResult {
    let mut content = String::new();
    for event in text.split("\n\n") {
        if event.starts_with("event: error") {
            let problem = event_data(event).unwrap_or_default();
            let execution = problem["execution"].as_str().unwrap_or("missing");
            return CallResult::Refused(execution.to_owned(), content);
        }
        if event == "data: [DONE]" {
            return CallResult::Whole(content);
        }
        if let Some(data) = event_data(event) {
            let part = data["choices"][0]["delta"]["content"].as_str();
            content.push_str(part.unwrap_or_default());
        }
    }
    if broken {
        CallResult::Broken(content)
    } else {
        CallResult::Cut(content)
    }
}

use {
    super::{
        BackendFleet, BackendServer, ChatRequest, RunRecord, answer_digest, answer_token,
        group_snapshot::GroupSnapshot, server_state::consume_fault,
    },
    bytes::Bytes,
    serde_json::{Value, json},
    std::{io, sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until, timeout},
    },
};

/// Bytes of the messages, as JSON, that count as one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Time after which a caller that takes no chunk is disconnected.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// One run of a chat completion on a group.
#[derive(Debug)]
pub struct ChatJob {
    /// Servers of the process, with the ledger that records the run.
    pub fleet: Arc<BackendFleet>,
    /// Server of the group's head (rank 0 member), which received the request.
    pub server: Arc<BackendServer>,
    /// Members when the request arrived; a change of the group ends the run.
    pub snapshot: GroupSnapshot,
    /// Body of the request.
    pub request: ChatRequest,
    /// Value of the `Attempt-Id` header; empty when the request has none.
    pub attempt: String,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<String>,
    /// Value of the `Resume-From` header: the first token to generate; 0 for a new request.
    pub resume_from: u32,
}

impl ChatJob {
    /// Runs the request to its end. A streamed request sends its events to `chunks`; `None` is for
    /// a buffered one.
    ///
    /// # Errors
    /// Fails when the group changes, a crash marker matches, or the caller of a stream leaves or
    /// stops reading.
    pub async fn run(&self, chunks: Option<&mpsc::Sender<io::Result<Bytes>>>) -> io::Result<()> {
        let waiting = CountGuard::waiting(&self.server);
        let prompt_tokens = self.prompt_tokens();
        let queued = QueuedTokens::add(&self.server, prompt_tokens);
        let incarnation = self.server.live_incarnation().unwrap_or_default();
        let _batch_slot = tokio::select! {
            slot = self.server.batch_slots.acquire() => slot.map_err(io::Error::other)?,
            () = self.server.wait_until_down(incarnation) => return Err(run_cancelled()),
            () = caller_left(chunks) => return Err(run_cancelled()),
        };
        drop(waiting);
        let _running = CountGuard::running(&self.server);
        self.check_group().await?;
        let run_index = self.fleet.ledger.start(self.new_record());
        self.crash_if_marked()?;
        let delay = Duration::from_millis(self.server.lock().delay_answers_ms);
        tokio::time::sleep(delay).await;
        {
            let _prefill = self.server.prefill_lock.lock().await;
            let rate = self.server.settings.engine.prefill_tokens_per_s;
            #[allow(clippy::cast_precision_loss)]
            let seconds = prompt_tokens as f64 / rate * self.snapshot.slow_factor();
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
        drop(queued);
        self.decode(chunks).await?;
        self.fleet.ledger.complete(run_index);
        Ok(())
    }

    async fn decode(&self, chunks: Option<&mpsc::Sender<io::Result<Bytes>>>) -> io::Result<()> {
        let digest = answer_digest(&self.request);
        let (late_attempt, mut swap) = {
            let mut state = self.server.lock();
            let previous = state.last_attempt.replace((self.attempt.clone(), digest));
            let late = consume_fault(&mut state.late_chunks);
            (
                previous.filter(|_| late),
                consume_fault(&mut state.out_of_order),
            )
        };
        let mut held_chunk = None;
        let mut next_step = Instant::now();
        for sequence in self.resume_from..self.request.max_tokens {
            let step_ms = self.server.settings.engine.step_ms * self.snapshot.slow_factor();
            next_step += Duration::from_secs_f64(step_ms / 1_000.0);
            sleep_until(next_step).await;
            self.check_group().await?;
            let Some(chunks) = chunks else {
                continue;
            };
            if let Some((attempt, digest)) = &late_attempt {
                let token = answer_token(*digest, sequence);
                send(chunks, self.token_chunk(attempt, sequence, &token)).await?;
            }
            let chunk = self.token_chunk(&self.attempt, sequence, &answer_token(digest, sequence));
            if swap && held_chunk.is_none() {
                held_chunk = Some(chunk);
                continue;
            }
            send(chunks, chunk).await?;
            if let Some(chunk) = held_chunk.take() {
                swap = false;
                send(chunks, chunk).await?;
            }
        }
        let Some(chunks) = chunks else {
            return Ok(());
        };
        let sequence = self.request.max_tokens;
        let choice = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
        send(chunks, self.chunk(&self.attempt, sequence, &choice)).await?;
        send(chunks, Bytes::from_static(b"data: [DONE]\n\n")).await
    }

    /// Body of a buffered response.
    #[must_use]
    pub fn completion(&self) -> Value {
        let content = super::answer_text(&self.request);
        let (prompt, generated) = (self.prompt_tokens(), u64::from(self.request.max_tokens));
        json!({
            "id": self.attempt, "object": "chat.completion", "created": 0,
            "model": self.request.model,
            "choices": [{"index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": content}}],
            "usage": {"prompt_tokens": prompt, "completion_tokens": generated,
                "total_tokens": prompt + generated},
        })
    }

    async fn check_group(&self) -> io::Result<()> {
        self.snapshot.wait_unpaused().await;
        if self.snapshot.is_current() {
            Ok(())
        } else {
            Err(run_cancelled())
        }
    }

    fn crash_if_marked(&self) -> io::Result<()> {
        let marker = self.server.lock().crash_marker.clone();
        let Some(marker) = marker else {
            return Ok(());
        };
        if !self.request.messages.to_string().contains(&marker) {
            return Ok(());
        }
        for (member, _) in &self.snapshot.members {
            member.crash();
        }
        Err(run_cancelled())
    }

    fn prompt_tokens(&self) -> u64 {
        let bytes = self.request.messages.to_string().len();
        (bytes / BYTES_PER_TOKEN) as u64 + u64::from(self.resume_from)
    }

    fn new_record(&self) -> RunRecord {
        RunRecord {
            at_ms: self.fleet.ledger.now_ms(),
            key: self.key.clone(),
            attempt: self.attempt.clone(),
            digest: answer_digest(&self.request),
            path: "/v1/chat/completions".to_owned(),
            instance: self.server.settings.instance.clone(),
            group: Some((self.snapshot.group.0.clone(), self.snapshot.epoch)),
            resumed_from: self.resume_from,
            after_leaving_ms: self.server.after_leaving_ms(),
            completed: false,
        }
    }

    fn token_chunk(&self, attempt: &str, sequence: u32, token: &str) -> Bytes {
        let choice = json!({"index": 0, "delta": {"content": token}, "finish_reason": null});
        self.chunk(attempt, sequence, &choice)
    }

    fn chunk(&self, attempt: &str, sequence: u32, choice: &Value) -> Bytes {
        let event = json!({
            "id": attempt, "object": "chat.completion.chunk", "created": 0,
            "model": self.request.model, "sequence": sequence, "choices": [choice],
        });
        Bytes::from(format!("data: {event}\n\n"))
    }
}

async fn send(chunks: &mpsc::Sender<io::Result<Bytes>>, chunk: Bytes) -> io::Result<()> {
    match timeout(SLOW_CALLER_TIMEOUT, chunks.send(Ok(chunk))).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(run_cancelled()),
    }
}

async fn caller_left(chunks: Option<&mpsc::Sender<io::Result<Bytes>>>) {
    match chunks {
        Some(chunks) => chunks.closed().await,
        None => std::future::pending().await,
    }
}

fn run_cancelled() -> io::Error {
    io::Error::other("run cancelled: the group changed, the caller left or a crash was injected")
}

/// Counts a request as waiting or running until dropped.
struct CountGuard<'a> {
    server: &'a BackendServer,
    is_running: bool,
}

impl<'a> CountGuard<'a> {
    fn waiting(server: &'a BackendServer) -> Self {
        server.lock().waiting += 1;
        Self {
            server,
            is_running: false,
        }
    }

    fn running(server: &'a BackendServer) -> Self {
        server.lock().running += 1;
        Self {
            server,
            is_running: true,
        }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.server.lock();
        if self.is_running {
            state.running -= 1;
        } else {
            state.waiting -= 1;
        }
    }
}

/// Counts the tokens of a prompt as queued until dropped.
struct QueuedTokens<'a> {
    server: &'a BackendServer,
    tokens: u64,
}

impl<'a> QueuedTokens<'a> {
    fn add(server: &'a BackendServer, tokens: u64) -> Self {
        server.lock().queued_tokens += tokens;
        Self { server, tokens }
    }
}

impl Drop for QueuedTokens<'_> {
    fn drop(&mut self) {
        self.server.lock().queued_tokens -= self.tokens;
    }
}

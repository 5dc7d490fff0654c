use {
    crate::{
        adapters::{CallerReply, error_event, full_reply, problem_reply},
        core::dispatch::Refusal,
    },
    bytes::Bytes,
    hyper::StatusCode,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
};

/// Maximum frames that wait for a slow caller.
const MAX_QUEUED_FRAMES: usize = 64;

/// Longest wait for room in the frame queue. A caller that reads more slowly counts as having left.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Response that a [`CallerSink`] starts.
#[derive(Debug)]
pub(super) enum SinkResponse {
    /// Complete response: a buffered answer or a refusal.
    Buffered(CallerReply),
    /// Server-sent events, which arrive on the queue.
    Stream(mpsc::Receiver<Bytes>),
}

/// Writes the answer of a chat completion to the caller, as server-sent events or as one body.
///
/// The response is started with the first chunk, so that a request that fails before it gets the
/// HTTP status of its refusal.
#[derive(Debug)]
pub(super) struct CallerSink {
    request_id: String,
    model: String,
    response_sender: Option<oneshot::Sender<SinkResponse>>,
    frames: Option<mpsc::Sender<Bytes>>,
    streamed: bool,
    content: String,
    tokens: u32,
    finish_reason: Value,
}

impl CallerSink {
    pub(super) fn new(
        request_id: String,
        model: String,
        streamed: bool,
        response_sender: oneshot::Sender<SinkResponse>,
    ) -> Self {
        Self {
            request_id,
            model,
            response_sender: Some(response_sender),
            frames: None,
            streamed,
            content: String::new(),
            tokens: 0,
            finish_reason: Value::Null,
        }
    }

    /// Number of chunks with content so far; each counts as one token.
    pub(super) const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Delivers a chunk under the id of the caller's request. Returns false if the caller has left.
    pub(super) async fn deliver(&mut self, mut chunk: Value) -> bool {
        let choice = &chunk["choices"][0];
        if let Some(text) = choice["delta"]["content"].as_str() {
            self.tokens += 1;
            if !self.streamed {
                self.content.push_str(text);
            }
        }
        if !choice["finish_reason"].is_null() {
            self.finish_reason = choice["finish_reason"].clone();
        }
        if !self.streamed {
            return true;
        }
        chunk["id"] = Value::from(self.request_id.as_str());
        self.send(Bytes::from(format!("data: {chunk}\n\n"))).await
    }

    async fn send(&mut self, frame: Bytes) -> bool {
        if self.frames.is_none()
            && let Some(response_sender) = self.response_sender.take()
        {
            let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
            self.frames = Some(sender);
            let _ = response_sender.send(SinkResponse::Stream(frames));
        }
        let Some(frames) = &self.frames else {
            return false;
        };
        let result = tokio::time::timeout(SEND_TIMEOUT, frames.send(frame)).await;
        matches!(result, Ok(Ok(())))
    }

    /// Ends a complete answer: sends `[DONE]`, or the whole body if the answer is not streamed.
    pub(super) async fn finish(&mut self) {
        if self.streamed {
            self.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
            return;
        }
        let body = json!({
            "id": self.request_id, "object": "chat.completion", "model": self.model,
            "choices": [{"index": 0, "finish_reason": self.finish_reason,
                "message": {"role": "assistant", "content": self.content}}],
            "usage": {"completion_tokens": self.tokens},
        });
        let reply = full_reply(StatusCode::OK, "application/json", body.to_string());
        self.reply(reply);
    }

    /// Answers with the refusal, or with an error event if the stream has begun.
    pub(super) async fn refuse(&mut self, refusal: &Refusal) {
        if self.frames.is_some() {
            let event = error_event(refusal, &self.request_id);
            self.send(event).await;
            return;
        }
        let reply = problem_reply(refusal, &self.request_id);
        self.reply(reply);
    }

    fn reply(&mut self, reply: CallerReply) {
        if let Some(response_sender) = self.response_sender.take() {
            let _ = response_sender.send(SinkResponse::Buffered(reply));
        }
    }
}

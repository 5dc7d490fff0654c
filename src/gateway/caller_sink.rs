use {
    crate::{
        adapters::{CallerReply, error_event, problem_reply, whole_reply},
        core::dispatch::Refusal,
    },
    bytes::Bytes,
    hyper::StatusCode,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
};

/// Frames that wait for a slow caller.
const FRAME_QUEUE: usize = 64;

/// A caller that takes no frame for this long has left.
const SLOW_CALLER: Duration = Duration::from_secs(30);

/// Head of an answer.
#[derive(Debug)]
pub(super) enum CallHead {
    /// The whole answer.
    Whole(CallerReply),
    /// Frames of a stream follow.
    Stream(mpsc::Receiver<Bytes>),
}

/// Where the answer to a chat completion goes: a stream of events, or one body.
///
/// The head of the answer is sent with the first chunk, so that a request that
/// fails earlier gets a proper status.
#[derive(Debug)]
pub(super) struct CallerSink {
    request_id: String,
    model: String,
    head: Option<oneshot::Sender<CallHead>>,
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
        head: oneshot::Sender<CallHead>,
    ) -> Self {
        Self {
            request_id,
            model,
            head: Some(head),
            frames: None,
            streamed,
            content: String::new(),
            tokens: 0,
            finish_reason: Value::Null,
        }
    }

    /// Tokens delivered.
    pub(super) const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Delivers a chunk; false when the caller has left.
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
            && let Some(head) = self.head.take()
        {
            let (sender, frames) = mpsc::channel(FRAME_QUEUE);
            self.frames = Some(sender);
            let _ = head.send(CallHead::Stream(frames));
        }
        let Some(frames) = &self.frames else {
            return false;
        };
        let sent = tokio::time::timeout(SLOW_CALLER, frames.send(frame)).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Ends a complete answer.
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
        let reply = whole_reply(StatusCode::OK, "application/json", body.to_string());
        self.reply(reply);
    }

    /// Refuses the request, or ends its broken answer with an error event.
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
        if let Some(head) = self.head.take() {
            let _ = head.send(CallHead::Whole(reply));
        }
    }
}

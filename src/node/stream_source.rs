use {
    super::{
        AttemptResponse, AttemptSlot, EventSplitter, HttpConnection, NodeContext,
        ends_with_connection,
    },
    crate::core::retry::EventOrder,
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        HeaderMap, StatusCode,
        body::{Frame, Incoming},
    },
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// What a read of a body gives: a frame, an error, or none at the end.
type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// A response stream that is being read from one server.
pub(super) struct StreamSource {
    pub slot: AttemptSlot,
    address: SocketAddr,
    connection: HttpConnection,
    idle: Option<Duration>,
    reusable: bool,
    pub body: StreamBody,
    pub splitter: EventSplitter,
    /// True when the end of the body shows only by the end of the connection.
    pub is_unframed: bool,
    pub has_events: bool,
}

/// Body of a response stream. Frames that were read before the server was chosen to go on with the
/// stream are kept for the next reads.
pub(super) struct StreamBody {
    incoming: Incoming,
    kept: VecDeque<BodyFrame>,
}

impl StreamBody {
    /// Reads the next frame. Nothing is lost when the returned future is dropped.
    pub async fn frame(&mut self) -> BodyFrame {
        match self.kept.pop_front() {
            Some(frame) => frame,
            None => self.incoming.frame().await,
        }
    }

    /// Gives a frame back, so that it is read again after those that were given back before.
    pub fn keep(&mut self, frame: BodyFrame) {
        self.kept.push_back(frame);
    }
}

impl StreamSource {
    /// Starts reading a response; also returns its status and headers.
    pub fn start(
        slot: AttemptSlot,
        attempt: AttemptResponse,
    ) -> (Box<Self>, StatusCode, HeaderMap) {
        let (parts, body) = attempt.response.into_parts();
        let source = Self {
            address: slot.target.address,
            slot,
            connection: attempt.connection,
            idle: attempt.idle,
            reusable: attempt.reusable,
            body: StreamBody {
                incoming: body,
                kept: VecDeque::new(),
            },
            splitter: EventSplitter::default(),
            is_unframed: ends_with_connection(&parts.headers),
            has_events: false,
        };
        (Box::new(source), parts.status, parts.headers)
    }

    /// Reads until the first event that can follow the stream in `order`, or the proper end of the
    /// stream. What was read is kept for the next reads.
    ///
    /// # Errors
    /// The cause for which the response cannot go on with the stream.
    pub async fn await_event(&mut self, mut order: EventOrder) -> Result<(), &'static str> {
        order.begin_resumption();
        let mut splitter = EventSplitter::default();
        loop {
            let frame = self.body.incoming.frame().await;
            let data = match &frame {
                None if splitter.has_pending() => return Err("event_cut_off"),
                None if self.is_unframed => return Err("stream_cut_off"),
                None => None,
                Some(Err(_)) => return Err("stream_cut_off"),
                Some(Ok(frame)) => frame.data_ref().cloned(),
            };
            let is_end = frame.is_none();
            self.body.keep(frame);
            if is_end {
                return Ok(());
            }
            let Some(batch) = data.and_then(|data| splitter.push(&data)) else {
                if splitter.is_oversized() {
                    return Err("event_too_large");
                }
                continue;
            };
            let checked = order.check(&batch.bytes);
            match checked.fault {
                Some(fault) if checked.length == 0 => return Err(fault),
                _ => return Ok(()),
            }
        }
    }

    /// Identifier of the server.
    pub fn server(&self) -> &str {
        &self.slot.target.server
    }

    /// Records the success of a stream that was read to its end, and keeps its connection.
    pub fn release(mut self, context: &NodeContext) {
        self.slot.record_success();
        if self.reusable {
            context.pool.keep(self.address, self.connection, self.idle);
        }
    }
}

use {
    super::{
        AttemptResponse, AttemptSlot, EventSplitter, HttpConnection, NodeContext,
        ends_with_connection,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        HeaderMap, StatusCode,
        body::{Frame, Incoming},
    },
    std::{net::SocketAddr, time::Duration},
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

/// Body of a response stream. A frame that was read while another server was looked for is kept
/// until the next read.
pub(super) struct StreamBody {
    incoming: Incoming,
    kept: Option<BodyFrame>,
}

impl StreamBody {
    /// Reads the next frame. Nothing is lost when the returned future is dropped.
    pub async fn frame(&mut self) -> BodyFrame {
        match self.kept.take() {
            Some(frame) => frame,
            None => self.incoming.frame().await,
        }
    }

    /// Gives a frame back, so that the next read returns it.
    pub fn keep(&mut self, frame: BodyFrame) {
        self.kept = Some(frame);
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
                kept: None,
            },
            splitter: EventSplitter::default(),
            is_unframed: ends_with_connection(&parts.headers),
            has_events: false,
        };
        (Box::new(source), parts.status, parts.headers)
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

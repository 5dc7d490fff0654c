use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        fmt,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
};

/// A stream could not be finished; the connection to the caller is closed so
/// that the answer does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamBroken;

impl fmt::Display for StreamBroken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the stream could not be finished")
    }
}

impl std::error::Error for StreamBroken {}

/// Part of a streamed answer.
pub type StreamPart = Result<Bytes, StreamBroken>;

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum ReplyBody {
    /// The whole answer.
    Whole(Full<Bytes>),
    /// Parts as they arrive.
    Parts(mpsc::Receiver<StreamPart>),
}

impl ReplyBody {
    /// A whole body.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Parts(parts) => parts
                .poll_recv(context)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Parts(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Parts(_) => SizeHint::default(),
        }
    }
}

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

/// The error of a stream that could not be finished. It makes the server close the caller's
/// connection, so that the response does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamBroken;

impl fmt::Display for StreamBroken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the response stream was cut off before its end")
    }
}

impl std::error::Error for StreamBroken {}

/// Bytes of a streamed response, or the error that cuts it off.
pub type StreamPart = Result<Bytes, StreamBroken>;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ReplyBody {
    /// The whole body.
    Whole(Full<Bytes>),
    /// A streamed body, whose parts are sent as they arrive.
    Parts(PartQueue),
}

/// Parts of a streamed body that wait to be sent.
#[derive(Debug)]
pub struct PartQueue {
    parts: mpsc::Receiver<StreamPart>,
    /// True when the next poll returns the error.
    is_broken: bool,
}

impl PartQueue {
    /// Returns the next part. The HTTP server drops what it has not written when it gets an error,
    /// so the error is held back for one poll, in which the server writes the parts before it.
    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<StreamPart>> {
        if self.is_broken {
            return Poll::Ready(Some(Err(StreamBroken)));
        }
        let part = self.parts.poll_recv(context);
        if matches!(part, Poll::Ready(Some(Err(_)))) {
            self.is_broken = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        part
    }
}

impl ReplyBody {
    /// Creates a streamed body that takes its parts from a channel.
    #[must_use]
    pub const fn streamed(parts: mpsc::Receiver<StreamPart>) -> Self {
        Self::Parts(PartQueue {
            parts,
            is_broken: false,
        })
    }

    /// Creates a body from bytes that are complete.
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
                .poll_part(context)
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

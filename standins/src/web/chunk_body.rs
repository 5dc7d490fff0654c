use {
    bytes::Bytes,
    hyper::body::{Body, Frame},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
};

/// Response body whose chunks come from a channel; an error breaks the response at the caller.
#[derive(Debug)]
pub struct ChunkBody {
    chunks: mpsc::Receiver<io::Result<Bytes>>,
}

impl ChunkBody {
    /// Creates a body that ends when all senders of the channel are dropped.
    #[must_use]
    pub const fn new(chunks: mpsc::Receiver<io::Result<Bytes>>) -> Self {
        Self { chunks }
    }
}

impl Body for ChunkBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.chunks
            .poll_recv(context)
            .map(|next| next.map(|chunk| chunk.map(Frame::data)))
    }
}

use {
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Largest head of a message in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Limit for the bytes that are read before the head of an answer is complete. Interim answers count:
/// the HTTP parser passes over them, however many come.
#[derive(Debug, Default)]
pub(super) struct HeadBound {
    /// Bytes that may still be read.
    left: AtomicUsize,
    is_passed: AtomicBool,
}

impl HeadBound {
    /// Begins the head of the next answer.
    pub(super) fn begin(&self) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, since the head is complete and other limits apply to the body.
    pub(super) fn lift(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    /// True when a head did not end within the limit.
    pub(super) fn is_passed(&self) -> bool {
        self.is_passed.load(Ordering::Relaxed)
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.left.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        self.left
            .store(left.saturating_sub(bytes), Ordering::Relaxed);
        if bytes <= left {
            return Ok(());
        }
        self.is_passed.store(true, Ordering::Relaxed);
        Err(io::Error::other("the head of an answer does not end"))
    }
}

/// A connection that fails when the head of an answer passes its limit.
#[derive(Debug)]
pub(super) struct BoundedStream {
    stream: TcpStream,
    bound: Arc<HeadBound>,
}

impl BoundedStream {
    pub(super) const fn new(stream: TcpStream, bound: Arc<HeadBound>) -> Self {
        Self { stream, bound }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        Poll::Ready(self.bound.count(bytes))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

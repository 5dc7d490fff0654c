use {
    super::caller_connections::ConnectionGuard,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A caller's connection that counts what it reads, and notes when the caller reads nothing.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    guard: Arc<ConnectionGuard>,
    /// Size of the buffer into which the connection is read.
    buffer_bytes: usize,
    is_blocked: bool,
}

impl CallerStream {
    pub const fn new(stream: TcpStream, guard: Arc<ConnectionGuard>, buffer_bytes: usize) -> Self {
        Self {
            stream,
            guard,
            buffer_bytes,
            is_blocked: false,
        }
    }

    pub const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// True while the caller takes no bytes of a response.
    pub const fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    fn note_write(&mut self, is_blocked: bool) {
        if is_blocked != self.is_blocked {
            self.is_blocked = is_blocked;
            self.guard.note_blocked(is_blocked);
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        if self.guard.note_read(bytes, self.buffer_bytes) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(io::Error::other("no memory for the connection")))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(written.is_pending());
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.note_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

use {
    super::TaskGate,
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

/// TCP connection that transfers data only while both of its gates are open.
#[derive(Debug)]
pub struct GatedStream {
    stream: TcpStream,
    gates: [Arc<TaskGate>; 2],
}

impl GatedStream {
    /// Puts a connection behind two gates.
    #[must_use]
    pub const fn new(stream: TcpStream, gates: [Arc<TaskGate>; 2]) -> Self {
        Self { stream, gates }
    }

    fn poll_gates(&self, context: &Context<'_>) -> Poll<()> {
        for gate in &self.gates {
            ready!(gate.poll_open(context));
        }
        Poll::Ready(())
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_gates(context));
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_gates(context));
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_gates(context));
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_gates(context));
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

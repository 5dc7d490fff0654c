//! HTTP/1.1 connections to backend servers and the store.

use {
    super::bounded_stream::{BoundedStream, HeadBound, MAX_HEAD_BYTES},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{fmt, net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpStream,
};

/// Time that sent data may stay unacknowledged before the connection counts as broken.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first keep-alive probe, and time between two probes.
const KEEPALIVE_PROBE: Duration = Duration::from_secs(2);

/// How an HTTP exchange failed, which decides whether the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No connection, or no byte of the request was sent on it: the request did not run.
    NotSent,
    /// The connection broke before the head of the response; the request may have run.
    Interrupted,
    /// The head of the response did not end within its limit; the request may have run.
    EndlessHead,
}

impl fmt::Display for ExchangeFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotSent => "not_sent",
            Self::Interrupted => "interrupted",
            Self::EndlessHead => "endless_head",
        })
    }
}

/// An HTTP/1.1 connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    head_bound: Arc<HeadBound>,
}

impl HttpConnection {
    /// Connects to an address and does the HTTP handshake.
    ///
    /// # Errors
    /// [`ExchangeFailure::NotSent`] when it is refused or takes longer than `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, ExchangeFailure> {
        let connect = tokio::time::timeout(timeout, TcpStream::connect(address));
        let Ok(Ok(stream)) = connect.await else {
            return Err(ExchangeFailure::NotSent);
        };
        set_options(&stream);
        let head_bound = Arc::<HeadBound>::default();
        let stream = BoundedStream::new(stream, Arc::clone(&head_bound));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let Ok((sender, connection)) = handshake else {
            return Err(ExchangeFailure::NotSent);
        };
        tokio::spawn(async move {
            // The error isn't handled here: the task that waits for a response gets it, too.
            let _ = connection.await;
        });
        Ok(Self { sender, head_bound })
    }

    /// True when the connection is open and its last exchange is complete.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`ExchangeFailure`] says whether the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeFailure> {
        self.head_bound.begin();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_bound.lift();
                Ok(response)
            }
            Err(error) if error.message().is_some() => Err(ExchangeFailure::NotSent),
            Err(error) if self.head_bound.is_passed() || error.error().is_parse_too_large() => {
                Err(ExchangeFailure::EndlessHead)
            }
            Err(_) => Err(ExchangeFailure::Interrupted),
        }
    }
}

/// Sets the options that detect a silent peer. Errors are ignored: the connection works without an
/// option, only slower to notice a failure.
pub(super) fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(SEND_TIMEOUT));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PROBE)
        .with_interval(KEEPALIVE_PROBE)
        .with_retries(2);
    let _ = socket.set_tcp_keepalive(&keepalive);
}

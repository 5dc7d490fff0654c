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
    std::{
        fmt,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::net::TcpStream,
};

/// Time that sent data may stay unacknowledged before the connection counts as broken.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Longest wait until the parser has passed the end of a response without a body.
const SURPLUS_TIMEOUT: Duration = Duration::from_millis(50);

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
    /// The head of the response cannot be parsed; the request may have run. The server has answered,
    /// so it has not crashed.
    InvalidHead,
}

impl fmt::Display for ExchangeFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotSent => "not_sent",
            Self::Interrupted => "interrupted",
            Self::EndlessHead => "endless_head",
            Self::InvalidHead => "invalid_head",
        })
    }
}

/// An HTTP/1.1 connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    head_bound: Arc<HeadBound>,
    /// Set when the connection has ended because of bytes that belong to no response.
    had_surplus: Arc<AtomicBool>,
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
        let had_surplus = Arc::<AtomicBool>::default();
        let surplus = Arc::clone(&had_surplus);
        tokio::spawn(async move {
            // Other errors aren't handled here: the task that waits for a response gets them, too.
            let ended = connection.await;
            surplus.store(
                ended.is_err_and(|error| is_unexpected(&error)),
                Ordering::Relaxed,
            );
        });
        Ok(Self {
            sender,
            head_bound,
            had_surplus,
        })
    }

    /// True when the connection is open and its last exchange is complete.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// True when bytes have arrived behind a response that can have no body. The parser passes over
    /// them, but they show that the server is confused about what it sends.
    pub async fn has_surplus(&mut self) -> bool {
        // The connection is ready for another request, or has ended.
        let _ = tokio::time::timeout(SURPLUS_TIMEOUT, self.sender.ready()).await;
        self.had_surplus.load(Ordering::Relaxed)
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
            Err(error) if error.error().is_parse() => Err(ExchangeFailure::InvalidHead),
            Err(_) => Err(ExchangeFailure::Interrupted),
        }
    }
}

/// True for the error about bytes on an idle connection. It has neither a cause nor a kind that can be
/// asked for, unlike the errors of the socket, the head and the body.
fn is_unexpected(error: &hyper::Error) -> bool {
    let is_other = error.is_parse()
        || error.is_user()
        || error.is_canceled()
        || error.is_closed()
        || error.is_incomplete_message()
        || error.is_timeout();
    !is_other && std::error::Error::source(error).is_none()
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

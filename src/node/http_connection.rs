//! HTTP/1.1 connections to backend servers and the store.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{fmt, net::SocketAddr, time::Duration},
    tokio::net::TcpStream,
};

/// Time without an acknowledgement after which a connection counts as broken.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first keep-alive probe, and between two.
const KEEPALIVE_PROBE: Duration = Duration::from_secs(2);

/// Why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been read; there is no whole answer.
    Interrupted,
}

impl fmt::Display for ExchangeFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotSent => "not_sent",
            Self::Interrupted => "interrupted",
        })
    }
}

/// A connection on which one request runs at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`ExchangeFailure::NotSent`] when it is refused or takes longer than `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, ExchangeFailure> {
        let connect = tokio::time::timeout(timeout, TcpStream::connect(address));
        let Ok(Ok(stream)) = connect.await else {
            return Err(ExchangeFailure::NotSent);
        };
        set_options(&stream);
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let Ok((sender, connection)) = handshake else {
            return Err(ExchangeFailure::NotSent);
        };
        tokio::spawn(async move {
            // Whoever waits for an answer learns of a broken connection there.
            let _ = connection.await;
        });
        Ok(Self { sender })
    }

    /// True when the connection can take a request.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// See [`ExchangeFailure`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeFailure> {
        match self.sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(error) if error.message().is_some() => Err(ExchangeFailure::NotSent),
            Err(_) => Err(ExchangeFailure::Interrupted),
        }
    }
}

/// Sets the options of a connection whose other end may fall silent. A socket
/// that refuses an option works without it.
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

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http2::{Builder, SendRequest},
    },
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two HTTP/2 pings. With [`PING_TIMEOUT`], a silent connection is detected within
/// 2.2 s, which is below the bound of 3 s.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the answer to a ping; then the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Sender of requests, whose bodies are in memory, over one connection.
type BackendSender = SendRequest<Full<Bytes>>;

/// Why a request to a backend server got no response.
#[derive(Debug)]
pub enum SendFailure {
    /// No byte of the request was sent, so that the server has not run it.
    NotSent(io::Error),
    /// The connection broke after bytes may have been sent; the request may have run.
    Broken(hyper::Error),
}

/// Holds one HTTP/2 connection to each backend server and checks it with pings.
#[derive(Debug, Clone, Default)]
pub struct BackendPool {
    senders: Arc<Mutex<HashMap<SocketAddr, BackendSender>>>,
}

impl BackendPool {
    /// Sends a request and waits for the head of the response.
    ///
    /// If the connection turns out to be closed before the request is written, the request is sent
    /// once more over a new one. Only the TCP connect has a timeout; the caller bounds the wait for
    /// the response.
    ///
    /// # Errors
    /// [`SendFailure::NotSent`] if no connection took the request, [`SendFailure::Broken`] if the
    /// connection broke before the head of the response arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let mut sender = self.sender(address).await.map_err(SendFailure::NotSent)?;
        let mut failure = match sender.try_send_request(request).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        self.remove_closed(address);
        let Some(request) = failure.take_message() else {
            return Err(SendFailure::Broken(failure.into_error()));
        };
        let mut sender = self.sender(address).await.map_err(SendFailure::NotSent)?;
        match sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(mut failure) => {
                let is_unsent = failure.take_message().is_some();
                let error = failure.into_error();
                Err(if is_unsent {
                    SendFailure::NotSent(io::Error::other(error))
                } else {
                    SendFailure::Broken(error)
                })
            }
        }
    }

    async fn sender(&self, address: SocketAddr) -> io::Result<BackendSender> {
        if let Some(sender) = self.lock().get(&address)
            && !sender.is_closed()
        {
            return Ok(sender.clone());
        }
        let sender = connect(address).await?;
        self.lock().insert(address, sender.clone());
        Ok(sender)
    }

    fn remove_closed(&self, address: SocketAddr) {
        let mut senders = self.lock();
        if senders.get(&address).is_some_and(SendRequest::is_closed) {
            senders.remove(&address);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, BackendSender>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> io::Result<BackendSender> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // The error of a broken connection is reported to each request that uses it.
        let _ = connection.await;
    });
    Ok(sender)
}

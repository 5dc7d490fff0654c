use {
    super::{HttpConnection, WireCodec, WireRequest},
    crate::core::store::{StoreAnswer, StoreCall, StoreFailure},
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{Request, header},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::sync::Mutex,
};

/// Longest wait until a connection to the store is open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time for a call that does not wait for changes.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longest time for a feed beyond the wait that it asks for. An open connection may fall silent
/// without a reset; the call after a failed one opens a new connection, and may take longer.
const FEED_OVERTIME: Duration = Duration::from_millis(500);

/// Largest response in bytes; a range holds at most 1 MB of rows.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Calls the store over one connection that is reused; calls are made one after the other.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    codec: WireCodec,
    connection: Mutex<Option<HttpConnection>>,
    calls: AtomicU64,
}

impl StoreClient {
    /// Creates a client; it connects at the first call.
    #[must_use]
    pub fn new(address: SocketAddr, codec: WireCodec) -> Self {
        Self {
            address,
            codec,
            connection: Mutex::new(None),
            calls: AtomicU64::new(0),
        }
    }

    /// Number of calls begun, failed ones included.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Makes a call and decodes its response; after a failure the next call opens a new connection.
    ///
    /// # Errors
    /// [`StoreFailure`] says whether a write may have taken effect.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreAnswer, StoreFailure> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let limit = match call {
            StoreCall::Feed { wait, .. } if !wait.is_zero() => *wait + FEED_OVERTIME,
            _ => CALL_TIMEOUT,
        };
        let mut kept = self.connection.lock().await;
        let exchange = self.exchange(&mut kept, call);
        match tokio::time::timeout(limit, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(failure)) => {
                *kept = None;
                Err(failure)
            }
            Err(_) => {
                *kept = None;
                Err(StoreFailure::Unclear)
            }
        }
    }

    async fn exchange(
        &self,
        kept: &mut Option<HttpConnection>,
        call: &StoreCall,
    ) -> Result<StoreAnswer, StoreFailure> {
        let usable = kept.as_ref().is_some_and(HttpConnection::is_ready);
        if !usable {
            let opened = HttpConnection::open(self.address, CONNECT_TIMEOUT).await;
            *kept = Some(opened.map_err(|_| StoreFailure::Unreachable)?);
        }
        let Some(connection) = kept.as_mut() else {
            return Err(StoreFailure::Unreachable);
        };
        let request = build_request((self.codec.write_store)(call), self.address);
        let response = connection.send(request).await;
        let response = response.map_err(|_| StoreFailure::Unclear)?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|error| {
                if error.is::<LengthLimitError>() {
                    StoreFailure::Unreadable
                } else {
                    StoreFailure::Unclear
                }
            })?
            .to_bytes();
        (self.codec.read_store)(call, status, &headers, &body)
    }
}

/// Builds the HTTP request of a call that the node makes itself, to the store or an engine.
pub(super) fn build_request(wire: WireRequest, address: SocketAddr) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(wire.body));
    *request.headers_mut() = wire.headers;
    *request.method_mut() = wire.method;
    match wire.path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        // Paths are built from encoded parts and always parse; a server answers a wrong one with
        // 404.
        Err(_) => *request.uri_mut() = hyper::Uri::from_static("/"),
    }
    let headers = request.headers_mut();
    if let Ok(host) = address.to_string().parse() {
        headers.insert(header::HOST, host);
    }
    let json = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    request
}

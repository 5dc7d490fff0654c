use {
    super::{DeployError, EventStream, Result},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Time limit of a call whose response is read as a whole; streams have none.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP request of a caller.
#[derive(Debug, Clone)]
pub struct CallerCall {
    /// HTTP method; GET or POST from the constructors.
    pub method: Method,
    /// Path and query; the address is given when the call is sent.
    pub path: String,
    /// Names and values of the headers, in the order in which they are added.
    pub headers: Vec<(String, String)>,
    /// Request body; empty for none.
    pub body: Bytes,
}

impl CallerCall {
    /// Creates a GET request without headers or body.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a POST request with a JSON body and its `Content-Type`.
    #[must_use]
    pub fn post(path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(path)
        }
        .header("Content-Type", "application/json")
    }

    /// Adds a header; an earlier one of the same name stays.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// A response read as a whole.
#[derive(Debug, Clone)]
pub struct CallerReply {
    /// HTTP status; may be one of failure.
    pub status: StatusCode,
    /// Response headers, without trailers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl CallerReply {
    /// Checks that the status is 2xx.
    ///
    /// # Errors
    /// [`DeployError::Call`] with status and body when it is not.
    pub fn expect_success(&self) -> Result<()> {
        if self.status.is_success() {
            return Ok(());
        }
        let body = String::from_utf8_lossy(&self.body);
        Err(DeployError::Call(format!("status {}: {body}", self.status)))
    }

    /// Decodes the body as JSON, whatever the status is.
    ///
    /// # Errors
    /// [`DeployError::Call`] with the body when it is not the expected JSON.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        let text = || String::from_utf8_lossy(&self.body).into_owned();
        serde_json::from_slice(&self.body)
            .map_err(|error| DeployError::Call(format!("{error} in response body {:?}", text())))
    }
}

/// HTTP client that plays a caller. Clones share one pool of connections.
#[derive(Debug, Clone)]
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for CallerClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl CallerClient {
    /// Sends a call and reads the whole response.
    ///
    /// # Errors
    /// [`DeployError::Call`] when the response is not complete within 30 s.
    pub async fn send(&self, address: SocketAddr, call: CallerCall) -> Result<CallerReply> {
        let exchange = async {
            let (parts, body) = self.open(address, call).await?.into_parts();
            let body = body.collect().await;
            Ok(CallerReply {
                status: parts.status,
                headers: parts.headers,
                body: body
                    .map_err(|error| DeployError::Call(error.to_string()))?
                    .to_bytes(),
            })
        };
        let timed_out = |_| {
            Err(DeployError::Call(format!(
                "no complete response within {CALL_TIMEOUT:?}"
            )))
        };
        timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or_else(timed_out)
    }

    /// Sends a call and returns its event stream once the response head has arrived.
    ///
    /// # Errors
    /// [`DeployError::Call`] when no response head arrives or its status is not 200.
    pub async fn stream(&self, address: SocketAddr, call: CallerCall) -> Result<EventStream> {
        let response = self.open(address, call).await?;
        if response.status() != StatusCode::OK {
            return Err(DeployError::Call(format!("status {}", response.status())));
        }
        Ok(EventStream::new(response.into_body()))
    }

    /// Sends a call and returns the response with its body unread.
    ///
    /// # Errors
    /// [`DeployError::Call`] when no response head arrives.
    pub async fn open(&self, address: SocketAddr, call: CallerCall) -> Result<Response<Incoming>> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path));
        for (name, value) in call.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(Full::new(call.body));
        let request = request.map_err(|error| DeployError::Call(error.to_string()))?;
        let response = self.client.request(request).await;
        response.map_err(|error| DeployError::Call(format!("{error:?}")))
    }
}

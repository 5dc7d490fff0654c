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

/// Bound of a call whose answer is read as a whole.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// A call of a caller.
#[derive(Debug, Clone)]
pub struct CallerCall {
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers by name and value.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl CallerCall {
    /// Creates a call without headers or body.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a call with a JSON body.
    #[must_use]
    pub fn post(path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(path)
        }
        .header("Content-Type", "application/json")
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct CallerReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CallerReply {
    /// Checks that the status is one of success.
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

    /// Decodes the body.
    ///
    /// # Errors
    /// [`DeployError::Call`] with the body when it is not the expected JSON.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        let text = || String::from_utf8_lossy(&self.body).into_owned();
        serde_json::from_slice(&self.body)
            .map_err(|error| DeployError::Call(format!("{error} in {:?}", text())))
    }
}

/// HTTP client that plays a caller.
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
    /// Sends a call and reads the whole answer.
    ///
    /// # Errors
    /// [`DeployError::Call`] when no whole answer arrives in time.
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
        let late = |_| {
            Err(DeployError::Call(format!(
                "no answer within {CALL_LIMIT:?}"
            )))
        };
        timeout(CALL_LIMIT, exchange).await.unwrap_or_else(late)
    }

    /// Sends a call and returns its events after the answer's head.
    ///
    /// # Errors
    /// [`DeployError::Call`] when no head arrives or its status is not 200.
    pub async fn stream(&self, address: SocketAddr, call: CallerCall) -> Result<EventStream> {
        let response = self.open(address, call).await?;
        if response.status() != StatusCode::OK {
            return Err(DeployError::Call(format!("status {}", response.status())));
        }
        Ok(EventStream::new(response.into_body()))
    }

    /// Sends a call and returns the answer with its body unread.
    ///
    /// # Errors
    /// [`DeployError::Call`] when no head arrives.
    pub async fn open(&self, address: SocketAddr, call: CallerCall) -> Result<Response<Incoming>> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path));
        for (name, value) in call.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(Full::new(call.body));
        let request = request.map_err(|error| DeployError::Call(error.to_string()))?;
        let answer = self.client.request(request).await;
        answer.map_err(|error| DeployError::Call(format!("{error:?}")))
    }
}

use {
    super::{AdapterError, Result},
    bytes::Bytes,
    error_stack::ResultExt,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, StatusCode, header},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Status and body of a response.
#[derive(Debug, Clone)]
pub struct JsonReply {
    /// HTTP status; may be a failure, which the caller has to check.
    pub status: StatusCode,
    /// Body as received, not checked to be JSON; at most 16 MiB.
    pub body: Bytes,
}

impl JsonReply {
    /// Decodes the body from JSON, whatever the status.
    ///
    /// # Errors
    /// [`AdapterError::Protocol`] when the body is not the expected JSON.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).change_context(AdapterError::Protocol)
    }
}

/// HTTP client for JSON calls with a timeout.
#[derive(Debug, Clone)]
pub struct JsonClient {
    client: Client<HttpConnector, Full<Bytes>>,
    failure_domain: String,
}

impl JsonClient {
    /// Creates a client that sends this failure domain with each call, as `Failure-Domain`.
    #[must_use]
    pub fn new(failure_domain: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            failure_domain: failure_domain.to_owned(),
        }
    }

    /// Sends a request and reads the whole response, whatever its status, within `timeout`.
    ///
    /// # Errors
    /// [`AdapterError::Connect`] if no connection could be established, so that no byte was sent;
    /// [`AdapterError::Protocol`] if `path` or the failure domain is not valid in HTTP; otherwise
    /// [`AdapterError::Interrupted`].
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<JsonReply> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header("Failure-Domain", &self.failure_domain)
            .body(Full::new(body))
            .change_context(AdapterError::Protocol)?;
        let exchange = async {
            let response = match self.client.request(request).await {
                Ok(response) => response,
                Err(error) if error.is_connect() => {
                    return Err(
                        error_stack::Report::new(error).change_context(AdapterError::Connect)
                    );
                }
                Err(error) => {
                    return Err(
                        error_stack::Report::new(error).change_context(AdapterError::Interrupted)
                    );
                }
            };
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|error| {
                    error_stack::Report::new(AdapterError::Interrupted).attach(error.to_string())
                })?
                .to_bytes();
            Ok(JsonReply { status, body })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(error_stack::Report::new(AdapterError::Interrupted)
                .attach(format!("no answer within {timeout:?}"))),
        }
    }

    /// Sends a request with `value` as its JSON body, like [`JsonClient::call`].
    ///
    /// # Errors
    /// Those of [`JsonClient::call`]; also [`AdapterError::Protocol`] if `value` can't be encoded.
    pub async fn send<T: Serialize>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        value: &T,
        timeout: Duration,
    ) -> Result<JsonReply> {
        let body = serde_json::to_vec(value).change_context(AdapterError::Protocol)?;
        self.call(method, address, path, Bytes::from(body), timeout)
            .await
    }
}

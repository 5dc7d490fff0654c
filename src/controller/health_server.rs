use {
    super::controller_actor::ControllerMessage,
    crate::{adapters::ProcessRuntime, core::groups::ManagerStatus},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, StatusCode, body::Incoming, header, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto,
    },
    ractor::{ActorRef, call_t},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::Semaphore},
};

/// Longest wait for the status from the controller actor.
const STATUS_TIMEOUT_MS: u64 = 1_000;
/// Maximum open probe connections; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 64;
/// Time after which a probe connection is closed, even if it is in use.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP server for `/healthz`, `/readyz` and `/status`.
#[derive(Clone)]
pub(super) struct HealthServer {
    pub runtime: ProcessRuntime,
    pub actor: ActorRef<ControllerMessage>,
}

impl HealthServer {
    /// Accepts connections until the task is aborted.
    pub async fn serve(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let server = self.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| server.clone().answer(request));
                let builder = auto::Builder::new(TokioExecutor::new());
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                // Errors are ignored: a broken or slow probe connection affects no other one.
                let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
                drop(permit);
            });
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let response = match request.uri().path() {
            "/healthz" => text_response(StatusCode::OK, "alive\n"),
            "/readyz" => self.readiness(),
            "/status" => self.status().await,
            _ => text_response(
                StatusCode::NOT_FOUND,
                "paths are /healthz, /readyz, /status\n",
            ),
        };
        Ok(response)
    }

    fn readiness(&self) -> Response<Full<Bytes>> {
        let Some(reason) = self.runtime.view.borrow().config_reason() else {
            return text_response(StatusCode::OK, "ready\n");
        };
        text_response(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    async fn status(&self) -> Response<Full<Bytes>> {
        let status: Result<ManagerStatus, _> =
            call_t!(self.actor, ControllerMessage::Status, STATUS_TIMEOUT_MS);
        let Ok(status) = status else {
            return text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "controller does not answer\n",
            );
        };
        let body = serde_json::to_vec(&status).expect("a status can be encoded as JSON");
        let mut response = Response::new(Full::new(Bytes::from(body)));
        let json = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }
}

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

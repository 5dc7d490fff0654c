use {
    super::{
        BackendFleet, BackendServer, ChatRequest, FaultCommand, RunRecord, chat_job::ChatJob,
        server_state::consume_fault,
    },
    crate::web::{
        ChunkBody, HttpReply, accept_loop, json_reply, query_value, raw_reply, read_body,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header},
    serde_json::json,
    std::{io, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::mpsc, time::Instant},
    toucanring::wire::{Execution, MemberOrder, OrderRefusal, ProblemBody},
};

/// Chunks of one stream that may wait for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 256;

impl BackendFleet {
    /// Serves requests to all servers and to the control address; never returns.
    pub async fn run(self, control: TcpListener) {
        let fleet = Arc::new(self);
        for server in &fleet.servers {
            let (fleet, server) = (Arc::clone(&fleet), Arc::clone(server));
            tokio::spawn(Arc::clone(&server).serve(move |request| {
                let (fleet, server) = (Arc::clone(&fleet), Arc::clone(&server));
                async move { fleet.handle_request(&server, request).await }
            }));
        }
        accept_loop(control, move |request| {
            let fleet = Arc::clone(&fleet);
            async move { fleet.handle_control(None, request).await }
        })
        .await;
    }

    async fn handle_request(
        self: Arc<Self>,
        server: &Arc<BackendServer>,
        request: Request<Incoming>,
    ) -> io::Result<HttpReply> {
        // A connection may outlive the server for a moment; a server that is down does not respond.
        if server.live_incarnation().is_none() {
            return Err(io::Error::other("server is down"));
        }
        let path = request.uri().path().to_owned();
        if path == "/v1/chat/completions" && request.method() == Method::POST {
            return self.handle_chat(server, request).await;
        }
        if path.starts_with("/services/") {
            return self.handle_plain(server, &path, request).await;
        }
        match path.as_str() {
            "/control/report" => Ok(json_reply(StatusCode::OK, &server.report())),
            "/control/orders" => self.handle_order(server, request).await,
            _ => self.handle_control(Some(server), request).await,
        }
    }

    async fn handle_control(
        &self,
        own_server: Option<&Arc<BackendServer>>,
        request: Request<Incoming>,
    ) -> io::Result<HttpReply> {
        match request.uri().path() {
            "/control/runs" => {
                let key = query_value(request.uri().query(), "key");
                Ok(json_reply(
                    StatusCode::OK,
                    &self.ledger.list(key.as_deref()),
                ))
            }
            "/control/faults" => {
                let body = read_body(request).await?;
                let command: FaultCommand = match serde_json::from_slice(&body) {
                    Ok(command) => command,
                    Err(error) => return Ok(bad_request_reply(&error.to_string())),
                };
                let named = command
                    .instance
                    .as_deref()
                    .map(|name| self.find_server(name));
                let Some(server) = named.unwrap_or(own_server) else {
                    return Ok(bad_request_reply("instance does not exist"));
                };
                server.apply(command.fault);
                Ok(json_reply(StatusCode::OK, &json!({})))
            }
            path => Ok(problem_reply(
                StatusCode::NOT_FOUND,
                "no_such_path",
                path,
                Execution::NotRun,
            )),
        }
    }

    async fn handle_order(
        &self,
        server: &Arc<BackendServer>,
        request: Request<Incoming>,
    ) -> io::Result<HttpReply> {
        let arrived = Instant::now();
        let body = read_body(request).await?;
        let order: MemberOrder = match serde_json::from_slice(&body) {
            Ok(order) => order,
            Err(error) => return Ok(bad_request_reply(&error.to_string())),
        };
        let delay = Duration::from_millis(server.lock().delay_orders_ms);
        tokio::time::sleep(delay).await;
        server.pause_gate.wait_open().await;
        Ok(
            match server.execute_order(order, arrived.elapsed(), &self.loader) {
                Ok(report) => json_reply(StatusCode::OK, &report),
                Err(refusal @ OrderRefusal::StaleFencing) => {
                    json_reply(StatusCode::CONFLICT, &refusal)
                }
                Err(refusal @ OrderRefusal::DeadlinePassed) => {
                    json_reply(StatusCode::GONE, &refusal)
                }
            },
        )
    }

    async fn handle_chat(
        self: Arc<Self>,
        server: &Arc<BackendServer>,
        request: Request<Incoming>,
    ) -> io::Result<HttpReply> {
        let headers = request.headers().clone();
        let body = read_body(request).await?;
        let request: ChatRequest = match serde_json::from_slice(&body) {
            Ok(request) => request,
            Err(error) => return Ok(bad_request_reply(&error.to_string())),
        };
        let epoch = header_text(&headers, "Group-Epoch").and_then(|value| value.parse().ok());
        let group = header_text(&headers, "Group-Id").unwrap_or_default();
        let snapshot = match self.snapshot_group(server, &group, epoch.unwrap_or_default()) {
            Ok(snapshot) => snapshot,
            Err(detail) => {
                self.ledger.record_refusal(&server.settings.instance);
                return Ok(refusal_reply(StatusCode::CONFLICT, "wrong_group", &detail));
            }
        };
        if server.lock().waiting >= server.settings.engine.max_waiting {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(refusal_reply(
                status,
                "queue_full",
                "queue of the engine is full",
            ));
        }
        let job = ChatJob {
            attempt: header_text(&headers, "Attempt-Id").unwrap_or_default(),
            key: header_text(&headers, "Idempotency-Key"),
            resume_from: header_text(&headers, "Resume-From")
                .and_then(|value| value.parse().ok())
                .unwrap_or(0),
            server: Arc::clone(server),
            fleet: self,
            snapshot,
            request,
        };
        if !job.request.stream {
            job.run(None).await?;
            return Ok(json_reply(StatusCode::OK, &job.completion()));
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        tokio::spawn(async move {
            if let Err(error) = job.run(Some(&sender)).await {
                let _ = sender.send(Err(error)).await;
            }
        });
        let mut reply = Response::new(ChunkBody::new(receiver).boxed());
        reply.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("text/event-stream"),
        );
        Ok(reply)
    }

    async fn handle_plain(
        &self,
        server: &Arc<BackendServer>,
        path: &str,
        request: Request<Incoming>,
    ) -> io::Result<HttpReply> {
        let service = path.split('/').nth(2).unwrap_or_default().to_owned();
        if !server.settings.services.contains(&service) {
            let detail = format!("service {service:?} does not run here");
            return Ok(refusal_reply(
                StatusCode::NOT_FOUND,
                "no_such_service",
                &detail,
            ));
        }
        let headers = request.headers().clone();
        let method = request.method().to_string();
        let body = read_body(request).await?;
        server.pause_gate.wait_open().await;
        let attempt = header_text(&headers, "Attempt-Id").unwrap_or_default();
        let run_index = self.ledger.start(RunRecord {
            at_ms: self.ledger.now_ms(),
            key: header_text(&headers, "Idempotency-Key"),
            attempt: attempt.clone(),
            digest: body_digest(&body),
            path: path.to_owned(),
            instance: server.settings.instance.clone(),
            group: None,
            resumed_from: 0,
            after_leaving_ms: server.after_leaving_ms(),
            completed: false,
        });
        let (run_number, delay_ms, lost) = {
            let mut state = server.lock();
            state.plain_runs += 1;
            let delay_ms = server.settings.engine.plain_ms + state.delay_answers_ms;
            let lost = consume_fault(&mut state.lose_answers);
            (state.plain_runs, delay_ms, lost)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        server.pause_gate.wait_open().await;
        if lost {
            return Err(io::Error::other("injected fault: response lost"));
        }
        self.ledger.complete(run_index);
        Ok(json_reply(
            StatusCode::OK,
            &json!({
                "service": service, "method": method, "path": path, "run": run_number,
                "instance": server.settings.instance, "attempt": attempt,
                "body": String::from_utf8_lossy(&body),
            }),
        ))
    }
}

impl BackendServer {
    /// Milliseconds since `BackendFault::Leaving` was set; `None` while the server is not leaving.
    #[must_use]
    pub fn after_leaving_ms(&self) -> Option<u64> {
        let since = self.lock().leaving_since?;
        u64::try_from(since.elapsed().as_millis()).ok()
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Digest of a plain request, for the run list only.
fn body_digest(body: &[u8]) -> u64 {
    super::answer_digest(&ChatRequest {
        model: String::new(),
        messages: String::from_utf8_lossy(body).into(),
        max_tokens: 0,
        stream: false,
    })
}

fn bad_request_reply(detail: &str) -> HttpReply {
    refusal_reply(StatusCode::BAD_REQUEST, "bad_request", detail)
}

fn refusal_reply(status: StatusCode, reason: &str, detail: &str) -> HttpReply {
    problem_reply(status, reason, detail, Execution::NotRun)
}

fn problem_reply(
    status: StatusCode,
    reason: &str,
    detail: &str,
    execution: Execution,
) -> HttpReply {
    let body = ProblemBody {
        reason: reason.to_owned(),
        status: status.as_u16(),
        detail: detail.to_owned(),
        execution,
        request_id: String::new(),
    };
    let body = serde_json::to_vec(&body).expect("wire types are valid JSON");
    raw_reply(status, "application/problem+json", Bytes::from(body))
}

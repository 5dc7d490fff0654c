use {
    super::{FaultChange, InstanceHistory, PlatformFaults, PlatformSettings, TableStore},
    crate::web::{
        HttpReply, RateLimiter, accept_loop, decode_percent, json_reply, query_value, raw_reply,
        read_body,
    },
    bytes::Bytes,
    hyper::{Method, Request, StatusCode, body::Incoming},
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::json,
    std::{
        collections::BTreeMap,
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, time::Instant},
    toucanring::wire::{CommitRequest, InstanceList, InstanceRow, ObjectKeys, RowList, WeightRead},
};

/// Time that a call from a partitioned failure domain hangs before its connection is broken;
/// longer than any client timeout of the system.
const PARTITION_DELAY: Duration = Duration::from_mins(1);

/// Body of `POST /v1/instances`, a call that only the stand-in has.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct InstanceChange {
    /// New list, which becomes visible after the lag; `None` keeps the current one.
    instances: Option<Vec<InstanceRow>>,
    /// New lag in milliseconds, which applies to a list in the same call too.
    lag_ms: Option<u64>,
}

#[derive(Debug)]
struct PlatformState {
    table: TableStore,
    objects: BTreeMap<String, Bytes>,
    instances: InstanceHistory,
    faults: PlatformFaults,
}

/// HTTP server that plays the platform; keeps all data in memory.
#[derive(Debug)]
pub struct PlatformServer {
    state: Mutex<PlatformState>,
    weight_limiter: RateLimiter,
    read_limiter: RateLimiter,
    write_limiter: RateLimiter,
}

impl PlatformServer {
    /// Creates a platform whose table and object store are empty.
    #[must_use]
    pub fn new(settings: PlatformSettings) -> Self {
        let lag = Duration::from_millis(settings.instance_lag_ms);
        Self {
            state: Mutex::new(PlatformState {
                table: TableStore::default(),
                objects: BTreeMap::new(),
                instances: InstanceHistory::new(settings.instances, lag),
                faults: PlatformFaults::default(),
            }),
            weight_limiter: RateLimiter::new(settings.weight_bytes_per_s),
            read_limiter: RateLimiter::new(settings.reads_per_s),
            write_limiter: RateLimiter::new(settings.writes_per_s),
        }
    }

    /// Serves requests; never returns.
    pub async fn run(self, listener: TcpListener) {
        let server = Arc::new(self);
        accept_loop(listener, move |request| {
            let server = Arc::clone(&server);
            async move { server.handle_request(request).await }
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle_request(&self, request: Request<Incoming>) -> io::Result<HttpReply> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if path == "/v1/faults" {
            return self.handle_faults(&method, read_body(request).await?);
        }
        if path == "/v1/instances" && method == Method::POST {
            return self.handle_instance_change(&read_body(request).await?);
        }
        let domain = request
            .headers()
            .get("Failure-Domain")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        self.apply_faults(&domain).await?;
        let prefix = query_value(request.uri().query(), "prefix").unwrap_or_default();
        let body = read_body(request).await?;
        let reply = match (method, path.as_str()) {
            (Method::POST, "/v1/commit") => return self.commit(&body).await,
            (Method::POST, "/v1/weights/read") => {
                let read: WeightRead = parse(&body)?;
                #[allow(clippy::cast_precision_loss)]
                self.weight_limiter.acquire(read.bytes as f64).await;
                json_reply(StatusCode::OK, &read)
            }
            (Method::GET, "/v1/instances") => {
                let instances = self.lock().instances.visible(Instant::now()).to_vec();
                json_reply(StatusCode::OK, &InstanceList { instances })
            }
            (Method::GET, "/v1/rows") => {
                self.read_limiter.acquire(1.0).await;
                let state = self.lock();
                let rows = state.table.scan(&prefix, state.faults.stale_reads);
                json_reply(StatusCode::OK, &RowList { rows })
            }
            (Method::GET, "/v1/objects") => {
                self.read_limiter.acquire(1.0).await;
                let state = self.lock();
                let keys = state.objects.range(prefix.clone()..);
                let keys = keys.map(|(key, _)| key.clone());
                let keys = keys.take_while(|key| key.starts_with(&prefix)).collect();
                json_reply(StatusCode::OK, &ObjectKeys { keys })
            }
            (method, path) => return self.handle_key(&method, path, body).await,
        };
        Ok(reply)
    }

    /// Delays the call or fails it, as the faults in force require; an error breaks the connection.
    async fn apply_faults(&self, domain: &str) -> io::Result<()> {
        let faults = self.lock().faults.clone();
        if faults.partitioned.iter().any(|name| name == domain) {
            tokio::time::sleep(PARTITION_DELAY).await;
            return Err(io::Error::other(
                "injected fault: failure domain is partitioned",
            ));
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.lock().faults.outage {
            return Err(io::Error::other("injected fault: platform outage"));
        }
        Ok(())
    }

    async fn handle_key(&self, method: &Method, path: &str, body: Bytes) -> io::Result<HttpReply> {
        if let Some(key) = path.strip_prefix("/v1/rows/")
            && method == Method::GET
        {
            self.read_limiter.acquire(1.0).await;
            let state = self.lock();
            let row = state
                .table
                .read(&decode_percent(key), state.faults.stale_reads);
            return Ok(row.map_or_else(not_found, |row| json_reply(StatusCode::OK, &row)));
        }
        let Some(key) = path.strip_prefix("/v1/objects/").map(decode_percent) else {
            return Ok(not_found());
        };
        if method == Method::GET {
            self.read_limiter.acquire(1.0).await;
            let object = self.lock().objects.get(&key).cloned();
            return Ok(object.map_or_else(not_found, |body| {
                raw_reply(StatusCode::OK, "application/octet-stream", body)
            }));
        }
        if method != Method::PUT {
            return Ok(not_found());
        }
        self.write_limiter.acquire(1.0).await;
        let mut state = self.lock();
        state.objects.insert(key, body);
        if state.faults.consume_lost_answer() {
            return Err(io::Error::other("injected fault: response lost"));
        }
        Ok(json_reply(StatusCode::OK, &json!({})))
    }

    async fn commit(&self, body: &[u8]) -> io::Result<HttpReply> {
        let Ok(request) = serde_json::from_slice::<CommitRequest>(body) else {
            return Ok(bad_request("body is not a commit"));
        };
        self.write_limiter.acquire(1.0).await;
        let mut state = self.lock();
        let outcome = state.table.commit(request);
        if state.faults.consume_lost_answer() {
            return Err(io::Error::other("injected fault: response lost"));
        }
        Ok(match outcome {
            Ok(answer) => json_reply(StatusCode::OK, &answer),
            Err(conflict) => json_reply(StatusCode::CONFLICT, &conflict),
        })
    }

    #[allow(clippy::needless_pass_by_value)]
    fn handle_faults(&self, method: &Method, body: Bytes) -> io::Result<HttpReply> {
        let mut state = self.lock();
        if method == Method::POST {
            state.faults.apply(parse::<FaultChange>(&body)?);
        }
        Ok(json_reply(StatusCode::OK, &state.faults))
    }

    fn handle_instance_change(&self, body: &[u8]) -> io::Result<HttpReply> {
        let change: InstanceChange = parse(body)?;
        let mut state = self.lock();
        if let Some(lag) = change.lag_ms {
            state.instances.set_lag(Duration::from_millis(lag));
        }
        if let Some(rows) = change.instances {
            state.instances.replace(Instant::now(), rows);
        }
        Ok(json_reply(StatusCode::OK, &json!({})))
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> io::Result<T> {
    serde_json::from_slice(body).map_err(io::Error::other)
}

fn not_found() -> HttpReply {
    json_reply(StatusCode::NOT_FOUND, &json!({"error": "no such key"}))
}

fn bad_request(detail: &str) -> HttpReply {
    json_reply(StatusCode::BAD_REQUEST, &json!({"error": detail}))
}

//! The platform's store: rows in memory, transactions and feeds.

use crate::{
    json::{Value, encode_base64, parse},
    web::{Request, name, respond, serve},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Table, part and key.
type RowName = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in base64 (none when the row was removed) and version.
    rows: BTreeMap<RowName, (Option<String>, u64)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    /// Processes that get no answer, by the number of the process.
    pub cut: Mutex<BTreeSet<u32>>,
}

fn row_text((table, part, key): &RowName, value: Option<&String>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{content},\"ver\":{version}}}"
    )
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            cut: Mutex::default(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::clone(&store);
        serve(
            listener,
            || true,
            move |request, stream| shared.answer(request, stream),
        );
        (store, address)
    }

    /// Writes or removes a row of the unnamed part, as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|value| encode_base64(value.as_bytes()));
        rows.rows.insert(name, (value, version));
        self.changed.notify_all();
    }

    /// Waits while the process at the other end of a connection is cut off.
    fn wait_while_cut(&self, stream: &TcpStream) {
        loop {
            let cut = self.cut.lock().unwrap().clone();
            if cut.is_empty() {
                return;
            }
            let Ok(peer) = stream.peer_addr() else { return };
            if !cut
                .iter()
                .any(|process| crate::process::owns_port(*process, peer.port()))
            {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        self.wait_while_cut(stream);
        thread::sleep(Duration::from_millis(4));
        let (status, body) = if request.path == name("transact") {
            self.transact(request)
        } else if request.path == name("feed") {
            (200, self.feed(request))
        } else if request.path == name("range") {
            (200, self.range(request))
        } else {
            (404, "{}".to_owned())
        };
        self.wait_while_cut(stream);
        respond(
            stream,
            status,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    fn envelope(&self, rows: &[String], version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{version},\"nowMs\":{now}}}",
            rows.join(",")
        )
    }

    fn range(&self, request: &Request) -> String {
        let (table, part) = (request.argument("table"), request.argument("part"));
        let from = request.argument("from");
        let state = self.rows.lock().unwrap();
        let mut rows = Vec::new();
        for (row, (value, version)) in &state.rows {
            if row.0 == table && row.1 == part && row.2 >= from && value.is_some() {
                rows.push(row_text(row, value.as_ref(), *version));
            }
        }
        self.envelope(&rows, state.version)
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.argument("table");
        let after: u64 = request.argument(name("after")).parse().unwrap_or(0);
        let wait: u64 = request.argument(name("wait")).parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.rows.lock().unwrap();
        loop {
            let mut changed: Vec<_> = state
                .rows
                .iter()
                .filter(|(row, (_, version))| row.0 == table && *version > after)
                .collect();
            changed.sort_by_key(|(_, (_, version))| *version);
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows: Vec<String> = changed
                    .into_iter()
                    .map(|(row, (value, version))| row_text(row, value.as_ref(), *version))
                    .collect();
                return self.envelope(&rows, state.version);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(call) = parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let row_name = |row: &Value| {
            (
                row.get("table").text(),
                row.get("part").text(),
                row.get("key").text(),
            )
        };
        let mut state = self.rows.lock().unwrap();
        let mut conflicts = Vec::new();
        let mut fits = true;
        for condition in call.get(name("conditions")).list() {
            let row = row_name(condition);
            let known = state.rows.get(&row).filter(|(value, _)| value.is_some());
            let version = known.map_or(0, |(_, version)| *version);
            fits &= version == condition.get("ver").number();
            if let Some((value, version)) = known {
                conflicts.push(row_text(&row, value.as_ref(), *version));
            }
        }
        if !fits {
            return (412, self.envelope(&conflicts, state.version));
        }
        state.version += 1;
        let version = state.version;
        for write in call.get("upserts").list() {
            let value = write.get("value").text();
            state.rows.insert(row_name(write), (Some(value), version));
        }
        self.changed.notify_all();
        (
            200,
            format!(
                "{{\"ver\":{version},\"nowMs\":{}}}",
                self.started.elapsed().as_millis()
            ),
        )
    }
}

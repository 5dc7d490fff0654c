//! The store of the platform: rows, feeds and conditional transactions. Entries of servers that write
//! nothing for three heartbeat intervals are removed.

use {
    crate::{
        names::{F_EXPECT, FEED_PATH, GET_PATH, TX_PATH},
        record::Record,
        wire::{Json, decode_query, from_base64, read_message, to_base64, write_reply},
    },
    std::{
        collections::BTreeMap,
        io::BufReader,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time of an answer of the store.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value, none for a row that was removed, with its version and the time of the write.
    rows: BTreeMap<RowKey, (Option<Vec<u8>>, u64, Option<Instant>)>,
    /// Value of the last row that a node wrote under a condition.
    last_conditional: String,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    record: Arc<Record>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            record: Arc::clone(record),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        let server = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            server.remove_silent();
        });
        store
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|text| text.as_bytes().to_vec());
        rows.rows.insert(name, (value, version, Some(Instant::now())));
        self.changed.notify_all();
    }

    /// Value of the row that was written last under a condition.
    pub fn last_conditional(&self) -> String {
        self.rows.lock().unwrap().last_conditional.clone()
    }

    fn remove_silent(&self) {
        let mut rows = self.rows.lock().unwrap();
        let silent: Vec<RowKey> = rows
            .rows
            .iter()
            .filter(|((table, ..), (value, _, at))| {
                let old = at.is_some_and(|at| at.elapsed() >= HEARTBEAT * 3);
                table == "servers" && value.is_some() && old
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            rows.version += 1;
            let version = rows.version;
            self.record.note(&format!("the store removes the entry of {} after three heartbeats", name.2));
            rows.rows.insert(name, (None, version, None));
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
            let query: BTreeMap<&str, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name, decode_query(value)))
                .collect();
            let text = |name: &str| query.get(name).cloned().unwrap_or_default();
            let (status, body) = match path {
                GET_PATH => self.get(&text("table"), &text("part"), &text("from")),
                FEED_PATH => {
                    let after = text("afterRev").parse().unwrap_or(0);
                    let wait = text("waitMs").parse().unwrap_or(0);
                    self.feed(&text("table"), after, Duration::from_millis(wait))
                }
                TX_PATH => self.transact(&String::from_utf8_lossy(&call.body)),
                _ => (404, "{}".to_owned()),
            };
            let headers = "Content-Type: application/json\r\n";
            if write_reply(&mut writer, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn body(&self, version: u64, rows: &[String]) -> String {
        let now = self.started.elapsed().as_millis();
        format!("{{\"rows\":[{}],\"hasMore\":false,\"ver\":{version},\"nowMs\":{now}}}", rows.join(","))
    }

    fn get(&self, table: &str, part: &str, from: &str) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let mut found = Vec::new();
        for (name, (value, version, _)) in &rows.rows {
            if name.0 == table && name.1 == part && name.2.as_str() >= from && value.is_some() {
                found.push(row_text(name, value.as_ref(), *version));
            }
        }
        (200, self.body(rows.version, &found))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<(u64, String)> = Vec::new();
            for (name, (value, version, _)) in &rows.rows {
                if name.0 == table && *version > after {
                    found.push((*version, row_text(name, value.as_ref(), *version)));
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort();
                let found: Vec<String> = found.into_iter().map(|(_, text)| text).collect();
                return (200, self.body(rows.version, &found));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut rows = self.rows.lock().unwrap();
        let name_of = |row: &Json| {
            let text = |field: &str| row.get(field).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut conflicts = Vec::new();
        for expected in call.get(F_EXPECT).list() {
            let name = name_of(expected);
            let known = rows.rows.get(&name).filter(|(value, ..)| value.is_some());
            let version = known.map_or(0, |(_, version, _)| *version);
            if version != expected.get("ver").number() {
                conflicts.push(row_text(&name, known.and_then(|(value, ..)| value.as_ref()), version));
            }
        }
        if !conflicts.is_empty() {
            return (412, self.body(rows.version, &conflicts));
        }
        rows.version += 1;
        let version = rows.version;
        for write in call.get("upserts").list() {
            let value = from_base64(write.get("value").text());
            if !call.get(F_EXPECT).list().is_empty() {
                rows.last_conditional = String::from_utf8_lossy(&value).into_owned();
            }
            rows.rows.insert(name_of(write), (Some(value), version, None));
        }
        self.changed.notify_all();
        (200, self.body(version, &[]))
    }
}

fn row_text((table, part, key): &RowKey, value: Option<&Vec<u8>>, version: u64) -> String {
    let name = format!("\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version}");
    match value {
        Some(value) => format!("{{{name},\"value\":\"{}\"}}", to_base64(value)),
        None => format!("{{{name},\"deleted\":true}}"),
    }
}

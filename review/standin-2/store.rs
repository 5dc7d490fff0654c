//! The platform's metadata store: tables of rows with one counter of versions.

use {
    crate::{
        F_EXPECT, FEED_PATH, GET_PATH, TX_PATH,
        json::{Json, decode_base64, encode_base64, quote},
        web::{Request, read_request, serve, write_answer},
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

type Name = (String, String, String);

#[derive(Default)]
struct Content {
    version: u64,
    /// Value and version of each row; no value after its removal.
    rows: BTreeMap<Name, (Option<Vec<u8>>, u64)>,
}

pub struct Store {
    pub address: SocketAddr,
    content: Mutex<Content>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            content: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = Arc::clone(&store);
        serve(listener, Arc::new(move |stream| served.handle(stream)));
        store
    }

    /// Writes a row as a server or the operator does; the return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        self.change(table, key, Some(value.to_vec()))
    }

    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.change(table, key, None)
    }

    fn change(&self, table: &str, key: &str, value: Option<Vec<u8>>) -> u64 {
        let mut content = self.content.lock().unwrap();
        content.version += 1;
        let version = content.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        content.rows.insert(name, (value, version));
        self.changed.notify_all();
        version
    }

    fn handle(&self, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        while let Ok(Some(request)) = read_request(&mut reader) {
            // The time of an answer.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if write_answer(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match request.path() {
            path if path == TX_PATH => self.transact(&request.body),
            path if path == GET_PATH => self.range(request),
            path if path == FEED_PATH => self.feed(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let name = |row: &Json| -> Name {
            let text = |field: &str| row.get(field).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut content = self.content.lock().unwrap();
        let mut conflicts = Vec::new();
        for expected in call.get(F_EXPECT).list() {
            let key = name(expected);
            let existing = content.rows.get(&key).filter(|row| row.0.is_some());
            let version = existing.map_or(0, |row| row.1);
            if version != expected.get("ver").number().unwrap_or(0) {
                let value = existing.and_then(|row| row.0.clone());
                conflicts.push(row_text(&key, &value, version));
            }
        }
        if !conflicts.is_empty() {
            let rows = conflicts.join(",");
            let text = format!(
                r#"{{"rows":[{rows}],"ver":{},"nowMs":{}}}"#,
                content.version,
                self.now_ms()
            );
            return (412, text);
        }
        content.version += 1;
        let version = content.version;
        for write in call.get("upserts").list() {
            let value = decode_base64(write.get("value").text());
            content.rows.insert(name(write), (Some(value), version));
        }
        for removed in call.get("deletes").list() {
            content.rows.insert(name(removed), (None, version));
        }
        self.changed.notify_all();
        (
            200,
            format!(r#"{{"ver":{version},"nowMs":{}}}"#, self.now_ms()),
        )
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let content = self.content.lock().unwrap();
        let mut rows = Vec::new();
        for (name, (value, version)) in &content.rows {
            if name.0 == table && name.1 == part && name.2 >= from && value.is_some() {
                rows.push(row_text(name, value, *version));
            }
        }
        let text = format!(
            r#"{{"rows":[{}],"hasMore":false,"ver":{},"nowMs":{}}}"#,
            rows.join(","),
            content.version,
            self.now_ms()
        );
        (200, text)
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let number = |name: &str| -> u64 {
            let text = request.query(name).unwrap_or_default();
            text.parse().unwrap_or(0)
        };
        let table = request.query("table").unwrap_or_default();
        let after = number("afterRev");
        let end = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let mut content = self.content.lock().unwrap();
        loop {
            let mut rows: Vec<(u64, String)> = Vec::new();
            for (name, (value, version)) in &content.rows {
                if name.0 == table && *version > after {
                    rows.push((*version, row_text(name, value, *version)));
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort();
                let rows: Vec<String> = rows.into_iter().map(|row| row.1).collect();
                let text = format!(
                    r#"{{"rows":[{}],"ver":{},"nowMs":{}}}"#,
                    rows.join(","),
                    content.version,
                    self.now_ms()
                );
                return (200, text);
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

fn row_text(name: &Name, value: &Option<Vec<u8>>, version: u64) -> String {
    let (table, part, key) = (quote(&name.0), quote(&name.1), quote(&name.2));
    let rest = match value {
        Some(value) => format!(r#""value":"{}""#, encode_base64(value)),
        None => r#""deleted":true"#.to_owned(),
    };
    format!(r#"{{"table":{table},"part":{part},"key":{key},{rest},"ver":{version}}}"#)
}

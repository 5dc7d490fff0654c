//! What all cases share: the record, the operator's configuration and the clients.

use {
    crate::{
        BOOKING_ROUTE, CONFIG, DEADLINE, KEY, LEDGER_ROUTE, MODEL, PREFIX, REQUEST_ID, SEAL,
        STREAM_ROUTE, TOKENS,
        store::Store,
        web::{call, connect, find, read_chunk, read_head, send_request},
    },
    std::{
        fs::File,
        io::Write,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// What was sent, answered and run, with the time since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("a record");
        Self {
            started: Instant::now(),
            file: Mutex::new(file),
        }
    }

    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}");
    }
}

/// A folder for settings and logs that is removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> Self {
        let name = format!("toucanring-review-2-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Writes a configuration; `desk` is the service that runs bookings and ledger reads.
pub fn put_config(store: &Store, version: u64, desk: &str) -> Instant {
    put_sized_config(store, version, desk, 2)
}

/// The same with groups of `size` servers.
pub fn put_sized_config(store: &Store, version: u64, desk: &str, size: usize) -> Instant {
    let routes = [
        STREAM_ROUTE.to_owned(),
        BOOKING_ROUTE.replace("%SERVICE%", desk),
        LEDGER_ROUTE.replace("%SERVICE%", desk),
    ];
    let text = CONFIG
        .replace("%VERSION%", &version.to_string())
        .replace("%SIZE%", &size.to_string())
        .replace("%ROUTES%", &routes.join(","));
    store.put("op", "config", text.as_bytes());
    Instant::now()
}

/// The end of a stream at its client.
#[derive(Debug, Clone)]
pub struct StreamEnd {
    pub status: u16,
    pub events: u64,
    pub is_whole: bool,
}

/// Sends a stream request and reads its events to the end.
pub fn run_stream(node: SocketAddr, id: &str, tokens: u64) -> StreamEnd {
    let mut end = StreamEnd {
        status: 0,
        events: 0,
        is_whole: false,
    };
    let count = format!("400,{tokens}");
    let headers = [
        ("Host", "case.example"),
        (REQUEST_ID, id),
        (KEY, "key-a"),
        (MODEL, "m-a"),
        (TOKENS, count.as_str()),
        (PREFIX, "5c1e07a2:40,91bd3f06:360"),
        (DEADLINE, "8000"),
    ];
    let Ok(mut reader) = connect(node, Duration::from_secs(8)) else {
        return end;
    };
    if send_request(reader.get_mut(), "POST", "/draft/x", &headers, b"a prompt").is_err() {
        return end;
    }
    let Ok((status, headers)) = read_head(&mut reader) else {
        return end;
    };
    end.status = status;
    if find(&headers, "transfer-encoding").is_none() {
        return end;
    }
    loop {
        match read_chunk(&mut reader) {
            Ok(Some(chunk)) => {
                let text = String::from_utf8_lossy(&chunk).into_owned();
                end.events += text.matches("data:").count() as u64;
            }
            Ok(None) => {
                end.is_whole = true;
                return end;
            }
            Err(_) => return end,
        }
    }
}

/// Sends a booking (`/book/`) or a ledger read (`/ledger/`); returns the status, and whether it bears
/// a server's seal. Status 0 means that the connection ended without an answer.
pub fn run_plain(node: SocketAddr, path: &str, id: &str) -> (u16, bool) {
    let headers = [
        ("Host", "case.example"),
        (REQUEST_ID, id),
        (KEY, "key-a"),
        (DEADLINE, "1500"),
    ];
    let answer = call(
        node,
        "POST",
        path,
        &headers,
        b"a booking",
        Duration::from_secs(2),
    );
    answer.map_or((0, false), |answer| {
        (answer.status, find(&answer.headers, SEAL).is_some())
    })
}

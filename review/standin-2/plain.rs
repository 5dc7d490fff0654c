//! Servers of a service without models: each runs a request for some milliseconds.

use {
    crate::{
        EXPECT, INSTANCE, KEY, NOT_EXECUTED, PLAIN_ENTRY, REQUEST_ID, SEAL,
        engine::{HEARTBEAT, unix_ms},
        store::Store,
        web::{read_request, serve, write_answer},
        world::Record,
    },
    std::{
        io::BufReader,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

pub struct PlainServer {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// True once its entry was removed; it serves on for a while.
    gone: AtomicBool,
    /// Milliseconds for which a request runs.
    pub work_ms: AtomicU64,
    /// Requests that were run: identifier and time.
    pub runs: Mutex<Vec<(String, Instant)>>,
    store: Arc<Store>,
    record: Arc<Record>,
    born: u128,
}

impl PlainServer {
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, id: &str, service: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            gone: AtomicBool::new(false),
            work_ms: AtomicU64::new(20),
            runs: Mutex::default(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            born: unix_ms(),
        });
        let served = Arc::clone(&server);
        serve(listener, Arc::new(move |stream| served.handle(stream)));
        let written = Arc::clone(&server);
        thread::spawn(move || {
            while !written.gone.load(Ordering::SeqCst) {
                written.write_entry();
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    fn write_entry(&self) {
        let entry = PLAIN_ENTRY
            .replace("%SERVICE%", &self.service)
            .replace("%ADDRESS%", &self.address.to_string())
            .replace("%BORN%", &self.born.to_string());
        self.store.put("servers", &self.id, entry.as_bytes());
    }

    /// Leaves without reporting `draining`: the entry is removed, and the server serves on.
    pub fn leave_silently(&self) -> Instant {
        self.gone.store(true, Ordering::SeqCst);
        self.store.remove("servers", &self.id);
        self.record.note(&format!(
            "the entry of {} is removed; it serves on",
            self.id
        ));
        Instant::now()
    }

    fn handle(&self, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let id = request.header(REQUEST_ID).unwrap_or_default().to_owned();
            let own = [(REQUEST_ID, id.as_str()), (INSTANCE, self.id.as_str())];
            if request.path() == "/health" {
                let _ = write_answer(&mut stream, 200, &own[1..], b"");
                continue;
            }
            if request
                .header(EXPECT)
                .is_some_and(|expected| expected != self.id)
            {
                let _ = write_answer(&mut stream, 421, &own, b"");
                continue;
            }
            if id.is_empty() || request.header(KEY).is_some() {
                let headers = [own[0], own[1], (NOT_EXECUTED, "1")];
                let _ = write_answer(&mut stream, 400, &headers, b"");
                continue;
            }
            self.runs.lock().unwrap().push((id.clone(), Instant::now()));
            self.record
                .note(&format!("server {} ({}) runs {id}", self.id, self.service));
            thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::Relaxed)));
            let seal = format!("s.{}.{id}", self.id);
            let body = format!("done by {} for {id}", self.id);
            let headers = [own[0], own[1], (SEAL, seal.as_str())];
            if write_answer(&mut stream, 200, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }
}

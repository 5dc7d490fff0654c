//! Model servers: they keep their entry in the store, carry out orders and run streams.

use {
    crate::{
        names::{EXPECT, F_COLD, F_FENCE, NOT_EXECUTED, ORDER_PATH, REPORT_PATH, REQUEST_ID, SEAL},
        record::Record,
        store::{HEARTBEAT, Store},
        wire::{Json, Message, read_message, write_reply},
    },
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

pub const MODEL: &str = "model-a";
pub const SERVICE: &str = "engines";

/// Time to load weights from the weight store, to join with weights of the host, to join a group of
/// the model of the last group, and from the order to open until the head serves.
pub const LOAD_TIME: Duration = Duration::from_millis(1_200);
pub const WARM_TIME: Duration = Duration::from_millis(700);
const REJOIN_TIME: Duration = Duration::from_millis(200);
pub const FORM_TIME: Duration = Duration::from_millis(300);

/// Time for which the head of a group that lacks a member stands still before it is broken.
const STALL_TIME: Duration = Duration::from_secs(4);

/// Age of the state that a report shows.
const REPORT_LAG: Duration = Duration::from_millis(200);

const EVENTS: u64 = 12;
const EVENT_TIME: Duration = Duration::from_millis(20);

#[derive(Clone)]
struct Group {
    name: String,
    epoch: u64,
    members: Vec<String>,
    state: &'static str,
    ready_at: Instant,
    open_at: Option<Instant>,
    still_since: Option<Instant>,
}

#[derive(Default)]
struct State {
    down: bool,
    leaving: bool,
    /// Partitioned from the store.
    cut: bool,
    /// Number of the next orders to join that get no answer.
    unanswered_joins: u32,
    group: Option<Group>,
    /// True when the last group of this start was one of the model.
    last_model: bool,
    staged: bool,
    staged_at: Option<Instant>,
    fence: u64,
    epoch: u64,
    seq: u64,
    orders: u64,
    running: u32,
    /// The `group` field of reports over the last moments.
    past: Vec<(Instant, String)>,
    written_at: Option<Instant>,
    written: String,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    born_ms: u64,
    state: Mutex<State>,
    store: Arc<Store>,
    record: Arc<Record>,
    fleet: Arc<Fleet>,
    beats: AtomicU64,
}

/// All engines, and the joins that break the rule TWO.
#[derive(Default)]
pub struct Fleet {
    pub engines: Mutex<Vec<Arc<Engine>>>,
    pub violations: Mutex<Vec<String>>,
}

impl Fleet {
    pub fn get(&self, id: &str) -> Option<Arc<Engine>> {
        let engines = self.engines.lock().unwrap();
        engines.iter().find(|engine| engine.id == id).cloned()
    }
}

impl Engine {
    pub fn start(id: &str, store: &Arc<Store>, record: &Arc<Record>, fleet: &Arc<Fleet>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            born_ms: born.as_millis() as u64,
            state: Mutex::default(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            fleet: Arc::clone(fleet),
            beats: AtomicU64::new(0),
        });
        fleet.engines.lock().unwrap().push(Arc::clone(&engine));
        let server = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.state.lock().unwrap().down {
                    return;
                }
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        let server = Arc::clone(&engine);
        thread::spawn(move || loop {
            server.advance();
            thread::sleep(Duration::from_millis(5));
        });
        engine
    }

    /// Number of entries written.
    pub fn beats(&self) -> u64 {
        self.beats.load(Ordering::Relaxed)
    }

    pub fn group_state(&self) -> Option<(String, &'static str, usize)> {
        let state = self.state.lock().unwrap();
        let group = state.group.as_ref()?;
        let rank = group.members.iter().position(|member| *member == self.id)?;
        Some((group.name.clone(), group.state, rank))
    }

    /// Group that this server opens, or has opened, as the head.
    pub fn opened_group(&self) -> Option<String> {
        let state = self.state.lock().unwrap();
        let group = state.group.as_ref()?;
        let opens = group.state == "open" || group.open_at.is_some();
        opens.then(|| group.name.clone())
    }

    pub fn is_staged(&self) -> bool {
        self.state.lock().unwrap().staged
    }

    pub fn cut_from_store(&self, is_cut: bool) {
        self.state.lock().unwrap().cut = is_cut;
    }

    pub fn leave_joins_unanswered(&self, count: u32) {
        self.state.lock().unwrap().unanswered_joins = count;
    }

    /// Announces that the server leaves, as before a planned stop.
    pub fn drain(&self) {
        self.state.lock().unwrap().leaving = true;
    }

    /// Ends the server after its drain: its entry is removed and its port closed.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        state.group = None;
        drop(state);
        self.store.put("servers", &self.id, None);
        // Wakes the listener, which ends.
        let _ = TcpStream::connect(self.address);
    }

    /// Moves on joins, openings, loads and stalls, and writes the entry when it is due.
    fn advance(&self) {
        let head_alone = self.lacks_member();
        let mut state = self.state.lock().unwrap();
        if state.down {
            return;
        }
        let now = Instant::now();
        if state.staged_at.is_some_and(|at| now >= at) {
            state.staged_at = None;
            state.staged = true;
        }
        let running = state.running;
        if let Some(group) = &mut state.group {
            match group.state {
                "joining" if now >= group.ready_at => group.state = "ready",
                "ready" if group.open_at.is_some_and(|at| now >= at) => {
                    group.open_at = None;
                    group.state = "open";
                    self.record.note(&format!("{} is open as the head of {}", self.id, group.name));
                }
                "closing" if running == 0 => group.state = "ready",
                "open" if head_alone => {
                    let since = *group.still_since.get_or_insert(now);
                    if now >= since + STALL_TIME {
                        group.state = "broken";
                    }
                }
                "open" => group.still_since = None,
                _ => {}
            }
        }
        let stated = self.group_text(&state);
        state.past.retain(|(at, _)| now < *at + Duration::from_secs(2));
        state.past.push((now, stated));
        let entry = self.entry(&state);
        let due = state.written_at.is_none_or(|at| now >= at + HEARTBEAT);
        if !state.cut && (due || entry != state.written) {
            state.written = entry;
            state.written_at = Some(now);
            state.seq += 1;
            let entry = self.entry(&state);
            state.written.clone_from(&entry);
            self.store.put("servers", &self.id, Some(&entry));
            self.beats.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// True for a head of which a member has left or is down.
    fn lacks_member(&self) -> bool {
        let Some(group) = self.state.lock().unwrap().group.clone() else {
            return false;
        };
        group.members.iter().any(|member| {
            let engine = self.fleet.get(member);
            let stated = engine.and_then(|engine| engine.group_state());
            stated.is_none_or(|(name, ..)| name != group.name)
        })
    }

    fn group_text(&self, state: &State) -> String {
        let Some(group) = &state.group else {
            return String::new();
        };
        let rank = group.members.iter().position(|member| *member == self.id).unwrap_or(0);
        format!(
            ",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{rank},\"state\":\"{}\"}}",
            group.name, group.epoch, group.state
        )
    }

    fn lists(&self, state: &State) -> String {
        let staged = if state.staged { format!("\"{MODEL}\"") } else { String::new() };
        let model = if state.last_model {
            format!("{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}")
        } else {
            String::new()
        };
        format!("\"stage\":\"unified\",\"models\":[{model}],\"staged\":[{staged}],\"domain\":\"rack-1\",\"born\":{}", self.born_ms)
    }

    fn entry(&self, state: &State) -> String {
        let word = if state.leaving { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{word}\",\"{F_COLD}\":0,\"seq\":{},{}{}}}",
            self.address,
            state.seq,
            self.lists(state),
            self.group_text(state)
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader) {
            if self.state.lock().unwrap().down {
                return;
            }
            let expected = call.header(EXPECT);
            if expected.is_some_and(|id| id != self.id) {
                let headers = format!("{NOT_EXECUTED}: 1\r\n");
                if write_reply(&mut writer, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let sent = match call.word(1) {
                ORDER_PATH => {
                    let order = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
                    let Some(status) = self.take_order(&order) else {
                        // The order was carried out; its answer never comes.
                        thread::sleep(Duration::from_secs(12));
                        return;
                    };
                    write_reply(&mut writer, status, "", b"")
                }
                REPORT_PATH => {
                    let body = self.report();
                    write_reply(&mut writer, 200, "Content-Type: application/json\r\n", body.as_bytes())
                }
                _ => self.run(&call, &mut writer),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let shown = state.past.iter().rev().find(|(at, _)| at.elapsed() >= REPORT_LAG);
        let group = shown.map_or("", |(_, text)| text);
        format!(
            "{{{},\"busy\":false,\"seq\":{},\"queued\":0,\"active\":{},\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0,\"pace\":1.0{group}}}",
            self.lists(&state),
            state.orders,
            state.running
        )
    }

    /// Carries out an order and returns the status of its answer; none when it is not answered.
    fn take_order(&self, order: &Json) -> Option<u16> {
        let op = order.get("op").text().to_owned();
        let name = order.get("group").text().to_owned();
        let epoch = order.get("epoch").number();
        let serving = self.serving_head();
        let mut state = self.state.lock().unwrap();
        let status = self.carry_out(&mut state, order, &op, &name, epoch);
        let mut answered = true;
        if op == "join" && status == 202 {
            if state.unanswered_joins > 0 {
                state.unanswered_joins -= 1;
                answered = false;
            }
            if let Some((head, group)) = serving {
                let line = format!("TWO: {} takes a join of {name} while {head}, the head of its group {group}, is open or closing", self.id);
                self.record.note(&line);
                self.fleet.violations.lock().unwrap().push(line);
            }
        }
        let answer = if answered { status.to_string() } else { format!("{status}, not answered") };
        self.record.note(&format!(
            "order to {}: {op} {name} with fencing token {} -> {answer}",
            self.id,
            order.get(F_FENCE).number()
        ));
        answered.then_some(status)
    }

    /// Head and name of the group of this server, if the head is open or closing.
    fn serving_head(&self) -> Option<(String, String)> {
        let group = self.state.lock().unwrap().group.clone()?;
        let head = self.fleet.get(&group.members[0])?;
        let (name, state, rank) = head.group_state()?;
        let serves = name == group.name && rank == 0 && matches!(state, "open" | "closing");
        serves.then(|| (head.id.clone(), group.name))
    }

    fn carry_out(&self, state: &mut State, order: &Json, op: &str, name: &str, epoch: u64) -> u16 {
        let fence = order.get(F_FENCE).number();
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        let now = Instant::now();
        let is_member = state.group.as_ref().is_some_and(|group| group.name == name && group.epoch == epoch);
        let status = match op {
            "stage" if state.staged => 200,
            "stage" => {
                state.staged_at.get_or_insert(now + LOAD_TIME);
                202
            }
            "join" if epoch < state.epoch => 412,
            "join" if is_member => 200,
            "join" if state.leaving => 409,
            "join" => {
                let members = order.get("members").list().iter().map(|id| id.text().to_owned());
                let time = if state.last_model {
                    REJOIN_TIME
                } else if state.staged {
                    WARM_TIME
                } else {
                    LOAD_TIME
                };
                state.epoch = epoch;
                state.staged = true;
                state.last_model = true;
                state.group = Some(Group {
                    name: name.to_owned(),
                    epoch,
                    members: members.collect(),
                    state: "joining",
                    ready_at: now + time,
                    open_at: None,
                    still_since: None,
                });
                202
            }
            _ if !is_member => 409,
            "leave" => {
                state.group = None;
                202
            }
            _ => {
                let group = state.group.as_mut().expect("a member");
                match (op, group.state) {
                    ("open", "ready") => {
                        group.open_at.get_or_insert(now + FORM_TIME);
                        202
                    }
                    ("open", "open") | ("close", "ready") => 200,
                    ("close", "open") => {
                        group.state = "closing";
                        202
                    }
                    ("open" | "close", _) => 409,
                    _ => 400,
                }
            }
        };
        if status == 202 {
            state.orders += 1;
        }
        status
    }

    /// Runs a stream, if this server is the head of an open group.
    fn run(&self, call: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = call.header(REQUEST_ID).unwrap_or("").to_owned();
        {
            let mut state = self.state.lock().unwrap();
            let is_head = state.group.as_ref().is_some_and(|group| group.members[0] == self.id && group.state == "open");
            if !is_head {
                drop(state);
                self.record.note(&format!("request {id} at {}: 421", self.id));
                return write_reply(writer, 421, &format!("{REQUEST_ID}: {id}\r\n{NOT_EXECUTED}: 1\r\n"), b"");
            }
            state.running += 1;
        }
        let sent = self.send_events(call, &id, writer);
        self.state.lock().unwrap().running -= 1;
        sent
    }

    fn send_events(&self, call: &Message, id: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let last: u64 = call.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.record.note(&format!("request {id} runs at {} from event {}", self.id, last + 1));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n{SEAL}: seal.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for event in last + 1..=EVENTS {
            thread::sleep(EVENT_TIME);
            let whole = self.group_state().is_some_and(|(_, state, _)| matches!(state, "open" | "closing"));
            if !whole || self.state.lock().unwrap().down {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let text = format!("id: {event}\ndata: {id}.{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            writer.write_all(chunk.as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

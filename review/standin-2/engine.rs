//! Model servers ("engines") that form groups, and their entries in the store.

use {
    crate::{
        DEADLINE, ENGINE_ENTRY, EXPECT, F_CLOSE, F_FENCE, INSTANCE, LAST_EVENT, MODEL,
        NOT_EXECUTED, ORDER_PATH, REPORT_PATH, REQUEST_ID, SEAL, TOKENS,
        json::{Json, quote},
        store::Store,
        web::{Request, read_request, write_answer},
        world::Record,
    },
    std::{
        collections::BTreeSet,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `stallMs`
const STALL: Duration = Duration::from_millis(4_000);
/// `formMs`
const FORM: Duration = Duration::from_millis(300);
/// `loadS`, a tenth of it before the first request, and `warmS`.
const LOAD: Duration = Duration::from_secs(16);
const WARM: Duration = Duration::from_millis(1_600);
const REJOIN: Duration = Duration::from_millis(200);
/// Time between two events of a stream: seven tokens.
const EVENT_PAUSE: Duration = Duration::from_millis(45);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Joining,
    Ready,
    Open,
    Closing,
    Broken,
}

impl State {
    fn label(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Ready => "ready",
            State::Open => "open",
            State::Closing => "closing",
            State::Broken => "broken",
        }
    }
}

#[derive(Debug, Clone)]
pub struct Member {
    pub group: String,
    pub epoch: u64,
    pub model: String,
    pub members: Vec<String>,
    pub state: State,
    ready_at: Instant,
    open_at: Option<Instant>,
    /// Since when the group of this head stands still.
    still_since: Option<Instant>,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub alive: bool,
    pub born: u128,
    seq: u64,
    fence: u64,
    highest_epoch: u64,
    pub member: Option<Member>,
    last_model: Option<String>,
    pub staged: Vec<String>,
    staging: Option<(String, Instant)>,
    pub running: u32,
    written_at: Instant,
    is_dirty: bool,
}

/// How a case lets a server treat an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderFate {
    Plain,
    /// No answer; the order is carried out after this time.
    Late(Duration),
}

type Fates = dyn Fn(&str, &Json, u32) -> OrderFate + Send + Sync;

pub struct EngineSite {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub engines: Mutex<Vec<Engine>>,
    pub breaches: Mutex<Vec<String>>,
    first_request: Mutex<bool>,
    fates: Mutex<Option<Arc<Fates>>>,
    counts: Mutex<std::collections::BTreeMap<String, u32>>,
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

impl EngineSite {
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, count: usize) -> Arc<Self> {
        let site = Arc::new(Self {
            store: Arc::clone(store),
            record: Arc::clone(record),
            engines: Mutex::default(),
            breaches: Mutex::default(),
            first_request: Mutex::new(false),
            fates: Mutex::new(None),
            counts: Mutex::default(),
        });
        for number in 0..count {
            site.add_engine(&format!("i-e{number:02}"));
        }
        let ticked = Arc::clone(&site);
        thread::spawn(move || {
            loop {
                ticked.tick();
                thread::sleep(Duration::from_millis(20));
            }
        });
        site
    }

    /// Sets what happens to orders: by server, order and the number of such orders to it so far.
    pub fn set_fates(&self, fates: impl Fn(&str, &Json, u32) -> OrderFate + Send + Sync + 'static) {
        *self.fates.lock().unwrap() = Some(Arc::new(fates));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Engine>> {
        self.engines.lock().unwrap()
    }

    fn add_engine(self: &Arc<Self>, id: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let now = Instant::now();
        self.lock().push(Engine {
            id: id.to_owned(),
            address,
            alive: true,
            born: unix_ms(),
            seq: 0,
            fence: 0,
            highest_epoch: 0,
            member: None,
            last_model: None,
            staged: Vec::new(),
            staging: None,
            running: 0,
            written_at: now,
            is_dirty: true,
        });
        self.listen(id, listener);
    }

    fn listen(self: &Arc<Self>, id: &str, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        let site = Arc::clone(self);
        let id = id.to_owned();
        thread::spawn(move || {
            // The listener is closed as soon as the server is down.
            while site.with(&id, |engine| engine.alive) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let site = Arc::clone(&site);
                let id = id.clone();
                thread::spawn(move || site.handle(&id, stream));
            }
        });
    }

    pub fn with<T>(&self, id: &str, step: impl FnOnce(&mut Engine) -> T) -> T {
        let mut engines = self.lock();
        let engine = engines.iter_mut().find(|engine| engine.id == id);
        step(engine.expect("a known server"))
    }

    /// The heads of groups that are open, with their groups.
    pub fn open_heads(&self) -> Vec<(String, Member)> {
        let engines = self.lock();
        let mut heads = Vec::new();
        for engine in engines.iter().filter(|engine| engine.alive) {
            if let Some(member) = &engine.member
                && member.state == State::Open
                && member.members[0] == engine.id
            {
                heads.push((engine.id.clone(), member.clone()));
            }
        }
        heads
    }

    /// Ends a server: its connections break and its address refuses. Returns the entry that it wrote
    /// last. `restart` starts it again before the store has missed three heartbeats.
    pub fn crash(&self, id: &str) -> String {
        let entry = self.with(id, |engine| {
            let entry = engine.entry();
            engine.alive = false;
            engine.member = None;
            engine.last_model = None;
            engine.staging = None;
            entry
        });
        self.record.note(&format!("server {id} crashes"));
        entry
    }

    /// Starts a crashed server again under its id and at its address. Its host keeps the staged
    /// weights; everything else is new.
    pub fn restart(self: &Arc<Self>, id: &str) {
        let address = self.with(id, |engine| engine.address);
        let listener = TcpListener::bind(address).expect("the address of the server");
        self.with(id, |engine| {
            engine.alive = true;
            engine.born = unix_ms();
            engine.seq = 0;
            engine.fence = 0;
            engine.highest_epoch = 0;
            engine.running = 0;
            engine.is_dirty = true;
        });
        self.record.note(&format!("server {id} starts again"));
        self.listen(id, listener);
    }

    /// Advances all groups and writes the entries that are due.
    fn tick(&self) {
        let now = Instant::now();
        let mut writes = Vec::new();
        {
            let mut engines = self.lock();
            let truth: Vec<(String, bool, Option<(String, u64)>)> = engines
                .iter()
                .map(|engine| {
                    let member = engine.member.as_ref();
                    let group = member.map(|member| (member.group.clone(), member.epoch));
                    (engine.id.clone(), engine.alive, group)
                })
                .collect();
            for engine in engines.iter_mut().filter(|engine| engine.alive) {
                engine.advance(now, &truth);
                if engine.is_dirty || now >= engine.written_at + HEARTBEAT {
                    engine.is_dirty = false;
                    engine.written_at = now;
                    writes.push((engine.id.clone(), engine.entry()));
                }
            }
        }
        for (id, entry) in writes {
            self.store.put("servers", &id, entry.as_bytes());
        }
    }

    fn handle(self: &Arc<Self>, id: &str, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !self.with(id, |engine| engine.alive) {
                return;
            }
            let json = [("Content-Type", "application/json")];
            let done = match request.path() {
                path if path == ORDER_PATH => {
                    let Some(status) = self.take_order(id, &request.body) else {
                        // No answer: the connection stays open and delivers nothing.
                        thread::sleep(Duration::from_secs(3));
                        return;
                    };
                    write_answer(&mut stream, status, &json, b"{}").is_ok()
                }
                path if path == REPORT_PATH => {
                    let report = self.with(id, |engine| engine.report());
                    write_answer(&mut stream, 200, &json, report.as_bytes()).is_ok()
                }
                "/health" => write_answer(&mut stream, 200, &[(INSTANCE, id)], b"").is_ok(),
                _ => self.run(id, &request, &mut stream),
            };
            if !done {
                return;
            }
        }
    }

    /// Takes an order; none when it gets no answer.
    fn take_order(self: &Arc<Self>, id: &str, body: &[u8]) -> Option<u16> {
        let Some(order) = Json::parse(body) else {
            return Some(400);
        };
        let op = order.get("op").text().to_owned();
        let count = {
            let mut counts = self.counts.lock().unwrap();
            let key = format!("{id} {op} {}", order.get("epoch").number().unwrap_or(0));
            let count = counts.entry(key).or_default();
            *count += 1;
            *count
        };
        let fates = self.fates.lock().unwrap().clone();
        let fate = fates.map_or(OrderFate::Plain, |fates| fates(id, &order, count));
        let text = String::from_utf8_lossy(body).into_owned();
        match fate {
            OrderFate::Plain => {
                let status = self.carry_out(id, &order);
                self.record
                    .note(&format!("order to {id}: {text} -> {status}"));
                Some(status)
            }
            OrderFate::Late(delay) => {
                self.record
                    .note(&format!("order to {id}: {text} -> no answer, late"));
                let site = Arc::clone(self);
                let id = id.to_owned();
                thread::spawn(move || {
                    thread::sleep(delay);
                    let status = site.carry_out(&id, &order);
                    site.record
                        .note(&format!("late order at {id}: {text} -> {status}"));
                });
                None
            }
        }
    }

    fn carry_out(&self, id: &str, order: &Json) -> u16 {
        let is_loading_fast = !*self.first_request.lock().unwrap();
        let mut engines = self.lock();
        let heads: Vec<(String, Option<Member>, bool)> = engines
            .iter()
            .map(|engine| (engine.id.clone(), engine.member.clone(), engine.alive))
            .collect();
        let engine = engines.iter_mut().find(|engine| engine.id == id);
        let engine = engine.expect("a known server");
        if !engine.alive {
            return 0;
        }
        let fence = order.get(F_FENCE).number().unwrap_or(0);
        if fence < engine.fence {
            return 412;
        }
        engine.fence = fence;
        let group = order.get("group").text().to_owned();
        let epoch = order.get("epoch").number().unwrap_or(0);
        let is_own = engine
            .member
            .as_ref()
            .is_some_and(|member| member.group == group && member.epoch == epoch);
        let now = Instant::now();
        let status = match order.get("op").text() {
            "stage" => {
                let model = order.get("model").text().to_owned();
                if engine.staged.contains(&model) {
                    200
                } else {
                    let load = if is_loading_fast { LOAD / 10 } else { LOAD };
                    engine.staging = Some((model, now + load));
                    202
                }
            }
            "join" => {
                let members = order.get("members").list().iter();
                let members: Vec<String> = members.map(|member| member.text().to_owned()).collect();
                let same = engine.member.as_ref().filter(|_| is_own);
                if epoch < engine.highest_epoch {
                    412
                } else if let Some(same) = same {
                    if same.members == members { 200 } else { 412 }
                } else {
                    if let Some(breach) = breach_of_two(engine, &heads, &group, epoch) {
                        self.record.note(&breach);
                        self.breaches.lock().unwrap().push(breach);
                    }
                    let model = order.get("model").text().to_owned();
                    let wait = if engine.last_model.as_ref() == Some(&model) {
                        REJOIN
                    } else if engine.staged.contains(&model) {
                        WARM
                    } else if is_loading_fast {
                        LOAD / 10
                    } else {
                        LOAD
                    };
                    engine.highest_epoch = epoch;
                    engine.staged = vec![model.clone()];
                    engine.last_model = Some(model.clone());
                    engine.member = Some(Member {
                        group,
                        epoch,
                        model,
                        members,
                        state: State::Joining,
                        ready_at: now + wait,
                        open_at: None,
                        still_since: None,
                    });
                    202
                }
            }
            "open" => match engine.member.as_mut().filter(|_| is_own) {
                Some(member) if member.members[0] == id && member.state == State::Ready => {
                    member.open_at.get_or_insert(now + FORM);
                    202
                }
                Some(member) if member.state == State::Open => 200,
                _ => 409,
            },
            "close" => match engine.member.as_mut().filter(|_| is_own) {
                Some(member) if member.state == State::Open => {
                    member.state = State::Closing;
                    let _ = order.get(F_CLOSE);
                    202
                }
                Some(member) if member.state == State::Ready => 200,
                _ => 409,
            },
            "leave" => {
                if is_own {
                    engine.member = None;
                    200
                } else {
                    409
                }
            }
            _ => 400,
        };
        if status == 202 || status == 200 {
            engine.seq += u64::from(status == 202);
            engine.is_dirty = true;
        }
        status
    }

    /// Runs a request at the head of a group; false when the connection is to end.
    fn run(&self, id: &str, request: &Request, stream: &mut TcpStream) -> bool {
        *self.first_request.lock().unwrap() = true;
        let request_id = request.header(REQUEST_ID).unwrap_or_default().to_owned();
        let own = [(REQUEST_ID, request_id.as_str()), (INSTANCE, id)];
        if request
            .header(EXPECT)
            .is_some_and(|expected| expected != id)
        {
            return write_answer(stream, 421, &own, b"").is_ok();
        }
        let refused = [own[0], own[1], (NOT_EXECUTED, "1")];
        let member = self.with(id, |engine| engine.member.clone());
        let Some(member) = member.filter(|member| member.members[0] == id) else {
            return write_answer(stream, 421, &own, b"").is_ok();
        };
        if member.state != State::Open || request.header(MODEL) != Some(&member.model) {
            return write_answer(stream, 503, &refused, b"").is_ok();
        }
        let answer = request
            .header(TOKENS)
            .and_then(|text| text.split(',').nth(1));
        let tokens: u64 = answer
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or(70);
        let first: u64 = request
            .header(LAST_EVENT)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let wait: u64 = request
            .header(DEADLINE)
            .and_then(|text| text.parse().ok())
            .unwrap_or(8_000);
        let until = Instant::now() + Duration::from_millis(wait);
        self.with(id, |engine| engine.running += 1);
        let sent = self.stream_events(
            id,
            &member,
            (&request_id, first, tokens.div_ceil(7)),
            until,
            stream,
        );
        self.with(id, |engine| {
            engine.running = engine.running.saturating_sub(1)
        });
        sent
    }

    fn stream_events(
        &self,
        id: &str,
        member: &Member,
        (request_id, first, events): (&str, u64, u64),
        until: Instant,
        stream: &mut TcpStream,
    ) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\n{SEAL}: s.{id}.{request_id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut has_head = false;
        let mut next = Instant::now() + EVENT_PAUSE * 2;
        let mut event = first;
        while event < events {
            thread::sleep(Duration::from_millis(5));
            let now = Instant::now();
            let present = self.with(id, |engine| {
                let current = engine.member.as_ref().filter(|_| engine.alive);
                let current =
                    current.filter(|own| own.group == member.group && own.epoch == member.epoch);
                current.map(|own| (own.state, own.still_since.is_some()))
            });
            let Some((state, is_still)) = present else {
                return false;
            };
            if state == State::Broken || now >= until {
                return false;
            }
            if is_still || now < next {
                continue;
            }
            next = now + EVENT_PAUSE;
            event += 1;
            if !has_head {
                has_head = true;
                self.record.note(&format!(
                    "server {id} runs {request_id} from event {event} on, in {} (epoch {})",
                    member.group, member.epoch
                ));
                if stream.write_all(head.as_bytes()).is_err() {
                    return false;
                }
            }
            let text = format!("id: {event}\ndata: piece {event} of {request_id}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Rule TWO: a server takes a join of another group while the head of its group is open or closing,
/// or stands still and isn't yet broken.
fn breach_of_two(
    engine: &Engine,
    all: &[(String, Option<Member>, bool)],
    group: &str,
    epoch: u64,
) -> Option<String> {
    let member = engine.member.as_ref()?;
    let head = &member.members[0];
    let (_, state, alive) = all.iter().find(|(id, ..)| id == head)?;
    let state = state.as_ref().filter(|_| *alive)?;
    let is_same = state.group == member.group && state.epoch == member.epoch;
    if !is_same || !matches!(state.state, State::Open | State::Closing) {
        return None;
    }
    let ids: BTreeSet<&str> = member.members.iter().map(String::as_str).collect();
    Some(format!(
        "TWO is broken: {} takes a join of {group} (epoch {epoch}) while {head}, the head of its \
         group {} (epoch {}, members {ids:?}), is {}{}",
        engine.id,
        member.group,
        member.epoch,
        state.state.label(),
        if state.still_since.is_some() {
            " and stands still"
        } else {
            ""
        }
    ))
}

impl Engine {
    fn advance(&mut self, now: Instant, truth: &[(String, bool, Option<(String, u64)>)]) {
        if let Some((model, at)) = self.staging.clone()
            && now >= at
        {
            self.staged = vec![model];
            self.staging = None;
            self.is_dirty = true;
        }
        let running = self.running;
        let id = self.id.clone();
        let Some(member) = self.member.as_mut() else {
            return;
        };
        let before = member.state;
        if member.state == State::Joining && now >= member.ready_at {
            member.state = State::Ready;
        }
        if member.state == State::Ready
            && let Some(at) = member.open_at
            && now >= at
        {
            member.open_at = None;
            member.state = State::Open;
        }
        if member.members[0] == id && matches!(member.state, State::Open | State::Closing) {
            let own = Some((member.group.clone(), member.epoch));
            let is_whole = member.members.iter().all(|member| {
                let found = truth.iter().find(|(id, ..)| id == member);
                found.is_some_and(|(_, alive, group)| *alive && *group == own)
            });
            if is_whole {
                member.still_since = None;
            } else if now >= *member.still_since.get_or_insert(now) + STALL {
                member.state = State::Broken;
            }
        }
        if member.state == State::Closing && running == 0 {
            member.state = State::Ready;
        }
        self.is_dirty |= member.state != before;
    }

    fn group_text(&self) -> String {
        let Some(member) = &self.member else {
            return "\"models\":[]".to_owned();
        };
        let rank = member
            .members
            .iter()
            .position(|id| *id == self.id)
            .unwrap_or(0);
        format!(
            r#""models":[{{"name":{},"version":1,"adapters":[]}}],"group":{{"name":{},"epoch":{},"rank":{rank},"state":"{}"}}"#,
            quote(&member.model),
            quote(&member.group),
            member.epoch,
            member.state.label()
        )
    }

    fn staged_text(&self) -> String {
        let staged: Vec<String> = self.staged.iter().map(|model| quote(model)).collect();
        staged.join(",")
    }

    /// The entry of the server in the store.
    pub fn entry(&self) -> String {
        ENGINE_ENTRY
            .replace("%ADDRESS%", &self.address.to_string())
            .replace("%STAGED%", &self.staged_text())
            .replace("%GROUP%", &self.group_text())
            .replace("%BORN%", &self.born.to_string())
            .replace("%SEQ%", &self.seq.to_string())
    }

    fn report(&self) -> String {
        format!(
            r#"{{"stage":"unified",{},"busy":false,"seq":{},"queued":0,"active":{},"kvUsed":0,"kvTotal":1590000,"handles":0,"domain":"d1","staged":[{}],"born":{}}}"#,
            self.group_text(),
            self.seq,
            self.running,
            self.staged_text(),
            self.born
        )
    }
}

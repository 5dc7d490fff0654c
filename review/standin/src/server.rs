//! Backend servers: model engines in groups, as the users' pages describe them, and plain servers.

use crate::{
    json::{Value, parse},
    record::Record,
    store::Store,
    web::{Request, name, respond, serve},
};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time for which a group that lost a member stands still before it is broken.
pub const STALL: Duration = Duration::from_secs(4);

/// Time between two events of a stream, and their number.
const EVENT_PAUSE: Duration = Duration::from_millis(50);
const EVENTS: u32 = 15;

/// Time of an order until the group serves, in the configuration.
const FORM: Duration = Duration::from_millis(300);

#[derive(Clone, PartialEq)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    pub rank: usize,
    pub state: &'static str,
    pub members: Vec<String>,
    pub model: String,
}

#[derive(Default)]
struct Engine {
    orders: u64,
    fence: u64,
    epoch: u64,
    group: Option<Group>,
    last_model: String,
    staged: Vec<String>,
    stands_since: Option<Instant>,
    culprit: String,
    running: usize,
    /// Prompts that are not read yet.
    unread: u32,
}

pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    zone: &'static str,
    fabric: u32,
    born: u64,
    engine: Mutex<Engine>,
    dead: AtomicBool,
    leaving: AtomicBool,
    writes: AtomicU64,
    /// Orders that get no answer and are carried out after this time: operation and number left.
    pub late_orders: Mutex<Vec<(&'static str, u32, Duration)>>,
    /// Time at which the store acknowledged that the server leaves, and requests later than 2 s after it.
    leaves_since: Mutex<Option<Instant>>,
    pub late_arrivals: AtomicU64,
    /// Number of orders that came and that got no answer.
    pub order_counts: Mutex<(u32, u32)>,
}

/// Time to read one prompt; prompts are read one after the other.
const READ: Duration = Duration::from_millis(5);

/// Time after which a leaving server gets no new requests.
const DRAIN: Duration = Duration::from_secs(2);

/// Everything that the servers share.
pub struct Site {
    pub store: Arc<Store>,
    pub servers: Mutex<Vec<Arc<Server>>>,
    pub record: Arc<Record>,
    pub has_served: AtomicBool,
    /// Time to the first event of a stream.
    pub first_event_ms: AtomicU64,
}

/// Seconds to load a model from the weight store, and from the host.
fn load_times(model: &str) -> (f64, f64) {
    if model == "model-a" {
        (16.0, 1.6)
    } else {
        (12.0, 1.1)
    }
}

impl Site {
    fn first_event(&self) -> Duration {
        Duration::from_millis(self.first_event_ms.load(Ordering::SeqCst))
    }

    pub fn find(&self, id: &str) -> Option<Arc<Server>> {
        self.servers
            .lock()
            .unwrap()
            .iter()
            .find(|server| server.id == id)
            .cloned()
    }

    pub fn add_server(
        self: &Arc<Self>,
        id: &str,
        service: &'static str,
        zone: &'static str,
        fabric: u32,
    ) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = std::time::SystemTime::UNIX_EPOCH
            .elapsed()
            .map_or(1, |time| time.as_millis());
        let server = Arc::new(Server {
            id: id.to_owned(),
            service,
            address: listener.local_addr().expect("an address"),
            zone,
            fabric,
            born: u64::try_from(born).unwrap_or(1),
            engine: Mutex::default(),
            dead: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            writes: AtomicU64::new(0),
            leaves_since: Mutex::default(),
            late_arrivals: AtomicU64::new(0),
            late_orders: Mutex::default(),
            order_counts: Mutex::default(),
        });
        self.servers.lock().unwrap().push(Arc::clone(&server));
        let (site, shared, alive) = (Arc::clone(self), Arc::clone(&server), Arc::clone(&server));
        serve(
            listener,
            move || !alive.dead.load(Ordering::SeqCst),
            move |request, stream| shared.answer(&site, request, stream),
        );
        let (site, shared) = (Arc::clone(self), Arc::clone(&server));
        thread::spawn(move || {
            while !shared.dead.load(Ordering::SeqCst) {
                shared.write_entry(&site);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        server
    }

    /// Lets the heads of groups that have lost a member stand still and then break.
    pub fn watch_groups(self: &Arc<Self>) {
        let site = Arc::clone(self);
        thread::spawn(move || {
            loop {
                let servers = site.servers.lock().unwrap().clone();
                for server in servers {
                    server.check_group(&site);
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
    }
}

impl Server {
    fn is_dead(&self) -> bool {
        self.dead.load(Ordering::SeqCst)
    }

    pub fn group(&self) -> Option<Group> {
        self.engine.lock().unwrap().group.clone()
    }

    /// Ends the server for good: its port refuses connections, open ones end with a reset or an end.
    pub fn kill(&self) {
        self.dead.store(true, Ordering::SeqCst);
    }

    pub fn drain(&self, site: &Site) {
        self.leaving.store(true, Ordering::SeqCst);
        self.write_entry(site);
        *self.leaves_since.lock().unwrap() = Some(Instant::now());
    }

    pub fn write_entry(&self, site: &Site) {
        if self.is_dead() {
            return;
        }
        let number = self.writes.fetch_add(1, Ordering::SeqCst);
        let engine = self.engine.lock().unwrap();
        let state = if self.leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let slots = if self.service == "desk" { 6 } else { 26 };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"{}\":0,\"seq\":{number},\
             \"born\":{},\"domain\":{},{}}}",
            self.service,
            self.address,
            self.zone,
            name("cold"),
            self.born,
            self.fabric,
            own_state(&engine)
        );
        // Under the lock, so that entries reach the store in their order.
        site.store.put("servers", &self.id, Some(&entry));
    }

    fn check_group(&self, site: &Site) {
        let mut engine = self.engine.lock().unwrap();
        let Some(group) = engine.group.clone() else {
            return;
        };
        if group.rank != 0 || !["open", "closing"].contains(&group.state) || self.is_dead() {
            return;
        }
        let mut lost = None;
        for id in &group.members[1..] {
            let Some(member) = site.find(id) else {
                continue;
            };
            let in_group = member
                .group()
                .is_some_and(|other| other.name == group.name && other.epoch == group.epoch);
            if member.is_dead() || !in_group {
                lost = Some(id.clone());
            }
        }
        let Some(lost) = lost else { return };
        engine.culprit = lost;
        let since = *engine.stands_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= STALL {
            engine.group = Some(Group {
                state: "broken",
                ..group
            });
            site.record.line(&format!("{}: the group broke", self.id));
            drop(engine);
            self.write_entry(site);
        }
    }

    fn answer(
        self: &Arc<Self>,
        site: &Arc<Site>,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        if request.path == name("order") {
            return self.take_order(site, request, stream);
        }
        if request.path == name("report") {
            let engine = self.engine.lock().unwrap();
            let body = format!(
                "{{\"stage\":\"unified\",{},\"busy\":false,\"seq\":{},\"queued\":0,\
                 \"active\":{},\"kvUsed\":0,\"kvTotal\":1590000,\"handles\":0,\"born\":{},\
                 \"pace\":1.0}}",
                own_state(&engine),
                engine.orders,
                engine.running,
                self.born
            );
            drop(engine);
            return respond(
                stream,
                200,
                &[("Content-Type", "application/json")],
                body.as_bytes(),
            );
        }
        if request.path == "/health" {
            return respond(stream, 200, &[(name("instance"), &self.id)], b"");
        }
        if request.header("expected") != self.id {
            return self.reject(site, request, stream, 421, "");
        }
        let leaves_since = *self.leaves_since.lock().unwrap();
        if leaves_since.is_some_and(|since| since.elapsed() > DRAIN) {
            let id = request.header("request_id");
            site.record
                .line(&format!("{}: request {id} comes late", self.id));
            self.late_arrivals.fetch_add(1, Ordering::SeqCst);
        }
        if self.service == "desk" {
            self.run_plain(site, request, stream)
        } else {
            self.run_stream(site, request, stream)
        }
    }

    fn reject(
        &self,
        site: &Site,
        request: &Request,
        stream: &mut TcpStream,
        status: u16,
        culprit: &str,
    ) -> io::Result<()> {
        let id = request.header("request_id");
        site.record
            .line(&format!("{}: request {id} not run, {status}", self.id));
        let mut headers = vec![
            (name("request_id"), id.as_str()),
            (name("instance"), self.id.as_str()),
            (name("not_run"), "1"),
        ];
        if !culprit.is_empty() {
            headers.push((name("culprit"), culprit));
        }
        respond(stream, status, &headers, b"")
    }

    fn run_plain(&self, site: &Site, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let id = request.header("request_id");
        site.record.line(&format!("{}: request {id} runs", self.id));
        thread::sleep(Duration::from_millis(60));
        if self.is_dead() {
            site.record.line(&format!(
                "{}: request {id} is lost with the server",
                self.id
            ));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let headers = [(name("request_id"), id.as_str()), (name("seal"), "3e1b.07")];
        respond(stream, 200, &headers, b"booked")
    }

    /// Waits until the group moves on; the group is passed as it was when the request came.
    fn wait_for_group(&self, group: &Group, pause: Duration) -> Result<(), &'static str> {
        thread::sleep(pause);
        loop {
            if self.is_dead() {
                return Err("the server is gone");
            }
            let engine = self.engine.lock().unwrap();
            let Some(present) = &engine.group else {
                return Err("the head left");
            };
            if present.name != group.name || present.epoch != group.epoch {
                return Err("the head joined another group");
            }
            if present.state == "broken" {
                return Err("the group is broken");
            }
            if engine.stands_since.is_none() {
                return Ok(());
            }
            drop(engine);
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn run_stream(&self, site: &Site, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        site.has_served.store(true, Ordering::SeqCst);
        let group = {
            let mut engine = self.engine.lock().unwrap();
            let group = engine.group.clone();
            match group {
                Some(group) if group.rank == 0 && group.state == "open" => {
                    engine.running += 1;
                    group
                }
                Some(group) if group.rank != 0 => {
                    drop(engine);
                    return self.reject(site, request, stream, 421, "");
                }
                _ => {
                    let culprit = engine.culprit.clone();
                    drop(engine);
                    return self.reject(site, request, stream, 503, &culprit);
                }
            }
        };
        let end = self.write_events(site, request, stream, &group);
        self.engine.lock().unwrap().running -= 1;
        end
    }

    fn write_events(
        &self,
        site: &Site,
        request: &Request,
        stream: &mut TcpStream,
        group: &Group,
    ) -> io::Result<()> {
        let id = request.header("request_id");
        if request.header("model") != group.model {
            return self.reject(site, request, stream, 503, "");
        }
        let first_event = {
            let mut engine = self.engine.lock().unwrap();
            engine.unread += 1;
            site.first_event() + READ * engine.unread
        };
        let begun = self.wait_for_group(group, first_event);
        self.engine.lock().unwrap().unread -= 1;
        if let Err(cause) = begun {
            site.record.line(&format!(
                "{}: request {id} does not begin: {cause}",
                self.id
            ));
            let culprit = self.engine.lock().unwrap().culprit.clone();
            return self.reject(site, request, stream, 503, &culprit);
        }
        site.record
            .line(&format!("{}: request {id} runs in {}", self.id, group.name));
        let after: u32 = request
            .headers
            .get("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             {}: {id}\r\n{}: 3e1b.07\r\n\r\n",
            name("request_id"),
            name("seal")
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            let event = format!("id: {number}\ndata: token {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if let Err(cause) = self.wait_for_group(group, EVENT_PAUSE) {
                site.record
                    .line(&format!("{}: request {id} is cut off: {cause}", self.id));
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn take_order(
        self: &Arc<Self>,
        site: &Arc<Site>,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let Some(order) = parse(&String::from_utf8_lossy(&request.body)) else {
            return respond(stream, 400, &[], b"");
        };
        let op = order.get("op").text();
        let delay = {
            let mut late = self.late_orders.lock().unwrap();
            let fits = late
                .iter_mut()
                .find(|(late, left, _)| *late == op && *left > 0);
            fits.map(|(_, left, delay)| {
                *left -= 1;
                *delay
            })
        };
        let mut counts = self.order_counts.lock().unwrap();
        counts.0 += 1;
        counts.1 += u32::from(delay.is_some());
        drop(counts);
        let text = format!(
            "{}: order {op} {} epoch {} fence {}",
            self.id,
            order.get("group").text(),
            order.get("epoch").number(),
            order.get(name("fence")).number()
        );
        let Some(delay) = delay else {
            let status = self.carry_out(site, &order);
            site.record.line(&format!("{text}: {status}"));
            return respond(stream, status, &[], b"");
        };
        site.record.line(&format!(
            "{text}: no answer, carried out in {} ms",
            delay.as_millis()
        ));
        let (server, site) = (Arc::clone(self), Arc::clone(site));
        thread::spawn(move || {
            thread::sleep(delay);
            let status = server.carry_out(&site, &order);
            site.record
                .line(&format!("{text}: carried out late with {status}"));
        });
        // The connection stays open without an answer until the other end closes it.
        thread::sleep(Duration::from_secs(5));
        Err(io::ErrorKind::TimedOut.into())
    }

    fn carry_out(self: &Arc<Self>, site: &Arc<Site>, order: &Value) -> u16 {
        let mut engine = self.engine.lock().unwrap();
        let fence = order.get(name("fence")).number();
        if fence < engine.fence {
            return 412;
        }
        engine.fence = fence;
        let (group, epoch) = (order.get("group").text(), order.get("epoch").number());
        let is_in = engine
            .group
            .as_ref()
            .is_some_and(|own| own.name == group && own.epoch == epoch);
        let state = engine.group.as_ref().map_or("", |own| own.state);
        let status = match order.get("op").text().as_str() {
            "join" => return self.join(site, engine, order),
            "open" if is_in && state == "open" => 200,
            "open" if is_in && state == "ready" => {
                self.change_later(site, FORM, (group, epoch), "ready", "open");
                202
            }
            "close" if is_in && state == "ready" => 200,
            "close" if is_in && ["open", "closing"].contains(&state) => {
                set_state(&mut engine, "closing");
                self.finish_close(site, group, epoch);
                202
            }
            "leave" if is_in => {
                engine.group = None;
                engine.stands_since = None;
                200
            }
            "stage" => {
                let model = order.get("model").text();
                if engine.staged.contains(&model) {
                    200
                } else {
                    let (server, site) = (Arc::clone(self), Arc::clone(site));
                    thread::spawn(move || {
                        thread::sleep(server.load_time(&site, &model));
                        server.engine.lock().unwrap().staged = vec![model];
                        server.write_entry(&site);
                    });
                    202
                }
            }
            "open" | "close" | "leave" => 409,
            _ => 400,
        };
        if status < 300 {
            engine.orders += 1;
        }
        drop(engine);
        self.write_entry(site);
        status
    }

    fn load_time(&self, site: &Site, model: &str) -> Duration {
        let share = if site.has_served.load(Ordering::SeqCst) {
            1.0
        } else {
            0.1
        };
        Duration::from_secs_f64(load_times(model).0 * share)
    }

    fn join(
        self: &Arc<Self>,
        site: &Arc<Site>,
        mut engine: std::sync::MutexGuard<'_, Engine>,
        order: &Value,
    ) -> u16 {
        let (group, epoch) = (order.get("group").text(), order.get("epoch").number());
        let model = order.get("model").text();
        let members: Vec<String> = order
            .get("members")
            .list()
            .iter()
            .map(Value::text)
            .collect();
        if epoch < engine.epoch {
            return 412;
        }
        if let Some(own) = &engine.group
            && own.name == group
            && own.epoch == epoch
        {
            return if own.members == members { 200 } else { 412 };
        }
        let Some(rank) = members.iter().position(|id| *id == self.id) else {
            return 409;
        };
        let pause = if engine.last_model == model {
            Duration::from_millis(200)
        } else if engine.staged.contains(&model) {
            Duration::from_secs_f64(load_times(&model).1)
        } else {
            self.load_time(site, &model)
        };
        engine.epoch = epoch;
        engine.orders += 1;
        engine.stands_since = None;
        engine.group = Some(Group {
            name: group.clone(),
            epoch,
            rank,
            state: "joining",
            members,
            model: model.clone(),
        });
        drop(engine);
        self.write_entry(site);
        let (server, shared) = (Arc::clone(self), Arc::clone(site));
        thread::spawn(move || {
            thread::sleep(pause);
            let mut engine = server.engine.lock().unwrap();
            let is_in = engine.group.as_ref().is_some_and(|own| own.name == group);
            if !is_in || server.is_dead() {
                return;
            }
            engine.staged = vec![model.clone()];
            engine.last_model = model;
            set_state(&mut engine, "ready");
            drop(engine);
            server.write_entry(&shared);
        });
        202
    }

    fn change_later(
        self: &Arc<Self>,
        site: &Arc<Site>,
        pause: Duration,
        (group, epoch): (String, u64),
        from: &'static str,
        to: &'static str,
    ) {
        let (server, site) = (Arc::clone(self), Arc::clone(site));
        thread::spawn(move || {
            thread::sleep(pause);
            let mut engine = server.engine.lock().unwrap();
            let fits = engine
                .group
                .as_ref()
                .is_some_and(|own| own.name == group && own.epoch == epoch && own.state == from);
            if fits && !server.is_dead() {
                set_state(&mut engine, to);
                drop(engine);
                site.record.line(&format!("{}: {group} is {to}", server.id));
                server.write_entry(&site);
            }
        });
    }

    fn finish_close(self: &Arc<Self>, site: &Arc<Site>, group: String, epoch: u64) {
        let (server, site) = (Arc::clone(self), Arc::clone(site));
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut engine = server.engine.lock().unwrap();
                let fits = engine.group.as_ref().is_some_and(|own| {
                    own.name == group && own.epoch == epoch && own.state == "closing"
                });
                if !fits {
                    return;
                }
                if engine.running == 0 {
                    set_state(&mut engine, "ready");
                    drop(engine);
                    server.write_entry(&site);
                    return;
                }
            }
        });
    }
}

fn set_state(engine: &mut Engine, state: &'static str) {
    if let Some(group) = &mut engine.group {
        group.state = state;
    }
}

/// Models, staged models and group, as entries and reports show them.
fn own_state(engine: &Engine) -> String {
    let staged: Vec<String> = engine
        .staged
        .iter()
        .map(|model| format!("\"{model}\""))
        .collect();
    let mut text = format!("\"staged\":[{}]", staged.join(","));
    match &engine.group {
        Some(group) => {
            text += &format!(
                ",\"models\":[{{\"name\":\"{}\",\"version\":1,\"adapters\":[]}}],\"group\":{{\
                 \"name\":\"{}\",\"epoch\":{},\"rank\":{},\"state\":\"{}\"}}",
                group.model, group.name, group.epoch, group.rank, group.state
            );
        }
        None => text += ",\"models\":[]",
    }
    text
}

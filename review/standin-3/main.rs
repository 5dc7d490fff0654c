//! Stand-ins of the platform, its servers and clients, and the cases of this review that start nodes
//! as processes. Usage: `standin-3 CASE RECORD`; TROUBLE=0 leaves the disruption out. Exit codes: 0
//! the rule held, 1 it was broken, 2 the case could not run.

mod engine;
mod names {
    include!("wire-names.in");
}
mod record;
mod store;
mod wire;

use {
    engine::{Engine, FORM_TIME, Fleet, LOAD_TIME, MODEL, SERVICE, WARM_TIME},
    names::{
        DEADLINE, F_ATTEMPTS, F_CONNECTIONS, F_GAP, F_KEYS, F_LOADS, F_OBJECTIVE, KEY, PREFIX, READY_PATH, REQUEST_ID,
        TOKENS,
    },
    record::Record,
    std::{
        env, fs,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        path::PathBuf,
        process::{Child, Command, ExitCode, Stdio},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    store::{HEARTBEAT, Store},
    wire::{read_chunk, read_head, read_message},
};

const NODES: usize = 2;

/// Servers of a group.
const GROUP_SIZE: usize = 4;

/// All servers; those beyond a group are spares. One of them is 0.2 of all, as a partition from the
/// store may concern.
const ENGINES: usize = 5;

/// Time from the drain of a head to the partition of another member of its group.
const DRAIN_LEAD: Duration = Duration::from_millis(60);

/// Longest partition of a server from the store.
const CUT_TIME: Duration = Duration::from_secs(10);

/// Longest time from the death of the holder until the case ends.
const WATCH_TIME: Duration = Duration::from_secs(9);

struct Node {
    name: String,
    listen: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

struct World {
    store: Arc<Store>,
    fleet: Arc<Fleet>,
    nodes: Vec<Node>,
    folder: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.process.kill();
            let _ = node.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Addresses that were free a moment ago.
fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let listeners: [TcpListener; COUNT] = std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    std::array::from_fn(|index| listeners[index].local_addr().expect("an address"))
}

fn configuration() -> String {
    let form = FORM_TIME.as_millis();
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"drafts\",\"host\":\"models.example\",\"prefix\":\"/draft/\",\
         \"kind\":\"stream\",\"timeoutMs\":5000,\"{F_OBJECTIVE}\":300,\"{F_GAP}\":300,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"{F_ATTEMPTS}\":2,\"public\":false,\"sticky\":true,\"resumable\":true}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"{F_CONNECTIONS}\":394,\"engine\":{{\"slots\":26,\
         \"kvCapacityTokens\":1590000,\"stride\":7,\"step_ms\":5.95,\"per_seq_ms\":0.0445,\"context_per_k\":0.00813,\
         \"read_per_s\":50700.0,\"pairs_per_m\":0.368,\"chunk\":2048,\"{F_LOADS}\":4.5,\"loads_at_once\":6,\
         \"formMs\":{form}.0,\"models\":[{{\"name\":\"{MODEL}\",\"size\":{GROUP_SIZE},\"share\":1.0,\"pace\":1.0,\
         \"loadS\":{},\"warmS\":{}}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"tenant-a\",\"{F_KEYS}\":[\"key-a\"]}}]}}",
        LOAD_TIME.as_secs_f64(),
        WARM_TIME.as_secs_f64()
    )
}

/// The command of the role in the deploy file.
fn run_command() -> Option<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml").ok()?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run = "))?;
    Some(line.trim_matches('"').split(' ').map(str::to_owned).collect())
}

impl World {
    fn start(record: &Arc<Record>) -> Option<Self> {
        let store = Store::start(record);
        store.put("op", "config", Some(&configuration()));
        let fleet = Arc::<Fleet>::default();
        for index in 0..ENGINES {
            Engine::start(&format!("i-{index}"), &store, record, &fleet);
        }
        let folder = env::temp_dir().join(format!("standin-3-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut world = Self { store, fleet, nodes: Vec::new(), folder };
        let command = run_command()?;
        let addresses: Vec<[SocketAddr; 4]> = (0..NODES).map(|_| free_addresses()).collect();
        let peers: Vec<String> = addresses.iter().map(|[_, _, peer, _]| format!("\"{peer}\"")).collect();
        for (index, [listen, ready, peer, metrics]) in addresses.iter().enumerate() {
            let name = format!("front-zone-a-{}", index + 1);
            let settings = format!(
                "{{\"name\":\"{name}\",\"failure_domain\":\"zone-a\",\"failure_domains\":[\"zone-a\"],\
                 \"listen\":\"{listen}\",\"ready_listen\":\"{ready}\",\"peer_listen\":\"{peer}\",\
                 \"metrics_listen\":\"{metrics}\",\"peers\":[{}],\"store\":\"{}\",\"first_start\":true,\
                 \"cpu_share\":0.25,\"memory_mb\":260,\"descriptors\":4200,\"link_mbps\":1000.0,\
                 \"bounds\":{{\"stop_grace_s\":8,\"retry_ratio\":0.2,\"retry_extra\":130,\"retry_window_s\":10}}}}",
                peers.join(","),
                world.store.address
            );
            let path = world.folder.join(format!("{name}.json"));
            fs::write(&path, settings).ok()?;
            let log = fs::File::create(world.folder.join(format!("{name}.log"))).ok()?;
            let process = Command::new(&command[0])
                .args(&command[1..])
                .env("TOUCANRING_SETTINGS", &path)
                .stdin(Stdio::null())
                .stdout(log.try_clone().ok()?)
                .stderr(log)
                .spawn()
                .ok()?;
            world.nodes.push(Node { name, listen: *listen, ready: *ready, process });
        }
        Some(world)
    }

    fn is_ready(node: &Node) -> bool {
        let Ok(mut stream) = TcpStream::connect(node.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let asked = stream.write_all(format!("GET {READY_PATH} HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n").as_bytes());
        let answer = read_message(&mut BufReader::new(stream));
        asked.is_ok() && answer.is_some_and(|answer| answer.word(1) == "200")
    }

    /// Position of the node that wrote last to the store under a condition: the lease holder.
    fn holder(&self) -> Option<usize> {
        let row = self.store.last_conditional();
        self.nodes.iter().position(|node| row.contains(&node.name))
    }
}

fn wait_for(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if check() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// Sends streams to the nodes in turn, one after the other, and notes how each ends.
fn send_streams(record: &Record, addresses: &[SocketAddr], stop: &AtomicBool, complete: &AtomicU32) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("r-{count}");
        let end = send_stream(&id, addresses[count % addresses.len()]);
        if end == "200, complete" {
            complete.fetch_add(1, Ordering::Relaxed);
        }
        record.note(&format!("answer to {id}: {end}"));
        thread::sleep(Duration::from_millis(150));
    }
}

fn send_stream(id: &str, address: SocketAddr) -> String {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return "no connection".to_owned();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let request = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: models.example\r\n{REQUEST_ID}: {id}\r\n{KEY}: key-a\r\n\
         X-Model: {MODEL}\r\n{TOKENS}: 200,84\r\n{PREFIX}: a{id_hex}:200\r\n{DEADLINE}: 5000\r\n\
         Content-Length: 6\r\n\r\nprompt",
        id_hex = id.trim_start_matches("r-")
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return "cut".to_owned();
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader) else {
        return "no answer".to_owned();
    };
    if head.word(1) != "200" {
        return head.word(1).to_owned();
    }
    loop {
        match read_chunk(&mut reader) {
            None => return "200, cut off".to_owned(),
            Some(chunk) if chunk.is_empty() => return "200, complete".to_owned(),
            Some(_) => {}
        }
    }
}

/// A server is ordered into another group while it is the head of an open one: a new lease holder goes
/// by an entry that the server could not replace, since it is partitioned from the store.
fn case_two(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let mut world = World::start(record)?;
    let ready = wait_for(Duration::from_secs(10), || world.nodes.iter().all(World::is_ready));
    if !ready {
        record.note("the nodes are not ready");
        return None;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let complete = Arc::new(AtomicU32::new(0));
    let addresses: Vec<SocketAddr> = world.nodes.iter().map(|node| node.listen).collect();
    let sender = {
        let (record, stop, complete) = (Arc::clone(record), Arc::clone(&stop), Arc::clone(&complete));
        thread::spawn(move || send_streams(&record, &addresses, &stop, &complete))
    };
    let result = run_case_two(&mut world, record, trouble, &complete);
    stop.store(true, Ordering::Relaxed);
    let _ = sender.join();
    result
}

fn run_case_two(world: &mut World, record: &Arc<Record>, trouble: bool, complete: &AtomicU32) -> Option<bool> {
    let engines = world.fleet.engines.lock().unwrap().clone();
    let open_head = || engines.iter().find(|engine| engine.group_state().is_some_and(|(_, state, rank)| state == "open" && rank == 0));
    let settled = wait_for(Duration::from_secs(30), || open_head().is_some() && engines.iter().all(|engine| engine.is_staged()));
    let served = wait_for(Duration::from_secs(5), || complete.load(Ordering::Relaxed) >= 5);
    thread::sleep(Duration::from_secs(1));
    let Some(head) = open_head().filter(|_| settled && served).cloned() else {
        record.note("no group serves, or its spare has no weights");
        return None;
    };
    let (first_group, ..) = head.group_state()?;
    let members: Vec<_> = engines.iter().filter(|engine| engine.group_state().is_some_and(|(name, ..)| name == first_group)).cloned().collect();
    // The first of the other members in the order of identifiers.
    let server = members.iter().find(|engine| engine.id != head.id)?.clone();
    record.note(&format!("{first_group} serves with the head {}", head.id));

    // The drain begins shortly before the server writes its entry, and the partition right after that.
    let beats = server.beats();
    wait_for(Duration::from_secs(2), || server.beats() > beats);
    thread::sleep(HEARTBEAT - DRAIN_LEAD);
    record.note(&format!("planned: {} drains and leaves", head.id));
    head.drain();
    let beats = server.beats();
    wait_for(Duration::from_secs(2), || server.beats() > beats);
    if trouble {
        record.note(&format!("disruption: {} is partitioned from the store", server.id));
        server.cut_from_store(true);
        record.note(&format!("disruption: the next join of {} gets no answer", server.id));
        server.leave_joins_unanswered(1);
    }
    let cut_at = Instant::now();
    let opened = wait_for(Duration::from_secs(8), || {
        engines.iter().any(|engine| engine.opened_group().is_some_and(|name| name != first_group))
    });
    if !opened {
        record.note("no second group opens");
        return None;
    }
    if trouble {
        let holder = world.holder()?;
        record.note(&format!("disruption: {} is killed, which wrote last to the store under a condition", world.nodes[holder].name));
        let _ = world.nodes[holder].process.kill();
        let _ = world.nodes[holder].process.wait();
    }
    thread::sleep(Duration::from_secs(2));
    head.end();
    let end = Instant::now() + WATCH_TIME;
    while Instant::now() < end {
        if cut_at.elapsed() >= CUT_TIME {
            server.cut_from_store(false);
        }
        thread::sleep(Duration::from_millis(20));
    }
    server.cut_from_store(false);
    if complete.load(Ordering::Relaxed) < 5 {
        return None;
    }
    Some(world.fleet.violations.lock().unwrap().is_empty())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(path));
    let held = match case.as_str() {
        "two" => case_two(&record, trouble),
        _ => None,
    };
    let (word, code) = match held {
        Some(true) => ("the rule held", 0),
        Some(false) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.note(word);
    println!("{word}");
    ExitCode::from(code)
}

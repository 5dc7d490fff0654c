//! Processes of the project, started with the command of the deploy file.

use {
    crate::{READY_PATH, web::call, world::Record},
    std::{
        fs::File,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::Path,
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Processes that were started and not waited for.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

fn process_of(child: &Child) -> i32 {
    i32::try_from(child.id()).expect("a process id")
}

/// Kills the processes that are left; each is a child that has not been waited for, so that its id is
/// still its own.
pub fn kill_all() {
    let running = RUNNING.lock().unwrap_or_else(|error| error.into_inner());
    for process in running.iter() {
        unsafe { kill(*process, 9) };
    }
}

pub struct Node {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    record: Arc<Record>,
}

/// What differs between the settings of nodes.
pub struct NodePlan<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub zones: &'a [&'a str],
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub control: SocketAddr,
}

/// Number of ports that this process has tried so far.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// A free address for TCP and UDP. Its port is below those that the system gives to connections, which
/// could take it before the node does, and each process begins elsewhere.
pub fn free_address() -> SocketAddr {
    loop {
        let tried = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (std::process::id() * 61 + tried) % 10_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// The command of the only role of the deploy file.
fn command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let line = line.expect("a command").trim_end().trim_end_matches('"');
    line.split(' ').map(ToOwned::to_owned).collect()
}

impl Node {
    pub fn start(plan: &NodePlan<'_>, folder: &Path, record: &Arc<Record>) -> Self {
        let front = free_address();
        let ready = free_address();
        let settings = folder.join(format!("{}.json", plan.name));
        let node_text = settings_text(plan, (front, ready));
        std::fs::write(&settings, node_text).expect("settings can be written");
        let child = spawn(&settings, folder, plan.name);
        record.note(&format!("starts {} with process {}", plan.name, child.id()));
        Self {
            child,
            name: plan.name.to_owned(),
            front,
            ready,
            record: Arc::clone(record),
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET",
            READY_PATH,
            &[("Host", "x")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.note(&format!("{} is not ready", self.name));
        false
    }

    fn end(&mut self) {
        let process = process_of(&self.child);
        RUNNING
            .lock()
            .unwrap_or_else(|error| error.into_inner())
            .retain(|other| *other != process);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// True when the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(settings: &Path, folder: &Path, name: &str) -> Child {
    let words = command();
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")));
    let log = log.expect("a log file");
    let errors = log.try_clone().expect("a log file");
    let child = Command::new(&words[0])
        .args(&words[1..])
        .env("TOUCANRING_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the node starts");
    RUNNING
        .lock()
        .unwrap_or_else(|error| error.into_inner())
        .push(process_of(&child));
    child
}

/// The settings as `deploy/settings.json` gives them for a small deployment.
fn settings_text(plan: &NodePlan<'_>, (front, ready): (SocketAddr, SocketAddr)) -> String {
    let zones: Vec<String> = plan
        .zones
        .iter()
        .map(|zone| format!("\"{zone}\""))
        .collect();
    let seeds: Vec<String> = plan
        .seeds
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    format!(
        r#"{{"name":"{}","failure_domain":"{}","failure_domains":[{}],"listen":"{front}","ready_listen":"{ready}","peer_listen":"{}","metrics_listen":"{}","peers":[{}],"store":"{}","first_start":true,"cpu_share":0.25,"memory_mb":260,"descriptors":4200,"link_mbps":1000.0,"bounds":{{"stop_grace_s":8,"retry_ratio":0.2,"retry_extra":130,"retry_window_s":10}}}}"#,
        plan.name,
        plan.zone,
        zones.join(","),
        plan.control,
        free_address(),
        seeds.join(","),
        plan.store
    )
}

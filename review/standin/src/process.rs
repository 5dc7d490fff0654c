//! Processes of the project under test: settings, start and end, and whose connection a port is.

use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 12_000..30_000;

/// An address with a port that is free for TCP and UDP. The first port tried depends on the process, so
/// that several runs at once rarely try the same.
pub fn free_address() -> SocketAddr {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    let count = PORTS.end - PORTS.start;
    loop {
        let tried = TRIED.fetch_add(1, Ordering::SeqCst);
        let offset = (std::process::id().wrapping_mul(97).wrapping_add(tried)) % count;
        let port = u16::try_from(PORTS.start + offset).expect("a port");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// True when a TCP connection from this local port belongs to the process.
pub fn owns_port(process: u32, port: u16) -> bool {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let suffix = format!(":{port:04X}");
    let mut inode = None;
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if fields.len() > 9 && fields[1].ends_with(&suffix) && fields[9] != "0" {
            inode = Some(format!("socket:[{}]", fields[9]));
        }
    }
    let Some(inode) = inode else { return false };
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|target| target.to_string_lossy() == inode)
}

pub struct Node {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The run command of the deploy file, without its quotes.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"));
    let line = line.expect("a run command");
    line.split('"').nth(1).expect("a quoted command").to_owned()
}

impl Node {
    /// Starts a node with the command of the deploy file. Its output goes to files in `folder`.
    pub fn start(
        folder: &Path,
        index: usize,
        domains: (&str, &str),
        store: SocketAddr,
        peer: SocketAddr,
        peers: &[SocketAddr],
    ) -> Self {
        let (callers, ready, metrics) = (free_address(), free_address(), free_address());
        let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let (own, all) = domains;
        let settings = format!(
            "{{\"name\":\"front-{own}-{index}\",\"failure_domain\":\"{own}\",\
             \"failure_domains\":[{all}],\"listen\":\"{callers}\",\"ready_listen\":\"{ready}\",\
             \"peer_listen\":\"{peer}\",\"metrics_listen\":\"{metrics}\",\"peers\":[{}],\
             \"store\":\"{store}\",\"first_start\":true,\"cpu_share\":0.25,\"memory_mb\":260,\
             \"descriptors\":4200,\"bounds\":{{\"stop_grace_s\":8,\"retry_ratio\":0.2,\
             \"retry_extra\":130,\"retry_window_s\":10}}}}",
            peers.join(",")
        );
        let path = folder.join(format!("settings-{index}.json"));
        fs::write(&path, settings).expect("settings can be written");
        let log = folder.join(format!("node-{index}.log"));
        let output = fs::File::create(&log).expect("a log file");
        let errors = output.try_clone().expect("a log file");
        let command = run_command();
        let mut words = command.split_whitespace();
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .env("TOUCANRING_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the node starts");
        // run.sh ends what is listed here when it is stopped itself.
        let list = std::env::var("REVIEW_PROCESSES").unwrap_or_default();
        if let Ok(mut list) = fs::OpenOptions::new().append(true).create(true).open(list) {
            let _ = writeln!(list, "{}", child.id());
        }
        Self {
            child,
            callers,
            ready,
            log,
        }
    }
}

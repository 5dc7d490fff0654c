//! Case 1: a caller ends and closes its connections, some with running, some with waiting requests.

use crate::{
    Outcome, call, describe, finds_starved, is_ready,
    process::{Node, free_address},
    record::Record,
    request_head, start_site, wait_until,
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time from the start of the traffic to the last caller that leaves, and to the end of all.
const LEAVE_UNTIL: Duration = Duration::from_secs(20);
const END_AT: Duration = Duration::from_secs(75);

/// Time of the first caller that leaves.
const FIRST_LEAVES_AT: Duration = Duration::from_millis(1_200);

/// Time from which on requests for the second model are frequent.
const BUSY_FROM: Duration = Duration::from_secs(24);

/// Requests of a caller that leaves, each on a connection of its own.
const REQUESTS: usize = 34;

/// Time after which the caller leaves, within half of the latency objective.
const LEAVE_AFTER: Duration = Duration::from_millis(50);

/// Time between two callers that leave.
const CALLER_PAUSE: Duration = Duration::from_secs(4);

/// Kind of request: path, model and milliseconds between two of them, before and from [`BUSY_FROM`].
const KINDS: [(&str, &str, u64, u64); 2] = [
    ("notes", "model-a", 50, 50),
    ("drafts", "model-b", 2_000, 125),
];

fn send_and_leave(address: SocketAddr, round: usize, record: &Record, leaves: bool) {
    let mut connections = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("leaving-{round}-{number}");
        let path = format!("/drafts/{id}");
        let head = request_head("POST", &path, &id, 8_000, "model-b");
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let _ = stream.write_all(format!("{head}Content-Length: 6\r\n\r\nprompt").as_bytes());
        connections.push(stream);
    }
    record.line(&format!("caller {round}: sent {REQUESTS} requests"));
    if !leaves {
        thread::sleep(Duration::from_secs(8));
    } else {
        thread::sleep(LEAVE_AFTER);
    }
    drop(connections);
    record.line(&format!("caller {round}: left"));
}

pub fn run(record: &Arc<Record>, work: &Path, trouble: &str) -> Outcome {
    let (site, store) = start_site(Arc::clone(record));
    let mut engines = Vec::new();
    for number in 0..10 {
        let fabric = 1 + number / 5;
        engines.push(site.add_server(&format!("i-{number}"), "engines", "zone-a", fabric));
    }
    let node = Node::start(
        work,
        1,
        ("zone-a", "\"zone-a\""),
        store,
        free_address(),
        &[],
    );
    let leads = |model: &str| {
        engines.iter().any(|engine| {
            let group = engine.group();
            group.is_some_and(|group| {
                group.rank == 0 && group.state == "open" && group.model == model
            })
        })
    };
    if !wait_until(Duration::from_secs(20), || {
        is_ready(node.ready) && KINDS.iter().all(|kind| leads(kind.1))
    }) {
        return Err("no group of each model".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    record.line("traffic begins");
    let counts: Arc<Mutex<BTreeMap<&str, (u32, u32)>>> = Arc::default();
    let started = Instant::now();
    for (kind, model, calm_pause, busy_pause) in KINDS {
        let (counts, record, address) = (Arc::clone(&counts), Arc::clone(record), node.callers);
        thread::spawn(move || {
            let mut number = 0;
            while started.elapsed() < END_AT {
                number += 1;
                let (counts, record) = (Arc::clone(&counts), Arc::clone(&record));
                thread::spawn(move || {
                    let id = format!("{kind}-{number}");
                    let head =
                        request_head("POST", &format!("/{kind}/{number}"), &id, 8_000, model);
                    record.line(&format!("client: sends {id}"));
                    let answer = call(address, &head, b"prompt", Duration::from_secs(8));
                    record.line(&format!("client: {id} gets {}", describe(answer.as_ref())));
                    let served = answer.is_some_and(|answer| answer.status == 200 && answer.whole);
                    let mut counts = counts.lock().unwrap();
                    let count = counts.entry(kind).or_default();
                    count.0 += 1;
                    count.1 += u32::from(served);
                });
                let is_busy = started.elapsed() >= BUSY_FROM;
                let pause = if is_busy { busy_pause } else { calm_pause };
                thread::sleep(Duration::from_millis(pause));
            }
        });
    }
    let mut round = 0;
    thread::sleep(FIRST_LEAVES_AT);
    while started.elapsed() < LEAVE_UNTIL {
        round += 1;
        let (record, address, leaves) = (Arc::clone(record), node.callers, trouble != "0");
        thread::spawn(move || send_and_leave(address, round, &record, leaves));
        thread::sleep(CALLER_PAUSE);
    }
    thread::sleep((END_AT + Duration::from_secs(9)).saturating_sub(started.elapsed()));
    let counts = counts.lock().unwrap().clone();
    Ok(!finds_starved(record, &counts))
}

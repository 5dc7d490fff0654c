//! Case 2: a member of a group crashes for good while the head leaves one order unanswered.

use crate::{
    Outcome, call, describe, finds_starved, is_ready,
    process::{Node, free_address},
    record::Record,
    request_head,
    server::Server,
    start_site, wait_until,
};
use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time from the start of the traffic to the crash, and to the end of the traffic.
const CRASH_AT: Duration = Duration::from_secs(12);
const END_AT: Duration = Duration::from_secs(80);

/// Time after its last heartbeat at which the store drops the entry of a silent server.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

/// Time after which the order without an answer is carried out; the pages say 2 to 12 s.
const LATE: Duration = Duration::from_secs(3);

/// Kind of request: path, model and time between two of them.
const KINDS: [(&str, &str, u64); 2] = [("notes", "model-a", 250), ("drafts", "model-b", 5_000)];

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
    let head_of = |model: &str| {
        let leads = |engine: &&Arc<Server>| {
            let group = engine.group();
            group.is_some_and(|group| {
                group.rank == 0 && group.state == "open" && group.model == model
            })
        };
        engines.iter().find(leads).cloned()
    };
    let is_up = || is_ready(node.ready) && KINDS.iter().all(|kind| head_of(kind.1).is_some());
    if !wait_until(Duration::from_secs(20), is_up) {
        return Err("no group of each model".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    record.line("traffic begins");

    // For each kind: requests and those served.
    let counts: Arc<Mutex<BTreeMap<&str, (u32, u32)>>> = Arc::default();
    let started = Instant::now();
    for (kind, model, pause) in KINDS {
        let (counts, record, address) = (Arc::clone(&counts), Arc::clone(record), node.callers);
        thread::spawn(move || {
            let mut number = 0;
            while started.elapsed() < END_AT {
                number += 1;
                let (counts, record) = (Arc::clone(&counts), Arc::clone(&record));
                thread::spawn(move || {
                    let id = format!("{kind}-{number}");
                    let path = format!("/{kind}/{number}");
                    let head = request_head("POST", &path, &id, 8_000, model);
                    record.line(&format!("client: sends {id}"));
                    let answer = call(address, &head, b"prompt", Duration::from_secs(8));
                    record.line(&format!("client: {id} gets {}", describe(answer.as_ref())));
                    let served = answer.is_some_and(|answer| answer.status == 200 && answer.whole);
                    let mut counts = counts.lock().unwrap();
                    let count = counts.entry(kind).or_default();
                    count.0 += 1;
                    count.1 += u32::from(served);
                });
                thread::sleep(Duration::from_millis(pause));
            }
        });
    }

    thread::sleep(CRASH_AT.saturating_sub(started.elapsed()));
    if trouble != "0" {
        let head = head_of("model-b").ok_or("the group of model-b is gone")?;
        let group = head.group().ok_or("the head is in no group")?;
        let member = site.find(&group.members[1]).ok_or("no such member")?;
        if trouble != "crash" {
            head.late_orders.lock().unwrap().push(("leave", 1, LATE));
        }
        member.write_entry(&site);
        member.kill();
        record.line(&format!(
            "{}: crashes for good, member of {}",
            member.id, group.name
        ));
        thread::sleep(ENTRY_LIFETIME);
        site.store.put("servers", &member.id, None);
        record.line(&format!("{}: its entry is removed", member.id));
    }
    thread::sleep((END_AT + Duration::from_secs(9)).saturating_sub(started.elapsed()));

    let (mut orders, mut silent) = (0, 0);
    for engine in &engines {
        let counts = *engine.order_counts.lock().unwrap();
        orders += counts.0;
        silent += counts.1;
    }
    record.line(&format!("orders: {orders}, without an answer: {silent}"));
    let log = std::fs::read_to_string(&node.log).unwrap_or_default();
    for line in log.lines().filter(|line| line.contains("panicked")) {
        record.line(&format!("the node writes: {line}"));
    }
    let counts = counts.lock().unwrap().clone();
    Ok(!finds_starved(record, &counts))
}

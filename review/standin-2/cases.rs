//! The cases. Each returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.

use {
    crate::{
        engine::EngineSite,
        node::{Node, NodePlan, free_address},
        plain::PlainServer,
        proxy::Proxy,
        store::Store,
        world::{Record, TempFolder, put_config, run_plain, run_stream},
    },
    std::{path::Path, sync::{Arc, Mutex}, thread, time::{Duration, Instant}},
};

pub fn run(name: &str, folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::open(folder));
    let temp = TempFolder::create();
    let code = match name {
        "foreign-entry" => foreign_entry(&record, &temp.0, has_trouble),
        "late-entry" => late_entry(&record, &temp.0, has_trouble),
        "silent-connections" => silent_connections(&record, &temp.0, has_trouble),
        _ => 2,
    };
    let text = match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    };
    record.note(text);
    println!("{name}: {text}");
    code
}

fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Another writer leaves an entry with missing fields under the id of a server.
fn foreign_entry(record: &Arc<Record>, temp: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    put_config(&store, 7, "desk-svc");
    let site = EngineSite::start(&store, record, 4);
    let plan = NodePlan {
        name: "front-1",
        zone: "zone-a",
        zones: &["zone-a"],
        store: store.address,
        seeds: Vec::new(),
        control: free_address(),
    };
    let mut node = Node::start(&plan, temp, record);
    if !node.wait_ready(Duration::from_secs(10)) || !wait_for(Duration::from_secs(20), || site.open_heads().len() == 2) {
        return 2;
    }
    record.note("two groups are open");
    let front = node.front;
    let clients: Vec<_> = (0..12)
        .map(|number| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                for round in 0..3 {
                    let id = format!("stream-{number}-{round}");
                    let end = run_stream(front, &id, 350);
                    record.note(&format!("client of {id}: {end:?}"));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    let (head, group) = site.open_heads()[0].clone();
    if has_trouble {
        let (address, staged) = site.with(&head, |engine| (engine.address, engine.staged.clone()));
        let entry = format!(
            r#"{{"service":"model-svc","address":"{address}","zone":"zone-a","slots":26,"state":"ready","domain":"d1","staged":["{}"]}}"#,
            staged[0]
        );
        record.note(&format!("another writer writes servers/{head}, the head of {}: {entry}", group.group));
        store.put("servers", &head, entry.as_bytes());
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    if node.has_ended() {
        return 2;
    }
    i32::from(!site.breaches.lock().unwrap().is_empty())
}

/// The servers of a group crash and start again under their ids. The last heartbeat that one of them
/// had sent before gets no answer and is performed by the store some seconds later.
fn late_entry(record: &Arc<Record>, temp: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    put_config(&store, 7, "desk-svc");
    let site = EngineSite::start(&store, record, 4);
    let plan = NodePlan {
        name: "front-1",
        zone: "zone-a",
        zones: &["zone-a"],
        store: store.address,
        seeds: Vec::new(),
        control: free_address(),
    };
    let mut node = Node::start(&plan, temp, record);
    if !node.wait_ready(Duration::from_secs(10)) || !wait_for(Duration::from_secs(20), || site.open_heads().len() == 2) {
        return 2;
    }
    record.note("two groups are open");
    let front = node.front;
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                for round in 0..5 {
                    let id = format!("stream-{number}-{round}");
                    let end = run_stream(front, &id, 350);
                    record.note(&format!("client of {id}: {end:?}"));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    let (_, group) = site.open_heads()[0].clone();
    let last_entries: Vec<(String, String)> =
        group.members.iter().map(|member| (member.clone(), site.crash(member))).collect();
    let crashed = Instant::now();
    thread::sleep(Duration::from_millis(800));
    for member in &group.members {
        site.restart(member);
    }
    thread::sleep((crashed + Duration::from_secs(6)).saturating_duration_since(Instant::now()));
    let mut led: Option<&(String, String)> = None;
    for (head, group) in site.open_heads() {
        record.note(&format!("open: {} (epoch {}) with head {head} and members {:?}", group.group, group.epoch, group.members));
        led = led.or(last_entries.iter().find(|(id, _)| *id == head));
    }
    let Some((head, last_entry)) = led else {
        return 2;
    };
    if has_trouble {
        record.note(&format!("the store performs the last heartbeat of {head} before its crash: {last_entry}"));
        store.put("servers", head, last_entry.as_bytes());
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    if node.has_ended() {
        return 2;
    }
    i32::from(!site.breaches.lock().unwrap().is_empty())
}

/// `contactMs` and `configApplyMs` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Open connections to the store go silent for good; the operator then moves a route.
fn silent_connections(record: &Arc<Record>, temp: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    put_config(&store, 7, "desk-svc");
    let proxy = Proxy::start(store.address);
    let old = PlainServer::start(&store, record, "i-old", "desk-svc");
    let new = PlainServer::start(&store, record, "i-new", "desk-new");
    let zones = ["zone-a", "zone-b", "zone-c"];
    let controls = [free_address(), free_address(), free_address()];
    let nodes: Vec<Node> = (0..3)
        .map(|number| {
            let plan = NodePlan {
                name: &format!("front-{number}"),
                zone: zones[number],
                zones: &zones,
                store: proxy.address,
                seeds: controls.to_vec(),
                control: controls[number],
            };
            Node::start(&plan, temp, record)
        })
        .collect();
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(10))) {
        return 2;
    }
    thread::sleep(CONTACT + Duration::from_secs(2));
    // An ordinary change, after which all nodes ask the store for the next one.
    put_config(&store, 9, "desk-svc");
    record.note("the operator writes version 9");
    thread::sleep(Duration::from_millis(60));
    let silenced = Instant::now();
    if has_trouble {
        proxy.silence();
        record.note("all open connections to the store go silent; new ones work");
    }
    thread::sleep(Duration::from_millis(500));
    let acknowledged = put_config(&store, 12, "desk-new");
    record.note("the operator writes version 12, which moves the routes from desk-svc to desk-new");
    // Requests from when the nodes are in touch and the bound is over.
    let from = (silenced + CONTACT).max(acknowledged + CONFIG_APPLY) + Duration::from_millis(20);
    thread::sleep(from.saturating_duration_since(Instant::now()));
    let late: Arc<Mutex<Vec<String>>> = Arc::default();
    let senders: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (front, name) = (node.front, node.name.clone());
            let (record, late) = (Arc::clone(record), Arc::clone(&late));
            thread::spawn(move || {
                for number in 0..60 {
                    let id = format!("book-{name}-{number}");
                    record.note(&format!("client sends {id}"));
                    let (status, sealed) = run_plain(front, "/book/x", &id);
                    record.note(&format!("client of {id}: status {status}, sealed {sealed}"));
                    late.lock().unwrap().push(id);
                }
            })
        })
        .collect();
    for sender in senders {
        let _ = sender.join();
    }
    let sent = late.lock().unwrap().clone();
    let runs = |server: &PlainServer| {
        let runs = server.runs.lock().unwrap();
        runs.iter().filter(|(id, _)| sent.contains(id)).count()
    };
    let (by_old, by_new) = (runs(&old), runs(&new));
    record.note(&format!("of {} requests {by_old} were run by the old service and {by_new} by the new one", sent.len()));
    if by_old + by_new == 0 {
        return 2;
    }
    i32::from(by_old > 0)
}

//! The cases. Each returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.

use {
    crate::{
        engine::{EngineSite, OrderFate},
        node::{Node, NodePlan, free_address},
        plain::PlainServer,
        proxy::Proxy,
        store::Store,
        world::{Record, TempFolder, put_config, put_sized_config, run_plain, run_stream},
    },
    std::{
        path::Path,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Which disruptions a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// The crash of a case alone, without what comes late.
    CrashOnly,
    Whole,
}

pub fn run(name: &str, folder: &Path, trouble: Trouble) -> i32 {
    let has_trouble = trouble != Trouble::None;
    let record = Arc::new(Record::open(folder));
    let temp = TempFolder::create();
    let code = match name {
        "foreign-entry" => foreign_entry(&record, &temp.0, has_trouble),
        "late-entry" => late_entry(&record, &temp.0, trouble),
        "late-orders" => late_orders(&record, &temp.0, trouble),
        "silent-leaving" => silent_leaving(&record, &temp.0, has_trouble),
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
    if !node.wait_ready(Duration::from_secs(10))
        || !wait_for(Duration::from_secs(20), || site.open_heads().len() == 2)
    {
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
                    record.note(&format!("client sends {id}"));
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
        record.note(&format!(
            "another writer writes servers/{head}, the head of {}: {entry}",
            group.group
        ));
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
fn late_entry(record: &Arc<Record>, temp: &Path, trouble: Trouble) -> i32 {
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
    if !node.wait_ready(Duration::from_secs(10))
        || !wait_for(Duration::from_secs(20), || site.open_heads().len() == 2)
    {
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
                    record.note(&format!("client sends {id}"));
                    let end = run_stream(front, &id, 350);
                    record.note(&format!("client of {id}: {end:?}"));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    let (_, group) = site.open_heads()[0].clone();
    if trouble != Trouble::None {
        let last_entries: Vec<(String, String)> = group
            .members
            .iter()
            .map(|member| (member.clone(), site.crash(member)))
            .collect();
        let crashed = Instant::now();
        thread::sleep(Duration::from_millis(800));
        for member in &group.members {
            site.restart(member);
        }
        thread::sleep(
            (crashed + Duration::from_millis(5_500)).saturating_duration_since(Instant::now()),
        );
        let mut led: Option<&(String, String)> = None;
        for (head, group) in site.open_heads() {
            record.note(&format!(
                "open: {} (epoch {}) with head {head} and members {:?}",
                group.group, group.epoch, group.members
            ));
            led = led.or(last_entries.iter().find(|(id, _)| *id == head));
        }
        let Some((head, last_entry)) = led else {
            return 2;
        };
        if trouble == Trouble::Whole {
            record.note(&format!(
                "the store performs the last heartbeat of {head} before its crash: {last_entry}"
            ));
            store.put("servers", head, last_entry.as_bytes());
        }
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

/// A member of a group crashes and starts again. Three of the orders to the others get no answer and are
/// carried out late: the first join of one member, and two orders to the head to leave.
fn late_orders(record: &Arc<Record>, temp: &Path, trouble: Trouble) -> i32 {
    let store = Store::start();
    put_sized_config(&store, 7, "desk-svc", 3);
    let site = EngineSite::start(&store, record, 4);
    let late_join = Arc::new(Mutex::new(None::<(String, Instant)>));
    if trouble == Trouble::Whole {
        let noted = Arc::clone(&late_join);
        site.set_fates(move |id, order, count| {
            let members = order.get("members").list();
            let is_second = members.get(1).is_some_and(|member| member.text() == id);
            match order.get("op").text() {
                // The first join of the second member.
                "join" if is_second && count == 1 && noted.lock().unwrap().is_none() => {
                    *noted.lock().unwrap() = Some((id.to_owned(), Instant::now()));
                    OrderFate::Late(Duration::from_millis(6_500))
                }
                "leave"
                    if count <= 2
                        && noted
                            .lock()
                            .unwrap()
                            .as_ref()
                            .is_some_and(|(other, _)| other != id) =>
                {
                    OrderFate::Late(Duration::from_millis(3_000))
                }
                _ => OrderFate::Plain,
            }
        });
    }
    let plan = NodePlan {
        name: "front-1",
        zone: "zone-a",
        zones: &["zone-a"],
        store: store.address,
        seeds: Vec::new(),
        control: free_address(),
    };
    let started = Instant::now();
    let mut node = Node::start(&plan, temp, record);
    if !node.wait_ready(Duration::from_secs(10))
        || !wait_for(Duration::from_secs(5), || site.open_heads().len() == 1)
    {
        return 2;
    }
    record.note("a group is open");
    let front = node.front;
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                for round in 0..4 {
                    let id = format!("stream-{number}-{round}");
                    record.note(&format!("client sends {id}"));
                    let end = run_stream(front, &id, 350);
                    record.note(&format!("client of {id}: {end:?}"));
                }
            })
        })
        .collect();
    let (_, group) = site.open_heads()[0].clone();
    let third = group.members[2].clone();
    thread::sleep(
        (started + Duration::from_millis(5_300)).saturating_duration_since(Instant::now()),
    );
    if trouble != Trouble::None {
        site.crash(&third);
        thread::sleep(Duration::from_millis(1_500));
        site.restart(&third);
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

/// `contactMs`, `configApplyMs` and `drainMs` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const DRAIN: Duration = Duration::from_millis(2_000);

/// Three nodes in three zones, whose calls to the store pass a proxy.
fn start_nodes(store: &Store, temp: &Path, record: &Arc<Record>) -> Option<(Proxy, Vec<Node>)> {
    let proxy = Proxy::start(store.address);
    let zones = ["zone-a", "zone-b", "zone-c"];
    let controls = [free_address(), free_address(), free_address()];
    let mut nodes = Vec::new();
    for number in 0..3 {
        let plan = NodePlan {
            name: &format!("front-{number}"),
            zone: zones[number],
            zones: &zones,
            store: proxy.address,
            seeds: controls.to_vec(),
            control: controls[number],
        };
        nodes.push(Node::start(&plan, temp, record));
    }
    let all_ready = nodes
        .iter()
        .all(|node| node.wait_ready(Duration::from_secs(10)));
    // Nothing has disturbed the nodes for longer than `contactMs`.
    thread::sleep(CONTACT + Duration::from_secs(2));
    all_ready.then_some((proxy, nodes))
}

/// Sends bookings to all nodes, `count` to each, one after the other; returns the identifier of each
/// with the time at which it was sent.
fn send_bookings(nodes: &[Node], record: &Arc<Record>, count: usize) -> Vec<(String, Instant)> {
    let mut senders = Vec::new();
    for node in nodes {
        let (front, name, record) = (node.front, node.name.clone(), Arc::clone(record));
        senders.push(thread::spawn(move || {
            let mut sent = Vec::new();
            for number in 0..count {
                let id = format!("book-{name}-{number}");
                record.note(&format!("client sends {id}"));
                sent.push((id.clone(), Instant::now()));
                let (status, sealed) = run_plain(front, "/book/x", &id);
                record.note(&format!("client of {id}: status {status}, sealed {sealed}"));
            }
            sent
        }));
    }
    senders
        .into_iter()
        .flat_map(|sender| sender.join().unwrap_or_default())
        .collect()
}

/// Open connections to the store go silent for good; the operator then moves a route.
fn silent_connections(record: &Arc<Record>, temp: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    put_config(&store, 7, "desk-svc");
    let old = PlainServer::start(&store, record, "i-old", "desk-svc");
    let new = PlainServer::start(&store, record, "i-new", "desk-new");
    let Some((proxy, nodes)) = start_nodes(&store, temp, record) else {
        return 2;
    };
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
    let sent = send_bookings(&nodes, record, 60);
    let runs = |server: &PlainServer| {
        let runs = server.runs.lock().unwrap();
        runs.iter()
            .filter(|(id, _)| sent.iter().any(|(other, _)| other == id))
            .count()
    };
    let (by_old, by_new) = (runs(&old), runs(&new));
    record.note(&format!(
        "of {} requests {by_old} were run by the old service and {by_new} by the new one",
        sent.len()
    ));
    if by_old + by_new == 0 {
        return 2;
    }
    i32::from(by_old > 0)
}

/// Open connections to the store go silent for good; then a server leaves.
fn silent_leaving(record: &Arc<Record>, temp: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    put_config(&store, 7, "desk-svc");
    let leaving = PlainServer::start(&store, record, "i-leaving", "desk-svc");
    let others = [
        PlainServer::start(&store, record, "i-staying-1", "desk-svc"),
        PlainServer::start(&store, record, "i-staying-2", "desk-svc"),
    ];
    let Some((proxy, nodes)) = start_nodes(&store, temp, record) else {
        return 2;
    };
    let silenced = Instant::now();
    if has_trouble {
        proxy.silence();
        record.note("all open connections to the store go silent; new ones work");
    }
    thread::sleep(Duration::from_millis(300));
    let acknowledged = leaving.leave_silently();
    // Requests from when the nodes are in touch and the bound is over.
    let from = (silenced + CONTACT).max(acknowledged + DRAIN) + Duration::from_millis(20);
    thread::sleep(from.saturating_duration_since(Instant::now()));
    let sent = send_bookings(&nodes, record, 120);
    let runs = |server: &PlainServer| {
        let runs = server.runs.lock().unwrap();
        let known = |id: &String| sent.iter().any(|(other, _)| other == id);
        runs.iter()
            .filter(|(id, _)| known(id))
            .map(|(_, at)| *at)
            .collect::<Vec<Instant>>()
    };
    let late = runs(&leaving);
    let on_time: usize = others.iter().map(|server| runs(server).len()).sum();
    let last = late
        .iter()
        .max()
        .map(|at| (*at - acknowledged).as_secs_f64());
    record.note(&format!(
        "of {} requests {} reached the server that had left, the last one {last:?} s after the \
         acknowledgement, and {on_time} others",
        sent.len(),
        late.len()
    ));
    if late.len() + on_time == 0 {
        return 2;
    }
    i32::from(!late.is_empty())
}

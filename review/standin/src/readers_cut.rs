//! Case 3: the two nodes of a zone that read the list of servers lose the store while a server leaves.

use crate::{
    Outcome, call, describe, is_ready,
    process::{Node, free_address},
    record::Record,
    request_head, start_site, wait_until,
};
use std::{
    path::Path,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

/// Time in which the nodes hear of each other before the traffic begins.
const SETTLING: Duration = Duration::from_secs(5);

/// Time from the start of the traffic to the cut, from the cut to the leaving of the server, and to
/// the end of the cut.
const CUT_AT: Duration = Duration::from_secs(4);
const LEAVE_AFTER: Duration = Duration::from_millis(100);
const CUT_FOR: Duration = Duration::from_millis(5_500);

/// Zones of the nodes.
const ZONES: [&str; 6] = ["zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c"];

/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(40);

pub fn run(record: &Arc<Record>, work: &Path, trouble: &str) -> Outcome {
    let (site, store) = start_site(Arc::clone(record));
    let leaving = site.add_server("d-1", "desk", "zone-a", 0);
    site.add_server("d-2", "desk", "zone-a", 0);
    // Six nodes, as the site has. The first two of a zone by address read the list from the store.
    let mut peers: Vec<_> = (0..ZONES.len()).map(|_| free_address()).collect();
    peers.sort();
    let seeds = [peers[0], peers[3], peers[5]];
    let mut nodes = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let domains = (*zone, "\"zone-a\",\"zone-b\",\"zone-c\"");
        nodes.push(Node::start(
            work,
            index + 1,
            domains,
            store,
            peers[index],
            &seeds,
        ));
    }
    if !wait_until(Duration::from_secs(20), || {
        nodes.iter().all(|node| is_ready(node.ready))
    }) {
        return Err("the nodes are not ready".to_owned());
    }
    thread::sleep(SETTLING);
    record.line("traffic begins, at the third node");
    let started = Instant::now();
    let end = CUT_AT + CUT_FOR + Duration::from_secs(2);
    let (shared, address) = (Arc::clone(record), nodes[2].callers);
    thread::spawn(move || {
        for number in 1.. {
            if started.elapsed() >= end {
                return;
            }
            let record = Arc::clone(&shared);
            thread::spawn(move || {
                let id = format!("booking-{number}");
                let head = request_head("POST", &format!("/orders/{number}"), &id, 1_500, "");
                record.line(&format!("client: sends {id}"));
                let answer = call(address, &head, b"booking", Duration::from_secs(3));
                record.line(&format!("client: {id} gets {}", describe(answer.as_ref())));
            });
            thread::sleep(PAUSE);
        }
    });
    thread::sleep(CUT_AT.saturating_sub(started.elapsed()));
    if trouble != "0" {
        let mut cut = site.store.cut.lock().unwrap();
        cut.extend(nodes[..2].iter().map(|node| node.child.id()));
        record.line("the first two nodes are cut off from the store");
    }
    thread::sleep(LEAVE_AFTER);
    leaving.drain(&site);
    record.line("d-1: is draining, acknowledged by the store");
    thread::sleep((CUT_AT + CUT_FOR).saturating_sub(started.elapsed()));
    site.store.cut.lock().unwrap().clear();
    record.line("the cut ends");
    thread::sleep((end + Duration::from_secs(2)).saturating_sub(started.elapsed()));
    let late = leaving.late_arrivals.load(Ordering::SeqCst);
    record.line(&format!(
        "requests at d-1 later than 2 s after the acknowledgement: {late}"
    ));
    Ok(late == 0)
}

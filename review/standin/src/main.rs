//! Stand-ins for the platform, the servers and the clients, and the cases of the review that use
//! them: `review-standin CASE FOLDER`, run in the root of the repository. Exit codes: 1 when the
//! rule was broken, 0 when it held, 2 when the case could not run.

mod json;
mod leaving_callers;
mod lost_control;
mod process;
mod readers_cut;
mod record;
mod server;
mod store;
mod web;

use record::Record;
use server::Site;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64},
    },
    thread,
    time::{Duration, Instant},
};
use store::Store;
use web::{Answer, call, name};

/// Result of a case: whether the rule held, or why it could not run.
pub type Outcome = Result<bool, String>;

/// Creates the store with the configuration.
pub fn start_site(record: Arc<Record>) -> (Arc<Site>, SocketAddr) {
    let (store, address) = Store::start();
    let site = Arc::new(Site {
        store,
        servers: Mutex::default(),
        record,
        has_served: AtomicBool::new(false),
        first_event_ms: AtomicU64::new(60),
    });
    site.store
        .put("op", "config", Some(include_str!("../config.json").trim()));
    site.watch_groups();
    (site, address)
}

/// Waits for a condition; false after the limit.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}

pub fn is_ready(address: SocketAddr) -> bool {
    let head = format!("GET {} HTTP/1.1\r\nHost: ready\r\n", name("ready"));
    let answer = call(address, &head, b"", Duration::from_secs(1));
    answer.is_some_and(|answer| answer.status == 200)
}

/// Head of a client's request, without the empty line.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, model: &str) -> String {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\n{}: {id}\r\n{}: {deadline_ms}\r\n\
         {}: n2ctnfzs989anu6wsjnb\r\n",
        name("request_id"),
        name("deadline"),
        name("api_key")
    );
    if !model.is_empty() {
        head += &format!(
            "{}: {model}\r\n{}: 400,175\r\n{}: 5c1e07a2:40,{:x}:360\r\n",
            name("model"),
            name("tokens"),
            name("prefix"),
            0x1000_0000_u64 + u64::from(id.bytes().map(u32::from).sum::<u32>())
        );
    }
    head
}

pub fn describe(answer: Option<&Answer>) -> String {
    match answer {
        Some(answer) => format!("{} whole={}", answer.status, answer.whole),
        None => "no answer".to_owned(),
    }
}

/// Requests and those served, by kind. True when a kind is served less than a quarter as often as all.
pub fn finds_starved(record: &Record, counts: &BTreeMap<&str, (u32, u32)>) -> bool {
    let sum = |sum: (u32, u32), count: &(u32, u32)| (sum.0 + count.0, sum.1 + count.1);
    let (asked, served) = counts.values().fold((0, 0), sum);
    let share_of_all = f64::from(served) / f64::from(asked.max(1));
    let mut any = false;
    for (kind, (asked, served)) in counts {
        let share = f64::from(*served) / f64::from((*asked).max(1));
        let is_starved = share < share_of_all / 4.0;
        any |= is_starved;
        record.line(&format!(
            "{kind}: {served} of {asked} served, share {share:.3}; all requests {share_of_all:.3}{}",
            if is_starved { "; STARVED" } else { "" }
        ));
    }
    any
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::new(&format!("{folder}/record.txt")));
    let work = std::env::temp_dir().join(format!("toucanring-review-{}", std::process::id()));
    if std::fs::create_dir_all(&work).is_err() {
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let outcome = match case.as_str() {
        "lost-control" => lost_control::run(&record, &work, &trouble),
        "readers-cut" => readers_cut::run(&record, &work, &trouble),
        "leaving-callers" => leaving_callers::run(&record, &work, &trouble),
        _ => Err("no such case".to_owned()),
    };
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        for number in 1..4 {
            let log = format!("node-{number}.log");
            let _ = std::fs::copy(work.join(&log), format!("{folder}/{log}"));
        }
    }
    let _ = std::fs::remove_dir_all(&work);
    let (text, code) = match outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(cause) => (format!("the case could not run: {cause}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

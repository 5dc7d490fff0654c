//! Stand-ins for the users' platform, its servers and its clients, and the cases that use them.
//! They use the standard library only. Each case has a folder beside this one; `run.sh` there starts it.

mod cases;
mod engine;
mod json;
mod node;
mod plain;
mod proxy;
mod store;
mod web;
mod world;

include!("wire-names.in");

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER TROUBLE");
        std::process::exit(2);
    };
    let trouble = match trouble.as_str() {
        "0" => cases::Trouble::None,
        "crash" => cases::Trouble::CrashOnly,
        _ => cases::Trouble::Whole,
    };
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        node::kill_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let folder = std::path::Path::new(folder);
    let ended = std::panic::catch_unwind(|| cases::run(name, folder, trouble));
    node::kill_all();
    std::process::exit(ended.unwrap_or(2));
}

/// A case that takes longer has failed to run.
const LONGEST_RUN: std::time::Duration = std::time::Duration::from_secs(110);

//! Actors that end and are started again.

use {
    std::time::Duration,
    tokio::{sync::Notify, task::JoinHandle, time::timeout},
    toucanring::node::{NodeError, Result, keep_actor, start_node_log},
};

/// An actor that ends at once.
fn panicking() -> JoinHandle<()> {
    tokio::spawn(async { panic!("no group of this key") })
}

/// Starts an actor that panics, and more as `start` says until the start with the number `last`.
/// Returns the numbers of the starts, and the log.
async fn play(last: u32, start: impl Fn() -> Result<JoinHandle<()>>) -> (Vec<u32>, String) {
    let (logger, sink) = start_node_log("front-1");
    let is_done = Notify::new();
    let mut starts = Vec::new();
    let delay = Duration::from_millis(1);
    let kept = keep_actor(logger, "control", delay, panicking(), |number| {
        starts.push(number);
        if number < last {
            return std::future::ready(start());
        }
        is_done.notify_one();
        std::future::ready(Ok(tokio::spawn(std::future::pending())))
    });
    let done = timeout(Duration::from_secs(20), is_done.notified());
    tokio::select! {
        () = kept => panic!("it never returns"),
        result = done => result.expect("the last start"),
    }
    (starts, String::from_utf8(sink.take()).unwrap())
}

/// Guards against a failure domain whose groups nobody repairs: its control actor has ended by a
/// panic, and its node still counts as the contender for the lease (review, case 2).
#[tokio::test]
async fn an_actor_that_panics_is_started_again() {
    let (starts, log) = play(3, || Ok(panicking())).await;

    assert_eq!(starts, [1, 2, 3]);
    assert_eq!(log.matches("an actor ended; starting it again").count(), 3);
}

/// Guards against a restart that is given up when it fails once.
#[tokio::test]
async fn a_start_that_fails_is_tried_again() {
    let (starts, log) = play(2, || Err(NodeError::Actor.into())).await;

    assert_eq!(starts, [1, 2]);
    assert!(log.contains("failed to start an actor; trying again"));
}

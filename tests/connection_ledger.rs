//! Decisions about the connections of callers, without a network.

use {
    std::time::Duration,
    toucanring::core::intake::{
        ConnectionKey, ConnectionLedger, ConnectionLimits, ReaderVerdict, SMALL_BODY_BYTES,
    },
};

/// Limits that four connections with whole buffers reach.
const LIMITS: ConnectionLimits = ConnectionLimits {
    connections: 8,
    bytes: 4 * (BASE + BUFFER),
    base_bytes: BASE,
};

const BASE: usize = 10_000;

/// Size of the read buffer of a connection in bytes.
const BUFFER: usize = 20_000;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Admits connections, one a second from 0 s on.
fn admit(ledger: &mut ConnectionLedger, count: u64) -> Vec<ConnectionKey> {
    let admitted = (0..count).map(|at| ledger.admit(seconds(at)));
    admitted.map(|admitted| admitted.unwrap().0).collect()
}

/// Guards against idle connections that keep all others out, and against running requests that are
/// cut off for new connections.
#[test]
fn the_longest_idle_connection_makes_room_for_a_new_one() {
    let mut ledger = ConnectionLedger::new(LIMITS);
    let connections = admit(&mut ledger, 8);
    assert!(
        ledger
            .begin_request(seconds(8), connections[0], 100)
            .is_some()
    );
    ledger.run_request(seconds(8), connections[0]);

    let (_, closed) = ledger.admit(seconds(9)).unwrap();

    assert_eq!(closed.as_slice(), [connections[1]]);
    assert_eq!(ledger.connections(), 8);
}

/// Guards against a node that accepts more connections than its descriptors when all are busy.
#[test]
fn a_new_connection_is_refused_when_all_are_busy() {
    let mut ledger = ConnectionLedger::new(LIMITS);
    for connection in admit(&mut ledger, 8) {
        ledger.run_request(seconds(8), connection);
    }

    assert_eq!(ledger.admit(seconds(9)), None);
}

/// Guards against unfinished heads that take more than the memory, and against connections that
/// count for ever what they once read.
#[test]
fn unfinished_heads_stay_within_the_memory() {
    let mut ledger = ConnectionLedger::new(LIMITS);
    let connections = admit(&mut ledger, 8);
    for (at, connection) in connections.iter().enumerate() {
        let now = seconds(10 + at as u64);
        let _ = ledger.note_read(now, *connection, 2 * BUFFER, BUFFER);

        assert!(ledger.held_bytes() <= LIMITS.bytes);
    }
    assert_eq!(ledger.connections(), 4);

    for connection in connections {
        let _ = ledger.begin_request(seconds(30), connection, 500);
        ledger.end_request(seconds(31), connection);
    }

    assert_eq!(ledger.held_bytes(), 4 * BASE);
}

/// Guards against requests whose bodies do not end and that keep all others out as if they ran.
#[test]
fn a_request_that_is_not_whole_counts_as_idle() {
    let mut ledger = ConnectionLedger::new(LIMITS);
    let connections = admit(&mut ledger, 8);
    for connection in &connections {
        let begun = ledger.begin_request(seconds(8), *connection, 2 * BASE);
        assert!(begun.is_some() || ledger.connections() < 8);
    }
    assert!(ledger.held_bytes() <= LIMITS.bytes);

    assert!(ledger.admit(seconds(9)).is_some());
}

/// Guards against callers that keep the memory of large responses by not reading them, and against
/// slow readers that are closed although they read.
#[test]
fn only_a_caller_that_does_not_read_a_large_response_gives_way() {
    let mut ledger = ConnectionLedger::new(LIMITS);
    let connections = admit(&mut ledger, 3);
    for connection in &connections[..2] {
        ledger.begin_reply(*connection, 10 * SMALL_BODY_BYTES);
        ledger.note_blocked(seconds(10), *connection, true);
    }
    ledger.begin_reply(connections[2], SMALL_BODY_BYTES);
    ledger.note_blocked(seconds(10), connections[2], true);
    ledger.note_blocked(seconds(11), connections[0], false);

    let early = ledger.remove_slowest_reader(Duration::from_millis(10_400));
    let late = ledger.remove_slowest_reader(seconds(12));

    assert_eq!(early, ReaderVerdict::Wait(Duration::from_millis(600)));
    assert_eq!(late, ReaderVerdict::Close(connections[1]));
    assert_eq!(
        ledger.remove_slowest_reader(seconds(12)),
        ReaderVerdict::AllRead
    );
    assert_eq!(
        ledger.remove_stalled(seconds(40), seconds(30)).as_slice(),
        [connections[2]]
    );
}

/// Guards against connections that are removed without being closed, because the one that asked for
/// room got none in the end.
#[test]
fn no_connection_is_removed_for_one_that_gets_no_room() {
    let mut ledger = ConnectionLedger::new(LIMITS);
    let connections = admit(&mut ledger, 4);
    for connection in &connections[..3] {
        ledger.note_read(seconds(5), *connection, BUFFER, BUFFER);
        ledger.run_request(seconds(5), *connection);
    }

    let granted = ledger.begin_request(seconds(6), connections[0], 2 * (BASE + BUFFER));

    assert_eq!(granted, None);
    assert_eq!(ledger.connections(), 3);
}

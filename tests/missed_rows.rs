//! Tests of the tracking of missed rows in the list of backend servers.

mod node_fixtures;

use {
    node_fixtures::{engine, row_version},
    rstest::rstest,
    std::time::Duration,
    toucanring::core::{
        peers::{
            DeltaOutbox, DeltaPart, DeltaTracker, FleetDelta, FleetRow, LagWatch, MissedRows,
            NodeDatagram, SenderState, delta_parts,
        },
        store::StoreVersion,
        view::{MAX_DATAGRAM_BYTES, PeerCodec, SealKind},
    },
};

/// Guards against missed rows that are no longer requested after a pull has timed out. In such a
/// case a node continued to send requests to a draining server (DRAIN on scale-1 of
/// campanari-rete-grown, 773001).
#[tokio::test]
async fn rows_stay_missed_when_a_pull_times_out() {
    let rows = MissedRows::default();
    rows.note();
    let pull_timeout = std::time::Duration::from_millis(50);

    let pull = async {
        let pull = rows.start_pull();
        std::future::pending::<()>().await;
        pull.settle();
    };
    let ended = tokio::time::timeout(pull_timeout, pull).await;

    assert!(ended.is_err());
    assert!(rows.is_pending());
}

/// Guards against rows that are missed during a pull and forgotten when it ends.
#[test]
fn rows_missed_during_a_pull_require_another_pull() {
    let rows = MissedRows::default();
    rows.note();

    let pull = rows.start_pull();
    rows.note();
    pull.settle();

    assert!(rows.is_pending());
}

/// Guards against changed rows that are put together in a datagram larger than receivers accept, or
/// that are left out.
#[test]
fn changed_rows_fit_the_datagrams() {
    let mut rows = Vec::new();
    for index in 0..60_u64 {
        let mut entry = engine(&format!("i-{index}"), "f");
        let count = usize::try_from(index % 31).unwrap();
        entry.staged = vec!["m".repeat(30); count];
        rows.push(FleetRow {
            version: StoreVersion::new(u64::MAX, u64::MAX),
            id: entry.id.clone(),
            entry: Some(entry),
        });
    }
    let large = FleetRow {
        version: row_version(1),
        id: "i".repeat(MAX_DATAGRAM_BYTES),
        entry: None,
    };
    let large_id = large.id.clone();
    rows.insert(30, large);
    let codec = PeerCodec::new([7; 32]);

    let mut sent = Vec::new();
    let mut too_large = Vec::new();
    for part in delta_parts(rows.clone()) {
        let rows = match part {
            DeltaPart::Rows(rows) => rows,
            DeltaPart::TooLarge { id, .. } => {
                too_large.push(id);
                continue;
            }
        };
        sent.extend(rows.clone());
        let delta = FleetDelta {
            boot: u64::MAX,
            address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
                .parse()
                .unwrap(),
            sequence: u64::MAX,
            complete_to: StoreVersion::new(u64::MAX, u64::MAX),
            rows,
        };
        let bytes = codec.seal(SealKind::Datagram, &NodeDatagram::Delta(delta));
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    }

    rows.remove(30);
    assert_eq!(sent, rows);
    assert_eq!(too_large, [large_id]);
}

/// Guards against a delta with the number 0, which no node sends, that ends the receiver.
#[test]
fn a_delta_with_number_0_is_not_the_next_one() {
    let mut tracker = DeltaTracker::default();
    let delta = FleetDelta {
        boot: 1,
        address: "10.0.0.1:7000".parse().unwrap(),
        sequence: 0,
        complete_to: StoreVersion::default(),
        rows: Vec::new(),
    };

    assert!(!tracker.take(Duration::ZERO, &delta));
}

/// Guards against a pull from a node that has lost the store as well: its list is as old, and the
/// next pull goes to it again (DRAIN, `cut_store_readers`, once in CI).
#[test]
fn only_a_peer_with_the_missing_version_is_asked_for_the_list() {
    let mut watch = LagWatch::default();
    let (old, new) = (row_version(6), row_version(7));
    let late = Duration::from_secs(1);

    watch.is_behind(Duration::ZERO, new, old);
    let is_old_peer_asked = watch.is_behind(late, old, old);
    let is_new_peer_asked = watch.is_behind(late, new, old);

    assert!(!is_old_peer_asked);
    assert!(is_new_peer_asked);
}

fn removal(id: &str) -> FleetRow {
    FleetRow {
        version: row_version(7),
        id: id.to_owned(),
        entry: None,
    }
}

fn reader(is_store_failing: bool) -> SenderState {
    SenderState {
        is_reader: true,
        is_store_failing,
        version: row_version(7),
    }
}

/// The deltas that a receiver gets of what is sent.
fn deltas(outbox: &mut DeltaOutbox, state: SenderState) -> Vec<FleetDelta> {
    let mut deltas = Vec::new();
    for numbered in outbox.take_parts(state) {
        let DeltaPart::Rows(rows) = numbered.part else {
            continue;
        };
        deltas.push(FleetDelta {
            boot: 1,
            address: "10.0.0.1:7000".parse().unwrap(),
            sequence: numbered.sequence,
            complete_to: numbered.complete_to,
            rows,
        });
    }
    deltas
}

/// Guards against a changed row that its sender drops, without a gap in the numbers, since the read
/// of another table has just failed: receivers count as complete and never ask for it.
#[test]
fn a_row_is_sent_also_when_a_read_has_just_failed() {
    let mut outbox = DeltaOutbox::default();
    let mut tracker = DeltaTracker::default();
    for delta in deltas(&mut outbox, reader(false)) {
        tracker.take(Duration::ZERO, &delta);
    }

    outbox.add(removal("i-1"));
    let sent = deltas(&mut outbox, reader(true));
    let notices = deltas(&mut outbox, reader(true));

    assert_eq!(sent[0].rows, [removal("i-1")]);
    assert_eq!(sent[0].complete_to, StoreVersion::default());
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].rows, []);
    assert_eq!(notices[0].complete_to, StoreVersion::default());
}

/// Guards against a node that takes changes from others and goes on to trust them for the sender
/// timeout after all of them have lost the store (DRAIN, review, case 3).
#[rstest]
#[case::both_readers(true)]
#[case::one_reader(false)]
fn a_node_reads_itself_once_all_senders_have_lost_the_store(#[case] both: bool) {
    let mut outboxes = [DeltaOutbox::default(), DeltaOutbox::default()];
    let mut tracker = DeltaTracker::default();
    let confirmed = Duration::from_millis(300);
    let mut send = |is_failing: [bool; 2]| {
        for (boot, outbox) in outboxes.iter_mut().enumerate() {
            for mut delta in deltas(outbox, reader(is_failing[boot])) {
                delta.boot = boot as u64;
                tracker.take(Duration::ZERO, &delta);
            }
        }
        [Duration::ZERO, confirmed].map(|at| tracker.is_silent(at))
    };

    let before = send([false, false]);
    let during = send([both, true]);
    let after = send([false, false]);

    assert_eq!(
        [before, during, after],
        [[false; 2], [false, both], [false; 2]]
    );
}

/// Guards against a node that becomes a reader again and counts as complete, although it dropped rows
/// while it was none.
#[test]
fn rows_that_are_not_sent_leave_a_gap() {
    let mut outbox = DeltaOutbox::default();
    let mut tracker = DeltaTracker::default();
    for delta in deltas(&mut outbox, reader(false)) {
        tracker.take(Duration::ZERO, &delta);
    }

    outbox.add(removal("i-1"));
    let other = SenderState {
        is_reader: false,
        ..reader(false)
    };
    let unsent = deltas(&mut outbox, other);
    let next = deltas(&mut outbox, reader(false));

    assert_eq!(unsent, []);
    assert!(!tracker.take(Duration::ZERO, &next[0]));
    assert_eq!(tracker.complete_to(), StoreVersion::default());
}

/// Guards against a node that takes rows from a peer for a sign that the peer still reads from the
/// store, and therefore does not read itself.
#[test]
fn rows_of_a_sender_that_has_lost_the_store_are_no_heartbeat() {
    let mut outbox = DeltaOutbox::default();
    let mut tracker = DeltaTracker::default();
    for delta in deltas(&mut outbox, reader(false)) {
        tracker.take(Duration::ZERO, &delta);
    }
    let later = Duration::from_secs(2);

    outbox.add(removal("i-1"));
    for delta in deltas(&mut outbox, reader(true)) {
        tracker.take(later, &delta);
    }

    assert!(tracker.is_silent(later));
}

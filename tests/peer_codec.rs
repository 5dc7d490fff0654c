//! Datagrams between processes: encoding, authentication, replay.

use {
    proptest::prelude::*,
    std::time::Duration,
    toucanring::{
        core::{
            fleet::BackendEntry,
            peers::{DeltaTracker, NodeDatagram},
            store::StoreVersion,
            transfer::{PullAnswer, PullRequest},
            view::{
                DropReason, ExchangeAction, ExchangeEvent, ExchangeSettings, LocalUpdate,
                MAX_DATAGRAM_BYTES, PeerCodec, PeerDatagram, PeerExchange, ReplayWindow, SealKind,
            },
        },
        wire::{
            ControllerHeartbeat, FencingNumber, GroupCrash, GroupId, PeerMessage, ProcessRole,
            SuspectEntry,
        },
    },
};

const KEY: [u8; 32] = [9; 32];

fn heartbeat(sequence: u64) -> ControllerHeartbeat {
    ControllerHeartbeat {
        failure_domain: "kochi".to_owned(),
        version: FencingNumber { term: 1, sequence },
    }
}

fn datagram(sequence: u64) -> PeerDatagram {
    PeerDatagram {
        boot: 77,
        sequence,
        messages: vec![PeerMessage::Controller(heartbeat(sequence))],
    }
}

fn exchange() -> PeerExchange {
    PeerExchange::new(ExchangeSettings {
        process: "gateway-1".to_owned(),
        role: ProcessRole::Gateway,
        failure_domain: "kochi".to_owned(),
        boot: 5,
        started_ms: 1,
        address: "127.0.0.1:7101".parse().expect("address"),
        seeds: vec!["127.0.0.1:7102".parse().expect("address")],
        key: KEY,
        seed: 1,
    })
}

fn deliver(exchange: &mut PeerExchange, bytes: &[u8]) -> Vec<ExchangeAction> {
    let mut actions = Vec::new();
    let from = "127.0.0.1:7102".parse().expect("address");
    let bytes = bytes.to_vec();
    exchange.step(
        Duration::from_secs(1),
        ExchangeEvent::Datagram { from, bytes },
        &mut actions,
    );
    actions
}

/// Guards against an invalid datagram that is merged, or dropped without being counted.
#[test]
fn invalid_datagrams_are_dropped_and_counted() {
    let mut exchange = exchange();
    let valid = PeerCodec::new(KEY).seal(SealKind::Datagram, &datagram(1));
    let mut forged = valid.clone();
    forged[8] ^= 1;
    let mut other_version = valid.clone();
    other_version[0] = 9;
    let other_kind = PeerCodec::new(KEY).seal(SealKind::Call, &datagram(1));
    let other_key = PeerCodec::new([1; 32]).seal(SealKind::Datagram, &datagram(1));
    let malformed = PeerCodec::new(KEY).seal(SealKind::Datagram, &RawBody(vec![0xff; 40]));
    let too_long = vec![1; MAX_DATAGRAM_BYTES + 1];

    for bytes in [
        &forged,
        &other_version,
        &other_kind,
        &other_key,
        &malformed,
        &too_long,
    ] {
        deliver(&mut exchange, bytes);
    }
    deliver(&mut exchange, &valid[..10]);
    let unchanged = exchange.view().controllers.is_empty();
    deliver(&mut exchange, &valid);
    deliver(&mut exchange, &valid);

    assert!(unchanged);
    assert_eq!(exchange.view().controllers["kochi"].heartbeat, heartbeat(1));
    assert_eq!(exchange.dropped(DropReason::Forged), 3);
    assert_eq!(exchange.dropped(DropReason::Version), 1);
    assert_eq!(exchange.dropped(DropReason::Malformed), 1);
    assert_eq!(exchange.dropped(DropReason::Length), 2);
    assert_eq!(exchange.dropped(DropReason::Replayed), 1);
}

/// Guards against a process that merges its own datagrams, when they are sent back to it, as those
/// of a peer.
#[test]
fn drops_its_own_datagrams() {
    let mut exchange = exchange();
    let mut actions = Vec::new();
    let update = LocalUpdate::Controller(heartbeat(3));
    exchange.step(Duration::ZERO, ExchangeEvent::Local(update), &mut actions);
    let sent = actions.iter().find_map(|action| match action {
        ExchangeAction::Send { bytes, .. } => Some(bytes.clone()),
        _ => None,
    });

    deliver(&mut exchange, &sent.expect("the beat was sent"));

    assert_eq!(exchange.dropped(DropReason::Replayed), 1);
}

/// Guards against datagrams above the size limit when an update has many entries.
#[test]
fn no_datagram_exceeds_the_size_limit() {
    let mut exchange = exchange();
    let mut suspects = Vec::new();
    for fingerprint in 0..200 {
        let crash = GroupCrash {
            group: GroupId(format!("kochi-1-{fingerprint}")),
            epoch: fingerprint,
            alone: false,
        };
        suspects.push(SuspectEntry {
            fingerprint: u64::MAX - fingerprint,
            crashed: vec![crash].into(),
            cleared: false,
        });
    }
    let mut actions = Vec::new();

    let update = LocalUpdate::Suspects(suspects);
    exchange.step(Duration::ZERO, ExchangeEvent::Local(update), &mut actions);

    let mut messages = 0;
    for action in actions {
        let ExchangeAction::Send { bytes, .. } = action else {
            continue;
        };
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        let opened: Result<PeerDatagram, _> =
            PeerCodec::new(KEY).open(SealKind::Datagram, &bytes, MAX_DATAGRAM_BYTES);
        messages += opened.expect("authentic").messages.len();
    }
    assert_eq!(messages, 200);
}

fn pull_answer() -> PullAnswer {
    let entry = BackendEntry {
        id: "i-1".to_owned(),
        service: "desk".to_owned(),
        address: "127.0.0.1:7103".parse().expect("address"),
        failure_domain: "kochi".to_owned(),
        leaving: false,
        slots: 8,
        born_ms: 1,
        fabric: String::new(),
        staged: Vec::new(),
        model: None,
        membership: None,
        write_count: 3,
        cold_left_ms: None,
    };
    PullAnswer::Servers {
        version: StoreVersion::new(2, 9),
        entries: vec![(StoreVersion::new(2, 7), entry)],
    }
}

/// Guards against a pulled list that is cut off and taken for one with fewer servers.
#[test]
fn no_part_of_a_pulled_list_is_decoded() {
    let codec = PeerCodec::new(KEY);
    let sealed = codec.seal(SealKind::Answer, &pull_answer());
    let open = |length: usize| {
        codec.open::<PullAnswer>(SealKind::Answer, &sealed[..length], MAX_DATAGRAM_BYTES)
    };
    assert_eq!(open(sealed.len()), Ok(pull_answer()));

    for length in 0..sealed.len() {
        assert!(open(length).is_err(), "{length} of {}", sealed.len());
    }
}

proptest! {
    /// Guards against bytes that make the decoder panic or allocate without bound.
    #[test]
    fn decoder_handles_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        let codec = PeerCodec::new(KEY);
        prop_assert!(codec.open::<PeerDatagram>(SealKind::Datagram, &bytes, MAX_DATAGRAM_BYTES).is_err());
        // The same bytes with a valid tag reach the decoder of the body.
        let sealed = codec.seal(SealKind::Datagram, &RawBody(bytes));
        let _ = codec.open::<PeerDatagram>(SealKind::Datagram, &sealed, 2_000);
        deliver(&mut exchange(), &sealed);
    }

    /// Guards against bytes of another program that end the receiver of datagrams or of a pulled
    /// list. With a valid tag they reach the decoder of the body.
    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        let codec = PeerCodec::new(KEY);
        let limit = 2_000;
        let plain = codec.open::<NodeDatagram>(SealKind::Datagram, &bytes, limit);
        prop_assert!(plain.is_err());

        let sealed = codec.seal(SealKind::Datagram, &RawBody(bytes.clone()));
        let datagram = codec.open::<NodeDatagram>(SealKind::Datagram, &sealed, limit);
        if let Ok(NodeDatagram::Delta(delta)) = datagram {
            DeltaTracker::default().take(Duration::ZERO, &delta);
        }
        let sealed = codec.seal(SealKind::Answer, &RawBody(bytes.clone()));
        // Either result is right; the decoder must only return.
        let _ = codec.open::<PullAnswer>(SealKind::Answer, &sealed, limit);
        let sealed = codec.seal(SealKind::Call, &RawBody(bytes));
        let _ = codec.open::<PullRequest>(SealKind::Call, &sealed, limit);
    }

    /// Guards against a changed or shortened datagram that is still accepted.
    #[test]
    fn changed_datagrams_are_dropped(
        sequence in any::<u64>(),
        position in any::<prop::sample::Index>(),
        change in 1..=255_u8,
    ) {
        let codec = PeerCodec::new(KEY);
        let sealed = codec.seal(SealKind::Datagram, &datagram(sequence));
        let opened = codec.open::<PeerDatagram>(SealKind::Datagram, &sealed, MAX_DATAGRAM_BYTES);
        prop_assert_eq!(opened, Ok(datagram(sequence)));
        let mut changed = sealed.clone();
        changed[position.index(sealed.len())] ^= change;
        prop_assert!(codec.open::<PeerDatagram>(SealKind::Datagram, &changed, MAX_DATAGRAM_BYTES).is_err());
        let short = &sealed[..position.index(sealed.len())];
        prop_assert!(codec.open::<PeerDatagram>(SealKind::Datagram, short, MAX_DATAGRAM_BYTES).is_err());
    }

    /// Guards against a replay window that admits a number twice or refuses a new one.
    #[test]
    fn replay_window_matches_a_set(numbers in prop::collection::vec(1..4_000_u64, 1..400)) {
        let mut window = ReplayWindow::default();
        let mut seen = std::collections::BTreeSet::new();
        for number in numbers {
            let highest = seen.last().copied().unwrap_or(0);
            let is_too_old = highest >= ReplayWindow::WIDTH && number <= highest - ReplayWindow::WIDTH;
            let expected = !is_too_old && !seen.contains(&number);
            prop_assert_eq!(window.admit(number), expected, "number {}", number);
            seen.insert(number);
        }
    }
}

/// Body whose encoding is exactly these bytes.
struct RawBody(Vec<u8>);

impl serde::Serialize for RawBody {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeTuple;
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        for byte in &self.0 {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}

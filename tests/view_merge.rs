//! Merging of cluster views: order and repetition of messages must not matter.

use {
    proptest::prelude::*,
    std::{sync::Arc, time::Duration},
    toucanring::{
        conf::parse_operator_text,
        core::view::{
            ClusterView, Configuration, ExchangeEvent, ExchangeSettings, PeerCodec, PeerDatagram,
            PeerExchange, SealKind,
        },
        wire::{
            ControllerHeartbeat, FencingNumber, GroupCrash, GroupEntry, GroupId, GroupState,
            PeerHeartbeat, PeerMessage, ProcessRole, SuspectEntry, UsageEntry,
        },
    },
};

const KEY: [u8; 32] = [3; 32];

/// A message that is merged into a view.
#[derive(Debug, Clone)]
enum ViewChange {
    Group(Box<GroupEntry>),
    Controller(ControllerHeartbeat),
    Suspect(SuspectEntry),
    Heartbeat(PeerHeartbeat),
}

fn group(number: u8, sequence: u64) -> GroupEntry {
    // Entries with equal versions must have equal content.
    let states = [
        GroupState::Serving,
        GroupState::Suspended,
        GroupState::Dissolved,
    ];
    GroupEntry {
        id: GroupId(format!("kochi-1-{number}")),
        failure_domain: "kochi".to_owned(),
        version: FencingNumber { term: 1, sequence },
        service: "layouts".to_owned(),
        epoch: sequence,
        state: states[usize::try_from(sequence % 3).expect("below 3")],
        members: Vec::new().into(),
        slow: false,
        draining: false,
    }
}

fn heartbeat(process: u8, boot: u64, started_ms: u64, sequence: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        process: format!("gateway-{process}"),
        role: ProcessRole::Gateway,
        failure_domain: "kochi".to_owned(),
        boot,
        started_ms,
        sequence,
        address: ([127, 0, 0, 1], 7_200 + u16::from(process)).into(),
        config_version: 0,
        ready: true,
    }
}

fn suspect(fingerprint: u64, crash: u8, cleared: bool) -> SuspectEntry {
    let crash = GroupCrash {
        group: GroupId(format!("kochi-1-{crash}")),
        epoch: 1,
        alone: false,
    };
    SuspectEntry {
        fingerprint,
        crashed: vec![crash].into(),
        cleared,
    }
}

fn any_change() -> impl Strategy<Value = ViewChange> {
    prop_oneof![
        (0..6_u8, 0..9_u64)
            .prop_map(|(number, sequence)| ViewChange::Group(group(number, sequence).into())),
        (0..9_u64).prop_map(|sequence| ViewChange::Controller(ControllerHeartbeat {
            failure_domain: "kochi".to_owned(),
            version: FencingNumber { term: 1, sequence },
        })),
        (0..3_u64, 0..4_u8, any::<bool>()).prop_map(|(fingerprint, crash, cleared)| {
            ViewChange::Suspect(suspect(fingerprint, crash, cleared))
        }),
        (0..3_u8, 0..3_u64, 0..9_u64).prop_map(|(process, boot, sequence)| ViewChange::Heartbeat(
            heartbeat(process, boot, boot, sequence)
        )),
    ]
}

fn merged(changes: &[ViewChange]) -> ClusterView {
    let mut view = ClusterView::default();
    for change in changes.iter().cloned() {
        match change {
            ViewChange::Group(entry) => view.merge_group(*entry),
            ViewChange::Controller(heartbeat) => view.merge_controller(heartbeat, Duration::ZERO),
            ViewChange::Suspect(entry) => view.merge_suspect(entry),
            ViewChange::Heartbeat(heartbeat) => view.merge_heartbeat(heartbeat, Duration::ZERO),
        };
    }
    // Crashes are a set, so their order is not compared.
    for entry in view.suspects.values_mut() {
        entry
            .crashed
            .sort_by(|one, other| one.group.cmp(&other.group));
    }
    view
}

proptest! {
    /// Guards against views that differ because messages arrived in another order or twice.
    #[test]
    fn order_and_repetition_do_not_matter(
        (changes, shuffled) in prop::collection::vec(any_change(), 1..60)
            .prop_flat_map(|changes| (Just(changes.clone()), Just(changes).prop_shuffle())),
    ) {
        let mut twice = shuffled.clone();
        twice.extend(shuffled);
        prop_assert_eq!(merged(&changes), merged(&twice));
    }
}

fn exchange() -> PeerExchange {
    PeerExchange::new(settings())
}

fn settings() -> ExchangeSettings {
    ExchangeSettings {
        process: "gateway-9".to_owned(),
        role: ProcessRole::Gateway,
        failure_domain: "kochi".to_owned(),
        boot: 99,
        started_ms: 1,
        address: "127.0.0.1:7101".parse().expect("address"),
        seeds: Vec::new(),
        key: KEY,
        seed: 1,
    }
}

fn deliver(exchange: &mut PeerExchange, at_s: u64, boot: u64, messages: Vec<PeerMessage>) {
    let sequence = at_s + 1;
    let datagram = PeerDatagram {
        boot,
        sequence,
        messages,
    };
    let event = ExchangeEvent::Datagram {
        from: "127.0.0.1:7201".parse().expect("address"),
        bytes: PeerCodec::new(KEY).seal(SealKind::Datagram, &datagram),
    };
    exchange.step(Duration::from_secs(at_s), event, &mut Vec::new());
}

fn known_boot(exchange: &PeerExchange) -> u64 {
    exchange.view().peers["gateway-1"].heartbeat.boot
}

/// Guards against a replaced process whose heartbeats are ignored for minutes, because the clock of
/// the replacement is behind and its start time seems older.
#[test]
fn a_replacement_with_a_slow_clock_is_accepted() {
    let mut exchange = exchange();
    let messages = |boot, started| vec![PeerMessage::Heartbeat(heartbeat(1, boot, started, 1))];
    deliver(&mut exchange, 0, 1, messages(1, 900_000));

    deliver(&mut exchange, 1, 2, messages(2, 500_000));
    let too_early = known_boot(&exchange);
    deliver(&mut exchange, 4, 3, messages(2, 500_000));
    let forwarded = known_boot(&exchange);
    deliver(&mut exchange, 5, 2, messages(2, 500_000));

    assert_eq!((too_early, forwarded, known_boot(&exchange)), (1, 1, 2));
}

/// Guards against a start that waits forever for a peer that never answers.
#[test]
fn learning_ends_without_answers() {
    let mut exchange = PeerExchange::new(ExchangeSettings {
        seeds: vec!["127.0.0.1:7201".parse().expect("address")],
        ..settings()
    });
    let text = std::fs::read_to_string("examples/consorzio.json").expect("example");
    let text = parse_operator_text(&text).expect("valid example");
    let stored = ExchangeEvent::Stored(Arc::new(Configuration { version: 5, text }));
    exchange.step(Duration::ZERO, ExchangeEvent::Start, &mut Vec::new());
    exchange.step(Duration::from_millis(10), stored, &mut Vec::new());
    exchange.step(
        Duration::from_millis(2_400),
        ExchangeEvent::Tick,
        &mut Vec::new(),
    );
    let before_timeout = exchange.view().config_version();

    exchange.step(
        Duration::from_millis(2_600),
        ExchangeEvent::Tick,
        &mut Vec::new(),
    );

    assert_eq!((before_timeout, exchange.view().config_version()), (0, 5));
}

/// Guards against usage of a restarted gateway that is ignored until its round number, which starts
/// again at a boot, exceeds that of the former boot.
#[test]
fn usage_of_a_new_boot_replaces_the_old() {
    let mut exchange = exchange();
    let messages = |boot, round, requests_per_s| {
        let entry = UsageEntry {
            account: "outlet".to_owned(),
            round,
            requests_per_s,
            tokens_per_s: 0.0,
            in_flight: 0,
        };
        vec![
            PeerMessage::Heartbeat(heartbeat(1, boot, boot, 1)),
            PeerMessage::Usage {
                process: "gateway-1".to_owned(),
                entries: vec![entry],
            },
        ]
    };
    deliver(&mut exchange, 0, 1, messages(1, 500, 7.0));

    deliver(&mut exchange, 1, 2, messages(2, 1, 3.0));
    deliver(&mut exchange, 2, 1, messages(1, 501, 9.0));

    let key = ("gateway-1".to_owned(), "outlet".to_owned());
    let usage = &exchange.view().usage[&key].usage;
    assert_eq!(
        (usage.round, usage.requests_per_s.to_bits()),
        (1, 3.0_f64.to_bits())
    );
}

//! Ledger of service-level minutes with lost answers, kills and outages, in virtual time.

mod support;

use {
    rstest::rstest,
    std::{collections::BTreeMap, time::Duration},
    support::{BurnStore, finished, refused},
    toucanring::core::burn::{
        GroupGauge, LedgerAction, LedgerEvent, LedgerSettings, MAX_COUNT_ROWS, MAX_PENDING_BYTES,
        MAX_PENDING_MINUTES, MinuteLedger, MinuteRecord, OTHER_NAME, RequestOutcome,
    },
};

const FIRST_MINUTE: u64 = 30_000_000;

fn new_ledger(boot: u64) -> MinuteLedger {
    MinuteLedger::new(LedgerSettings {
        process: "gateway-1".to_owned(),
        boot,
        wall_origin: Duration::from_secs(FIRST_MINUTE * 60),
        phase: Duration::ZERO,
    })
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn gauge(missing: u32, stranded: u32) -> LedgerEvent {
    LedgerEvent::Gauge(GroupGauge {
        missing_groups: BTreeMap::from([("chat".to_owned(), missing)]),
        stranded_accelerators: stranded,
    })
}

/// Steps the ledger and ignores its actions.
fn feed(ledger: &mut MinuteLedger, now: Duration, event: LedgerEvent) {
    ledger.step(now, event, &mut Vec::new());
}

/// Sends one tick and returns the write that starts, if any.
fn tick(ledger: &mut MinuteLedger, now: Duration) -> Option<(u64, String, MinuteRecord)> {
    let mut actions = Vec::new();
    ledger.step(now, LedgerEvent::Tick, &mut actions);
    let LedgerAction::Write { minute, key, body } = actions.pop()?;
    let record = serde_json::from_slice(&body).expect("record is valid JSON");
    Some((minute, key, record))
}

#[test]
fn lost_answer_is_counted_once() {
    // Guards against counting a minute twice when its first write took effect but the answer was
    // lost.
    let mut ledger = new_ledger(1);
    let mut store = BurnStore::default();
    for second in 0..50 {
        feed(
            &mut ledger,
            secs(second),
            LedgerEvent::Finished(finished("foundry")),
        );
    }

    let (minute, key, record) = tick(&mut ledger, secs(60)).expect("minute is sealed");
    store.put(&key, record);
    feed(&mut ledger, secs(61), LedgerEvent::Unclear(minute));
    // Counts that arrive between the two writes belong to the next minute.
    feed(
        &mut ledger,
        secs(62),
        LedgerEvent::Finished(finished("foundry")),
    );
    let (_, key, record) = tick(&mut ledger, secs(63)).expect("write is repeated");
    store.put(&key, record);

    assert_eq!(store.objects.len(), 1);
    assert_eq!(store.count(), 50);
}

#[test]
fn restarted_process_adds_to_the_same_minute() {
    // Guards against a restarted process that overwrites the object of its former boot.
    let mut store = BurnStore::default();
    for boot in [1, 2] {
        let mut ledger = new_ledger(boot);
        feed(
            &mut ledger,
            secs(1),
            LedgerEvent::Finished(finished("foundry")),
        );
        let (_, key, record) = tick(&mut ledger, secs(60)).expect("minute is sealed");
        store.put(&key, record);
    }

    assert_eq!(store.count(), 2);
}

#[rstest]
#[case::clean(0)]
#[case::lossy(7)]
#[case::very_lossy(99)]
fn killed_process_loses_at_most_one_minute(#[case] seed: u64) {
    // Guards against delayed writes of sealed minutes, by which a kill loses more than the open
    // minute.
    let mut store = BurnStore::default();
    let mut total = 0;
    let mut random = seed;
    for boot in 0..20 {
        let mut ledger = new_ledger(boot);
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let kill_at = 30 + (random >> 33) % 300;
        for second in 0..kill_at {
            feed(
                &mut ledger,
                secs(second),
                LedgerEvent::Finished(finished("foundry")),
            );
            let Some((minute, key, record)) = tick(&mut ledger, secs(second)) else {
                continue;
            };
            store.put(&key, record);
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let answered = seed == 0 || !(random >> 33).is_multiple_of(3);
            let event = if answered {
                LedgerEvent::Written(minute)
            } else {
                LedgerEvent::Unclear(minute)
            };
            feed(&mut ledger, secs(second), event);
        }
        total += kill_at;
        let lost = total - store.count();
        assert!(lost <= 60, "boot {boot} lost {lost} s of requests");
        total = store.count();
    }
}

#[test]
fn outage_of_an_hour_loses_nothing() {
    // Guards against dropping minutes during an outage of an hour, which the limits must cover.
    let mut ledger = new_ledger(1);
    let mut store = BurnStore::default();
    let mut now = 0;
    while now < 3_600 {
        feed(
            &mut ledger,
            secs(now),
            LedgerEvent::Finished(finished("foundry")),
        );
        if let Some((minute, _, _)) = tick(&mut ledger, secs(now)) {
            feed(&mut ledger, secs(now), LedgerEvent::Unclear(minute));
        }
        now += 1;
    }

    while ledger.pending_minutes() > 0 {
        now += 1;
        assert!(now < 8_000, "minutes are still pending after the outage");
        let Some((minute, key, record)) = tick(&mut ledger, secs(now)) else {
            continue;
        };
        store.put(&key, record);
        feed(&mut ledger, secs(now), LedgerEvent::Written(minute));
    }

    assert_eq!(store.count(), 3_600);
    assert_eq!(store.lost(), 0);
}

#[test]
fn memory_is_bounded_and_the_loss_is_counted() {
    // Guards against unbounded growth in a long outage, and against dropped minutes that are not
    // counted as lost.
    let mut ledger = new_ledger(1);
    let mut store = BurnStore::default();
    let mut counted = 0;
    for minute in 0..300 {
        for account in 0..200 {
            let request = finished(&format!("account-{account}"));
            feed(
                &mut ledger,
                secs(minute * 60),
                LedgerEvent::Finished(request),
            );
            counted += 1;
        }
        if let Some((pending_minute, _, _)) = tick(&mut ledger, secs(minute * 60 + 30)) {
            feed(
                &mut ledger,
                secs(minute * 60 + 31),
                LedgerEvent::Unclear(pending_minute),
            );
        }
        assert!(ledger.pending_minutes() <= MAX_PENDING_MINUTES);
        assert!(ledger.pending_bytes() <= MAX_PENDING_BYTES);
    }

    let mut now = 300 * 60;
    // One more minute is sealed, whose record reports the losses so far.
    while ledger.pending_minutes() > 0 {
        now += 1;
        assert!(now < 30_000, "minutes are still pending after the outage");
        if let Some((minute, key, record)) = tick(&mut ledger, secs(now)) {
            store.put(&key, record);
            feed(&mut ledger, secs(now), LedgerEvent::Written(minute));
        }
    }

    assert!(store.lost() > 0);
    assert_eq!(store.count() + store.lost(), counted);
}

#[test]
fn requests_beyond_the_row_limit_share_overflow_rows() {
    // Guards against names chosen by callers that make the record grow without bound.
    let mut ledger = new_ledger(1);
    for number in 0..MAX_COUNT_ROWS + 500 {
        let request = finished(&format!("account-{number}"));
        feed(&mut ledger, secs(1), LedgerEvent::Finished(request));
    }

    let (_, _, record) = tick(&mut ledger, secs(60)).expect("minute is sealed");

    let other: u64 = record
        .requests
        .iter()
        .filter(|row| row.account == OTHER_NAME)
        .map(|row| row.count)
        .sum();
    assert_eq!(other, 500);
    assert_eq!(record.requests.len(), MAX_COUNT_ROWS + 1);
}

#[test]
fn gauge_time_is_split_at_the_end_of_a_minute() {
    // Guards against adding downtime to the wrong minute, or twice at a boundary.
    let mut ledger = new_ledger(1);
    for second in 0..=120 {
        feed(&mut ledger, secs(second), gauge(2, 8));
    }

    for _ in 0..2 {
        let (minute, _, record) = tick(&mut ledger, secs(120)).expect("minute is sealed");
        assert_eq!(record.downtime[0].downtime_ms, 2 * 60_000);
        assert_eq!(record.stranded_ms, 8 * 60_000);
        // The failed minute moves to the end, so the second minute is written next.
        feed(&mut ledger, secs(60), LedgerEvent::Unclear(minute));
    }
}

#[test]
fn paused_controller_stops_counting_downtime() {
    // Guards against counting the same downtime in a paused controller and in its successor.
    let mut ledger = new_ledger(1);
    feed(&mut ledger, secs(10), gauge(1, 4));

    feed(&mut ledger, secs(400), gauge(0, 0));
    let (_, _, record) = tick(&mut ledger, secs(401)).expect("minute is sealed");

    assert_eq!(record.minute, FIRST_MINUTE);
    assert_eq!(record.downtime[0].downtime_ms, 5_000);
    assert_eq!(record.stranded_ms, 20_000);
    assert_eq!(
        ledger.pending_minutes(),
        1,
        "minutes without an event have no record"
    );
}

#[test]
fn stop_stores_the_open_minute() {
    // Guards against losing the open minute at a graceful shutdown.
    let mut ledger = new_ledger(1);
    feed(
        &mut ledger,
        secs(5),
        LedgerEvent::Finished(refused("queue_full")),
    );

    let mut actions = Vec::new();
    ledger.step(secs(6), LedgerEvent::Stop, &mut actions);

    let Some(LedgerAction::Write { body, .. }) = actions.pop() else {
        panic!("stop starts no write");
    };
    let record: MinuteRecord = serde_json::from_slice(&body).expect("record is valid JSON");
    assert_eq!(record.requests[0].count, 1);
    assert!(matches!(
        record.requests[0].outcome,
        RequestOutcome::Refused { .. }
    ));
}

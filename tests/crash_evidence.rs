//! Requests and prompt parts that crash servers: how fast their sends stop at all gateways, and
//! that sound requests go on, in virtual time.

mod crash_fixtures;

use {
    crash_fixtures::{CrashCounts, CrashLoad, play},
    rstest::rstest,
    std::time::Duration,
    toucanring::core::{
        peers::{CrashDatagram, NodeDatagram},
        retry::{
            BlockEnd, CrashNews, CrashReport, CrashSubject, CrashTracker, CrashVerdict,
            ReportedCrash, SoundReport,
        },
        view::{MAX_DATAGRAM_BYTES, PeerCodec, SealKind},
    },
};

/// Sends with a deadly part that may follow later than the settling time after the fifth crash.
const MAX_LATE_SENDS: usize = 3;

/// Seeds of a case with few gateways.
const SEEDS: std::ops::Range<u64> = 1..4;

/// Gateways from which on a case is played with one seed, since their datagrams take long.
const MANY_GATEWAYS: usize = 50;

/// Age from which on a crash counts.
const REVIEW_TIME: Duration = Duration::from_millis(200);

const PART: CrashSubject = CrashSubject::PromptPart(7);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn runs(load: &CrashLoad) -> Vec<CrashCounts> {
    let mut runs = Vec::new();
    let seeds = if load.gateways >= MANY_GATEWAYS {
        1..2
    } else {
        SEEDS
    };
    for seed in seeds {
        runs.push(play(CrashLoad {
            seed,
            ..load.clone()
        }));
    }
    runs
}

/// True when a part of the sound requests is small: a part beside the deadly one may be blocked for
/// the moment until a first event or further crashes separate the two.
fn is_rare(count: usize, counts: &CrashCounts) -> bool {
    count * 100 <= counts.sound_arrivals
}

fn is_blocked(tracker: &CrashTracker, now: Duration, subject: CrashSubject) -> bool {
    matches!(tracker.verdict(now, &[subject]), CrashVerdict::Blocked(_))
}

/// Records crashes of different servers under different requests, one a second from `first` on.
fn crash_thrice(tracker: &mut CrashTracker, first: u64, subject: CrashSubject) {
    for second in first..first + 3 {
        let number = u32::try_from(second).unwrap();
        tracker.record_crash(seconds(second), number, number, &[subject]);
    }
    tracker.review(seconds(first + 2) + REVIEW_TIME);
}

fn blocking_tracker() -> CrashTracker {
    let mut tracker = CrashTracker::new(1);
    crash_thrice(&mut tracker, 1, PART);
    tracker
}

/// Guards against a deadly part that goes on reaching servers, and against sound requests of the
/// same first part that are refused with it.
#[rstest]
fn sends_with_a_deadly_part_stop_at_all_gateways(
    #[values(6, 90)] gateways: usize,
    #[values(0.01, 0.05, 0.12)] deadly_share: f64,
) {
    let load = CrashLoad {
        gateways,
        deadly_share,
        ..CrashLoad::default()
    };

    let runs = runs(&load);

    for counts in runs {
        assert!(counts.late_sends <= MAX_LATE_SENDS, "{counts:?}");
        assert!(is_rare(counts.sound_refused, &counts), "{counts:?}");
        let served = counts.sound_served * 100 / counts.sound_arrivals;
        assert!(served >= 85, "{counts:?}");
    }
}

/// Guards against a load pattern that shows nothing: without the tracker the sends don't stop.
#[rstest]
fn without_the_tracker_sends_go_on(#[values(6, 90)] gateways: usize) {
    let load = CrashLoad {
        gateways,
        tracked: false,
        ..CrashLoad::default()
    };

    let runs = runs(&load);

    for counts in runs {
        assert!(counts.late_sends > 10 * MAX_LATE_SENDS, "{counts:?}");
    }
}

/// Guards against a high rate of crashes, or two deadly parts at a time, that hide the parts at
/// fault from each other.
#[rstest]
#[case::every_third_request(0.3, 1)]
#[case::two_parts(0.12, 2)]
#[case::five_parts(0.12, 5)]
fn many_crashes_do_not_hide_the_deadly_part(#[case] deadly_share: f64, #[case] deadly_parts: u64) {
    let load = CrashLoad {
        deadly_share,
        deadly_parts,
        ..CrashLoad::default()
    };

    let runs = runs(&load);

    for counts in runs {
        let late = counts.late_sends;
        assert!(
            late <= MAX_LATE_SENDS * usize::try_from(deadly_parts).unwrap(),
            "{counts:?}"
        );
        assert_eq!(counts.sound_refused, 0, "{counts:?}");
    }
}

/// Guards against a request that its callers repeat at any gateway and that crashes each server
/// which runs it, and against blame that falls on its shared parts.
#[rstest]
fn a_repeated_deadly_request_is_stopped_without_its_parts(#[values(6, 90)] gateways: usize) {
    let load = CrashLoad {
        gateways,
        whole_request: true,
        ..CrashLoad::default()
    };

    let runs = runs(&load);

    for counts in runs {
        assert!(counts.late_sends <= MAX_LATE_SENDS, "{counts:?}");
        assert!(is_rare(counts.sound_refused, &counts), "{counts:?}");
    }
}

/// Guards against sound parts that are blocked on days with many ordinary crashes, when many
/// waiting requests break off at once.
#[rstest]
#[case::single_servers(300, 0.08)]
#[case::half_of_the_servers(1_500, 0.5)]
#[case::all_servers(8_000, 1.0)]
#[case::a_steady_tenth(400, 0.15)]
fn ordinary_crashes_block_no_sound_part(
    #[case] interval_ms: u64,
    #[case] crash_share: f64,
    #[values(6, 90)] gateways: usize,
    #[values(40)] parts: u64,
) {
    let load = CrashLoad {
        gateways,
        parts,
        deadly_share: 0.0,
        crash_interval: Some(millis(interval_ms)),
        crash_share,
        ..CrashLoad::default()
    };

    let runs = runs(&load);

    for counts in runs {
        assert_eq!(counts.sound_refused, 0, "{counts:?}");
    }
}

/// Guards against sound parts that stay blocked where servers are down three quarters of the time,
/// so that hardly a first event arrives.
#[rstest]
fn permanent_outages_block_hardly_a_sound_part(#[values(6, 90)] gateways: usize) {
    let load = CrashLoad {
        gateways,
        deadly_share: 0.0,
        crash_interval: Some(seconds(4)),
        crash_share: 1.0,
        ..CrashLoad::default()
    };

    let runs = runs(&load);

    for counts in runs {
        assert!(is_rare(counts.sound_refused, &counts), "{counts:?}");
    }
}

/// Guards against deadly parts that are missed beside ordinary crashes and a lossy network.
#[rstest]
fn a_deadly_part_is_found_beside_ordinary_crashes(#[values(6, 90)] gateways: usize) {
    let load = CrashLoad {
        gateways,
        crash_interval: Some(millis(800)),
        crash_share: 0.15,
        loss: 0.2,
        ..CrashLoad::default()
    };

    let runs = runs(&load);

    for counts in runs {
        assert!(counts.late_sends <= MAX_LATE_SENDS, "{counts:?}");
        assert!(is_rare(counts.sound_refused, &counts), "{counts:?}");
    }
}

/// Guards against a first event that doesn't clear a part, and against a block that outlives it.
#[test]
fn a_first_event_clears_a_blocked_part() {
    let mut tracker = blocking_tracker();
    assert!(is_blocked(&tracker, seconds(4), PART));

    let changes = tracker.record_sound(seconds(4), &[PART]);

    assert_eq!(changes.ended, [(PART, BlockEnd::ProvenSound)]);
    assert_eq!(
        tracker.verdict(seconds(4), &[PART]),
        CrashVerdict::Unsuspected
    );
}

/// Guards against one request, or many connections that break in the same moment, which blame a
/// part that other requests share.
#[test]
fn one_request_or_one_moment_does_not_block_a_part() {
    let mut by_one_request = CrashTracker::new(1);
    let mut in_one_moment = CrashTracker::new(1);

    for number in 1..=9 {
        by_one_request.record_crash(seconds(number.into()), number, 5, &[PART]);
        let at = seconds(1) + millis(10) * number;
        let other = CrashSubject::PromptPart(100 + u64::from(number % 3));
        let part = if number % 3 == 0 { PART } else { other };
        in_one_moment.record_crash(at, number, number, &[part]);
    }

    by_one_request.review(seconds(10));
    in_one_moment.review(seconds(10));
    assert!(!is_blocked(&by_one_request, seconds(10), PART));
    assert!(!is_blocked(&in_one_moment, seconds(10), PART));
}

/// Guards against a block without an end, and against a part that crashes as many servers again
/// after each block as before the first.
#[test]
fn a_block_ends_and_one_further_crash_blocks_for_longer() {
    let mut tracker = blocking_tracker();
    assert!(is_blocked(&tracker, seconds(62), PART));
    assert!(!is_blocked(&tracker, seconds(63), PART));

    tracker.record_crash(seconds(70), 70, 70, &[PART]);
    let changes = tracker.review(seconds(71));

    assert_eq!(changes.blocked[0].blocks, 2);
    assert!(is_blocked(&tracker, seconds(189), PART));
    assert!(!is_blocked(&tracker, seconds(190), PART));
}

/// Guards against verdicts that depend on the order, the repetition or the loss of some reports.
#[test]
fn reports_merge_in_any_order_and_number() {
    let mut source = blocking_tracker();
    let at = seconds(4);
    let first = source.take_news(at);
    let again = source.take_news(seconds(5));
    let mut once = CrashTracker::new(2);
    let mut repeated = CrashTracker::new(3);

    once.merge(at, &again);
    for news in [&again, &first, &again, &first] {
        repeated.merge(at, news);
    }

    assert_eq!(once.verdict(at, &[PART]), repeated.verdict(at, &[PART]));
    assert!(is_blocked(&once, at, PART));
}

/// Guards against a node that proved a part sound and keeps this to itself while others block it.
#[test]
fn a_proof_of_one_node_ends_the_block_at_the_others() {
    let mut source = blocking_tracker();
    let mut prover = CrashTracker::new(2);
    prover.record_sound(millis(3_500), &[PART]);
    let at = seconds(4);

    prover.merge(at, &source.take_news(at));
    let proof = prover.take_news(at);
    source.merge(at, &proof);

    assert_eq!(prover.verdict(at, &[PART]), CrashVerdict::Unsuspected);
    assert_eq!(source.verdict(at, &[PART]), CrashVerdict::Unsuspected);
    // A report that was sent before the proof arrives late.
    let late = blocking_tracker().take_news(at);
    source.merge(at, &late);
    assert!(!is_blocked(&source, at, PART));
}

/// Guards against a node that started, or was cut off, after the reports of a block were sent.
#[test]
fn samples_tell_late_nodes_of_blocks() {
    let mut source = blocking_tracker();
    let mut late = CrashTracker::new(2);

    late.merge(seconds(20), &source.sample_blocks(seconds(20)));

    assert!(is_blocked(&late, seconds(20), PART));
}

/// Guards against memory that grows with the number of crashes, and against a block that is
/// forgotten for evidence of single crashes.
#[test]
fn evidence_stays_bounded_and_keeps_what_changes() {
    let mut tracker = blocking_tracker();

    for number in 0..20_000_u32 {
        let now = seconds(4) + millis(1) * number;
        let subject = CrashSubject::Request(u64::from(number));
        tracker.record_crash(now, number + 100, number, &[subject]);
        if number % 1_000 == 0 {
            tracker.record_crash(now, number + 100, number, &[PART]);
        }
    }

    tracker.review(seconds(25));
    assert!(tracker.len() <= 4_096);
    assert!(is_blocked(&tracker, seconds(25), PART));
}

/// Guards against datagrams above the limit, which are dropped by their receivers.
#[test]
fn the_largest_news_fit_a_datagram() {
    let crash = ReportedCrash {
        server: u32::MAX,
        request: u32::MAX,
        age_ms: u32::MAX,
    };
    let mut tracker = CrashTracker::new(1);
    for number in 0..16_u32 {
        let now = seconds(60) + millis(1) * number;
        for id in 0..40 {
            let subject = CrashSubject::PromptPart(u64::MAX - id);
            let proven = CrashSubject::PromptPart(u64::MAX - 1_000 - id);
            tracker.record_crash(
                now,
                u32::MAX - number,
                u32::MAX - number,
                &[subject, proven],
            );
        }
    }
    for id in 0..40 {
        let proven = CrashSubject::PromptPart(u64::MAX - 1_000 - id);
        tracker.record_sound(seconds(61), &[proven]);
    }
    let taken = tracker.take_news(seconds(61));
    let mut reports = taken.crashes.clone();
    for report in &mut reports {
        *report = CrashReport {
            subject: CrashSubject::PromptPart(u64::MAX),
            depth: u8::MAX,
            blocks: u8::MAX,
            crashes: vec![crash; report.crashes.len()],
        };
    }
    let sound = SoundReport {
        subject: CrashSubject::PromptPart(u64::MAX),
        age_ms: u32::MAX,
    };
    let news = CrashNews {
        crashes: reports,
        sound: vec![sound; taken.sound.len()],
    };
    let datagram = NodeDatagram::Crashes(CrashDatagram {
        address: "255.255.255.255:65535".parse().unwrap(),
        news,
    });

    let bytes = PeerCodec::new([7; 32]).seal(SealKind::Datagram, &datagram);

    assert_eq!((taken.crashes.len(), taken.sound.len()), (6, 16));
    assert!(taken.crashes.iter().all(|report| report.crashes.len() == 8));
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
}

/// Guards against a request with a deadly part, sent to three servers, that takes the blame for all
/// its crashes, so that the part goes on (seen on campanari-rete: two more crashes).
#[test]
fn a_part_is_blocked_before_a_request_with_the_same_crashes() {
    let mut tracker = CrashTracker::new(1);
    let request = CrashSubject::Request(9);
    for number in 1..=3_u32 {
        // Another request with the part waits at the second server.
        let subjects = [PART, request];
        tracker.record_crash(seconds(number.into()), number, 9, &subjects);
        if number == 2 {
            tracker.record_crash(seconds(2), number, 8, &[PART, CrashSubject::Request(8)]);
        }
    }

    let changes = tracker.review(seconds(4));

    assert_eq!(changes.blocked.len(), 1);
    assert_eq!(changes.blocked[0].subject, PART);
}

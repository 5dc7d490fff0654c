//! Requests during the planned stop of a node, in virtual time.

mod node_fixtures;

use {
    node_fixtures::{at, model, profile},
    rstest::rstest,
    std::time::Duration,
    toucanring::core::stop::{
        AnswerSample, AnswerTimes, AttemptOutlook, StopDeadline, StopVerdict, engine_answer_time,
    },
};

/// Time of the SIGTERM on the clock of the node.
const STARTED: Duration = Duration::from_secs(100);

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// Time for which the caller of a request waits.
const CALLER_TIME: Duration = Duration::from_secs(30);

fn outlook(expected: Duration) -> AttemptOutlook {
    AttemptOutlook {
        expected,
        longest: CALLER_TIME,
    }
}

/// Answer times of a route after answers of these lengths, one every 20 ms up to the stop.
fn times_after(samples: &[AnswerSample]) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    let mut now = STARTED;
    for sample in samples.iter().rev() {
        now -= at(20);
        times.note(now, *sample);
    }
    times
}

fn plain_samples(lengths: &[u64]) -> Vec<AnswerSample> {
    let sample = |millis: &u64| AnswerSample {
        took: at(*millis),
        tokens: 0,
    };
    lengths.iter().map(sample).collect()
}

/// Guards against an attempt that is sent and cannot end before the process does, and against one
/// that is refused though it can. Requests of a route come every 10 ms through the whole grace, and
/// each takes as long as one of the earlier ones.
#[rstest]
#[case::short(&[60, 40, 75, 60], 7_300)]
#[case::one_second(&[800, 1_000, 900], 6_000)]
#[case::long(&[3_000, 2_500], 3_000)]
#[case::longer_than_the_grace(&[9_000], 0)]
fn requests_end_before_the_process(#[case] lengths: &[u64], #[case] served_until_ms: u64) {
    let times = times_after(&plain_samples(lengths));
    let deadline = StopDeadline::after(STARTED, GRACE);
    let mut served = Vec::new();

    for step in 0..GRACE.as_millis() / 10 {
        let passed = at(10 * u64::try_from(step).unwrap());
        let now = STARTED + passed;
        let expected = times.expect(now, 0).unwrap();
        if deadline.decide(now, &outlook(expected)) == StopVerdict::Serve {
            served.push(passed);
        }
    }

    let longest = at(lengths.iter().copied().max().unwrap());
    for passed in &served {
        let end = STARTED + *passed + longest;
        assert!(end < deadline.answers_until, "{passed:?} ends at {end:?}");
    }
    let last = served.last().copied().unwrap_or_default();
    assert!(last >= at(served_until_ms), "refused from {last:?} on");
}

/// Guards against a request that is refused though its caller gives up before the process ends.
#[test]
fn a_request_whose_caller_leaves_earlier_is_served() {
    let deadline = StopDeadline::after(STARTED, GRACE);
    let attempt = AttemptOutlook {
        expected: at(60_000),
        longest: at(500),
    };

    let verdict = deadline.decide(STARTED + at(7_000), &attempt);

    assert_eq!(verdict, StopVerdict::Serve);
}

/// Guards against a long answer that is forgotten at the next short one, and against one that keeps
/// all later requests out for good.
#[test]
fn a_long_answer_is_remembered_for_a_time() {
    let times = times_after(&plain_samples(&[50, 2_000, 50, 50, 50]));

    let soon = times.expect(STARTED, 0).unwrap();
    let later = times.expect(STARTED + Duration::from_mins(5), 0).unwrap();

    assert!(soon > at(2_000), "{soon:?}");
    assert!(later < at(10), "{later:?}");
}

/// Guards against streams whose time is expected without regard to their length.
#[test]
fn streams_are_expected_to_last_as_their_tokens() {
    let sample = AnswerSample {
        took: at(2_000),
        tokens: 200,
    };
    let times = times_after(&[sample; 20]);

    let short = times.expect(STARTED, 20).unwrap();
    let long = times.expect(STARTED, 600).unwrap();

    assert!(short > at(200) && short < at(300), "{short:?}");
    assert!(long > at(6_000), "{long:?}");
    assert_eq!(times.expect(STARTED, 0), None);
}

/// Guards against an overflow by extreme figures of an engine.
#[rstest]
#[case(1.0e9, 1.0e9)]
#[case(f64::MAX, f64::MAX)]
#[case(0.0, f64::INFINITY)]
fn extreme_figures_give_a_bounded_time(#[case] step_ms: f64, #[case] pace: f64) {
    let mut slow_model = model("m-0", 2, 1.0);
    slow_model.pace = pace;
    let mut engine = profile(vec![slow_model.clone()]);
    engine.step_ms = step_ms;

    let expected = engine_answer_time(&engine, &slow_model, u32::MAX);

    assert_eq!(expected, Duration::from_hours(1));
}

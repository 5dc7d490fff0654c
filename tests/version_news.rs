//! Tests of the time between the first news of a configuration and its use.

use {std::time::Duration, toucanring::core::peers::VersionNews};

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a delay that is counted from the last of several versions, so that a node that
/// stays behind for long looks up to date.
#[test]
fn the_delay_counts_from_the_oldest_version_that_was_missed() {
    let mut news = VersionNews::default();
    for (ms, version) in [(100, 5), (400, 6), (700, 9)] {
        assert!(news.hear(at(ms), 4, version));
    }

    assert_eq!(news.settle(at(800), 6), Some(at(700)));
    assert_eq!(news.settle(at(900), 9), Some(at(200)));
}

/// Guards against a log line for each beacon that names the same version.
#[test]
fn a_version_is_news_once() {
    let mut news = VersionNews::default();
    assert!(news.hear(at(100), 4, 5));

    assert!(!news.hear(at(180), 4, 5));
    assert!(!news.hear(at(180), 4, 4));
}

/// Guards against news that are lost, or kept without bound, while many versions come and none is
/// applied.
#[test]
fn the_oldest_news_outlive_many_versions() {
    let mut news = VersionNews::default();
    for version in 1..=1_000 {
        news.hear(at(version), 0, version);
    }

    assert_eq!(news.settle(at(2_000), 1_000), Some(at(1_999)));
    assert_eq!(news.settle(at(2_100), 1_001), None);
}

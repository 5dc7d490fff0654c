//! The time that a configuration takes to reach all nodes, over links like those of small nodes.

mod spread_world;

use {
    rstest::rstest,
    spread_world::{SpreadWorld, WorldSize},
    std::{fmt::Write, time::Duration},
};

/// Longest time from the first node that has a version to the last one. A third of the bound for
/// changes, since nodes also lose time to other causes.
const SPREAD_BOUND: Duration = Duration::from_secs(1);

/// Most bytes that a node may receive for a change of one route.
const SMALL_CHANGE_BYTES: u64 = 40_000;

/// Bandwidth of the link of most nodes, in Mbit/s.
const NARROW_LINK: u32 = 20;

/// Bandwidth of the links of a few nodes, in Mbit/s.
const WIDE_LINK: u32 = 200;

/// Digits that do not repeat from one number to the next.
const fn digits(number: u64) -> u64 {
    number
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407)
}

/// A configuration as an operator writes it, of about 220 bytes a route.
fn configuration(routes: u64, changed: u64) -> Vec<u8> {
    let mut text = String::from(r#"{"routes":["#);
    for index in 0..routes {
        let (name, prefix) = (digits(index), digits(index + routes));
        let timeout = 5_000 + u64::from(index == changed);
        write!(
            text,
            r#"{{"name":"r-{name:x}","host":"models.example","prefix":"/{prefix:x}/","#
        )
        .and_then(|()| {
            write!(
                text,
                r#""kind":"idempotent","timeoutMs":{timeout},"priority":1,"service":"desk","#
            )
        })
        .and_then(|()| write!(text, r#""public":false,"sticky":true,"resumable":false}},"#))
        .expect("a string takes any text");
    }
    text.into_bytes()
}

const fn size(domains: usize, nodes_per_domain: usize) -> WorldSize {
    WorldSize {
        domains,
        nodes_per_domain,
        readers: 2,
        cut_domains: 0,
        reader_link_mbps: WIDE_LINK,
        link_mbps: NARROW_LINK,
        apply_time: Duration::from_millis(80),
    }
}

/// Guards against a change that was confirmed and is not in force in time since all nodes ask the
/// same few others for a large configuration (CONFIG on campanari-rete-grown, issue 39).
#[rstest]
#[case::one_domain(size(1, 30))]
#[case::three_domains(size(3, 30))]
#[case::narrow_readers(WorldSize { reader_link_mbps: NARROW_LINK, ..size(1, 30) })]
#[case::readers_without_the_store(WorldSize { cut_domains: 1, ..size(3, 30) })]
#[case::design_scale(size(9, 43))]
#[tokio::test(start_paused = true)]
async fn a_grown_configuration_reaches_all_nodes_in_time(#[case] size: WorldSize) {
    let world = SpreadWorld::start(size, &configuration(20, 0), 1);

    let (grown, _) = world.spread(2, &configuration(1_420, 0)).await;
    let (changed, bytes) = world.spread(3, &configuration(1_420, 700)).await;

    assert!(grown < SPREAD_BOUND, "{grown:?} for 1,400 routes more");
    assert!(changed < SPREAD_BOUND, "{changed:?} for a change");
    assert!(bytes < SMALL_CHANGE_BYTES, "{bytes} bytes for a change");
}

/// Guards against nodes that stay behind while versions come faster than the largest one spreads.
#[tokio::test(start_paused = true)]
async fn versions_in_quick_succession_reach_all_nodes_in_time() {
    let world = SpreadWorld::start(size(2, 30), &configuration(20, 0), 2);
    for version in 2..8 {
        let content = configuration(1_420, version);
        let hurried = world.spread(version, &content);
        // The next version comes before this one is everywhere.
        let _ = tokio::time::timeout(Duration::from_millis(330), hurried).await;
    }

    let (last, _) = world.spread(8, &configuration(1_420, 8)).await;

    assert!(last < SPREAD_BOUND, "{last:?}");
}

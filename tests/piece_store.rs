//! Tests of a configuration that is cut into pieces and put together again.

use {
    bytes::Bytes,
    proptest::prelude::*,
    toucanring::core::transfer::{
        MAX_CONTENT_BYTES, PieceDigest, PieceEntry, PieceList, PieceStore,
    },
};

fn text(lines: u32) -> Vec<u8> {
    let mut text = Vec::new();
    for line in 0..lines {
        text.extend_from_slice(format!("route {line};").as_bytes());
    }
    text
}

fn published(version: u64, content: &[u8]) -> PieceStore {
    let mut store = PieceStore::default();
    store.publish(version, content);
    store
}

/// Fetches at most `count` pieces; returns the number of those that were missing.
fn fetch(here: &mut PieceStore, there: &PieceStore, count: usize) -> usize {
    let list = there.newer_list(0).expect("a published list").clone();
    assert!(here.want(list));
    let missing = here.missing();
    for entry in missing.iter().take(count) {
        let piece = there.piece(&entry.digest).expect("a published piece");
        assert!(here.add(entry, piece.clone()));
    }
    missing.len()
}

/// Guards against a transfer that begins again with the first piece after it broke off.
#[test]
fn pieces_are_kept_when_a_transfer_breaks_off() {
    let there = published(7, &text(20_000));
    let mut here = PieceStore::default();
    let missing = fetch(&mut here, &there, 10);

    let rest = fetch(&mut here, &there, usize::MAX);

    assert_eq!(rest, missing - 10);
    assert_eq!(here.assemble(), Some((7, Bytes::from(text(20_000)))));
}

/// Guards against a new version that throws away what was received of the one before it.
#[test]
fn pieces_of_a_version_that_was_never_complete_serve_for_the_next() {
    let mut changed = text(20_000);
    changed.extend_from_slice(b"route of the next version;");
    let (old, new) = (published(7, &text(20_000)), published(8, &changed));
    let mut here = PieceStore::default();
    let missing = fetch(&mut here, &old, 20);

    let rest = fetch(&mut here, &new, usize::MAX);

    assert!(rest <= missing - 18, "{rest} of {missing}");
    assert_eq!(here.assemble(), Some((8, Bytes::from(changed))));
}

/// Guards against pieces that a node still needs for its peers and drops, and others that it keeps
/// for ever.
#[test]
fn only_the_pieces_of_the_version_in_use_stay() {
    let there = published(7, &text(20_000));
    let mut here = published(3, b"an earlier version");
    fetch(&mut here, &there, usize::MAX);
    here.publish_fetched();

    let list = here.newer_list(3).expect("the fetched list");
    assert!(
        list.entries
            .iter()
            .all(|entry| here.piece(&entry.digest).is_some())
    );
    assert!(
        here.piece(&PieceDigest::of(b"an earlier version"))
            .is_none()
    );
}

/// Guards against a version that is announced to peers before its last piece has come.
#[test]
fn an_incomplete_version_is_not_published() {
    let there = published(7, &text(20_000));
    let mut here = published(3, b"an earlier version");
    fetch(&mut here, &there, 5);

    here.publish_fetched();

    assert!(here.newer_list(3).is_none());
}

/// Guards against a piece of a faulty peer that ends up in the configuration.
#[test]
fn a_piece_that_does_not_match_is_refused() {
    let there = published(7, &text(20_000));
    let mut here = PieceStore::default();
    fetch(&mut here, &there, 0);
    let missing = here.missing();
    let other = there.piece(&missing[1].digest).expect("a published piece");

    assert!(!here.add(&missing[0], other.clone()));
    assert!(!here.add(&missing[0], Bytes::from_static(b"no compressed piece")));
    assert!(!here.add(&missing[0], Bytes::new()));
    assert_eq!(here.missing(), missing);
}

/// Guards against a list of a faulty peer for which a node would reserve memory without bound.
#[test]
fn a_list_beyond_the_bounds_is_refused() {
    let digest = PieceDigest::of(b"piece");
    let list = |count: usize, bytes: u32| PieceList {
        version: 7,
        entries: vec![PieceEntry { digest, bytes }; count],
    };
    let most = MAX_CONTENT_BYTES / 16_384;

    assert!(PieceStore::default().want(list(most, 16_384)));
    for wrong in [
        list(1, 0),
        list(1, 16_385),
        list(most + 1, 16_384),
        list(8_193, 1),
    ] {
        assert!(!PieceStore::default().want(wrong));
    }
}

proptest! {
    /// Guards against contents that come out changed, as empty ones or ones without cuts.
    #[test]
    fn any_content_is_put_together_again(
        parts in prop::collection::vec((any::<u8>(), 0..9_000_usize), 0..12),
    ) {
        let content: Vec<u8> = parts
            .iter()
            .flat_map(|(byte, count)| std::iter::repeat_n(*byte, *count))
            .collect();
        let there = published(7, &content);
        let mut here = PieceStore::default();
        fetch(&mut here, &there, usize::MAX);
        prop_assert_eq!(here.assemble(), Some((7, Bytes::from(content))));
    }
}

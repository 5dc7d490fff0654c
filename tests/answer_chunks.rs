//! Property tests of the matching of answer chunks to attempts.

use {
    proptest::prelude::*,
    toucanring::core::retry::{AnswerTracker, ChunkHeader, ChunkVerdict},
};

/// Next event on the connections of a request.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    /// The next chunk of the current attempt.
    Next,
    /// A chunk that was delivered before, this many chunks behind the last one.
    Repeated(u64),
    /// A chunk of the current attempt after this many missing ones.
    Ahead(u64),
    /// A chunk with this sequence number and the id of another attempt.
    Foreign(u64),
    /// The connection breaks, and a new attempt resumes the answer.
    Break,
    /// The `[DONE]` marker.
    Done,
}

fn arrival() -> impl Strategy<Value = Arrival> {
    prop_oneof![
        6 => Just(Arrival::Next),
        1 => (0..40_u64).prop_map(Arrival::Repeated),
        1 => (1..5_u64).prop_map(Arrival::Ahead),
        2 => (0..40_u64).prop_map(Arrival::Foreign),
        1 => Just(Arrival::Break),
        1 => Just(Arrival::Done),
    ]
}

proptest! {
    // Guards against missing or repeated chunks or chunks of another request in the answer, and
    // against a truncated answer that counts as complete, in any order of chunks and broken
    // connections.
    #[test]
    fn delivers_each_chunk_once_in_order(
        length in 1..20_u64,
        arrivals in proptest::collection::vec(arrival(), 0..200),
    ) {
        let mut tracker = AnswerTracker::default();
        let mut attempt = 0;
        let mut delivered = Vec::new();
        tracker.begin("0");
        for arrival in arrivals {
            let position = tracker.delivered();
            let (name, sequence) = match arrival {
                Arrival::Next => (attempt.to_string(), position),
                Arrival::Repeated(back) => (attempt.to_string(), position.saturating_sub(back + 1)),
                Arrival::Ahead(more) => (attempt.to_string(), position + more),
                Arrival::Foreign(sequence) => ("other".to_owned(), sequence),
                Arrival::Break => {
                    attempt += 1;
                    tracker.begin(&attempt.to_string());
                    continue;
                }
                Arrival::Done => {
                    let whole = delivered.len() as u64 == length;
                    prop_assert_eq!(tracker.close(), whole);
                    continue;
                }
            };
            if sequence >= length {
                continue;
            }
            let chunk = ChunkHeader { attempt: &name, sequence, last: sequence + 1 == length };
            if tracker.accept(&chunk) == ChunkVerdict::Deliver {
                prop_assert_eq!(&name, &attempt.to_string());
                delivered.push(sequence);
            }
        }
        let expected: Vec<u64> = (0..delivered.len() as u64).collect();
        prop_assert_eq!(delivered, expected);
    }
}

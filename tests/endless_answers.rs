//! Servers in trouble that send bytes without end.

use toucanring::node::EventSplitter;

/// Guards against a stream without the end of an event that is searched anew
/// with each of its pieces, which takes minutes of processor time.
#[test]
fn an_endless_event_is_searched_once() {
    let mut splitter = EventSplitter::default();
    let mut pushed = 0_usize;

    while !splitter.is_over_bound() {
        assert_eq!(splitter.push(b"x"), None);
        pushed += 1;
    }

    assert_eq!(pushed, 1024 * 1024 + 1);
}

/// Guards against an end of an event that lies between two pieces.
#[test]
fn ends_between_pieces_are_found() {
    for end in ["\n\n", "\r\n\r\n"] {
        let mut splitter = EventSplitter::default();
        let text = format!("id: 7\ndata: a{end}");
        let mut batches = Vec::new();
        for byte in text.bytes() {
            batches.extend(splitter.push(&[byte]));
        }
        assert_eq!(batches.len(), 1, "{end:?}");
        assert_eq!(batches[0].bytes, text.as_bytes());
        assert_eq!(batches[0].ids, Some((7, 7)));
    }
}

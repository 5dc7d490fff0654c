//! Events of a stream that is sent by several servers.

use {rstest::rstest, toucanring::core::retry::EventOrder};

/// Order of a stream of which one server has sent these events.
fn order_after(ids: &[u64]) -> EventOrder {
    let mut order = EventOrder::default();
    for id in ids {
        let checked = order.check(format!("id: {id}\n\n").as_bytes());
        assert_eq!(checked.fault, None);
    }
    order
}

/// Guards against a resumed stream in which an event is missing or comes twice, and against one
/// that is broken off though its identifiers only increase.
#[rstest]
#[case::next(&[1, 2], 3, None)]
#[case::gap(&[1, 2], 4, Some("missing_event"))]
#[case::gap_after_one(&[1], 3, Some("missing_event"))]
#[case::last_again(&[1, 2], 2, Some("repeated_event"))]
#[case::first_again(&[1, 2], 1, Some("repeated_event"))]
#[case::sparse(&[1, 5, 6], 9, None)]
#[case::greatest(&[u64::MAX], u64::MAX, Some("repeated_event"))]
#[case::nothing_before(&[], 7, None)]
fn resumed_events_follow_the_last_one(
    #[case] before: &[u64],
    #[case] next: u64,
    #[case] fault: Option<&str>,
) {
    let mut order = order_after(before);
    order.begin_resumption();

    let checked = order.check(format!("id: {next}\n\n").as_bytes());

    assert_eq!(checked.fault, fault);
    assert_eq!(checked.count, usize::from(fault.is_none()));
}

/// Guards against a stream of one server that is broken off because its identifiers have gaps.
#[test]
fn one_server_may_leave_gaps() {
    let mut order = order_after(&[1, 2]);

    let checked = order.check(b"id: 9\n\n");

    assert_eq!(checked.fault, None);
    assert_eq!(order.last(), Some(9));
}

/// Guards against bytes that are no event and are passed on, and against valid events before them
/// that are not.
#[rstest]
#[case::status_line(b"HTTP/1.1 503 Service Unavailable\r\n\r\n")]
#[case::headers_alone(b"Content-Length: 0\r\n\r\n")]
#[case::problem(b"{\"title\":\"overloaded\"}\n\n")]
#[case::text(b"upstream error\n\n")]
#[case::page(b"<html>: no\n\n")]
#[case::inside_an_event(b"id: 3\nupstream error\n\n")]
#[case::binary(b"\xff\xfe:\n\n")]
fn foreign_bytes_are_found(#[case] foreign: &[u8]) {
    let mut order = order_after(&[1]);
    let bytes = [b"id: 2\ndata: a\n\n".as_slice(), foreign].concat();

    let checked = order.check(&bytes);

    assert_eq!(checked.length, 15);
    assert_eq!(checked.count, 1);
    assert_eq!(checked.fault, Some("foreign_bytes"));
    assert_eq!(order.last(), Some(2));
}

/// Guards against a stream that is resumed though it holds an event that cannot be found again.
#[test]
fn a_stream_with_an_unnumbered_event_cannot_be_resumed() {
    let mut order = order_after(&[1]);
    assert!(order.can_resume());

    order.check(b": comment\n\n");
    assert!(order.can_resume());
    order.check(b"data: a\n\n");

    assert!(!order.can_resume());
}

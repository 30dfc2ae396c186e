//! Boundaries of server-sent events, whatever the line ends and however the bytes are cut, and
//! whether a body is whole.

use kumquatkeel_core::response::{
    EventIdFault, EventIds, EventScanner, EventStreamCheck, Framing, MAX_EVENT_BYTES, Truncation,
    check_body,
};
use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::line_feed("id: 1\ndata: a\n\n", false, 1)]
#[case::carriage_return("id: 1\rdata: a\r\r", false, 1)]
#[case::both("id: 1\r\ndata: a\r\n\r\n", false, 1)]
#[case::cut_before_the_empty_line("id: 1\ndata: a\n", true, 0)]
#[case::cut_in_the_second_event("data: a\n\nid", true, 1)]
#[case::no_event("", false, 0)]
#[case::leading_empty_lines("\n\ndata: a\n\n", false, 1)]
fn an_event_ends_with_an_empty_line(#[case] text: &str, #[case] inside: bool, #[case] events: u64) {
    let mut scanner = EventScanner::default();
    scanner.push(text.as_bytes());
    assert_eq!(scanner.is_inside_event(), inside);
    assert_eq!(scanner.events(), events);
}

/// The events of a chunk with a fault are not passed on, so that none of them counts as received.
#[test]
fn no_event_is_lost_before_one_that_repeats() {
    let mut ids = EventIds::after(Some(2));
    let fault = ids
        .check(b"id: 3\ndata: a\n\nid: 1\ndata: b\n\n")
        .unwrap_err();
    assert_eq!(fault, EventIdFault::Repeated { last: 3, id: 1 });
    assert_eq!(ids.last(), Some(2));
}

#[rstest]
#[case::event("id: 3\ndata: a\n\n", true)]
#[case::line_ends("id: 3\r\ndata: a\r\n\r\n", true)]
#[case::returns("id: 3\rdata: a\r\r", true)]
#[case::id_last("data: a\nid: 3\n\n", true)]
#[case::field_before_the_id("x-weight-versions: 2\nid: 3\ndata: a\n\n", true)]
#[case::comment(": kept alive\n\nid: 3\ndata: a\n\n", true)]
#[case::no_event("", true)]
#[case::error("event: error\ndata: failed\n\n", false)]
#[case::second_event("id: 3\ndata: a\n\ndata: b\n\n", false)]
#[case::first_event("data: a\n\nid: 3\ndata: b\n\n", false)]
#[case::text("failed\n\n", false)]
#[case::head(
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    false
)]
#[case::id_in_words("id: three\ndata: a\n\n", false)]
fn what_is_no_event_of_the_stream_does_not_continue_it(
    #[case] text: &str,
    #[case] continues: bool,
) {
    let mut ids = EventIds::after(Some(2));
    assert!(
        ids.check(text.as_bytes()).is_ok(),
        "nothing is required of a first run"
    );
    let mut ids = EventIds::after(Some(2));
    ids.require();
    let checked = ids.check(text.as_bytes());
    assert_eq!(checked.is_ok(), continues);
    if !continues {
        assert_eq!(checked, Err(EventIdFault::Missing));
        assert_eq!(ids.last(), Some(2));
    }
}

const EVENTS: &str = "text/event-stream; charset=utf-8";
const JSON: &str = "application/json";

#[rstest]
#[case::inside_event(Framing::Connection, EVENTS, "data: a\n", Err(Truncation::InsideEvent))]
#[case::inside_framed_event(Framing::Delimited, EVENTS, "data: a\n", Err(Truncation::InsideEvent))]
#[case::no_event(Framing::Connection, EVENTS, "", Err(Truncation::NoEvent))]
#[case::empty_framed_stream(Framing::Delimited, EVENTS, "", Ok(()))]
#[case::whole_stream(Framing::Connection, EVENTS, "data: a\n\n", Ok(()))]
#[case::half_json(
    Framing::Connection,
    JSON,
    r#"{"a": 1"#,
    Err(Truncation::IncompleteJson)
)]
#[case::no_json(Framing::Connection, JSON, "", Err(Truncation::IncompleteJson))]
#[case::whole_json(Framing::Connection, JSON, r#"{"a": 1}"#, Ok(()))]
#[case::invalid_framed_json(Framing::Delimited, JSON, "{", Ok(()))]
#[case::opaque(Framing::Connection, "application/octet-stream", "by", Ok(()))]
fn a_truncated_body_is_not_whole(
    #[case] framing: Framing,
    #[case] content_type: &str,
    #[case] body: &str,
    #[case] expected: Result<(), Truncation>,
) {
    assert_eq!(check_body(framing, content_type, body.as_bytes()), expected);
}

proptest! {
    #[test]
    fn pieces_do_not_change_the_boundaries(text in "[a:\r\n]{0,40}", cuts in vec(0usize..41, 0..6)) {
        let bytes = text.as_bytes();
        let mut whole = EventScanner::default();
        let expected = whole.push(bytes);
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(bytes.len())).collect();
        cuts.push(bytes.len());
        cuts.sort_unstable();
        let (mut scanner, mut start, mut complete) = (EventScanner::default(), 0, 0);
        for cut in cuts {
            let found = scanner.push(&bytes[start..cut]);
            if found > 0 {
                complete = start + found;
            }
            start = cut;
        }
        prop_assert_eq!(scanner, whole);
        prop_assert_eq!(complete, expected);
    }
}

#[test]
fn an_event_without_end_is_given_up() {
    let mut check = EventStreamCheck::new(Framing::Delimited);
    let chunk = [b'x'; 1_024];
    for _ in 0..MAX_EVENT_BYTES / chunk.len() {
        assert_eq!(check.push(&chunk), Ok(0));
    }
    assert_eq!(check.push(b"x"), Err(Truncation::OversizedEvent));

    let mut check = EventStreamCheck::new(Framing::Delimited);
    for _ in 0..MAX_EVENT_BYTES {
        assert_eq!(check.push(b"data: a\n\n"), Ok(9));
    }
}

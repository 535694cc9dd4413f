//! Tests that a stream is split into complete events wherever its bytes are cut.

use gorsebank_fleet::events::{CompleteEvent, EventSplitter};
use proptest::prelude::*;

fn split(pieces: &[&[u8]]) -> (Vec<CompleteEvent>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece).expect("short events");
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.has_partial())
}

#[test]
fn a_partial_event_is_not_emitted() {
    let (events, partial) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id.as_deref(), Some("1"));
    assert!(partial);
}

#[test]
fn events_may_end_with_carriage_returns() {
    let (events, partial) = split(&[b"id:7\r\ndata: a\r\n\r\n"]);
    assert_eq!(events[0].id.as_deref(), Some("7"));
    assert!(!partial);
}

#[test]
fn an_event_over_the_size_limit_is_rejected() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 1 << 19];
    splitter.push(&piece).expect("half of the limit");
    splitter.push(&piece).expect("the limit");
    assert!(splitter.push(b"x").is_err());
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_bytes_are_cut(
        texts in prop::collection::vec("[a-z]{0,20}", 1..10),
        cuts in prop::collection::vec(0usize..400, 0..12),
    ) {
        let mut bytes = Vec::new();
        for (number, text) in texts.iter().enumerate() {
            bytes.extend_from_slice(format!("id: {number}\ndata: {text}\n\n").as_bytes());
        }
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        let (events, partial) = split(&pieces);
        prop_assert_eq!(events.len(), texts.len());
        prop_assert!(!partial);
        let joined: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(joined, bytes);
    }
}

//! Boundaries of server-sent events, found in bytes that arrive in arbitrary pieces.

use gooseberry_core::serving::event_stream::{BodyFraming, EventTracker};

fn track(bytes: &[u8], piece: usize) -> EventTracker {
    let mut tracker = EventTracker::default();
    bytes.chunks(piece).for_each(|piece| tracker.push(piece));
    tracker
}

#[test]
fn every_cut_of_a_stream_but_those_after_an_event_leaves_an_event_open() {
    for line_end in ["\n", "\r\n", "\r"] {
        let events = ["id: 1\ndata: a\n\n", "id: 2\ndata:\n\n", ": comment\n\n", "data\n\n"];
        let events = events.map(|event| event.replace('\n', line_end));
        let stream = events.concat();
        let mut ends = vec![0];
        for event in &events {
            ends.push(ends[ends.len() - 1] + event.len());
        }
        for cut in 0..=stream.len() {
            for piece in [1, 3, 1000] {
                let tracker = track(&stream.as_bytes()[..cut], piece);
                let is_boundary = ends.contains(&cut);
                let text = &stream[..cut];
                assert_eq!(tracker.open_bytes() == 0, is_boundary, "{text:?}");
                let events = ends[1..].iter().filter(|end| **end <= cut).count() as u32;
                if is_boundary {
                    assert_eq!(tracker.complete_events(), events, "{text:?}");
                }
            }
        }
    }
}

#[test]
fn blank_lines_between_events_are_no_events() {
    let tracker = track(b"\n\ndata: a\n\n\n\n", 1);
    assert_eq!((tracker.complete_events(), tracker.open_bytes()), (1, 0));
}

#[test]
fn no_bytes_are_no_event() {
    let tracker = EventTracker::default();
    assert_eq!((tracker.complete_events(), tracker.open_bytes()), (0, 0));
}

#[test]
fn a_stream_without_framing_is_complete_only_after_an_event() {
    for framing in [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::Connection] {
        let is_framed = framing != BodyFraming::Connection;
        assert_eq!(track(b"", 1).is_complete(framing), is_framed);
        assert!(track(b"data: a\n\n", 1).is_complete(framing));
        assert!(!track(b"data: a\n\nid: 2", 1).is_complete(framing));
    }
}

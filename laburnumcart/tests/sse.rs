//! Event streams cut into whole events.

use laburnumcart::sse;
use rstest::rstest;

fn split(parts: &[&[u8]]) -> Vec<sse::Event> {
    let mut splitter = sse::Splitter::default();
    let pushed = parts.iter().map(|part| splitter.push(part).unwrap());
    pushed.flatten().collect()
}

#[rstest]
#[case(&[b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n" as &[u8]])]
#[case(&[b"id: 1\ndata: a\n" as &[u8], b"\nid: 2\ndata: b\n\n"])]
#[case(&[b"id: 1\nda" as &[u8], b"ta: a\n\nid: 2\n", b"data: b\n\n"])]
fn events_are_whole_wherever_the_bytes_are_cut(#[case] parts: &[&[u8]]) {
    let events = split(parts);
    let ids: Vec<_> = events.iter().map(|e| e.id).collect();
    assert_eq!(ids, [Some(1), Some(2)]);
    assert_eq!(events[1].bytes, b"id: 2\ndata: b\n\n");
}

#[test]
fn every_cut_gives_the_same_bytes() {
    let whole = b"version: 3\nid: 7\ndata: x\n\nid: 8\r\ndata: y\r\n\r\n: comment\n\n";
    for cut in 0..whole.len() {
        let events = split(&[&whole[..cut], &whole[cut..]]);
        let joined: Vec<u8> = events.iter().flat_map(|e| e.bytes.clone()).collect();
        assert_eq!(joined, whole, "cut at {cut}");
        assert_eq!(events.len(), 3);
    }
}

// A target stops in the middle of an event. The part must not be passed on, or the caller would
// get the event's beginning twice when the stream is resumed.
#[test]
fn a_part_of_an_event_is_kept_back() {
    let mut splitter = sse::Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: a\n").unwrap().is_empty());
    assert!(!splitter.is_empty());
}

// A target sends bytes without an end of an event. The process must not collect them for ever.
#[test]
fn an_endless_event_is_refused() {
    let mut splitter = sse::Splitter::default();
    let chunk = [b'x'; 1 << 16];
    let refused = (0..64).any(|_| splitter.push(&chunk).is_err());
    assert!(refused);
}

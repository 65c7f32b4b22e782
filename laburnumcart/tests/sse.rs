//! Splitting of event streams into complete events.

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
fn events_are_whole_for_any_chunking(#[case] parts: &[&[u8]]) {
    let events = split(parts);
    let ids: Vec<_> = events.iter().map(|e| e.id).collect();
    assert_eq!(ids, [Some(1), Some(2)]);
    assert_eq!(events[1].bytes, b"id: 2\ndata: b\n\n");
}

#[test]
fn events_preserve_the_bytes_for_any_chunking() {
    let whole = b"version: 3\nid: 7\ndata: x\n\nid: 8\r\ndata: y\r\n\r\n: comment\n\n";
    for cut in 0..whole.len() {
        let events = split(&[&whole[..cut], &whole[cut..]]);
        let joined: Vec<u8> = events.iter().flat_map(|e| e.bytes.clone()).collect();
        assert_eq!(joined, whole, "cut at {cut}");
        assert_eq!(events.len(), 3);
    }
}

/// If part of an event were forwarded, the caller would get it twice once the stream is resumed.
#[test]
fn incomplete_event_is_held_back() {
    let mut splitter = sse::Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: a\n").unwrap().is_empty());
    assert!(!splitter.is_empty());
}

/// A target that never ends an event must not fill the memory of the process.
#[test]
fn endless_event_is_rejected() {
    let mut splitter = sse::Splitter::default();
    let chunk = [b'x'; 1 << 16];
    let refused = (0..64).any(|_| splitter.push(&chunk).is_err());
    assert!(refused);
}

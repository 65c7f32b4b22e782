//! Segments of the journal of origins.

use std::time;

use laburnumcart::{
    freshness::BootTime,
    id,
    origin::journal::{
        Entry,
        Journal,
        Source, //
    },
};

fn at(ms: u64) -> BootTime {
    BootTime(time::Duration::from_secs(1000) + time::Duration::from_millis(ms))
}

fn entry(stream: u64) -> Entry {
    Entry {
        stream: id::Fingerprint(stream.into()),
        service: "desk".parse().unwrap(),
        version: "v1".parse().unwrap(),
        begun_ms: 1,
    }
}

// Streams that begin while a write is not answered wait for its answer.
#[test]
fn streams_behind_a_late_write_go_to_another_segment() {
    let mut journal = Journal::default();
    journal.append(entry(1), Source::Own, at(0));
    let first = journal.start_write(at(0)).unwrap();
    journal.append(entry(2), Source::Own, at(10));
    assert!(journal.start_write(at(10)).is_none());
    assert!(!journal.is_late(at(10)));
    journal.append(entry(3), Source::Own, at(60));
    assert!(journal.is_late(at(60)));
    let second = journal.start_write(at(60)).unwrap();
    assert_ne!(second.number, first.number);
    assert_eq!(second.entries, [entry(3)]);
    journal.finish_write(first.number, first.entries.len());
    let again = journal.start_write(at(70)).unwrap();
    assert_eq!(again.entries, [entry(1), entry(2)]);
}

// A process that was asked to write a stream asks others, and they ask it again.
#[test]
fn a_stream_is_sent_on_once_and_not_by_a_peer() {
    let mut journal = Journal::default();
    journal.append(entry(1), Source::Own, at(0));
    journal.append(entry(2), Source::Peer, at(0));
    journal.append(entry(1), Source::Own, at(0));
    assert_eq!(journal.take_uncopied(at(0)), [entry(1)]);
    assert!(journal.take_uncopied(at(0)).is_empty());
    let write = journal.start_write(at(0)).unwrap();
    assert_eq!(write.entries, [entry(1), entry(2)]);
    journal.finish_write(write.number, 0);
    assert!(journal.is_unwritten(at(0)));
}

// A journal that is never written grows without bound, or the number of its objects does.
#[test]
fn segments_of_a_long_outage_are_used_again() {
    let mut journal = Journal::default();
    let mut numbers = 0;
    for second in 0..600 {
        journal.append(entry(second), Source::Own, at(second * 1000));
        let write = journal.start_write(at(second * 1000)).unwrap();
        journal.finish_write(write.number, 0);
        numbers = numbers.max(write.number);
    }
    assert!(numbers <= 32, "{numbers}");
    let end = at(600_000 + 61_000);
    assert!(!journal.is_unwritten(end));
    let left = std::iter::from_fn(|| journal.take_expired(end)).count();
    assert!(left <= 33, "{left}");
}

// A segment of the process before is overwritten while its streams are in flight.
#[test]
fn a_restored_segment_is_kept_until_its_streams_have_ended() {
    let mut journal = Journal::default();
    journal.restore(0, at(0));
    journal.append(entry(1), Source::Own, at(59_000));
    let write = journal.start_write(at(59_000)).unwrap();
    assert_eq!(write.number, 1);
    journal.finish_write(1, 1);
    assert_eq!(journal.take_expired(at(59_000)), None);
    journal.append(entry(2), Source::Own, at(62_000));
    assert_eq!(journal.start_write(at(62_000)).unwrap().number, 0);
}

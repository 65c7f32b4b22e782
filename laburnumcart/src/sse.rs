//! Splitter of an event stream, so that a stream can be resumed after its last whole event.

use std::mem;

use derive_more::{
    Display,
    Error, //
};

/// Longest event in bytes.
const EVENT_MAX: usize = 1 << 20;

/// A stream that breaks the format.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("malformed event stream")]
pub struct Malformed;

/// One whole event with its closing empty line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number in the `id` field.
    pub id: Option<u64>,
    /// Bytes as they came.
    pub bytes: Vec<u8>,
}

/// Cuts the bytes of a stream into whole events.
///
/// A target can stop in the middle of an event. Part of an event that had been forwarded could not
/// be taken back, and the resumed stream would send that event twice.
///
/// ```
/// use laburnumcart::sse;
///
/// let mut splitter = sse::Splitter::default();
/// assert!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap().len() == 1);
/// assert!(!splitter.is_empty());
/// assert_eq!(splitter.push(b"ta: b\n\n").unwrap()[0].id, Some(2));
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Bytes of the buffer that hold no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Takes the next bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, Malformed> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_event_end() {
            let rest = self.buffer.split_off(end);
            let bytes = mem::replace(&mut self.buffer, rest);
            self.scanned = 0;
            events.push(Event {
                id: event_id(&bytes),
                bytes,
            });
        }
        match self.buffer.len() > EVENT_MAX {
            true => Err(Malformed),
            false => Ok(events),
        }
    }

    /// Reports whether no part of an event is left over.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns where the first event ends.
    fn find_event_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        for i in start..self.buffer.len() {
            let rest = &self.buffer[i..];
            if rest.starts_with(b"\n\n") {
                return Some(i + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(i + 3);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

/// Reads the `id` field of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|b| *b == b'\n')
        .find_map(|l| l.strip_prefix(b"id:"))?;
    str::from_utf8(line).ok()?.trim().parse().ok()
}

//! Splitter of server-sent event streams into whole events.

use std::mem;

use derive_more::{
    Display,
    Error, //
};

/// Largest size of an event in bytes.
const EVENT_MAX: usize = 1 << 20;

/// Error for a stream with an event that is too large.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("malformed event stream")]
pub struct Malformed;

/// One whole event, including the empty line at its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number in the `id` field.
    pub id: Option<u64>,
    /// Bytes as received.
    pub bytes: Vec<u8>,
}

/// Splits the bytes of a stream into whole events.
///
/// A target can stop in the middle of an event. If a part of that event had been forwarded, the
/// resumed stream would send its beginning twice.
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
    /// Bytes of the buffer that were scanned without finding the end of an event.
    scanned: usize,
}

impl Splitter {
    /// Appends bytes and returns the events that they complete.
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

    /// Reports whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the length of the first event, `None` if it is incomplete.
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

/// Returns the number in the `id` field of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|b| *b == b'\n')
        .find_map(|l| l.strip_prefix(b"id:"))?;
    str::from_utf8(line).ok()?.trim().parse().ok()
}

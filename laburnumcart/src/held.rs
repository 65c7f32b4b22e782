//! Bytes that a process holds for its callers: who gets room for more, and the choice of the
//! connection to close when there is none.
//!
//! Room is granted before it is filled. Without room a body is refused and an answer waits in its
//! target, so that a request which a target may be running is never given up for its bytes.

use std::collections;

use tokio::time::Instant;

/// Size in bytes up to which a body or an answer is small.
pub const SMALL_MAX: usize = 64 << 10;

/// Parts of the total by which room is divided.
const PARTS: usize = 48;

/// Parts that large bodies and answers may fill; the rest is for others, which they must not shut
/// out.
const LARGE_PARTS: usize = 32;

/// Parts that the beginnings of answers of unknown size may fill as well.
const UNSIZED_PARTS: usize = 37;

/// Parts that small ones and the oldest large answer may fill; the rest is for what needs no room.
const ALL_PARTS: usize = 46;

/// A large answer that is being read.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReadingId(u64);

/// An answer that is being read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It is known to be small.
    Small,
    /// Its size is not known, and a small part of it was read.
    Unsized,
    /// It is large.
    Large(ReadingId),
}

/// Connection of a caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    bytes: usize,
    /// Whether the process waits for the caller to read or to send.
    is_stalled: bool,
    /// When the caller last read or sent something.
    progress: Instant,
}

/// Bytes held for each connection and in total.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::held;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut ledger = held::Ledger::new(1000);
/// let (slow, sound) = (ledger.open(now), ledger.open(now));
/// assert!(ledger.try_hold(slow, 600));
/// assert!(!ledger.try_hold(sound, 600));
/// ledger.record_stall(slow);
/// assert_eq!(ledger.evict_stalled(now + Duration::from_secs(1)), Some(slow));
/// assert!(ledger.try_hold(sound, 600));
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    limit: usize,
    total: usize,
    /// Bytes that belong to no connection of a caller.
    shared: usize,
    next: u64,
    entries: collections::BTreeMap<ConnectionId, Entry>,
    /// Large answers that are being read, the oldest first.
    readings: collections::BTreeSet<ReadingId>,
}

impl Ledger {
    /// Creates a ledger without connections, with the most bytes in total.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            shared: 0,
            next: 0,
            entries: collections::BTreeMap::new(),
            readings: collections::BTreeSet::new(),
        }
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Instant) -> ConnectionId {
        let id = ConnectionId(self.next);
        self.next += 1;
        let entry = Entry {
            bytes: 0,
            is_stalled: false,
            progress: now,
        };
        self.entries.insert(id, entry);
        id
    }

    /// Removes a connection with its bytes.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.total -= entry.bytes;
        }
    }

    /// Reports whether `bytes` more fit into some parts of the total.
    fn has_room(&self, bytes: usize, parts: usize) -> bool {
        self.total + bytes <= self.limit / PARTS * parts
    }

    /// Adds bytes of a request's body, if there is room; returns whether there was.
    ///
    /// The first bytes always fit in, so that no size is excluded.
    pub fn try_hold(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let parts = match self.of(id) + bytes > SMALL_MAX {
            true => LARGE_PARTS,
            false => ALL_PARTS,
        };
        let has_room = self.total == 0 || self.has_room(bytes, parts);
        if has_room {
            self.hold(id, bytes);
        }
        has_room
    }

    /// Begins to read a large answer.
    pub fn begin_reading(&mut self) -> ReadingId {
        let id = ReadingId(self.next);
        self.next += 1;
        self.readings.insert(id);
        id
    }

    /// Ends the reading of a large answer.
    pub fn end_reading(&mut self, id: ReadingId) {
        self.readings.remove(&id);
    }

    /// Adds the next bytes of an answer, if there is room; returns whether there was.
    ///
    /// The oldest large answer has room of its own, or answers that are read in part could keep the
    /// room from one another for good.
    pub fn try_hold_shared(&mut self, answer: Answer, bytes: usize) -> bool {
        let parts = match answer {
            Answer::Large(id) if self.readings.first() == Some(&id) => ALL_PARTS,
            Answer::Large(_) => LARGE_PARTS,
            Answer::Unsized => UNSIZED_PARTS,
            Answer::Small => ALL_PARTS,
        };
        let has_room = self.has_room(bytes, parts);
        if has_room {
            self.hold_shared(bytes);
        }
        has_room
    }

    /// Adds bytes that are held for a connection.
    pub fn hold(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes += bytes;
            self.total += bytes;
        }
    }

    /// Removes bytes of a connection, at most those that it has.
    pub fn free(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let bytes = bytes.min(entry.bytes);
            entry.bytes -= bytes;
            self.total -= bytes;
        }
    }

    /// Adds bytes that belong to no connection, such as a response that is still being read.
    pub fn hold_shared(&mut self, bytes: usize) {
        self.shared += bytes;
        self.total += bytes;
    }

    /// Removes such bytes, at most those that there are.
    pub fn free_shared(&mut self, bytes: usize) {
        let bytes = bytes.min(self.shared);
        self.shared -= bytes;
        self.total -= bytes;
    }

    /// Records that a caller has read or sent something.
    pub fn record_progress(&mut self, id: ConnectionId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.progress = now;
            entry.is_stalled = false;
        }
    }

    /// Records that the process waits for a caller to read or to send.
    pub fn record_stall(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_stalled = true;
        }
    }

    /// Removes and returns the connection to close if there are too many bytes in total.
    pub fn evict(&mut self, before: Instant) -> Option<ConnectionId> {
        match self.total > self.limit {
            true => self.evict_stalled(before),
            false => None,
        }
    }

    /// Removes and returns the connection to close if there are too many of them.
    ///
    /// It is the one that has gone longest without progress, of those that hold bytes and whose
    /// callers have taken or sent nothing since `before`. Those that wait for a target are not slow
    /// themselves, and their requests may be running.
    pub fn evict_stalled(&mut self, before: Instant) -> Option<ConnectionId> {
        self.evict_above(0, before)
    }

    /// Like [`Ledger::evict_stalled`], for what waits for room: those that hold little would give
    /// none.
    pub fn evict_large(&mut self, before: Instant) -> Option<ConnectionId> {
        self.evict_above(SMALL_MAX, before)
    }

    /// Closes a stalled connection that holds more than `least` bytes.
    fn evict_above(&mut self, least: usize, before: Instant) -> Option<ConnectionId> {
        let is_stalled = |entry: &Entry| entry.is_stalled && entry.bytes > least;
        let stalled = self.entries.iter().filter(|(_, entry)| is_stalled(entry));
        let oldest = stalled.min_by_key(|(_, entry)| entry.progress);
        let id = *oldest.filter(|(_, entry)| entry.progress < before)?.0;
        self.close(id);
        Some(id)
    }

    /// Returns the bytes held in total.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns the bytes held for a connection.
    pub fn of(&self, id: ConnectionId) -> usize {
        self.entries.get(&id).map_or(0, |entry| entry.bytes)
    }
}

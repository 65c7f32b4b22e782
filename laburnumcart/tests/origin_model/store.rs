//! Store of the model, whose writes may be refused, late or unanswered.

use std::collections;

use laburnumcart::{
    id,
    origin::{
        journal::Entry,
        usage::Usage, //
    },
};

/// Object of one gateway.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Key {
    Usage(usize),
    Segment(usize, u32),
}

#[derive(Clone, Debug)]
pub(crate) enum Value {
    Usage(Usage),
    Segment(Vec<Entry>),
}

/// What becomes of a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Done,
    Refused,
    /// It is done, and its writer takes it for refused.
    Unanswered,
    /// It is done at this time, and its writer takes it for refused.
    Late(u64),
}

struct Late {
    at: u64,
    key: Key,
    expect: Option<u64>,
    value: Value,
}

#[derive(Default)]
pub(crate) struct Store {
    objects: collections::BTreeMap<Key, (u64, Value)>,
    late: Vec<Late>,
    last: u64,
    /// Process that the entry of each gateway names.
    pub(crate) entries: collections::BTreeMap<usize, id::Incarnation>,
    /// Processes that any entry has named.
    pub(crate) entered: collections::BTreeSet<id::Incarnation>,
    /// Notes that were ever stored, by the process that wrote them.
    pub(crate) stored: collections::BTreeMap<id::Incarnation, Usage>,
}

impl Store {
    /// Writes an object of version `expect`; returns its new version if the writer learns it.
    pub(crate) fn put(
        &mut self,
        key: Key,
        expect: Option<u64>,
        value: Value,
        fate: Fate,
    ) -> Option<u64> {
        match fate {
            Fate::Done => self.apply(key, expect, value),
            Fate::Refused => None,
            Fate::Unanswered => {
                self.apply(key, expect, value);
                None
            }
            Fate::Late(at) => {
                self.late.push(Late {
                    at,
                    key,
                    expect,
                    value,
                });
                None
            }
        }
    }

    /// Does the writes that are due.
    pub(crate) fn settle(&mut self, now: u64) {
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late: &Late| late.at <= now);
        self.late = late;
        for late in due {
            self.apply(late.key, late.expect, late.value);
        }
    }

    pub(crate) fn version(&self, key: Key) -> Option<u64> {
        self.objects.get(&key).map(|(version, _)| *version)
    }

    pub(crate) fn usage(&self, gateway: usize) -> Option<&Usage> {
        match self.objects.get(&Key::Usage(gateway)) {
            Some((_, Value::Usage(usage))) => Some(usage),
            _ => None,
        }
    }

    /// Returns gateway, number and entries of all segments.
    pub(crate) fn segments(&self) -> impl Iterator<Item = (usize, u32, &[Entry])> {
        self.objects
            .iter()
            .filter_map(|(key, (_, value))| match (key, value) {
                (Key::Segment(gateway, number), Value::Segment(entries)) => {
                    Some((*gateway, *number, entries.as_slice()))
                }
                _ => None,
            })
    }

    fn apply(&mut self, key: Key, expect: Option<u64>, value: Value) -> Option<u64> {
        if self.version(key) != expect {
            return None;
        }
        if let Value::Usage(usage) = &value {
            self.stored.insert(usage.incarnation, usage.clone());
        }
        self.last += 1;
        self.objects.insert(key, (self.last, value));
        Some(self.last)
    }
}

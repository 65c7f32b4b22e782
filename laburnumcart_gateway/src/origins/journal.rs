//! Journal of the origins of streams in the store ([`laburnumcart::origin::journal`]).

use std::{
    collections,
    pin,
    sync::Arc,
    time, //
};

use futures_util::{
    StreamExt,
    stream, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use laburnumcart::{
    event,
    origin::journal, //
};
use laburnumcart_platform::store;

use crate::{
    clock,
    dialect,
    origins::Origins, //
};

/// Shortest interval between two writes.
///
/// What began within it is lost if all processes are killed, and most streams last for some hundred
/// milliseconds only.
const INTERVAL_MIN: time::Duration = time::Duration::from_millis(50);

/// Share of the store's writes that all journals may use together.
const WRITE_SHARE: f64 = 0.25;

/// Interval at which streams are looked for that began before their service had several versions.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Interval between removals of objects, which are in no hurry.
const REMOVAL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Interval at which streams are looked after that are not written yet.
const TICK: time::Duration = time::Duration::from_millis(20);

/// Number of calls at the same time, so that one that is not answered holds up no other.
const CALLS_MAX: usize = 2;

/// Pause after the first failure; it doubles with each further one.
const PAUSE_FIRST: time::Duration = time::Duration::from_millis(100);

/// Longest pause after a failure.
const PAUSE_MAX: time::Duration = time::Duration::from_millis(1600);

/// Value of an object of the journal.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    entries: Vec<journal::Entry>,
}

/// Reads the journals of earlier processes, and writes the one of this process until it ends.
pub async fn run<S: store::Store>(
    origins: Arc<Origins>,
    store: S,
    layout: Arc<dyn dialect::StoreLayout>,
    store_writes: f64,
) {
    let writer = Writer {
        origins,
        store,
        layout,
        max_rate: store_writes * WRITE_SHARE,
    };
    writer.run().await;
}

struct Writer<S> {
    origins: Arc<Origins>,
    store: S,
    layout: Arc<dyn dialect::StoreLayout>,
    /// Writes a second of all journals together.
    max_rate: f64,
}

/// Series of calls that failed.
#[derive(Debug)]
struct Outage {
    since: time::Instant,
    failures: u32,
}

impl Outage {
    /// Counts a failure, and returns the pause before the next call.
    fn record(outage: &mut Option<Self>) -> time::Duration {
        let outage = outage.get_or_insert_with(|| Self {
            since: time::Instant::now(),
            failures: 0,
        });
        let full = PAUSE_FIRST * (1 << outage.failures.min(8));
        outage.failures = outage.failures.saturating_add(1);
        full.min(PAUSE_MAX)
            .mul_f64(0.5 + rand::random::<f64>() / 2.0)
    }

    /// Logs the end of an outage.
    fn end(outage: &mut Option<Self>) {
        if let Some(outage) = outage.take() {
            event!(
                Info,
                "origin-journal-resumed",
                failures = outage.failures,
                ms = outage.since.elapsed().as_millis()
            );
        }
    }
}

/// What is known of the object of a segment.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Version; `None` if there is no object.
    version: Option<store::Version>,
    /// Whether a write without an answer may have changed it.
    is_doubtful: bool,
}

/// A call that has ended.
struct Done {
    number: u32,
    known: Known,
    /// Number of entries that the call was to write; `None` if it was to remove the object.
    count: Option<usize>,
    result: Result<(), store::Failure>,
}

/// Segments of this process and the versions of their objects.
#[derive(Default)]
struct State {
    journal: journal::Journal,
    known: collections::HashMap<u32, Known>,
    outage: Option<Outage>,
    /// Earliest time of the next write.
    next: Option<tokio::time::Instant>,
    /// Earliest time of the next removal.
    next_removal: Option<tokio::time::Instant>,
}

impl State {
    fn append(&mut self, taken: Vec<(journal::Entry, journal::Source)>) {
        let now = clock::now();
        for (entry, source) in taken {
            self.journal.append(entry, source, now);
        }
    }
}

impl<S: store::Store> Writer<S> {
    async fn run(self) {
        let mut state = self.start().await;
        let mut calls = stream::FuturesUnordered::new();
        loop {
            let pause = match state.journal.is_unwritten(clock::now()) {
                true => TICK,
                false => CHECK_INTERVAL,
            };
            tokio::select! {
                Some(done) = calls.next() => self.record(done, &mut state),
                () = self.origins.journal_due.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
            state.append(self.origins.take_unjournaled());
            let now = clock::now();
            if state.outage.is_some() || state.journal.is_late(now) {
                self.origins.copy(state.journal.take_uncopied(now));
            }
            let time = tokio::time::Instant::now();
            let is_due = |next: Option<tokio::time::Instant>| next.is_none_or(|at| time >= at);
            if calls.len() >= CALLS_MAX || !is_due(state.next) {
                continue;
            }
            if let Some(write) = state.journal.start_write(now) {
                let known = state.known.get(&write.number).copied();
                calls.push(self.call(write.number, known, Some(write.entries)));
                state.next = Some(time + self.interval());
            } else if is_due(state.next_removal)
                && let Some(number) = state.journal.take_expired(now)
                && let Some(known) = state.known.remove(&number)
            {
                calls.push(self.call(number, Some(known), None));
                state.next_removal = Some(time + REMOVAL_INTERVAL);
            }
        }
    }

    /// Reads all journals; streams that begin meanwhile are written by others.
    async fn start(&self) -> State {
        let mut read = pin::pin!(self.read());
        let mut held = Vec::new();
        let mut state = loop {
            tokio::select! {
                state = &mut read => break state,
                () = tokio::time::sleep(INTERVAL_MIN) => {}
            }
            let taken = self.origins.take_unjournaled();
            let own = taken.iter().filter(|(_, s)| *s == journal::Source::Own);
            self.origins.copy(own.map(|(e, _)| e.clone()).collect());
            // Others were asked to write them.
            let taken = taken.into_iter();
            held.extend(taken.map(|(e, _)| (e, journal::Source::Peer)));
            let now_ms = clock::unix_ms();
            held.retain(|(e, _)| !e.is_expired(now_ms));
        };
        state.append(held);
        state
    }

    /// Returns the interval between two writes, which grows with the number of processes.
    fn interval(&self) -> time::Duration {
        let members = self.origins.view.members.load().len();
        INTERVAL_MIN.max(time::Duration::from_secs_f64(
            members as f64 / self.max_rate,
        ))
    }

    /// Reads all journals, and returns the segments of earlier processes of the same name.
    async fn read(&self) -> State {
        let prefix = self.layout.origins_prefix();
        let mut outage = None;
        let listing = loop {
            match self.store.list(prefix).await {
                Ok(listing) => break listing,
                Err(error) => {
                    if outage.is_none() {
                        event!(Warn, "origin-journal-unread", error = error);
                    }
                    tokio::time::sleep(Outage::record(&mut outage)).await;
                }
            }
        };
        Outage::end(&mut outage);
        let mut state = State::default();
        let (mut count, now_ms) = (0, clock::unix_ms());
        for object in &listing.objects {
            if let Some(number) = self.own_number(&object.key) {
                let known = Known {
                    version: Some(object.version),
                    is_doubtful: false,
                };
                state.known.insert(number, known);
                state.journal.restore(number, clock::now());
            }
            match serde_json::from_str::<Stored>(&object.value) {
                Ok(stored) => {
                    count += stored.entries.len();
                    let entries = stored.entries.into_iter();
                    self.origins.keep(entries.map(|e| e.into_begun(now_ms)));
                }
                Err(error) => event!(
                    Warn,
                    "origin-journal-refused",
                    key = object.key,
                    error = error
                ),
            }
        }
        if count > 0 {
            let segments = listing.objects.len();
            event!(
                Info,
                "origin-journal-read",
                segments = segments,
                streams = count
            );
        }
        state
    }

    /// Writes entries to the object of a segment, or removes it.
    async fn call(
        &self,
        number: u32,
        known: Option<Known>,
        entries: Option<Vec<journal::Entry>>,
    ) -> Done {
        let mut known = known.unwrap_or_default();
        let count = entries.as_ref().map(Vec::len);
        let result = self.change(number, &mut known, entries).await;
        Done {
            number,
            known,
            count,
            result,
        }
    }

    async fn change(
        &self,
        number: u32,
        known: &mut Known,
        entries: Option<Vec<journal::Entry>>,
    ) -> Result<(), store::Failure> {
        let key = self.key(number);
        if known.is_doubtful {
            let found = self.store.get(&key).await?;
            known.version = found.map(|object| object.version);
        }
        let result = match (entries, known.version) {
            (Some(entries), version) => {
                let value = serde_json::to_string(&Stored { entries });
                let value = value.expect("a journal is valid JSON");
                let expect = version.map_or(store::Expect::Absent, store::Expect::Version);
                self.store.put(&key, expect, &value).await.map(Some)
            }
            (None, Some(version)) => self.store.delete(&key, version).await.map(|()| None),
            (None, None) => Ok(None),
        };
        match result {
            Ok(version) => {
                *known = Known {
                    version,
                    is_doubtful: false,
                };
                Ok(())
            }
            Err(error) => {
                // A call that was refused has changed nothing.
                known.is_doubtful |= !matches!(error, store::Failure::Unavailable { .. });
                Err(error)
            }
        }
    }

    /// Records the end of a call.
    fn record(&self, done: Done, state: &mut State) {
        let count = match &done.result {
            Ok(()) => {
                Outage::end(&mut state.outage);
                done.count.unwrap_or_default()
            }
            Err(error) => {
                if state.outage.is_none() {
                    let key = self.key(done.number);
                    event!(Warn, "origin-journal-unwritten", key = key, error = error);
                }
                let pause = Outage::record(&mut state.outage);
                state.next = Some(tokio::time::Instant::now() + pause.max(self.interval()));
                0
            }
        };
        if done.count.is_some() {
            state.journal.finish_write(done.number, count);
        } else if done.result.is_err() {
            // It is removed later.
            state.journal.restore(done.number, clock::now());
        }
        if done.known.version.is_some() || done.known.is_doubtful {
            state.known.insert(done.number, done.known);
        }
        if count > 0 {
            self.origins.metrics.journal_writes.inc();
        }
    }

    fn key(&self, number: u32) -> String {
        let prefix = self.layout.origins_prefix();
        format!("{prefix}/{}.{number}", self.origins.own)
    }

    /// Returns the number of a segment of a process with this name.
    fn own_number(&self, key: &str) -> Option<u32> {
        let (_, name) = key.rsplit_once('/')?;
        let (instance, number) = name.rsplit_once('.')?;
        let number = number.parse().ok()?;
        (instance == self.origins.own.as_str()).then_some(number)
    }
}

//! One read of a topic: the sources that are asked, in which order, and how long each has.
//!
//! A source that is late is not given up: the next one is asked beside it, and the first answer
//! counts. So failures of several sources do not add up their timeouts. A source whose answer is
//! arriving is not late, however large the answer is: another large one would share its link. Only
//! readers are asked beside it, as their answers are small.

use std::{
    sync::Arc,
    time, //
};

use futures_util::{
    FutureExt,
    StreamExt,
    future,
    stream, //
};
use tokio::time::Instant;

use laburnumcart::freshness;
use laburnumcart_platform::store;

use crate::{
    relay::{
        Peers,
        fetch::{
            Data,
            Outcome,
            Shared, //
        },
        flights::{
            Flight,
            Query,
            Started, //
        },
        steps::{
            self,
            Source, //
        },
    },
    view,
};

/// Time after the wait of a call for which a slow store is waited for if there are few peers.
///
/// Where others are asked, their time is enough for a slow store.
const STORE_TIME_MAX: time::Duration = time::Duration::from_millis(900);

/// Pause before a reader is asked while a large answer of another source arrives.
const BESIDE_PAUSE: time::Duration = time::Duration::from_millis(150);

type Call = future::BoxFuture<'static, (Flight, Outcome)>;

/// A read in progress.
pub(super) struct Reading<'a, S, P> {
    shared: &'a Arc<Shared<S, P>>,
    query: Query,
    start: Instant,
    began: freshness::BootTime,
    steps: steps::Steps,
    /// Readers in the order in which they are asked beside an arriving answer.
    readers: Vec<view::Member>,
    started: Started,
    calls: stream::FuturesUnordered<Call>,
    pending: Vec<Flight>,
    /// Calls of sources that have had their time.
    late: Vec<Flight>,
    /// When the next step is due.
    due: Instant,
    /// Whether a source is known to have changes.
    has_news: bool,
}

impl<'a, S: store::Store, P: Peers> Reading<'a, S, P> {
    /// Creates a read, which goes on with the answers that are arriving.
    pub(super) fn new(shared: &'a Arc<Shared<S, P>>, query: Query) -> Self {
        let candidates = shared.candidates();
        let readers = candidates.readers.clone();
        let read_at = shared.cache.read_at(query.topic);
        let listing = query.after.is_none();
        let pending = shared.flights.arriving(query.topic, listing, read_at);
        let calls = pending.iter().map(|flight| flight.clone().end().boxed());
        Self {
            shared,
            query,
            start: Instant::now(),
            began: shared.cache.clock.now(),
            steps: shared.steps(query.topic, candidates),
            readers,
            started: Started::default(),
            calls: calls.collect(),
            pending,
            late: Vec::new(),
            due: Instant::now(),
            has_news: false,
        }
    }

    /// Asks one source after the other until one answers.
    pub(super) async fn run(mut self) -> Result<Data, store::Failure> {
        loop {
            tokio::select! {
                biased;
                Some((flight, outcome)) = self.calls.next() => {
                    if let Some(result) = self.end_call(&flight, outcome) {
                        return result;
                    }
                }
                () = tokio::time::sleep_until(self.due) => {
                    if !self.begin_step() {
                        self.leave();
                        return Err(store::Failure::Unavailable { retry: None });
                    }
                }
            }
        }
    }

    /// Applies the outcome of a call; returns the result of the read if that ends it.
    fn end_call(
        &mut self,
        flight: &Flight,
        outcome: Outcome,
    ) -> Option<Result<Data, store::Failure>> {
        self.pending.retain(|other| other.source != flight.source);
        self.late.retain(|other| other.source != flight.source);
        self.shared.flights.forget(self.query.topic, flight);
        match outcome {
            Outcome::Data(mut data) => {
                self.leave();
                data.add_age(self.began.since(flight.started));
                return Some(Ok(data));
            }
            Outcome::Compacted => return Some(Err(store::Failure::Compacted)),
            Outcome::ReadStore(member) => {
                let is_failing = self.shared.health().is_failing();
                self.steps.ask_large(member, is_failing);
                self.has_news = true;
                self.due = Instant::now();
            }
            Outcome::Nothing if self.pending.is_empty() => self.due = Instant::now(),
            Outcome::Nothing => {}
        }
        None
    }

    /// Asks the next sources, unless an answer is arriving; returns whether any call is left.
    fn begin_step(&mut self) -> bool {
        let now = Instant::now();
        let asked = self.pending.iter().chain(&self.late);
        if let Some(end) = asked.filter_map(Flight::quiet_end).max()
            && end > now
        {
            self.ask_beside();
            self.due = end.min(now + BESIDE_PAUSE);
            return true;
        }
        let is_store = |flight: &Flight| flight.source == Source::Store;
        let is_late = !self.pending.is_empty() || !self.late.is_empty();
        if self.pending.iter().any(is_store) {
            self.shared.cache.set_relayed(self.query.topic, true);
            self.steps.repeat_store();
        }
        self.late.append(&mut self.pending);
        let Some(step) = self.steps.next() else {
            let end = self.start + self.query.wait + STORE_TIME_MAX;
            let can_wait = !self.steps.has_others() && self.late.iter().any(is_store);
            self.due = end;
            return can_wait && now < end;
        };
        let left = self.query.wait.saturating_sub(self.start.elapsed());
        let left = match is_late || self.has_news {
            true => time::Duration::ZERO,
            false => left,
        };
        self.due = now + step.patience(left, is_late, self.steps.is_empty());
        for source in step.sources {
            self.ask(source, left);
        }
        true
    }

    /// Asks a reader while a large answer of the store arrives, unless one is being asked.
    ///
    /// The reader may get the change sooner, and sends less.
    fn ask_beside(&mut self) {
        let is_peer = |flight: &Flight| matches!(flight.source, Source::Peer(_));
        if self.pending.iter().any(is_peer) || self.readers.is_empty() {
            return;
        }
        self.readers.rotate_left(1);
        let source = Source::Peer(self.readers[0].clone());
        let wait = self.shared.follow_wait(self.query.topic, Instant::now());
        self.ask(source, wait);
    }

    fn ask(&mut self, source: Source, wait: time::Duration) {
        let query = Query { wait, ..self.query };
        let (flight, is_new) = self.shared.start(source, query);
        if is_new {
            self.started.push(flight.clone());
        }
        self.pending.push(flight.clone());
        self.calls.push(flight.end().boxed());
    }

    /// Lets the calls in progress end by themselves.
    fn leave(&mut self) {
        self.started.leave();
        self.shared.record_late(self.query.topic, &self.late);
    }
}

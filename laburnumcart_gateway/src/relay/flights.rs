//! Calls of reads, which go on while their answers arrive.
//!
//! A large answer takes long on a slow link. A read that ends meanwhile, as another source says
//! that nothing has changed or as its follower begins anew, leaves the call running, and the next
//! read of the topic waits for it. Otherwise each read would ask again, the answers would share the
//! link, and none of them would arrive.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use futures_util::{
    FutureExt,
    future, //
};
use tokio::{
    task,
    time::Instant, //
};

use laburnumcart::freshness;
use laburnumcart_platform::{
    progress,
    store, //
};

use crate::{
    relay::{
        Topic,
        fetch::Outcome,
        steps::Source, //
    },
    view, //
};

/// Time without a byte after which an arriving answer is late.
const QUIET_MAX: time::Duration = time::Duration::from_millis(300);

/// Time for which an answer that no read waits for is kept.
const KEPT_TIME: time::Duration = time::Duration::from_secs(2);

/// What a call asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Query {
    pub(super) topic: Topic,
    /// Revision whose changes are asked for; `None` asks for all objects.
    pub(super) after: Option<store::Revision>,
    /// Time to wait for a change.
    pub(super) wait: time::Duration,
}

/// A call that has been made.
#[derive(Clone)]
pub(super) struct Flight {
    pub(super) source: Source,
    query: Query,
    pub(super) started: freshness::BootTime,
    began: Instant,
    progress: progress::Progress,
    outcome: future::Shared<future::BoxFuture<'static, Outcome>>,
    task: Arc<task::AbortHandle>,
}

impl Flight {
    /// Returns whether the answer has begun to arrive.
    pub(super) fn is_arriving(&self) -> bool {
        self.progress.last().is_some()
    }

    /// Returns when the answer is late unless more of it arrives.
    pub(super) fn quiet_end(&self) -> Option<Instant> {
        self.progress.last().map(|last| last + QUIET_MAX)
    }

    /// Returns whether the call answers another query, and is not late.
    fn can_serve(&self, source: &Source, query: &Query, now: Instant) -> bool {
        let is_same = self.source == *source && self.query.after == query.after;
        let quiet_end = self.quiet_end().unwrap_or(self.began + QUIET_MAX);
        let is_running = !self.task.is_finished() && now < quiet_end;
        is_same && is_running && self.query.wait <= query.wait
    }

    /// Waits for the end of the call.
    pub(super) async fn end(self) -> (Self, Outcome) {
        let outcome = self.outcome.clone().await;
        (self, outcome)
    }
}

/// Calls of a read, of which those without an answer end if the read is dropped.
#[derive(Default)]
pub(super) struct Started(Vec<Flight>);

impl Started {
    pub(super) fn push(&mut self, flight: Flight) {
        self.0.push(flight);
    }

    /// Lets the calls end by themselves, so that silent connections are noticed.
    pub(super) fn leave(&mut self) {
        self.0.clear();
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        for flight in self.0.iter().filter(|flight| !flight.is_arriving()) {
            flight.task.abort();
        }
    }
}

/// Calls of all topics.
#[derive(Default)]
pub(super) struct Flights(Mutex<collections::HashMap<Topic, Vec<Flight>>>);

impl Flights {
    /// Starts a call, or returns one that is in progress; also tells whether it is new.
    pub(super) fn start(
        &self,
        source: Source,
        query: Query,
        started: freshness::BootTime,
        call: impl FnOnce(progress::Progress) -> future::BoxFuture<'static, Outcome>,
    ) -> (Flight, bool) {
        let now = Instant::now();
        let mut topics = view::lock(&self.0);
        let flights = topics.entry(query.topic).or_default();
        if let Some(flight) = flights.iter().find(|f| f.can_serve(&source, &query, now)) {
            return (flight.clone(), false);
        }
        let progress = progress::Progress::default();
        let task = tokio::spawn(call(progress.clone()));
        let abort = task.abort_handle();
        // A call fails to be joined only if it was aborted.
        let outcome = task.map(|result| result.unwrap_or(Outcome::Nothing));
        let flight = Flight {
            source,
            query,
            started,
            began: now,
            progress,
            outcome: outcome.boxed().shared(),
            task: Arc::new(abort),
        };
        flights.retain(|flight| {
            let last = flight.progress.last();
            !flight.task.is_finished() || last.is_some_and(|last| now < last + KEPT_TIME)
        });
        flights.push(flight.clone());
        (flight, true)
    }

    /// Returns the calls of earlier reads whose answers are arriving, or have arrived unseen.
    ///
    /// A call that was sent before the present data was read brings nothing new. It ends, so that
    /// its bytes stop.
    pub(super) fn arriving(
        &self,
        topic: Topic,
        listing: bool,
        read_at: Option<freshness::BootTime>,
    ) -> Vec<Flight> {
        let mut topics = view::lock(&self.0);
        let Some(flights) = topics.get_mut(&topic) else {
            return Vec::new();
        };
        flights.retain(|flight| {
            let is_needed = read_at < Some(flight.started);
            if !is_needed && flight.is_arriving() {
                flight.task.abort();
            }
            is_needed
        });
        let is_same = |f: &&Flight| f.is_arriving() && f.query.after.is_none() == listing;
        flights.iter().filter(is_same).cloned().collect()
    }

    /// Forgets a call whose answer has been used.
    pub(super) fn forget(&self, topic: Topic, used: &Flight) {
        let mut topics = view::lock(&self.0);
        if let Some(flights) = topics.get_mut(&topic) {
            flights.retain(|flight| !Arc::ptr_eq(&flight.task, &used.task));
        }
    }
}

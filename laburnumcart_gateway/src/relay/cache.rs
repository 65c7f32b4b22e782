//! What this process knows of the store, for others that ask.

use std::{
    sync::Arc,
    time, //
};

use jsonrpsee::core::{
    RpcResult,
    async_trait, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use laburnumcart::{
    freshness,
    unit, //
};
use laburnumcart_platform::{
    follow,
    replica,
    store, //
};

use crate::{
    clock,
    relay::{
        Answer,
        FollowReply,
        FollowRequest,
        RelayServer,
        Topic,
        signals, //
    },
};

/// Longest wait that a question may ask for, so that a stranger's does not stay for ever.
const WAIT_MAX: time::Duration = time::Duration::from_secs(30);

/// Most bytes of values in an answer, unless any size is asked for.
///
/// A change goes to all that ask in one moment: 16 KiB to 40 processes take half a second on a link
/// of 10 Mbit/s, after which they would hold their reader to be gone.
const SMALL: usize = 16 << 10;

/// Age after which a read is news to those that wait for younger knowledge.
const REGAINED: time::Duration = time::Duration::from_millis(1600);

/// A topic as last read.
#[derive(Clone, Debug, Default)]
pub struct CachedTopic {
    replica: replica::Replica,
    /// The moment for which it holds; `None` before the first read.
    read: Option<freshness::Moment>,
}

impl CachedTopic {
    /// Takes in a read that holds for `read`; returns whether others have to know at once.
    pub fn update(
        &mut self,
        snapshot: &follow::Snapshot,
        read: freshness::Moment,
        now: freshness::Moment,
    ) -> bool {
        let regained = self.read.is_none_or(|last| now.since(last) > REGAINED);
        let changed = self.replica.apply(snapshot);
        self.read = self.read.max(Some(read));
        changed || regained
    }

    /// Returns the answer to a question that came at `arrived`, or `None` while it may wait.
    pub fn answer(
        &self,
        ask: &FollowRequest,
        arrived: freshness::Moment,
        now: freshness::Moment,
    ) -> Option<Answer> {
        let age = self.read.map(|read| now.since(read));
        let Some(age) = age.filter(|age| *age <= ask.max_age.0) else {
            return (!ask.wait_fresh).then_some(Answer::Stale);
        };
        // The asking process counts from when it asked, which was before the question came here.
        let age = unit::Period(age.saturating_sub(now.since(arrived)));
        match ask.after {
            None => self.listing(ask, age),
            Some(after) => self.changes(ask, after, age),
        }
    }

    fn listing(&self, ask: &FollowRequest, age: unit::Period) -> Option<Answer> {
        let listing = self.replica.listing()?;
        let size = listing.objects.iter().map(|o| o.value.len()).sum();
        if is_large(ask, size) {
            return Some(Answer::TooLarge);
        }
        Some(Answer::Listing(store::Listing { age, ..listing }))
    }

    fn changes(
        &self,
        ask: &FollowRequest,
        after: store::Revision,
        age: unit::Period,
    ) -> Option<Answer> {
        let Ok(changes) = self.replica.changes(after) else {
            return Some(Answer::Compacted);
        };
        if changes.events.is_empty() {
            return None;
        }
        let values = changes.events.iter().filter_map(|e| e.value.as_ref());
        if is_large(ask, values.map(String::len).sum()) {
            return Some(Answer::TooLarge);
        }
        Some(Answer::Changes(store::Changes { age, ..changes }))
    }

    /// Returns the answer to a question whose wait has ended.
    fn ended(
        &self,
        ask: &FollowRequest,
        arrived: freshness::Moment,
        now: freshness::Moment,
    ) -> Answer {
        let age = self.read.map(|read| now.since(read));
        match (age, ask.after) {
            (Some(age), Some(after)) if age <= ask.max_age.0 => Answer::Changes(store::Changes {
                revision: after.max(self.replica.revision()),
                age: unit::Period(age.saturating_sub(now.since(arrived))),
                events: Vec::new(),
            }),
            _ => Answer::Stale,
        }
    }

    /// Returns how long the copy stays within the limit of a question.
    fn lasts(&self, ask: &FollowRequest, now: freshness::Moment) -> time::Duration {
        let age = self.read.map_or(ask.max_age.0, |read| now.since(read));
        match ask.wait_fresh {
            true => time::Duration::MAX,
            false => ask.max_age.0.saturating_sub(age),
        }
    }
}

fn is_large(ask: &FollowRequest, size: usize) -> bool {
    !ask.allow_large && size > SMALL
}

/// The copies of all topics, and the signals of targets.
#[derive(Debug, Default)]
pub struct Cache {
    /// Limits that targets have named.
    pub signals: Arc<signals::Signals>,
    table: watch::Sender<CachedTopic>,
    targets: watch::Sender<CachedTopic>,
    members: watch::Sender<CachedTopic>,
    evacuations: watch::Sender<CachedTopic>,
}

impl Cache {
    /// Creates empty copies beside what is known of signals.
    pub fn new(signals: Arc<signals::Signals>) -> Self {
        Self {
            signals,
            ..Self::default()
        }
    }

    fn topic(&self, topic: Topic) -> &watch::Sender<CachedTopic> {
        match topic {
            Topic::Table => &self.table,
            Topic::Targets => &self.targets,
            Topic::Members => &self.members,
            Topic::Evacuations => &self.evacuations,
        }
    }

    /// Answers a question, at once if there is something to tell of the topic or of signals.
    pub async fn follow(&self, ask: &FollowRequest) -> FollowReply {
        let Some(known) = ask.signals else {
            let answer = self.wait_for_answer(ask).await;
            return FollowReply {
                answer,
                signals: None,
            };
        };
        let mut version = self.signals.subscribe();
        let answer = tokio::select! {
            answer = self.wait_for_answer(ask) => answer,
            // The sender lives as long as these signals.
            _ = version.wait_for(|version| version.all > known) => self.present(ask),
        };
        FollowReply {
            answer,
            signals: self.signals.updates_since(known),
        }
    }

    /// Answers a question without a wait.
    fn present(&self, ask: &FollowRequest) -> Answer {
        let now = clock::now();
        let copy = self.topic(ask.topic).borrow();
        let answer = copy.answer(ask, now, now);
        answer.unwrap_or_else(|| copy.ended(ask, now, now))
    }

    /// Answers a question, at once if there is something to tell.
    pub async fn wait_for_answer(&self, ask: &FollowRequest) -> Answer {
        let arrived = clock::now();
        let end = Instant::now() + ask.wait.0.min(WAIT_MAX);
        let mut copy = self.topic(ask.topic).subscribe();
        loop {
            let until = {
                let copy = copy.borrow_and_update();
                let now = clock::now();
                if let Some(answer) = copy.answer(ask, arrived, now) {
                    return answer;
                }
                if Instant::now() >= end {
                    return copy.ended(ask, arrived, now);
                }
                // Those that ask have to turn to others as soon as the copy is too old.
                Instant::now() + copy.lasts(ask, now).min(WAIT_MAX)
            };
            tokio::select! {
                // The sender lives as long as these copies.
                _ = copy.changed() => {}
                () = tokio::time::sleep_until(end.min(until)) => {}
            }
        }
    }
}

/// Passes on what an observer of a topic reads.
pub struct Publisher<O> {
    observer: O,
    topic: Topic,
    cache: Arc<Cache>,
    /// When the call in progress was sent.
    asked: freshness::Moment,
}

impl<O> Publisher<O> {
    /// Wraps the observer of a topic.
    pub fn new(observer: O, topic: Topic, cache: &Arc<Cache>) -> Self {
        Self {
            observer,
            topic,
            cache: cache.clone(),
            asked: freshness::Moment::default(),
        }
    }
}

impl<O: follow::Observer> follow::Observer for Publisher<O> {
    fn ask(&mut self) {
        self.asked = clock::now();
        self.observer.ask();
    }

    fn read(&mut self, snapshot: &follow::Snapshot, age: unit::Period) {
        self.observer.read(snapshot, age);
        let read = self.asked.before(age.0);
        let update = |copy: &mut CachedTopic| copy.update(snapshot, read, clock::now());
        self.cache.topic(self.topic).send_if_modified(update);
    }
}

/// Serves the copies to other processes.
pub struct RelayService(pub Arc<Cache>);

#[async_trait]
impl RelayServer for RelayService {
    async fn follow(&self, ask: FollowRequest) -> RpcResult<FollowReply> {
        Ok(self.0.follow(&ask).await)
    }

    async fn tell(&self, signals: Vec<signals::TargetSignal>) -> RpcResult<()> {
        self.0.signals.merge(&signals);
        Ok(())
    }
}

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
        Ask,
        RelayServer,
        Reply,
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
pub struct Copy {
    replica: replica::Replica,
    /// The moment for which it holds; `None` before the first read.
    read: Option<freshness::BootTime>,
}

impl Copy {
    /// Takes in a read that holds for `read`; returns whether others have to know at once.
    pub fn update(
        &mut self,
        snapshot: &follow::Snapshot,
        read: freshness::BootTime,
        now: freshness::BootTime,
    ) -> bool {
        let regained = self.read.is_none_or(|last| now.since(last) > REGAINED);
        let changed = self.replica.apply(snapshot);
        self.read = self.read.max(Some(read));
        changed || regained
    }

    /// Returns the answer to a question that came at `arrived`, or `None` while it may wait.
    pub fn answer(
        &self,
        ask: &Ask,
        arrived: freshness::BootTime,
        now: freshness::BootTime,
    ) -> Option<Answer> {
        let age = self.read.map(|read| now.since(read));
        let Some(age) = age.filter(|age| *age <= ask.limit.0) else {
            return (!ask.hold).then_some(Answer::Behind);
        };
        // The asking process counts from when it asked, which was before the question came here.
        let age = unit::Period(age.saturating_sub(now.since(arrived)));
        match ask.after {
            None => self.listing(ask, age),
            Some(after) => self.changes(ask, after, age),
        }
    }

    fn listing(&self, ask: &Ask, age: unit::Period) -> Option<Answer> {
        let listing = self.replica.listing()?;
        let size = listing.objects.iter().map(|o| o.value.len()).sum();
        if is_large(ask, size) {
            return Some(Answer::Large);
        }
        Some(Answer::Listing(store::Listing { age, ..listing }))
    }

    fn changes(&self, ask: &Ask, after: store::Revision, age: unit::Period) -> Option<Answer> {
        let Ok(changes) = self.replica.changes(after) else {
            return Some(Answer::Compacted);
        };
        if changes.events.is_empty() {
            return None;
        }
        let values = changes.events.iter().filter_map(|e| e.value.as_ref());
        if is_large(ask, values.map(String::len).sum()) {
            return Some(Answer::Large);
        }
        Some(Answer::Changes(store::Changes { age, ..changes }))
    }

    /// Returns the answer to a question whose wait has ended.
    fn ended(&self, ask: &Ask, arrived: freshness::BootTime, now: freshness::BootTime) -> Answer {
        let age = self.read.map(|read| now.since(read));
        match (age, ask.after) {
            (Some(age), Some(after)) if age <= ask.limit.0 => Answer::Changes(store::Changes {
                revision: after.max(self.replica.revision()),
                age: unit::Period(age.saturating_sub(now.since(arrived))),
                events: Vec::new(),
            }),
            _ => Answer::Behind,
        }
    }

    /// Returns how long the copy stays within the limit of a question.
    fn lasts(&self, ask: &Ask, now: freshness::BootTime) -> time::Duration {
        let age = self.read.map_or(ask.limit.0, |read| now.since(read));
        match ask.hold {
            true => time::Duration::MAX,
            false => ask.limit.0.saturating_sub(age),
        }
    }
}

fn is_large(ask: &Ask, size: usize) -> bool {
    !ask.large && size > SMALL
}

/// The copies of all topics, and the signals of targets.
#[derive(Debug, Default)]
pub struct Copies {
    /// Limits that targets have named.
    pub signals: Arc<signals::Signals>,
    table: watch::Sender<Copy>,
    targets: watch::Sender<Copy>,
    members: watch::Sender<Copy>,
    evacuations: watch::Sender<Copy>,
}

impl Copies {
    /// Creates empty copies beside what is known of signals.
    pub fn new(signals: Arc<signals::Signals>) -> Self {
        Self {
            signals,
            ..Self::default()
        }
    }

    fn topic(&self, topic: Topic) -> &watch::Sender<Copy> {
        match topic {
            Topic::Table => &self.table,
            Topic::Targets => &self.targets,
            Topic::Members => &self.members,
            Topic::Evacuations => &self.evacuations,
        }
    }

    /// Answers a question, at once if there is something to tell of the topic or of signals.
    pub async fn reply(&self, ask: &Ask) -> Reply {
        let Some(known) = ask.signals else {
            let answer = self.answer(ask).await;
            return Reply {
                answer,
                signals: None,
            };
        };
        let mut version = self.signals.subscribe();
        let answer = tokio::select! {
            answer = self.answer(ask) => answer,
            // The sender lives as long as these signals.
            _ = version.wait_for(|version| version.all > known) => self.present(ask),
        };
        Reply {
            answer,
            signals: self.signals.since(known),
        }
    }

    /// Answers a question without a wait.
    fn present(&self, ask: &Ask) -> Answer {
        let now = clock::now();
        let copy = self.topic(ask.topic).borrow();
        let answer = copy.answer(ask, now, now);
        answer.unwrap_or_else(|| copy.ended(ask, now, now))
    }

    /// Answers a question, at once if there is something to tell.
    pub async fn answer(&self, ask: &Ask) -> Answer {
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
    copies: Arc<Copies>,
    /// When the call in progress was sent.
    asked: freshness::BootTime,
}

impl<O> Publisher<O> {
    /// Wraps the observer of a topic.
    pub fn new(observer: O, topic: Topic, copies: &Arc<Copies>) -> Self {
        Self {
            observer,
            topic,
            copies: copies.clone(),
            asked: freshness::BootTime::default(),
        }
    }
}

impl<O: follow::Observer> follow::Observer for Publisher<O> {
    fn before_call(&mut self) {
        self.asked = clock::now();
        self.observer.before_call();
    }

    fn after_read(&mut self, snapshot: &follow::Snapshot, age: unit::Period) {
        self.observer.after_read(snapshot, age);
        let read = self.asked.before(age.0);
        let update = |copy: &mut Copy| copy.update(snapshot, read, clock::now());
        self.copies.topic(self.topic).send_if_modified(update);
    }
}

/// Serves the copies to other processes.
pub struct Served(pub Arc<Copies>);

#[async_trait]
impl RelayServer for Served {
    async fn follow(&self, ask: Ask) -> RpcResult<Reply> {
        Ok(self.0.reply(&ask).await)
    }

    async fn tell(&self, signals: Vec<signals::Told>) -> RpcResult<()> {
        self.0.signals.merge(&signals);
        Ok(())
    }
}

//! Cache of store data that this process serves to its peers if it is a reader, one of the few
//! processes that read the store.

use std::{
    collections,
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
    id,
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
        packed,
        reads,
        signals, //
    },
};

/// Upper limit on the wait of a request, whatever the caller asks for.
const WAIT_MAX: time::Duration = time::Duration::from_secs(30);

/// Maximum size of the values in an answer, unless the request allows any size.
///
/// A change is sent to all waiting processes at once. 16 KiB to 40 processes take half a second on
/// a link of 10 Mbit/s; any longer, and they would time out and treat this process as down.
const ANSWER_BYTES_MAX: usize = 16 << 10;

/// Time after which data that is just fresh is stale; without it, its expiry would be polled.
const CLOCK_STEP: time::Duration = time::Duration::from_millis(1);

/// Number of earlier versions of large objects that are kept, against which changes are packed.
const EARLIER_MAX: usize = 4;

/// A topic as of the last read.
#[derive(Clone, Debug, Default)]
pub struct CachedTopic {
    replica: replica::Replica,
    /// Earlier versions of large objects, the newest last.
    earlier: collections::VecDeque<Arc<store::Object>>,
    /// Start of the last read; `None` before the first one.
    read_at: Option<freshness::BootTime>,
    /// Whether the last read was answered by another process, or a read of the store has failed
    /// since.
    is_relayed: bool,
}

impl CachedTopic {
    /// Merges a snapshot as of `read` and returns whether waiting requests should be woken.
    pub fn update(&mut self, snapshot: &follow::Snapshot, read: freshness::BootTime) -> bool {
        let replaced = self.replica.only_object();
        let changed = self.replica.apply(snapshot);
        if changed && let Some(replaced) = replaced.filter(|o| o.value.len() > ANSWER_BYTES_MAX) {
            self.earlier.push_back(replaced);
            if self.earlier.len() > EARLIER_MAX {
                self.earlier.pop_front();
            }
        }
        let is_newer = self.read_at < Some(read);
        self.read_at = self.read_at.max(Some(read));
        changed || is_newer
    }

    /// Sets whether the data no longer comes from the store; returns whether that is a change.
    pub fn set_relayed(&mut self, is_relayed: bool) -> bool {
        std::mem::replace(&mut self.is_relayed, is_relayed) != is_relayed
    }

    /// Returns the answer to a request that arrived at `arrived`, or `None` if it should wait.
    ///
    /// Only a process that reads the store itself says that there are no changes: two processes
    /// that have lost it would otherwise confirm each other's data. Changes are passed on whatever
    /// their age, as they are newer than what the caller has.
    pub fn answer(
        &self,
        request: &FollowRequest,
        arrived: freshness::BootTime,
        now: freshness::BootTime,
    ) -> Option<Answer> {
        let Some(age) = self.read_at.map(|read| now.since(read)) else {
            return (!request.wait_fresh).then_some(Answer::Stale);
        };
        // The caller adds the time since it sent the request, which includes the wait here.
        let told = unit::Period(age.saturating_sub(now.since(arrived)));
        if !self.is_fresh(request, age) {
            let changes = request.after.and_then(|a| self.changes(request, a, told));
            let is_newer = |answer: &Answer| *answer != Answer::Compacted;
            let stale = (!request.wait_fresh).then_some(Answer::Stale);
            return changes.filter(is_newer).or(stale);
        }
        match request.after {
            None => self.listing(request, told),
            Some(after) => self.changes(request, after, told),
        }
    }

    /// Returns a version of the only object, if it is the present one or kept.
    fn find_version(&self, version: store::Version) -> Option<Arc<store::Object>> {
        let present = self.replica.only_object();
        let mut known = present.iter().chain(&self.earlier);
        known.find(|object| object.version == version).cloned()
    }

    /// Returns whether data of this age may confirm that nothing has changed.
    fn is_fresh(&self, request: &FollowRequest, age: time::Duration) -> bool {
        age <= request.max_age.0 && (request.wait_fresh || !self.is_relayed)
    }

    fn listing(&self, request: &FollowRequest, age: unit::Period) -> Option<Answer> {
        let listing = self.replica.listing()?;
        let answer = Answer::Listing(store::Listing { age, ..listing });
        Some(limit_size(request, answer))
    }

    fn changes(
        &self,
        request: &FollowRequest,
        after: store::Revision,
        age: unit::Period,
    ) -> Option<Answer> {
        let Ok(changes) = self.replica.changes(after) else {
            return Some(Answer::Compacted);
        };
        if changes.events.is_empty() {
            return None;
        }
        let answer = Answer::Changes(store::Changes { age, ..changes });
        Some(limit_size(request, answer))
    }

    /// Returns the answer to a request whose wait has ended without changes.
    fn empty_answer(
        &self,
        request: &FollowRequest,
        arrived: freshness::BootTime,
        now: freshness::BootTime,
    ) -> Answer {
        let age = self.read_at.map(|read| now.since(read));
        match (age, request.after) {
            (Some(age), Some(after)) if self.is_fresh(request, age) => {
                Answer::Changes(store::Changes {
                    revision: after.max(self.replica.revision()),
                    age: unit::Period(age.saturating_sub(now.since(arrived))),
                    events: Vec::new(),
                })
            }
            _ => Answer::Stale,
        }
    }

    /// Returns the time for which the data stays within the maximum age of a request.
    fn fresh_for(&self, request: &FollowRequest, now: freshness::BootTime) -> time::Duration {
        let age = self
            .read_at
            .map_or(request.max_age.0, |read| now.since(read));
        match request.wait_fresh {
            true => time::Duration::MAX,
            false => request.max_age.0.saturating_sub(age) + CLOCK_STEP,
        }
    }
}

/// Leaves a large answer to the store, unless the caller accepts it.
fn limit_size(request: &FollowRequest, answer: Answer) -> Answer {
    let is_accepted = request.allow_large || request.accept.is_some();
    match !is_accepted && size_of(&answer) > ANSWER_BYTES_MAX {
        true => Answer::TooLarge,
        false => answer,
    }
}

/// Returns the size of the values in an answer.
fn size_of(answer: &Answer) -> usize {
    match answer {
        Answer::Listing(listing) => listing.objects.iter().map(|o| o.value.len()).sum(),
        Answer::Changes(changes) => {
            let values = changes.events.iter().filter_map(|e| e.value.as_ref());
            values.map(String::len).sum()
        }
        Answer::Compacted | Answer::Stale | Answer::TooLarge | Answer::Packed(_) => 0,
    }
}

/// Cached topics and target signals.
#[derive(Debug, Default)]
pub struct Cache {
    /// Clock by which ages are measured.
    pub clock: clock::Clock,
    /// Reads of this process.
    pub reads: Arc<reads::Reads>,
    /// Rate limits, shutdowns and failed requests of targets, as observed here or by peers.
    pub signals: Arc<signals::Signals>,
    /// Configuration, with the routing table.
    table: watch::Sender<CachedTopic>,
    targets: watch::Sender<CachedTopic>,
    members: watch::Sender<CachedTopic>,
    evacuations: watch::Sender<CachedTopic>,
    packed: packed::Sender,
}

impl Cache {
    /// Creates a cache without store data that shares `signals`.
    pub fn new(signals: Arc<signals::Signals>) -> Self {
        Self {
            signals,
            ..Self::default()
        }
    }

    /// Measures ages by another clock.
    #[must_use]
    pub fn with_clock(mut self, clock: clock::Clock) -> Self {
        self.clock = clock;
        self
    }

    fn topic(&self, topic: Topic) -> &watch::Sender<CachedTopic> {
        match topic {
            Topic::Table => &self.table,
            Topic::Targets => &self.targets,
            Topic::Members => &self.members,
            Topic::Evacuations => &self.evacuations,
        }
    }

    /// Records whether a topic is read from the store or from another process.
    pub fn set_relayed(&self, topic: Topic, is_relayed: bool) {
        let set = |topic: &mut CachedTopic| topic.set_relayed(is_relayed);
        self.topic(topic).send_if_modified(set);
    }

    /// Answers a request as soon as there are changes of the topic or new signals.
    pub async fn follow(&self, request: &FollowRequest) -> FollowReply {
        let reply = self.follow_unpacked(request).await;
        let Some(accept) = request.accept else {
            return reply;
        };
        if size_of(&reply.answer) <= ANSWER_BYTES_MAX {
            return reply;
        }
        let base = accept.base;
        let base = base.and_then(|base| self.find_version(request.topic, base));
        let answer = reply.answer;
        let answer = self.packed.pack(request, accept, answer, base.as_deref());
        FollowReply {
            answer,
            signals: reply.signals,
        }
    }

    /// Returns a part of a packed answer, or `None` if it is not kept any more.
    pub async fn part(&self, request: &packed::PartRequest) -> Option<packed::Data> {
        self.packed.part(request).await
    }

    /// Returns a version of the only object of a topic, if it is present or kept.
    pub(super) fn find_version(
        &self,
        topic: Topic,
        version: store::Version,
    ) -> Option<Arc<store::Object>> {
        self.topic(topic).borrow().find_version(version)
    }

    /// Returns the version of the only object of a topic.
    pub(super) fn only_version(&self, topic: Topic) -> Option<store::Version> {
        let object = self.topic(topic).borrow().replica.only_object();
        object.map(|object| object.version)
    }

    /// Returns the start of the last read of a topic.
    pub(super) fn read_at(&self, topic: Topic) -> Option<freshness::BootTime> {
        self.topic(topic).borrow().read_at
    }

    /// Returns the size of the only object of a topic if it is large.
    pub(super) fn large_size(&self, topic: Topic) -> Option<usize> {
        let object = self.topic(topic).borrow().replica.only_object();
        let size = object.map(|object| object.value.len());
        size.filter(|size| *size > ANSWER_BYTES_MAX)
    }

    async fn follow_unpacked(&self, request: &FollowRequest) -> FollowReply {
        let Some(known) = request.signals else {
            let answer = self.wait_for_answer(request).await;
            return FollowReply {
                answer,
                signals: None,
            };
        };
        let mut version = self.signals.subscribe();
        let answer = tokio::select! {
            biased;
            answer = self.wait_for_answer(request) => answer,
            // The sender is dropped only with these signals.
            _ = version.wait_for(|version| version.all > known) => self.answer_now(request),
        };
        FollowReply {
            answer,
            signals: self.signals.updates_since(known),
        }
    }

    /// Answers a request without waiting.
    fn answer_now(&self, request: &FollowRequest) -> Answer {
        let now = self.clock.now();
        let topic = self.topic(request.topic).borrow();
        let answer = topic.answer(request, now, now);
        answer.unwrap_or_else(|| topic.empty_answer(request, now, now))
    }

    /// Answers a request as soon as there are changes of the topic.
    pub async fn wait_for_answer(&self, request: &FollowRequest) -> Answer {
        let arrived = self.clock.now();
        let end = Instant::now() + request.wait.0.min(WAIT_MAX);
        let mut topic = self.topic(request.topic).subscribe();
        let known = topic.borrow().read_at;
        loop {
            let until = {
                let topic = topic.borrow_and_update();
                let now = self.clock.now();
                if let Some(answer) = topic.answer(request, arrived, now) {
                    return answer;
                }
                // A caller that waits for fresh data has none; any later read confirms its data.
                let is_confirmed = request.wait_fresh && topic.read_at > known;
                if Instant::now() >= end || is_confirmed {
                    return topic.empty_answer(request, arrived, now);
                }
                // The caller must turn to another process as soon as the data is too old.
                Instant::now() + topic.fresh_for(request, now).min(WAIT_MAX)
            };
            tokio::select! {
                biased;
                // The sender is dropped only with this cache.
                _ = topic.changed() => {}
                () = tokio::time::sleep_until(end.min(until)) => {}
            }
        }
    }
}

/// Observer that passes each read of a topic to another observer and copies it into the cache.
pub struct Publisher<O> {
    observer: O,
    topic: Topic,
    cache: Arc<Cache>,
    /// Start of the current call.
    sent_at: freshness::BootTime,
}

impl<O> Publisher<O> {
    /// Wraps the observer of a topic.
    pub fn new(observer: O, topic: Topic, cache: &Arc<Cache>) -> Self {
        Self {
            observer,
            topic,
            cache: cache.clone(),
            sent_at: freshness::BootTime::default(),
        }
    }
}

impl<O: follow::Observer> follow::Observer for Publisher<O> {
    fn before_call(&mut self) {
        self.sent_at = self.cache.clock.now();
        self.observer.before_call();
    }

    fn after_read(&mut self, snapshot: &follow::Snapshot, age: unit::Period) {
        self.observer.after_read(snapshot, age);
        let read = self.sent_at.before(age.0);
        let update = |topic: &mut CachedTopic| topic.update(snapshot, read);
        self.cache.topic(self.topic).send_if_modified(update);
    }
}

/// Serves the cache to peers.
pub struct RelayService(pub Arc<Cache>);

#[async_trait]
impl RelayServer for RelayService {
    async fn follow(&self, request: FollowRequest) -> RpcResult<FollowReply> {
        Ok(self.0.follow(&request).await)
    }

    async fn part(&self, request: packed::PartRequest) -> RpcResult<Option<packed::Data>> {
        Ok(self.0.part(&request).await)
    }

    async fn tell(&self, signals: Vec<signals::TargetSignal>) -> RpcResult<()> {
        self.0.signals.merge(&signals);
        Ok(())
    }

    async fn tell_completed(&self, completed: Vec<signals::Completion>) -> RpcResult<()> {
        self.0.signals.merge_completions(&completed);
        Ok(())
    }

    async fn begin_trial(&self, content: id::Fingerprint) -> RpcResult<bool> {
        Ok(self.0.signals.begin_trial(content))
    }

    async fn end_trial(
        &self,
        content: id::Fingerprint,
        crashes: Vec<signals::TargetSignal>,
    ) -> RpcResult<()> {
        self.0.signals.merge(&crashes);
        self.0.signals.end_trial(content);
        Ok(())
    }
}

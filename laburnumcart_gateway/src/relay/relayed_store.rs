//! The store as this process follows it: by itself, or by asking those who do.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use futures_util::future;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    readers,
    unit, //
};
use laburnumcart_platform::store;

use crate::{
    dialect,
    peers::links,
    relay::{
        Answer,
        FollowReply,
        FollowRequest,
        Topic,
        signals, //
    },
    view, //
};

/// Longest wait of one question; its end also tells that the connection works.
///
/// A reader that stands still is given up 0.6 s after that, early enough for what another one tells
/// to be in force within 2 s.
const WAIT: time::Duration = time::Duration::from_millis(750);

/// The same for the members, whose changes are seen on connections as well.
const MEMBERS_WAIT: time::Duration = time::Duration::from_secs(5);

/// Greatest age that is taken from a reader.
///
/// It counts from before a call was sent. A reader's calls end every 0.75 s, so that its knowledge
/// is up to twice as old. One that is cut off from the store is found within a second: with the
/// exchange that follows, a change arrives before the 2 s are over after which a target that leaves
/// may get no work.
const AGE: time::Duration = time::Duration::from_millis(1700);

/// The same of the members, whose calls end every 5 s.
const MEMBERS_AGE: time::Duration = time::Duration::from_millis(11_500);

/// Greatest age that is taken from others, when no reader has anything younger.
///
/// They are asked by a process that the store turns away. Keys are honoured for 4.5 s without a
/// confirmation; older than this, the next question would come too late.
const AGE_OTHERS: time::Duration = time::Duration::from_millis(2500);

/// Time in which signals of targets are collected; a trouble of many targets is told once.
const COLLECT: time::Duration = time::Duration::from_millis(100);

/// Pause before others are asked again by a process that has just started.
const CATCH_UP: time::Duration = time::Duration::from_millis(500);

/// Others that are asked when the readers know nothing. A share of all processes that the store
/// turns away rarely takes all readers and both of these.
const OTHERS: usize = 2;

struct Shared<S> {
    store: S,
    own: view::Member,
    view: Arc<view::View>,
    directory: Arc<dyn dialect::Directory>,
    links: links::Links,
    signals: Arc<signals::Signals>,
    /// Versions of what other processes have told of targets, by the lives of these processes.
    heard: Mutex<collections::HashMap<id::InstanceName, (id::Incarnation, u64)>>,
    standing: Mutex<readers::Standing>,
    /// Who told each topic last; nobody where the store did.
    tellers: Mutex<collections::HashMap<Topic, Option<id::InstanceName>>>,
}

/// The store, through others where they read it.
pub struct RelayedStore<S>(Arc<Shared<S>>);

impl<S> Clone for RelayedStore<S> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// What those that were asked have told.
enum Told {
    Listing(store::Listing),
    Changes(store::Changes),
    Compacted,
    /// This process has to read for itself.
    Nothing,
    /// Nobody knows, and this process is not to ask the store now.
    Unknown,
}

impl<S: store::Store> RelayedStore<S> {
    /// Creates the view of `store` of the process `own`.
    pub fn new(
        store: S,
        own: view::Member,
        view: Arc<view::View>,
        directory: Arc<dyn dialect::Directory>,
        signals: Arc<signals::Signals>,
    ) -> Self {
        Self(Arc::new(Shared {
            links: links::Links::silent(own.instance.clone(), view.clone()),
            store,
            own,
            view,
            directory,
            signals,
            heard: Mutex::default(),
            standing: Mutex::default(),
            tellers: Mutex::default(),
        }))
    }

    /// Takes in what others know of targets.
    ///
    /// A process that reads the store itself asks them nothing more.
    pub async fn sync_signals(&self) {
        while !self.0.take_over().await {
            tokio::time::sleep(CATCH_UP).await;
        }
    }

    /// Tells the readers what answers to this process say of targets, until the process ends.
    pub async fn publish_signals(&self) {
        let mut version = self.0.signals.subscribe();
        let mut told = version.borrow().local;
        loop {
            // The sender lives as long as these signals.
            if let Ok(version) = version.wait_for(|version| version.local > told).await {
                told = version.local;
            }
            let signals = self.0.signals.recent();
            let (readers, _) = self.0.sources();
            let links = readers.iter().filter_map(|r| self.0.links.link(r));
            let calls = links.map(|link| {
                let signals = signals.clone();
                async move { link.tell(signals).await }
            });
            future::join_all(calls).await;
            tokio::time::sleep(COLLECT).await;
        }
    }
}

impl<S: store::Store> Shared<S> {
    fn topic(&self, prefix: &str) -> Option<Topic> {
        let topics = [
            Topic::Table,
            Topic::Targets,
            Topic::Members,
            Topic::Evacuations,
        ];
        let is_it = |topic: &Topic| topic.prefix(&*self.directory) == prefix;
        topics.into_iter().find(is_it)
    }

    /// Asks others, unless this process is to read the store itself.
    async fn ask(
        &self,
        topic: Topic,
        after: Option<store::Revision>,
        wait: time::Duration,
    ) -> Told {
        let (readers, others) = self.sources();
        let is_own = |member: &view::Member| member.instance == self.own.instance;
        let reads = readers.is_empty() || readers.iter().any(is_own);
        if reads && self.standing().goes_first(Instant::now()) {
            return Told::Nothing;
        }
        let readers: Vec<_> = readers.into_iter().filter(|r| !is_own(r)).collect();
        let mut ask = question(topic, after, wait);
        if let Some(told) = self.ask_each(&readers, &ask).await {
            return told;
        }
        if !reads && self.standing().is_served(Instant::now()) {
            return Told::Nothing;
        }
        ask.max_age = ask.max_age.max(unit::Period(AGE_OTHERS));
        if let Some(told) = self.ask_each(&others, &ask).await {
            return told;
        }
        // One topic is enough to find out whether the store is back.
        let tries =
            topic == Topic::Table && self.standing().may_try(rand::random(), Instant::now());
        if reads || tries {
            return Told::Nothing;
        }
        ask.wait_fresh = true;
        let first = readers.get(..1).unwrap_or_default();
        self.ask_each(first, &ask).await.unwrap_or(Told::Unknown)
    }

    /// Asks one process after another until one knows something that is young enough.
    async fn ask_each(&self, members: &[view::Member], ask: &FollowRequest) -> Option<Told> {
        for member in members {
            if let Some(told) = self.exchange(member, ask).await {
                return Some(told);
            }
        }
        None
    }

    fn standing(&self) -> readers::Standing {
        *view::lock(&self.standing)
    }

    /// Returns the readers, and others that can be asked; this process is among the readers if it
    /// reads itself.
    fn sources(&self) -> (Vec<view::Member>, Vec<view::Member>) {
        let members = self.view.members.load();
        let up: Vec<_> = members
            .iter()
            .filter(|m| m.instance == self.own.instance || self.links.is_up(m))
            .collect();
        let candidates = up.iter().map(|m| readers::Member {
            name: &m.instance,
            data_centre: &m.data_centre,
            cores: m.cores,
        });
        let mut chosen = readers::choose(candidates);
        readers::prefer(&mut chosen, &self.own.instance, &self.own.data_centre);
        let find = |reader: &readers::Member<'_>| up.iter().find(|m| m.instance == *reader.name);
        let readers: Vec<view::Member> = chosen
            .iter()
            .filter_map(find)
            .map(|m| (*m).clone())
            .collect();
        let rest: Vec<_> = up
            .iter()
            .filter(|m| m.instance != self.own.instance && !readers.contains(m))
            .collect();
        let others = rest.choose_multiple(&mut rand::rng(), OTHERS);
        (readers, others.map(|m| (**m).clone()).collect())
    }

    /// Asks one process; `None` if it knows nothing that is young enough.
    async fn exchange(&self, member: &view::Member, ask: &FollowRequest) -> Option<Told> {
        let link = self.links.link(member)?;
        let wants = ask.topic == Topic::Targets && !ask.wait_fresh;
        let mut ask = FollowRequest {
            signals: wants.then(|| self.heard_of(member)),
            ..ask.clone()
        };
        let FollowReply {
            mut answer,
            signals,
        } = link.follow(ask.clone()).await?;
        self.take_in(member, signals.as_ref());
        if answer == Answer::TooLarge && self.standing().is_failing() {
            ask.allow_large = true;
            ask.signals = None;
            answer = link.follow(ask.clone()).await?.answer;
        }
        let (age, told) = match answer {
            Answer::Listing(listing) => (listing.age, Told::Listing(listing)),
            Answer::Changes(changes) => (changes.age, Told::Changes(changes)),
            Answer::Compacted => return Some(Told::Compacted),
            Answer::TooLarge => return Some(Told::Nothing),
            Answer::Stale => return None,
        };
        self.note_teller(ask.topic, Some(&member.instance), age);
        Some(told)
    }

    /// Asks others for what they know of targets; returns whether one has answered.
    async fn take_over(&self) -> bool {
        let (readers, others) = self.sources();
        let asked = readers.iter().chain(&others);
        let asked = asked.filter_map(|member| Some((member, self.links.link(member)?)));
        let replies = asked.map(|(member, link)| async move {
            let ask = FollowRequest {
                signals: Some(self.heard_of(member)),
                ..question(Topic::Targets, None, time::Duration::ZERO)
            };
            let reply = link.follow(ask).await;
            self.take_in(member, reply.as_ref().and_then(|r| r.signals.as_ref()));
            reply.is_some()
        });
        let answered = future::join_all(replies).await;
        answered.into_iter().any(|answered| answered)
    }

    /// Takes in what a process has told of targets.
    fn take_in(&self, member: &view::Member, news: Option<&signals::SignalUpdate>) {
        if let Some(news) = news {
            self.signals.merge(&news.signals);
            let heard = (member.incarnation, news.version);
            view::lock(&self.heard).insert(member.instance.clone(), heard);
        }
    }

    /// Returns the version of a process's signals that this one has taken in.
    fn heard_of(&self, member: &view::Member) -> u64 {
        let heard = view::lock(&self.heard).get(&member.instance).copied();
        let heard = heard.filter(|(life, _)| *life == member.incarnation);
        heard.map_or(0, |(_, version)| version)
    }

    /// Notes who has told a topic, and says so when it is another one than before.
    fn note_teller(&self, topic: Topic, teller: Option<&id::InstanceName>, age: unit::Period) {
        let teller = teller.cloned();
        let last = view::lock(&self.tellers).insert(topic, teller.clone());
        if last.as_ref() != Some(&teller) {
            let name = teller.as_ref().map_or("store", |name| name.as_str());
            event!(
                Info,
                "told-by",
                topic = topic,
                source = name,
                age_ms = age.as_millis()
            );
        }
    }

    /// Notes how the store took a call about a topic.
    fn note<T>(&self, topic: Option<Topic>, result: &Result<T, store::Failure>) {
        let now = Instant::now();
        let mut standing = view::lock(&self.standing);
        let was_failing = standing.is_failing();
        match result {
            // Only a service that answers says so.
            Ok(_) | Err(store::Failure::Compacted | store::Failure::Conflict) => {
                standing.answer(now);
            }
            Err(_) => standing.fail(now),
        }
        let is_failing = standing.is_failing();
        drop(standing);
        if was_failing != is_failing {
            let state = if is_failing { "failing" } else { "answering" };
            event!(Info, "store", state = state);
        }
        if let (Some(topic), Ok(_)) = (topic, result) {
            self.note_teller(topic, None, unit::Period::default());
        }
    }

    /// Returns how long a watch of the store itself may wait.
    ///
    /// After a failure only an answer tells that the store is back.
    fn own_wait(&self, wait: time::Duration) -> time::Duration {
        match self.standing().is_failing() {
            true => time::Duration::ZERO,
            false => wait,
        }
    }
}

/// Returns a question for a reader.
fn question(topic: Topic, after: Option<store::Revision>, wait: time::Duration) -> FollowRequest {
    let (longest, age) = match topic {
        Topic::Members => (MEMBERS_WAIT, MEMBERS_AGE),
        Topic::Table | Topic::Targets | Topic::Evacuations => (WAIT, AGE),
    };
    FollowRequest {
        topic,
        after,
        wait: unit::Period(wait.min(longest)),
        max_age: unit::Period(age),
        wait_fresh: false,
        allow_large: false,
        signals: None,
    }
}

fn unknown() -> store::Failure {
    store::Failure::Unavailable { retry: None }
}

impl<S: store::Store> store::Store for RelayedStore<S> {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.0.store.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        self.0.store.put(key, expect, value).await
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.0.store.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        let topic = self.0.topic(prefix);
        if let Some(topic) = topic {
            match self.0.ask(topic, None, time::Duration::ZERO).await {
                Told::Listing(listing) => return Ok(listing),
                Told::Unknown => return Err(unknown()),
                Told::Changes(_) | Told::Compacted | Told::Nothing => {}
            }
        }
        let result = self.0.store.list(prefix).await;
        self.0.note(topic, &result);
        result
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        let topic = self.0.topic(prefix);
        if let Some(topic) = topic {
            match self.0.ask(topic, Some(after), wait).await {
                Told::Changes(changes) => return Ok(changes),
                Told::Compacted => return Err(store::Failure::Compacted),
                Told::Unknown => return Err(unknown()),
                Told::Listing(_) | Told::Nothing => {}
            }
        }
        let wait = self.0.own_wait(wait);
        let result = self.0.store.watch(prefix, after, wait).await;
        self.0.note(topic, &result);
        result
    }
}

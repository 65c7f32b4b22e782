//! The store as this process follows it: by itself, or by asking those who do.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use rand::seq::IndexedRandom;
use tokio::time::Instant;

use laburnumcart::{
    event,
    readers,
    unit, //
};
use laburnumcart_platform::store;

use crate::{
    dialect,
    peers::links,
    relay::{
        Answer,
        Ask,
        Topic, //
    },
    view, //
};

/// Longest wait of one question; its end also tells that the connection works.
///
/// A reader that stands still is given up 0.6 s after that, early enough for what another one tells to
/// be in force within 2 s.
const WAIT: time::Duration = time::Duration::from_millis(750);

/// The same for the members, whose changes are seen on connections as well.
const MEMBERS_WAIT: time::Duration = time::Duration::from_secs(5);

/// Greatest age that is taken from a reader.
///
/// It counts from before a call was sent. A reader's calls end every 0.75 s, so that its knowledge is
/// up to twice as old. One that is cut off from the store is found within a second: with the exchange
/// that follows, a change arrives before the 2 s are over after which a target that leaves may get no
/// work.
const AGE: time::Duration = time::Duration::from_millis(1700);

/// The same of the members, whose calls end every 5 s.
const MEMBERS_AGE: time::Duration = time::Duration::from_millis(11_500);

/// Greatest age that is taken from others, when no reader has anything younger.
///
/// They are asked by a process that the store turns away. Keys are honoured for 4.5 s without a
/// confirmation; older than this, the next question would come too late.
const AGE_OTHERS: time::Duration = time::Duration::from_millis(2500);

/// Others that are asked when the readers know nothing. A share of all processes that the store turns
/// away rarely takes all readers and both of these.
const OTHERS: usize = 2;

/// Time after which a reader that the store has failed tries it again while others answer.
const RETRY: time::Duration = time::Duration::from_secs(2);

/// Time between two tries of the store by a process that is no reader, while no other answers.
///
/// A store that is down for all is asked by the readers; each further call is paid for. One that turns
/// away the readers alone is found within this time by those whom it serves.
const TRY: time::Duration = time::Duration::from_secs(4);

/// Time for which a process that the store has answered reads for itself while no other answers.
const SERVED: time::Duration = time::Duration::from_secs(5);

/// How the store took the last call of this process.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    answered: Option<Instant>,
    failed: Option<Instant>,
}

impl Standing {
    /// Reports whether the last call failed.
    fn is_failing(&self) -> bool {
        self.failed > self.answered
    }
}

struct Shared<S> {
    store: S,
    own: view::Member,
    view: Arc<view::View>,
    directory: Arc<dyn dialect::Directory>,
    links: links::Links,
    standing: Mutex<Standing>,
}

/// The store, through others where they read it.
pub struct Source<S>(Arc<Shared<S>>);

impl<S> Clone for Source<S> {
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

impl<S: store::Store> Source<S> {
    /// Creates the view of `store` of the process `own`.
    pub fn new(
        store: S,
        own: view::Member,
        view: Arc<view::View>,
        directory: Arc<dyn dialect::Directory>,
    ) -> Self {
        Self(Arc::new(Shared {
            links: links::Links::silent(own.instance.clone(), view.clone()),
            store,
            own,
            view,
            directory,
            standing: Mutex::default(),
        }))
    }
}

impl<S: store::Store> Shared<S> {
    fn topic(&self, prefix: &str) -> Option<Topic> {
        let topics = [Topic::Table, Topic::Targets, Topic::Members];
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
        let reads = readers.is_empty() || readers.iter().any(|r| r.instance == self.own.instance);
        let standing = *view::lock(&self.standing);
        let now = Instant::now();
        if reads && !(standing.is_failing() && is_within(standing.failed, RETRY, now)) {
            return Told::Nothing;
        }
        let (longest, age) = match topic {
            Topic::Members => (MEMBERS_WAIT, MEMBERS_AGE),
            Topic::Table | Topic::Targets => (WAIT, AGE),
        };
        let mut ask = Ask {
            topic,
            after,
            wait: unit::Period(wait.min(longest)),
            limit: unit::Period(age),
            hold: false,
            large: false,
        };
        let readers: Vec<_> = readers
            .into_iter()
            .filter(|r| r.instance != self.own.instance)
            .collect();
        for reader in &readers {
            if let Some(told) = self.exchange(reader, &ask).await {
                return told;
            }
        }
        if !reads && is_within(standing.answered, SERVED, now) {
            return Told::Nothing;
        }
        ask.limit = ask.limit.max(unit::Period(AGE_OTHERS));
        for other in &others {
            if let Some(told) = self.exchange(other, &ask).await {
                return told;
            }
        }
        let tried = standing.answered.max(standing.failed);
        if reads || (topic == Topic::Table && !is_within(tried, self.pause(), now)) {
            return Told::Nothing;
        }
        ask.hold = true;
        let told = match readers.first() {
            Some(reader) => self.exchange(reader, &ask).await,
            None => None,
        };
        told.unwrap_or(Told::Unknown)
    }

    /// Returns the time between two tries of the store, which differs so that tries are spread.
    fn pause(&self) -> time::Duration {
        TRY.mul_f64(0.5 + rand::random::<f64>())
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
    async fn exchange(&self, member: &view::Member, ask: &Ask) -> Option<Told> {
        let link = self.links.link(member)?;
        let told = match link.follow(ask.clone()).await? {
            Answer::Listing(listing) => Told::Listing(listing),
            Answer::Changes(changes) => Told::Changes(changes),
            Answer::Compacted => Told::Compacted,
            Answer::Behind => return None,
            Answer::Large if view::lock(&self.standing).is_failing() => {
                let ask = Ask {
                    large: true,
                    ..ask.clone()
                };
                match link.follow(ask).await? {
                    Answer::Listing(listing) => Told::Listing(listing),
                    Answer::Changes(changes) => Told::Changes(changes),
                    Answer::Compacted => Told::Compacted,
                    Answer::Behind | Answer::Large => return None,
                }
            }
            Answer::Large => Told::Nothing,
        };
        Some(told)
    }

    /// Notes how the store took a call.
    fn note<T>(&self, result: &Result<T, store::Failure>) {
        let now = Some(Instant::now());
        let mut standing = view::lock(&self.standing);
        let was_failing = standing.is_failing();
        match result {
            // Only a service that answers says so.
            Ok(_) | Err(store::Failure::Compacted | store::Failure::Conflict) => {
                standing.answered = now;
            }
            Err(_) => standing.failed = now,
        }
        let is_failing = standing.is_failing();
        drop(standing);
        if was_failing != is_failing {
            let state = if is_failing { "failing" } else { "answering" };
            event!(Info, "store", state = state);
        }
    }

    /// Returns how long a watch of the store itself may wait.
    ///
    /// After a failure only an answer tells that the store is back.
    fn own_wait(&self, wait: time::Duration) -> time::Duration {
        match view::lock(&self.standing).is_failing() {
            true => time::Duration::ZERO,
            false => wait,
        }
    }
}

/// Reports whether something happened within a time.
fn is_within(at: Option<Instant>, limit: time::Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < limit)
}

fn unknown() -> store::Failure {
    store::Failure::Unavailable { retry: None }
}

impl<S: store::Store> store::Store for Source<S> {
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
        if let Some(topic) = self.0.topic(prefix) {
            match self.0.ask(topic, None, time::Duration::ZERO).await {
                Told::Listing(listing) => return Ok(listing),
                Told::Unknown => return Err(unknown()),
                Told::Changes(_) | Told::Compacted | Told::Nothing => {}
            }
        }
        let result = self.0.store.list(prefix).await;
        self.0.note(&result);
        result
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        if let Some(topic) = self.0.topic(prefix) {
            match self.0.ask(topic, Some(after), wait).await {
                Told::Changes(changes) => return Ok(changes),
                Told::Compacted => return Err(store::Failure::Compacted),
                Told::Unknown => return Err(unknown()),
                Told::Listing(_) | Told::Nothing => {}
            }
        }
        let wait = self.0.own_wait(wait);
        let result = self.0.store.watch(prefix, after, wait).await;
        self.0.note(&result);
        result
    }
}

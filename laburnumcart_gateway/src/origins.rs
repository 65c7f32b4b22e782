//! Origins of streams that this process began or keeps for others.
//!
//! A stream goes on only at the software version that began it ([`laburnumcart::origin`]). The
//! caller may take it up at any process, so that each process tells the homes of a stream where it
//! began, and asks them when a caller returns.

pub mod calls;
mod copies;
pub mod journal;
mod lookup;
pub mod usage;

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use futures_util::{
    StreamExt,
    future,
    stream, //
};

use laburnumcart::{
    event,
    freshness,
    id,
    origin::{
        Origin,
        history,
        homes,
        journal::{
            Entry,
            Source, //
        },
        records, //
    },
    rendezvous,
    unit, //
};

use crate::{
    admission,
    clock,
    metrics,
    peers::links::Links,
    view, //
};

/// Interval at which other processes are asked for the versions they have seen, until they have
/// answered.
const LEARN_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Number of processes that are asked for a summary of them.
const SUMMARIES: usize = 4;

/// Largest number of records in one call.
const RECORDS_PER_CALL: usize = 512;

/// What a process asks others about a stream that a caller takes up.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Question {
    /// Stream, if the caller has named it.
    pub stream: Option<id::Fingerprint>,
    /// Services at which it may have begun.
    pub services: Vec<id::ServiceName>,
}

/// Answer to a [`Question`].
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Record of the stream.
    pub begun: Option<records::Begun>,
    /// What the process knows of the versions of each service.
    pub known: Vec<history::Known>,
    /// Process that answers, if it was asked about a stream; older builds leave it out.
    #[serde(default)]
    pub incarnation: Option<id::Incarnation>,
}

/// Origins of streams, and the connections over which they are told.
pub struct Origins {
    own: id::InstanceName,
    view: Arc<view::View>,
    links: Links,
    records: Mutex<records::Records>,
    /// Streams in flight that no journal holds.
    unjournaled: Mutex<collections::HashMap<id::Fingerprint, Source>>,
    /// Tells the journal that a stream is to be written.
    journal_due: tokio::sync::Notify,
    /// Streams that others are to write to their journals.
    uncopied: Mutex<Vec<records::Begun>>,
    copies_due: tokio::sync::Notify,
    metrics: metrics::OriginMetrics,
}

impl Origins {
    /// Creates the state of the process `own`, without records.
    pub fn new(
        own: id::InstanceName,
        view: Arc<view::View>,
        metrics: metrics::OriginMetrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            links: Links::without_heartbeats(own.clone(), view.clone()),
            own,
            view,
            records: Mutex::default(),
            unjournaled: Mutex::default(),
            journal_due: tokio::sync::Notify::new(),
            uncopied: Mutex::default(),
            copies_due: tokio::sync::Notify::new(),
            metrics,
        })
    }

    /// Records where a new stream began, and tells its homes.
    ///
    /// The event is not held back meanwhile: a caller needs longer to return than the call takes.
    pub fn begin(self: &Arc<Self>, request: &admission::Request, origin: Origin) {
        let begun = records::Begun {
            stream: request.stream(&request.call.attempt),
            origin,
            age: unit::Period::default(),
        };
        self.keep([begun.clone()]);
        self.journal(&begun, Source::Own);
        for home in self.homes(begun.stream, homes::HOMES) {
            tokio::spawn(self.clone().tell(home, begun.clone()));
        }
    }

    /// Keeps records that another process has told.
    pub fn keep(&self, begun: impl IntoIterator<Item = records::Begun>) {
        let now = clock::now();
        let mut records = view::lock(&self.records);
        for begun in begun {
            records.insert(begun, now);
        }
        self.metrics.records.set(records.len() as i64);
    }

    /// Returns whether no origin is kept here.
    pub fn is_empty(&self) -> bool {
        view::lock(&self.records).is_empty()
    }

    /// Records that the caller has the whole stream, so that it will not take it up.
    pub fn complete(&self, request: &admission::Request) {
        let attempts = [Some(&request.call.attempt), request.call.resumes.as_ref()];
        let mut unjournaled = view::lock(&self.unjournaled);
        for attempt in attempts.into_iter().flatten() {
            unjournaled.remove(&request.stream(attempt));
        }
    }

    /// Has a stream in flight written to the journal while its service has several versions.
    fn journal(&self, begun: &records::Begun, source: Source) {
        view::lock(&self.unjournaled)
            .entry(begun.stream)
            .or_insert(source);
        if self.has_several_versions(&begun.origin.service, clock::now()) {
            self.journal_due.notify_one();
        }
    }

    fn has_several_versions(&self, service: &id::ServiceName, now: freshness::BootTime) -> bool {
        let known = self.view.known_versions(std::slice::from_ref(service), now);
        known == [history::Known::Several]
    }

    /// Returns the streams in flight that are to be written to the journal: those of services with
    /// several versions.
    fn take_unjournaled(&self) -> Vec<(Entry, Source)> {
        let (now, now_ms) = (clock::now(), clock::unix_ms());
        let records = view::lock(&self.records);
        let mut unjournaled = view::lock(&self.unjournaled);
        let (mut taken, mut several) = (Vec::new(), collections::HashMap::new());
        unjournaled.retain(|stream, source| {
            let Some(begun) = records.find(*stream, now) else {
                return false;
            };
            let service = &begun.origin.service;
            let has_several = match several.get(service) {
                Some(known) => *known,
                None => {
                    let known = self.has_several_versions(service, now);
                    several.insert(service.clone(), known);
                    known
                }
            };
            if !has_several {
                return true;
            }
            taken.extend(Entry::new(&begun, now_ms).map(|entry| (entry, *source)));
            false
        });
        taken
    }

    /// Answers a question of another process.
    pub fn answer(&self, question: &Question) -> Answer {
        let now = clock::now();
        let find = |stream| view::lock(&self.records).find(stream, now);
        Answer {
            begun: question.stream.and_then(find),
            known: self.view.known_versions(&question.services, now),
            incarnation: question.stream.and(self.view.usage.own()),
        }
    }

    /// Counts a stream that went on after its caller has taken it up.
    pub fn record_went_on(&self, origin: &Origin) {
        let version = origin.version.as_ref();
        self.metrics.record(metrics::TakenUp::WentOn, version);
    }

    /// Hands all records to other processes, as this one is about to stop.
    pub async fn hand_over(self: &Arc<Self>) {
        let records = view::lock(&self.records).all(clock::now());
        let mut lists: Vec<(view::Member, Vec<records::Begun>)> = Vec::new();
        for begun in records {
            for home in self.homes(begun.stream, homes::HOMES + 1) {
                let known = lists.iter_mut().find(|(m, _)| m.instance == home.instance);
                match known {
                    Some((_, list)) => list.push(begun.clone()),
                    None => lists.push((home, vec![begun.clone()])),
                }
            }
        }
        let count: usize = lists.iter().map(|(_, list)| list.len()).sum();
        let peers = lists.len();
        let calls = lists
            .into_iter()
            .map(|(home, list)| self.clone().tell_all(home, list, None));
        future::join_all(calls).await;
        event!(Info, "origins-handed-over", records = count, peers = peers);
    }

    async fn tell_all(
        self: Arc<Self>,
        home: view::Member,
        list: Vec<records::Begun>,
        unwritten: Option<bool>,
    ) -> bool {
        let Some(link) = self.links.link(&home) else {
            return false;
        };
        for part in list.chunks(RECORDS_PER_CALL) {
            if !link.tell_begun(part, unwritten).await {
                return false;
            }
        }
        true
    }

    /// Asks other processes for the versions that they have seen, after a start and after a time
    /// without a listing, until the process ends.
    pub async fn learn_versions(self: Arc<Self>) {
        let mut interval = tokio::time::interval(LEARN_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if !self.view.needs_versions(clock::now()) {
                continue;
            }
            let mut peers = self.others();
            rendezvous::rank(&mut peers, &format!("{}", rand::random::<u64>()), candidate);
            peers.truncate(SUMMARIES);
            let calls = peers.into_iter().map(|peer| self.ask_versions(peer));
            for summary in future::join_all(calls).await.into_iter().flatten() {
                self.view.merge_versions(&summary, clock::now());
            }
        }
    }

    /// Returns the software versions that this process has seen lately.
    pub fn versions_seen(&self) -> history::Summary {
        self.view.versions_seen(clock::now())
    }

    async fn ask_versions(&self, peer: view::Member) -> Option<history::Summary> {
        self.links.link(&peer)?.seen_versions().await
    }

    async fn tell(self: Arc<Self>, home: view::Member, begun: records::Begun) {
        let Some(link) = self.links.link(&home) else {
            return;
        };
        if !link.tell_begun(std::slice::from_ref(&begun), None).await {
            event!(
                Warn,
                "origin-send-failed",
                stream = begun.stream,
                peer = home.instance
            );
        }
    }

    /// Asks processes, and returns the answers up to the first one with a record.
    ///
    /// Waiting for the others would delay each stream by the time of one that is gone.
    async fn ask(&self, asked: Vec<view::Member>, question: &Question) -> Vec<Answer> {
        let calls = asked
            .into_iter()
            .map(|member| self.ask_one(member, question));
        let mut calls: stream::FuturesUnordered<_> = calls.collect();
        let mut answers = Vec::new();
        while let Some(answer) = calls.next().await {
            answers.extend(answer);
            if answers.last().is_some_and(|answer| answer.begun.is_some()) {
                break;
            }
        }
        answers
    }

    async fn ask_one(&self, member: view::Member, question: &Question) -> Option<Answer> {
        self.links.link(&member)?.ask_origin(question).await
    }

    /// Returns the first `count` homes of a stream, without this process.
    ///
    /// Entries of processes that never come back stay; those that cannot be reached rank last.
    fn homes(&self, stream: id::Fingerprint, count: usize) -> Vec<view::Member> {
        let mut members = self.view.members.load().as_ref().clone();
        homes::rank(&mut members, stream, candidate, |m| &m.data_centre);
        members.sort_by_key(|member| !self.links.is_up(member));
        members.truncate(count);
        members.retain(|member| member.instance != self.own);
        members
    }

    fn others(&self) -> Vec<view::Member> {
        let members = self.view.members.load();
        let others = members.iter().filter(|m| m.instance != self.own);
        others.cloned().collect()
    }
}

fn candidate(member: &view::Member) -> rendezvous::Candidate<'_> {
    rendezvous::Candidate {
        name: &member.instance,
        cores: member.cores,
    }
}

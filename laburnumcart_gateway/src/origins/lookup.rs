//! Where a stream goes on that a caller takes up.

use std::{
    collections,
    time, //
};

use laburnumcart::{
    event,
    id,
    origin::{
        Origin,
        evidence,
        homes,
        journal,
        records,
        usage::{
            self,
            Possible, //
        }, //
    },
    unit,
    verdict, //
};

use crate::{
    admission,
    clock,
    metrics,
    origins::{
        Answer,
        Origins,
        Question, //
    },
    reply,
    view::usage::Reading, //
};

/// Longest time that a lookup waits for the first list of members, or for the usage notes.
const READ_WAIT: time::Duration = time::Duration::from_secs(1);

/// Largest number of processes that are all asked about a stream without a record.
const ASK_ALL_MAX: usize = 32;

/// Origin of a stream, and how it is known.
struct Found {
    origin: Origin,
    age: unit::Period,
    source: &'static str,
}

/// Why a stream does not go on.
enum Fault {
    /// It may have begun at any of several versions.
    Unknown,
    /// The list of targets is behind that of the process that began the stream.
    Unlisted,
    /// No target of its version is left.
    Gone,
}

impl Fault {
    fn name(&self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Unlisted => "version-unlisted",
            Self::Gone => "version-gone",
        }
    }

    fn refusal(&self) -> verdict::Refusal {
        match self {
            // Another process may be asked with more success, or this one a little later.
            Self::Unknown | Self::Unlisted => {
                let refusal = verdict::Refusal::not_run(verdict::Reason::OriginUnknown);
                refusal.retry_after(unit::Period(reply::RETRY_AFTER))
            }
            Self::Gone => verdict::Refusal::not_run(verdict::Reason::VersionGone),
        }
    }
}

/// What other processes and the store say of a stream of which this process has no record.
#[derive(Default)]
struct Told {
    asked: usize,
    answers: Vec<Answer>,
    /// This process, if it has looked for a record.
    own: Option<id::Incarnation>,
    /// Entries and usage notes of all instances, if they were needed.
    reading: Option<Reading>,
    /// Record that has reached this process meanwhile, as from a journal.
    late: Option<records::Begun>,
}

impl Told {
    fn begun(&self) -> Option<&records::Begun> {
        let mut told = self.answers.iter().filter_map(|a| a.begun.as_ref());
        self.late.as_ref().or_else(|| told.next())
    }

    /// Returns the versions of services at which processes without a record may have begun the
    /// stream.
    fn possible(&self, services: &[id::ServiceName]) -> Possible {
        let Some(Some(instances)) = &self.reading else {
            return Possible::Any;
        };
        let answered = self.answers.iter().filter_map(|a| a.incarnation);
        let answered: collections::HashSet<_> = answered.chain(self.own).collect();
        let instances = instances.values().map(|instance| {
            let note = instance.note.as_ref();
            let author = note.map(|note| note.incarnation);
            usage::Instance {
                entry: instance.entry,
                note,
                answered: author.filter(|author| answered.contains(author)),
            }
        });
        Possible::of(instances, services)
    }

    fn notes_label(&self) -> &'static str {
        match &self.reading {
            None => "unasked",
            Some(None) => "unread",
            Some(Some(_)) => "read",
        }
    }
}

impl Origins {
    /// Decides where a stream may go on that a caller takes up.
    pub async fn resolve(&self, request: &admission::Request) -> Result<Origin, verdict::Refusal> {
        let backends = request.route.backends.iter().filter(|b| b.weight > 0);
        let services: Vec<_> = backends.map(|b| b.service.clone()).collect();
        let resumes = request.call.resumes.as_deref();
        let question = Question {
            stream: resumes.map(|attempt| request.stream(attempt)),
            services,
        };
        if self.answer(&question).begun.is_none() {
            self.wait_for_members(request.remaining()).await;
        }
        let own = self.answer(&question);
        let fresh = self.view.is_listing_fresh(clock::now());
        let mut told = Told::default();
        // A list that was up to date a moment ago may lack the version of a stream without a name,
        // which the process that began it knows.
        if own.begun.is_none() {
            let stream = question.stream.unwrap_or(request.fingerprint());
            let members = self.homes(stream, homes::ASKED);
            told.asked = members.len();
            told.answers = self.ask(members, &question).await;
        }
        let known: Vec<_> = told.answers.iter().map(|a| a.known.clone()).collect();
        let has_peers = told.asked > 0;
        let decide = |told: &Told, possible: &Possible| {
            let evidence = evidence::Evidence {
                begun: own.begun.as_ref().or(told.begun()),
                own: &own.known,
                fresh,
                peers: &known,
                has_peers,
                possible,
            };
            evidence.decide()
        };
        let mut possible = Possible::Any;
        let mut decision = decide(&told, &possible);
        if decision == evidence::Decision::Unknown {
            self.ask_further(request, &question, &mut told).await;
            possible = told.possible(&question.services);
            decision = decide(&told, &possible);
        }
        let chosen = request.route.choose_backend(rand::random());
        let found = match decision {
            evidence::Decision::Recorded(begun) => {
                let source = match own.begun {
                    Some(_) => "own",
                    None => "peers",
                };
                self.keep([begun.clone()]);
                // The journal of the process that began it may lack it, also if it was told here.
                self.journal(&begun, journal::Source::Own);
                Some(Found {
                    origin: begun.origin,
                    age: begun.age,
                    source,
                })
            }
            evidence::Decision::Sole(version) => Some(Found::at(
                chosen.ok_or(no_target())?,
                version,
                "sole-version",
            )),
            evidence::Decision::Used(version) => {
                let has_used = |service: &&id::ServiceName| {
                    let used = told.possible(std::slice::from_ref(*service));
                    used.sole() == Some(&version)
                };
                let mut users = question.services.iter().filter(has_used);
                let service = chosen.filter(has_used).or_else(|| users.next());
                Some(Found::at(service.ok_or(no_target())?, version, "usage"))
            }
            evidence::Decision::Unknown => None,
        };
        let fault = match &found {
            Some(found) => self.check(request, &question, found).err(),
            None => {
                self.metrics.record(metrics::TakenUp::Unknown, None);
                Some(Fault::Unknown)
            }
        };
        match (found, fault) {
            (Some(found), None) => {
                if let ("usage", Some(stream)) = (found.source, question.stream) {
                    // More versions may be possible when the caller returns again.
                    self.keep_found(stream, &found);
                }
                Ok(found.origin)
            }
            (_, fault) => {
                let fault = fault.unwrap_or(Fault::Unknown);
                event!(
                    Info,
                    "origin-refused",
                    request = request.call.attempt,
                    resumes = resumes.unwrap_or("none"),
                    reason = fault.name(),
                    asked = told.asked,
                    answered = told.answers.len(),
                    fresh = fresh,
                    notes = told.notes_label(),
                    possible = possible.label()
                );
                Err(fault.refusal())
            }
        }
    }

    /// Asks the processes that were not asked yet, and reads what all instances may have used.
    async fn ask_further(
        &self,
        request: &admission::Request,
        question: &Question,
        told: &mut Told,
    ) {
        let mut members = Vec::new();
        // A stream without a name cannot be looked up.
        if let Some(stream) = question.stream {
            let all = self.homes(stream, usize::MAX);
            if all.len() < ASK_ALL_MAX {
                members.extend(all.into_iter().skip(told.asked));
            }
            told.own = self.view.usage.own();
        }
        told.asked += members.len();
        let limit = READ_WAIT.min(request.remaining());
        let read = self.view.usage.read(limit);
        let (answers, reading) = tokio::join!(self.ask(members, question), read);
        told.answers.extend(answers);
        told.reading = Some(reading);
        told.late = self.answer(question).begun;
    }

    /// Waits for the first list of members, without which nobody is asked.
    async fn wait_for_members(&self, left: time::Duration) {
        let mut changes = self.view.subscribe();
        let known = changes.wait_for(|_| !self.view.members.load().is_empty());
        if tokio::time::timeout(READ_WAIT.min(left), known)
            .await
            .is_err()
        {
            event!(Warn, "members-unread");
        }
    }

    /// Keeps the origin of a stream that other processes may have no record of.
    fn keep_found(&self, stream: id::Fingerprint, found: &Found) {
        let begun = records::Begun {
            stream,
            origin: found.origin.clone(),
            age: found.age,
        };
        self.keep([begun.clone()]);
        self.journal(&begun, journal::Source::Own);
    }

    /// Checks that a target can go on with a stream, and logs its origin.
    fn check(
        &self,
        request: &admission::Request,
        question: &Question,
        found: &Found,
    ) -> Result<(), Fault> {
        let origin = &found.origin;
        event!(
            Info,
            "origin",
            request = request.call.attempt,
            service = origin.service,
            version = origin.version_label(),
            source = found.source,
            age_ms = found.age.0.as_millis()
        );
        let is_left = question.services.contains(&origin.service)
            && self.view.can_go_on(origin, request.data_centres.as_deref());
        if is_left {
            return Ok(());
        }
        let version = origin.version.as_ref();
        if version.is_some() && !self.view.has_seen_version(origin) {
            self.metrics.record(metrics::TakenUp::Unknown, version);
            return Err(Fault::Unlisted);
        }
        self.metrics.record(metrics::TakenUp::VersionGone, version);
        Err(Fault::Gone)
    }
}

impl Found {
    fn at(service: &id::ServiceName, version: id::SoftwareVersion, source: &'static str) -> Self {
        Self {
            origin: Origin {
                service: service.clone(),
                version: Some(version),
                target: None,
            },
            age: unit::Period::default(),
            source,
        }
    }
}

fn no_target() -> verdict::Refusal {
    verdict::Refusal::not_run(verdict::Reason::NoTarget)
}

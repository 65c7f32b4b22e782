//! Gateways, a store and targets in steps of simulated time.

use std::collections;

use laburnumcart::{
    id,
    origin::{
        Origin,
        evidence::{
            Decision,
            Evidence, //
        },
        homes,
        records::Begun, //
    },
    unit, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use crate::{
    faults::{
        Change,
        Knobs, //
    },
    gateway::{
        Gateway,
        Member,
        SETTLED,
        Target,
        boot,
        candidate,
        number,
        service,
        version, //
    },
    outcome::Outcome,
    store::Store, //
};

/// Step of the simulation in milliseconds.
const STEP: u64 = 50;

/// Duration of an order in milliseconds.
const DURATION: u64 = 60_000;

/// Mean time between kills of all gateways in seconds, unless a test sets another one.
const KILLS_EVERY: u64 = 60;

/// Time from one listing of a gateway to the next.
const LISTING_INTERVAL: u64 = 400;

/// Which targets a stream that was taken up may go on at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Choice {
    ByOrigin,
    AnyTarget,
}

struct Stream {
    id: id::Fingerprint,
    version: usize,
    returns: u64,
    /// Whether no note of its gateway named its version.
    unnoted: bool,
}

/// One order of events.
pub(crate) struct Model {
    pub(crate) rng: StdRng,
    choice: Choice,
    pub(crate) now: u64,
    pub(crate) gateways: Vec<Gateway>,
    /// Number of members from the first on; the others join later.
    pub(crate) joined: usize,
    pub(crate) targets: Vec<Target>,
    pub(crate) started: usize,
    pub(crate) newest: usize,
    pub(crate) notes: Option<collections::BTreeSet<usize>>,
    pub(crate) kills_every: u64,
    pub(crate) store_until: u64,
    streams: Vec<Stream>,
    outcome: Outcome,
    pub(crate) store: Store,
    /// Draws of a search, and its source of chance.
    pub(crate) knobs: Option<Knobs>,
    pub(crate) search: StdRng,
    pub(crate) changes: Vec<(u64, Change)>,
    pub(crate) started_processes: u32,
    pub(crate) has_usage: bool,
}

impl Model {
    pub(crate) fn new(seed: u64, gateways: usize, choice: Choice) -> Self {
        let mut model = Self {
            rng: StdRng::seed_from_u64(seed),
            choice,
            now: 100_000,
            // Two more join during the order.
            gateways: (0..gateways + 2).map(Gateway::new).collect(),
            joined: gateways,
            targets: Vec::new(),
            started: 0,
            newest: 1,
            notes: None,
            kills_every: KILLS_EVERY,
            store_until: 0,
            streams: Vec::new(),
            outcome: Outcome::default(),
            store: Store::default(),
            knobs: None,
            search: StdRng::seed_from_u64(!seed),
            changes: Vec::new(),
            started_processes: 0,
            has_usage: false,
        };
        for _ in 0..6 {
            model.start_target(1);
        }
        model
    }

    /// Sets the mean time between kills of all gateways, in seconds.
    pub(crate) fn kills_every(mut self, secs: u64) -> Self {
        self.kills_every = secs;
        self
    }

    /// Has the seed draw the kinds of faults.
    pub(crate) fn searched(mut self) -> Self {
        self.knobs = Some(Knobs::draw(&mut self.search));
        self
    }

    /// Has gateways decide by usage notes as well.
    pub(crate) fn with_usage(mut self, has_usage: bool) -> Self {
        self.has_usage = has_usage;
        self
    }

    pub(crate) fn play(mut self) -> Outcome {
        let end = self.now
            + match self.knobs {
                Some(_) => DURATION / 2,
                None => DURATION,
            };
        while self.now < end {
            self.change_targets();
            self.draw_faults();
            self.draw_search();
            self.read_listings();
            self.write_objects();
            self.write_notes();
            self.ask_versions();
            self.begin_streams();
            self.take_up_streams();
            self.now += STEP;
        }
        self.outcome
    }

    /// Returns whether something that happens once in `secs` seconds happens in this step.
    pub(crate) fn happens(&mut self, secs: u64) -> bool {
        self.rng.random_range(0..secs * 1000 / STEP) == 0
    }

    pub(crate) fn start_target(&mut self, number: usize) {
        self.started += 1;
        self.targets.push(Target {
            name: format!("i-{}", self.started),
            version: number,
            since: self.now,
            leaving: None,
        });
    }

    /// Rolls a version out, rolls back, or starts a third one; targets drain and crash.
    fn change_targets(&mut self) {
        if self.happens(8) {
            self.newest = match self.rng.random_range(0..3) {
                0 => self.newest.saturating_sub(1).max(1),
                _ => self.newest + 1,
            };
        }
        let (newest, now) = (self.newest, self.now);
        if self.happens(1) {
            let used = self.targets.iter().filter(|t| t.is_used()).count();
            let old = self
                .targets
                .iter_mut()
                .find(|t| t.is_used() && t.version != newest);
            let is_rollout = old.is_some();
            if let Some(old) = old.filter(|_| used >= 6) {
                old.leaving = Some(now);
            }
            if is_rollout || used < 6 {
                self.start_target(newest);
            }
        }
        if self.happens(10) && self.targets.len() > 3 {
            let lost = self.rng.random_range(0..self.targets.len());
            self.targets.remove(lost);
        }
        self.targets
            .retain(|t| t.leaving.is_none_or(|since| now < since + 3000));
    }

    pub(crate) fn ranked(&self, stream: id::Fingerprint, count: usize) -> Vec<usize> {
        let gateways = self.gateways[..self.joined].iter().enumerate();
        let mut members: Vec<_> = gateways
            .map(|(index, g)| Member {
                index,
                name: g.name.clone(),
                data_centre: g.data_centre.clone(),
            })
            .collect();
        homes::rank(&mut members, stream, candidate, |m| &m.data_centre);
        members.iter().take(count).map(|m| m.index).collect()
    }

    /// Lets each gateway read the list of targets from the store, or from a peer that has it.
    fn read_listings(&mut self) {
        let now = self.now;
        let store_up = self.store_until <= now;
        let direct: Vec<_> = self.gateways[..self.joined]
            .iter()
            .map(|g| store_up && g.reaches_peers(now) && g.refused_until <= now)
            .collect();
        let any = direct.contains(&true);
        for (i, gateway) in self.gateways[..self.joined].iter_mut().enumerate() {
            let can_read = direct[i] || any && gateway.reaches_peers(now);
            let is_due = gateway.read_at + LISTING_INTERVAL <= now;
            if !can_read || !is_due {
                continue;
            }
            gateway.read_at = now;
            gateway.listed = self.targets.clone();
            let listed: Vec<_> = self
                .targets
                .iter()
                .map(|t| (service(), Some(version(t.version))))
                .collect();
            let listed = listed.iter().map(|(service, version)| (service, version));
            gateway.history.record_listing(listed, boot(now));
            if direct[i] && (!gateway.has_notes || gateway.history.has_gap()) {
                gateway.has_notes = true;
                if let Some(noted) = &self.notes {
                    let noted: Vec<_> = noted.iter().map(|n| Some(version(*n))).collect();
                    gateway.history.add_noted(&service(), &noted, boot(now));
                }
                gateway.history.record_notes_read(boot(now));
            }
        }
    }

    /// Lets each gateway correct the note when its delay has passed.
    fn write_notes(&mut self) {
        let now = self.now;
        let store_up = self.store_until <= now;
        for (i, gateway) in self.gateways[..self.joined].iter_mut().enumerate() {
            let corrections = gateway.history.corrections(boot(now));
            let reached = store_up && gateway.reaches_peers(now) && gateway.refused_until <= now;
            let Some(correction) = corrections.first().filter(|_| reached && gateway.has_notes)
            else {
                gateway.note_due = None;
                continue;
            };
            let delay = (300 * i as u64).min(3000);
            if *gateway.note_due.get_or_insert(now + delay) > now {
                continue;
            }
            let noted = self.notes.get_or_insert_default();
            let numbers = |versions: &[Option<id::SoftwareVersion>]| -> Vec<usize> {
                let versions = versions.iter().flatten();
                versions.map(number).collect()
            };
            for gone in numbers(&correction.gone) {
                noted.remove(&gone);
            }
            noted.extend(numbers(&correction.missing));
            let noted: Vec<_> = noted.iter().map(|n| Some(version(*n))).collect();
            gateway.history.add_noted(&service(), &noted, boot(now));
            for gone in &correction.gone {
                gateway.history.remove_noted(&service(), gone);
            }
        }
    }

    /// Lets gateways that need it ask others what they have seen.
    fn ask_versions(&mut self) {
        let now = self.now;
        for i in 0..self.joined {
            let asks = self.gateways[i].reaches_peers(now)
                && self.gateways[i].history.needs_peers(boot(now));
            if !asks {
                continue;
            }
            for peer in 0..self.joined.min(5) {
                if peer == i || !self.gateways[peer].reaches_peers(now) {
                    continue;
                }
                let summary = self.gateways[peer].history.summary(boot(now));
                self.gateways[i].history.merge(&summary, boot(now));
            }
        }
    }

    fn begin_streams(&mut self) {
        let count = match self.knobs {
            Some(_) => 1,
            None => 2,
        };
        for _ in 0..count {
            let i = self.rng.random_range(0..self.joined);
            if !self.gateways[i].runs(self.now) {
                continue;
            }
            let avoided = self.gateways[i].history.not_noted(&service());
            let mut live = self.live_targets(i, None);
            let is_preferred = |t: &Target| !avoided.contains(&version(t.version));
            if live.iter().any(is_preferred) {
                live.retain(is_preferred);
            }
            if self.has_usage {
                self.retain_noted(i, &mut live);
            }
            if live.is_empty() {
                continue;
            }
            let target = live[self.rng.random_range(0..live.len())].clone();
            let begun = Begun {
                stream: id::Fingerprint(self.rng.random()),
                origin: target.origin(),
                age: unit::Period::default(),
            };
            let now = boot(self.now);
            self.gateways[i].records.insert(begun.clone(), now);
            for home in self.ranked(begun.stream, homes::HOMES) {
                let reached = self.gateways[i].reaches_peers(self.now)
                    && self.gateways[home].reaches_peers(self.now);
                if reached {
                    self.gateways[home].records.insert(begun.clone(), now);
                }
            }
            self.gateways[i].writer.unjournaled.push(begun.stream);
            let wait = match self.knobs {
                Some(_) => self.search.random_range(STEP..12_000),
                None => self.rng.random_range(STEP..4000),
            };
            self.streams.push(Stream {
                id: begun.stream,
                version: target.version,
                returns: self.now + wait,
                unnoted: self.has_usage && !self.has_noted(i, target.version),
            });
        }
    }

    /// Returns the listed targets that live, and that may go on with a stream.
    fn live_targets(&self, i: usize, origin: Option<&Origin>) -> Vec<Target> {
        let listed = self.gateways[i].listed.iter();
        let allowed = listed.filter(|t| origin.is_none_or(|o| o.allows(&t.origin())));
        let live = allowed.filter(|t| t.is_used() && self.targets.iter().any(|l| l.name == t.name));
        live.cloned().collect()
    }

    fn take_up_streams(&mut self) {
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|s: &Stream| s.returns <= now);
        self.streams = waiting;
        for stream in due {
            let i = self.rng.random_range(0..self.joined);
            if !self.gateways[i].runs(now) {
                continue;
            }
            let evidence = self.follows(i, stream.id, stream.version);
            let able = self.can_go_on(i, &stream) && (self.knobs.is_none() || evidence.is_some());
            let evidence = evidence.unwrap_or("none");
            let (chosen, source) = self.go_on(i, &stream);
            self.outcome.taken_up += 1;
            self.outcome.able += usize::from(able);
            let counts = self.outcome.evidence.entry(evidence).or_default();
            counts.0 += usize::from(able);
            let Some(target) = chosen else {
                continue;
            };
            *self.outcome.sources.entry(source).or_default() += 1;
            match target.version == stream.version {
                true => {
                    counts.1 += usize::from(able);
                    self.outcome.went_on += usize::from(able);
                }
                false if stream.unnoted => self.outcome.mixed_unnoted += 1,
                false => self.outcome.mixed += 1,
            }
        }
    }

    /// Returns whether nothing prevents that a stream goes on at a gateway.
    fn can_go_on(&self, i: usize, stream: &Stream) -> bool {
        let now = self.now;
        let serving = self
            .targets
            .iter()
            .filter(|t| t.version == stream.version && t.is_used() && t.since + SETTLED <= now);
        serving.count() >= 2 && self.gateways[i].is_calm(now) && self.store_until + SETTLED <= now
    }

    /// Returns the target at which a stream goes on, and what told its version.
    fn go_on(&mut self, i: usize, stream: &Stream) -> (Option<Target>, &'static str) {
        let (origin, source) = match self.choice {
            Choice::AnyTarget => (None, "any"),
            Choice::ByOrigin => match self.resolve(i, stream) {
                Some((origin, source)) => (Some(origin), source),
                None => return (None, "none"),
            },
        };
        let live = self.live_targets(i, origin.as_ref());
        match live.is_empty() {
            true => (None, source),
            false => {
                let chosen = live[self.rng.random_range(0..live.len())].clone();
                (Some(chosen), source)
            }
        }
    }

    fn resolve(&self, i: usize, stream: &Stream) -> Option<(Origin, &'static str)> {
        let now = boot(self.now);
        let own = &self.gateways[i];
        let told_by = |g: &Gateway| vec![g.history.told(&service(), now)];
        let asked = self.asked(i, self.ranked(stream.id, homes::ASKED));
        let reached = asked.iter().copied().filter(|peer| {
            own.reaches_peers(self.now) && self.gateways[*peer].reaches_peers(self.now)
        });
        let reached: Vec<_> = reached.collect();
        let peers = reached.iter().map(|peer| &self.gateways[*peer]);
        let recorded = own.records.find(stream.id, now);
        let told = peers.clone().find_map(|g| g.records.find(stream.id, now));
        let source = match (&recorded, &told) {
            (Some(_), _) if own.writer.read.contains(&stream.id) => "journal",
            (Some(_), _) => "own",
            _ => "peers",
        };
        let begun = recorded.or(told);
        let peers: Vec<_> = peers.map(told_by).collect();
        let evidence = Evidence {
            begun: begun.as_ref(),
            own: &[own.history.known(&service(), now)],
            fresh: own.history.is_fresh(now),
            peers: &peers,
            has_peers: !asked.is_empty(),
            possible: &self.possible(i, &reached),
        };
        let source = match evidence.decide() {
            Decision::Recorded(begun) => return Some((begun.origin, source)),
            Decision::Unknown => return None,
            Decision::Sole(version) => (version, "sole"),
            Decision::Used(version) => (version, "usage"),
        };
        let origin = Origin {
            service: service(),
            version: Some(source.0),
            target: None,
        };
        Some((origin, source.1))
    }
}

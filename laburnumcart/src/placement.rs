//! Choice of the model engine for a prompt.
//!
//! What counts is the time to the first token: prompts that are queued, the part of this prompt
//! that the engine has not cached, and where the inputs lie. The same session goes to the same
//! engine from every instance, without a word between them: a rendezvous hash names its home.

use std::{
    collections,
    time, //
};

use slotmap::SlotMap;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use crate::{
    id,
    ingress,
    quota,
    unit, //
};

slotmap::new_key_type! {
    /// A model engine.
    pub struct EngineKey;
}

/// Prompt tokens that an engine reads in a millisecond; only ratios to the other costs matter.
const TOKENS_PER_MS: f64 = 50.0;

/// What moving a mebibyte of inputs between data centres is worth in milliseconds.
///
/// Bytes between data centres are paid for.
const CROSSING_MS_PER_MIB: f64 = 20.0;

/// Share of the time to read a shared part that its home is ahead.
///
/// Other instances send the session there as well, of which this one knows nothing.
const HOME: f64 = 1.0;

/// The same share where the home gives the first token well before it is late.
///
/// A session that moves has its shared part read once more by another engine, and again by the next
/// one when it moves back.
const HOME_TIMELY: f64 = 3.0;

/// Share of the time until the first token is late within which the home must give it for that.
///
/// The rest is left for what is not known of the engine's load.
const HOME_SHARE: f64 = 0.5;

/// Cost of one request that waits at an engine, in milliseconds.
const WAITING_MS: f64 = 60.0;

/// Cost of one request that runs there: each token takes a little longer.
const RUNNING_MS: f64 = 2.0;

/// How long a report of load is believed.
const REPORT_TTL: time::Duration = time::Duration::from_secs(1);

/// How long a part that was read is held to be cached.
const CACHED_TTL: time::Duration = time::Duration::from_secs(30);

/// First time that an engine is avoided after a failure; it doubles with each failure in a row.
const PAUSE: time::Duration = time::Duration::from_millis(250);

/// Longest time that an engine is avoided.
const PAUSE_MAX: time::Duration = time::Duration::from_secs(2);

/// A part of a prompt, shared by all prompts that begin with the same parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identity.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// What is to be placed.
#[derive(Clone, Debug, Default)]
pub struct Request<'a> {
    /// Parts of the prompt in order; the last one belongs to this request alone.
    pub parts: &'a [Part],
    /// Tokens of the whole prompt and its answer.
    pub tokens: u64,
    /// Inputs by the data centre where they lie.
    pub inputs: &'a [(id::DataCentre, unit::Size)],
    /// Engines that have failed the request.
    pub avoid: &'a [EngineKey],
    /// Time until the first token is late.
    pub slack: time::Duration,
}

/// Load as an engine reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

#[derive(Clone, Debug)]
struct Engine {
    hash: u64,
    data_centre: id::DataCentre,
    /// Own requests that run there.
    running: u32,
    /// Tokens of own prompts without a first token yet.
    pending: u64,
    report: Option<(Report, Instant)>,
    /// Prefixes that own requests have read there, by the hash of all their parts.
    cached: collections::HashMap<u64, Instant>,
    failed: u32,
    paused: Option<Instant>,
    /// Own requests sent there.
    gate: quota::Limiter,
}

/// Place of a request at an engine, until [`Engines::record_end`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Engine.
    pub engine: EngineKey,
    /// Tokens that it has to read.
    pub uncached_tokens: u64,
}

/// The model engines of one service.
///
/// ```
/// use laburnumcart::{ingress, placement};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut fleet = placement::Engines::new(ingress::Engine { slots: 64, tokens: 400_000 });
/// fleet.add("engine-1", "north".parse().unwrap());
/// fleet.add("engine-2", "south".parse().unwrap());
/// let parts = [placement::Part { id: 1, tokens: 6000 }, placement::Part { id: 2, tokens: 100 }];
/// let ask = placement::Request { parts: &parts, tokens: 6100, ..Default::default() };
/// let first = fleet.choose(&ask, now).unwrap();
/// fleet.record_sent(&ask, first, now);
/// fleet.record_first_token(first);
/// assert_eq!(fleet.choose(&ask, now).unwrap().engine, first.engine);
/// ```
#[derive(Clone, Debug)]
pub struct Engines {
    limits: ingress::Engine,
    engines: SlotMap<EngineKey, Engine>,
}

impl Engines {
    /// Creates a fleet without engines.
    pub fn new(limits: ingress::Engine) -> Self {
        Self {
            limits,
            engines: SlotMap::with_key(),
        }
    }

    /// Adds an engine; `name` decides which sessions have their home there.
    pub fn add(&mut self, name: &str, data_centre: id::DataCentre) -> EngineKey {
        self.engines.insert(Engine {
            hash: xxh3::xxh3_64(name.as_bytes()),
            data_centre,
            running: 0,
            pending: 0,
            report: None,
            cached: collections::HashMap::new(),
            failed: 0,
            paused: None,
            gate: quota::Limiter::default(),
        })
    }

    /// Holds the requests for an engine to what its gate lets through.
    pub fn set_limiter(&mut self, key: EngineKey, gate: quota::Limiter) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.gate = gate;
        }
    }

    /// Removes an engine.
    pub fn remove(&mut self, key: EngineKey) {
        self.engines.remove(key);
    }

    /// Reports whether there is no engine.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns the data centre where the inputs of a prompt are best made.
    pub fn preferred_data_centre(&self, parts: &[Part], now: Instant) -> Option<id::DataCentre> {
        let home = self.home(parts, now)?;
        Some(self.engines[home].data_centre.clone())
    }

    /// Chooses an engine; `None` when all have failed the request or have had their quota.
    ///
    /// One that is avoided is still used where there is no other, but none beyond its quota: it
    /// would crash, and all that it runs with it.
    pub fn choose(&self, ask: &Request<'_>, now: Instant) -> Option<Assignment> {
        let home = self.home(ask.parts, now);
        let fits = |key: EngineKey, e: &Engine| !ask.avoid.contains(&key) && e.gate.can_send(now);
        let fitting = self.engines.iter().filter(|(key, e)| fits(*key, e));
        let open = fitting.clone().filter(|(_, e)| !is_paused(e, now));
        let costs = open.map(|(key, e)| (key, self.cost(ask, e, home == Some(key), now)));
        let best = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
        let any = || fitting.map(|(key, _)| key).next();
        let engine = best.map(|(key, _)| key).or_else(any)?;
        let missing = missing(&self.engines[engine], ask.parts, now);
        Some(Assignment {
            engine,
            uncached_tokens: missing,
        })
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, ask: &Request<'_>, place: Assignment, now: Instant) {
        let Some(engine) = self.engines.get_mut(place.engine) else {
            return;
        };
        engine.gate.record_send(now);
        engine.running += 1;
        engine.pending += place.uncached_tokens;
        engine
            .cached
            .retain(|_, at| now.saturating_duration_since(*at) < CACHED_TTL);
        for (hash, _) in prefixes(ask.parts) {
            engine.cached.insert(hash, now);
        }
    }

    /// Records that the prompt was read.
    pub fn record_first_token(&mut self, place: Assignment) {
        if let Some(engine) = self.engines.get_mut(place.engine) {
            engine.pending = engine.pending.saturating_sub(place.uncached_tokens);
            engine.failed = 0;
        }
    }

    /// Records that a request has ended; `read` says whether its prompt had been read.
    pub fn record_end(&mut self, place: Assignment, read: bool) {
        let Some(engine) = self.engines.get_mut(place.engine) else {
            return;
        };
        engine.running = engine.running.saturating_sub(1);
        if !read {
            engine.pending = engine.pending.saturating_sub(place.uncached_tokens);
        }
    }

    /// Records that an engine failed a request, and avoids it for a while.
    pub fn record_failure(&mut self, key: EngineKey, now: Instant) {
        if let Some(engine) = self.engines.get_mut(key) {
            let pause = PAUSE * (1 << engine.failed.min(6));
            engine.failed += 1;
            engine.paused = Some(now + pause.min(PAUSE_MAX));
            engine.cached.clear();
        }
    }

    /// Records an engine's own report.
    pub fn record_report(&mut self, key: EngineKey, report: Report, now: Instant) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.report = Some((report, now));
        }
    }

    /// Returns the engine that a session's requests go to from every instance.
    fn home(&self, parts: &[Part], now: Instant) -> Option<EngineKey> {
        let (session, _) = prefixes(shared(parts)).last()?;
        let rank = |e: &Engine| xxh3::xxh3_64_with_seed(&e.hash.to_le_bytes(), session);
        let is_home = |e: &Engine| !is_paused(e, now) && e.gate.can_send(now);
        let open = self.engines.iter().filter(|(_, e)| is_home(e));
        open.max_by_key(|(_, e)| rank(e)).map(|(key, _)| key)
    }

    /// Reports whether an engine gives the first token well before it is late.
    fn is_timely(&self, ask: &Request<'_>, engine: &Engine, now: Instant) -> bool {
        let unread = missing(engine, ask.parts, now) + engine.pending;
        let wait = self.load(engine, now) + unread as f64 / TOKENS_PER_MS;
        wait <= ask.slack.as_secs_f64() * 1e3 * HOME_SHARE
    }

    /// Returns what an engine's load costs a request in milliseconds.
    fn load(&self, engine: &Engine, now: Instant) -> f64 {
        let report = engine.report.filter(|(_, at)| now < *at + REPORT_TTL);
        let (report, _) = report.unwrap_or((
            Report {
                running: 0,
                waiting: 0,
            },
            now,
        ));
        let running = report.running.max(engine.running);
        let full = f64::from(running) / self.limits.slots.max(1) as f64;
        f64::from(report.waiting) * WAITING_MS
            + f64::from(running) * RUNNING_MS
            + if full > 0.9 { 1000.0 * full } else { 0.0 }
    }

    /// Returns the cost of an engine in milliseconds.
    fn cost(&self, ask: &Request<'_>, engine: &Engine, home: bool, now: Instant) -> f64 {
        let load = self.load(engine, now);
        let unread = missing(engine, ask.parts, now) + engine.pending;
        let known: u64 = shared(ask.parts).iter().map(|p| p.tokens).sum();
        let weight = match home {
            true if self.is_timely(ask, engine, now) => HOME_TIMELY,
            true => HOME,
            false => 0.0,
        };
        let ahead = weight * known as f64 / TOKENS_PER_MS;
        let far = ask
            .inputs
            .iter()
            .filter(|(place, _)| *place != engine.data_centre);
        let moved: u64 = far.map(|(_, size)| size.0).sum();
        let moved = moved as f64 / f64::from(1 << 20) * CROSSING_MS_PER_MIB;
        load + unread as f64 / TOKENS_PER_MS + moved - ahead
    }
}

/// Returns the parts that other prompts may begin with as well.
fn shared(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(parts, |(_, shared)| shared)
}

/// Lists the prefixes of a prompt as hash and length of their last part.
fn prefixes(parts: &[Part]) -> impl Iterator<Item = (u64, u64)> {
    parts.iter().scan(0, |hash, part| {
        *hash = xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), *hash);
        Some((*hash, part.tokens))
    })
}

/// Returns the tokens that an engine would have to read.
fn missing(engine: &Engine, parts: &[Part], now: Instant) -> u64 {
    let is_cached = |hash: &u64| {
        let at = engine.cached.get(hash);
        at.is_some_and(|at| now.saturating_duration_since(*at) < CACHED_TTL)
    };
    let unread = prefixes(parts).skip_while(|(hash, _)| is_cached(hash));
    unread.map(|(_, tokens)| tokens).sum()
}

fn is_paused(engine: &Engine, now: Instant) -> bool {
    engine.paused.is_some_and(|at| at > now)
}

//! Placement of prompts on model engines, with affinity for cached prefixes.
//!
//! The cost of an engine approximates the time to the first token: queued prompts, the uncached
//! tokens of this prompt, and the transfer of its inputs. Every instance sends a session to the
//! same engine without coordination: the one that a rendezvous hash of the shared prefix selects.

mod ranking;
mod speeds;

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
    pace,
    quota,
    speed,
    unit, //
};

pub use self::ranking::Candidate;

slotmap::new_key_type! {
    /// Key of a model engine.
    pub struct EngineKey;
}

/// Prefill speed in tokens per millisecond; only its ratio to the other costs matters.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Cost of moving inputs between data centres, in milliseconds per mebibyte.
///
/// Traffic between data centres is billed.
const TRANSFER_MS_PER_MIB: f64 = 20.0;

/// Cost advantage of the affinity engine, as a multiple of the prefill time of the shared prefix.
///
/// Other instances send the session there as well, so the prefix may be cached although this
/// instance has not seen it.
const AFFINITY: f64 = 1.0;

/// The same multiple if the affinity engine should give the first token well within the slack.
///
/// A session that moves has its prefix prefilled by another engine, and once more when it moves
/// back.
const AFFINITY_ON_TIME: f64 = 3.0;

/// Least part of a prompt that counts as its shared prefix while engines are chosen by their speed.
///
/// An instance hears from each engine only every few seconds. Without preferred engines, all
/// instances would send to the same fast engines, and none to the slow ones.
const AFFINITY_SHARE_MIN: f64 = 0.25;

/// Share of the slack within which the first token must be expected for that.
///
/// The rest allows for load of the engine that is not known here.
const ON_TIME_SHARE: f64 = 0.5;

/// Cost of each request that waits at an engine, in milliseconds.
const WAITING_MS: f64 = 60.0;

/// Cost of each running request, which slows down every token, in milliseconds.
const RUNNING_MS: f64 = 2.0;

/// Time for which a load report is valid.
const REPORT_TTL: time::Duration = time::Duration::from_secs(1);

/// Time for which a prefilled prefix is assumed to stay cached.
const CACHED_TTL: time::Duration = time::Duration::from_secs(30);

/// Pause of an engine after its first failure; it doubles with each failure in a row.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Longest pause of an engine.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(2);

/// Part of a prompt; prompts that start with the same parts share their cached prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identity of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Request to be placed on an engine.
#[derive(Clone, Debug, Default)]
pub struct Request<'a> {
    /// Parts of the prompt in order; the last one is specific to this request.
    pub parts: &'a [Part],
    /// Tokens of the prompt and its answer.
    pub tokens: u64,
    /// Size of the inputs in each data centre.
    pub inputs: &'a [(id::DataCentre, unit::Size)],
    /// Engines that have failed the request.
    pub avoid: &'a [EngineKey],
    /// Time within which the first token counts as on time.
    pub slack: time::Duration,
}

/// Load report of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

#[derive(Clone, Debug)]
struct Engine {
    name_hash: u64,
    data_centre: id::DataCentre,
    /// Requests of this instance that run on the engine.
    running: u32,
    /// Uncached tokens of this instance's prompts that have no first token yet.
    pending_tokens: u64,
    report: Option<(Report, Instant)>,
    /// Time of the last request of this instance for each prefix, by the hash of all its parts.
    cached: collections::HashMap<u64, Instant>,
    /// Failures in a row.
    failures: u32,
    paused_until: Option<Instant>,
    /// Limits the requests of this instance.
    limiter: quota::Limiter,
    speed: speed::Estimate,
    /// Limits the requests in flight after a start of the engine.
    pace: pace::Shared,
}

/// Engine assigned to a request, until [`Engines::record_end`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Assigned engine.
    pub engine: EngineKey,
    /// Prompt tokens that the engine has to prefill.
    pub uncached_tokens: u64,
    /// Time to the first token that is expected at an engine of the usual speed.
    pub expected: time::Duration,
}

/// The model engines of one service.
///
/// ```
/// use laburnumcart::{ingress, placement};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut engines = placement::Engines::new(ingress::Engine { slots: 64, tokens: 400_000 });
/// engines.add("engine-1", "north".parse().unwrap());
/// engines.add("engine-2", "south".parse().unwrap());
/// let parts = [placement::Part { id: 1, tokens: 6000 }, placement::Part { id: 2, tokens: 100 }];
/// let request = placement::Request { parts: &parts, tokens: 6100, ..Default::default() };
/// let first = engines.choose(&request, now).unwrap();
/// engines.record_sent(&request, first, now);
/// engines.record_first_token(first);
/// assert_eq!(engines.choose(&request, now).unwrap().engine, first.engine);
/// ```
#[derive(Clone, Debug)]
pub struct Engines {
    limits: ingress::Engine,
    engines: SlotMap<EngineKey, Engine>,
    speed: speed::Service,
}

impl Engines {
    /// Creates an empty set of engines with the same limits.
    pub fn new(limits: ingress::Engine) -> Self {
        Self {
            limits,
            engines: SlotMap::with_key(),
            speed: speed::Service::default(),
        }
    }

    /// Adds an engine; sessions have affinity for it by the hash of `name`.
    pub fn add(&mut self, name: &str, data_centre: id::DataCentre) -> EngineKey {
        self.engines.insert(Engine {
            name_hash: xxh3::xxh3_64(name.as_bytes()),
            data_centre,
            running: 0,
            pending_tokens: 0,
            report: None,
            cached: collections::HashMap::new(),
            failures: 0,
            paused_until: None,
            limiter: quota::Limiter::default(),
            speed: speed::Estimate::default(),
            pace: pace::Shared::default(),
        })
    }

    /// Sets the rate limiter for requests to an engine.
    pub fn set_limiter(&mut self, key: EngineKey, limiter: quota::Limiter) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.limiter = limiter;
        }
    }

    /// Sets the pace of an engine.
    pub fn set_pace(&mut self, key: EngineKey, pace: pace::Shared) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.pace = pace;
        }
    }

    /// Removes an engine.
    pub fn remove(&mut self, key: EngineKey) {
        self.engines.remove(key);
    }

    /// Reports whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns the data centre of the affinity engine, where a prompt's inputs should be produced.
    pub fn preferred_data_centre(&self, parts: &[Part], now: Instant) -> Option<id::DataCentre> {
        let engine = self.affinity_engine(parts, now)?;
        Some(self.engines[engine].data_centre.clone())
    }

    /// Chooses an engine; `None` if all have failed the request or have used up their quota.
    ///
    /// A paused engine is used if there is no other, but no engine beyond its quota: overload would
    /// crash it together with all requests that it runs. One that has just started gets more than
    /// its pace allows only if no other engine is left.
    pub fn choose(&self, request: &Request<'_>, now: Instant) -> Option<Assignment> {
        let affine = self.affinity_engine(request.parts, now);
        let fits =
            |key: EngineKey, e: &Engine| !request.avoid.contains(&key) && e.limiter.can_send(now);
        let fitting = self.engines.iter().filter(|(key, e)| fits(*key, e));
        let active = fitting.clone().filter(|(_, e)| !is_paused(e, now));
        let paced = active
            .clone()
            .filter(|(_, e)| e.pace.can_send(e.running, now));
        let cost = |(key, e)| (key, self.cost_ms(request, e, affine == Some(key), now));
        let cheapest = |a: &(EngineKey, f64), b: &(EngineKey, f64)| a.1.total_cmp(&b.1);
        let best = paced.map(cost).min_by(cheapest);
        let best = best.or_else(|| active.map(cost).min_by(cheapest));
        let any = || fitting.map(|(key, _)| key).next();
        let engine = best.map(|(key, _)| key).or_else(any)?;
        let chosen = &self.engines[engine];
        let expected = self.usual_ms(request, chosen, now) / 1e3;
        Some(Assignment {
            engine,
            uncached_tokens: uncached_tokens(chosen, request.parts, now),
            expected: time::Duration::from_secs_f64(expected),
        })
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, request: &Request<'_>, assignment: Assignment, now: Instant) {
        let Some(engine) = self.engines.get_mut(assignment.engine) else {
            return;
        };
        engine.limiter.record_send(now);
        engine.running += 1;
        engine.pending_tokens += assignment.uncached_tokens;
        engine
            .cached
            .retain(|_, at| now.saturating_duration_since(*at) < CACHED_TTL);
        for (hash, _) in prefixes(request.parts) {
            engine.cached.insert(hash, now);
        }
    }

    /// Records that the first token of a request has arrived.
    pub fn record_first_token(&mut self, assignment: Assignment) {
        if let Some(engine) = self.engines.get_mut(assignment.engine) {
            engine.pending_tokens = engine
                .pending_tokens
                .saturating_sub(assignment.uncached_tokens);
            engine.failures = 0;
        }
    }

    /// Records that a request has ended; `had_token` if [`Engines::record_first_token`] was called.
    pub fn record_end(&mut self, assignment: Assignment, had_token: bool) {
        let Some(engine) = self.engines.get_mut(assignment.engine) else {
            return;
        };
        engine.running = engine.running.saturating_sub(1);
        if !had_token {
            engine.pending_tokens = engine
                .pending_tokens
                .saturating_sub(assignment.uncached_tokens);
        }
    }

    /// Records that an engine failed a request, and pauses it.
    pub fn record_failure(&mut self, key: EngineKey, now: Instant) {
        if let Some(engine) = self.engines.get_mut(key) {
            let pause = FIRST_PAUSE * (1 << engine.failures.min(6));
            engine.failures += 1;
            engine.paused_until = Some(now + pause.min(LONGEST_PAUSE));
            engine.cached.clear();
        }
    }

    /// Records a load report of an engine.
    pub fn record_report(&mut self, key: EngineKey, report: Report, now: Instant) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.report = Some((report, now));
        }
    }

    /// Returns the engine that all instances prefer for prompts with the same shared prefix.
    fn affinity_engine(&self, parts: &[Part], now: Instant) -> Option<EngineKey> {
        let is_weighted = self.speed.is_active();
        let whole = || prefixes(parts).last().filter(|_| is_weighted);
        let (prefix, _) = prefixes(shared(parts)).last().or_else(whole)?;
        let rank = |e: &Engine| xxh3::xxh3_64_with_seed(&e.name_hash.to_le_bytes(), prefix);
        let is_available = |e: &Engine| !is_paused(e, now) && e.limiter.can_send(now);
        let available = self.engines.iter().filter(|(_, e)| is_available(e));
        if !is_weighted {
            return available.max_by_key(|(_, e)| rank(e)).map(|(key, _)| key);
        }
        // Rendezvous hashing with the weight 1 / factor: each engine is preferred for a part of
        // the prefixes that is proportional to its weight.
        let score = |e: &Engine| {
            let uniform = (rank(e) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            uniform.ln() * self.speed.affinity_factor(&e.speed)
        };
        let scores = available.map(|(key, e)| (key, score(e)));
        let best = scores.max_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(key, _)| key)
    }

    /// Returns the expected time to the first token at an engine of the usual speed in
    /// milliseconds.
    fn usual_ms(&self, request: &Request<'_>, engine: &Engine, now: Instant) -> f64 {
        let prefill = uncached_tokens(engine, request.parts, now) + engine.pending_tokens;
        self.load_ms(engine, now) + prefill as f64 / PREFILL_TOKENS_PER_MS
    }

    /// Returns the multiple of the prefill time of the shared prefix by which the affinity engine
    /// is preferred if its first token is expected after `wait_ms`.
    fn affinity_weight(&self, request: &Request<'_>, wait_ms: f64) -> f64 {
        let wait_ms = wait_ms * self.speed.scale();
        let slack_ms = request.slack.as_secs_f64() * 1e3;
        if wait_ms <= slack_ms * ON_TIME_SHARE {
            return AFFINITY_ON_TIME;
        }
        // Without speeds, the expected time is too coarse to conclude that the engine is too slow.
        match self.speed.is_active() && wait_ms > slack_ms {
            true => 0.0,
            false => AFFINITY,
        }
    }

    /// Returns the tokens of a prompt for which its affinity engine is preferred.
    fn affinity_tokens(&self, parts: &[Part]) -> f64 {
        let count = |parts: &[Part]| parts.iter().map(|p| p.tokens).sum::<u64>() as f64;
        let least = match self.speed.is_active() {
            true => AFFINITY_SHARE_MIN * count(parts),
            false => 0.0,
        };
        count(shared(parts)).max(least)
    }

    /// Returns the cost of an engine's load in milliseconds.
    fn load_ms(&self, engine: &Engine, now: Instant) -> f64 {
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

    /// Returns the cost of an engine for a request in milliseconds.
    fn cost_ms(
        &self,
        request: &Request<'_>,
        engine: &Engine,
        is_affine: bool,
        now: Instant,
    ) -> f64 {
        let usual_ms = self.usual_ms(request, engine, now);
        let factor = self.speed.learned_factor(&engine.speed);
        let weight = match is_affine {
            true => self.affinity_weight(request, usual_ms * factor),
            false => 0.0,
        };
        let affinity = weight * self.affinity_tokens(request.parts) / PREFILL_TOKENS_PER_MS;
        let remote = request
            .inputs
            .iter()
            .filter(|(data_centre, _)| *data_centre != engine.data_centre);
        let moved: u64 = remote.map(|(_, size)| size.0).sum();
        let transfer = moved as f64 / f64::from(1 << 20) * TRANSFER_MS_PER_MIB;
        factor * (usual_ms - affinity) + transfer
    }
}

/// Returns the parts that other prompts may have as well: all but the last one.
pub fn shared(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(parts, |(_, shared)| shared)
}

/// Lists the prefixes of a prompt: the hash of all their parts and the length of the last one.
fn prefixes(parts: &[Part]) -> impl Iterator<Item = (u64, u64)> {
    parts.iter().scan(0, |hash, part| {
        *hash = xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), *hash);
        Some((*hash, part.tokens))
    })
}

/// Returns the prompt tokens that an engine would have to prefill.
fn uncached_tokens(engine: &Engine, parts: &[Part], now: Instant) -> u64 {
    let is_cached = |hash: &u64| {
        let at = engine.cached.get(hash);
        at.is_some_and(|at| now.saturating_duration_since(*at) < CACHED_TTL)
    };
    let uncached = prefixes(parts).skip_while(|(hash, _)| is_cached(hash));
    uncached.map(|(_, tokens)| tokens).sum()
}

/// Returns the last load report, unless it is too old.
fn valid_report(engine: &Engine, now: Instant) -> Option<Report> {
    let (report, at) = engine.report?;
    (now < at + REPORT_TTL).then_some(report)
}

fn is_paused(engine: &Engine, now: Instant) -> bool {
    engine.paused_until.is_some_and(|at| at > now)
}

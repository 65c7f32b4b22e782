//! Engines in the order in which a request would be placed on them.

use std::time;

use tokio::time::Instant;

use crate::placement::{
    Engine,
    EngineKey,
    Engines,
    Report,
    Request,
    uncached_tokens,
    valid_report, //
};

/// Engine that can get a request, with the figures that decide; see [`Engines::rank`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineKey,
    /// Cost of placing the request there, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens that the engine would have to prefill.
    pub uncached_tokens: u64,
    /// Requests of this instance that run on the engine.
    pub running: u32,
    /// Load report, if there is a valid one.
    pub report: Option<Report>,
    /// Whether all instances prefer the engine for the shared prefix.
    pub is_affine: bool,
    /// Time left of the pause after a failure.
    pub paused: Option<time::Duration>,
}

impl Engines {
    /// Returns the engines that can get a request, in the order in which [`Engines::choose`] would
    /// choose them.
    ///
    /// Paused engines come last, as they are chosen only if there is no other.
    pub fn rank(&self, request: &Request<'_>, now: Instant) -> Vec<Candidate> {
        let affine = self.affinity_engine(request.parts, now);
        let fits =
            |key: EngineKey, e: &Engine| !request.avoid.contains(&key) && e.limiter.can_send(now);
        let fitting = self.engines.iter().filter(|(key, e)| fits(*key, e));
        let candidates = fitting.map(|(key, engine)| Candidate {
            engine: key,
            cost_ms: self.cost_ms(request, engine, affine == Some(key), now),
            uncached_tokens: uncached_tokens(engine, request.parts, now),
            running: engine.running,
            report: valid_report(engine, now),
            is_affine: affine == Some(key),
            paused: engine
                .paused_until
                .and_then(|at| at.checked_duration_since(now))
                .filter(|left| !left.is_zero()),
        });
        let (mut active, paused): (Vec<_>, Vec<_>) = candidates.partition(|c| c.paused.is_none());
        let is_beyond = |c: &Candidate| !self.engines[c.engine].pace.can_send(c.running, now);
        let by_cost = |a: &Candidate, b: &Candidate| {
            let order = is_beyond(a).cmp(&is_beyond(b));
            order.then(a.cost_ms.total_cmp(&b.cost_ms))
        };
        active.sort_by(by_cost);
        active.extend(paused);
        active
    }
}

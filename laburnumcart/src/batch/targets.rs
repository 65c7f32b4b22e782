//! Targets that execute batches: which is free, how much room it has, how fast it is.

use std::{
    collections,
    time, //
};

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::{
    batch::job::{
        Handle,
        Spec, //
    },
    id,
    ingress,
    quota,
    residency,
    unit, //
};

slotmap::new_key_type! {
    /// A target in the queue.
    pub struct TargetKey;
}

/// First pause of a target whose call failed; it doubles with each failure in a row.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// Longest pause; short beside the seconds in which a crashed target is back.
const PAUSE_MAX: time::Duration = time::Duration::from_millis(1600);

/// Time for which room is taken by results that are not known here, about the time in which the
/// requests that hold them read their inputs.
const UNKNOWN_TTL: time::Duration = time::Duration::from_millis(500);

/// Weight of the newest call in the measured speed.
const WEIGHT: f64 = 0.4;

/// Weight of the newest call in the measured size of calls: about the last second of them counts.
const FILL_WEIGHT: f64 = 0.05;

/// A call that took less than this multiple of its promised time has not waited for its turn.
const STEADY: f64 = 1.3;

/// Part of a call's fixed time after which its inputs have been read.
///
/// They come over links of several gigabits a second, in tens of milliseconds of the usual 200.
const READING: f64 = 0.5;

/// Least time until a call ends whose time is over.
const SOON: time::Duration = time::Duration::from_millis(10);

/// A target this many times slower than promised gets work only when no other is free.
const SLOW: f64 = 2.0;

#[derive(Clone, Debug)]
struct Target {
    data_centre: id::DataCentre,
    /// When the call in progress started, and its pieces.
    call: Option<(Instant, usize)>,
    /// Bytes of results that are reserved or held.
    used: u64,
    /// No call before this moment.
    paused: Option<Instant>,
    /// Failures in a row.
    failed: u32,
    /// Whether the last call was answered, in about the promised time.
    steady: bool,
    /// Time of calls, as a multiple of the promised one.
    pace: f64,
    /// Own calls, and what frees results there.
    gate: quota::Limiter,
}

#[derive(Clone, Debug)]
struct Held {
    engine: TargetKey,
    size: u64,
    expiry: Instant,
}

/// Targets that take calls, added up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Supply {
    count: usize,
    /// Pieces that they do in a second while enough wait.
    pub(super) capacity: f64,
    /// Time until their calls should end.
    busy: time::Duration,
    /// Time until the first of them takes any.
    wait: time::Duration,
}

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct Targets {
    shape: ingress::Batching,
    targets: SlotMap<TargetKey, Target>,
    held: collections::HashMap<Handle, Held>,
    /// Results without a known name, until they expire.
    stranded: Vec<Held>,
    /// Pieces of a call while more wait: all that there is room for.
    fill: f64,
}

impl Targets {
    pub(super) fn new(shape: ingress::Batching) -> Self {
        Self {
            shape,
            targets: SlotMap::with_key(),
            held: collections::HashMap::new(),
            stranded: Vec::new(),
            fill: shape.pieces as f64,
        }
    }

    pub(super) fn set_shape(&mut self, shape: ingress::Batching) {
        self.shape = shape;
    }

    /// Adds a target.
    pub fn add(&mut self, data_centre: id::DataCentre) -> TargetKey {
        self.targets.insert(Target {
            data_centre,
            call: None,
            used: 0,
            paused: None,
            failed: 0,
            steady: false,
            pace: 1.0,
            gate: quota::Limiter::default(),
        })
    }

    /// Holds calls of a target, and requests that free results there, to what its gate lets through.
    pub fn set_limiter(&mut self, key: TargetKey, gate: quota::Limiter) {
        if let Some(engine) = self.targets.get_mut(key) {
            engine.gate = gate;
        }
    }

    /// Removes a target; its results are gone with it or will expire.
    pub fn remove(&mut self, key: TargetKey) {
        self.targets.remove(key);
        self.held.retain(|_, held| held.engine != key);
        self.stranded.retain(|held| held.engine != key);
    }

    /// Returns how long a call of so many pieces should take at a target.
    pub fn expected_call_time(&self, key: TargetKey, pieces: usize) -> time::Duration {
        let pace = self.targets.get(key).map_or(1.0, |e| e.pace.max(1.0));
        self.nominal_call_time(pieces).mul_f64(pace)
    }

    /// Returns how long after its start a call has read its inputs, if that can be told.
    ///
    /// A target reads them when the call's turn comes, and works for the fixed time after that. The
    /// turn comes at once where the last call was answered in time. Behind one that was given up,
    /// or those of another owner of the queue, it may come much later: inputs that were freed then
    /// would be missed, and the whole request would have to begin again.
    pub fn input_read_time(&self, key: TargetKey) -> Option<time::Duration> {
        let engine = self.targets.get(key)?;
        engine.steady.then(|| self.shape.call_time.mul_f64(READING))
    }

    /// Returns when a pause ends, for the next look at the queue.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let paused = self.targets.values().filter_map(|e| e.paused);
        paused.filter(|at| *at > now).min()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Reports whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the bytes of results that are accounted at a target.
    pub fn used_bytes(&self, key: TargetKey) -> unit::Size {
        unit::Size(self.targets.get(key).map_or(0, |e| e.used))
    }

    /// Takes in a call that was made while more waited.
    pub(super) fn filled(&mut self, pieces: usize) {
        self.fill += FILL_WEIGHT * (pieces as f64 - self.fill);
    }

    /// Returns how long a job of `own` pieces takes when as many as `ahead` go before it.
    pub(super) fn outlook(&self, supply: &Supply, ahead: f64, own: usize) -> time::Duration {
        if supply.count == 0 || supply.capacity == 0.0 {
            return time::Duration::MAX;
        }
        let most = self.shape.pieces.max(1);
        let queued = time::Duration::try_from_secs_f64(ahead / supply.capacity);
        let queued = queued.unwrap_or(time::Duration::MAX);
        let waves = own.div_ceil(most).div_ceil(supply.count).max(1) as u32;
        let own = self.nominal_call_time(own.min(most)) * waves;
        queued.saturating_add(supply.wait + supply.busy / supply.count as u32 + own)
    }

    /// Adds up the targets that take calls; where none does, those that will first.
    pub(super) fn supply(&self, now: Instant) -> Supply {
        let supply = self.supply_after(time::Duration::ZERO, now);
        if supply.count > 0 {
            return supply;
        }
        let waits = self.targets.values().map(|e| e.gate.backoff_left(now));
        self.supply_after(waits.min().unwrap_or_default(), now)
    }

    /// Adds up the targets that take calls after a time.
    fn supply_after(&self, wait: time::Duration, now: Instant) -> Supply {
        let fill = self.fill.max(1.0);
        let call = self
            .nominal_call_time(fill as usize)
            .as_secs_f64()
            .max(0.001);
        let mut supply = Supply {
            wait,
            ..Supply::default()
        };
        for engine in self.targets.values() {
            if engine.gate.backoff_left(now) > wait {
                continue;
            }
            // One that has failed may be back; with none counted, all requests would be refused.
            let failed = 0.5f64.powi(engine.failed.min(8) as i32);
            let speed = failed / engine.pace.max(1.0) / call;
            let bound = engine.gate.rate(now).map_or(f64::INFINITY, |rate| rate.0);
            supply.capacity += speed.min(bound) * fill;
            supply.busy += self.left(engine, now);
            supply.count += 1;
        }
        supply
    }

    pub(super) fn free_count(&self, now: Instant) -> usize {
        let free = |e: &&Target| is_free(e, now) && e.pace < SLOW;
        self.targets.values().filter(free).count()
    }

    /// Reports whether any target is free and has room for a result.
    pub(super) fn is_any_free(&self, size: unit::Size, now: Instant) -> bool {
        let mut engines = self.targets.values();
        engines.any(|e| self.has_room(e, size) && is_free(e, now))
    }

    /// Lists the free target with the most room of each data centre.
    pub(super) fn roomiest(&self, now: Instant) -> Vec<TargetKey> {
        let mut least: collections::HashMap<&id::DataCentre, (u64, TargetKey)> =
            collections::HashMap::new();
        for (key, engine) in self.targets.iter().filter(|(_, e)| is_free(e, now)) {
            let best = least.entry(&engine.data_centre);
            let best = best.or_insert((engine.used, key));
            *best = (*best).min((engine.used, key));
        }
        least.into_values().map(|(_, key)| key).collect()
    }

    /// Reports whether a job may be executed at a target.
    pub(super) fn allows(&self, key: TargetKey, spec: &Spec) -> bool {
        let places = spec.places.as_deref();
        let engine = self.targets.get(key);
        engine.is_some_and(|e| residency::is_allowed(places, &e.data_centre))
    }

    pub(super) fn is_far(&self, key: TargetKey, near: Option<&id::DataCentre>) -> bool {
        let engine = self.targets.get(key);
        near.is_some_and(|near| engine.is_some_and(|e| e.data_centre != *near))
    }

    /// Returns the time until a fast target in a data centre with room for a result is free, zero
    /// if one is now. Without such a target there is no time.
    pub(super) fn wait_near(
        &self,
        near: Option<&id::DataCentre>,
        size: unit::Size,
        now: Instant,
    ) -> Option<time::Duration> {
        let is_near = |e: &&Target| near.is_some_and(|near| e.data_centre == *near);
        let fits = |e: &&Target| e.failed == 0 && e.pace < SLOW && self.has_room(e, size);
        let near = self.targets.values().filter(is_near).filter(fits);
        near.filter_map(|e| self.wait(e, now)).min()
    }

    /// Returns the time until a target is free; nobody knows it once a call takes far too long.
    fn wait(&self, engine: &Target, now: Instant) -> Option<time::Duration> {
        let held = engine.gate.wait_time(now);
        if held == time::Duration::MAX {
            return None;
        }
        let Some((start, pieces)) = engine.call else {
            return Some(held);
        };
        let length = self.nominal_call_time(pieces).mul_f64(engine.pace.max(1.0));
        let is_over = now > start + length.mul_f64(STEADY);
        (!is_over).then(|| self.left(engine, now).max(SOON).max(held))
    }

    /// Returns the time until a target should end its call.
    fn left(&self, engine: &Target, now: Instant) -> time::Duration {
        let Some((start, pieces)) = engine.call else {
            return time::Duration::ZERO;
        };
        let end = start + self.nominal_call_time(pieces).mul_f64(engine.pace);
        end.saturating_duration_since(now)
    }

    /// Returns the room for results that is left at a target.
    pub(super) fn room(&self, key: TargetKey) -> unit::Size {
        unit::Size(self.shape.capacity.0.saturating_sub(self.used_bytes(key).0))
    }

    /// Chooses a free target with room for a result: fast ones first, then near ones.
    pub(super) fn choose(
        &self,
        near: Option<&id::DataCentre>,
        size: unit::Size,
        tried: &[TargetKey],
        now: Instant,
    ) -> Option<TargetKey> {
        let fits = |e: &Target| is_free(e, now) && self.has_room(e, size);
        let cost = |e: &Target| {
            let far = near.is_some_and(|near| *near != e.data_centre);
            (e.pace >= SLOW, far, e.used)
        };
        let free = self
            .targets
            .iter()
            .filter(|(key, e)| !tried.contains(key) && fits(e));
        free.min_by_key(|(_, e)| cost(e)).map(|(key, _)| key)
    }

    pub(super) fn reserve(&mut self, key: TargetKey, size: unit::Size) {
        if let Some(engine) = self.targets.get_mut(key) {
            engine.used += size.0;
        }
    }

    pub(super) fn release(&mut self, key: TargetKey, size: unit::Size) {
        if let Some(engine) = self.targets.get_mut(key) {
            engine.used = engine.used.saturating_sub(size.0);
        }
    }

    pub(super) fn start(&mut self, key: TargetKey, pieces: usize, now: Instant) {
        if let Some(engine) = self.targets.get_mut(key) {
            engine.call = Some((now, pieces));
            engine.gate.record_send(now);
        }
    }

    pub(super) fn finish(&mut self, key: TargetKey, pieces: usize, now: Instant) {
        let promised = self.nominal_call_time(pieces).as_secs_f64();
        let Some(engine) = self.targets.get_mut(key) else {
            return;
        };
        let mut steady = false;
        if let Some((start, _)) = engine.call.take() {
            let pace = now.duration_since(start).as_secs_f64() / promised.max(0.001);
            engine.pace += WEIGHT * (pace - engine.pace);
            steady = pace < STEADY;
        }
        engine.failed = 0;
        engine.steady = steady;
        engine.paused = None;
    }

    /// Pauses a target whose call failed.
    pub(super) fn fail(&mut self, key: TargetKey, now: Instant) {
        if let Some(engine) = self.targets.get_mut(key) {
            engine.call = None;
            engine.steady = false;
            let pause = PAUSE * (1 << engine.failed.min(8));
            engine.failed += 1;
            engine.paused = Some(now + pause.min(PAUSE_MAX));
        }
    }

    /// Accounts for room that is taken by more than is known here.
    ///
    /// Sizes are approximate, and results that an earlier owner of the queue had made are unknown.
    /// Without this the next call would send as many pieces in vain.
    pub(super) fn crowd(&mut self, key: TargetKey, size: unit::Size, now: Instant) {
        if let Some(engine) = self.targets.get_mut(key) {
            engine.used += size.0;
            self.stranded.push(Held {
                engine: key,
                size: size.0,
                expiry: now + UNKNOWN_TTL,
            });
        }
    }

    pub(super) fn hold(&mut self, key: TargetKey, handle: &Handle, size: unit::Size, now: Instant) {
        let held = Held {
            engine: key,
            size: size.0,
            expiry: now + self.shape.ttl,
        };
        self.held.insert(handle.clone(), held);
    }

    pub(super) fn strand(&mut self, key: TargetKey, size: unit::Size, now: Instant) {
        self.stranded.push(Held {
            engine: key,
            size: size.0,
            expiry: now + self.shape.ttl,
        });
    }

    /// Reports whether a result is accounted at a target, which keeps it until it expires.
    pub fn has_result(&self, handle: &Handle) -> bool {
        self.held.contains_key(handle)
    }

    pub(super) fn free(&mut self, handle: &Handle) -> Option<TargetKey> {
        let held = self.held.remove(handle)?;
        self.release(held.engine, unit::Size(held.size));
        Some(held.engine)
    }

    pub(super) fn expire(&mut self, now: Instant) {
        let mut ended = Vec::new();
        let mut live = |held: &Held| {
            let expired = held.expiry <= now;
            if expired {
                ended.push(held.clone());
            }
            !expired
        };
        self.held.retain(|_, held| live(held));
        self.stranded.retain(live);
        for held in ended {
            self.release(held.engine, unit::Size(held.size));
        }
    }

    /// Returns how long a call of so many pieces is promised to take.
    pub fn nominal_call_time(&self, pieces: usize) -> time::Duration {
        self.shape.call_time + self.shape.piece_time * pieces as u32
    }

    fn has_room(&self, engine: &Target, size: unit::Size) -> bool {
        // A result larger than all the room is left to the target to refuse.
        engine.used == 0 || engine.used + size.0 <= self.shape.capacity.0
    }
}

fn is_free(engine: &Target, now: Instant) -> bool {
    let is_paused = engine.paused.is_some_and(|at| at > now);
    engine.call.is_none() && !is_paused && engine.gate.can_send(now)
}

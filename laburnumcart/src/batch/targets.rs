//! Targets of a batch queue: which are idle, their room for results and their speed.

mod waits;

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
    /// Key of a target in the queue.
    pub struct TargetKey;
}

/// Pause after the first failed call to a target; it doubles with each failure in a row.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Longest pause; short compared with the seconds that a crashed target takes to restart.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(1600);

/// Time for which room is assumed to be taken by unknown results after a target has reported that
/// it has no room: about as long as the requests that own them need to read their inputs.
const NO_ROOM_TTL: time::Duration = time::Duration::from_millis(500);

/// Weight of the newest call in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.4;

/// Weight of the newest call in the moving average of the batch size: about the last second counts.
const BATCH_SIZE_WEIGHT: f64 = 0.05;

/// Slowdown below which a call has not waited for its turn at the target.
const PROMPT_SLOWDOWN: f64 = 1.3;

/// Share of a call's fixed time after which the target has read its inputs.
///
/// Links of several gigabits per second transfer them in tens of milliseconds; the fixed time is
/// usually 200 ms.
const INPUT_READ_SHARE: f64 = 0.5;

/// Assumed remaining time of a call that is overdue.
const MIN_REMAINING: time::Duration = time::Duration::from_millis(10);

/// Time without an answer after which a call is repeated, as a multiple of its expected time.
const TIMEOUT_FACTOR: f64 = 2.5;

/// Time that is added to this timeout.
const TIMEOUT_EXTRA: time::Duration = time::Duration::from_millis(300);

/// Slowdown from which a target is used only if no other is idle.
const SLOW: f64 = 2.0;

#[derive(Clone, Debug)]
struct Target {
    data_centre: id::DataCentre,
    /// Start time and number of pieces of the call in flight.
    call: Option<(Instant, usize)>,
    /// Bytes of results that are reserved or stored.
    used: u64,
    /// No calls are sent before this time.
    paused_until: Option<Instant>,
    /// Failures in a row.
    failures: u32,
    /// Whether the last call succeeded without having waited for its turn.
    is_prompt: bool,
    /// Moving average of call times, as a multiple of the nominal call time.
    slowdown: f64,
    /// Limits the calls and the requests that free results.
    limiter: quota::Limiter,
}

#[derive(Clone, Debug)]
struct StoredResult {
    target: TargetKey,
    size: u64,
    expiry: Instant,
}

/// Sums over the available targets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Throughput {
    targets: usize,
    /// Pieces per second while enough wait.
    pub(super) rate: f64,
    /// Sum of the remaining times of the calls in flight.
    busy: time::Duration,
    /// Time until any of them accepts calls.
    wait: time::Duration,
}

/// Targets of one service.
#[derive(Clone, Debug)]
pub struct Targets {
    batching: ingress::Batching,
    targets: SlotMap<TargetKey, Target>,
    results: collections::HashMap<Handle, StoredResult>,
    /// Results whose names are unknown.
    unnamed: Vec<StoredResult>,
    /// Mean number of pieces in a call while more wait; room for results limits it.
    batch_size: f64,
}

impl Targets {
    pub(super) fn new(batching: ingress::Batching) -> Self {
        Self {
            batching,
            targets: SlotMap::with_key(),
            results: collections::HashMap::new(),
            unnamed: Vec::new(),
            batch_size: batching.pieces as f64,
        }
    }

    pub(super) fn set_batching(&mut self, batching: ingress::Batching) {
        self.batching = batching;
    }

    /// Adds a target.
    pub fn add(&mut self, data_centre: id::DataCentre) -> TargetKey {
        self.targets.insert(Target {
            data_centre,
            call: None,
            used: 0,
            paused_until: None,
            failures: 0,
            is_prompt: false,
            slowdown: 1.0,
            limiter: quota::Limiter::default(),
        })
    }

    /// Sets the rate limiter for calls to a target and for requests that free results there.
    pub fn set_limiter(&mut self, key: TargetKey, limiter: quota::Limiter) {
        if let Some(target) = self.targets.get_mut(key) {
            target.limiter = limiter;
        }
    }

    /// Removes a target; its results are lost or will expire.
    pub fn remove(&mut self, key: TargetKey) {
        self.targets.remove(key);
        self.results.retain(|_, result| result.target != key);
        self.unnamed.retain(|result| result.target != key);
    }

    /// Returns the expected duration of a call at a target, by its recent speed.
    pub fn expected_call_time(&self, key: TargetKey, pieces: usize) -> time::Duration {
        let target = self.targets.get(key);
        let slowdown = target.map_or(1.0, |t| t.slowdown.max(1.0));
        self.nominal_call_time(pieces).mul_f64(slowdown)
    }

    /// Returns the time without an answer after which a call should be repeated elsewhere.
    pub fn call_timeout(&self, key: TargetKey, pieces: usize) -> time::Duration {
        let expected = self.expected_call_time(key, pieces);
        expected.mul_f64(TIMEOUT_FACTOR) + TIMEOUT_EXTRA
    }

    /// Returns the time from the start of a call until it has read its inputs, `None` if unknown.
    ///
    /// A target reads the inputs when the call's turn comes, and works for the fixed time after
    /// that. The turn comes at once if the last call succeeded on time. Behind a call that was
    /// given up, or calls of another owner of the queue, it may come much later. If the inputs were
    /// freed before, the whole request would have to start again.
    pub fn input_read_time(&self, key: TargetKey) -> Option<time::Duration> {
        let target = self.targets.get(key)?;
        let read_time = || self.batching.call_time.mul_f64(INPUT_READ_SHARE);
        target.is_prompt.then(read_time)
    }

    /// Returns the time at which the next pause of a target ends.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let pauses = self.targets.values().filter_map(|t| t.paused_until);
        pauses.filter(|at| *at > now).min()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Reports whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the bytes of results that are reserved or stored at a target.
    pub fn used_bytes(&self, key: TargetKey) -> unit::Size {
        unit::Size(self.targets.get(key).map_or(0, |t| t.used))
    }

    /// Records the size of a call that left enough pieces for another full one.
    pub(super) fn record_batch_size(&mut self, pieces: usize) {
        self.batch_size += BATCH_SIZE_WEIGHT * (pieces as f64 - self.batch_size);
    }

    /// Returns the estimated completion time of a job with `own` pieces behind `ahead` others.
    pub(super) fn completion_time(
        &self,
        throughput: &Throughput,
        ahead: f64,
        own: usize,
    ) -> time::Duration {
        if throughput.targets == 0 || throughput.rate == 0.0 {
            return time::Duration::MAX;
        }
        let max = self.batching.pieces.max(1);
        let queued = time::Duration::try_from_secs_f64(ahead / throughput.rate);
        let queued = queued.unwrap_or(time::Duration::MAX);
        let rounds = own.div_ceil(max).div_ceil(throughput.targets).max(1) as u32;
        let own = self.nominal_call_time(own.min(max)) * rounds;
        let busy = throughput.busy / throughput.targets as u32;
        queued.saturating_add(throughput.wait + busy + own)
    }

    /// Returns the throughput of the targets that accept calls, or else of those that will first.
    pub(super) fn throughput(&self, now: Instant) -> Throughput {
        self.throughput_with(self.batch_size, now)
    }

    /// Returns the pieces per second that these targets process with full calls.
    pub(super) fn full_rate(&self, now: Instant) -> f64 {
        self.throughput_with(self.batching.pieces as f64, now).rate
    }

    fn throughput_with(&self, batch_size: f64, now: Instant) -> Throughput {
        let throughput = self.throughput_after(time::Duration::ZERO, batch_size, now);
        if throughput.targets > 0 {
            return throughput;
        }
        let waits = self.targets.values().map(|t| t.limiter.backoff_left(now));
        self.throughput_after(waits.min().unwrap_or_default(), batch_size, now)
    }

    /// Returns the throughput of the targets that accept calls after `wait`.
    fn throughput_after(&self, wait: time::Duration, batch_size: f64, now: Instant) -> Throughput {
        let batch_size = batch_size.max(1.0);
        let call = self
            .nominal_call_time(batch_size as usize)
            .as_secs_f64()
            .max(0.001);
        let mut throughput = Throughput {
            wait,
            ..Throughput::default()
        };
        for target in self.targets.values() {
            if target.limiter.backoff_left(now) > wait {
                continue;
            }
            // A target that failed may have recovered; if it counted as lost, an outage of all
            // targets would make the queue refuse every request.
            let discount = 0.5f64.powi(target.failures.min(8) as i32);
            let calls = discount / target.slowdown.max(1.0) / call;
            let limit = target.limiter.rate(now);
            let limit = limit.map_or(f64::INFINITY, |rate| rate.0);
            throughput.rate += calls.min(limit) * batch_size;
            throughput.busy += self.remaining_call_time(target, now);
            throughput.targets += 1;
        }
        throughput
    }

    /// Returns the number of idle targets that are not slow.
    pub(super) fn free_count(&self, now: Instant) -> usize {
        let free = |t: &&Target| is_free(t, now) && t.slowdown < SLOW;
        self.targets.values().filter(free).count()
    }

    /// Reports whether any target is idle and has room for a result.
    pub(super) fn is_any_free(&self, size: unit::Size, now: Instant) -> bool {
        let mut targets = self.targets.values();
        targets.any(|t| self.has_room(t, size) && is_free(t, now))
    }

    /// Returns for each data centre the idle target with the most room.
    pub(super) fn roomiest(&self, now: Instant) -> Vec<TargetKey> {
        let mut least_used: collections::HashMap<&id::DataCentre, (u64, TargetKey)> =
            collections::HashMap::new();
        for (key, target) in self.targets.iter().filter(|(_, t)| is_free(t, now)) {
            let best = least_used.entry(&target.data_centre);
            let best = best.or_insert((target.used, key));
            *best = (*best).min((target.used, key));
        }
        least_used.into_values().map(|(_, key)| key).collect()
    }

    /// Reports whether a job may be executed at a target.
    pub(super) fn is_allowed(&self, key: TargetKey, spec: &Spec) -> bool {
        let places = spec.places.as_deref();
        let target = self.targets.get(key);
        target.is_some_and(|t| residency::is_allowed(places, &t.data_centre))
    }

    /// Reports whether a target is outside the preferred data centre.
    pub(super) fn is_remote(&self, key: TargetKey, near: Option<&id::DataCentre>) -> bool {
        let target = self.targets.get(key);
        near.is_some_and(|near| target.is_some_and(|t| t.data_centre != *near))
    }

    /// Returns the free room for results at a target.
    pub(super) fn room(&self, key: TargetKey) -> unit::Size {
        let used = self.used_bytes(key).0;
        unit::Size(self.batching.capacity.0.saturating_sub(used))
    }

    /// Chooses an idle target with room for a result: one that is not slow, then a near one, then
    /// the one with the most room.
    pub(super) fn choose(
        &self,
        near: Option<&id::DataCentre>,
        size: unit::Size,
        tried: &[TargetKey],
        now: Instant,
    ) -> Option<TargetKey> {
        let fits = |t: &Target| is_free(t, now) && self.has_room(t, size);
        let cost = |t: &Target| {
            let is_remote = near.is_some_and(|near| *near != t.data_centre);
            (t.slowdown >= SLOW, is_remote, t.used)
        };
        let free = self
            .targets
            .iter()
            .filter(|(key, t)| !tried.contains(key) && fits(t));
        free.min_by_key(|(_, t)| cost(t)).map(|(key, _)| key)
    }

    /// Reserves room for a result.
    pub(super) fn reserve(&mut self, key: TargetKey, size: unit::Size) {
        if let Some(target) = self.targets.get_mut(key) {
            target.used += size.0;
        }
    }

    /// Releases the room of a result.
    pub(super) fn release(&mut self, key: TargetKey, size: unit::Size) {
        if let Some(target) = self.targets.get_mut(key) {
            target.used = target.used.saturating_sub(size.0);
        }
    }

    /// Records that a call was sent.
    pub(super) fn record_start(&mut self, key: TargetKey, pieces: usize, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.call = Some((now, pieces));
            target.limiter.record_send(now);
        }
    }

    /// Records that a call was answered.
    pub(super) fn record_completion(&mut self, key: TargetKey, pieces: usize, now: Instant) {
        let nominal = self.nominal_call_time(pieces).as_secs_f64();
        let timeout = self.call_timeout(key, pieces);
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let mut is_prompt = false;
        if let Some((start, _)) = target.call.take() {
            let elapsed = now.duration_since(start);
            let slowdown = match elapsed > timeout {
                // A pause of the target says little about its speed.
                true => TIMEOUT_FACTOR * target.slowdown.max(1.0),
                false => elapsed.as_secs_f64() / nominal.max(0.001),
            };
            target.slowdown += SLOWDOWN_WEIGHT * (slowdown - target.slowdown);
            is_prompt = slowdown < PROMPT_SLOWDOWN;
        }
        target.failures = 0;
        target.is_prompt = is_prompt;
        target.paused_until = None;
    }

    /// Records that a call failed, and pauses the target.
    pub(super) fn record_failure(&mut self, key: TargetKey, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.call = None;
            target.is_prompt = false;
            let pause = FIRST_PAUSE * (1 << target.failures.min(8));
            target.failures += 1;
            target.paused_until = Some(now + pause.min(LONGEST_PAUSE));
        }
    }

    /// Records that a target had no room for a result, and reserves that room for a while.
    ///
    /// Sizes are approximate, and results of an earlier owner of the queue are unknown here.
    /// Without the reservation, the next call would send as many pieces in vain.
    pub(super) fn record_no_room(&mut self, key: TargetKey, size: unit::Size, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.used += size.0;
            self.unnamed.push(StoredResult {
                target: key,
                size: size.0,
                expiry: now + NO_ROOM_TTL,
            });
        }
    }

    /// Adds a stored result whose room is already reserved.
    pub(super) fn add_result(
        &mut self,
        key: TargetKey,
        handle: &Handle,
        size: unit::Size,
        now: Instant,
    ) {
        let result = StoredResult {
            target: key,
            size: size.0,
            expiry: now + self.batching.ttl,
        };
        self.results.insert(handle.clone(), result);
    }

    /// Adds a result that a call may have left under an unknown name; its room is already reserved.
    pub(super) fn add_unnamed(&mut self, key: TargetKey, size: unit::Size, now: Instant) {
        self.unnamed.push(StoredResult {
            target: key,
            size: size.0,
            expiry: now + self.batching.ttl,
        });
    }

    /// Reports whether a result is stored at a target and has not expired.
    pub fn has_result(&self, handle: &Handle) -> bool {
        self.results.contains_key(handle)
    }

    /// Removes a result and releases its room; returns its target.
    pub(super) fn free_result(&mut self, handle: &Handle) -> Option<TargetKey> {
        let result = self.results.remove(handle)?;
        self.release(result.target, unit::Size(result.size));
        Some(result.target)
    }

    /// Removes expired results and releases their room.
    pub(super) fn expire(&mut self, now: Instant) {
        let mut expired = Vec::new();
        let mut is_live = |result: &StoredResult| {
            let has_expired = result.expiry <= now;
            if has_expired {
                expired.push(result.clone());
            }
            !has_expired
        };
        self.results.retain(|_, result| is_live(result));
        self.unnamed.retain(is_live);
        for result in expired {
            self.release(result.target, unit::Size(result.size));
        }
    }

    /// Returns the duration of a call by the configured times.
    pub fn nominal_call_time(&self, pieces: usize) -> time::Duration {
        self.batching.call_time + self.batching.piece_time * pieces as u32
    }

    fn has_room(&self, target: &Target, size: unit::Size) -> bool {
        // The target itself refuses a result that exceeds its whole capacity.
        target.used == 0 || target.used + size.0 <= self.batching.capacity.0
    }
}

/// Reports whether a target has no call in flight, is not paused and is below its rate limit.
fn is_free(target: &Target, now: Instant) -> bool {
    let is_paused = target.paused_until.is_some_and(|at| at > now);
    target.call.is_none() && !is_paused && target.limiter.can_send(now)
}

//! Usual times of first answers of one service, by kind of request.

use std::time;

use xxhash_rust::xxh3;

/// Kinds of requests whose times are kept apart.
const KINDS: usize = 64;

/// Relative change of an estimate by one answer.
const STEP: f64 = 0.05;

/// Fraction of answers that are faster than the usual time.
///
/// Queueing and short trouble make some answers slow, so the usual time is below the median.
const QUANTILE: f64 = 0.3;

/// Kind of a request, within which the times of first answers are comparable.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Kind(u8);

impl Kind {
    /// Returns the kind of a prompt of which an engine has to prefill `tokens`.
    pub fn of_prompt(tokens: u64) -> Self {
        let bits = u64::BITS - tokens.leading_zeros();
        Self(bits.min(KINDS as u32 - 1) as u8)
    }

    /// Returns the kind of the plain requests of a route.
    pub fn of_route(name: &str) -> Self {
        Self((xxh3::xxh3_64(name.as_bytes()) % KINDS as u64) as u8)
    }
}

/// Usual times of first answers of the targets of one service, while they are not overloaded.
#[derive(Clone, Debug)]
pub struct Usual {
    /// Time in seconds for each kind, 0 if unknown.
    times: [f64; KINDS],
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            times: [0.0; KINDS],
        }
    }
}

impl Usual {
    /// Returns a time as a multiple of the usual one; `None` if that is unknown.
    pub fn ratio(&self, kind: Kind, taken: time::Duration) -> Option<f64> {
        let time = self.times[usize::from(kind.0)];
        (time > 0.0).then(|| taken.as_secs_f64() / time)
    }

    /// Records an answer; `is_comparable` if the target is not limited and nothing waits there.
    ///
    /// Limited targets would make their own slowness usual, and under overload the time in queues
    /// would hide it. They count only until there is another answer.
    pub fn record(&mut self, kind: Kind, taken: time::Duration, is_comparable: bool) {
        let time = &mut self.times[usize::from(kind.0)];
        let taken = taken.as_secs_f64().max(1e-6);
        if *time == 0.0 {
            *time = taken;
        } else if is_comparable {
            let step = match taken > *time {
                true => STEP * QUANTILE,
                false => -STEP * (1.0 - QUANTILE),
            };
            *time *= 1.0 + step;
        }
    }
}

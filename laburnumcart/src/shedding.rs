//! Shares of the ranks in the capacity of a queue while it is short of capacity.
//!
//! Under shortage some requests must be refused. Without shares, those with the shortest deadlines
//! are, because only requests with a long deadline can still be served late, whatever their ranks.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::batch::{
    Rank,
    load::Load, //
};

/// Time after which offered pieces count half.
///
/// A steady load of 1.2 times the capacity is detected within a second.
const HALF_LIFE: time::Duration = time::Duration::from_millis(350);

/// Offered share of the capacity below which a shortage ends.
const END_SHARE: f64 = 0.9;

/// Time without enough waiting pieces for a full call after which a shortage ends.
///
/// It also bounds the number of state changes.
const CALM: time::Duration = time::Duration::from_secs(1);

/// Time after its last offered or waiting piece for which a rank counts as present.
const PRESENCE: time::Duration = time::Duration::from_secs(2);

/// Greatest sum of the floors; the most urgent ranks keep the rest.
const FLOORS_MAX: f64 = 0.5;

/// Least share that a rank is assumed to get; it bounds estimates if the floor is set to zero.
const SHARE_MIN: f64 = 0.001;

/// Greatest random addition to a retry delay, as a share of the delay.
pub const JITTER: f64 = 0.5;

/// Share of the time left up to which callers wait before they retry.
const WAIT_SHARE: f64 = 1.0 / 3.0;

/// Capacity of a queue and the pieces that wait there.
#[derive(Clone, Copy, Debug, Default)]
pub struct Supply {
    /// Pieces per second that the targets process with full calls.
    pub rate: f64,
    /// Pieces of a full call.
    pub call: usize,
    /// Number of targets.
    pub targets: usize,
    /// Waiting pieces.
    pub waiting: usize,
}

impl Supply {
    /// Reports whether more waits than chance arrivals below the capacity explain: half of what the
    /// targets process at a time.
    fn is_congested(&self) -> bool {
        let congested = (self.call * self.targets).div_ceil(2);
        self.waiting >= congested.max(self.call)
    }
}

/// Change of state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A shortage has begun.
    Began {
        /// Offered pieces as a share of the capacity.
        offered: f64,
        /// Number of ranks present.
        ranks: usize,
    },
    /// The shortage has ended after this time.
    Ended(time::Duration),
}

/// Part of the capacity that a rank gets during a shortage, as shares of the throughput.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lane {
    /// Guaranteed whatever the other ranks offer.
    pub floor: f64,
    /// Left by the offered load of more urgent ranks and by the floors of the less urgent ones.
    pub share: f64,
    /// Left by the floors of less urgent ranks alone.
    pub ceiling: f64,
}

impl Lane {
    /// Returns the pieces that the whole queue serves while the last of `own` pieces of the rank
    /// waits, behind `higher` pieces of more urgent ranks.
    pub fn pieces_ahead(&self, own: f64, higher: f64) -> f64 {
        let behind_higher = (own / self.share).max((own + higher) / self.ceiling);
        behind_higher.min(own / self.floor)
    }
}

/// Exponentially decayed count of offered pieces.
#[derive(Clone, Copy, Debug)]
struct Offered {
    pieces: f64,
    last: Instant,
}

impl Offered {
    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.last);
        self.pieces * 0.5f64.powf(age.div_duration_f64(HALF_LIFE))
    }

    fn add(&mut self, pieces: u32, now: Instant) {
        self.pieces = self.decayed(now) + f64::from(pieces);
        self.last = now;
    }

    /// Returns the pieces offered per second.
    fn rate(&self, now: Instant) -> f64 {
        // At a steady rate, the decayed count is that rate times the mean age.
        self.decayed(now) / (HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2)
    }
}

#[derive(Clone, Debug)]
struct RankState {
    offered: Offered,
    /// Time of the last offered or waiting piece.
    seen: Instant,
    /// Pieces that may go ahead of more urgent ranks; negative after more were served.
    credit: f64,
    /// Pieces served on time.
    load: Load,
}

/// Measures the shortage of one queue and divides its capacity among the ranks.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::{batch, shedding};
/// use tokio::time::Instant;
///
/// let supply = shedding::Supply { rate: 100.0, call: 10, targets: 2, waiting: 20 };
/// let mut shedding = shedding::Shedding::new(0.1);
/// let (urgent, other) = (batch::Rank::from(0), batch::Rank::from(2));
/// let mut now = Instant::now();
/// for _ in 0..100 {
///     shedding.record_offer(urgent, 2, now);
///     shedding.record_offer(other, 2, now);
///     shedding.update(supply, [other], now);
///     now += Duration::from_millis(10);
/// }
/// assert!(shedding.is_short());
/// // The urgent rank gets all but the floor of the other.
/// assert_eq!(shedding.lane(urgent, now).share, 0.9);
/// assert_eq!(shedding.lane(other, now).share, 0.1);
/// ```
#[derive(Clone, Debug)]
pub struct Shedding {
    floor: f64,
    ranks: collections::BTreeMap<Rank, RankState>,
    supply: Supply,
    updated: Option<Instant>,
    /// Last time at which enough pieces waited for a full call.
    busy: Option<Instant>,
    /// Beginning of the shortage.
    since: Option<Instant>,
    change: Option<Change>,
}

impl Shedding {
    /// Starts without a shortage; each rank but the most urgent one keeps the share `floor`.
    pub fn new(floor: f64) -> Self {
        Self {
            floor,
            ranks: collections::BTreeMap::new(),
            supply: Supply::default(),
            updated: None,
            busy: None,
            since: None,
            change: None,
        }
    }

    /// Reports whether the queue is short of capacity.
    pub fn is_short(&self) -> bool {
        self.since.is_some()
    }

    /// Returns the time of the last update.
    pub fn updated(&self) -> Option<Instant> {
        self.updated
    }

    /// Returns the last change of state that was not taken yet.
    pub fn take_change(&mut self) -> Option<Change> {
        self.change.take()
    }

    /// Counts the pieces of an announced job, whether or not it is admitted.
    pub fn record_offer(&mut self, rank: Rank, pieces: u32, now: Instant) {
        let state = self.state(rank, now);
        state.offered.add(pieces, now);
        state.seen = now;
    }

    /// Counts the pieces of a rank in a call, and how many of them are on time.
    pub fn record_sent(&mut self, rank: Rank, pieces: usize, on_time: usize, now: Instant) {
        let call = self.supply.call as f64;
        let state = self.state(rank, now);
        state.credit = (state.credit - pieces as f64).max(-call);
        state.load.add(on_time, now);
    }

    fn state(&mut self, rank: Rank, now: Instant) -> &mut RankState {
        let empty = || RankState {
            offered: Offered {
                pieces: 0.0,
                last: now,
            },
            seen: now,
            credit: 0.0,
            load: Load::default(),
        };
        self.ranks.entry(rank).or_insert_with(empty)
    }

    /// Updates the credits and the state; `waiting` are the ranks with waiting pieces.
    pub fn update(
        &mut self,
        supply: Supply,
        waiting: impl IntoIterator<Item = Rank>,
        now: Instant,
    ) {
        let elapsed = self.updated.map(|at| now.saturating_duration_since(at));
        self.supply = supply;
        self.updated = Some(now);
        for rank in waiting {
            self.state(rank, now).seen = now;
        }
        self.ranks.retain(|_, state| now < state.seen + PRESENCE);
        let floor = self.floor_share();
        let gained = floor * supply.rate * elapsed.unwrap_or_default().as_secs_f64();
        // Calls of all targets may start together, so that the credit of a call's time is spent at
        // once.
        let most = supply.call as f64 * (1.0 + floor * supply.targets as f64);
        for state in self.ranks.values_mut().skip(1) {
            state.credit = (state.credit + gained).min(most);
        }
        if supply.waiting >= supply.call {
            self.busy = Some(now);
        }
        self.update_state(now);
    }

    fn update_state(&mut self, now: Instant) {
        let offered = self.offered_share(now);
        let is_calm = self.busy.is_none_or(|at| now >= at + CALM);
        match self.since {
            None if offered > 1.0 && self.supply.is_congested() => {
                self.since = Some(now);
                // Credits of the time before would delay the urgent ranks at once.
                for state in self.ranks.values_mut() {
                    state.credit = state.credit.min(0.0);
                }
                let ranks = self.ranks.len();
                self.change = Some(Change::Began { offered, ranks });
            }
            Some(since) if is_calm || (offered < END_SHARE && now >= since + CALM) => {
                self.since = None;
                self.change = Some(Change::Ended(now - since));
            }
            _ => {}
        }
    }

    /// Returns the offered pieces as a share of the capacity.
    pub fn offered_share(&self, now: Instant) -> f64 {
        let offered: f64 = self.ranks.values().map(|r| r.offered.rate(now)).sum();
        offered / self.supply.rate.max(1.0)
    }

    /// Returns the floor of each rank but the most urgent one.
    fn floor_share(&self) -> f64 {
        let lower = self.ranks.len().saturating_sub(1).max(1);
        self.floor.min(FLOORS_MAX / lower as f64)
    }

    /// Returns the part of the capacity that a rank gets.
    pub fn lane(&self, rank: Rank, now: Instant) -> Lane {
        let floor = self.floor_share();
        let rate = self.supply.rate.max(1.0);
        let offered = |r: &RankState| r.offered.rate(now) / rate;
        let floor_of = |r: &RankState| match r.credit > 0.0 {
            true => floor,
            false => offered(r).min(floor),
        };
        let mut free = 1.0;
        // Floors of the ranks after the current one.
        let mut floors: f64 = self.ranks.values().skip(1).map(floor_of).sum();
        for (i, (other, state)) in self.ranks.iter().enumerate() {
            let own_floor = if i == 0 { 0.0 } else { floor_of(state) };
            if *other >= rank {
                if *other == rank {
                    floors -= own_floor;
                }
                break;
            }
            floors -= own_floor;
            free -= offered(state).clamp(0.0, (free - floors).max(own_floor));
        }
        let ceiling = (1.0 - floors).max(SHARE_MIN);
        let floor = if self.has_floor(rank) { floor } else { ceiling };
        let floor = floor.max(SHARE_MIN);
        Lane {
            floor,
            share: (free - floors).max(floor),
            ceiling,
        }
    }

    /// Returns the share of a rank's part that its jobs on time leave to its late ones.
    ///
    /// `throughput` is that of the queue in pieces per second.
    pub(crate) fn spare_share(&self, rank: Rank, throughput: f64, now: Instant) -> f64 {
        let load = self.ranks.get(&rank).map(|state| state.load);
        let share = self.lane(rank, now).share;
        load.unwrap_or_default()
            .spare_share(share * throughput, now)
    }

    /// Reports whether a more urgent rank is present.
    fn has_floor(&self, rank: Rank) -> bool {
        self.ranks.keys().next().is_some_and(|first| *first < rank)
    }

    /// Returns the pieces of a rank that may go ahead of more urgent ranks.
    pub fn credit(&self, rank: Rank) -> f64 {
        self.ranks.get(&rank).map_or(0.0, |state| state.credit)
    }
}

/// Adds a random part, from 0 to 1 of the greatest one, to the time after which a refused caller
/// retries.
///
/// Callers that were refused together would otherwise return together. A caller that would wait
/// for the time alone still does so with the addition.
pub fn spread_retry(
    after: time::Duration,
    remaining: time::Duration,
    random: f64,
) -> time::Duration {
    let spread = after.mul_f64(1.0 + JITTER * random.clamp(0.0, 1.0));
    let longest = remaining.mul_f64(WAIT_SHARE);
    spread.min(longest).max(after)
}

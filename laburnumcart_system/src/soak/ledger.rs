//! What callers sent and got, and what targets ran.

use std::{
    collections,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time,
};

use crate::soak::repeats;

/// What a caller asked for and got.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) route: &'static str,
    pub(super) key: Option<String>,
    pub(super) sent: time::Instant,
    /// Status, `None` when the connection ended without a head.
    pub(super) status: Option<u16>,
    pub(super) body: String,
    /// Whether the answer has ended as its framing says.
    pub(super) complete: bool,
    /// Whether it was sent after the faults had ended.
    pub(super) calm: bool,
}

/// A run at a target.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) target: String,
    pub(super) at: time::Instant,
}

/// A data centre that was evacuated.
#[derive(Clone, Debug)]
pub(super) struct Evacuation {
    pub(super) place: &'static str,
    /// When it was accepted.
    pub(super) from: time::Instant,
    /// When it was about to be taken back.
    pub(super) until: Option<time::Instant>,
}

/// A limit that a target has named.
#[derive(Clone, Debug)]
pub(super) struct Need {
    pub(super) target: String,
    pub(super) rate: f64,
    pub(super) from: time::Instant,
    pub(super) until: Option<time::Instant>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    /// Number of gateways.
    pub(super) gateways: usize,
    pub(super) calls: collections::HashMap<String, Call>,
    pub(super) runs: collections::HashMap<String, Vec<Run>>,
    /// Keys that were taken away, and when that was accepted.
    pub(super) revoked: collections::HashMap<String, time::Instant>,
    /// Targets that were told to leave, and when that was accepted.
    pub(super) leaving: collections::HashMap<String, time::Instant>,
    /// Data centre of each target that ever was.
    pub(super) places: collections::HashMap<String, &'static str>,
    /// Evacuations in order.
    pub(super) evacuations: Vec<Evacuation>,
    /// Limits that targets have named, in order.
    pub(super) needs: Vec<Need>,
    /// Targets that say in their answers that they are leaving, and since when.
    pub(super) said: collections::HashMap<String, time::Instant>,
    /// When each target has refused a request and asked for a pause.
    pub(super) refused: collections::HashMap<String, Vec<time::Instant>>,
    /// Targets that have started cold, and until when they were.
    pub(super) cold: collections::HashMap<String, time::Instant>,
    /// When requests of any kind came to each target.
    pub(super) arrivals: collections::HashMap<String, Vec<time::Instant>>,
    /// What reached the targets of each service, by what must come once.
    pub(super) repeats: collections::BTreeMap<&'static str, repeats::Arrivals>,
    /// Breaches that were seen on the spot.
    pub(super) breaches: Vec<String>,
    pub(super) faults: Vec<String>,
    /// When the last fault was ended.
    pub(super) healed: Option<time::Instant>,
    calm: bool,
}

/// The record of one run.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    state: Mutex<State>,
}

impl Ledger {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn arrived(&self, target: &str) {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.arrivals.entry(target.into()).or_default().push(now);
    }

    /// Notes that an answer of a target says that it is leaving.
    pub(super) fn said(&self, target: &str) {
        let now = time::Instant::now();
        self.lock().said.entry(target.into()).or_insert(now);
    }

    /// Notes that a request, or the pieces of a call, reached a service.
    pub(super) fn reached(&self, service: &'static str, keys: Vec<String>) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let arrivals = state.repeats.entry(service).or_default();
        keys.into_iter().for_each(|key| arrivals.add(key, now));
    }

    pub(super) fn refused(&self, target: &str) {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.refused.entry(target.into()).or_default().push(now);
    }

    /// Notes that a target names a limit from now on, or none any more.
    pub(super) fn named(&self, target: &str, rate: Option<f64>) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let open = state.needs.iter_mut();
        for need in open.filter(|n| n.target == target && n.until.is_none()) {
            need.until = Some(now);
        }
        state.needs.extend(rate.map(|rate| Need {
            target: target.into(),
            rate,
            from: now,
            until: None,
        }));
    }

    pub(super) fn ran(&self, attempt: &str, target: &str) {
        let run = Run {
            target: target.into(),
            at: time::Instant::now(),
        };
        self.lock()
            .runs
            .entry(attempt.into())
            .or_default()
            .push(run);
    }

    pub(super) fn breach(&self, text: String) {
        self.lock().breaches.push(text);
    }

    pub(super) fn fault(&self, text: String) {
        self.lock().faults.push(text);
    }

    /// Notes that no fault is in force any more.
    pub(super) fn calm(&self) {
        self.lock().calm = true;
    }

    pub(super) fn is_calm(&self) -> bool {
        self.lock().calm
    }
}

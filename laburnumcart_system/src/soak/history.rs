//! Record of what callers sent and received and of what targets ran.

use std::{
    collections,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time,
};

use crate::soak::{
    connections,
    poison,
    repeats,
    versions, //
};

/// A request of a caller and its response.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) route: &'static str,
    pub(super) key: Option<String>,
    pub(super) sent: time::Instant,
    /// Status, `None` when the connection ended before the response header.
    pub(super) status: Option<u16>,
    pub(super) body: String,
    /// Whether the response ended as its framing says.
    pub(super) complete: bool,
    /// When the last byte of the request was sent.
    pub(super) whole: Option<time::Instant>,
    /// When the connection ended before the response had.
    pub(super) closed: Option<time::Instant>,
    /// Whether the request was sent after the faults had ended.
    pub(super) fault_free: bool,
    /// Stream that the request takes up.
    pub(super) resumed: Option<versions::Resumed>,
}

/// An execution of a request at a target.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) target: String,
    pub(super) at: time::Instant,
}

/// An evacuation of a data centre.
#[derive(Clone, Debug)]
pub(super) struct Evacuation {
    pub(super) data_centre: &'static str,
    /// Time at which the store accepted the evacuation.
    pub(super) from: time::Instant,
    /// Time just before the evacuation was removed from the store.
    pub(super) until: Option<time::Instant>,
}

/// A rate limit that a target announced.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    pub(super) target: String,
    /// Requests per second.
    pub(super) rate: f64,
    pub(super) from: time::Instant,
    pub(super) until: Option<time::Instant>,
}

/// End of a connection at which its caller had a claim to be waited for.
#[derive(Clone, Debug)]
pub(super) struct EarlyEnd {
    pub(super) gateway: usize,
    pub(super) opened: time::Instant,
    pub(super) at: time::Instant,
    /// Time after which the connection ended, of the pause that its caller meant to make.
    pub(super) waited: time::Duration,
    pub(super) pause: time::Duration,
    /// Whether part of a head had been sent.
    pub(super) in_head: bool,
}

/// Contents of the history.
#[derive(Debug, Default)]
pub(super) struct State {
    /// Number of gateways.
    pub(super) gateways: usize,
    pub(super) calls: collections::HashMap<String, Call>,
    pub(super) runs: collections::HashMap<String, Vec<Run>>,
    /// Revoked keys and the time at which the store accepted the revocation.
    pub(super) revoked: collections::HashMap<String, time::Instant>,
    /// Draining targets and the time at which the store accepted the new state.
    pub(super) leaving: collections::HashMap<String, time::Instant>,
    /// Data centre of each target, including those that have ended.
    pub(super) data_centres: collections::HashMap<String, &'static str>,
    /// Evacuations in order.
    pub(super) evacuations: Vec<Evacuation>,
    /// Limits that targets announced, in order.
    pub(super) limits: Vec<Limit>,
    /// Targets that announce in their responses that they leave, and since when.
    pub(super) announced: collections::HashMap<String, time::Instant>,
    /// Times at which each target refused a request and asked for backoff.
    pub(super) refusals: collections::HashMap<String, Vec<time::Instant>>,
    /// Targets that started cold and the end of their warm-up time.
    pub(super) cold: collections::HashMap<String, time::Instant>,
    /// Times at which requests of any kind reached each target.
    pub(super) arrivals: collections::HashMap<String, Vec<time::Instant>>,
    /// Requests and pieces that reached the targets of each service, and their repeats.
    pub(super) repeats: collections::BTreeMap<&'static str, repeats::Arrivals>,
    /// Contents that crash targets.
    pub(super) poison: collections::BTreeMap<String, poison::Arrivals>,
    /// Refusals of harmless callers because of their content.
    pub(super) refused: Vec<String>,
    /// Violations that targets detected themselves.
    pub(super) breaches: Vec<String>,
    pub(super) faults: Vec<String>,
    /// Connections that ended while idle, or within a head, although their time was not over.
    pub(super) early_ends: Vec<EarlyEnd>,
    /// Limits of the configurations, in order.
    pub(super) limits_set: Vec<connections::Limits>,
    /// Gateways that were told to stop, and when.
    pub(super) stops: Vec<(usize, time::Instant)>,
    /// Time at which the last fault ended.
    pub(super) healed: Option<time::Instant>,
    fault_free: bool,
}

/// Shared history of one run.
#[derive(Debug, Default)]
pub(super) struct History {
    state: Mutex<State>,
}

impl History {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record_arrival(&self, target: &str) {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.arrivals.entry(target.into()).or_default().push(now);
    }

    /// Records that a response of a target announces that it leaves.
    pub(super) fn record_announcement(&self, target: &str) {
        let now = time::Instant::now();
        self.lock().announced.entry(target.into()).or_insert(now);
    }

    /// Records that a request or the pieces of a batch call reached a service.
    pub(super) fn record_keys(&self, service: &'static str, keys: Vec<String>) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let arrivals = state.repeats.entry(service).or_default();
        keys.into_iter().for_each(|key| arrivals.add(key, now));
    }

    pub(super) fn record_refusal(&self, target: &str) {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.refusals.entry(target.into()).or_default().push(now);
    }

    /// Records that a target announces a limit from now on, or none with `None`.
    pub(super) fn record_limit(&self, target: &str, rate: Option<f64>) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let open = state.limits.iter_mut();
        for need in open.filter(|n| n.target == target && n.until.is_none()) {
            need.until = Some(now);
        }
        state.limits.extend(rate.map(|rate| Limit {
            target: target.into(),
            rate,
            from: now,
            until: None,
        }));
    }

    pub(super) fn record_run(&self, attempt: &str, target: &str) {
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

    pub(super) fn record_breach(&self, text: String) {
        self.lock().breaches.push(text);
    }

    pub(super) fn record_fault(&self, text: String) {
        self.lock().faults.push(text);
    }

    /// Records that no fault is in force any more.
    pub(super) fn end_faults(&self) {
        self.lock().fault_free = true;
    }

    pub(super) fn is_fault_free(&self) -> bool {
        self.lock().fault_free
    }
}

//! Rates that targets have named in their answers.

use std::{
    collections,
    sync::Mutex, //
};

use tokio::time::Instant;

use laburnumcart::{
    event,
    id, //
};

use crate::{
    dialect,
    metrics,
    view, //
};

/// What one target has named.
#[derive(Clone, Copy, Debug)]
struct Named {
    limit: dialect::Limit,
    since: Instant,
    /// Own sends since then.
    sends: u64,
}

/// Rates that targets have named, as answers to this process tell.
#[derive(Debug)]
pub struct Limits {
    named: Mutex<collections::HashMap<id::TargetLife, Named>>,
    metrics: metrics::Limits,
}

impl Limits {
    /// Creates an empty set.
    pub fn new(metrics: &metrics::Metrics) -> Self {
        Self {
            named: Mutex::default(),
            metrics: metrics.limits.clone(),
        }
    }

    /// Counts a send to a target.
    pub fn count(&self, target: &view::Target) {
        if let Some(named) = view::lock(&self.named).get_mut(&target.key()) {
            named.sends += 1;
            self.metrics.sends.inc();
        }
    }

    /// Takes in what an answer of a target says.
    pub fn note(&self, target: &view::Target, limit: dialect::Limit) {
        let mut named = view::lock(&self.named);
        let key = target.key();
        let last = named.get(&key).copied();
        let before = last.map_or(dialect::Limit::None, |last| last.limit);
        if before == limit {
            return;
        }
        let now = Instant::now();
        let lasted = last.map(|last| now - last.since).unwrap_or_default();
        event!(
            Info,
            "target-limit",
            target = target.name,
            service = target.service,
            limit = limit,
            before = before,
            sends = last.map_or(0, |last| last.sends),
            lasted_ms = lasted.as_millis()
        );
        match limit {
            dialect::Limit::None => named.remove(&key),
            limit => named.insert(
                key,
                Named {
                    limit,
                    since: now,
                    sends: 0,
                },
            ),
        };
        self.metrics.targets.set(named.len() as i64);
    }

    /// Forgets targets that have gone.
    pub fn retain(&self, is_listed: impl Fn(&id::TargetLife) -> bool) {
        let mut named = view::lock(&self.named);
        named.retain(|life, _| is_listed(life));
        self.metrics.targets.set(named.len() as i64);
    }
}

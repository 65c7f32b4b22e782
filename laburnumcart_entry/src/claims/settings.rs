//! Settings of the claim service.

use std::{
    sync,
    time, //
};

use laburnumcart::{
    claim::{
        self,
        log,
        ownership, //
    },
    unit, //
};
use laburnumcart_platform::store;

use crate::claims::{
    self,
    metrics, //
};

/// Builder of the claim service.
#[derive(Clone, Debug)]
pub struct Builder {
    pub(super) holder: claim::Holder,
    pub(super) shards: u16,
    pub(super) write_rate: unit::Rate,
    pub(super) limits: log::Limits,
    pub(super) store_timeout: time::Duration,
    pub(super) serve_timeout: time::Duration,
    pub(super) takeover_limits: ownership::Limits,
    pub(super) metrics: metrics::Metrics,
}

impl Builder {
    /// Creates the default settings for the process `holder`.
    pub fn new(holder: claim::Holder) -> Self {
        Self {
            holder,
            shards: 8,
            write_rate: unit::Rate(300.0),
            limits: log::Limits::default(),
            store_timeout: time::Duration::from_secs(2),
            serve_timeout: time::Duration::from_secs(5),
            takeover_limits: ownership::Limits::default(),
            metrics: metrics::Metrics::default(),
        }
    }

    /// Sets the number of shards; ignored if any process has stored one before.
    #[must_use]
    pub fn shards(mut self, shards: u16) -> Self {
        self.shards = shards.max(1);
        self
    }

    /// Sets the limit of writes per second over all shards.
    ///
    /// Half of it is for appends, which are group commits, and half for the deletions that follow.
    #[must_use]
    pub fn write_rate(mut self, rate: unit::Rate) -> Self {
        self.write_rate = rate;
        self
    }

    /// Sets the maximum number of claims in one shard; further claims are refused as not run.
    #[must_use]
    pub fn max_claims(mut self, limit: usize) -> Self {
        self.limits.max_claims = limit;
        self
    }

    /// Sets the minimum number of segments between two snapshots of a shard.
    #[must_use]
    pub fn snapshot_interval(mut self, segments: u64) -> Self {
        self.limits.snapshot_segments = segments.max(1);
        self
    }

    /// Sets the timeout of one call of the object service.
    #[must_use]
    pub fn store_timeout(mut self, limit: time::Duration) -> Self {
        self.store_timeout = limit;
        self
    }

    /// Sets the thresholds for the takeover from an unreachable owner.
    #[must_use]
    pub fn takeover_limits(mut self, patience: ownership::Limits) -> Self {
        self.takeover_limits = patience;
        self
    }

    /// Sets the counters.
    #[must_use]
    pub fn metrics(mut self, metrics: metrics::Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Starts the service on the current runtime.
    pub fn start<S: store::Store, P: claims::Peers>(
        self,
        store: sync::Arc<S>,
        peers: sync::Arc<P>,
    ) -> sync::Arc<claims::Service<S, P>> {
        claims::Service::new(self, store, peers)
    }
}

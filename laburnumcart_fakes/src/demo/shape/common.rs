//! Defaults of services, and the pools that all customers of the demo share.

use laburnumcart::bundle;

use crate::demo::shape::Service;

/// Defaults of a pool.
pub(super) const POOL: Service = Service {
    name: "",
    kind: bundle::Kind::Pool,
    order_fencing: bundle::Orders::None,
    models: &[],
    small_targets: 1,
    full_targets: 1,
    mean_time: "10ms",
};

/// Defaults of an engine.
pub(super) const ENGINE: Service = Service {
    name: "",
    kind: bundle::Kind::Engine,
    order_fencing: bundle::Orders::None,
    models: &[],
    small_targets: 3,
    full_targets: 3,
    mean_time: "2ms",
};

/// Shared pools, used by the first stages of pipelines.
pub(super) const SHARED_POOLS: [Service; 3] = [
    Service {
        name: "encoders",
        small_targets: 2,
        full_targets: 3,
        mean_time: "4ms",
        ..POOL
    },
    Service {
        name: "retrievers",
        small_targets: 2,
        full_targets: 3,
        mean_time: "8ms",
        ..POOL
    },
    Service {
        name: "rerankers",
        small_targets: 2,
        full_targets: 3,
        mean_time: "6ms",
        ..POOL
    },
];

pub(super) const ENCODE: (&str, &str) = ("encode", "encoders");
pub(super) const RETRIEVE: (&str, &str) = ("retrieve", "retrievers");
pub(super) const RERANK: (&str, &str) = ("rerank", "rerankers");

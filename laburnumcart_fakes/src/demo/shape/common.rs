//! Constructors and shared pools for the services of both users.

use laburnumcart::bundle;

use crate::demo::shape::{
    Service,
    Team, //
};

pub(super) const fn pool(
    name: &'static str,
    small: usize,
    full: usize,
    time: &'static str,
) -> Service {
    Service {
        name,
        kind: bundle::Kind::Pool,
        orders: bundle::Orders::None,
        models: &[],
        small,
        full,
        time,
    }
}

pub(super) const fn engine(
    name: &'static str,
    orders: bundle::Orders,
    models: &'static [&'static str],
    full: usize,
) -> Service {
    Service {
        name,
        kind: bundle::Kind::Engine,
        orders,
        models,
        small: 3,
        full,
        time: "2ms",
    }
}

/// Shared pools of the platform, used by the first stages of pipelines.
pub(super) const POOLS: [Service; 3] = [
    pool("encoders", 2, 3, "4ms"),
    pool("retrievers", 2, 3, "8ms"),
    pool("rerankers", 2, 3, "6ms"),
];

pub(super) const ENCODE: (&str, &str) = ("encode", "encoders");
pub(super) const RETRIEVE: (&str, &str) = ("retrieve", "retrievers");
pub(super) const RERANK: (&str, &str) = ("rerank", "rerankers");

pub(super) const fn team(name: &'static str, weight: u32) -> Team {
    Team { name, weight }
}

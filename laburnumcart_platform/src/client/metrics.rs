//! Metrics of the calls to the object service.

use std::{
    fmt,
    sync::atomic, //
};

use derive_more::Display;
use prometheus_client::{
    encoding::{
        self,
        EncodeLabelSet,
        EncodeLabelValue, //
    },
    metrics::{
        counter,
        family,
        gauge, //
    },
    registry,
};

use crate::store;

/// Kind of a call.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "lowercase")]
pub(super) enum Kind {
    Get,
    Put,
    Delete,
    List,
    Watch,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "lowercase")]
enum Outcome {
    Done,
    Conflict,
    Unavailable,
    Unanswered,
    Compacted,
    Invalid,
}

impl EncodeLabelValue for Kind {
    fn encode(&self, encoder: &mut encoding::LabelValueEncoder<'_>) -> fmt::Result {
        EncodeLabelValue::encode(&self.to_string(), encoder)
    }
}

impl EncodeLabelValue for Outcome {
    fn encode(&self, encoder: &mut encoding::LabelValueEncoder<'_>) -> fmt::Result {
        EncodeLabelValue::encode(&self.to_string(), encoder)
    }
}

#[derive(Clone, Copy, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Labels {
    kind: Kind,
    outcome: Outcome,
}

#[derive(Debug, Default)]
pub(super) struct Metrics {
    calls: family::Family<Labels, counter::Counter>,
    down: gauge::Gauge<i64, atomic::AtomicI64>,
}

impl Metrics {
    pub(super) fn register(&self, registry: &mut registry::Registry) {
        registry.register(
            "object_service_calls",
            "Calls to the object service by kind and outcome",
            self.calls.clone(),
        );
        registry.register(
            "object_service_down",
            "1 while the circuit breaker of the object service is open or half-open, else 0",
            self.down.clone(),
        );
    }

    pub(super) fn record_call<T>(&self, kind: Kind, result: &Result<T, store::Failure>) {
        let outcome = match result {
            Ok(_) => Outcome::Done,
            Err(store::Failure::Conflict) => Outcome::Conflict,
            Err(store::Failure::Unavailable { .. }) => Outcome::Unavailable,
            Err(store::Failure::Unanswered) => Outcome::Unanswered,
            Err(store::Failure::Compacted) => Outcome::Compacted,
            Err(store::Failure::Invalid) => Outcome::Invalid,
        };
        self.calls.get_or_create(&Labels { kind, outcome }).inc();
    }

    pub(super) fn set_down(&self, down: bool) {
        self.down.set(i64::from(down));
    }
}

//! Metrics of a process, with names by Prometheus conventions.
//!
//! A name is `laburnum_<program>_<what>_<unit>`; the library appends `_total` to counters. Label sets
//! are structs, so that a misspelt label does not compile. The number of values of each label is
//! bounded: [`Label`] wraps types with few values, and [`Names`] caps the number of names.
//!
//! ```
//! use laburnumcart::verdict;
//! use laburnumcart_daemon::metrics;
//! use prometheus_client::{
//!     encoding::EncodeLabelSet,
//!     metrics::{counter, family},
//! };
//!
//! #[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
//! struct Refusal {
//!     reason: metrics::Label<verdict::Reason>,
//! }
//!
//! let metrics = metrics::Metrics::new();
//! let refusals = family::Family::<Refusal, counter::Counter>::default();
//! metrics.register("laburnum_entry", |registry| {
//!     registry.register("refusals", "Requests that were refused", refusals.clone());
//! });
//! let labels = Refusal { reason: metrics::Label(verdict::Reason::Overloaded) };
//! refusals.get_or_create(&labels).inc();
//! ```

use std::{
    collections,
    fmt,
    sync, //
};

use prometheus_client::{
    encoding::{
        self,
        text, //
    },
    registry, //
};

use laburnumcart::{
    bundle,
    poison,
    verdict, //
};

/// Content type of [`Metrics::encode`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Label value of names beyond the cap of [`Names`].
pub const OTHER: &str = "other";

/// The metrics of one process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: sync::Arc<sync::Mutex<registry::Registry>>,
}

impl Metrics {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers metrics whose names start with `prefix` and an underscore, or with neither if
    /// `prefix` is empty.
    pub fn register<T>(
        &self,
        prefix: &str,
        register: impl FnOnce(&mut registry::Registry) -> T,
    ) -> T {
        let mut registry = self.lock();
        if prefix.is_empty() {
            register(&mut registry)
        } else {
            register(registry.sub_registry_with_prefix(prefix))
        }
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut out = String::new();
        text::encode(&mut out, &self.lock())?;
        Ok(out)
    }

    /// Locks the registry. A panic of a holder leaves the counters consistent, so poisoning is
    /// ignored.
    fn lock(&self) -> sync::MutexGuard<'_, registry::Registry> {
        self.registry
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Type with a small, fixed set of values that can be used as a label.
pub trait ClosedSet: fmt::Display {}

impl ClosedSet for verdict::Verdict {}
impl ClosedSet for verdict::Reason {}
impl ClosedSet for bundle::Priority {}
impl ClosedSet for bool {}
impl ClosedSet for poison::Probe {}
impl ClosedSet for poison::Sign {}

/// Label value from a closed set.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Label<T>(pub T);

impl<T: ClosedSet> encoding::EncodeLabelValue for Label<T> {
    fn encode(&self, encoder: &mut encoding::LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        fmt::Write::write_fmt(encoder, format_args!("{}", self.0))
    }
}

/// Label value from a capped set of names.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Name(sync::Arc<str>);

impl encoding::EncodeLabelValue for Name {
    fn encode(&self, encoder: &mut encoding::LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        fmt::Write::write_str(encoder, &self.0)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Capped set of names for a label; names beyond the cap are counted as [`OTHER`].
///
/// Each label value is a time series that is kept until the process exits. Without a cap, names that
/// change with each bundle would make memory grow without bound.
#[derive(Debug)]
pub struct Names {
    cap: usize,
    known: sync::RwLock<collections::HashSet<sync::Arc<str>>>,
    other: Name,
}

impl Names {
    /// Creates a set of at most `cap` names.
    pub fn new(cap: usize) -> Self {
        Self {
            cap,
            known: sync::RwLock::default(),
            other: Name(OTHER.into()),
        }
    }

    /// Returns the label value for `name`.
    pub fn label(&self, name: &str) -> Name {
        let known = self
            .known
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(name) = known.get(name) {
            return Name(name.clone());
        }
        if known.len() >= self.cap {
            return self.other.clone();
        }
        drop(known);
        self.insert(name)
    }

    fn insert(&self, name: &str) -> Name {
        let mut known = self
            .known
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        // Another thread may have inserted names since the read lock was released.
        if let Some(name) = known.get(name) {
            return Name(name.clone());
        }
        if known.len() >= self.cap {
            return self.other.clone();
        }
        let name: sync::Arc<str> = name.into();
        known.insert(name.clone());
        Name(name)
    }
}

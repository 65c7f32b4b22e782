//! Metrics of a process, named by Prometheus conventions.
//!
//! A name is `laburnum_<program>_<what>_<unit>`; the library adds `_total` to counters. Label sets are
//! structs, so that a misspelt label does not compile, and the values of each label come from a
//! closed set: [`Label`] takes enums, [`Names`] caps the number of names.
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
    verdict, //
};

/// Content type of [`Metrics::encode`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Value of a label for what [`Names`] has no room for.
pub const OTHER: &str = "other";

/// The metrics of one process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: sync::Arc<sync::Mutex<registry::Registry>>,
}

impl Metrics {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers metrics whose names start with `prefix` and an underscore.
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

    /// Writes all metrics in the text format of OpenMetrics.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut out = String::new();
        text::encode(&mut out, &self.lock())?;
        Ok(out)
    }

    /// Locks the registry; a panic while it was held leaves counters whole, so it is used on.
    fn lock(&self) -> sync::MutexGuard<'_, registry::Registry> {
        self.registry
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Type with a small, fixed set of values, which can be the value of a label.
pub trait LabelValue: fmt::Display {}

impl LabelValue for verdict::Verdict {}
impl LabelValue for verdict::Reason {}
impl LabelValue for bundle::Priority {}
impl LabelValue for bool {}

/// Value of a label, from a closed set.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Label<T>(pub T);

impl<T: LabelValue> encoding::EncodeLabelValue for Label<T> {
    fn encode(&self, encoder: &mut encoding::LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        fmt::Write::write_fmt(encoder, format_args!("{}", self.0))
    }
}

/// Value of a label, from a capped set of names.
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

/// Names that a label may show; those beyond the cap are counted as [`OTHER`].
///
/// Each value of a label is a series that is kept until the process ends. Without a cap, names that
/// come and go with bundles would make memory grow for as long as the process lives.
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

    /// Returns the label for `name`.
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
        self.add(name)
    }

    fn add(&self, name: &str) -> Name {
        let mut known = self
            .known
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        // Another thread may have added names since the read.
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

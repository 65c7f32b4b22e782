//! Faults of a document, with their paths.

use std::fmt;

/// Path of a value in a JSON document, written as `$.teams["a-b"].weight`.
#[derive(Clone, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct Path(String);

impl Path {
    /// Returns the path of the whole document.
    pub fn root() -> Self {
        Self("$".into())
    }

    /// Returns the path of a member of this object.
    pub fn key(&self, key: &str) -> Self {
        let first = |c: char| c.is_ascii_alphabetic() || c == '_';
        let plain = |c: char| first(c) || c.is_ascii_digit();
        if key.starts_with(first) && key.chars().all(plain) {
            Self(format!("{}.{key}", self.0))
        } else {
            Self(format!("{}[{key:?}]", self.0))
        }
    }

    /// Returns the path of an element of this array.
    pub fn index(&self, index: usize) -> Self {
        Self(format!("{}[{index}]", self.0))
    }

    /// Converts the path of a deserialization error.
    pub(super) fn from_segments(path: &serde_path_to_error::Path) -> Self {
        use serde_path_to_error::Segment;

        path.iter().fold(Self::root(), |at, segment| match segment {
            Segment::Seq { index } => at.index(*index),
            Segment::Map { key } => at.key(key),
            Segment::Enum { variant } => at.key(variant),
            Segment::Unknown => at,
        })
    }

    /// Converts the path of a validation error.
    pub(super) fn from_location(location: &jsonschema::paths::Location) -> Self {
        use jsonschema::paths::LocationSegment;

        location
            .into_iter()
            .fold(Self::root(), |at, segment| match segment {
                LocationSegment::Index(index) => at.index(index),
                LocationSegment::Property(key) => at.key(&key),
            })
    }
}

/// One fault of a document.
#[derive(Clone, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{path}: {problem}")]
pub struct Fault {
    /// Path of the faulty value.
    pub path: Path,
    /// Description, without values that could be secret.
    pub problem: String,
}

/// All faults of a document, displayed as one per line.
#[derive(Clone, Debug, Default, derive_more::Error, Eq, PartialEq)]
pub struct Faults(#[error(not(source))] Vec<Fault>);

impl Faults {
    /// Creates the report of a single fault.
    pub fn single(path: Path, problem: impl Into<String>) -> Self {
        let mut faults = Self::default();
        faults.push(path, problem);
        faults
    }

    /// Adds a fault.
    pub fn push(&mut self, path: Path, problem: impl Into<String>) {
        let problem = problem.into();
        self.0.push(Fault { path, problem });
    }

    /// Reports whether there are no faults.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the faults.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }

    /// Returns `value` if there are no faults, else the faults.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }

    /// Sorts the faults by path and drops duplicates.
    #[must_use]
    pub(super) fn sorted(mut self) -> Self {
        self.0.sort();
        self.0.dedup();
        self
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, fault) in self.0.iter().enumerate() {
            if number > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

//! Software versions of targets, and callers that take their streams up.

use std::sync::atomic;

use crate::soak::history::{
    Call,
    State, //
};

/// Start of the line by which an event names the version of its target.
const MARK: &str = ": version ";

/// Version of targets that start while versions do not change.
const FIRST: &str = "v1";

/// Versions that targets have in turn.
const VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2.1"];

/// Versions that appear while no gateway runs, in turn.
const DARK: [&str; 4] = ["v3", "v4", "v3.1", "v5"];

/// Number of targets that start at such a version.
pub(super) const DARK_TARGETS: usize = 2;

/// Stream that a caller takes up.
#[derive(Clone, Debug)]
pub(super) struct Resumed {
    /// Attempt that brought the first event.
    pub(super) attempt: String,
    /// Number of the last event that was received.
    pub(super) after: u32,
}

/// Chooses the versions of targets.
#[derive(Debug, Default)]
pub(super) struct Versions {
    /// Whether targets differ in their versions.
    differ: bool,
    started: atomic::AtomicUsize,
    appeared: atomic::AtomicUsize,
    /// Targets that are still to start at the version that appeared last.
    dark: atomic::AtomicUsize,
}

impl Versions {
    pub(super) fn new(differ: bool) -> Self {
        Self {
            differ,
            ..Self::default()
        }
    }

    /// Has the next targets start at a version that none had before.
    pub(super) fn appear(&self) {
        self.appeared.fetch_add(1, atomic::Ordering::Relaxed);
        self.dark.store(DARK_TARGETS, atomic::Ordering::Relaxed);
    }

    /// Returns the version of the next target.
    pub(super) fn next(&self) -> &'static str {
        if !self.differ {
            return FIRST;
        }
        let dark = self.dark.load(atomic::Ordering::Relaxed);
        if dark > 0 {
            self.dark.store(dark - 1, atomic::Ordering::Relaxed);
            return DARK[self.appeared.load(atomic::Ordering::Relaxed) % DARK.len()];
        }
        let number = self.started.fetch_add(1, atomic::Ordering::Relaxed);
        VERSIONS[number % VERSIONS.len()]
    }
}

/// Returns the line by which an event names its version.
pub(super) fn mark(version: &str) -> String {
    format!("{MARK}{version}\n")
}

/// Returns a body without the lines that name versions.
///
/// A part of such a line may stand at the end of a body that was cut off.
pub(super) fn without_marks(body: &str) -> String {
    let lines = body.split_inclusive('\n');
    lines.filter(|line| !line.starts_with(':')).collect()
}

/// Returns the stream that a caller can take up after a call that was cut off.
pub(super) fn interrupted(attempt: &str, call: &Call) -> Option<Resumed> {
    let is_cut = call.route == "tale" && call.status == Some(200) && !call.complete;
    let whole = call.body.rfind("\n\n")?;
    let mut numbers = call.body[..whole]
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    let after = numbers.next_back()?.parse().ok()?;
    is_cut.then(|| Resumed {
        attempt: attempt.to_owned(),
        after,
    })
}

/// Lists the streams that hold events of two versions.
pub(super) fn breaches(state: &State) -> Vec<String> {
    let mixed = state.calls.iter().filter_map(|(attempt, call)| {
        let first = call.resumed.as_ref();
        let first = first.and_then(|resumed| state.calls.get(&resumed.attempt));
        let bodies = [first.map_or("", |call| &call.body), &call.body];
        let lines = bodies.iter().flat_map(|body| body.split_inclusive('\n'));
        let mut versions: Vec<_> = lines
            .filter_map(|line| line.strip_prefix(MARK)?.strip_suffix('\n'))
            .collect();
        versions.sort_unstable();
        versions.dedup();
        (versions.len() > 1).then(|| format!("{attempt} holds events of {versions:?}: {call:?}"))
    });
    mixed.collect()
}

/// Counts the streams that callers took up, by what became of them.
pub(super) fn count(state: &State, outcome: &str) -> usize {
    let taken_up = state.calls.values().filter(|call| call.resumed.is_some());
    let is_counted = |call: &&Call| match outcome {
        "went on" => call.status == Some(200),
        "refused" => call.status == Some(503),
        _ => true,
    };
    taken_up.filter(is_counted).count()
}

//! Weighing of the causes of crashes: which may run, and which are refused for how long.

use std::{
    cmp,
    collections,
    time, //
};

use tokio::time::Instant;

use crate::{
    id,
    poison::crashes::{
        CRASHES,
        Crash,
        Crashes,
        RETENTION, //
    },
    suspects,
};

/// Quarantine after a crash, by the number of crashes in sequence beyond those that lead to it.
///
/// The first ones are short, as a harmless request may have run beside poison each time. Each
/// quarantine is followed by one run, so that poison crashes few more targets.
const QUARANTINES: [time::Duration; 4] = [
    time::Duration::from_secs(2),
    time::Duration::from_secs(30),
    time::Duration::from_secs(600),
    RETENTION,
];

/// Crashed targets at which nothing else ran, from which a cause is held to be poison.
const CRASHES_ALONE: usize = 2;

/// Number of quarantines that are skipped for such a cause.
const SKIPPED_ALONE: usize = 2;

/// Crashes by requests that were sent once a cause is limited, after which it is refused whatever
/// else ran beside it: no more requests with it may reach targets.
const LIMITED_CRASHES_MAX: usize = 3;

/// Time after a crash until all processes have told which requests failed with it.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1500);

/// Crashes in sequence from which a part of prompts is limited.
///
/// A part that most requests have fails with each target: one rack that fails must not slow all
/// requests down.
const PART_SEQUENCE: usize = 2;

/// Level of suspicion of a cause that has crashed several targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Level {
    Limited,
    Quarantined {
        /// End until it is settled what else ran at the last crash.
        early: Instant,
        settled: Instant,
        /// End from then on.
        until: Instant,
    },
}

/// A cause that crashed several targets, with the crashes that count against it.
struct Candidate<'a> {
    cause: id::Fingerprint,
    is_part: bool,
    /// Whether it is a part with which requests completed before its first crash.
    was_sound: bool,
    crashes: Vec<&'a Crash>,
}

impl Candidate<'_> {
    fn sequence(&self) -> usize {
        sequence_length(&self.crashes)
    }
}

/// Returns the levels of all causes.
///
/// Causes with the greatest share of crashes that nothing else explains come first, then those with
/// the most crashes in sequence: harmless content that ran beside several poisons has more crashes
/// than each of them. A crash of a target where a cause in quarantine ran does not lead to the
/// quarantine of another one that ran there; if that cause is a part of prompts, which needs
/// several contents to be blamed, the crash counts against nothing else.
pub(super) fn weigh(crashes: &Crashes) -> collections::HashMap<id::Fingerprint, Level> {
    let mut candidates = candidates(crashes);
    candidates.sort_by_cached_key(|candidate| {
        let share = unexplained_share(crashes, candidate);
        let weight = cmp::Reverse((share, candidate.sequence()));
        let Candidate {
            cause,
            is_part,
            was_sound,
            ..
        } = candidate;
        (*was_sound, weight, *is_part, *cause)
    });
    let identified = identified(&candidates);
    let mut levels = collections::HashMap::new();
    let mut explained: collections::HashSet<&id::TargetLife> = collections::HashSet::new();
    let mut explained_by_parts: collections::HashSet<&id::TargetLife> = collections::HashSet::new();
    for candidate in &candidates {
        let left = |explained: &collections::HashSet<&id::TargetLife>| {
            let crashes = candidate.crashes.iter();
            let crashes = crashes.filter(|crash| !explained.contains(&crash.target));
            crashes.copied().collect::<Vec<_>>()
        };
        if !is_suspect(candidate, &left(&explained_by_parts)) {
            continue;
        }
        let open = left(&explained);
        // Only whether it is quarantined depends on the open crashes: its time must not become
        // shorter when another cause turns out to be poison too.
        let is_poison = identified.contains(&candidate.cause) && sequence_length(&open) >= CRASHES;
        let counted = &candidate.crashes;
        let level = match is_poison {
            _ if limited_crashes(counted) >= LIMITED_CRASHES_MAX => final_quarantine(counted),
            true => quarantine(crashes, candidate),
            false => None,
        };
        if is_poison && level.is_some() {
            let targets = counted.iter().map(|crash| &crash.target);
            explained.extend(targets.clone());
            if candidate.is_part {
                explained_by_parts.extend(targets);
            }
        }
        levels.insert(candidate.cause, level.unwrap_or(Level::Limited));
    }
    levels
}

/// Lists the causes that may have a level.
fn candidates(crashes: &Crashes) -> Vec<Candidate<'_>> {
    let frequent = crashes.frequent();
    let candidates = frequent.filter_map(|(cause, counted)| {
        let known = crashes.get(cause)?;
        Some(Candidate {
            cause,
            is_part: known.is_part,
            was_sound: known.is_part && known.was_sound,
            crashes: counted,
        })
    });
    candidates
        .filter(|c| !c.is_part || !is_one_content(crashes, c))
        .collect()
}

/// Reports whether one content explains all crashes of a part of its prompt.
fn is_one_content(crashes: &Crashes, part: &Candidate<'_>) -> bool {
    let contents_at = |crash: &&Crash| {
        let contents = crashes.failed_at(&crash.target).filter(|c| !c.is_part);
        let failed = contents.flat_map(|known| crashes.counted(known));
        let failed = failed.filter(|c| c.target == crash.target && c.failure.has(part.cause));
        failed
            .map(|c| c.failure.content)
            .collect::<collections::HashSet<_>>()
    };
    let contents = part.crashes.iter().map(contents_at);
    let common = contents.reduce(|all, contents| all.intersection(&contents).copied().collect());
    common.is_some_and(|common| !common.is_empty())
}

/// Reports whether a cause is suspected by crashes that no part in quarantine explains.
fn is_suspect(candidate: &Candidate<'_>, left: &[&Crash]) -> bool {
    match candidate.is_part {
        true => sequence_length(left) >= PART_SEQUENCE,
        false => left.len() >= CRASHES,
    }
}

/// Returns the causes that are identified among those with enough crashes in sequence.
fn identified(candidates: &[Candidate<'_>]) -> collections::HashSet<id::Fingerprint> {
    let repeated = candidates.iter().filter(|c| c.sequence() >= CRASHES);
    let targets = repeated.map(|candidate| {
        let targets = candidate.crashes.iter().map(|crash| &crash.target);
        (candidate.cause, targets.collect())
    });
    suspects::identify(&targets.collect(), CRASHES)
}

/// Returns how many of the crashes of a cause nothing else explains, in thousandths.
fn unexplained_share(crashes: &Crashes, candidate: &Candidate<'_>) -> usize {
    let counted = candidate.crashes.iter();
    let unexplained = counted.filter(|c| crashes.is_only_suspect(candidate.cause, &c.target));
    unexplained.count() * 1000 / candidate.crashes.len().max(1)
}

/// Returns the quarantine that follows from the crashes of a cause; `None` if too few came in
/// sequence.
fn quarantine(crashes: &Crashes, candidate: &Candidate<'_>) -> Option<Level> {
    let last = candidate.crashes.last()?.failure.failed;
    let beyond = candidate.sequence().checked_sub(CRASHES)?;
    let alone = candidate.crashes.iter();
    let alone = alone.filter(|crash| crashes.was_alone(candidate.cause, &crash.target));
    let skipped = match alone.count() >= CRASHES_ALONE {
        true => SKIPPED_ALONE,
        false => 0,
    };
    let end = |index: usize| last + QUARANTINES[index.min(QUARANTINES.len() - 1)];
    Some(Level::Quarantined {
        early: end(beyond),
        settled: last + SETTLE_TIME,
        until: end(beyond + skipped),
    })
}

/// Returns the quarantine of a cause of which no further request may reach a target.
fn final_quarantine(crashes: &[&Crash]) -> Option<Level> {
    let last = crashes.last()?.failure.failed;
    let until = last + RETENTION;
    Some(Level::Quarantined {
        early: until,
        settled: last,
        until,
    })
}

/// Returns the number of crashes in sequence after the one from which a cause is limited.
fn limited_crashes(crashes: &[&Crash]) -> usize {
    let Some(limited) = crashes.get(CRASHES - 1) else {
        return 0;
    };
    let since = limited.failure.failed;
    let after = crashes.iter().filter(|crash| crash.failure.sent >= since);
    sequence_length(&after.copied().collect::<Vec<_>>())
}

/// Returns the greatest number of crashes of which each came after the last failure.
fn sequence_length(crashes: &[&Crash]) -> usize {
    let mut last: Option<Instant> = None;
    let mut length = 0;
    for Crash { failure, .. } in crashes {
        if last.is_none_or(|failed| failed <= failure.sent) {
            last = Some(failure.failed);
            length += 1;
        }
    }
    length
}

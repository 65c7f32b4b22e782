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

/// Number of crashes after which the quarantine of what has just been sound does not grow yet.
const SPARED_SOUND: usize = 2;

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

/// Time for which crashes with a part that has just been sound go on before it is refused.
const SOUND_SPAN: time::Duration = time::Duration::from_secs(2);

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

    /// Returns the crashes in sequence from which it is refused.
    fn refused_from(&self) -> usize {
        CRASHES + usize::from(self.was_sound)
    }

    /// Reports whether crashes that nothing else explains are enough to refuse it.
    ///
    /// Requests with a part that most prompts have are in flight at all targets, and are sent to
    /// those of a rack that has failed until all processes know of it. They complete elsewhere
    /// within a moment, unless the part itself is the cause.
    fn is_blamed(&self, open: &[&Crash]) -> bool {
        let first = open.first().map(|crash| crash.failure.failed);
        let last = open.last().map(|crash| crash.failure.failed);
        let lasts = last >= first.map(|first| first + SOUND_SPAN);
        sequence_length(open) >= self.refused_from() && (lasts || !self.was_sound)
    }

    /// Reports whether it is suspected by crashes that no part in quarantine explains.
    ///
    /// A part that has just been sound runs freely until it is blamed: what clears it are the
    /// requests that have it and do not crash their targets.
    fn is_suspected(&self, left: &[&Crash]) -> bool {
        let is_repeated = match self.is_part {
            true => sequence_length(left) >= PART_SEQUENCE,
            false => left.len() >= CRASHES,
        };
        is_repeated && !self.was_sound
    }

    /// Reports whether it has crashed so many targets while it was limited that no further request
    /// may reach one.
    ///
    /// A part is limited together with others of the same prompts, so it must be blamed as well.
    fn is_final(&self, is_poison: bool) -> bool {
        let is_sure = is_poison || !self.is_part;
        is_sure && !self.was_sound && limited_crashes(&self.crashes) >= LIMITED_CRASHES_MAX
    }

    /// Returns its crashes but for those of some targets.
    fn without(&self, explained: &collections::HashSet<&id::TargetLife>) -> Vec<&Crash> {
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|crash| !explained.contains(&crash.target));
        crashes.copied().collect()
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
    let (sound, others): (Vec<_>, Vec<_>) = candidates.iter().partition(|c| c.was_sound);
    // A part that has just been sound is in the requests of others that crash targets: it does not
    // keep these from being identified.
    let identified: collections::HashSet<_> =
        [sound, others].into_iter().flat_map(identified).collect();
    let mut levels = collections::HashMap::new();
    // Targets whose crashes a cause in quarantine explains, and a part in quarantine.
    let mut explained = collections::HashSet::new();
    let mut explained_by_parts = collections::HashSet::new();
    for candidate in &candidates {
        let open = candidate.without(&explained);
        // Only whether it is quarantined depends on the open crashes: its time must not become
        // shorter when another cause turns out to be poison too.
        let is_poison = identified.contains(&candidate.cause) && candidate.is_blamed(&open);
        if !is_poison && !candidate.is_suspected(&candidate.without(&explained_by_parts)) {
            continue;
        }
        let level = match is_poison {
            _ if candidate.is_final(is_poison) => final_quarantine(&candidate.crashes),
            true => quarantine(crashes, candidate),
            false => None,
        };
        if is_poison && level.is_some() {
            let targets = candidate.crashes.iter().map(|crash| &crash.target);
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

/// Returns the causes that are identified among those with enough crashes in sequence.
fn identified(candidates: Vec<&Candidate<'_>>) -> collections::HashSet<id::Fingerprint> {
    let repeated = candidates
        .into_iter()
        .filter(|c| c.sequence() >= c.refused_from());
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
    // That all requests at a target have a part says nothing against it.
    let skipped = match !candidate.is_part && alone.count() >= CRASHES_ALONE {
        true => SKIPPED_ALONE,
        false => 0,
    };
    // Most requests may have what has just been sound: its first quarantines are the shortest.
    let spared = match candidate.was_sound {
        true => SPARED_SOUND,
        false => 0,
    };
    let beyond = beyond.saturating_sub(spared);
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

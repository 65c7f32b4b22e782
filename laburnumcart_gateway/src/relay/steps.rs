//! Order in which a process asks the sources of a topic.

use std::{
    collections,
    time, //
};

use crate::{
    relay::candidates::Candidates,
    view, //
};

/// Time after the wait of a call in which the store answers, also while it is slow.
const STORE_SLACK: time::Duration = time::Duration::from_millis(300);

/// Time after the wait of a request in which a peer answers.
const PEER_SLACK: time::Duration = time::Duration::from_millis(150);

/// Time for a large answer of a peer.
const LARGE_TIME: time::Duration = time::Duration::from_millis(600);

/// Time for peers that wait for a read of their own.
const OTHERS_TIME: time::Duration = time::Duration::from_millis(550);

/// Number of such peers that are asked at once.
const OTHERS_AT_ONCE: usize = 2;

/// Pause between sources once one is late, which has used up the time for a change.
const HEDGE_DELAY: time::Duration = time::Duration::from_millis(100);

/// A source of a topic, and how it is asked.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Source {
    /// The store.
    Store,
    /// A reader.
    Peer(view::Member),
    /// A peer that waits until it has fresh data.
    Other(view::Member),
    /// A peer whose answer may be large.
    Large(view::Member),
}

/// Sources that are asked at once.
#[derive(Debug, PartialEq)]
pub(super) struct Step {
    pub(super) sources: Vec<Source>,
}

impl Step {
    /// Returns the time before the next step, if the sources have `wait` left for changes.
    pub(super) fn patience(
        &self,
        wait: time::Duration,
        is_late: bool,
        is_last: bool,
    ) -> time::Duration {
        match self.sources.first() {
            Some(Source::Other(_)) if is_last => OTHERS_TIME,
            Some(Source::Other(_)) => HEDGE_DELAY,
            Some(Source::Large(_)) => LARGE_TIME,
            _ if is_late => HEDGE_DELAY,
            Some(Source::Store) => wait + STORE_SLACK,
            Some(Source::Peer(_)) | None => wait + PEER_SLACK,
        }
    }
}

/// Steps that are left.
#[derive(Debug, Default)]
pub(super) struct Steps {
    steps: collections::VecDeque<Step>,
    has_repeated: bool,
    has_others: bool,
}

impl Steps {
    fn push(&mut self, sources: impl IntoIterator<Item = Source>) {
        let sources: Vec<_> = sources.into_iter().collect();
        if !sources.is_empty() {
            self.steps.push_back(Step { sources });
        }
    }

    fn push_others(&mut self, others: Vec<view::Member>) {
        self.has_others = !others.is_empty();
        for group in others.chunks(OTHERS_AT_ONCE) {
            self.push(group.iter().cloned().map(Source::Other));
        }
    }

    /// Returns the next step.
    pub(super) fn next(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Reports whether no step is left.
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Reports whether peers other than the readers are among the steps.
    pub(super) fn has_others(&self) -> bool {
        self.has_others
    }

    /// Calls the store once more, as the connection of a late call may be silent.
    pub(super) fn repeat_store(&mut self) {
        if !std::mem::replace(&mut self.has_repeated, true) {
            let sources = vec![Source::Store];
            self.steps.push_front(Step { sources });
        }
    }

    /// Puts the reads of a large change first: from the store, then from the peer that has it.
    pub(super) fn ask_large(&mut self, member: view::Member, is_failing: bool) {
        let sources = vec![Source::Large(member)];
        self.steps.push_front(Step { sources });
        if !is_failing {
            let sources = vec![Source::Store];
            self.steps.push_front(Step { sources });
        }
    }
}

/// Returns the order of a reader, which calls the store first unless that has failed lately.
pub(super) fn of_reader(candidates: Candidates, can_call_first: bool) -> Steps {
    let mut steps = Steps::default();
    if can_call_first {
        steps.push([Source::Store]);
    }
    for reader in candidates.readers {
        steps.push([Source::Peer(reader)]);
    }
    if !can_call_first {
        steps.push([Source::Store]);
    }
    steps.push_others(candidates.others);
    steps
}

/// Returns the order of a process that is no reader.
///
/// It reads the store before it asks others that follow the same readers.
pub(super) fn of_follower(candidates: Candidates, can_probe: bool) -> Steps {
    let mut steps = Steps::default();
    for reader in candidates.readers {
        steps.push([Source::Peer(reader)]);
    }
    if can_probe {
        steps.push([Source::Store]);
    }
    steps.push_others(candidates.others);
    steps
}

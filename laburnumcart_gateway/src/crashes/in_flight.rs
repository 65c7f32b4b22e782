//! Requests in flight at targets, and what may have crashed these.

use std::{
    sync::Arc,
    time, //
};

use slotmap::SlotMap;
use tokio::time::Instant;

use laburnumcart::{
    id,
    poison, //
};

use crate::{
    admission,
    peers,
    view, //
};

/// Time after the first part of a response's body from which its target is past the start.
const START_TIME: time::Duration = time::Duration::from_millis(500);

/// Time without a sign of a target after which it is checked once a caller gives up a request.
const QUIET: time::Duration = time::Duration::from_millis(300);

slotmap::new_key_type! {
    /// Key of a run in progress.
    pub(super) struct RunKey;
}

/// Contents of a request or a batch call.
#[derive(Clone, Debug)]
pub enum Content {
    /// That of a request, whose fingerprint is computed only if needed.
    Request(Arc<admission::Request>),
    /// Those of the requests whose pieces a batch call carries.
    Pieces(Vec<id::Fingerprint>),
}

impl Content {
    pub(super) fn fingerprints(&self) -> Vec<id::Fingerprint> {
        match self {
            Self::Request(request) => vec![request.fingerprint()],
            Self::Pieces(contents) => contents.clone(),
        }
    }

    /// Returns the parts of the prompt of a request for a service.
    pub(super) fn parts(&self, service: &id::ServiceName) -> Vec<id::Fingerprint> {
        match self {
            Self::Request(request) => request.part_fingerprints(service),
            Self::Pieces(_) => Vec::new(),
        }
    }

    /// Returns the id of the request; empty for a batch call.
    pub(super) fn attempt(&self) -> &str {
        match self {
            Self::Request(request) => &request.call.attempt,
            Self::Pieces(_) => "",
        }
    }

    /// Returns the parts of the prompt that other requests may have too, for the log.
    pub(super) fn part_names(&self) -> String {
        match self {
            Self::Request(request) => request.part_names(),
            Self::Pieces(_) => String::new(),
        }
    }
}

/// A request in flight at a target.
#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) content: Content,
    pub(super) service: id::ServiceName,
    pub(super) sent: Instant,
    /// When the first part of the response's body came, and when the last one.
    pub(super) response: Option<(Instant, Instant)>,
    /// Whether it is recorded that the target had got past the start of the response.
    pub(super) survived: bool,
}

impl InFlight {
    /// Reports whether the target has gone on for a while after it began the response.
    ///
    /// A part of a prompt that crashes targets does so when these begin to answer.
    pub(super) fn is_past_start(&self) -> bool {
        let response = self.response;
        response.is_some_and(|(first, last)| last >= first + START_TIME)
    }

    pub(super) fn failures(
        &self,
        failed: Instant,
        given_up: bool,
    ) -> impl Iterator<Item = poison::Failure> {
        let sent = self.sent;
        let parts: Arc<[_]> = match self.is_past_start() {
            true => [].into(),
            false => self.content.parts(&self.service).into(),
        };
        let contents = self.content.fingerprints().into_iter();
        contents.map(move |content| poison::Failure {
            content,
            parts: parts.clone(),
            sent,
            failed,
            given_up,
        })
    }
}

/// State of a target with requests in flight, or under a check.
pub(super) struct TargetState {
    pub(super) target: view::Target,
    pub(super) runs: SlotMap<RunKey, InFlight>,
    /// When it last sent anything.
    pub(super) heard: Option<Instant>,
    pub(super) checking: bool,
    pub(super) checked_at: Option<Instant>,
    /// Trials that have failed here, which end with the check.
    pub(super) trials: Vec<peers::trial::Trial>,
}

impl TargetState {
    pub(super) fn new(target: &view::Target) -> Self {
        Self {
            target: target.clone(),
            runs: SlotMap::with_key(),
            heard: None,
            checking: false,
            checked_at: None,
            trials: Vec::new(),
        }
    }

    /// Reports whether requests are in flight and nothing has come for a while.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let oldest = self.runs.values().map(|run| run.sent).min();
        let Some(oldest) = oldest else {
            return false;
        };
        let last = self.heard.map_or(oldest, |heard| heard.max(oldest));
        now.saturating_duration_since(last) >= poison::Check::SILENCE
    }

    /// Returns when a run that still waits at a crashed target failed.
    ///
    /// A silent target is held to have crashed only after a probe. What was sent to others
    /// meanwhile came after its failure all the same.
    pub(super) fn failure_time(&self, run: &InFlight, now: Instant) -> Instant {
        let last = self.heard.map_or(run.sent, |heard| heard.max(run.sent));
        now.min(last + poison::Check::SILENCE)
    }

    /// Reports whether nothing has come from the target recently, nor since a run was sent.
    pub(super) fn is_quiet(&self, run: &InFlight, now: Instant) -> bool {
        let last = self.heard.map_or(run.sent, |heard| heard.max(run.sent));
        now >= last + QUIET
    }

    pub(super) fn is_idle(&self) -> bool {
        self.runs.is_empty() && !self.checking
    }
}

//! A request or batch call in flight at a target.

use std::{
    mem,
    sync::Arc, //
};

use http::StatusCode;
use laburnumcart::id;

use crate::peers;

use super::{
    Detector,
    RunKey, //
};

/// A request or batch call in flight; dropping it means that it was given up.
pub struct Run {
    detector: Arc<Detector>,
    target: id::TargetLife,
    key: RunKey,
    trials: Vec<peers::trial::Trial>,
    settled: bool,
}

impl Run {
    pub(super) fn new(
        detector: Arc<Detector>,
        target: id::TargetLife,
        key: RunKey,
        trials: Vec<peers::trial::Trial>,
    ) -> Self {
        Self {
            detector,
            target,
            key,
            trials,
            settled: false,
        }
    }

    /// Records that the target has sent a part of the response's body.
    pub fn record_bytes(&self) {
        self.detector.record_bytes(&self.target, self.key);
    }

    /// Records that the target survived the run: it sent a complete response.
    ///
    /// Only an answer shows that the target survives the parts of the prompt: with an error it may
    /// not have begun to execute the request.
    pub fn complete(mut self, status: StatusCode) {
        self.settled = true;
        let answered = status.is_success();
        self.detector.complete(&self.target, self.key, answered);
    }

    /// Records that the target did not run it.
    pub fn discard(mut self) {
        self.settled = true;
        self.detector.remove(&self.target, self.key);
    }

    /// Records a failure that the target's crash may have caused.
    pub fn fail(mut self) {
        self.settled = true;
        let trials = mem::take(&mut self.trials);
        self.detector.fail(&self.target, self.key, trials, false);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.settled {
            let trials = mem::take(&mut self.trials);
            self.detector.fail(&self.target, self.key, trials, true);
        }
    }
}

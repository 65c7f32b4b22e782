//! Change from a silent target to another one.
//!
//! A silent target may go on, so it is listened to until another one can take its place.

use std::time;

use laburnumcart::{
    retry,
    verdict, //
};

use crate::{
    budgets,
    forward::grants,
    pipeline,
    reply, //
};

use super::{
    Interruption,
    OpenError,
    StreamRun, //
};

/// Time for which a silent target is still listened to after the next one has a connection.
///
/// The earlier target must have stopped soon after the next one has begun.
const OVERLAP: time::Duration = time::Duration::from_millis(250);

/// Time after which the stages are run again if they could not be, or were not needed.
const INPUTS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// What has become of a stream that was opened beside a silent one.
enum Beside {
    /// The silent target has sent something.
    Heard,
    /// The other target was tried.
    Opened(Result<(), OpenError>),
}

impl StreamRun {
    /// Resumes the stream of a silent target at another one, if that is granted; returns the timeout
    /// of the next event.
    pub(super) async fn try_switch(&mut self) -> Result<time::Duration, reply::Truncated> {
        let can_switch = self.can_resume() && self.last_event.is_some();
        if !can_switch || !self.forwarder.may_repeat() {
            return Ok(grants::ASK_INTERVAL);
        }
        if !self.prepare_inputs().await {
            return Ok(INPUTS_INTERVAL);
        }
        if !self.forwarder.try_grant(budgets::RepeatKind::Stream) {
            self.inputs = None;
            return Ok(INPUTS_INTERVAL);
        }
        let lost = verdict::Refusal::may_have_run(verdict::Reason::Lost);
        let kind = budgets::RepeatKind::Stream;
        if let retry::Decision::GiveUp(_) = self.forwarder.decide_retry(lost, kind) {
            self.inputs = None;
            return Ok(grants::ASK_INTERVAL);
        }
        match self.open_beside().await {
            Beside::Opened(Ok(())) => {}
            Beside::Heard => self.inputs = None,
            // The silent target is still there.
            Beside::Opened(Err(_)) if self.current.is_some() => self.inputs = None,
            Beside::Opened(Err(OpenError::Send(refusal))) => self.resume(refusal).await?,
            Beside::Opened(Err(OpenError::Inputs(refusal))) => {
                return Err(self.record_broken(refusal.reason));
            }
        }
        Ok(super::gap_timeout(&self.request, &self.forwarder))
    }

    /// Runs the stages again for another target; returns whether the silent one may be replaced.
    async fn prepare_inputs(&mut self) -> bool {
        if self.inputs.is_some() || self.request.route.stages.is_empty() {
            return true;
        }
        let Some(silent) = &mut self.current else {
            return false;
        };
        tokio::select! {
            biased;
            _ = silent.listen(self.last_event) => false,
            inputs = pipeline::rerun_stages(&self.gateway, &self.request) => {
                self.inputs = inputs.ok();
                self.inputs.is_some()
            }
        }
    }

    /// Opens the stream at another target while the silent one is listened to; `current` is then
    /// the one that goes on, if any.
    async fn open_beside(&mut self) -> Beside {
        let Some(mut silent) = self.current.take() else {
            return Beside::Opened(self.open_next_in_time().await);
        };
        let (request, last) = (self.request.clone(), self.last_event);
        let connected = self.forwarder.watch_connected();
        let overlap = async {
            connected.notified().await;
            tokio::time::sleep(OVERLAP).await;
        };
        let first = {
            let opening = self.open_next_in_time();
            tokio::pin!(opening);
            let first = tokio::select! {
                biased;
                opened = &mut opening => Ok(Beside::Opened(opened)),
                failure = silent.listen(last) => failure.map_or(Ok(Beside::Heard), Err),
                () = overlap => Err(Interruption::Silent),
            };
            match first {
                Ok(first) => first,
                Err(cause) => {
                    super::record_interruption(&request, &silent, cause, last);
                    silent.fail();
                    return Beside::Opened(opening.await);
                }
            }
        };
        match &first {
            Beside::Opened(Ok(())) => {
                super::record_interruption(&request, &silent, Interruption::Silent, last);
                silent.fail();
            }
            Beside::Opened(Err(_)) => self.current = Some(silent),
            Beside::Heard => {
                self.forwarder.abandon();
                self.current = Some(silent);
            }
        }
        first
    }
}

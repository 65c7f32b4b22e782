//! Health checks of the target and detection of its crashes.

use laburnumcart::{
    id,
    unit, //
};
use laburnumcart_daemon::event;
use tokio::time;

use crate::{
    control,
    scheduler,
    target, //
};

/// Consecutive failed polls after which the target counts as down.
const MAX_MISSED_POLLS: u32 = 2;

/// Health of the target as of the last poll.
#[derive(Debug)]
pub(super) struct Health {
    boot: Option<String>,
    missed_polls: u32,
    /// Time for which content that crashed targets is refused.
    pub(super) quarantine: unit::Period,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            boot: None,
            missed_polls: MAX_MISSED_POLLS,
            quarantine: unit::Period::from_secs(600),
        }
    }
}

impl Health {
    /// Reports whether the target answers.
    pub(super) fn is_ready(&self) -> bool {
        self.missed_polls < MAX_MISSED_POLLS
    }

    /// Records a state; returns whether the target has restarted since the previous one.
    fn record_state(&mut self, state: &target::State) -> bool {
        let before = self.boot.replace(state.boot.clone());
        self.missed_polls = 0;
        before.is_some_and(|before| before != state.boot)
    }

    /// Records that the target crashed and is down.
    fn record_crash(&mut self) {
        self.missed_polls = MAX_MISSED_POLLS;
        // The restart that is seen next belongs to this crash. If it counted as another crash, the
        // attempts started since would be ended and suspected.
        self.boot = None;
    }
}

impl control::Control {
    /// Polls the target; if it crashed, ends all attempts that ran there.
    pub(super) async fn check_health(&mut self) {
        let ready = self.health.is_ready();
        // Counted before the poll: its answer can predate a failure that happens meanwhile.
        let failures = self.shared.scheduler().unexplained_failures();
        match self.shared.target.read_state().await {
            Ok(state) => self.handle_state(&state, failures),
            Err(failure) => self.handle_failure(failure),
        }
        if ready != self.health.is_ready() {
            event!(Info, "target", ready = self.health.is_ready());
        }
    }

    /// Handles an answer, which explains the failures from before the poll.
    fn handle_state(&mut self, state: &target::State, failures: usize) {
        self.explained = failures;
        if self.health.record_state(state) {
            let suspects = self.record_crash(&mut self.shared.scheduler());
            self.handle_crash(suspects);
        }
        self.target_states.send_replace(Some(state.clone()));
    }

    fn handle_failure(&mut self, failure: target::http::Failure) {
        self.health.missed_polls = self.health.missed_polls.saturating_add(1);
        self.target_states.send_replace(None);
        // A process that has exited closes its port and all connections. One that is only slow or
        // paused keeps them, and its attempts must not be suspected. A closed port is proof enough:
        // until all attempts have failed on a busy instance, a suspect could go to another target.
        let suspects = {
            let mut scheduler = self.shared.scheduler();
            let crashed = match failure {
                target::http::Failure::Refused => scheduler.has_unexplained(),
                target::http::Failure::Unreached | target::http::Failure::Broken => {
                    scheduler.has_failed_all()
                }
                _ => false,
            };
            crashed.then(|| self.record_crash(&mut scheduler))
        };
        if let Some(suspects) = suspects {
            self.health.record_crash();
            self.handle_crash(suspects);
        }
    }

    /// Records a crash and returns the content that ran on the target.
    ///
    /// An attempt that starts later gets a new connection: on one from before the crash it would
    /// fail as well, and its content would be suspected of a second crash.
    fn record_crash(&self, scheduler: &mut scheduler::Scheduler) -> Vec<id::Fingerprint> {
        self.shared.target.drop_idle_connections();
        scheduler.record_crash(time::Instant::now())
    }

    /// Ends all attempts that ran on the target and records their content as suspects.
    fn handle_crash(&mut self, suspects: Vec<id::Fingerprint>) {
        self.explained = suspects.len();
        self.shared.crashes.send_modify(|count| *count += 1);
        self.shared.counters.crashes.inc();
        event!(Warn, "target-crashed", suspects = suspects.len());
        if !suspects.is_empty() {
            self.add_crash(suspects);
        }
    }
}

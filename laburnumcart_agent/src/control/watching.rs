//! Health of the target and its crashes.

use laburnumcart::unit;
use laburnumcart_daemon::event;

use crate::{
    control,
    target, //
};

/// Looks in a row that must fail before the target counts as down without a crash.
const MISSES: u32 = 2;

/// What was last seen of the target.
#[derive(Debug)]
pub(super) struct Watching {
    boot: Option<String>,
    misses: u32,
    /// Time for which content that crashed targets is refused.
    pub(super) quarantine: unit::Period,
}

impl Default for Watching {
    fn default() -> Self {
        Self {
            boot: None,
            misses: MISSES,
            quarantine: unit::Period::from_secs(600),
        }
    }
}

impl Watching {
    /// Reports whether the target answers.
    pub(super) fn is_ready(&self) -> bool {
        self.misses < MISSES
    }

    /// Takes in a state; returns whether the target has started again since the last one.
    fn see(&mut self, state: &target::State) -> bool {
        let before = self.boot.replace(state.boot.clone());
        self.misses = 0;
        before.is_some_and(|before| before != state.boot)
    }

    /// Takes in that the target crashed and is down.
    fn fall(&mut self) {
        self.misses = MISSES;
        // The next life that is seen comes of this crash. Taken for a crash of its own, what had
        // started on that life would be ended and suspected.
        self.boot = None;
    }
}

impl control::Control {
    /// Looks at the target; a crash ends all that ran there.
    pub(super) async fn watch(&mut self) {
        let ready = self.watching.is_ready();
        // An answer can be older than a failure that happens while it is on its way.
        let failures = self.shared.work().unexplained();
        match self.shared.target.state().await {
            Ok(state) => self.seen(&state, failures),
            Err(failure) => self.missed(failure),
        }
        if ready != self.watching.is_ready() {
            event!(Info, "target", ready = self.watching.is_ready());
        }
    }

    /// Takes in a state, which explains the failures from before it was asked for.
    fn seen(&mut self, state: &target::State, failures: usize) {
        self.explained = failures;
        if self.watching.see(state) {
            self.crashed();
        }
        self.states.send_replace(Some(state.clone()));
    }

    fn missed(&mut self, failure: target::http::Failure) {
        self.watching.misses = self.watching.misses.saturating_add(1);
        self.states.send_replace(None);
        let closed = matches!(
            failure,
            target::http::Failure::Unreached | target::http::Failure::Broken
        );
        // A process that is gone closes its port and all connections. One that is only slow or
        // paused keeps them, and what it runs must not be counted against its content.
        if closed && self.shared.work().is_struck() {
            self.watching.fall();
            self.crashed();
        }
    }

    /// Ends all that ran on the target and names it as suspect.
    fn crashed(&mut self) {
        let (suspects, failures) = {
            let work = self.shared.work();
            (work.suspects(), work.unexplained())
        };
        self.explained = failures;
        self.shared.crashes.send_modify(|count| *count += 1);
        self.shared.counters.crashes.inc();
        event!(Warn, "target-crashed", suspects = suspects.len());
        if !suspects.is_empty() {
            self.add_crash(suspects);
        }
    }
}

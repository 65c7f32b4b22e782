//! Placement of attempts: chooses a target, the same one for all attempts of suspect content.

use futures_util::future;
use tokio::time;

use laburnumcart::{
    bundle,
    suspects,
    verdict, //
};

use crate::{
    driver::{
        Driver,
        progress::Progress, //
    },
    links::pull,
    routes, //
};

/// Interval at which the routes are checked for a target.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Maximum wait for a target that accepts work.
const TARGET_WAIT: time::Duration = time::Duration::from_millis(500);

/// Target chosen for an attempt, with the prepared attempt.
pub(super) struct Placement {
    pub(super) prepared: pull::Prepared,
    pub(super) chosen: routes::Chosen,
    /// Whether the content is suspected of having crashed a target.
    pub(super) suspect: bool,
}

impl Driver {
    /// Waits up to [`TARGET_WAIT`] for a target; refuses quarantined content.
    pub(super) async fn place_attempt(
        &self,
        progress: &Progress<'_>,
    ) -> Result<Placement, verdict::Refusal> {
        let head = &self.request.head;
        let until = head.deadline.min(time::Instant::now() + TARGET_WAIT);
        let mut informed = None;
        loop {
            let suspect = self.is_suspect()?;
            let chosen = if suspect {
                self.choose_for_suspect(progress)
            } else {
                self.choose_target(progress)
            };
            if let Some(chosen) = chosen {
                if suspect && informed != Some(chosen.lane.addr) {
                    // The agent must have all facts of this process before it runs a suspect, and
                    // may itself have facts by which the suspect is quarantined.
                    chosen.lane.exchange_facts().await;
                    informed = Some(chosen.lane.addr);
                    continue;
                }
                if let Some(prepared) = pull::Prepared::new(&chosen.lane) {
                    return Ok(Placement {
                        prepared,
                        chosen,
                        suspect,
                    });
                }
            }
            if time::Instant::now() >= until {
                return Err(verdict::Refusal::not_run(verdict::Reason::NoTarget));
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Chooses a target, preferring those not tried yet.
    pub(super) fn choose_target(&self, progress: &Progress<'_>) -> Option<routes::Chosen> {
        let view = self.entry.view.load();
        let routes = view.routes.get(&progress.stage.service)?;
        // Pools have no prefix cache, so affinity would only unbalance their load.
        let prefix = self
            .request
            .prefix
            .filter(|_| progress.kind == bundle::Kind::Engine);
        routes.choose(&progress.tried, prefix)
    }

    /// Fetches the crash facts of the agents that failed; if the content is a suspect, sends them
    /// to all agents of the service.
    ///
    /// The caller may resend at once through another entry. By then every agent that can receive
    /// the content must know that it is a suspect.
    pub(super) async fn exchange_crash_facts(
        &self,
        progress: &Progress<'_>,
        refusal: &verdict::Refusal,
    ) {
        // An agent whose target has just crashed refuses with `NoTarget`.
        let crashed = [verdict::Reason::TargetFailed, verdict::Reason::NoTarget];
        if !crashed.contains(&refusal.reason) {
            return;
        }
        let view = self.entry.view.load_full();
        let Some(routes) = view.routes.get(&progress.stage.service) else {
            return;
        };
        // A race has at most two attempts.
        let raced: Vec<_> = progress.tried.iter().rev().take(2).collect();
        let lanes = routes.lanes().iter();
        let failed = lanes.filter(|lane| raced.contains(&&lane.addr));
        future::join_all(failed.map(|lane| lane.exchange_facts())).await;
        if matches!(self.is_suspect(), Ok(false)) {
            return;
        }
        let others = routes.lanes().iter().map(|lane| lane.exchange_facts());
        future::join_all(others).await;
    }

    /// Returns whether the content is a suspect; refuses it if it is quarantined.
    fn is_suspect(&self) -> Result<bool, verdict::Refusal> {
        let now = time::Instant::now();
        let suspects = self.entry.gossip.suspects();
        let fingerprint = self.request.fingerprint;
        match suspects.refusal(fingerprint, now) {
            Some(refusal) => Err(refusal),
            None => Ok(suspects.status(fingerprint, now) != suspects::Status::Clean),
        }
    }

    fn choose_for_suspect(&self, progress: &Progress<'_>) -> Option<routes::Chosen> {
        let view = self.entry.view.load();
        let routes = view.routes.get(&progress.stage.service)?;
        routes.choose_by_content(self.request.fingerprint, &progress.tried)
    }
}

//! Where the next attempt of a stage goes; suspects are kept together.

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
        tries::Tries, //
    },
    links::pull,
    routes, //
};

/// Pause between two looks for a target.
const PAUSE: time::Duration = time::Duration::from_millis(10);

/// Longest wait for a first target to appear.
const APPEAR: time::Duration = time::Duration::from_millis(500);

/// A target that an attempt can be sent to.
pub(super) struct Placed {
    pub(super) ready: pull::Ready,
    pub(super) chosen: routes::Chosen,
    /// Whether the content may have crashed a target.
    pub(super) suspect: bool,
}

impl Driver {
    /// Waits for a target, for a short time only; refuses content that is quarantined.
    pub(super) async fn place(&self, tries: &Tries<'_>) -> Result<Placed, verdict::Refusal> {
        let head = &self.request.head;
        let until = head.deadline.min(time::Instant::now() + APPEAR);
        let mut told = None;
        loop {
            let suspect = self.is_suspect()?;
            let chosen = if suspect {
                self.home(tries)
            } else {
                self.choose(tries)
            };
            if let Some(chosen) = chosen {
                if suspect && told != Some(chosen.lane.addr) {
                    // The agent must know all that is known here before it lets a suspect run, and
                    // may know what makes the suspect one to refuse.
                    chosen.lane.exchange().await;
                    told = Some(chosen.lane.addr);
                    continue;
                }
                if let Some(ready) = pull::Ready::new(&chosen.lane) {
                    return Ok(Placed {
                        ready,
                        chosen,
                        suspect,
                    });
                }
            }
            if time::Instant::now() >= until {
                return Err(verdict::Refusal::not_run(verdict::Reason::NoTarget));
            }
            time::sleep(PAUSE).await;
        }
    }

    /// Chooses a target, one that was not tried if there is one.
    pub(super) fn choose(&self, tries: &Tries<'_>) -> Option<routes::Chosen> {
        let view = self.entry.view.load();
        let routes = view.routes.get(&tries.stage.service)?;
        // Pools keep nothing of a prompt, so that affinity would only take their balance away.
        let prefix = self
            .request
            .prefix
            .filter(|_| tries.kind == bundle::Kind::Engine);
        routes.choose(&tries.tried, prefix)
    }

    /// Hears of the crash that may have ended an attempt, and tells all agents of the service.
    ///
    /// A caller that is told of the failure sends again at once through another entry. By then any
    /// agent that the content can come to must know it as a suspect.
    pub(super) async fn learn(&self, tries: &Tries<'_>, refusal: &verdict::Refusal) {
        // An agent refuses for want of its target when that has just crashed.
        let crashed = [verdict::Reason::TargetFailed, verdict::Reason::NoTarget];
        if !crashed.contains(&refusal.reason) {
            return;
        }
        let view = self.entry.view.load_full();
        let Some(routes) = view.routes.get(&tries.stage.service) else {
            return;
        };
        // A race has two attempts at most.
        let raced: Vec<_> = tries.tried.iter().rev().take(2).collect();
        let lanes = routes.lanes().iter();
        let failed = lanes.filter(|lane| raced.contains(&&lane.addr));
        future::join_all(failed.map(|lane| lane.exchange())).await;
        if matches!(self.is_suspect(), Ok(false)) {
            return;
        }
        let others = routes.lanes().iter().map(|lane| lane.exchange());
        future::join_all(others).await;
    }

    /// Reports whether the content is a suspect; refuses it when it is quarantined.
    fn is_suspect(&self) -> Result<bool, verdict::Refusal> {
        let now = time::Instant::now();
        let suspects = self.entry.gossip.suspects();
        let print = self.request.fingerprint;
        match suspects.refusal(print, now) {
            Some(refusal) => Err(refusal),
            None => Ok(suspects.status(print, now) != suspects::Status::Clean),
        }
    }

    fn home(&self, tries: &Tries<'_>) -> Option<routes::Chosen> {
        let view = self.entry.view.load();
        let routes = view.routes.get(&tries.stage.service)?;
        routes.home(self.request.fingerprint, &tries.tried)
    }
}

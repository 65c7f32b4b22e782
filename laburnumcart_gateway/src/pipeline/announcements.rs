//! Announcements of a request's jobs to the queue owners.

use std::sync::Arc;

use futures_util::future;

use laburnumcart::{
    forecast,
    id, //
};

use crate::{
    dispatcher,
    gateway, //
};

/// An announced job; withdrawn when dropped before it is submitted.
struct Announced {
    gateway: Arc<gateway::Gateway>,
    service: id::ServiceName,
    id: u64,
    is_submitted: bool,
}

impl Drop for Announced {
    fn drop(&mut self) {
        if !self.is_submitted {
            self.gateway.peers.withdraw(&self.service, self.id);
        }
    }
}

/// Announcements of one request, indexed by stage.
pub(super) struct Announcements(Vec<Option<Announced>>);

impl Announcements {
    /// Creates an empty list for a request with a number of stages.
    pub(super) fn new(stages: usize) -> Self {
        Self((0..stages).map(|_| None).collect())
    }

    /// Announces the jobs of stages; returns the estimates of the queue owners in the same order.
    pub(super) async fn announce(
        &mut self,
        gateway: &Arc<gateway::Gateway>,
        announcements: Vec<(usize, dispatcher::Announcement)>,
    ) -> Vec<Option<forecast::Estimate>> {
        let mut calls = Vec::new();
        for (stage, announcement) in announcements {
            self.0[stage] = Some(Announced {
                gateway: gateway.clone(),
                service: announcement.service.clone(),
                id: announcement.id,
                is_submitted: false,
            });
            calls.push(gateway.peers.announce(announcement));
        }
        future::join_all(calls).await
    }

    /// Withdraws all announcements.
    pub(super) fn withdraw(&mut self) {
        self.0.iter_mut().for_each(|announced| *announced = None);
    }

    /// Returns the identifier of a stage's announced job and marks the job as submitted.
    pub(super) fn take_id(&mut self, stage: usize) -> Option<u64> {
        let announced = self.0[stage].as_mut()?;
        announced.is_submitted = true;
        Some(announced.id)
    }
}

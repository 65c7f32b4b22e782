//! Announcements of the stages of a request to the owners of their queues.

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

/// A job that was announced; withdrawn when dropped before it has come.
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

/// Announcements of one request, by stage.
pub(super) struct Announcements(Vec<Option<Announced>>);

impl Announcements {
    /// Creates the announcements of a request with so many stages, none of them made.
    pub(super) fn new(stages: usize) -> Self {
        Self((0..stages).map(|_| None).collect())
    }

    /// Announces the jobs of stages; returns what their owners answer, in the same order.
    pub(super) async fn announce(
        &mut self,
        gateway: &Arc<gateway::Gateway>,
        notices: Vec<(usize, dispatcher::Announcement)>,
    ) -> Vec<Option<forecast::Outlook>> {
        let mut calls = Vec::new();
        for (stage, notice) in notices {
            self.0[stage] = Some(Announced {
                gateway: gateway.clone(),
                service: notice.service.clone(),
                id: notice.id,
                is_submitted: false,
            });
            calls.push(gateway.peers.announce(notice));
        }
        future::join_all(calls).await
    }

    /// Withdraws all announcements.
    pub(super) fn withdraw(&mut self) {
        self.0.iter_mut().for_each(|announced| *announced = None);
    }

    /// Returns the identity of a stage's job, which comes now.
    pub(super) fn take_id(&mut self, stage: usize) -> Option<u64> {
        let announced = self.0[stage].as_mut()?;
        announced.is_submitted = true;
        Some(announced.id)
    }
}

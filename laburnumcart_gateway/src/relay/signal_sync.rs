//! Exchange of target signals with the peers that are asked for store data.

use std::time;

use futures_util::future;

use laburnumcart_platform::store;

use crate::{
    relay::{
        FollowRequest,
        Peers,
        Topic,
        fetch::Shared,
        signals,
        sources, //
    },
    view, //
};

impl<S: store::Store, P: Peers> Shared<S, P> {
    /// Gets target signals from all selected peers and returns whether one has answered.
    pub(super) async fn pull_signals(&self) -> bool {
        let candidates = self.candidates();
        let peers = candidates.readers.iter().chain(&candidates.others);
        let replies = peers.map(|member| async move {
            let request = FollowRequest {
                signals: Some(self.merged_version(member)),
                ..sources::follow_request(Topic::Targets, None, time::Duration::ZERO)
            };
            let reply = self.peers.follow(member, request).await;
            self.merge_signals(member, reply.as_ref().and_then(|r| r.signals.as_ref()));
            reply.is_some()
        });
        let answered = future::join_all(replies).await;
        answered.into_iter().any(|answered| answered)
    }

    /// Merges target signals from a peer.
    pub(super) fn merge_signals(
        &self,
        member: &view::Member,
        update: Option<&signals::SignalUpdate>,
    ) {
        if let Some(update) = update {
            self.cache.signals.merge(&update.signals);
            self.cache.signals.merge_completions(&update.completed);
            let merged = (member.incarnation, update.version);
            view::lock(&self.signal_versions).insert(member.instance.clone(), merged);
        }
    }

    /// Returns the version of a peer's signals that was merged last.
    pub(super) fn merged_version(&self, member: &view::Member) -> u64 {
        let merged = view::lock(&self.signal_versions)
            .get(&member.instance)
            .copied();
        let merged = merged.filter(|(incarnation, _)| *incarnation == member.incarnation);
        merged.map_or(0, |(_, version)| version)
    }
}

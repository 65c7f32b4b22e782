//! Connections to all peers, one for each incarnation.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
};

use tokio::time::Instant;

use laburnumcart::{
    event,
    id, //
};

use crate::{
    peers::link::{
        Heartbeats,
        Link, //
    },
    relay,
    view, //
};

/// Connections to peers, opened on use.
pub(crate) struct Links {
    own: id::InstanceName,
    view: Arc<view::View>,
    heartbeats: Heartbeats,
    links: Mutex<collections::HashMap<id::InstanceName, Arc<Link>>>,
}

impl Links {
    /// Creates links that check their connections by heartbeats.
    pub(crate) fn new(own: id::InstanceName, view: Arc<view::View>) -> Self {
        Self {
            own,
            view,
            heartbeats: Heartbeats::Enabled,
            links: Mutex::default(),
        }
    }

    /// Creates links whose calls are so frequent that they replace heartbeats.
    pub(crate) fn without_heartbeats(own: id::InstanceName, view: Arc<view::View>) -> Self {
        Self {
            heartbeats: Heartbeats::Disabled,
            ..Self::new(own, view)
        }
    }

    /// Returns whether a peer can be called, which is not so in a backoff after a failure.
    pub(crate) fn is_up(&self, member: &view::Member) -> bool {
        self.find(member)
            .is_none_or(|link| link.is_up(Instant::now()))
    }

    /// Returns whether a peer is known to be shutting down.
    pub(super) fn is_leaving(&self, member: &view::Member) -> bool {
        self.find(member).is_some_and(|link| link.is_leaving())
    }

    /// Returns the existing link to an incarnation of a peer.
    ///
    /// The state of a link to an earlier incarnation doesn't apply to this one.
    fn find(&self, member: &view::Member) -> Option<Arc<Link>> {
        let links = view::lock(&self.links);
        let link = links.get(&member.instance);
        let link = link.filter(|l| l.member.incarnation == member.incarnation);
        link.cloned()
    }

    /// Returns the link to a peer, or `None` if its entry has changed since it was looked up.
    ///
    /// A job that has waited long uses the members as of its submission. If it replaced the link to
    /// a later incarnation by one to an earlier, all jobs that wait at the later one would fail and
    /// queue again, for seconds in a rolling restart. Published members never go back to an earlier
    /// incarnation, so that an incarnation which is not among them has ended.
    pub(crate) fn link(&self, member: &view::Member) -> Option<Arc<Link>> {
        let mut links = view::lock(&self.links);
        if member.instance == self.own || !self.view.members.load().contains(member) {
            return None;
        }
        let known = links.get(&member.instance);
        if let Some(link) = known.filter(|l| l.member == *member) {
            return Some(link.clone());
        }
        let link = Arc::new(Link::new(member.clone(), self.heartbeats));
        event!(
            Info,
            "peer-known",
            peer = member.instance,
            incarnation = member.incarnation
        );
        if let Some(old) = links.insert(member.instance.clone(), link.clone()) {
            old.close("replaced");
        }
        Some(link)
    }
}

impl relay::Peers for Links {
    fn is_up(&self, member: &view::Member) -> bool {
        self.is_up(member)
    }

    async fn follow(
        &self,
        member: &view::Member,
        request: relay::FollowRequest,
    ) -> Option<relay::FollowReply> {
        self.link(member)?.follow(request).await
    }

    async fn part(
        &self,
        member: &view::Member,
        request: relay::packed::PartRequest,
    ) -> Option<relay::packed::Data> {
        self.link(member)?.part(request).await
    }

    async fn report(
        &self,
        member: &view::Member,
        signals: Vec<relay::signals::TargetSignal>,
        completed: Vec<relay::signals::Completion>,
    ) {
        let Some(link) = self.link(member) else {
            return;
        };
        link.send_signals(signals).await;
        if !completed.is_empty() {
            link.send_completions(completed).await;
        }
    }
}

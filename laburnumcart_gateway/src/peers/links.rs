//! Connections to the other processes, one to each life.

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
        Beats,
        Link, //
    },
    view, //
};

/// Connections of this process to others, opened when they are used.
pub(crate) struct Links {
    own: id::InstanceName,
    view: Arc<view::View>,
    beats: Beats,
    links: Mutex<collections::HashMap<id::InstanceName, Arc<Link>>>,
}

impl Links {
    /// Creates links whose connections are kept alive by heartbeats.
    pub(crate) fn new(own: id::InstanceName, view: Arc<view::View>) -> Self {
        Self {
            own,
            view,
            beats: Beats::Sent,
            links: Mutex::default(),
        }
    }

    /// Creates links whose calls are so frequent that their ends take the place of heartbeats.
    pub(crate) fn silent(own: id::InstanceName, view: Arc<view::View>) -> Self {
        Self {
            beats: Beats::Left,
            ..Self::new(own, view)
        }
    }

    /// Reports whether a process is to be asked: it has not failed a moment ago.
    pub(crate) fn is_up(&self, member: &view::Member) -> bool {
        self.known(member)
            .is_none_or(|link| link.is_up(Instant::now()))
    }

    /// Reports whether a process is known to be leaving.
    pub(super) fn has_left(&self, member: &view::Member) -> bool {
        self.known(member).is_some_and(|link| link.has_left())
    }

    /// Returns the link to a life of a process, if there is one.
    ///
    /// A link to an earlier life of the process says nothing of this one.
    fn known(&self, member: &view::Member) -> Option<Arc<Link>> {
        let links = view::lock(&self.links);
        let link = links.get(&member.instance);
        let link = link.filter(|l| l.member.incarnation == member.incarnation);
        link.cloned()
    }

    /// Returns the connection to a process, unless its entry has changed since it was looked up.
    ///
    /// A job that has waited long knows the processes as they were when it was sent. If it replaced
    /// the connection to a later life by one to an earlier, all jobs that wait at the later life
    /// would fail and queue up again; in a rolling stop that went on for seconds. The entries in
    /// force only go forward, so that a life which is not among them has ended.
    pub(crate) fn link(&self, member: &view::Member) -> Option<Arc<Link>> {
        let mut links = view::lock(&self.links);
        if member.instance == self.own || !self.view.members.load().contains(member) {
            return None;
        }
        let known = links.get(&member.instance);
        if let Some(link) = known.filter(|l| l.member == *member) {
            return Some(link.clone());
        }
        let link = Arc::new(Link::new(member.clone(), self.beats));
        event!(
            Info,
            "peer-known",
            peer = member.instance,
            incarnation = member.incarnation
        );
        if let Some(old) = links.insert(member.instance.clone(), link.clone()) {
            old.cut("replaced");
        }
        Some(link)
    }
}

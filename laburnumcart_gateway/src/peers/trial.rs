//! Permits to run content that may crash its target, of which one is given at a time.
//!
//! A run needs the permits of two processes, the first ones in a ranking of the members that answer.
//! A process that cannot be called, as its new entry is not known yet, still permits runs to
//! itself; the second permit is then given by a process that the others ask, too.

use std::sync::Arc;

use laburnumcart::{
    id,
    rendezvous, //
};

use crate::{
    peers::Peers,
    relay::signals,
    view, //
};

/// Greatest number of members that are asked for a permit.
const OWNERS: usize = 4;

/// Number of permits that a run needs, if so many members answer.
const PERMITS: usize = 2;

/// Process that has given a permit.
enum Owner {
    Own,
    Peer(view::Member),
}

/// Permit to run a content; it ends when dropped.
pub struct Trial {
    peers: Arc<Peers>,
    signals: Arc<signals::Signals>,
    content: id::Fingerprint,
    /// Processes that have given a permit.
    owners: Vec<Owner>,
}

impl Trial {
    /// Gives the permit of an owner back.
    fn return_permit(&self, owner: Owner) {
        let content = self.content;
        let Owner::Peer(owner) = owner else {
            self.signals.end_trial(content);
            return;
        };
        // The owner must know of a crash before it permits the next run.
        let crashes = self.signals.crashes_of(content);
        if let Some(link) = self.peers.link(&owner) {
            tokio::spawn(async move { link.end_trial(content, crashes).await });
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        for owner in std::mem::take(&mut self.owners) {
            self.return_permit(owner);
        }
    }
}

impl Peers {
    /// Asks the owners of a content for permits; `None` if another run is in progress.
    pub async fn begin_trial(
        self: &Arc<Self>,
        signals: &Arc<signals::Signals>,
        content: id::Fingerprint,
    ) -> Option<Trial> {
        let mut trial = Trial {
            peers: self.clone(),
            signals: signals.clone(),
            content,
            owners: Vec::new(),
        };
        // All ask in the same order, so that two requests cannot deny each other's second permit.
        for owner in self.content_owners(content) {
            if trial.owners.len() == PERMITS {
                return Some(trial);
            }
            if owner.instance == self.own {
                if !signals.begin_trial(content) {
                    return None;
                }
                trial.owners.push(Owner::Own);
                continue;
            }
            let Some(link) = self.link(&owner) else {
                continue;
            };
            // The permit is given back if this future is dropped while the answer is on its way.
            trial.owners.push(Owner::Peer(owner));
            match link.begin_trial(content).await {
                Some(true) => {}
                Some(false) => {
                    trial.owners.pop();
                    return None;
                }
                None => {
                    trial.owners.pop();
                }
            }
        }
        if trial.owners.is_empty() {
            if !signals.begin_trial(content) {
                return None;
            }
            trial.owners.push(Owner::Own);
        }
        Some(trial)
    }

    /// Lists the processes that may permit runs of a content, the preferred one first.
    fn content_owners(&self, content: id::Fingerprint) -> Vec<view::Member> {
        let members = self.view.members.load();
        let up = members.iter().filter(|member| self.is_up(member, false));
        let mut up: Vec<_> = up.cloned().collect();
        rendezvous::rank(&mut up, &format!("content {content}"), candidate);
        up.truncate(OWNERS);
        up
    }
}

fn candidate(member: &view::Member) -> rendezvous::Candidate<'_> {
    rendezvous::Candidate {
        name: &member.instance,
        cores: member.cores,
    }
}

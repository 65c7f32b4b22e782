//! Membership: the processes of the system, read from their store entries.

use std::{
    collections,
    sync::Arc, //
};

use laburnumcart::{
    event,
    fleet_budget,
    freshness,
    unit, //
};
use laburnumcart_platform::{
    follow,
    store, //
};

use crate::{
    clock,
    view, //
};

/// Maximum number of cores that an entry may state.
///
/// Queue owners are chosen among the instances with the most cores. Without a limit, one entry with
/// an absurd number would give the queues to whoever wrote it.
const CORES_MAX: f64 = 1024.0;

/// Length of a secret: 128 bits as hexadecimal digits.
const SECRET_DIGITS: usize = 32;

/// Publishes the members.
pub(super) struct Observer {
    view: Arc<view::View>,
    own: view::Member,
    /// Versions of rejected entries, so that each is logged once.
    rejected: collections::HashMap<String, store::Version>,
    clock: clock::Clock,
    /// Start of the current call.
    sent_at: freshness::BootTime,
}

impl Observer {
    pub(super) fn new(view: Arc<view::View>, own: view::Member, clock: clock::Clock) -> Self {
        Self {
            view,
            own,
            rejected: collections::HashMap::new(),
            clock,
            sent_at: freshness::BootTime::default(),
        }
    }

    /// Returns the state of this process's own entry in a list of members.
    fn own_entry(&self, members: &[view::Member]) -> fleet_budget::OwnEntry {
        let own = members.iter().find(|m| m.instance == self.own.instance);
        match own.map(|own| own.incarnation == self.own.incarnation) {
            None => fleet_budget::OwnEntry::Absent,
            Some(false) => fleet_budget::OwnEntry::PreviousLife,
            Some(true) => fleet_budget::OwnEntry::Present,
        }
    }

    /// Parses an entry and logs why if it is invalid.
    fn parse_member(&mut self, object: &store::Object) -> Option<view::Member> {
        let read = parse_entry(object);
        if let Err(cause) = read {
            let known = self.rejected.insert(object.key.clone(), object.version);
            if known != Some(object.version) {
                event!(Warn, "member-refused", key = object.key, cause = cause);
            }
        }
        read.ok()
    }
}

/// Parses the entry of a process and rejects one that no gateway can have written.
///
/// Otherwise the process in it could become a queue owner, and callers' jobs would wait for it in
/// vain. Key and values reveal entries that another program wrote or corrupted. An entry that looks
/// valid still needs the matching secret when the process is called.
fn parse_entry(object: &store::Object) -> Result<view::Member, &'static str> {
    let member: view::Member = serde_json::from_str(&object.value).map_err(|_| "malformed")?;
    let name = object.key.rsplit_once('/').map(|(_, name)| name);
    if name != Some(member.instance.as_str()) {
        return Err("key and instance name differ");
    }
    if member.peer.port() == 0 || member.peer.ip().is_unspecified() {
        return Err("invalid peer address");
    }
    if !(member.cores > 0.0 && member.cores <= CORES_MAX) {
        return Err("number of cores out of range");
    }
    let is_hex = |byte: u8| byte.is_ascii_hexdigit();
    if member.secret.len() != SECRET_DIGITS || !member.secret.bytes().all(is_hex) {
        return Err("invalid secret");
    }
    Ok(member)
}

impl follow::Observer for Observer {
    fn before_call(&mut self) {
        self.sent_at = self.clock.now();
    }

    fn after_read(&mut self, snapshot: &follow::Snapshot, age: unit::Period) {
        let objects = &snapshot.objects;
        self.rejected.retain(|key, _| objects.contains_key(key));
        let entries = objects.values();
        let mut members: Vec<_> = entries
            .filter_map(|object| self.parse_member(object))
            .collect();
        let entry = self.own_entry(&members);
        // The stored entry of this process may be missing or from an earlier incarnation.
        members.retain(|m| m.instance != self.own.instance);
        let others = members.iter().map(|m| &m.instance);
        self.view
            .update_budget_share(entry, others, self.sent_at.before(age.0));
        members.push(self.own.clone());
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        if **self.view.members.load() != members {
            let names: Vec<&str> = members.iter().map(|m| m.instance.as_str()).collect();
            event!(
                Info,
                "members",
                count = names.len(),
                names = names.join(",")
            );
            self.view.set_members(members);
        }
        // Set last: a share computed from the list before this one could be too large.
        self.view
            .set_listed(entry != fleet_budget::OwnEntry::Absent);
    }
}

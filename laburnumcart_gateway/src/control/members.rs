//! Which processes belong to the system, as their own entries in the store say.

use std::{
    collections,
    sync::Arc, //
};

use laburnumcart::{
    allotment,
    event,
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

/// Most processors that an entry may claim; an instance with more is none of ours.
///
/// Owners of queues are chosen among the strongest instances. One entry with an absurd figure would
/// leave the queues to whoever wrote it.
const CORES_MAX: f64 = 1024.0;

/// Length of a secret: 128 bits in hexadecimal digits.
const SECRET_LENGTH: usize = 32;

/// Publishes the members.
pub(super) struct Observer {
    view: Arc<view::View>,
    own: view::Member,
    /// Entries that were refused, so that each is told once.
    refused: collections::HashMap<String, store::Version>,
    /// When the call in progress was sent.
    asked: freshness::Moment,
}

impl Observer {
    pub(super) fn new(view: Arc<view::View>, own: view::Member) -> Self {
        Self {
            view,
            own,
            refused: collections::HashMap::new(),
            asked: freshness::Moment::default(),
        }
    }

    /// Returns how a list of members shows this process.
    fn entry(&self, members: &[view::Member]) -> allotment::Entry {
        let own = members.iter().find(|m| m.instance == self.own.instance);
        match own.map(|own| own.incarnation == self.own.incarnation) {
            None => allotment::Entry::Absent,
            Some(false) => allotment::Entry::Earlier,
            Some(true) => allotment::Entry::Present,
        }
    }

    /// Returns the member that an entry names.
    fn member(&mut self, object: &store::Object) -> Option<view::Member> {
        let read = parse(object);
        if let Err(cause) = read {
            let known = self.refused.insert(object.key.clone(), object.version);
            if known != Some(object.version) {
                event!(Warn, "member-refused", key = object.key, cause = cause);
            }
        }
        read.ok()
    }
}

/// Reads the entry of a process; one that none of ours can have written is refused.
///
/// Such a process would be offered the queues of services, and callers' jobs would wait for it in
/// vain. The name under which the entry stands and its figures tell an entry that another program
/// has written or spoilt; one that looks like ours must still show its secret when it is called.
fn parse(object: &store::Object) -> Result<view::Member, &'static str> {
    let member: view::Member = serde_json::from_str(&object.value).map_err(|_| "malformed")?;
    let name = object.key.rsplit_once('/').map(|(_, name)| name);
    if name != Some(member.instance.as_str()) {
        return Err("stands under another name");
    }
    if member.peer.port() == 0 || member.peer.ip().is_unspecified() {
        return Err("no address of a process");
    }
    if !(member.cores > 0.0 && member.cores <= CORES_MAX) {
        return Err("no number of cores");
    }
    let is_hex = |byte: u8| byte.is_ascii_hexdigit();
    if member.secret.len() != SECRET_LENGTH || !member.secret.bytes().all(is_hex) {
        return Err("no secret");
    }
    Ok(member)
}

impl follow::Observer for Observer {
    fn ask(&mut self) {
        self.asked = clock::now();
    }

    fn read(&mut self, snapshot: &follow::Snapshot, age: unit::Period) {
        let objects = &snapshot.objects;
        self.refused.retain(|key, _| objects.contains_key(key));
        let entries = objects.values();
        let mut members: Vec<_> = entries.filter_map(|object| self.member(object)).collect();
        let entry = self.entry(&members);
        // The own entry may not be written yet, or be one of an earlier life.
        members.retain(|m| m.instance != self.own.instance);
        let others = members.iter().map(|m| &m.instance);
        self.view
            .update_allotment(entry, others, self.asked.before(age.0));
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
    }
}

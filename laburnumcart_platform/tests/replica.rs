//! Processes that follow a prefix through others end where the service is.

use std::collections;

use proptest::prelude::*;

use laburnumcart_platform::{
    follow,
    replica,
    store, //
};

/// The service: objects and every change, numbered by one counter.
#[derive(Default)]
struct Service {
    revision: u64,
    objects: collections::BTreeMap<String, u64>,
    changes: Vec<store::Event>,
}

impl Service {
    fn write(&mut self, key: &str) {
        self.revision += 1;
        self.objects.insert(key.into(), self.revision);
        let value = Some(self.revision.to_string());
        self.change(key, self.revision, value);
    }

    fn delete(&mut self, key: &str) {
        let Some(version) = self.objects.remove(key) else {
            return;
        };
        self.revision += 1;
        // The service tells the version before the deletion, as which the client counts one more.
        self.change(key, version + 1, None);
    }

    fn change(&mut self, key: &str, version: u64, value: Option<String>) {
        self.changes.push(store::Event {
            key: key.into(),
            version: store::Version(version),
            value,
        });
    }

    fn list(&self) -> store::Listing {
        let object = |(key, version): (&String, &u64)| store::Object {
            key: key.clone(),
            version: store::Version(*version),
            value: version.to_string(),
        };
        store::Listing {
            revision: store::Revision(self.revision),
            objects: self.objects.iter().map(object).collect(),
            ..Default::default()
        }
    }

    /// Lists in two pages, between which `key` is deleted; the revision is that of the first.
    fn list_during_deletion(&mut self, key: &str) -> store::Listing {
        let revision = store::Revision(self.revision);
        self.delete(key);
        store::Listing {
            revision,
            ..self.list()
        }
    }

    fn watch(&self, after: store::Revision) -> store::Changes {
        store::Changes {
            revision: store::Revision(self.revision),
            events: self.changes[after.0 as usize..].to_vec(),
            ..Default::default()
        }
    }
}

/// A process: what it knows, and what it tells others.
#[derive(Default)]
struct Process {
    snapshot: follow::Snapshot,
    replica: replica::Replica,
}

impl Process {
    fn read(&mut self, service: &Service) {
        match self.snapshot.listed {
            true => {
                self.snapshot.update(service.watch(self.snapshot.revision));
            }
            false => self.snapshot.apply(service.list()).unwrap(),
        }
        self.replica.apply(&self.snapshot);
    }

    fn ask(&mut self, other: &replica::Replica) {
        let changes = match self.snapshot.listed {
            true => other.changes(self.snapshot.revision),
            false => Err(store::Failure::Compacted),
        };
        match (changes, other.listing()) {
            (Ok(changes), _) => {
                self.snapshot.update(changes);
            }
            // One that is older than what is known is left aside.
            (Err(_), Some(listing)) => drop(self.snapshot.apply(listing)),
            (Err(_), None) => return,
        }
        self.replica.apply(&self.snapshot);
    }

    fn versions(&self) -> collections::BTreeMap<String, u64> {
        let objects = self.snapshot.objects.values();
        objects.map(|o| (o.key.clone(), o.version.0)).collect()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write(u8),
    Delete(u8),
    Read(usize),
    Ask(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u8..4).prop_map(Step::Write),
        (0u8..4).prop_map(Step::Delete),
        (0usize..2).prop_map(Step::Read),
        (0usize..4, 0usize..4).prop_map(|(who, whom)| Step::Ask(who, whom)),
    ]
}

proptest! {
    /// Two processes read the service, two others ask any process, in any order and however late.
    /// Nobody ever goes back to an older version or finds an object again that it knew to be
    /// deleted, and once all have heard all, all are where the service is.
    #[test]
    fn asking_others_ends_where_the_service_is(steps in prop::collection::vec(step(), 1..120)) {
        let mut service = Service::default();
        let mut all: [Process; 4] = Default::default();
        for step in steps {
            match step {
                Step::Write(key) => service.write(&key.to_string()),
                Step::Delete(key) => service.delete(&key.to_string()),
                Step::Read(who) => all[who].read(&service),
                Step::Ask(who, whom) if who != whom => {
                    let (before, revision) = (all[who].versions(), all[who].snapshot.revision);
                    let other = all[whom].replica.clone();
                    all[who].ask(&other);
                    prop_assert!(all[who].snapshot.revision >= revision);
                    for (key, version) in all[who].versions() {
                        let known = before.get(&key).copied().unwrap_or(revision.0);
                        prop_assert!(version >= known, "{key} went back");
                    }
                }
                Step::Ask(..) => {}
            }
        }
        all[0].read(&service);
        let first = all[0].replica.clone();
        for process in &mut all[1..] {
            process.ask(&first);
            prop_assert_eq!(&process.versions(), &service.objects);
        }
    }
}

// A process lists the service in two pages while a target leaves: its listing lacks the target though
// it is as of an earlier revision. Another one that knows the target asks it afterwards. Unless the
// deletion is passed on although the reader never had the target, callers would be sent there for good.
#[test]
fn a_deletion_between_two_pages_is_passed_on() {
    let mut service = Service::default();
    service.write("a");
    service.write("b");
    let mut asking = Process::default();
    asking.read(&service);
    let mut reader = Process::default();
    reader
        .snapshot
        .apply(service.list_during_deletion("b"))
        .unwrap();
    reader.replica.apply(&reader.snapshot);
    asking.ask(&reader.replica);
    assert!(asking.snapshot.objects.contains_key("b"), "not known yet");
    reader.read(&service);
    asking.ask(&reader.replica);
    assert_eq!(asking.versions(), service.objects);
}

// A process was paused while hundreds of targets came and went. The reader has forgotten the first
// deletions, and must say so: told only the later ones, the process would keep the first targets.
#[test]
fn forgotten_deletions_are_told() {
    let mut service = Service::default();
    service.write("a");
    let mut asking = Process::default();
    asking.read(&service);
    let mut reader = Process::default();
    reader.read(&service);
    service.delete("a");
    reader.read(&service);
    for i in 0..3000 {
        let key = i.to_string();
        service.write(&key);
        reader.read(&service);
        service.delete(&key);
        reader.read(&service);
    }
    let changes = reader.replica.changes(asking.snapshot.revision);
    assert_eq!(changes, Err(store::Failure::Compacted));
    asking.ask(&reader.replica);
    assert!(asking.snapshot.objects.is_empty());
}

#[test]
fn nothing_is_told_before_the_first_listing() {
    let replica = replica::Replica::default();
    let changes = replica.changes(store::Revision(0));
    assert_eq!(changes, Err(store::Failure::Compacted));
    assert_eq!(replica.listing(), None);
}

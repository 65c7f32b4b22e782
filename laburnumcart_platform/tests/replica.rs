//! Convergence of processes that read the service through the replicas of others.

use std::collections;

use proptest::prelude::*;

use laburnumcart_platform::{
    follow,
    replica,
    store, //
};

/// Model of the service: objects and all changes, numbered by one counter.
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
        // The event of a deletion has the version that follows the object's last one.
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

    /// Lists in two pages with a deletion of `key` in between; the revision is that of the first.
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

/// A process: its own snapshot, and the replica that it serves to others.
#[derive(Default)]
struct Process {
    snapshot: follow::Snapshot,
    replica: replica::Replica,
}

impl Process {
    fn read_service(&mut self, service: &Service) {
        match self.snapshot.listed {
            true => {
                self.snapshot.update(service.watch(self.snapshot.revision));
            }
            false => self.snapshot.apply(service.list()).unwrap(),
        }
        self.replica.apply(&self.snapshot);
    }

    fn read_from(&mut self, other: &replica::Replica) {
        let changes = match self.snapshot.listed {
            true => other.changes(self.snapshot.revision),
            false => Err(store::Failure::Compacted),
        };
        match (changes, other.listing()) {
            (Ok(changes), _) => {
                self.snapshot.update(changes);
            }
            // A stale listing is rejected.
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
    ReadService(usize),
    ReadFrom(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u8..4).prop_map(Step::Write),
        (0u8..4).prop_map(Step::Delete),
        // Only two of the four processes read the service.
        (0usize..2).prop_map(Step::ReadService),
        (0usize..4, 0usize..4).prop_map(|(to, from)| Step::ReadFrom(to, from)),
    ]
}

proptest! {
    /// Reads in any order and at any delay must neither revert a version nor restore an object.
    #[test]
    fn processes_converge_to_the_service(steps in prop::collection::vec(step(), 1..120)) {
        let mut service = Service::default();
        let mut processes: [Process; 4] = Default::default();
        for step in steps {
            match step {
                Step::Write(key) => service.write(&key.to_string()),
                Step::Delete(key) => service.delete(&key.to_string()),
                Step::ReadService(to) => processes[to].read_service(&service),
                Step::ReadFrom(to, from) if to != from => {
                    let before = processes[to].versions();
                    let revision = processes[to].snapshot.revision;
                    let other = processes[from].replica.clone();
                    processes[to].read_from(&other);
                    prop_assert!(processes[to].snapshot.revision >= revision);
                    for (key, version) in processes[to].versions() {
                        let known = before.get(&key).copied().unwrap_or(revision.0);
                        prop_assert!(version >= known, "{key} reverted to an older version");
                    }
                }
                Step::ReadFrom(..) => {}
            }
        }
        // After a last round all processes have the state of the service.
        processes[0].read_service(&service);
        let first = processes[0].replica.clone();
        for process in &mut processes[1..] {
            process.read_from(&first);
            prop_assert_eq!(&process.versions(), &service.objects);
        }
    }
}

// Without the deletion a process would keep the object, such as a target that has left, forever.
#[test]
fn deletion_between_two_pages_is_forwarded() {
    let mut service = Service::default();
    service.write("a");
    service.write("b");
    let mut follower = Process::default();
    follower.read_service(&service);
    let mut reader = Process::default();
    reader
        .snapshot
        // `b` is deleted between two pages of this listing, so the reader never knows it.
        .apply(service.list_during_deletion("b"))
        .unwrap();
    reader.replica.apply(&reader.snapshot);
    follower.read_from(&reader.replica);
    assert!(follower.snapshot.objects.contains_key("b"), "not known yet");
    reader.read_service(&service);
    follower.read_from(&reader.replica);
    assert_eq!(follower.versions(), service.objects);
}

// A paused process that is given only the later deletions would keep an object deleted before them.
#[test]
fn watch_from_before_the_kept_deletions_is_compacted() {
    let mut service = Service::default();
    service.write("a");
    let mut follower = Process::default();
    follower.read_service(&service);
    let mut reader = Process::default();
    reader.read_service(&service);
    service.delete("a");
    reader.read_service(&service);
    // The replica drops the first deletion, that of `a`.
    for i in 0..3000 {
        let key = i.to_string();
        service.write(&key);
        reader.read_service(&service);
        service.delete(&key);
        reader.read_service(&service);
    }
    let changes = reader.replica.changes(follower.snapshot.revision);
    assert_eq!(changes, Err(store::Failure::Compacted));
    follower.read_from(&reader.replica);
    assert!(follower.snapshot.objects.is_empty());
}

#[test]
fn replica_returns_nothing_before_the_first_listing() {
    let replica = replica::Replica::default();
    let changes = replica.changes(store::Revision(0));
    assert_eq!(changes, Err(store::Failure::Compacted));
    assert_eq!(replica.listing(), None);
}

// A process that is told nothing of the deletion keeps the object, such as a target that has left.
#[test]
fn deletion_that_a_listing_skipped_is_not_passed_over() {
    let mut service = Service::default();
    let [mut stale, mut reader, mut follower] = [(); 3].map(|()| Process::default());
    stale.read_service(&service);
    service.write("a");
    reader.read_service(&service);
    follower.read_from(&reader.replica);
    service.delete("a");
    reader.read_service(&service);
    stale.read_from(&reader.replica);
    follower.read_from(&stale.replica);
    assert!(follower.versions().is_empty());
}

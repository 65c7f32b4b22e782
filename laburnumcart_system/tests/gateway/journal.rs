//! Origins of streams that outlive a kill of all gateways, while the store fails.

use std::{
    sync::{
        Arc,
        Mutex,
        atomic, //
    },
    time, //
};

use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};
use rstest::rstest;

use crate::{
    support::{
        self,
        System,
        chunk,
        config,
        stream_end,
        stream_head, //
    },
    versions::{
        LAST,
        LEAST,
        Outcome,
        STREAMS,
        knows_targets,
        leave_after,
        leave_stream,
        list_targets,
        take_up,
        versioned_events,
        versioned_target, //
    },
};

/// Prefix of the journals.
const JOURNALS: &str = "stream-origins";

/// Age from which a stream has to be in the journal.
const LOST_MAX: time::Duration = time::Duration::from_millis(100);

/// What the store does with calls of one gateway.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Fault {
    #[default]
    None,
    /// Refuses them.
    Refuses,
    /// Refuses those about journals.
    RefusesJournals,
    /// Does not answer them, and does nothing.
    Silent,
    /// Writes, and answers no write.
    LosesAnswers,
    /// Answers after this time.
    Slow(time::Duration),
}

#[derive(Debug, Default)]
struct Calls {
    fault: Fault,
    /// Writes of journals that were sent.
    writes: usize,
    /// Reads and removals of single journals.
    others: usize,
}

/// The store as one gateway reaches it.
#[derive(Clone, Debug, Default)]
struct Path {
    memory: memory::Memory,
    calls: Arc<Mutex<Calls>>,
}

impl Path {
    fn new(memory: &memory::Memory) -> Self {
        Self {
            memory: memory.clone(),
            calls: Arc::default(),
        }
    }

    fn set_fault(&self, fault: Fault) {
        self.calls.lock().unwrap().fault = fault;
    }

    /// Returns the numbers of writes and of other calls about single journals.
    fn counts(&self) -> (usize, usize) {
        let calls = self.calls.lock().unwrap();
        (calls.writes, calls.others)
    }

    fn count(&self, key: &str, is_write: bool) {
        let mut calls = self.calls.lock().unwrap();
        match (key.starts_with(JOURNALS), is_write) {
            (true, true) => calls.writes += 1,
            (true, false) => calls.others += 1,
            (false, _) => {}
        }
    }

    async fn pass(&self, key: &str) -> Result<(), store::Failure> {
        let fault = self.calls.lock().unwrap().fault;
        match fault {
            Fault::RefusesJournals if key.starts_with(JOURNALS) => {
                Err(store::Failure::Unavailable { retry: None })
            }
            Fault::RefusesJournals | Fault::None | Fault::LosesAnswers => Ok(()),
            Fault::Refuses => Err(store::Failure::Unavailable { retry: None }),
            Fault::Silent => {
                tokio::time::sleep(time::Duration::from_secs(2)).await;
                Err(store::Failure::Unanswered)
            }
            Fault::Slow(period) => {
                tokio::time::sleep(period).await;
                Ok(())
            }
        }
    }

    fn answer<T>(&self, result: Result<T, store::Failure>) -> Result<T, store::Failure> {
        match self.calls.lock().unwrap().fault {
            Fault::LosesAnswers => Err(store::Failure::Unanswered),
            _ => result,
        }
    }
}

impl Store for Path {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.count(key, false);
        self.pass(key).await?;
        self.memory.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        self.count(key, true);
        self.pass(key).await?;
        self.answer(self.memory.put(key, expect, value).await)
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.count(key, false);
        self.pass(key).await?;
        self.answer(self.memory.delete(key, version).await)
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        self.pass(prefix).await?;
        self.memory.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        self.pass(prefix).await?;
        self.memory.watch(prefix, after, wait).await
    }
}

/// Three gateways, each with a path to the store, and targets of two versions.
struct Fleet {
    store: memory::Memory,
    targets: [Target; 2],
    gateways: Vec<System>,
    paths: Vec<Path>,
    /// Fault of the first path when the gateways start.
    fault: Fault,
}

impl Fleet {
    /// Starts the gateways and lists the first `listed` targets.
    async fn start(listed: usize) -> Self {
        let targets = [
            versioned_target("v1", |_| Some(Step::Hang)).await,
            versioned_target("v2", |_| Some(Step::Hang)).await,
        ];
        Self::start_with(targets, listed).await
    }

    async fn start_with(targets: [Target; 2], listed: usize) -> Self {
        let mut fleet = Self {
            store: memory::Memory::new(),
            targets,
            gateways: Vec::new(),
            paths: Vec::new(),
            fault: Fault::None,
        };
        let config = config(|_| ()).to_string();
        let put = fleet
            .store
            .put("config/main", store::Expect::Absent, &config);
        put.await.unwrap();
        fleet.start_gateways().await;
        fleet.list(listed).await;
        fleet
    }

    async fn start_gateways(&mut self) {
        for number in 1..=3 {
            let path = Path::new(&self.store);
            if number == 1 {
                path.set_fault(self.fault);
            }
            let (name, store) = (format!("gateway-{number}"), self.store.clone());
            let gateway = System::start_through(path.clone(), store, &name, |_| ());
            self.gateways.push(gateway.await);
            self.paths.push(path);
        }
        let gateways = &self.gateways;
        support::wait_for(|| {
            let knows = |g: &System, other: &System| {
                let members = g.gateway.view.members.load();
                let peer = other.gateway.settings.peer;
                g.gateway.view.is_loaded() && members.iter().any(|m| m.peer == peer)
            };
            gateways
                .iter()
                .all(|g| gateways.iter().all(|o| knows(g, o)))
        })
        .await;
    }

    /// Lists the first `count` targets, and waits until all gateways know them.
    async fn list(&self, count: usize) {
        let [old, new] = &self.targets;
        let both = [("i-1", "v1", old), ("i-2", "v2", new)];
        list_targets(&self.gateways[0], &both[..count]).await;
        let names = ["i-1", "i-2"];
        for gateway in &self.gateways {
            knows_targets(gateway, &names[..count]).await;
        }
    }

    /// Begins streams at a gateway, with a pause before each.
    async fn leave(&self, index: usize, pause: time::Duration) -> Vec<(String, String)> {
        let mut begun = Vec::new();
        for number in 0..STREAMS {
            tokio::time::sleep(pause).await;
            let attempt = format!("stream-{number}");
            let events = leave_stream(&self.gateways[index], &attempt).await;
            begun.push((attempt, events));
        }
        begun
    }

    /// Kills all gateways and starts them again, with a store that answers.
    async fn kill_all(&mut self) {
        self.gateways.clear();
        self.paths.clear();
        self.start_gateways().await;
        for gateway in &self.gateways {
            knows_targets(gateway, &["i-1", "i-2"]).await;
        }
        // The journals are read beside the list of targets.
        tokio::time::sleep(LOST_MAX).await;
    }

    async fn take_up_at(&self, index: usize, begun: &[(String, String)]) -> Outcome {
        let mut outcome = Outcome::default();
        for (attempt, events) in begun {
            outcome.record(events, &take_up(&self.gateways[index], attempt).await);
        }
        outcome
    }

    /// Returns the calls about journals of all gateways.
    fn counts(&self) -> (usize, usize) {
        let counts = self.paths.iter().map(Path::counts);
        counts.fold((0, 0), |(w, o), (writes, others)| (w + writes, o + others))
    }
}

// The store fails for one gateway, and all of its streams are refused after the kill.
#[rstest]
#[case::that_refuses(Fault::Refuses)]
#[case::that_is_silent(Fault::Silent)]
#[case::that_loses_answers(Fault::LosesAnswers)]
#[case::that_is_slow(Fault::Slow(time::Duration::from_millis(200)))]
#[tokio::test]
async fn streams_of_a_gateway_go_on_after_a_kill_beside_a_store(#[case] fault: Fault) {
    let mut fleet = Fleet::start(2).await;
    fleet.paths[0].set_fault(fault);
    let start = tokio::time::Instant::now();
    let begun = fleet.leave(0, time::Duration::from_millis(20)).await;
    tokio::time::sleep(LOST_MAX).await;
    let elapsed = start.elapsed();
    let calls = (fleet.paths[0].counts(), fleet.counts());
    fleet.kill_all().await;
    let outcome = fleet.take_up_at(1, &begun).await;
    println!("{fault:?}: {outcome:?}, calls {calls:?} in {elapsed:?}");
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
    assert!(outcome.went_on >= LEAST, "{outcome:?}");
}

// Streams that began before the second version was listed are written too late.
#[rstest]
#[tokio::test]
async fn streams_of_before_a_second_version_go_on_after_a_kill(
    #[values(0, 50, 100, 150, 200)] wait_ms: u64,
) {
    let mut fleet = Fleet::start(1).await;
    let begun = fleet.leave(0, time::Duration::ZERO).await;
    tokio::time::sleep(time::Duration::from_millis(wait_ms)).await;
    fleet.list(2).await;
    tokio::time::sleep(LOST_MAX).await;
    fleet.kill_all().await;
    let outcome = fleet.take_up_at(1, &begun).await;
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
    assert!(outcome.went_on >= LEAST, "{outcome:?}");
}

// What was read after the first kill is lost at the second one, or what began in between.
#[tokio::test]
async fn streams_go_on_after_two_kills_in_series() {
    let mut fleet = Fleet::start(2).await;
    let mut begun = fleet.leave(0, time::Duration::ZERO).await;
    tokio::time::sleep(LOST_MAX).await;
    fleet.kill_all().await;
    fleet.paths[1].set_fault(Fault::Refuses);
    for number in 0..STREAMS {
        let attempt = format!("second-{number}");
        let events = leave_stream(&fleet.gateways[1], &attempt).await;
        begun.push((attempt, events));
    }
    tokio::time::sleep(LOST_MAX).await;
    fleet.kill_all().await;
    fleet.kill_all().await;
    let outcome = fleet.take_up_at(2, &begun).await;
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
    assert!(outcome.went_on >= 2 * LEAST, "{outcome:?}");
}

// A gateway that cannot read the journals after its start writes none.
#[tokio::test]
async fn streams_begun_before_the_journals_are_read_go_on_after_a_kill() {
    let mut fleet = Fleet::start(2).await;
    fleet.fault = Fault::RefusesJournals;
    fleet.kill_all().await;
    let begun = fleet.leave(0, time::Duration::ZERO).await;
    tokio::time::sleep(LOST_MAX).await;
    fleet.fault = Fault::None;
    fleet.kill_all().await;
    let outcome = fleet.take_up_at(1, &begun).await;
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
    assert!(outcome.went_on >= LEAST, "{outcome:?}");
}

/// Starts a target that sends two events of a new stream; it goes on with one event while `hangs`,
/// then to the end.
async fn hanging_target(version: &'static str, hangs: Arc<atomic::AtomicBool>) -> Target {
    let script = move |seen: &ReceivedRequest, _: usize| {
        let after = seen.header("last-event-id");
        let after: Option<u32> = after.map(|id| id.parse().unwrap());
        let hangs = hangs.load(atomic::Ordering::SeqCst);
        let (ids, step) = match after {
            None => (1..=2, Step::Hang),
            Some(after) if hangs => (after + 1..=after + 1, Step::Hang),
            Some(after) => (after + 1..=LAST, stream_end()),
        };
        let events = versioned_events(version, ids);
        vec![stream_head(seen), chunk(&events), step]
    };
    Target::start(script).await.unwrap()
}

// A gateway that took up streams of a killed one takes them for written.
#[tokio::test]
async fn streams_taken_up_at_a_home_go_on_after_a_kill() {
    let hangs = Arc::new(atomic::AtomicBool::new(true));
    let targets = [
        hanging_target("v1", hangs.clone()).await,
        hanging_target("v2", hangs.clone()).await,
    ];
    let mut fleet = Fleet::start_with(targets, 1).await;
    let begun = fleet.leave(1, time::Duration::ZERO).await;
    drop((fleet.gateways.remove(1), fleet.paths.remove(1)));
    fleet.list(2).await;
    for (attempt, _) in &begun {
        let again = format!(
            "last-event-id: 2\r\nresumes: {attempt}\r\n\
             x-laburnumcart-attempt-id: {attempt}-again\r\n"
        );
        leave_after(&fleet.gateways[0], &again, "id: 3\ndata: v").await;
    }
    tokio::time::sleep(LOST_MAX).await;
    hangs.store(false, atomic::Ordering::SeqCst);
    fleet.kill_all().await;
    let outcome = fleet.take_up_at(2, &begun).await;
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
    assert!(outcome.went_on >= LEAST, "{outcome:?}");
}

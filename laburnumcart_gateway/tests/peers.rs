//! Calls between gateways: jobs, freed results and heartbeats.

use std::{
    net,
    sync::{
        Arc,
        Mutex,
        atomic, //
    },
    time,
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Request,
    response, //
};
use jsonrpsee::core::{
    RpcResult,
    async_trait, //
};
use tokio::sync::mpsc;

use laburnumcart::{
    batch,
    forecast,
    id,
    unit, //
};
use laburnumcart_gateway::{
    budgets,
    dialect,
    dispatcher,
    metrics,
    outbound,
    peers::{
        self,
        Answer,
        PeerServer, //
    },
    quotas,
    relay::{
        RelayServer,
        cache,
        signals, //
    },
    settings,
    view, //
};
use laburnumcart_wire::peer;

/// Timeout of [`wait_for`].
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

const SERVICES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// Dialect for tests in which no target is called.
struct NullDialect;

impl dialect::Dialect for NullDialect {
    fn parse_request(&self, _: &HeaderMap) -> Result<dialect::RequestHead, dialect::Malformed> {
        Err(dialect::Malformed("call"))
    }

    fn rewrite_headers(&self, _: &mut HeaderMap, _: &dialect::TargetHeaders<'_>) {}

    fn set_remaining(&self, _: &mut HeaderMap, _: time::Duration) {}

    fn parse_response(&self, _: &response::Parts) -> dialect::ResponseHead {
        dialect::ResponseHead::default()
    }

    fn encode_probe(&self, _: &id::TargetName, _: &str) -> Request<Bytes> {
        Request::default()
    }

    fn encode_batch(
        &self,
        _: &id::TargetName,
        _: &str,
        _: &[dialect::BatchItem<'_>],
    ) -> Request<Bytes> {
        Request::default()
    }

    fn decode_batch(
        &self,
        _: &[u8],
        _: usize,
        _: id::Life,
    ) -> Result<Vec<batch::Outcome>, dialect::Malformed> {
        Err(dialect::Malformed("outcomes"))
    }

    fn encode_free(&self, _: &id::TargetName, _: &[batch::Handle]) -> Request<Bytes> {
        Request::default()
    }

    fn result_addr(&self, _: &batch::Handle) -> Option<net::SocketAddr> {
        None
    }
}

/// Peer that records submitted jobs, and leaves them pending unless it has an answer.
#[derive(Clone, Default)]
struct FakePeer {
    jobs: Arc<Mutex<Vec<u64>>>,
    answer: Arc<Mutex<Option<Answer>>>,
    freed: Arc<atomic::AtomicUsize>,
    signals: Arc<signals::Signals>,
    /// Delay of the answer to a heartbeat.
    lag: time::Duration,
}

#[async_trait]
impl PeerServer for FakePeer {
    async fn submit(&self, job: dispatcher::Job) -> RpcResult<Answer> {
        self.jobs.lock().unwrap().push(job.id);
        let answer = self.answer.lock().unwrap().clone();
        match answer {
            Some(answer) => Ok(answer),
            None => std::future::pending().await,
        }
    }

    async fn announce(&self, _: dispatcher::Announcement) -> RpcResult<Option<forecast::Estimate>> {
        Ok(None)
    }

    async fn withdraw(&self, _: id::ServiceName, _: u64) -> RpcResult<()> {
        Ok(())
    }

    async fn cancel(&self, _: id::ServiceName, _: u64) -> RpcResult<()> {
        Ok(())
    }

    async fn free(&self, _: id::ServiceName, _: Vec<batch::Handle>) -> RpcResult<()> {
        self.freed.fetch_add(1, atomic::Ordering::Relaxed);
        Ok(())
    }

    async fn read(&self, _: id::ServiceName, _: Vec<batch::Handle>) -> RpcResult<()> {
        Ok(())
    }

    async fn beat(&self) -> RpcResult<()> {
        tokio::time::sleep(self.lag).await;
        Ok(())
    }
}

impl FakePeer {
    fn answering(answer: Answer) -> Self {
        let silent = Self::default();
        *silent.answer.lock().unwrap() = Some(answer);
        silent
    }

    fn count(&self, id: u64) -> usize {
        let jobs = self.jobs.lock().unwrap();
        jobs.iter().filter(|job| **job == id).count()
    }

    /// Serves one incarnation of a process and returns its store entry.
    fn serve(&self, instance: &str, secret: &str) -> (peer::Handle, view::Member) {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let member = view::Member {
            instance: instance.parse().unwrap(),
            data_centre: "north".parse().unwrap(),
            peer: listener.local_addr().unwrap(),
            incarnation: id::Incarnation::random(),
            cores: 1.0,
            secret: secret.into(),
        };
        let server = peer::Server::new(&[secret.parse().unwrap()]);
        let mut calls = self.clone().into_rpc();
        let relay = cache::RelayService(Arc::new(cache::Cache::new(self.signals.clone())));
        calls.merge(relay.into_rpc()).unwrap();
        let handle = server.serve(listener, calls).unwrap();
        (handle, member)
    }
}

fn job(id: u64, service: &str) -> dispatcher::Job {
    let limit = unit::Period(time::Duration::from_secs(60));
    dispatcher::Job {
        id,
        attempt: format!("attempt-{id}"),
        stage: 0,
        service: service.parse().unwrap(),
        pieces: 1,
        size: unit::Size(100),
        input: dialect::Input::Key("k".into()),
        due: limit,
        deadline: limit,
        rank: 0.into(),
        near: None,
        moved: unit::Size(0),
        places: None,
        consumes: false,
        last: false,
        arrival: dispatcher::Arrival::First,
        content: None,
    }
}

/// Process under test that calls the fake peers.
struct Caller {
    peers: Arc<peers::Peers>,
    view: Arc<view::View>,
}

impl Caller {
    fn new() -> Self {
        Self::named("gateway-1")
    }

    fn named(own: &str) -> Self {
        let view = Arc::<view::View>::default();
        let metrics = metrics::Metrics::default();
        let own: id::InstanceName = own.parse().unwrap();
        let quotas = quotas::Quotas::new(own.clone(), view.clone(), &metrics);
        let bounds = settings::Bounds::default();
        let budgets = budgets::Budgets::new(bounds, view.clone(), metrics.clone());
        let dispatcher = dispatcher::Dispatcher::new(
            view.clone(),
            outbound::Outbound::new(Arc::new(NullDialect), quotas, budgets.clone()),
            budgets,
            Arc::new(NullDialect),
            metrics,
            mpsc::unbounded_channel().0,
        );
        Self {
            peers: Arc::new(peers::Peers::new(own, view.clone(), dispatcher)),
            view,
        }
    }

    /// Submits a job to each of the services, with ids from `first`.
    fn submit_all(&self, first: u64) {
        for (service, id) in SERVICES.iter().zip(first..) {
            let (peers, job) = (self.peers.clone(), job(id, service));
            // No job ends within the test.
            tokio::spawn(async move { peers.submit(job).await });
        }
    }
}

async fn wait_for(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, wait).await;
    waited.expect("the condition holds in time");
}

// Replacing the link to a restarted process by one to its earlier run would fail all jobs there.
#[tokio::test]
async fn an_old_job_does_not_close_the_connection_to_a_restarted_process() {
    let caller = Caller::new();
    let (first, second, other) = (
        FakePeer::default(),
        FakePeer::default(),
        FakePeer::default(),
    );
    let (gone, earlier) = first.serve("gateway-2", "secret-of-the-earlier-run");
    let (stopping, stays) = other.serve("gateway-3", "secret-of-the-third-process");
    caller.view.set_members(vec![earlier, stays.clone()]);
    caller.submit_all(0);
    wait_for(|| (0..8).all(|id| first.count(id) + other.count(id) == 1)).await;
    let moving: Vec<u64> = (0..8).filter(|id| other.count(*id) == 1).collect();
    assert!(!moving.is_empty(), "some services are owned by the third");
    gone.stop();
    let (_handle, later) = second.serve("gateway-2", "secret-of-the-later-run");
    caller.view.set_members(vec![later, stays]);
    caller.submit_all(8);
    wait_for(|| (8..16).all(|id| second.count(id) + other.count(id) > 0)).await;
    let kept: Vec<u64> = (8..16).filter(|id| second.count(*id) == 1).collect();
    assert!(
        !kept.is_empty(),
        "some services are owned by the later incarnation"
    );
    // The old jobs look for their next owner among the members as of their submission.
    stopping.stop();
    wait_for(|| moving.iter().all(|id| second.count(*id) > 0)).await;
    assert!(kept.iter().all(|id| second.count(*id) == 1), "sent once");
}

// If the leaving owner freed them, results would use capacity of the next one until they expire.
#[tokio::test]
async fn results_are_freed_where_their_job_was_executed() {
    let caller = Caller::new();
    let handles = vec![batch::Handle::new("result", id::Life(1))];
    let leaving = FakePeer::answering(Answer::Leaving);
    let next = FakePeer::answering(Answer::Done(handles.clone()));
    let (_leaving, first) = leaving.serve("gateway-2", "secret-of-the-second-process");
    let (_next, second) = next.serve("gateway-3", "secret-of-the-third-process");
    caller.view.set_members(vec![first, second]);
    let mut ids = 0..;
    let mut made = None;
    // The leaving process owns some service; after its answer it gets no more jobs.
    while made.is_none() || leaving.jobs.lock().unwrap().is_empty() {
        for (service, id) in SERVICES.iter().zip(&mut ids) {
            made = Some(caller.peers.submit(job(id, service)).await.unwrap());
        }
    }
    for (service, id) in SERVICES.iter().zip(&mut ids) {
        made = Some(caller.peers.submit(job(id, service)).await.unwrap());
    }
    let made = made.unwrap();
    assert_eq!(made.owner.instance.as_str(), "gateway-3");
    // A leaving process gets no more jobs in this incarnation.
    assert_eq!(leaving.jobs.lock().unwrap().len(), 1);
    for service in SERVICES {
        let service = service.parse().unwrap();
        caller.peers.free(&service, &made.owner, handles.clone());
    }
    wait_for(|| next.freed.load(atomic::Ordering::Relaxed) == SERVICES.len()).await;
    assert_eq!(leaving.freed.load(atomic::Ordering::Relaxed), 0);
}

// If every process freed the results of a crashed owner by itself, they would overload targets.
#[tokio::test]
async fn results_of_an_owner_that_is_gone_are_freed_by_its_successor() {
    let caller = Caller::new();
    let handles = vec![batch::Handle::new("result", id::Life(1))];
    let (first, second) = (FakePeer::default(), FakePeer::default());
    let (gone, earlier) = first.serve("gateway-2", "secret-of-the-second-process");
    let (_second, later) = second.serve("gateway-3", "secret-of-the-third-process");
    caller.view.set_members(vec![earlier.clone(), later]);
    gone.stop();
    for service in SERVICES {
        let service = service.parse().unwrap();
        caller.peers.free(&service, &earlier, handles.clone());
    }
    wait_for(|| second.freed.load(atomic::Ordering::Relaxed) == SERVICES.len()).await;
}

// An overloaded owner answers heartbeats late. As a failure, that would move its load elsewhere.
#[tokio::test]
async fn a_process_under_load_stays_the_queue_owner() {
    let caller = Caller::new();
    let slow = FakePeer {
        lag: time::Duration::from_secs(5),
        ..FakePeer::default()
    };
    let (_slow, member) = slow.serve("gateway-2", "secret-of-the-second-process");
    caller.view.set_members(vec![member.clone()]);
    let service: id::ServiceName = SERVICES[0].parse().unwrap();
    let start = tokio::time::Instant::now();
    while start.elapsed() < time::Duration::from_millis(2500) {
        caller.peers.announce(notice(&service)).await;
        let owner = caller.peers.owner_name(&service);
        assert_eq!(
            owner.as_ref(),
            Some(&member.instance),
            "{:?}",
            start.elapsed()
        );
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

fn notice(service: &id::ServiceName) -> dispatcher::Announcement {
    let limit = unit::Period::from_secs(2);
    dispatcher::Announcement {
        id: 1,
        service: service.clone(),
        pieces: 1,
        size: unit::Size(100),
        due: limit,
        deadline: limit,
        rank: 0.into(),
    }
}

// Content that crashes targets would run at both sides that do not know each other.
#[tokio::test]
async fn a_restarted_process_that_others_do_not_know_permits_no_run_beside_theirs() {
    let names = ["gateway-1", "gateway-2", "gateway-3"];
    let served = names.map(|name| {
        let peer = FakePeer::default();
        let (handle, member) = peer.serve(name, "secret-of-the-present-run");
        (handle, peer, member)
    });
    let members: Vec<_> = served.iter().map(|(_, _, member)| member.clone()).collect();
    let callers = names.map(Caller::named);
    callers[0].view.set_members(members.clone());
    let earlier = view::Member {
        secret: "secret-of-the-earlier-run".into(),
        ..members[0].clone()
    };
    let known = vec![earlier, members[1].clone(), members[2].clone()];
    callers[1].view.set_members(known);
    for content in (0..16).map(id::Fingerprint) {
        let [first, second, _] = &served;
        let held = callers[0]
            .peers
            .begin_trial(&first.1.signals, content)
            .await;
        assert!(held.is_some(), "{content:?}: nobody runs it");
        let other = callers[1]
            .peers
            .begin_trial(&second.1.signals, content)
            .await;
        assert!(other.is_none(), "{content:?} runs twice");
    }
}

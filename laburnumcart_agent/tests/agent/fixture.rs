//! Fixtures: an agent with a target, and a sender with a lane to the agent.

use std::{
    net,
    sync::atomic,
    time, //
};

use jsonrpsee::core::client::Error;
use laburnumcart::{
    bundle,
    facts,
    id,
    signing,
    unit,
    verdict, //
};
use laburnumcart_agent::{
    agent,
    settings, //
};
use laburnumcart_platform::memory;
use laburnumcart_wire::{
    agent::{
        AgentClient,
        Heartbeat,
        Hello,
        Report, //
    },
    lane,
    peer,
    secret,
    stage, //
};
use serde_json::{
    Value,
    json,
    value, //
};

use crate::sign;

/// Limit on each wait for a condition; far above what any of them takes.
pub(crate) const BOUND: time::Duration = time::Duration::from_secs(20);

const SECRET: &str = "a-secret-of-the-fleet-0123456789";

/// Awaits a future; fails the test after [`BOUND`].
pub(crate) async fn bounded<T>(wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(BOUND, wait).await.expect("in time")
}

pub(crate) fn settings(target: net::SocketAddr) -> settings::Settings {
    let key = signing::SecretKey::generate().unwrap().public().to_string();
    let text = json!({
        "instance": "agent-1",
        "data_centre": "dc-a",
        "peer": "127.0.0.1:0",
        "admin": "127.0.0.1:0",
        "target": {"name": "pool-1", "service": "pool", "address": target.to_string()},
        "fleet": {"secrets": [SECRET], "keys": {"ops": key}},
        "platform": {"address": "127.0.0.1:9"},
        "stop_limit": "10s",
    });
    serde_json::from_value(text).unwrap()
}

/// Starts an agent for a service of the given kind and waits until it is ready.
pub(crate) async fn start(target: net::SocketAddr, kind: bundle::Kind) -> agent::Agent {
    let addr = "127.0.0.1:0".parse().unwrap();
    start_at(addr, target, kind).await
}

/// Starts an agent at the given address.
pub(crate) async fn start_at(
    peer: net::SocketAddr,
    target: net::SocketAddr,
    kind: bundle::Kind,
) -> agent::Agent {
    start_with(peer, target, &rules(kind), memory::Memory::new()).await
}

/// Starts an agent with a bundle that has the given service, read from `store`.
pub(crate) async fn start_with(
    peer: net::SocketAddr,
    target: net::SocketAddr,
    service: &Value,
    store: memory::Memory,
) -> agent::Agent {
    let listener = net::TcpListener::bind(peer).unwrap();
    let signer = sign::accept(&store, service).await;
    let parts = agent::Parts {
        options: Some(signer),
        ..agent::Parts::default()
    };
    let agent = agent::Agent::start(settings(target), parts, listener, store).unwrap();
    let shared = agent.shared();
    bounded(async {
        loop {
            let snapshot = shared.snapshot.load_full();
            if snapshot.ready && snapshot.service_kind().is_some() {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    })
    .await;
    agent
}

/// Starts an agent at the address of a stopped one, once its port is free.
pub(crate) async fn replace(
    addr: net::SocketAddr,
    target: net::SocketAddr,
    kind: bundle::Kind,
) -> agent::Agent {
    while let Err(error) = net::TcpListener::bind(addr) {
        assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    start_at(addr, target, kind).await
}

/// Returns the refusal in `state`; panics if there is none.
pub(crate) fn refusal(state: &stage::State) -> verdict::Refusal {
    match state {
        stage::State::Refused(refusal) => *refusal,
        other => panic!("not refused: {other:?}"),
    }
}

/// Returns the error code of a failed call; panics if it did not fail with one.
pub(crate) fn code<T: std::fmt::Debug>(answer: Result<T, Error>) -> i32 {
    match answer {
        Err(Error::Call(error)) => error.code(),
        other => panic!("call did not fail: {other:?}"),
    }
}

/// Returns the bundle's entry of a service of the given kind, without orders.
pub(crate) fn rules(kind: bundle::Kind) -> Value {
    json!({"kind": kind})
}

/// Process that sends attempts, over successive connections of one lane.
pub(crate) struct Sender {
    addr: net::SocketAddr,
    lane: id::Incarnation,
    number: atomic::AtomicU64,
}

/// Connection of a sender.
pub(crate) struct Connection {
    pub(crate) client: peer::Client,
    pub(crate) session: lane::Session,
    pub(crate) report: Report,
}

impl Sender {
    pub(crate) fn new(addr: net::SocketAddr) -> Self {
        Self {
            addr,
            lane: id::Incarnation::random(),
            number: atomic::AtomicU64::new(0),
        }
    }

    /// Opens the next session of the lane.
    pub(crate) async fn connect(&self) -> Connection {
        let number = self.number.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        let secret: secret::Secret = SECRET.parse().unwrap();
        let client = peer::connect(self.addr, &secret, &peer::Limits::default())
            .await
            .unwrap();
        let session = lane::Session {
            lane: self.lane,
            number,
        };
        let hello = Hello {
            instance: "entry-1".parse().unwrap(),
            session,
            peer: None,
            facts: Default::default(),
        };
        let report = client.hello(hello).await.unwrap();
        Connection {
            client,
            session,
            report,
        }
    }
}

impl Connection {
    /// Returns a call with new ids.
    pub(crate) fn call(&self) -> stage::Call {
        let body = json!({"stage": "encode", "input": {"n": 7}, "previous": null});
        stage::Call {
            session: self.session,
            incarnation: self.report.incarnation,
            request: id::RequestId::random(),
            attempt: id::AttemptId::random(),
            team: "araya".parse().unwrap(),
            pipeline: "check".parse().unwrap(),
            stage: "encode".parse().unwrap(),
            generation: id::Generation(1),
            fingerprint: id::Fingerprint(5),
            priority: bundle::Priority::Normal,
            idempotent: false,
            remaining: unit::Period::from_secs(15),
            traceparent: None,
            received: None,
            body: value::to_raw_value(&body).unwrap(),
        }
    }

    /// Starts a call and reads its result to the end.
    pub(crate) async fn run(&self, call: &stage::Call) -> (String, stage::State) {
        let progress = self.client.start(call.clone()).await.unwrap();
        self.rest(call, progress).await
    }

    /// Reads the result of a call that was started over another connection.
    pub(crate) async fn read(&self, call: &stage::Call) -> (String, stage::State) {
        let progress = self.client.next(self.next(call, 0)).await.unwrap();
        self.rest(call, progress).await
    }

    /// Sends heartbeats until an answer has facts that match, and returns them.
    pub(crate) async fn wait_facts(&self, fits: impl Fn(&facts::Facts) -> bool) -> facts::Facts {
        loop {
            let beat = Heartbeat {
                peer: None,
                session: self.session,
                facts: None,
            };
            let report = self.client.beat(beat).await.unwrap();
            if fits(&report.facts) {
                return report.facts;
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    async fn rest(
        &self,
        call: &stage::Call,
        mut progress: stage::Progress,
    ) -> (String, stage::State) {
        let mut assembler = stage::Assembler::default();
        loop {
            assert_eq!(
                (progress.request, progress.attempt),
                (call.request, call.attempt)
            );
            for chunk in &progress.chunks {
                assembler.push(chunk).unwrap();
            }
            match progress.state {
                stage::State::Done(end) => {
                    return (assembler.finish(&end).unwrap(), progress.state);
                }
                stage::State::Refused(_) => return (assembler.text().into(), progress.state),
                _ => (),
            }
            let next = self.next(call, assembler.next_number());
            progress = self.client.next(next).await.unwrap();
        }
    }

    pub(crate) fn next(&self, call: &stage::Call, from: u32) -> stage::Next {
        stage::Next {
            attempt: call.attempt,
            from,
            wait: unit::Period::from_secs(1),
        }
    }

    /// Returns a query about a call of an earlier session.
    pub(crate) fn query(&self, call: &stage::Call, from: u32) -> stage::Query {
        stage::Query {
            session: self.session,
            incarnation: call.incarnation,
            sent: call.session.number,
            attempt: call.attempt,
            from,
        }
    }
}

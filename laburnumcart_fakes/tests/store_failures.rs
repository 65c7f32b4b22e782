//! Failures of the object service and how the real client reports them.

use std::{
    io::{
        Read,
        Write, //
    },
    net,
    sync::{
        self,
        atomic, //
    },
    thread, time,
};

use rstest::rstest;
use tokio::time::Instant;

use laburnumcart::unit;
use laburnumcart_fakes::store as fake;
use laburnumcart_platform::{
    breaker, budget, client, memory, settle,
    store::{
        self,
        Failure,
        Store, //
    },
};

/// Timeout of waits that normally end much earlier.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Call timeout where the service does not respond.
const CALL_TIMEOUT: unit::Period = unit::Period::from_millis(200);

fn client(addr: net::SocketAddr) -> client::Client {
    let client = client::Client::builder([addr]);
    client.timeout(unit::Period(TIMEOUT)).build().unwrap()
}

fn unavailable(seconds: Option<u64>) -> Failure {
    let retry = seconds.map(unit::Period::from_secs);
    Failure::Unavailable { retry }
}

/// Service that sends fixed bytes and closes the connection; if empty, it stays silent and open.
struct FixedResponse {
    addr: net::SocketAddr,
    connections: sync::Arc<atomic::AtomicUsize>,
}

impl FixedResponse {
    fn start(answer: &'static str) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let connections = sync::Arc::new(atomic::AtomicUsize::new(0));
        let count = connections.clone();
        thread::spawn(move || {
            let mut open = Vec::new();
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                count.fetch_add(1, atomic::Ordering::SeqCst);
                read_request(&mut stream);
                match answer {
                    "" => open.push(stream),
                    _ => stream.write_all(answer.as_bytes()).unwrap(),
                }
            }
        });
        Self { addr, connections }
    }

    fn connections(&self) -> usize {
        self.connections.load(atomic::Ordering::SeqCst)
    }
}

/// Reads one request whose body, if any, is a single byte.
fn read_request(stream: &mut net::TcpStream) {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
        text.push(byte[0]);
    }
    if text.starts_with(b"PUT") {
        let _ = stream.read(&mut byte);
    }
}

#[rstest]
#[case::limited(
    "HTTP/1.1 429 x\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n",
    unavailable(Some(2))
)]
#[case::down(
    "HTTP/1.1 503 x\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n",
    unavailable(Some(7))
)]
#[case::down_without_time("HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n", unavailable(None))]
#[case::conflict("HTTP/1.1 412 x\r\ncontent-length: 0\r\n\r\n", Failure::Conflict)]
#[case::too_large("HTTP/1.1 413 x\r\ncontent-length: 0\r\n\r\n", Failure::Invalid)]
#[case::server_error("HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n", Failure::Unanswered)]
#[case::gateway("HTTP/1.1 504 x\r\ncontent-length: 0\r\n\r\n", Failure::Unanswered)]
#[case::no_version("HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n", Failure::Unanswered)]
#[case::bad_version(
    "HTTP/1.1 200 x\r\netag: 7\r\ncontent-length: 0\r\n\r\n",
    Failure::Unanswered
)]
#[case::cut_head("HTTP/1.1 200 x\r\netag: \"7\"", Failure::Unanswered)]
#[case::cut_body(
    "HTTP/1.1 200 x\r\netag: \"7\"\r\ncontent-length: 5\r\n\r\nab",
    Failure::Unanswered
)]
#[case::not_http("nonsense\r\n\r\n", Failure::Unanswered)]
#[tokio::test]
async fn write_outcome_is_certain_only_if_the_response_proves_it(
    #[case] answer: &'static str,
    #[case] expected: Failure,
) {
    let service = FixedResponse::start(answer);
    let put = client(service.addr)
        .put("a", store::Expect::Absent, "1")
        .await;
    assert_eq!(put, Err(expected));
}

#[tokio::test]
async fn refused_connection_is_unavailable() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let put = client(addr).put("a", store::Expect::Absent, "1").await;
    assert_eq!(put, Err(unavailable(None)));
}

// A connection kept after a timeout would delay the next call as well.
#[tokio::test]
async fn silent_connection_is_closed_after_a_timeout() {
    let service = FixedResponse::start("");
    let client = client::Client::builder([service.addr]).timeout(CALL_TIMEOUT);
    let client = client.build().unwrap();
    for used in 1..=2 {
        let put = client.put("a", store::Expect::Absent, "1").await;
        assert_eq!(put, Err(Failure::Unanswered));
        assert_eq!(service.connections(), used);
    }
}

#[tokio::test]
async fn second_address_serves_when_the_first_is_gone() {
    let server = fake::Server::builder().start().unwrap();
    let gone = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addrs = [gone.local_addr().unwrap(), server.addr()];
    drop(gone);
    let client = client::Client::builder(addrs).build().unwrap();
    assert_eq!(client.get("a").await, Err(unavailable(None)));
    assert_eq!(client.get("a").await, Ok(None));
}

// The service applies the write and closes the connection before its response is complete.
#[tokio::test]
async fn lost_response_is_resolved_by_a_read() {
    let server = fake::Server::builder().start().unwrap();
    let client = client(server.addr());
    let faults = memory::Faults {
        lose_answers: 1,
        ..memory::Faults::default()
    };
    server.memory().set_faults(faults);
    let write = settle::Write {
        key: "a",
        expect: store::Expect::Absent,
        value: "{\"nonce\":1}",
    };
    let until = Instant::now() + TIMEOUT;
    let outcome = settle::put(&client, write, until, settle::judge_created(write)).await;
    let object = server.memory().get("a").await.unwrap().unwrap();
    assert_eq!(outcome, Ok(settle::Outcome::Written(object.version)));
    assert_eq!(server.memory().faults().lose_answers, 0);
    assert_eq!(server.counts().prefixes["a"].writes, 1);
}

// The service applies a timed-out write only after the client has repeated it.
#[tokio::test]
async fn delayed_write_is_refused_after_its_repetition() {
    let server = fake::Server::builder().start().unwrap();
    let addr = server.addr();
    let slow = memory::Faults {
        slow: unit::Period::from_millis(600),
        ..memory::Faults::default()
    };
    server.memory().set_faults(slow);
    let impatient = client::Client::builder([addr]).timeout(CALL_TIMEOUT);
    let impatient = impatient.build().unwrap();
    let write = settle::Write {
        key: "a",
        expect: store::Expect::Absent,
        value: "{\"nonce\":1}",
    };
    let first = impatient.put(write.key, write.expect, write.value).await;
    assert_eq!(first, Err(Failure::Unanswered));
    server.memory().set_faults(memory::Faults::default());
    let until = Instant::now() + TIMEOUT;
    let outcome = settle::resolve(&client(addr), write, until, settle::judge_created(write)).await;
    tokio::time::sleep(slow.slow.0 * 2).await;
    let object = server.memory().get("a").await.unwrap().unwrap();
    assert_eq!(outcome, settle::Outcome::Written(object.version));
}

// Without a circuit breaker, callers wait during an outage and overload the service on its return.
#[tokio::test]
async fn outage_opens_the_circuit_breaker_until_the_service_returns() {
    let server = fake::Server::builder().start().unwrap();
    let limits = breaker::Limits {
        longest_pause: time::Duration::from_millis(200),
        ..breaker::Limits::default()
    };
    let client = client::Client::builder([server.addr()]).breaker(limits);
    let client = client.timeout(unit::Period(TIMEOUT)).build().unwrap();
    let down = memory::Faults {
        down: true,
        ..memory::Faults::default()
    };
    server.memory().set_faults(down);
    let start = Instant::now();
    for _ in 0..500 {
        let get = client.get("a").await;
        assert!(matches!(get, Err(Failure::Unavailable { .. })));
    }
    assert!(client.is_down());
    // Three calls open the breaker; later ones are probes, each after a pause of 50 ms or more.
    let probes = start.elapsed().as_millis() as u64 / 50;
    assert!(server.counts().total.reads <= 3 + probes);
    server.memory().set_faults(memory::Faults::default());
    let back = async {
        while client.get("a").await.is_err() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, back).await.unwrap();
    assert!(!client.is_down());
}

#[tokio::test]
async fn calls_beyond_the_budget_never_reach_the_service() {
    let server = fake::Server::builder().start().unwrap();
    let rates = budget::Rates {
        reads: unit::Rate(20.0),
        writes: unit::Rate(20.0),
    };
    let start = Instant::now();
    let client = client::Client::builder([server.addr()]).rates(rates);
    let client = client.timeout(unit::Period(TIMEOUT)).build().unwrap();
    let mut refused = 0;
    for _ in 0..200 {
        let retry = |failure| matches!(failure, Failure::Unavailable { retry: Some(_) });
        refused += u64::from(client.get("a").await.is_err_and(retry));
    }
    let reads = server.counts().total.reads;
    assert_eq!(reads, 200 - refused);
    assert!(reads as f64 <= 5.0 + 20.0 * start.elapsed().as_secs_f64());
    assert!(!client.is_down());
}

// Refusing calls beyond the budget at once would make the burst of a takeover look like an outage.
#[tokio::test]
async fn a_burst_waits_for_the_budget() {
    let server = fake::Server::builder().start().unwrap();
    let rates = budget::Rates {
        reads: unit::Rate(20.0),
        writes: unit::Rate(20.0),
    };
    let client = client::Client::builder([server.addr()]).rates(rates);
    let client = client
        .timeout(unit::Period(TIMEOUT))
        .budget_wait(unit::Period(TIMEOUT));
    let client = client.build().unwrap();
    for _ in 0..15 {
        assert_eq!(client.get("a").await, Ok(None));
    }
    assert_eq!(server.counts().total.reads, 15);
}

#[tokio::test]
async fn service_refuses_calls_beyond_its_rate() {
    let server = fake::Server::builder().writes(unit::Rate(0.001));
    let server = server.start().unwrap();
    let client = client(server.addr());
    client.put("a", store::Expect::Absent, "1").await.unwrap();
    let second = client.put("b", store::Expect::Absent, "1").await;
    assert_eq!(second, Err(unavailable(Some(1))));
    assert_eq!(server.counts().prefixes["b"].refused, 1);
    assert_eq!(client.get("b").await, Ok(None));
}

#[tokio::test]
async fn waiting_watches_take_the_rate_of_reads() {
    let server = fake::Server::builder().reads(unit::Rate(4.0));
    let server = server.start().unwrap();
    let mut clients = Vec::new();
    let mut tasks = Vec::new();
    while server.counts().total.watches < 4 {
        let client = client(server.addr());
        let from = server.memory().revision();
        clients.push(client.clone());
        tasks.push(tokio::spawn(async move {
            client.watch("a", from, TIMEOUT).await
        }));
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    let refused = clients[0].get("a").await;
    assert!(matches!(
        refused,
        Err(Failure::Unavailable { retry: Some(_) })
    ));
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
}

// Reads may return an old version for a while; conditional writes must not.
#[tokio::test]
async fn write_based_on_a_stale_read_is_refused() {
    let server = fake::Server::builder().start().unwrap();
    let client = client(server.addr());
    let first = client.put("a", store::Expect::Absent, "1").await.unwrap();
    let expect = store::Expect::Version(first);
    tokio::time::sleep(time::Duration::from_millis(5)).await;
    let between = Instant::now();
    tokio::time::sleep(time::Duration::from_millis(5)).await;
    let second = client.put("a", expect, "2").await.unwrap();
    let stale = memory::Faults {
        stale: unit::Period(between.elapsed()),
        ..memory::Faults::default()
    };
    server.memory().set_faults(stale);
    let object = client.get("a").await.unwrap();
    let version = object.map(|object| object.version);
    assert!(version == Some(first) || version == Some(second));
    assert_eq!(client.put("a", expect, "3").await, Err(Failure::Conflict));
    server.memory().set_faults(memory::Faults::default());
    assert_eq!(client.get("a").await.unwrap().unwrap().value, "2");
}

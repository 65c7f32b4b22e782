//! Bodies and answers that fill the room of a gateway: who fills it waits, and no request that
//! a target may be running is given up.

use std::{
    collections,
    sync::{
        Arc,
        atomic, //
    },
    time, //
};

use bytes::Bytes;
use http::{
    HeaderValue,
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt;
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use laburnumcart_gateway::held;
use rstest::rstest;
use serde_json::json;
use tokio::{
    net,
    task,
    time::Instant, //
};

use crate::support::{
    System,
    config,
    success, //
};

/// Targets of the service.
const TARGET_COUNT: usize = 6;

/// Size of a large body, near the largest that the configuration allows.
const BODY: usize = 4_000_000;

/// Size of a large answer, near the largest that is read.
const ANSWER: usize = 7 << 20;

/// Parts in which a target sends it, and the pause between them.
const PARTS: usize = 14;
const PART_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Work on a small request, which waits for its target meanwhile.
const WORK: time::Duration = time::Duration::from_millis(500);

/// Work on a large body, and the pause between two of them.
const UPLOAD_WORK: time::Duration = time::Duration::from_millis(3000);
const UPLOAD_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Callers of large answers, and callers of small requests beside them.
const LARGE_CALLERS: usize = 16;
const SMALL_CALLERS: usize = 8;

/// Time for which small requests are sent.
const SMALL_TIME: time::Duration = time::Duration::from_secs(6);

/// Longest wait of a body for room, with some for the transfer of many large ones.
const REFUSED_MAX: time::Duration = time::Duration::from_secs(2);

/// Bytes of an answer without end.
const ENDLESS: usize = 16 << 10;

fn head(seen: &ReceivedRequest, rest: &str) -> Step {
    let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-laburnumcart-attempt-id: {attempt}\r\n\
         x-laburnumcart-server-stamp: s\r\n{rest}\r\n"
    );
    Step::Send(head.into())
}

fn large_answer(seen: &ReceivedRequest) -> Vec<Step> {
    let mut steps = vec![head(seen, &format!("content-length: {ANSWER}\r\n"))];
    for _ in 0..PARTS {
        steps.push(Step::Send(vec![b'x'; ANSWER / PARTS]));
        steps.push(Step::Pause(PART_PAUSE));
    }
    steps
}

fn endless_chunks(seen: &ReceivedRequest) -> Vec<Step> {
    let data = "x".repeat(ENDLESS);
    let chunk = format!("{ENDLESS:x}\r\n{data}\r\n");
    let head = head(seen, "transfer-encoding: chunked\r\n");
    vec![head, Step::Endless(chunk.into(), time::Duration::ZERO)]
}

fn endless_body(seen: &ReceivedRequest) -> Vec<Step> {
    let bytes = vec![b'x'; ENDLESS];
    let head = head(seen, "connection: close\r\n");
    vec![head, Step::Endless(bytes, time::Duration::ZERO)]
}

/// Returns the time that a target takes for a request.
fn work(seen: &ReceivedRequest) -> time::Duration {
    match seen.path().ends_with("/upload") {
        true => UPLOAD_WORK,
        false => WORK,
    }
}

async fn start(large: fn(&ReceivedRequest) -> Vec<Step>) -> (Arc<System>, Vec<Target>) {
    let mut targets = Vec::new();
    for _ in 0..TARGET_COUNT {
        let script = move |seen: &ReceivedRequest, _: usize| match seen.path().ends_with("/large") {
            true => large(seen),
            false => vec![Step::Pause(work(seen)), success(seen, "done")],
        };
        targets.push(Target::start(script).await.unwrap());
    }
    let config = config(|c| {
        c["limits"]["max_body_bytes"] = json!(4 << 20);
        for route in c["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(20_000);
        }
    });
    let names: Vec<_> = (0..TARGET_COUNT).map(|i| format!("i-{i}")).collect();
    let all = names.iter().zip(&targets);
    let all: Vec<_> = all.map(|(name, t)| (name.as_str(), "desk", t)).collect();
    (Arc::new(System::start(config, &all).await), targets)
}

/// Sends a request; returns the status of a whole answer, or `None` if the connection ended before.
async fn call(system: &System, path: &str, id: &str, body: Bytes) -> Option<StatusCode> {
    let stream = net::TcpStream::connect(system.addr).await.unwrap();
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::post(path).body(Full::new(body)).unwrap();
    let headers = request.headers_mut();
    headers.insert("host", HeaderValue::from_static("desk.example"));
    headers.insert("x-laburnumcart-attempt-id", id.parse().unwrap());
    headers.insert(
        "x-laburnumcart-deadline-ms",
        HeaderValue::from_static("20000"),
    );
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok().map(|_| status)
}

/// Sends small requests one after the other; returns the statuses of their answers.
async fn call_small(system: Arc<System>, caller: usize) -> Vec<Option<StatusCode>> {
    let end = Instant::now() + SMALL_TIME;
    let mut statuses = Vec::new();
    while Instant::now() < end {
        let id = format!("small-{caller}-{}", statuses.len());
        let body = Bytes::from_static(&[b'x'; 600]);
        statuses.push(call(&system, "/once/small", &id, body).await);
    }
    statuses
}

/// Returns the most bytes that were held until the task is aborted.
async fn watch_held(system: Arc<System>, most: Arc<atomic::AtomicUsize>) {
    loop {
        let held = system.gateway.outbound.pool.held.total();
        most.fetch_max(held, atomic::Ordering::Relaxed);
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
}

// A burst of large bodies must not cut those that targets are already running.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_beyond_the_room_are_refused_before_they_are_sent() {
    let (system, targets) = start(endless_body).await;
    let most: Arc<atomic::AtomicUsize> = Arc::default();
    let watch = tokio::spawn(watch_held(system.clone(), most.clone()));
    let body: Bytes = vec![b'x'; BODY].into();
    let mut calls = task::JoinSet::new();
    for number in 0..24 {
        let (system, body) = (system.clone(), body.clone());
        calls.spawn(async move {
            let id = format!("body-{number}");
            let start = Instant::now();
            let status = call(&system, "/once/upload", &id, body).await;
            (id, status, start.elapsed())
        });
        tokio::time::sleep(UPLOAD_PAUSE).await;
    }
    let ended = calls.join_all().await;
    watch.abort();
    let seen = targets.iter().flat_map(Target::requests);
    let seen = seen.filter_map(|seen| seen.header("x-laburnumcart-attempt-id").map(str::to_owned));
    let seen: collections::HashSet<String> = seen.collect();
    let most = most.load(atomic::Ordering::Relaxed);
    println!("held {most}, {ended:?}");
    for (id, status, taken) in &ended {
        match seen.contains(id) {
            true => assert_eq!(*status, Some(StatusCode::OK), "{id} ran and was given up"),
            false => {
                assert_ne!(*status, Some(StatusCode::OK), "{id}");
                assert!(*taken <= REFUSED_MAX, "{id} refused after {taken:?}");
            }
        }
    }
    assert!(seen.len() >= 6, "{} of {} served", seen.len(), ended.len());
    assert!(most <= held::TOTAL_MAX, "held {most}");
}

// Large answers, or answers without end, must not cut small requests that wait for their targets.
#[rstest]
#[case::large(large_answer, true)]
#[case::endless_chunks(endless_chunks, false)]
#[case::endless_body(endless_body, false)]
#[tokio::test(flavor = "multi_thread")]
async fn answers_wait_for_room_and_cut_no_small_requests(
    #[case] large: fn(&ReceivedRequest) -> Vec<Step>,
    #[case] is_whole: bool,
) {
    let (system, _targets) = start(large).await;
    let most: Arc<atomic::AtomicUsize> = Arc::default();
    let watch = tokio::spawn(watch_held(system.clone(), most.clone()));
    let mut small = task::JoinSet::new();
    for caller in 0..SMALL_CALLERS {
        small.spawn(call_small(system.clone(), caller));
    }
    let mut answers = task::JoinSet::new();
    for number in 0..LARGE_CALLERS {
        let system = system.clone();
        answers.spawn(async move {
            let id = format!("large-{number}");
            call(&system, "/safe/large", &id, Bytes::new()).await
        });
    }
    let answers = answers.join_all().await;
    let small = small.join_all().await.concat();
    watch.abort();
    let most = most.load(atomic::Ordering::Relaxed);
    let served = small.iter().filter(|s| **s == Some(StatusCode::OK)).count();
    println!(
        "held {most}, {served} of {} small, large: {answers:?}",
        small.len()
    );
    assert_eq!(served, small.len(), "small requests were given up");
    if is_whole {
        assert_eq!(answers, vec![Some(StatusCode::OK); LARGE_CALLERS]);
    }
    assert!(most <= held::TOTAL_MAX, "held {most}");
}

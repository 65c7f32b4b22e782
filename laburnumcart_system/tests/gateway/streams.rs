//! Event streams that break and resume.

use futures_util::{
    StreamExt,
    stream, //
};
use http::{
    HeaderValue,
    StatusCode, //
};
use laburnumcart_fakes::scripted::{
    Step,
    Target, //
};
use laburnumcart_gateway::settings;
use rstest::rstest;

use crate::support::{
    System,
    chunk,
    config,
    events,
    not_run,
    stream_end,
    stream_head, //
};

/// Number of concurrent callers.
const CONCURRENCY: usize = 20;

/// Starts a target that breaks off a new stream within event 3, and that resumes streams after any
/// event.
async fn breaking_target(last: Step) -> Target {
    let script = move |seen: &laburnumcart_fakes::scripted::ReceivedRequest, _: usize| match seen
        .header("last-event-id")
    {
        None => vec![
            stream_head(seen),
            chunk(&events(1..=2)),
            chunk("id: 3\nda"),
            last.clone(),
        ],
        Some(after) => {
            let next = after.parse::<u32>().unwrap() + 1;
            vec![stream_head(seen), chunk(&events(next..=5)), stream_end()]
        }
    };
    Target::start(script).await.unwrap()
}

// Another target continues after the last whole event, and each event is forwarded once.
#[tokio::test]
async fn a_broken_stream_goes_on_elsewhere() {
    for last in [Step::Reset, Step::Close, Step::Hang] {
        let (one, two) = (
            breaking_target(last.clone()).await,
            breaking_target(last).await,
        );
        let targets = [("i-1", "desk", &one), ("i-2", "desk", &two)];
        let system = System::start(config(|_| ()), &targets).await;
        let response = system.call("/resumed/1", |_| ()).await;
        assert_eq!(response.status, StatusCode::OK);
        assert!(response.complete);
        assert_eq!(response.body, events(1..=5));
        assert_eq!((one.requests().len(), two.requests().len()), (1, 1));
    }
}

// What is not written when a response body fails is lost, the response head included.
#[rstest]
#[case::reset(Step::Reset)]
#[case::closed(Step::Close)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_at_once_reaches_its_caller(#[case] last: Step) {
    let target = Target::start(move |seen, _| {
        let mut steps = vec![stream_head(seen), chunk(&events(1..=2))];
        steps.push(last.clone());
        steps
    });
    let target = target.await.unwrap();
    let bounds = settings::Bounds {
        retry_ratio: 0.0,
        retry_extra: 0.0,
        ..settings::Bounds::default()
    };
    let targets = [("i-1", "desk", &target)];
    let first = System::start_with_bounds(bounds, config(|_| ()), &targets).await;
    let mut fleet = first.start_peers(2..=4).await;
    fleet.push(first);
    let calls = (0..200).map(|number| {
        let path = ["/resumed/1", "/stream/1"][number % 2];
        let id = HeaderValue::try_from(format!("stream-{number}")).unwrap();
        fleet[number % fleet.len()].try_call(path, |headers| {
            headers.insert("x-laburnumcart-attempt-id", id);
        })
    });
    let responses: Vec<_> = stream::iter(calls).buffered(CONCURRENCY).collect().await;
    let headless = responses
        .iter()
        .filter(|response| response.is_err())
        .count();
    assert_eq!(headless, 0);
    for response in responses.into_iter().flatten() {
        // The target's reset may reach the gateway before the head.
        if response.status == StatusCode::OK {
            assert_eq!(response.body, events(1..=2));
        }
        assert!(!response.complete || response.status == StatusCode::BAD_GATEWAY);
    }
}

// Two runs are never joined, and an incomplete response must not look complete.
#[tokio::test]
async fn broken_stream_without_resume_is_cut() {
    let (one, two) = (
        breaking_target(Step::Close).await,
        breaking_target(Step::Close).await,
    );
    let targets = [("i-1", "desk", &one), ("i-2", "desk", &two)];
    let system = System::start(config(|_| ()), &targets).await;
    let response = system.call("/stream/1", |_| ()).await;
    assert!(!response.complete);
    assert_eq!(response.body, events(1..=2));
    assert_eq!(one.requests().len() + two.requests().len(), 1);
}

// The framing ends properly, but the last event is incomplete.
#[tokio::test]
async fn stream_that_ends_within_an_event_is_cut() {
    let script = |seen: &laburnumcart_fakes::scripted::ReceivedRequest, _: usize| {
        vec![
            stream_head(seen),
            chunk("id: 1\ndata: a\n\nid: 2\nda"),
            stream_end(),
        ]
    };
    let target = Target::start(script).await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    let response = system.call("/stream/1", |_| ()).await;
    assert!(!response.complete);
}

// The target that resumes the stream sends some events again.
#[tokio::test]
async fn duplicate_events_are_dropped() {
    let script = |seen: &laburnumcart_fakes::scripted::ReceivedRequest, _: usize| match seen
        .header("last-event-id")
    {
        None => vec![stream_head(seen), chunk(&events(1..=3)), Step::Reset],
        Some(_) => vec![stream_head(seen), chunk(&events(2..=5)), stream_end()],
    };
    let one = Target::start(script).await.unwrap();
    let two = Target::start(script).await.unwrap();
    let targets = [("i-1", "desk", &one), ("i-2", "desk", &two)];
    let system = System::start(config(|_| ()), &targets).await;
    let response = system.call("/resumed/1", |_| ()).await;
    assert!(response.complete);
    assert_eq!(response.body, events(1..=5));
}

// The caller reconnects with the number of its last event; a full target is replaced unnoticed.
#[tokio::test]
async fn caller_resumes_after_its_last_event() {
    let full = Target::start(|seen, _| vec![not_run(seen, "503 Busy")])
        .await
        .unwrap();
    let good = breaking_target(Step::Close).await;
    let targets = [("i-1", "desk", &full), ("i-2", "desk", &good)];
    let system = System::start(config(|_| ()), &targets).await;
    let response = system
        .call("/resumed/1", |h| {
            h.insert("last-event-id", "3".parse().unwrap());
        })
        .await;
    assert!(response.complete);
    assert_eq!(response.body, events(4..=5));
}

// Events reach the caller while the target is still sending.
#[tokio::test]
async fn events_are_forwarded_immediately() {
    let script = |seen: &laburnumcart_fakes::scripted::ReceivedRequest, _: usize| {
        vec![stream_head(seen), chunk(&events(1..=1)), Step::Hang]
    };
    let target = Target::start(script).await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    let mut stream = tokio::net::TcpStream::connect(system.addr).await.unwrap();
    let request = b"POST /stream/1 HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 0\r\n\
        x-laburnumcart-attempt-id: a\r\nx-laburnumcart-deadline-ms: 3000\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, request)
        .await
        .unwrap();
    let mut bytes = Vec::new();
    let read = async {
        while !String::from_utf8_lossy(&bytes).contains("data: 1\n\n") {
            tokio::io::AsyncReadExt::read_buf(&mut stream, &mut bytes)
                .await
                .unwrap();
        }
    };
    tokio::time::timeout(crate::support::TIMEOUT, read)
        .await
        .unwrap();
}

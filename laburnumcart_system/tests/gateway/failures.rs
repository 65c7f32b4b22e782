//! Responses to callers when targets fail.

use http::StatusCode;
use rstest::rstest;

use laburnumcart_fakes::scripted::{
    Step,
    Target, //
};

use crate::support::{
    System,
    config,
    not_run,
    response,
    success, //
};

/// Returns the steps of a target that fails a request which it may have executed.
fn failing_steps(kind: &str, seen: &laburnumcart_fakes::scripted::ReceivedRequest) -> Vec<Step> {
    match kind {
        "reset" => vec![Step::Reset],
        "closed" => vec![Step::Close],
        "garbage" => vec![Step::Send(b"garbage\r\n\r\n".to_vec()), Step::Close],
        "cut" => vec![
            Step::Send(
                b"HTTP/1.1 200 OK\r\nx-laburnumcart-attempt-id: attempt-1\r\n\
                  x-laburnumcart-server-stamp: s\r\ncontent-length: 10\r\n\r\nhalf"
                    .to_vec(),
            ),
            Step::Close,
        ],
        "unsigned" => vec![response(seen, "200 OK", "", "looks whole")],
        "foreign" => vec![Step::Send(
            b"HTTP/1.1 200 OK\r\nx-laburnumcart-attempt-id: another\r\n\
              x-laburnumcart-server-stamp: s\r\ncontent-length: 5\r\n\r\nother"
                .to_vec(),
        )],
        "unproven" => vec![response(seen, "503 Service Unavailable", "", "")],
        other => panic!("unknown failure: {other}"),
    }
}

// The request may have had its effect: it must be neither retried nor reported as not executed.
#[rstest]
#[case("reset")]
#[case("closed")]
#[case("garbage")]
#[case("cut")]
#[case("unsigned")]
#[case("foreign")]
#[case("unproven")]
#[tokio::test]
async fn a_request_that_may_have_run_is_not_repeated(#[case] kind: &'static str) {
    let one = Target::start(move |seen, _| failing_steps(kind, seen))
        .await
        .unwrap();
    let two = Target::start(move |seen, _| failing_steps(kind, seen))
        .await
        .unwrap();
    let targets = [("i-1", "desk", &one), ("i-2", "desk", &two)];
    let system = System::start(config(|_| ()), &targets).await;
    let response = system.call("/once/1", |_| ()).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(!response.headers.contains_key("x-laburnumcart-server-stamp"));
    assert_eq!(one.requests().len() + two.requests().len(), 1);
}

// After the same failures, an idempotent request is retried and the caller gets a whole response.
#[rstest]
#[case("reset")]
#[case("closed")]
#[case("garbage")]
#[case("cut")]
#[case("unsigned")]
#[case("foreign")]
#[case("unproven")]
#[tokio::test]
async fn an_idempotent_request_goes_elsewhere(#[case] kind: &'static str) {
    let seen_first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let script =
        move |seen: &laburnumcart_fakes::scripted::ReceivedRequest, _: usize| match seen_first
            .swap(true, std::sync::atomic::Ordering::AcqRel)
        {
            false => failing_steps(kind, seen),
            true => vec![success(seen, "whole")],
        };
    let script = std::sync::Arc::new(script);
    let (a, b) = (script.clone(), script);
    let one = Target::start(move |seen, n| a(seen, n)).await.unwrap();
    let two = Target::start(move |seen, n| b(seen, n)).await.unwrap();
    let targets = [("i-1", "desk", &one), ("i-2", "desk", &two)];
    let system = System::start(config(|_| ()), &targets).await;
    let response = system.call("/safe/1", |_| ()).await;
    assert_eq!(
        (response.status, response.body.as_str()),
        (StatusCode::OK, "whole")
    );
    assert_eq!((one.requests().len(), two.requests().len()), (1, 1));
}

// A full target, or another one at its address, proves that a at-most-once request can be retried.
#[rstest]
#[case("503 Service Unavailable")]
#[case("421 Misdirected Request")]
#[tokio::test]
async fn request_proven_not_run_is_retried(#[case] status: &'static str) {
    let full = Target::start(move |seen, _| vec![not_run(seen, status)])
        .await
        .unwrap();
    let free = Target::start(|seen, _| vec![success(seen, "opened")])
        .await
        .unwrap();
    let targets = [("i-1", "desk", &full), ("i-2", "desk", &free)];
    let system = System::start(config(|_| ()), &targets).await;
    for _ in 0..4 {
        let response = system.call("/once/1", |_| ()).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(free.requests().len(), 4);
}

// With all targets full, the caller learns that the request was not executed and when to resend it.
#[tokio::test]
async fn refusals_of_all_targets_are_a_refusal() {
    let full = |seen: &laburnumcart_fakes::scripted::ReceivedRequest, _| {
        vec![not_run(seen, "503 Service Unavailable")]
    };
    let one = Target::start(full).await.unwrap();
    let two = Target::start(full).await.unwrap();
    let targets = [("i-1", "desk", &one), ("i-2", "desk", &two)];
    let system = System::start(config(|_| ()), &targets).await;
    let response = system.call("/once/1", |_| ()).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert!(one.requests().len() <= 1 && two.requests().len() <= 1);
}

// Nothing was sent to the crashed target, so even a at-most-once request goes to the other one.
#[tokio::test]
async fn unreachable_target_is_skipped() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = gone.local_addr().unwrap();
    drop(gone);
    let free = Target::start(|seen, _| vec![success(seen, "opened")])
        .await
        .unwrap();
    let system = System::start(config(|_| ()), &[("i-2", "desk", &free)]).await;
    let entry = crate::support::target_entry("desk", &free, "ready");
    let entry = entry.replace(&free.addr().to_string(), &addr.to_string());
    system.put("servers/i-1", &entry).await;
    let service = "desk".parse().unwrap();
    let view = system.gateway.view.clone();
    crate::support::wait_for(|| view.targets.load().service(&service).len() == 2).await;
    for _ in 0..4 {
        let response = system.call("/once/1", |_| ()).await;
        assert_eq!(response.status, StatusCode::OK);
    }
}

// A duplicate response must not be taken for the response to the next request on the connection.
#[rstest]
#[case(0)]
#[case(30)]
#[tokio::test]
async fn surplus_bytes_reach_nobody(#[case] pause: u64) {
    let script = move |seen: &laburnumcart_fakes::scripted::ReceivedRequest, n: usize| {
        let surplus = Step::Pause(std::time::Duration::from_millis(pause));
        vec![
            success(seen, &format!("answer {n}")),
            surplus,
            success(seen, "surplus"),
        ]
    };
    let target = Target::start(script).await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    for n in 0..6 {
        let name = format!("attempt-{n}");
        let response = system
            .call("/safe/1", |h| {
                h.insert("x-laburnumcart-attempt-id", name.parse().unwrap());
            })
            .await;
        if response.status == StatusCode::OK {
            assert!(response.body.starts_with("answer "), "{response:?}");
            assert_eq!(response.headers["x-laburnumcart-attempt-id"], name.as_str());
        }
    }
}

// A stamped error is the target's own response and reaches the caller unchanged.
#[tokio::test]
async fn server_error_is_forwarded() {
    let script = |seen: &laburnumcart_fakes::scripted::ReceivedRequest, _| {
        let mark = "x-laburnumcart-server-stamp: s\r\n";
        vec![response(seen, "500 Internal Server Error", mark, "broken")]
    };
    let target = Target::start(script).await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    for path in ["/once/1", "/safe/1"] {
        let response = system.call(path, |_| ()).await;
        assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(response.body, "broken");
        assert_eq!(response.headers["x-laburnumcart-server-stamp"], "s");
    }
}

// The request may have been executed, so the caller must not be told that it was not.
#[tokio::test]
async fn silent_target_times_out_at_the_deadline() {
    let target = Target::start(|_, _| vec![Step::Hang]).await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    let response = system
        .call("/once/1", |h| {
            h.insert("x-laburnumcart-deadline-ms", "300".parse().unwrap());
        })
        .await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    crate::support::wait_for(|| target.closed_by_caller() == 1).await;
}

// The target may be working on the stream when the gateway exits or the deadline passes.
#[rstest]
#[case(true, StatusCode::BAD_GATEWAY)]
#[case(false, StatusCode::GATEWAY_TIMEOUT)]
#[tokio::test]
async fn a_stream_in_flight_is_not_called_not_run(
    #[case] exit: bool,
    #[case] expected: StatusCode,
) {
    let target = Target::start(|_, _| vec![Step::Hang]).await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    let call = system.call("/stream/1", |h| {
        h.insert("x-laburnumcart-deadline-ms", "700".parse().unwrap());
    });
    let leave = async {
        crate::support::wait_for(|| target.requests().len() == 1).await;
        if exit {
            system.gateway.view.announce_exit();
        }
    };
    let (response, ()) = tokio::join!(call, leave);
    assert_eq!(response.status, expected);
}

// The target's connection is closed at once, so that it stops its work.
#[rstest]
#[case("/once/1")]
#[case("/stream/1")]
#[tokio::test]
async fn work_ends_when_the_caller_leaves(#[case] path: &'static str) {
    let target = Target::start(|_, _| vec![Step::Hang]).await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    let call = system.call(path, |_| ());
    let waited = tokio::time::timeout(std::time::Duration::from_millis(200), call).await;
    assert!(waited.is_err());
    crate::support::wait_for(|| target.closed_by_caller() == 1).await;
}

/// Returns the number of retries that the budget of the service still allows.
fn remaining_retries(system: &System) -> usize {
    let service = "desk".parse().unwrap();
    let spend = || {
        system
            .gateway
            .budgets
            .with_budget(&service, |b, now| b.try_spend(now))
    };
    (0..100).take_while(|_| spend()).count()
}

// With a single target no retry is sent, so none may be charged to the budget.
#[rstest]
#[case("/safe/1", "reset")]
#[case("/once/1", "reset")]
#[case("/once/1", "refused")]
#[case("/stream/1", "reset")]
#[case("/resumed/1", "reset")]
#[tokio::test]
async fn unsent_retries_cost_no_budget(#[case] path: &str, #[case] kind: &'static str) {
    let only = Target::start(move |seen, _| match kind {
        "refused" => vec![not_run(seen, "503 Service Unavailable")],
        kind => failing_steps(kind, seen),
    });
    let only = only.await.unwrap();
    let targets = [("i-1", "desk", &only)];
    let fresh = System::start(config(|_| ()), &targets).await;
    let used = System::start(config(|_| ()), &targets).await;
    let response = used.call(path, |_| ()).await;
    assert!(response.status.is_server_error());
    assert_eq!(only.requests().len(), 1);
    assert_eq!(remaining_retries(&used), remaining_retries(&fresh));
}

//! Heads that are malformed, arrive slowly, or stand beside other answers.

use std::time;

use http::StatusCode;
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use rstest::rstest;

use crate::{
    partial::{
        Framing,
        PAUSE,
        call, //
    },
    support::{
        System,
        config, //
    },
};

/// Pause between the bytes of a slow answer.
const SLOW: Step = Step::Pause(time::Duration::from_millis(8));

fn attempt(seen: &ReceivedRequest) -> &str {
    seen.header("x-laburnumcart-attempt-id").unwrap_or_default()
}

async fn start(
    script: impl Fn(&ReceivedRequest, usize) -> Vec<Step> + Send + Sync + 'static,
) -> (System, Target) {
    let target = Target::start(script).await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    (system, target)
}

/// Returns the answer with these lines at the end of its head, followed by `rest`.
fn answer(seen: &ReceivedRequest, version: &str, lines: &str, rest: &str) -> Vec<u8> {
    let attempt = attempt(seen);
    let head = format!(
        "{version} 200 OK\r\nx-laburnumcart-attempt-id: {attempt}\r\n\
         x-laburnumcart-server-stamp: s\r\n{lines}\r\n{rest}"
    );
    head.into_bytes()
}

// A length that can't be read must not be taken for one that is missing.
#[rstest]
#[case::digits("HTTP/1.1", "content-length: 12\r\n", "whole")]
#[case::empty("HTTP/1.1", "content-length: \r\n", "whole")]
#[case::word("HTTP/1.1", "content-length: five\r\n", "whole")]
#[case::signed("HTTP/1.1", "content-length: -5\r\n", "whole")]
#[case::too_large("HTTP/1.1", "content-length: 99999999999999999999\r\n", "whole")]
#[case::two("HTTP/1.1", "content-length: 5\r\ncontent-length: 6\r\n", "whole")]
#[case::old_chunks(
    "HTTP/1.0",
    "transfer-encoding: chunked\r\n",
    "5\r\nwhole\r\n0\r\n\r\n"
)]
#[case::chunks_and_length(
    "HTTP/1.1",
    "content-length: 5\r\ntransfer-encoding: chunked\r\n",
    "5\r\nwhole\r\n"
)]
#[case::chunk_size(
    "HTTP/1.1",
    "transfer-encoding: chunked\r\n",
    "five\r\nwhole\r\n0\r\n\r\n"
)]
#[case::empty_size("HTTP/1.1", "transfer-encoding: chunked\r\n", "\r\nwhole\r\n0\r\n\r\n")]
#[case::name_alone("HTTP/1.1", "content-length\r\n", "whole")]
#[case::folded_length("HTTP/1.1", "content-length:\r\n 12\r\n", "whole")]
#[case::bare_return("HTTP/1.1", "content-length: 12\rx: y\r\n", "whole")]
#[tokio::test]
async fn an_unreadable_length_fails_the_answer(
    #[case] version: &'static str,
    #[case] lines: &'static str,
    #[case] rest: &'static str,
    #[values("/once/1", "/stream/1")] path: &str,
) {
    let script = move |seen: &ReceivedRequest, _: usize| {
        let bytes = answer(seen, version, lines, rest);
        vec![Step::Send(bytes), Step::Close]
    };
    let (system, target) = start(script).await;
    let response = call(&system, path, "a").await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{response:?}");
    assert_eq!(target.requests().len(), 1);
}

// An interim response is not the answer, even with all fields of one.
#[rstest]
#[tokio::test]
async fn an_interim_response_alone_fails_the_answer(
    #[values(100, 101, 102, 103, 199)] status: u16,
    #[values("/once/1", "/stream/1")] path: &str,
) {
    let script = move |seen: &ReceivedRequest, _: usize| {
        let bytes = answer(seen, "HTTP/1.1", "content-length: 5\r\n", "");
        let text = String::from_utf8(bytes).unwrap();
        let text = text.replacen("200 OK", &format!("{status} Interim"), 1);
        vec![Step::Send(text.into_bytes()), PAUSE, Step::Close]
    };
    let (system, target) = start(script).await;
    let response = call(&system, path, "a").await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{response:?}");
    assert_eq!(target.requests().len(), 1);
}

// A target that begins its answer again must not give the caller parts of both.
#[tokio::test]
async fn an_answer_after_a_part_of_its_head_is_whole_or_failed() {
    let script = |seen: &ReceivedRequest, _: usize| {
        let attempt = attempt(seen);
        let (whole, _) = Framing::Length.answer(attempt, "whole");
        let size: usize = attempt.rsplit('-').next().unwrap().parse().unwrap();
        vec![Step::Send([&whole[..size], &whole].concat())]
    };
    let (system, target) = start(script).await;
    let (_, head) = Framing::Length.answer("a-000000", "whole");
    for size in 0..head {
        let response = call(&system, "/once/1", &format!("a-{size:06}")).await;
        match response.status {
            StatusCode::OK => assert_eq!(response.body, "whole", "{size}"),
            status => assert_eq!(status, StatusCode::BAD_GATEWAY, "{size}"),
        }
        assert_eq!(target.requests().len(), size + 1);
    }
}

// What follows a whole answer belongs to no request.
#[rstest]
#[tokio::test]
async fn a_part_of_a_head_after_an_answer_reaches_nobody(#[values(false, true)] is_late: bool) {
    let (other, head) = Framing::Length.answer("a-000000", "other");
    let parts = other.clone();
    let script = move |seen: &ReceivedRequest, _: usize| {
        let attempt = attempt(seen);
        let (whole, _) = Framing::Length.answer(attempt, attempt);
        let Some(size) = attempt.strip_prefix("first-") else {
            return vec![Step::Send(whole)];
        };
        let part = &parts[..size.parse().unwrap()];
        match is_late {
            true => vec![
                Step::Send(whole),
                Step::Pause(time::Duration::from_millis(2)),
                Step::Send(part.to_vec()),
            ],
            false => vec![Step::Send([&whole, part].concat())],
        }
    };
    let (system, target) = start(script).await;
    assert!(head < other.len());
    for size in 0..=other.len() {
        for attempt in [format!("first-{size}"), format!("next-{size}")] {
            let before = target.requests().len();
            let response = call(&system, "/once/1", &attempt).await;
            match response.status {
                StatusCode::OK => assert_eq!(response.body, attempt),
                status => assert_eq!(status, StatusCode::BAD_GATEWAY, "{attempt}"),
            }
            assert_eq!(target.requests().len(), before + 1, "{attempt}");
        }
    }
}

// Slow bytes are waited for, and a close after them is noticed like any other.
#[rstest]
#[tokio::test]
async fn an_answer_that_arrives_byte_by_byte_is_whole_or_failed(
    #[values(Framing::Length, Framing::Chunked, Framing::Interim)] framing: Framing,
) {
    let script = move |seen: &ReceivedRequest, _: usize| {
        let attempt = attempt(seen);
        let (bytes, _) = framing.answer(attempt, "whole");
        let size = attempt.rsplit('-').next().unwrap().parse().unwrap();
        let part = bytes.into_iter().take(size);
        let mut steps: Vec<_> = part
            .flat_map(|byte| [Step::Send(vec![byte]), SLOW])
            .collect();
        steps.push(Step::Close);
        steps
    };
    let (system, _target) = start(script).await;
    let (bytes, _) = framing.answer("a-000000", "whole");
    let calls = (0..=bytes.len()).rev().step_by(6).map(|size| {
        let system = &system;
        async move { (size, call(system, "/once/1", &format!("a-{size:06}")).await) }
    });
    for (size, response) in futures_util::future::join_all(calls).await {
        if size == bytes.len() {
            assert_eq!(
                (response.status, response.body.as_str()),
                (StatusCode::OK, "whole")
            );
        } else {
            assert_eq!(
                response.status,
                StatusCode::BAD_GATEWAY,
                "{size} {response:?}"
            );
        }
    }
}

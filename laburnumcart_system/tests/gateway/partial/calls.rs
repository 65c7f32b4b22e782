//! Calls of stages whose answers end at each of their bytes.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
};

use futures_util::{
    StreamExt,
    future,
    stream, //
};
use http::{
    HeaderValue,
    StatusCode, //
};
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use rstest::rstest;

use crate::{
    partial::{
        End,
        Framing, //
    },
    stages,
    support::{
        System,
        desk_target,
        success,
        unlimited_retries, //
    },
};

/// Number of targets, and of concurrent requests.
const ENCODERS: usize = 4;

/// Size of the answers to calls of three pieces, or more.
const SIZE_MAX: usize = 320;

/// Requests whose calls were cut.
type Cut = Arc<Mutex<collections::HashSet<String>>>;

/// Returns the name of the request whose call carries a piece first, and the results of the call.
fn call_results(seen: &ReceivedRequest) -> (String, String) {
    let Step::Send(answer) = stages::stage_results(seen) else {
        unreachable!("the answer is a `Send` step");
    };
    let answer = String::from_utf8(answer).unwrap();
    let (_, results) = answer.split_once("\r\n\r\n").unwrap();
    let attempt = stages::call_items(seen)[0]["id"]
        .as_str()
        .unwrap()
        .to_owned();
    (attempt, results.to_owned())
}

/// Starts a target that cuts the first answer for each request; `cut` holds those of all targets.
async fn start_encoder(framing: Framing, end: End, cut: Cut) -> Target {
    let script = move |seen: &ReceivedRequest, _: usize| {
        if seen.path() != "/api/stage-run" {
            return vec![success(seen, "")];
        }
        let (attempt, results) = call_results(seen);
        let label = seen.header("x-laburnumcart-attempt-id").unwrap();
        let (mut bytes, _) = framing.answer(label, &results);
        let size: usize = attempt.rsplit('-').next().unwrap().parse().unwrap();
        if size >= bytes.len() || !cut.lock().unwrap().insert(attempt) {
            return vec![stages::stage_results(seen)];
        }
        bytes.truncate(size);
        let mut steps = vec![Step::Send(bytes)];
        steps.extend(end.steps());
        steps
    };
    Target::start(script).await.unwrap()
}

async fn call(system: &System, attempt: &str) -> StatusCode {
    let id = HeaderValue::try_from(attempt).unwrap();
    let response = system.call("/safe/1", |headers| {
        headers.insert("x-laburnumcart-attempt-id", id);
        headers.insert("x-laburnumcart-chunks", "3,1".parse().unwrap());
        headers.insert("x-laburnumcart-chunk-key", "k-1".parse().unwrap());
    });
    response.await.status
}

// The results of a call that ends early would be missing, or taken for those of other pieces.
#[rstest]
#[tokio::test]
async fn a_truncated_call_of_stages_is_sent_again(
    #[values(Framing::Length, Framing::Chunked, Framing::Unframed)] framing: Framing,
    #[values(End::Close, End::Reset)] end: End,
) {
    let desk = desk_target().await;
    let cut = Cut::default();
    let encoders = (0..ENCODERS).map(|_| start_encoder(framing, end, cut.clone()));
    let encoders = future::join_all(encoders).await;
    let names: Vec<_> = (0..ENCODERS).map(|number| format!("e-{number}")).collect();
    let named = names.iter().zip(&encoders);
    let mut targets: Vec<_> = named
        .map(|(name, target)| (name.as_str(), "encode", target))
        .collect();
    targets.push(("i-1", "desk", &desk));
    let config = stages::two_stage_config();
    let system = System::start_with_bounds(unlimited_retries(), config, &targets).await;
    let stride = if end == End::Close { 1 } else { 3 };
    let calls = (0..SIZE_MAX).step_by(stride).map(|size| {
        let system = &system;
        async move { (size, call(system, &format!("a-{size:06}")).await) }
    });
    let calls: Vec<_> = stream::iter(calls).buffered(ENCODERS).collect().await;
    let failed: Vec<_> = calls
        .iter()
        .filter(|(_, status)| *status != StatusCode::OK)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    for request in desk.requests() {
        let attempt = request.header("x-laburnumcart-attempt-id").unwrap();
        let inputs = format!("127.0.0.1:9/{attempt}-1-0");
        assert_eq!(
            request.header("x-laburnumcart-inputs"),
            Some(inputs.as_str())
        );
    }
    assert!(cut.lock().unwrap().len() > SIZE_MAX / stride / 2);
}

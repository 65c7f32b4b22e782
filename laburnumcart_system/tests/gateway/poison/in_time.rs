//! Content that crashes targets is refused in time, whatever the list of targets says.

use std::time;

use http::StatusCode;
use laburnumcart::{
    id,
    poison,
    unit, //
};
use laburnumcart_fakes::scripted::{
    Crash,
    ReceivedRequest,
    Step,
    Target, //
};
use laburnumcart_gateway::relay::signals;
use laburnumcart_platform::{
    memory,
    store::Store, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use tokio::time::Instant;

use super::trial::{
    Callers,
    Trial, //
};
use crate::{
    stages::{
        stage_response,
        two_stage_config, //
    },
    support::{
        System,
        chunk,
        config,
        desk_target,
        events,
        stream_head,
        target_entry,
        wait_for,
        wait_for_object, //
    },
};

/// Patience of callers that wait until the gateway answers.
const PATIENT: time::Duration = time::Duration::from_secs(10);

/// Patience of callers that give up before the deadline.
const IMPATIENT: time::Duration = time::Duration::from_millis(400);

/// Time for which content runs before its target crashes.
const RUN_TIME: time::Duration = time::Duration::from_millis(30);

fn crash(crash: Crash) -> Vec<Step> {
    vec![Step::Pause(RUN_TIME), Step::Crash(crash)]
}

/// Returns the steps of a target that crashes within its response.
fn crash_after(first: Step) -> Vec<Step> {
    vec![first, Step::Pause(RUN_TIME), Step::Crash(Crash::Refuses)]
}

fn refuses(_: &ReceivedRequest) -> Vec<Step> {
    crash(Crash::Refuses)
}

fn resets(_: &ReceivedRequest) -> Vec<Step> {
    crash(Crash::Resets)
}

fn is_silent(_: &ReceivedRequest) -> Vec<Step> {
    crash(Crash::Silent)
}

fn cuts_its_body(seen: &ReceivedRequest) -> Vec<Step> {
    let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-laburnumcart-attempt-id: {attempt}\r\n\
         x-laburnumcart-server-stamp: s\r\ncontent-length: 1000\r\n\r\npart"
    );
    crash_after(Step::Send(text.into_bytes()))
}

fn garbles(_: &ReceivedRequest) -> Vec<Step> {
    crash_after(Step::Send(b"\0\0\0\r\n\r\n".to_vec()))
}

fn cuts_its_stream(seen: &ReceivedRequest) -> Vec<Step> {
    let mut steps = vec![stream_head(seen), chunk(&events(1..=2))];
    steps.extend(crash(Crash::Refuses));
    steps
}

fn stops_its_stream(seen: &ReceivedRequest) -> Vec<Step> {
    let mut steps = vec![stream_head(seen), chunk(&events(1..=2))];
    steps.extend(crash(Crash::Silent));
    steps
}

type End = fn(&ReceivedRequest) -> Vec<Step>;

// The entries of crashed targets stay listed, as in an outage of the store.
#[rstest]
#[case::refused_connections("/once/poison", refuses, 1, PATIENT)]
#[case::refused_connections_and_copies("/once/poison", refuses, 4, PATIENT)]
#[case::refused_connections_and_retries("/safe/poison", refuses, 1, PATIENT)]
#[case::reset_connections("/once/poison", resets, 2, PATIENT)]
#[case::silence("/once/poison", is_silent, 4, PATIENT)]
#[case::silence_and_retries("/safe/poison", is_silent, 2, PATIENT)]
#[case::silence_and_callers_that_give_up("/once/poison", is_silent, 4, IMPATIENT)]
#[case::a_body_cut_short("/once/poison", cuts_its_body, 2, PATIENT)]
#[case::a_garbled_response("/safe/poison", garbles, 2, PATIENT)]
#[case::a_stream_cut_short("/stream/poison", cuts_its_stream, 2, PATIENT)]
#[case::a_resumed_stream_cut_short("/resumed/poison", cuts_its_stream, 2, PATIENT)]
#[case::a_stream_that_stops("/stream/poison", stops_its_stream, 2, PATIENT)]
#[case::a_stream_that_stops_and_callers_that_give_up(
    "/stream/poison",
    stops_its_stream,
    4,
    IMPATIENT
)]
#[tokio::test]
async fn crashing_content_is_refused_while_the_list_keeps_its_targets(
    #[case] path: &str,
    #[case] end: End,
    #[case] count: usize,
    #[case] patience: time::Duration,
) {
    let trial = Trial::start(config(|_| ()), "desk", 6, 40, end).await;
    let callers = Callers {
        count,
        path,
        patience,
    };
    trial.resend(&callers).await;
    trial.check_late();
}

// Each target has just lost a request whose caller left when the content reaches it.
#[tokio::test]
async fn content_that_arrives_after_a_caller_left_counts_as_the_cause_of_a_crash() {
    let script = |seen: &ReceivedRequest, _: usize| match seen.path() {
        "/once/poison" => crash(Crash::Refuses),
        _ => vec![Step::Pause(PATIENT)],
    };
    let system = System::start(config(|_| ()), &[]).await;
    let signals = &system.gateway.outbound.quotas.signals;
    for n in 1..=3 {
        let target = Target::start(script).await.unwrap();
        let entry = target_entry("desk", &target, "ready");
        system.put(&format!("servers/i-{n}"), &entry).await;
        wait_for(|| system.gateway.view.targets.load().all().count() == n).await;
        let left = format!("/once/left-{n}");
        tokio::select! {
            _ = system.call(&left, |_| ()) => panic!("the target does not answer"),
            () = wait_for(|| target.requests().iter().any(|seen| seen.path() == left)) => {}
        }
        system.call("/once/poison", |_| ()).await;
        let targets = system.gateway.view.targets.load();
        let listed = targets.all().find(|listed| listed.addr == target.addr());
        let life = listed.unwrap().key();
        wait_for(|| signals.is_crashed(&life)).await;
    }
    let content = id::Fingerprint::digest(["", "/once/poison"], b"question");
    let status = signals.content_status(|| content);
    assert!(
        matches!(status, poison::Status::Quarantined(_)),
        "{status:?}"
    );
}

// Pieces of a request crash the targets of its stage; its own target is never reached.
#[rstest]
#[case::refused_connections(refuses)]
#[case::silence(is_silent)]
#[tokio::test]
async fn content_that_crashes_the_targets_of_a_stage_is_refused_in_time(#[case] end: End) {
    let config = config(|c| {
        let stage = json!({ "service": "encode", "after": [], "byte_count": 1000 });
        c["routes"][0]["stages"] = json!([stage]);
    });
    let trial = Trial::start(config, "encode", 3, 40, end).await;
    let callers = Callers {
        count: 2,
        path: "/safe/poison",
        patience: PATIENT,
    };
    trial.resend(&callers).await;
    trial.check_late();
    let count = trial.arrivals.count();
    assert!(count < 20, "{count} targets crashed");
}

// The stages of a request take long enough for the third crash to become known meanwhile.
#[tokio::test]
async fn content_refused_during_its_stages_is_not_sent_to_its_target() {
    let desk = desk_target().await;
    let encoder = Target::start(|seen, _| {
        let mut steps = vec![Step::Pause(time::Duration::from_millis(150))];
        steps.extend(stage_response(seen));
        steps
    });
    let encoder = encoder.await.unwrap();
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(two_stage_config(), &targets).await;
    let call = system.call("/safe/1", |headers| {
        headers.insert("x-laburnumcart-chunks", "1,1".parse().unwrap());
        headers.insert("x-laburnumcart-chunk-key", "k-1".parse().unwrap());
    });
    let crash = async {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        let content = id::Fingerprint::digest(["", "/safe/1"], b"question");
        let crashes = (1..=3).map(|n| signals::TargetSignal {
            target: format!("crashed-{n}").parse().unwrap(),
            life: id::Life(1),
            signal: signals::Signal::Failed(content, unit::Period::from_millis(10)),
            age: unit::Period::from_millis(100 * (4 - n)),
            given_up: false,
            parts: Vec::new(),
        });
        let crashes: Vec<_> = crashes.collect();
        system.gateway.outbound.quotas.signals.merge(&crashes);
    };
    let (response, ()) = tokio::join!(call, crash);
    assert_eq!(desk.requests().len(), 0);
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.body.contains("quarantined"), "{}", response.body);
}

// A store that answers slowly makes the crashes in a note seem younger than they are.
#[tokio::test]
async fn a_note_written_slowly_keeps_the_times_of_crashes() {
    let slow = time::Duration::from_millis(400);
    let system = System::start(config(|_| ()), &[]).await;
    system.store.set_faults(memory::Faults {
        slow: unit::Period(slow),
        ..memory::Faults::default()
    });
    let signals = &system.gateway.outbound.quotas.signals;
    let content = id::Fingerprint(7);
    let crashed = time::SystemTime::now();
    for life in 1..=3 {
        let target = id::TargetLife {
            name: "i-1".parse().unwrap(),
            life: id::Life(life),
        };
        let sent = Instant::now();
        let failure = poison::Failure {
            content,
            parts: [].into(),
            sent,
            failed: sent + time::Duration::from_millis(1),
            given_up: false,
        };
        tokio::time::sleep(time::Duration::from_millis(2)).await;
        signals.record_crash(&target, &[failure], poison::Sign::Closed);
    }
    let key = format!("contents/{content}");
    wait_for_object(&system.store, &key).await;
    let note = system.store.get(&key).await.unwrap().unwrap().value;
    let note: Value = serde_json::from_str(&note).unwrap();
    let first: signals::TargetSignal = serde_json::from_value(note["crashes"][0].clone()).unwrap();
    let written = time::Duration::from_millis(note["written_ms"].as_u64().unwrap());
    let noted = time::UNIX_EPOCH + written - first.age.0;
    let late = noted.duration_since(crashed).unwrap_or_default();
    assert!(late < slow, "{late:?} later");
}

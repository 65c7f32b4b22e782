//! Targets that leave, and gateways that shut down.

use std::time;

use futures_util::future;
use http::StatusCode;
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use laburnumcart_platform::store::Store;
use rstest::rstest;
use tokio::time::Instant;

use crate::{
    stages,
    support::{
        Response,
        System,
        chunk,
        config,
        desk_target,
        events,
        stream_end,
        stream_head,
        success,
        target_entry,
        wait_for, //
    },
};

// A leaving target gets no new work, even if a stale entry says that it is ready.
#[tokio::test]
async fn stale_entry_does_not_revive_a_leaving_target() {
    let (leaving, staying) = (desk_target().await, desk_target().await);
    let targets = [("i-1", "desk", &leaving), ("i-2", "desk", &staying)];
    let system = System::start(config(|_| ()), &targets).await;
    let service = "desk".parse().unwrap();
    let view = system.gateway.view.clone();
    system
        .put("servers/i-1", &target_entry("desk", &leaving, "draining"))
        .await;
    wait_for(|| view.targets.load().service(&service).len() == 1).await;
    system
        .put("servers/i-1", &target_entry("desk", &leaving, "ready"))
        .await;
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    for _ in 0..8 {
        assert_eq!(system.call("/safe/1", |_| ()).await.status, StatusCode::OK);
    }
    assert!(leaving.requests().is_empty());
}

// Some targets leave by deleting their entry without an announcement.
#[tokio::test]
async fn a_deleted_target_gets_no_work() {
    let (gone, staying) = (desk_target().await, desk_target().await);
    let targets = [("i-1", "desk", &gone), ("i-2", "desk", &staying)];
    let system = System::start(config(|_| ()), &targets).await;
    let object = system.store.get("servers/i-1").await.unwrap().unwrap();
    system
        .store
        .delete("servers/i-1", object.version)
        .await
        .unwrap();
    let service = "desk".parse().unwrap();
    let view = system.gateway.view.clone();
    wait_for(|| view.targets.load().service(&service).len() == 1).await;
    for _ in 0..8 {
        assert_eq!(system.call("/safe/1", |_| ()).await.status, StatusCode::OK);
    }
    assert!(gone.requests().is_empty());
}

// The caller learns that its request was not executed and when to resend it.
#[tokio::test]
async fn without_targets_requests_are_refused() {
    let system = System::start(config(|_| ()), &[]).await;
    let response = system.call("/once/1", |_| ()).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
}

// A request that waits for its stages gets a response, not a closed connection.
#[tokio::test]
async fn what_waits_is_refused_before_the_exit() {
    let desk = desk_target().await;
    let mute = Target::start(|_, _| vec![Step::Hang]).await;
    let mute = mute.unwrap();
    let staged = config(|c| {
        c["routes"][0]["stages"] =
            serde_json::json!([{ "service": "encode", "after": [], "byte_count": 1000 }]);
    });
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &mute)];
    let system = System::start(staged, &targets).await;
    let call = system.call("/safe/1", |h| {
        h.insert("x-laburnumcart-chunks", "2".parse().unwrap());
        h.insert("x-laburnumcart-chunk-key", "k".parse().unwrap());
    });
    let exit = async {
        wait_for(|| !mute.requests().is_empty()).await;
        system.gateway.view.announce_exit();
    };
    let (response, ()) = tokio::join!(call, exit);
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(desk.requests().is_empty());
}

// On shutdown, connections close after their next response, which says so; none is cut.
#[tokio::test]
async fn open_connections_are_closed_after_a_response() {
    let desk = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    system.closing.send(true).unwrap();
    let response = system.call("/safe/1", |_| ()).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["connection"], "close");
}

// If leaving gateways executed no stages, a rolling restart of all would serve no request.
#[tokio::test]
async fn stages_run_while_all_gateways_are_leaving() {
    let desk = desk_target().await;
    let encoder = Target::start(|seen, _| {
        let items = seen
            .body
            .windows(9)
            .filter(|w| *w == b"\"segment\"")
            .count();
        let results = vec!["{\"handle\":\"127.0.0.1:9/r\"}"; items].join(",");
        vec![success(seen, &format!("{{\"items\":[{results}]}}"))]
    });
    let encoder = encoder.await.unwrap();
    let staged = config(|c| {
        c["routes"][0]["stages"] =
            serde_json::json!([{ "service": "encode", "after": [], "byte_count": 1000 }]);
    });
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(staged, &targets).await;
    let exit = tokio::time::Instant::now() + std::time::Duration::from_secs(60);
    system.gateway.view.start_leaving(exit);
    let response = system.call("/safe/1", |h| {
        h.insert("x-laburnumcart-chunks", "2".parse().unwrap());
        h.insert("x-laburnumcart-chunk-key", "k".parse().unwrap());
    });
    assert_eq!(response.await.status, StatusCode::OK);
}

// The balancer still sends callers to a leaving gateway, whose exit would cut their long streams.
#[tokio::test(start_paused = true)]
async fn a_leaving_process_takes_only_what_it_can_finish() {
    let (short, long) = (
        std::time::Duration::from_secs(1),
        std::time::Duration::from_secs(20),
    );
    let view = laburnumcart_gateway::view::View::default();
    let start = tokio::time::Instant::now();
    assert!(view.can_finish(long, None, start));
    assert!(view.can_finish(long, Some(long), start));
    view.start_leaving(start + std::time::Duration::from_secs(7));
    assert!(view.can_finish(long, None, start + 2 * short));
    assert!(view.can_finish(long, Some(5 * short), start + 2 * short));
    assert!(!view.can_finish(long, Some(6 * short), start + 2 * short));
    assert!(!view.can_finish(long, None, start + 3 * short));
    assert!(!view.can_finish(long, Some(short), start + 3 * short));
    assert!(view.can_finish(short, None, start + 3 * short));
    assert!(view.can_finish(short, Some(long), start + 3 * short));
    assert!(!view.can_finish(short, None, start + 7 * short));
}

// The exit would cut a stream that is accepted after the signal and lasts as long as those before it.
#[tokio::test]
async fn a_leaving_process_refuses_what_usually_lasts_beyond_its_exit() {
    let length = std::time::Duration::from_millis(600);
    let target = Target::start(move |seen, _| {
        let (pause, begin) = (Step::Pause(length), chunk(&events(1..=1)));
        match seen.path().starts_with("/stream") {
            true => vec![stream_head(seen), begin, pause, stream_end()],
            false => vec![success(seen, "")],
        }
    });
    let target = target.await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    let before = future::join_all((0..10).map(|_| system.call("/stream/1", |_| ())));
    for response in before.await {
        assert!(response.status == StatusCode::OK && response.complete);
    }
    let sent = target.requests().len();
    let exit = tokio::time::Instant::now() + length / 2;
    system.gateway.view.start_leaving(exit);
    let refused = system.call("/stream/1", |_| ()).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(refused.headers["connection"], "close");
    assert_eq!(target.requests().len(), sent);
    assert_eq!(system.call("/safe/1", |_| ()).await.status, StatusCode::OK);
}

/// Time that a target takes for a request, and the deadline of the request.
const LATE_WORK: time::Duration = time::Duration::from_millis(700);
const LATE_DEADLINE: &str = "1000";

// Requests that come late in the grace period are taken, and cut at its end.
#[rstest]
#[case::plain("/safe/1", None)]
#[case::once("/once/1", None)]
#[case::stream("/stream/1", None)]
#[case::resumed("/resumed/1", None)]
#[case::staged("/safe/1", Some("2"))]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_taken_late_in_the_grace_period_is_answered(
    #[case] path: &str,
    #[case] pieces: Option<&str>,
) {
    let script = |seen: &ReceivedRequest, _: usize| {
        let pause = Step::Pause(LATE_WORK);
        match seen.path() {
            "/api/stage-run" => stages::stage_response(seen),
            path if path.starts_with("/safe") || path.starts_with("/once") => {
                vec![pause, success(seen, "done")]
            }
            _ => vec![
                stream_head(seen),
                chunk(&events(1..=1)),
                pause,
                stream_end(),
            ],
        }
    };
    let desk = Target::start(script).await.unwrap();
    let encoder = Target::start(script).await.unwrap();
    let staged = config(|c| {
        c["routes"][0]["stages"] =
            serde_json::json!([{ "service": "encode", "after": [], "byte_count": 1000 }]);
    });
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(staged, &targets).await;
    let call = || {
        system.try_call(path, |headers| {
            headers.insert("x-laburnumcart-deadline-ms", LATE_DEADLINE.parse().unwrap());
            if let Some(pieces) = pieces {
                headers.insert("x-laburnumcart-chunks", pieces.parse().unwrap());
                headers.insert("x-laburnumcart-chunk-key", "k".parse().unwrap());
            }
        })
    };
    future::join_all((0..10).map(|_| call())).await;
    let before = desk.requests().len();
    let exit = Instant::now() + LATE_WORK * 6;
    system.gateway.view.start_leaving(exit);
    let late = (0..58).map(|number| async move {
        tokio::time::sleep(LATE_WORK / 10 * number).await;
        call().await
    });
    let end = async {
        tokio::time::sleep_until(exit).await;
        system.gateway.view.announce_exit();
    };
    let (ended, ()) = tokio::join!(future::join_all(late), end);
    let is_whole = |r: &&hyper::Result<Response>| matches!(r, Ok(r) if r.status == StatusCode::OK && r.complete);
    let is_refused = |r: &&hyper::Result<Response>| matches!(r, Ok(r) if r.status == StatusCode::SERVICE_UNAVAILABLE);
    let whole = ended.iter().filter(is_whole).count();
    let refused = ended.iter().filter(is_refused).count();
    println!("{whole} answered, {refused} refused of {}", ended.len());
    assert_eq!(whole, desk.requests().len() - before, "requests were cut");
    assert_eq!(whole + refused, ended.len());
    assert!(whole > 30, "{whole} answered");
}

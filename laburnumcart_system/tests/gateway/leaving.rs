//! Targets that leave, and gateways that shut down.

use http::StatusCode;
use laburnumcart_fakes::scripted::Target;
use laburnumcart_platform::store::Store;

use crate::support::{
    System,
    config,
    desk_target,
    success,
    target_entry,
    wait_for, //
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
    let mute = Target::start(|_, _| vec![laburnumcart_fakes::scripted::Step::Hang]).await;
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
    assert!(view.can_finish(long, start));
    view.start_leaving(start + std::time::Duration::from_secs(7));
    assert!(view.can_finish(long, start + 2 * short));
    assert!(!view.can_finish(long, start + 3 * short));
    assert!(view.can_finish(short, start + 3 * short));
    assert!(!view.can_finish(short, start + 7 * short));
}

//! Targets that restart under the same name, and store entries of other writers.

use std::{
    sync::{
        Arc,
        atomic, //
    },
    time, //
};

use http::StatusCode;
use laburnumcart::id;
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use laburnumcart_gateway::dialect::StoreLayout;
use laburnumcart_platform::store::Store;
use platform::store_layout;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

use crate::{
    stages,
    support::{
        System,
        config,
        desk_target,
        not_run,
        success,
        target_entry,
        wait_for, //
    },
};

/// Returns the store entry of a target with a start time.
fn entry_with_start(service: &str, target: &Target, state: &str, born: u64) -> String {
    let mut value: Value = serde_json::from_str(&target_entry(service, target, state)).unwrap();
    value["born"] = json!(born);
    value.to_string()
}

/// Waits until a service has `wanted` targets.
async fn wait_for_count(system: &System, service: &str, wanted: usize) {
    let service = service.parse().unwrap();
    let targets = &system.gateway.view.targets;
    wait_for(|| targets.load().service(&service).len() == wanted).await;
}

/// Waits until a target of a service has a start time.
async fn wait_for_start(system: &System, service: &str, born: u64) {
    let service = service.parse().unwrap();
    let targets = &system.gateway.view.targets;
    let is_there = || {
        let listed = targets.load();
        listed
            .service(&service)
            .iter()
            .any(|t| t.life == id::Life(born))
    };
    wait_for(is_there).await;
}

// The restarted target was mistaken for the one that leaves, and never got requests again.
#[tokio::test]
async fn restarted_target_gets_work_after_draining() {
    let desk = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let put = |state, born| entry_with_start("desk", &desk, state, born);
    system.put("servers/i-1", &put("draining", 1)).await;
    wait_for_count(&system, "desk", 0).await;
    system.put("servers/i-1", &put("ready", 2)).await;
    wait_for_count(&system, "desk", 1).await;
    assert_eq!(system.call("/safe/1", |_| ()).await.status, StatusCode::OK);
}

// A delayed write from before a restart must not replace the current entry and its state.
#[tokio::test]
async fn entry_of_an_earlier_start_is_ignored() {
    let desk = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    system
        .put("servers/i-1", &entry_with_start("desk", &desk, "ready", 5))
        .await;
    wait_for_start(&system, "desk", 5).await;
    system
        .put(
            "servers/i-1",
            &entry_with_start("desk", &desk, "draining", 4),
        )
        .await;
    system
        .put("servers/i-9", &entry_with_start("desk", &desk, "ready", 9))
        .await;
    wait_for_count(&system, "desk", 2).await;
    wait_for_start(&system, "desk", 5).await;
}

// A clock that was ahead at the earlier start made all entries of the next run look late.
#[rstest]
#[case::leaves("draining", 0)]
#[case::writes_again("ready", 1)]
#[tokio::test]
async fn a_run_with_an_earlier_start_time_that_writes_again_is_used(
    #[case] state: &str,
    #[case] count: usize,
) {
    let desk = desk_target().await;
    let next = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let put = |target, state, born| entry_with_start("desk", target, state, born);
    system.put("servers/i-1", &put(&desk, "ready", 5)).await;
    wait_for_start(&system, "desk", 5).await;
    system.put("servers/i-1", &put(&next, "ready", 4)).await;
    let unseen = put(&next, state, 4).replace("\"sequence\":1", "\"sequence\":2");
    // The first entry has been read once this one is listed.
    system.put("servers/i-9", &put(&desk, "ready", 9)).await;
    wait_for_count(&system, "desk", 2).await;
    system.put("servers/i-1", &unseen).await;
    wait_for_count(&system, "desk", 1 + count).await;
    if count > 0 {
        wait_for_start(&system, "desk", 4).await;
    }
}

// Without changes, an engine's heartbeats leave its entry as it is.
#[tokio::test]
async fn a_run_with_an_earlier_start_time_is_used_once_the_later_one_writes_no_more() {
    let desk = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let put = |state, born| entry_with_start("desk", &desk, state, born);
    system.put("servers/i-1", &put("ready", 5)).await;
    wait_for_start(&system, "desk", 5).await;
    system.put("servers/i-1", &put("ready", 4)).await;
    wait_for_start(&system, "desk", 4).await;
}

// Two late writes of an earlier run must not bring back one that leaves.
#[tokio::test]
async fn a_leaving_run_is_not_replaced_by_one_with_an_earlier_start_time() {
    let desk = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let put = |state, born| entry_with_start("desk", &desk, state, born);
    system.put("servers/i-1", &put("draining", 5)).await;
    wait_for_count(&system, "desk", 0).await;
    for sequence in 2..5 {
        let late = put("ready", 4).replace("\"sequence\":1", &format!("\"sequence\":{sequence}"));
        system.put("servers/i-1", &late).await;
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }
    wait_for_count(&system, "desk", 0).await;
}

// After the holder of the results restarts, their handles are unknown or name other results.
#[tokio::test]
async fn results_from_before_a_restart_are_recomputed() {
    let system = System::start_empty().await;
    let calls = Arc::new(atomic::AtomicUsize::new(0));
    let addr = Arc::new(std::sync::OnceLock::<String>::new());
    let (own_addr, call_count) = (addr.clone(), calls.clone());
    let encoder = Target::start(move |seen: &ReceivedRequest, _| {
        if seen.path() != "/api/stage-run" {
            return vec![success(seen, "")];
        }
        let call = call_count.fetch_add(1, atomic::Ordering::SeqCst);
        let handle = format!("{}/call-{call}", own_addr.get().unwrap());
        let results = vec![json!({ "handle": handle }); stages::call_items(seen).len()];
        vec![success(seen, &json!({ "items": results }).to_string())]
    });
    let encoder = encoder.await.unwrap();
    addr.set(encoder.addr().to_string()).unwrap();
    let (store, restarted_entry) = (
        system.store.clone(),
        entry_with_start("encode", &encoder, "ready", 2),
    );
    let view = system.gateway.view.clone();
    // The first attempt is refused after the restart is known.
    let restarted = Arc::new(tokio::sync::Notify::new());
    let attempted = restarted.clone();
    let desk = Target::start(move |seen: &ReceivedRequest, n| match n {
        0 => {
            attempted.notify_one();
            let pause = Step::Pause(time::Duration::from_millis(600));
            vec![pause, not_run(seen, "503 Service Unavailable")]
        }
        _ => vec![success(seen, "done")],
    });
    let desk = desk.await.unwrap();
    let staged = config(|c| {
        c["routes"][0]["stages"] =
            json!([{ "service": "encode", "after": [], "byte_count": 1000 }]);
    });
    system.put("config/main", &staged.to_string()).await;
    system
        .put("servers/i-1", &target_entry("desk", &desk, "ready"))
        .await;
    system
        .put("servers/i-3", &target_entry("desk", &desk, "ready"))
        .await;
    system
        .put(
            "servers/i-2",
            &entry_with_start("encode", &encoder, "ready", 1),
        )
        .await;
    wait_for_count(&system, "desk", 2).await;
    wait_for_count(&system, "encode", 1).await;
    let restart = async {
        restarted.notified().await;
        let object = store.get("servers/i-2").await.unwrap().unwrap();
        let expect = laburnumcart_platform::store::Expect::Version(object.version);
        store
            .put("servers/i-2", expect, &restarted_entry)
            .await
            .unwrap();
        let service = "encode".parse().unwrap();
        let is_later = || {
            let targets = view.targets.load();
            targets
                .service(&service)
                .iter()
                .any(|t| t.life == id::Life(2))
        };
        wait_for(is_later).await;
    };
    let call = system.call("/safe/1", |h| {
        h.insert("x-laburnumcart-chunks", "1".parse().unwrap());
        h.insert("x-laburnumcart-chunk-key", "k".parse().unwrap());
    });
    let (response, ()) = tokio::join!(call, restart);
    assert_eq!(response.status, StatusCode::OK);
    let inputs: Vec<_> = desk.requests();
    let inputs: Vec<_> = inputs
        .iter()
        .map(|s| s.header("x-laburnumcart-inputs"))
        .collect();
    let (first, second) = (
        format!("{}/call-0", encoder.addr()),
        format!("{}/call-1", encoder.addr()),
    );
    assert_eq!(inputs, [Some(first.as_str()), Some(second.as_str())]);
}

// The response is lost and the target restarts: the request must not run in the new process.
#[tokio::test]
async fn a_request_runs_once_over_a_restart() {
    let desk =
        Target::start(|_, _| vec![Step::Pause(time::Duration::from_millis(300)), Step::Reset]);
    let desk = desk.await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let restart = async {
        wait_for(|| !desk.requests().is_empty()).await;
        system
            .put("servers/i-1", &entry_with_start("desk", &desk, "ready", 2))
            .await;
        wait_for_start(&system, "desk", 2).await;
    };
    let (response, ()) = tokio::join!(system.call("/once/1", |_| ()), restart);
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(desk.requests().len(), 1);
}

// A malformed entry removes only its own target, and only until a valid one is written.
#[rstest]
#[case::empty("{}")]
#[case::nothing("null")]
#[case::text("\"ready\"")]
#[case::list("[1,2]")]
#[case::number("7")]
#[case::no_address(r#"{"service":"desk","zone":"north","state":"ready","born":1}"#)]
#[case::no_state(r#"{"service":"desk","zone":"north","address":"127.0.0.1:1","born":1}"#)]
#[case::other_state(
    r#"{"service":"desk","zone":"north","address":"127.0.0.1:1","state":"resting","born":1}"#
)]
#[case::number_as_service(
    r#"{"service":4,"zone":"north","address":"127.0.0.1:1","state":"ready","born":1}"#
)]
#[case::no_such_service(
    r#"{"service":"\u0000","zone":"north","address":"127.0.0.1:1","state":"ready","born":1}"#
)]
#[case::name_as_address(
    r#"{"service":"desk","zone":"north","address":"desk:1","state":"ready","born":1}"#
)]
#[case::born_text(
    r#"{"service":"desk","zone":"north","address":"127.0.0.1:1","state":"ready","born":"1"}"#
)]
#[case::born_fraction(
    r#"{"service":"desk","zone":"north","address":"127.0.0.1:1","state":"ready","born":1.5}"#
)]
#[case::born_null(
    r#"{"service":"desk","zone":"north","address":"127.0.0.1:1","state":"ready","born":null}"#
)]
#[tokio::test]
async fn malformed_target_entry_is_ignored(#[case] value: &str) {
    let (malformed, other) = (desk_target().await, desk_target().await);
    let targets = [("i-1", "desk", &malformed), ("i-2", "desk", &other)];
    let system = System::start(config(|_| ()), &targets).await;
    system.put("servers/i-1", value).await;
    wait_for_count(&system, "desk", 1).await;
    system.put("servers/I3", value).await;
    for _ in 0..4 {
        assert_eq!(system.call("/safe/1", |_| ()).await.status, StatusCode::OK);
    }
    assert!(malformed.requests().is_empty());
    system
        .put("servers/i-1", &target_entry("desk", &malformed, "ready"))
        .await;
    wait_for_count(&system, "desk", 2).await;
}

// After a malformed entry, a delayed `ready` entry must not return work to a leaving target.
#[tokio::test]
async fn malformed_entry_does_not_revive_a_leaving_target() {
    let (leaving, other) = (desk_target().await, desk_target().await);
    let targets = [("i-1", "desk", &leaving), ("i-2", "desk", &other)];
    let system = System::start(config(|_| ()), &targets).await;
    system
        .put("servers/i-1", &target_entry("desk", &leaving, "draining"))
        .await;
    wait_for_count(&system, "desk", 1).await;
    system.put("servers/i-1", "{}").await;
    system
        .put("servers/i-3", &target_entry("desk", &other, "ready"))
        .await;
    wait_for_count(&system, "desk", 2).await;
    system
        .put("servers/i-1", &target_entry("desk", &leaving, "ready"))
        .await;
    system
        .put("servers/i-4", &target_entry("desk", &other, "ready"))
        .await;
    wait_for_count(&system, "desk", 3).await;
    for _ in 0..4 {
        assert_eq!(system.call("/safe/1", |_| ()).await.status, StatusCode::OK);
    }
    assert!(leaving.requests().is_empty());
}

// A bogus gateway entry that owned a queue would leave its jobs waiting for a response forever.
#[rstest]
#[case::empty("{}")]
#[case::text("\"gateway-0\"")]
#[case::other_name(&member_entry("gateway-9", "127.0.0.1:9", 1.0, &"0".repeat(32)))]
#[case::no_address(&member_entry("gateway-0", "0.0.0.0:9", 1.0, &"0".repeat(32)))]
#[case::no_port(&member_entry("gateway-0", "127.0.0.1:0", 1.0, &"0".repeat(32)))]
#[case::absurd_cores(&member_entry("gateway-0", "127.0.0.1:9", 1e9, &"0".repeat(32)))]
#[case::no_cores(&member_entry("gateway-0", "127.0.0.1:9", 0.0, &"0".repeat(32)))]
#[case::no_secret(&member_entry("gateway-0", "127.0.0.1:9", 1.0, ""))]
#[tokio::test]
async fn malformed_member_owns_no_queue(#[case] value: &str) {
    let desk = desk_target().await;
    let encoder = Target::start(|seen, _| stages::stage_response(seen))
        .await
        .unwrap();
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(stages::two_stage_config(), &targets).await;
    system.put("gateways/gateway-0", value).await;
    system
        .put(
            "gateways/gateway-2",
            &member_entry("gateway-2", "127.0.0.1:9", 1.0, &"0".repeat(32)),
        )
        .await;
    let members = &system.gateway.view.members;
    wait_for(|| members.load().len() > 1).await;
    let names: Vec<_> = members
        .load()
        .iter()
        .map(|m| m.instance.to_string())
        .collect();
    assert_eq!(names, ["gateway-1", "gateway-2"]);
}

/// Returns the store entry of a gateway.
fn member_entry(name: &str, peer: &str, cores: f64, secret: &str) -> String {
    json!({
        "instance": name, "data_centre": "north", "peer": peer,
        "incarnation": "0000000000000001", "cores": cores, "secret": secret
    })
    .to_string()
}

proptest! {
    /// Arbitrary text is rejected without a panic.
    #[test]
    fn arbitrary_text_is_rejected(text in ".{0,200}") {
        prop_assert!(store_layout::StoreLayout.parse_target("i-1", &text).is_err());
        prop_assert!(store_layout::StoreLayout.parse_table(&text, &Default::default()).is_err());
    }

    /// An entry is valid only if each field has the type that the platform writes.
    #[test]
    fn wrong_field_type_is_rejected(
        field in 0usize..5,
        value in prop_oneof![
            Just(json!(null)), Just(json!([])), Just(json!({})), Just(json!(true)),
            Just(json!(-1)), Just(json!(0.5)), "[ -~]{0,8}".prop_map(|text| json!({ "a": text })),
        ],
    ) {
        let names = ["service", "address", "zone", "state", "born"];
        let mut entry = json!({
            "service": "desk", "address": "127.0.0.1:1", "zone": "north", "state": "ready", "born": 1
        });
        prop_assert!(store_layout::StoreLayout.parse_target("i-1", &entry.to_string()).is_ok());
        entry[names[field]] = value;
        prop_assert!(store_layout::StoreLayout.parse_target("i-1", &entry.to_string()).is_err());
    }
}

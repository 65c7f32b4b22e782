//! Admission of callers under the current configuration.

use std::time;

use http::StatusCode;
use rstest::rstest;
use serde_json::json;

use laburnumcart::freshness;
use laburnumcart_gateway::{
    admission,
    clock,
    dialect::{
        self,
        StoreLayout as _, //
    },
    settings,
    view, //
};
use platform::store_layout;

use crate::support::{
    System,
    config,
    desk_target,
    wait_for, //
};

// The route decides whether a caller needs an API key, and the key whether the caller is admitted.
#[rstest]
#[case("/safe/1", None, StatusCode::OK)]
#[case("/nowhere/1", None, StatusCode::NOT_FOUND)]
#[case("/keyed/1", None, StatusCode::UNAUTHORIZED)]
#[case("/keyed/1", Some("another"), StatusCode::UNAUTHORIZED)]
#[case("/keyed/1", Some("key-of-clinic"), StatusCode::OK)]
#[tokio::test]
async fn routes_and_keys_decide(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: StatusCode,
) {
    let desk = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let response = system
        .call(path, |h| {
            if let Some(key) = key {
                h.insert("x-api-key", key.parse().unwrap());
            }
        })
        .await;
    assert_eq!(response.status, expected);
}

// A gateway without a configuration must not deny that a route exists, as callers take it as final.
#[tokio::test]
async fn without_a_configuration_nothing_is_denied() {
    let system = System::start_empty().await;
    for path in ["/safe/1", "/nowhere/1", "/keyed/1"] {
        let response = system.call(path, |_| ()).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
    }
}

// An older configuration that arrives later must not restore the key.
#[tokio::test]
async fn a_revoked_key_stops_working_and_never_returns() {
    let desk = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let revoked = config(|c| {
        c["version"] = json!(9);
        c["tenants"][0]["api_keys"] = json!([]);
    });
    system.put("config/main", &revoked.to_string()).await;
    let version = || system.gateway.view.table.load().as_ref().map(|t| t.version);
    wait_for(|| version() == Some(9)).await;
    system.put("config/main", &config(|_| ()).to_string()).await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let response = system
        .call("/keyed/1", |h| {
            h.insert("x-api-key", "key-of-clinic".parse().unwrap());
        })
        .await;
    assert_eq!(response.status, StatusCode::UNAUTHORIZED);
    assert_eq!(version(), Some(9));
}

// The configuration in force stays.
#[tokio::test]
async fn a_malformed_configuration_changes_nothing() {
    let desk = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    system.put("config/main", "{\"version\":99}").await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    assert_eq!(system.call("/safe/1", |_| ()).await.status, StatusCode::OK);
}

/// Admits a request under a configuration of this age; a refusal is returned as its status.
fn admit_at_age(age: time::Duration, path: &str, key: Option<&str>) -> Result<(), u16> {
    let view = view::View::default();
    let table = store_layout::StoreLayout
        .parse_table(&config(|_| ()).to_string(), &Default::default())
        .unwrap();
    view.set_table(table);
    let confirmed = clock::now().0 - age;
    view.freshness.record_read(freshness::BootTime(confirmed));
    let mut headers = http::HeaderMap::new();
    headers.insert("host", "desk.example".parse().unwrap());
    let call = dialect::RequestHead {
        api_key: key.map(str::to_owned),
        ..dialect::RequestHead::default()
    };
    // Among these limits is the time after which a revoked key is refused, 5 s.
    let bounds = settings::Bounds::default();
    let result = admission::admit(&view, &bounds, &headers, path, &call);
    let status = |refusal| laburnumcart_gateway::reply::status(&refusal).as_u16();
    result.map(|_| ()).map_err(status)
}

// A gateway that is suspended or cut off from the store misses revocations; keys expire after 5 s.
#[test]
fn keys_are_not_honoured_beyond_the_bound() {
    let (fresh, old) = (time::Duration::from_secs(2), time::Duration::from_secs(5));
    let key = Some("key-of-clinic");
    assert_eq!(admit_at_age(fresh, "/keyed/1", key), Ok(()));
    assert_eq!(admit_at_age(old, "/keyed/1", key), Err(503));
    // Anonymous routes are still served.
    assert_eq!(admit_at_age(old, "/safe/1", None), Ok(()));
}

// A route or key may have been added meanwhile, so its absence is final only if the data is fresh.
#[test]
fn absence_is_told_only_when_it_is_known() {
    let (fresh, old) = (time::Duration::from_secs(1), time::Duration::from_secs(4));
    assert_eq!(admit_at_age(fresh, "/nowhere/1", None), Err(404));
    assert_eq!(admit_at_age(old, "/nowhere/1", None), Err(503));
    assert_eq!(admit_at_age(fresh, "/keyed/1", Some("new")), Err(401));
    assert_eq!(admit_at_age(old, "/keyed/1", Some("new")), Err(503));
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let desk = desk_target().await;
    let small = config(|c| c["limits"]["max_body_bytes"] = json!(4));
    let system = System::start(small, &[("i-1", "desk", &desk)]).await;
    let response = system.call("/safe/1", |_| ()).await;
    assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert!(desk.requests().is_empty());
}

#[tokio::test]
async fn a_request_without_an_attempt_id_is_refused() {
    let desk = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let response = system
        .call("/safe/1", |h| {
            h.remove("x-laburnumcart-attempt-id");
        })
        .await;
    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    assert!(desk.requests().is_empty());
}

// The queue owner allocates memory per piece of a stage; billions would crash it and lose requests.
#[rstest]
#[case("4294967295", StatusCode::BAD_REQUEST)]
#[case("1025", StatusCode::BAD_REQUEST)]
#[case("99999999999", StatusCode::BAD_REQUEST)]
#[case("2,x", StatusCode::BAD_REQUEST)]
#[case("2,,1", StatusCode::BAD_REQUEST)]
#[case("-1", StatusCode::BAD_REQUEST)]
#[case("1024, 3", StatusCode::OK)]
#[case("", StatusCode::OK)]
#[tokio::test]
async fn the_number_of_pieces_is_bounded(#[case] pieces: &str, #[case] expected: StatusCode) {
    let desk = desk_target().await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let response = system
        .call("/safe/1", |h| {
            // Number of pieces of each stage, which the platform calls chunks.
            h.insert("x-laburnumcart-chunks", pieces.parse().unwrap());
        })
        .await;
    assert_eq!(response.status, expected);
    assert_eq!(desk.requests().is_empty(), expected != StatusCode::OK);
}

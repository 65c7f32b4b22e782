//! Configurations with a part that cannot be read: what callers get on each way to a target.

use http::{
    HeaderMap,
    StatusCode, //
};
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Target, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

use crate::{
    retry_budget, stages,
    support::{
        Response,
        System,
        config,
        wait_for, //
    },
};

/// Requests of one sort.
const REQUESTS: usize = 40;

async fn target() -> Target {
    let script = |seen: &ReceivedRequest, _: usize| match seen.path() {
        path if path.starts_with("/stream") || path.starts_with("/resumed") => {
            retry_budget::full_stream(seen)
        }
        _ => stages::stage_response(seen),
    };
    Target::start(script).await.unwrap()
}

/// Writes a version of the configuration, and waits until it is in force.
async fn put_version(system: &System, version: u64, mut config: Value) {
    config["version"] = json!(version);
    system.put("config/main", &config.to_string()).await;
    let in_force = || {
        let table = system.gateway.view.table.load();
        table.as_ref().is_some_and(|table| table.version == version)
    };
    wait_for(in_force).await;
}

fn assert_refused(response: &Response) {
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
}

fn with_key(headers: &mut HeaderMap) {
    headers.insert("x-api-key", "key-of-clinic".parse().unwrap());
}

fn with_pieces(headers: &mut HeaderMap) {
    headers.insert("x-laburnumcart-chunks", "3,1".parse().unwrap());
    headers.insert("x-laburnumcart-chunk-key", "k-1".parse().unwrap());
}

fn after_an_event(headers: &mut HeaderMap) {
    headers.insert("last-event-id", "1".parse().unwrap());
}

// The wider route ran the requests of a narrower one that could not be read, without its key.
#[rstest]
#[case::plain("/safe/", |_: &mut HeaderMap| ())]
#[case::once("/once/", |_: &mut HeaderMap| ())]
#[case::stream("/stream/", |_: &mut HeaderMap| ())]
#[case::resumable("/resumed/", |_: &mut HeaderMap| ())]
#[case::resumed("/resumed/", after_an_event)]
#[case::keyed("/keyed/", with_key)]
#[case::staged("/safe/", with_pieces)]
#[tokio::test]
async fn requests_of_an_unreadable_route_reach_no_target(
    #[case] prefix: &str,
    #[case] edit: fn(&mut HeaderMap),
) {
    let (desk, encoder) = (target().await, target().await);
    let targets = [("d-1", "desk", &desk), ("e-1", "encode", &encoder)];
    let system = System::start(stages::two_stage_config(), &targets).await;
    let (path, narrow) = (format!("{prefix}1"), format!("{prefix}x/1"));
    let with_narrow = |kind: &str| {
        let mut config = stages::two_stage_config();
        let routes = config["routes"].as_array_mut().unwrap();
        let wide = routes.iter().find(|route| route["path_prefix"] == prefix);
        let mut narrow = wide.unwrap().clone();
        narrow["path_prefix"] = json!(format!("{prefix}x/"));
        narrow["kind"] = json!(kind);
        narrow["anonymous"] = json!(false);
        routes.push(narrow);
        config
    };
    put_version(&system, 8, with_narrow("unknown")).await;
    let calls = || desk.requests().len() + encoder.requests().len();
    let before = calls();
    assert_refused(&system.call(&narrow, edit).await);
    assert_eq!(calls(), before);
    assert_eq!(system.call(&path, edit).await.status, StatusCode::OK);
    put_version(&system, 9, with_narrow("idempotent")).await;
    let keyed = |headers: &mut HeaderMap| {
        edit(headers);
        with_key(headers);
    };
    assert_eq!(
        system.call(&narrow, |_| ()).await.status,
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(system.call(&narrow, keyed).await.status, StatusCode::OK);
}

// A service whose limit of connections could not be read got requests without that limit.
#[rstest]
#[case::plain("/safe/", false)]
#[case::once("/once/", false)]
#[case::stream("/stream/", false)]
#[case::resumable("/resumed/", false)]
#[case::split("/safe/", true)]
#[tokio::test]
async fn an_unreadable_service_gets_no_requests(#[case] prefix: &str, #[case] is_split: bool) {
    let (desk, encoder) = (target().await, target().await);
    let targets = [("d-1", "desk", &desk), ("e-1", "encode", &encoder)];
    let system = System::start(config(|_| ()), &targets).await;
    let odd = config(|c| {
        c["services"][0]["max_connections"] = json!("many");
        c["services"][1]["segments"] = Value::Null;
        if is_split {
            c["routes"][0]["traffic_split"] =
                json!([{ "service": "desk", "weight": 1 }, { "service": "encode", "weight": 1 }]);
        }
    });
    put_version(&system, 8, odd).await;
    let mut served = 0;
    for _ in 0..REQUESTS {
        let response = system.call(&format!("{prefix}1"), |_| ()).await;
        match response.status {
            StatusCode::OK => served += 1,
            _ => assert_refused(&response),
        }
    }
    assert_eq!(desk.requests().len(), 0);
    assert_eq!(served > 0, is_split);
    put_version(&system, 9, config(|_| ())).await;
    let response = system.call(&format!("{prefix}1"), |_| ()).await;
    assert_eq!(response.status, StatusCode::OK);
}

// Pieces were executed by a service whose limit of connections could not be read.
#[tokio::test]
async fn an_unreadable_service_gets_no_pieces() {
    let (desk, encoder) = (target().await, target().await);
    let targets = [("d-1", "desk", &desk), ("e-1", "encode", &encoder)];
    let system = System::start(stages::two_stage_config(), &targets).await;
    let mut odd = stages::two_stage_config();
    odd["services"][1]["max_connections"] = Value::Null;
    put_version(&system, 8, odd).await;
    assert_refused(&system.call("/safe/1", with_pieces).await);
    assert_eq!(encoder.requests().len() + desk.requests().len(), 0);
    let without_pieces = system.call("/safe/1", |_| ()).await;
    assert_eq!(without_pieces.status, StatusCode::OK);
    put_version(&system, 9, stages::two_stage_config()).await;
    assert_eq!(stages::call_staged(&system).await, StatusCode::OK);
}

// The keys of a team that could not be read got a final 401, or passed as nobody's.
#[rstest]
#[case::keyed("/keyed/1")]
#[case::anonymous("/safe/1")]
#[tokio::test]
async fn a_key_of_an_unreadable_team_is_refused_for_now(#[case] path: &str) {
    let desk = target().await;
    let system = System::start(config(|_| ()), &[("d-1", "desk", &desk)]).await;
    let odd = config(|c| {
        c["tenants"][0]["allowed_regions"] = json!([7]);
        let other = json!({ "name": "other", "api_keys": ["clé-2"] });
        c["tenants"].as_array_mut().unwrap().push(other);
    });
    put_version(&system, 8, odd).await;
    assert_refused(&system.call(path, with_key).await);
    assert_eq!(desk.requests().len(), 0);
    let other = |headers: &mut HeaderMap| {
        let key = http::HeaderValue::from_bytes("clé-2".as_bytes()).unwrap();
        headers.insert("x-api-key", key);
    };
    assert_eq!(system.call(path, other).await.status, StatusCode::OK);
    assert_eq!(
        desk.requests()[0].header("x-laburnumcart-tenant"),
        Some("other")
    );
}

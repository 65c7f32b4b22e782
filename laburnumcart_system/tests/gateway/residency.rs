//! Requests that are restricted to regions.

use http::StatusCode;
use laburnumcart_fakes::scripted::Target;
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
        target_entry_in,
        wait_for, //
    },
};

/// Data centres; the last one has no region in the settings.
const DATA_CENTRES: [&str; 4] = ["north", "south", "west", "unheard-of"];

/// Starts a gateway with one target of a service in each data centre.
async fn start_in_data_centres(config: Value, service: &str, targets: &[Target; 4]) -> System {
    let system = System::start(config, &[]).await;
    for (data_centre, target) in DATA_CENTRES.iter().zip(targets) {
        let value = target_entry_in(data_centre, service, target, "ready");
        system
            .put(&format!("servers/{service}-{data_centre}"), &value)
            .await;
    }
    let name = service.parse().unwrap();
    let view = system.gateway.view.clone();
    wait_for(|| view.targets.load().service(&name).len() == 4).await;
    system
}

async fn desk_targets() -> [Target; 4] {
    [
        desk_target().await,
        desk_target().await,
        desk_target().await,
        desk_target().await,
    ]
}

/// Returns the data centres whose targets received requests.
fn used_data_centres(targets: &[Target; 4]) -> Vec<&'static str> {
    let pairs = DATA_CENTRES.iter().zip(targets);
    let used = pairs.filter(|(_, target)| !target.requests().is_empty());
    used.map(|(data_centre, _)| *data_centre).collect()
}

// Records may be read only in regions that route and team allow, never in an unknown one.
#[rstest]
#[case(json!(["in-south"]), json!(null), &["south"])]
#[case(json!(null), json!(["in-west"]), &["west"])]
#[case(json!(["in-south", "in-west"]), json!(["in-north", "in-west"]), &["west"])]
#[tokio::test]
async fn requests_stay_in_their_regions(
    #[case] route: Value,
    #[case] team: Value,
    #[case] expected: &[&str],
) {
    let targets = desk_targets().await;
    let config = config(|c| {
        c["routes"][4]["allowed_regions"] = route;
        c["tenants"][0]["allowed_regions"] = team;
    });
    let system = start_in_data_centres(config, "desk", &targets).await;
    // No request may go elsewhere, however near or idle a target is.
    for _ in 0..12 {
        let response = system.call("/keyed/1", |h| {
            h.insert("x-api-key", "key-of-clinic".parse().unwrap());
        });
        assert_eq!(response.await.status, StatusCode::OK);
    }
    assert_eq!(used_data_centres(&targets), expected);
}

// A request without an allowed region must be refused at once, with and without stages.
#[rstest]
#[case(false)]
#[case(true)]
#[tokio::test]
async fn without_a_region_requests_are_refused(#[case] staged: bool) {
    let targets = desk_targets().await;
    let config = config(|c| {
        c["routes"][0]["allowed_regions"] = json!(["in-nowhere"]);
        if staged {
            c["routes"][0]["stages"] =
                json!([{ "service": "encode", "after": [], "byte_count": 9 }]);
        }
    });
    let system = start_in_data_centres(config, "desk", &targets).await;
    let encoder = Target::start(|seen, _| stages::stage_response(seen))
        .await
        .unwrap();
    let value = target_entry_in("north", "encode", &encoder, "ready");
    system.put("servers/encode-north", &value).await;
    let name = "encode".parse().unwrap();
    let view = system.gateway.view.clone();
    wait_for(|| view.targets.load().service(&name).len() == 1).await;
    let start = tokio::time::Instant::now();
    assert_eq!(
        stages::call_staged(&system).await,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert!(
        start.elapsed() < std::time::Duration::from_secs(2),
        "refused without waiting for the deadline"
    );
    assert!(used_data_centres(&targets).is_empty() && encoder.requests().is_empty());
}

// Pieces contain data of the request, so its stages run in its regions too.
#[tokio::test]
async fn pieces_stay_in_the_regions_of_their_request() {
    let mut targets = Vec::new();
    for _ in DATA_CENTRES {
        targets.push(
            Target::start(|seen, _| stages::stage_response(seen))
                .await
                .unwrap(),
        );
    }
    let targets: [Target; 4] = targets.try_into().ok().unwrap();
    let mut config = stages::two_stage_config();
    config["routes"][0]["allowed_regions"] = json!(["in-west"]);
    let system = start_in_data_centres(config, "encode", &targets).await;
    let desk = desk_target().await;
    let value = target_entry_in("west", "desk", &desk, "ready");
    system.put("servers/desk-west", &value).await;
    let name = "desk".parse().unwrap();
    let view = system.gateway.view.clone();
    wait_for(|| view.targets.load().service(&name).len() == 1).await;
    for _ in 0..6 {
        assert_eq!(stages::call_staged(&system).await, StatusCode::OK);
    }
    assert_eq!(used_data_centres(&targets), ["west"]);
}

//! Validation of bundles.

use proptest::prelude::*;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

use laburnumcart::bundle::check;

const ARAYA: &str = include_str!("../../examples/araya/bundle.json");
const QUETZAL: &str = include_str!("../../examples/quetzal/bundle.json");

fn faults(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut bundle: Value = serde_json::from_str(ARAYA).expect("JSON");
    change(&mut bundle);
    match check::parse(&bundle.to_string()) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.to_string().lines().map(String::from).collect(),
    }
}

#[rstest]
#[case(ARAYA)]
#[case(QUETZAL)]
fn examples_have_no_faults(#[case] text: &str) {
    let bundle = check::parse(text).expect("no faults");
    assert_eq!(bundle.teams.len(), 5);
}

#[rstest]
#[case::format("/format", json!(2), "$.format: this release reads format 1")]
#[case::no_stage(
    "/pipelines/open-case/stages",
    json!([]),
    r#"$.pipelines["open-case"].stages: must have 1 to 16 stages, has 0"#
)]
#[case::twice(
    "/pipelines/open-case/stages/1/name",
    json!("encode"),
    r#"$.pipelines["open-case"].stages[1].name: is the name of an earlier stage"#
)]
#[case::service(
    "/pipelines/open-case/stages/1/service",
    json!("retriever"),
    r#"$.pipelines["open-case"].stages[1].service: unknown service "retriever"; the nearest known one is "retrievers""#
)]
#[case::weight(
    "/teams/archive-audit/weight",
    json!(0),
    r#"$.teams["archive-audit"].weight: must be at least 1"#
)]
#[case::token(
    "/teams/archive-audit/tokens",
    json!(["abc"]),
    r#"$.teams["archive-audit"].tokens[0]: must be the SHA-256 of a token, 64 hexadecimal digits"#
)]
#[case::deadline(
    "/teams/archive-audit/pipelines/find-records/deadline",
    json!("11m"),
    r#"$.teams["archive-audit"].pipelines["find-records"].deadline: must be from 10ms to 10m"#
)]
#[case::retention("/claims/retention", json!("1s"), "$.claims.retention: must be from 1m to 168h")]
#[case::shards("/claims/shards", json!(0), "$.claims.shards: must be from 1 to 1024")]
#[case::kept(
    "/limits/result_retention",
    json!("0s"),
    "$.limits.result_retention: must be from 1s to 1h"
)]
#[case::models(
    "/services/clinic-desk/models",
    json!(["m@1"]),
    r#"$.services["clinic-desk"].models: only engines load models"#
)]
#[case::orders(
    "/services/clinic-desk/orders",
    json!("fenced"),
    r#"$.services["clinic-desk"].orders: only engines take orders"#
)]
#[case::version(
    "/services/case-model/models",
    json!(["m"]),
    r#"$.services["case-model"].models[0]: must be written as name@version"#
)]
fn broken_rule_is_reported(#[case] at: &str, #[case] value: Value, #[case] expected: &str) {
    let (parent, key) = at.rsplit_once('/').expect("a path");
    let found = faults(|bundle| {
        let parent = bundle.pointer_mut(parent).expect("an object");
        match key.parse::<usize>() {
            Ok(index) => parent[index] = value,
            Err(_) => parent[key] = value,
        }
    });
    assert!(found.iter().any(|line| line == expected), "{found:#?}");
}

/// With a shared token, requests of one team would be charged to the other.
#[test]
fn token_belongs_to_one_team() {
    let found = faults(|bundle| {
        let token = bundle["teams"]["rural-clinics"]["tokens"][0].clone();
        bundle["teams"]["archive-audit"]["tokens"][0] = token;
    });
    let expected = [r#"$.teams["rural-clinics"].tokens[0]: is already a token of archive-audit"#];
    assert_eq!(found, expected);
}

#[test]
fn service_level_of_an_unknown_pipeline_is_a_fault() {
    let found = faults(|bundle| {
        let promise = json!({"deadline": "1s"});
        bundle["teams"]["archive-audit"]["pipelines"]["find-record"] = promise;
    });
    let expected = [
        r#"$.teams["archive-audit"].pipelines["find-record"]: unknown pipeline "find-record"; the nearest known one is "find-records""#,
    ];
    assert_eq!(found, expected);
}

/// If a claim expired before its request has ended, a resend would execute the request again.
#[test]
fn claim_retention_exceeds_every_deadline() {
    let found = faults(|bundle| {
        bundle["claims"]["retention"] = json!("5m");
        let promise = json!({"deadline": "5m"});
        bundle["teams"]["archive-audit"]["pipelines"]["find-records"] = promise;
    });
    let expected = ["$.claims.retention: must be longer than the longest deadline, 5m"];
    assert_eq!(found, expected);
}

#[test]
fn bundle_too_large_for_an_object_is_a_fault() {
    let found = faults(|bundle| bundle["title"] = json!("x".repeat(1 << 20)));
    assert_eq!(found.len(), 1);
    assert!(
        found[0].ends_with("at most 1MiB fits into an object"),
        "{found:?}"
    );
}

#[test]
fn all_faults_are_reported_together() {
    let found = faults(|bundle| {
        bundle["format"] = json!(9);
        bundle["claims"]["shards"] = json!(0);
        bundle["teams"]["archive-audit"]["weight"] = json!(0);
        bundle["pipelines"]["open-case"]["stages"] = json!([]);
    });
    assert_eq!(found.len(), 4, "{found:#?}");
}

proptest! {
    #[test]
    fn check_of_arbitrary_values_does_not_panic(
        at in prop::sample::select(vec!["format", "services", "pipelines", "teams", "claims"]),
        text in r#"[\[\]{}",:a-z0-9 ]{0,40}"#,
    ) {
        let mut bundle: Value = serde_json::from_str(ARAYA).expect("JSON");
        bundle[at] = serde_json::from_str(&text).unwrap_or(Value::Null);
        let _ = check::parse(&bundle.to_string());
    }
}

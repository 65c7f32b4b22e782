//! A small bundle with an idempotent and a non-idempotent pipeline, and the services that it needs.

use serde_json::{
    Value,
    json, //
};
use sha2::Digest;

use crate::fleet;

/// Bearer token of the team `clinic`.
pub const CLINIC_TOKEN: &str = "token-of-the-clinic-0123456789abcdef";

/// Bearer token of the team `federation`.
pub const FEDERATION_TOKEN: &str = "token-of-the-federation-0123456789ab";

/// Idempotent pipeline of four stages: a request may execute more than once.
pub const CHECK_PIPELINE: &str = "eligibility-check";

/// Non-idempotent pipeline of four stages: a request executes at most once.
pub const OPEN_PIPELINE: &str = "open-case";

/// Returns the services of the bundle with the given number of targets each.
pub fn services(targets: usize) -> Vec<fleet::Service> {
    let pool = |name| fleet::Service::new(name, "pool", targets).args(&["--service-time", "3ms"]);
    let engine = fleet::Service::new("case-model", "engine", targets);
    vec![
        pool("encoders"),
        pool("retrievers"),
        pool("rerankers"),
        engine.args(&["--token-time", "1ms", "--tokens", "12"]),
        pool("clinic-desk"),
    ]
}

/// Returns the bundle.
pub fn bundle() -> Value {
    let stage = |name: &str, service: &str| json!({"name": name, "service": service});
    let common = [
        stage("encode", "encoders"),
        stage("retrieve", "retrievers"),
        stage("rerank", "rerankers"),
    ];
    let stages_with = |last: Value| {
        let mut stages = common.to_vec();
        stages.push(last);
        stages
    };
    json!({
        "format": 1,
        "title": "sample",
        "services": {
            "encoders": {"kind": "pool"},
            "retrievers": {"kind": "pool"},
            "rerankers": {"kind": "pool"},
            "case-model": {"kind": "engine"},
            "clinic-desk": {"kind": "pool"},
        },
        "pipelines": {
            CHECK_PIPELINE: {"stages": stages_with(stage("generate", "case-model"))},
            OPEN_PIPELINE: {"idempotent": false, "stages": stages_with(stage("open", "clinic-desk"))},
        },
        "teams": {
            "clinic": team(CLINIC_TOKEN, 3),
            "federation": team(FEDERATION_TOKEN, 1),
        },
        "claims": {"retention": "10m", "shards": 4},
    })
}

fn team(token: &str, weight: u32) -> Value {
    let terms = json!({"deadline": "30s", "priority": "normal"});
    json!({
        "tokens": [token_digest(token)],
        "weight": weight,
        "pipelines": {CHECK_PIPELINE: terms, OPEN_PIPELINE: terms},
        "queue_limit": 1000,
    })
}

/// Returns the SHA-256 digest of a token in the form that the bundle holds.
pub fn token_digest(token: &str) -> String {
    let bytes = sha2::Sha256::digest(token.as_bytes());
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

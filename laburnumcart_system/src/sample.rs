//! A small bundle with one pipeline of each sort, and the services that it needs.

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

/// Four stages; a request may execute more than once.
pub const CHECK_PIPELINE: &str = "eligibility-check";

/// Four stages that end in a plain service; a request executes at most once.
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
    let front = [
        stage("encode", "encoders"),
        stage("retrieve", "retrievers"),
        stage("rerank", "rerankers"),
    ];
    let with = |last: Value| {
        let mut stages = front.to_vec();
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
            CHECK_PIPELINE: {"stages": with(stage("generate", "case-model"))},
            OPEN_PIPELINE: {"idempotent": false, "stages": with(stage("open", "clinic-desk"))},
        },
        "teams": {
            "clinic": team(CLINIC_TOKEN, 3),
            "federation": team(FEDERATION_TOKEN, 1),
        },
        "claims": {"retention": "10m", "shards": 4},
    })
}

fn team(token: &str, weight: u32) -> Value {
    let promise = json!({"deadline": "30s", "priority": "normal"});
    json!({
        "tokens": [token_digest(token)],
        "weight": weight,
        "pipelines": {CHECK_PIPELINE: promise, OPEN_PIPELINE: promise},
        "queue_limit": 1000,
    })
}

/// Returns the SHA-256 of a token as the bundle holds it.
pub fn token_digest(token: &str) -> String {
    let bytes = sha2::Sha256::digest(token.as_bytes());
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

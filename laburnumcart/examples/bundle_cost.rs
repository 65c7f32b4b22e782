//! Measures the time that a process needs to verify and parse a bundle with many teams.
//!
//! `cargo run --release -p laburnumcart --example bundle_cost [TEAMS]`

use std::{
    collections,
    env,
    hint,
    time, //
};

use serde_json::{
    Value,
    json, //
};

use laburnumcart::{
    bundle,
    document,
    signing, //
};

const ROUNDS: usize = 20;

/// Number of pipelines.
const PIPELINES: usize = 28;

/// Number of pipelines that each team may call.
const PIPELINES_PER_TEAM: usize = 3;

fn main() {
    let teams = env::args().nth(1).and_then(|arg| arg.parse().ok());
    let text = bundle(teams.unwrap_or(2500)).to_string();
    let key = signing::SecretKey::generate().expect("random numbers");
    let name: laburnumcart::id::KeyName = "ana".parse().expect("a name");
    let keys = collections::BTreeMap::from([(name.clone(), key.public().into())]);
    let trust = signing::Trust::new(keys, 1, &document::Path::root()).expect("valid settings");
    let mut envelope = signing::Envelope::new(text.as_str());
    envelope.sign(name, &key);
    let envelope = envelope.to_text();
    println!("bundle {} B, envelope {} B", text.len(), envelope.len());
    assert!(
        envelope.len() <= signing::ENVELOPE_MAX,
        "too large for an object"
    );
    measure("first parse, with the schema compiled", 1, || {
        bundle::check::parse(&text)
    });
    measure("verify", ROUNDS, || trust.verify(&envelope, None));
    measure("parse and check", ROUNDS, || bundle::check::parse(&text));
    measure("deserialize without a check", ROUNDS, || {
        serde_json::from_str::<bundle::Bundle>(&text)
    });
}

fn measure<T, E: std::fmt::Display>(what: &str, rounds: usize, run: impl Fn() -> Result<T, E>) {
    let mut times = Vec::new();
    for _ in 0..rounds {
        let start = time::Instant::now();
        let outcome = hint::black_box(run());
        times.push(start.elapsed());
        if let Err(error) = outcome {
            panic!("{what}: {error}");
        }
    }
    times.sort();
    println!(
        "{what}: median {:?}, longest {:?}",
        times[rounds / 2],
        times[rounds - 1]
    );
}

fn bundle(teams: usize) -> Value {
    let services: Vec<_> = (0..12).map(|n| format!("service-{n}")).collect();
    let stage = |n: usize| json!({"name": format!("stage-{n}"), "service": services[n]});
    let pipeline = |n: usize| json!({"stages": (0..3 + n % 4).map(stage).collect::<Vec<_>>()});
    let pipelines = (0..PIPELINES).map(|n| (format!("pipeline-{n}"), pipeline(n)));
    let teams = (0..teams).map(|n| (format!("team-{n}"), team(n)));
    let services = services
        .iter()
        .map(|name| (name.clone(), json!({"kind": "pool"})));
    json!({
        "format": 1,
        "services": services.collect::<serde_json::Map<_, _>>(),
        "pipelines": pipelines.collect::<serde_json::Map<_, _>>(),
        "teams": teams.collect::<serde_json::Map<_, _>>(),
    })
}

fn team(number: usize) -> Value {
    let promise = json!({"deadline": "10s", "priority": "high"});
    let names = (0..PIPELINES_PER_TEAM).map(|n| format!("pipeline-{}", (number + n) % PIPELINES));
    let token = signing::Digest::of(&number.to_le_bytes());
    json!({
        "tokens": [token.to_string()],
        "weight": 1 + number % 9,
        "pipelines": names.map(|name| (name, promise.clone())).collect::<serde_json::Map<_, _>>(),
    })
}

//! Requests that open cases, which must not be opened twice, and the check of what became of them.

use std::{
    collections,
    fmt,
    net,
    time, //
};

use futures_util::future;
use laburnumcart::{
    claim,
    id, //
};
use laburnumcart_fakes::expected;
use serde_json::{
    Value,
    json, //
};

use crate::{
    fleet,
    http,
    sample,
    wait, //
};

/// Services that a case passes through and the stage of each, the last being the plain service.
pub const STAGES: [(&str, &str); 4] = [
    ("encoders", "encode"),
    ("retrievers", "retrieve"),
    ("rerankers", "rerank"),
    ("clinic-desk", "open"),
];

/// Plain service that opens cases.
pub const CASE_SERVICE: &str = "clinic-desk";

/// Team that opens the cases.
const TEAM: &str = "federation";

/// One case with a key of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CaseRequest(pub usize);

/// One sending of a case, and what its caller got.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The case.
    pub case: CaseRequest,
    /// Answer, or why there is none.
    pub result: Result<http::Response, http::Failure>,
}

/// What a sending tells its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Whole answer.
    Complete,
    /// Refused; the request did not run.
    NotRun,
    /// Given up; the request may have run.
    MayHaveRun,
    /// No answer at all.
    NoResponse,
}

impl fmt::Display for CaseRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "case-{}", self.0)
    }
}

impl CaseRequest {
    /// Returns the body that its caller sends.
    pub fn body(self) -> Value {
        json!({"applicant": self.0, "text": format!("statement {}", self.0)})
    }

    /// Returns the request.
    pub fn call(self) -> fleet::Call<'static> {
        self.call_with_body(self.body())
    }

    /// Returns a request with its key and another body.
    pub fn call_with_body(self, body: Value) -> fleet::Call<'static> {
        fleet::Call::new(sample::OPEN_PIPELINE, sample::FEDERATION_TOKEN, body)
            .key(self.to_string())
    }

    /// Returns what its answer must hold.
    pub fn expected_output(self) -> Value {
        let body = self.body();
        STAGES.iter().fold(Value::Null, |previous, (_, stage)| {
            expected::pool_output(stage, &body, &previous)
        })
    }

    /// Returns its body's digest, as the stand-ins record it.
    pub fn body_digest(self) -> String {
        expected::digest(&self.body().to_string())
    }

    /// Returns its key as the claim log holds it.
    pub fn fingerprint(self) -> id::Fingerprint {
        claim::key(&TEAM.parse().expect("a name"), &self.to_string())
    }

    /// Sends it once through an entry.
    pub async fn send(self, fleet: &fleet::Fleet, entry: usize) -> Submission {
        let result = fleet.call(entry, &self.call()).await;
        Submission { case: self, result }
    }

    /// Sends it as a caller does that follows `Retry-After` on "not run", until it is settled.
    ///
    /// Returns all sendings; the last one is the settled one.
    pub async fn send_until_settled(self, fleet: &fleet::Fleet, entry: usize) -> Vec<Submission> {
        let mut sendings = Vec::new();
        let end = tokio::time::Instant::now() + wait::TIMEOUT;
        loop {
            let sending = self.send(fleet, entry).await;
            let again = sending.outcome() == Outcome::NotRun;
            let pause = sending.retry_after();
            sendings.push(sending);
            if !again {
                return sendings;
            }
            let pause = pause.expect("Retry-After with a refusal as not run");
            assert!(tokio::time::Instant::now() < end, "{self}: not settled");
            tokio::time::sleep(pause).await;
        }
    }
}

impl Submission {
    /// Returns what its caller was told.
    pub fn outcome(&self) -> Outcome {
        let Ok(answer) = &self.result else {
            return Outcome::NoResponse;
        };
        match (answer.status, answer.json()["verdict"].as_str()) {
            (200, _) => Outcome::Complete,
            (_, Some("not-run")) => Outcome::NotRun,
            (_, Some("may-have-run")) => Outcome::MayHaveRun,
            _ => panic!("{}: {} {}", self.case, answer.status, answer.body),
        }
    }

    /// Returns the reason of a refusal.
    pub fn reason(&self) -> String {
        let answer = self.result.as_ref().expect("an answer");
        let reason = answer.json()["reason"].as_str().map(str::to_owned);
        reason.unwrap_or_default()
    }

    /// Returns when its caller should come again, as the header says.
    pub fn retry_after(&self) -> Option<time::Duration> {
        let seconds = self.result.as_ref().ok()?.header("retry-after")?;
        seconds.parse().ok().map(time::Duration::from_secs)
    }

    /// Returns the request that the answer names.
    pub fn request_id(&self) -> Option<String> {
        let answer = self.result.as_ref().ok()?;
        Some(answer.json()["request"].as_str()?.to_owned())
    }
}

/// Sends all cases at once through an entry.
pub async fn send_all(
    fleet: &fleet::Fleet,
    entry: usize,
    cases: impl IntoIterator<Item = CaseRequest>,
) -> Vec<Submission> {
    let all = cases.into_iter().map(|case| case.send(fleet, entry));
    future::join_all(all).await
}

/// Sends all cases at once through an entry, each until it is settled.
pub async fn send_all_until_settled(
    fleet: &fleet::Fleet,
    entry: usize,
    cases: impl IntoIterator<Item = CaseRequest>,
) -> Vec<Submission> {
    let all = cases
        .into_iter()
        .map(|case| case.send_until_settled(fleet, entry));
    future::join_all(all).await.concat()
}

/// Counts the rows of a service's record by the digest of their input.
async fn by_input(fleet: &fleet::Fleet, service: &str) -> collections::HashMap<String, Vec<Value>> {
    let mut found: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
    for row in fleet.service_executions(service).await {
        let input = row["input"].as_str().expect("input").to_owned();
        found.entry(input).or_default().push(row);
    }
    found
}

/// Returns how often each case was opened, by the plain service's own record.
pub async fn count_opened(fleet: &fleet::Fleet, case: CaseRequest) -> usize {
    let found = by_input(fleet, CASE_SERVICE).await;
    found.get(&case.body_digest()).map_or(0, Vec::len)
}

/// Compares all that callers were told with the records of all services.
///
/// # Panics
///
/// Panics when a stage of a case executed more than once, when what was refused as "not run" did
/// execute, or when an answer is not that of its own case.
pub async fn check_submissions(fleet: &fleet::Fleet, sendings: &[Submission]) {
    let mut requests = collections::HashMap::new();
    let mut cases: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
    for sending in sendings {
        cases.entry(sending.case).or_default().push(sending);
    }
    for (service, _) in STAGES {
        for (input, rows) in by_input(fleet, service).await {
            assert_eq!(rows.len(), 1, "{service} {input}: {rows:#?}");
            for row in rows {
                let request = row["request"].as_str().expect("request").to_owned();
                requests.insert((service, request), (input.clone(), row["outcome"].clone()));
            }
        }
    }
    let ran = |request: &str| {
        STAGES
            .iter()
            .any(|(service, _)| requests.contains_key(&(*service, request.to_owned())))
    };
    for (case, sendings) in cases {
        let mut answers = collections::BTreeSet::new();
        for sending in &sendings {
            match sending.outcome() {
                Outcome::Complete => {
                    let answer = sending.result.as_ref().expect("an answer").json();
                    assert_eq!(answer["output"], case.expected_output(), "{case}");
                    answers.insert(sending.request_id().expect("a request"));
                }
                Outcome::NotRun => {
                    let request = sending.request_id().unwrap_or_default();
                    assert!(!ran(&request), "{case}: {request} was told not to have run");
                }
                Outcome::MayHaveRun | Outcome::NoResponse => {}
            }
        }
        assert!(answers.len() <= 1, "{case}: {answers:?}");
        for request in answers {
            let row = requests
                .get(&(CASE_SERVICE, request))
                .expect("a recorded execution");
            assert_eq!(*row, (case.body_digest(), json!("done")), "{case}");
        }
        let unused = |sending: &&Submission| sending.outcome() == Outcome::NotRun;
        if sendings.iter().all(unused) {
            let digest = case.body_digest();
            let found = requests.values().any(|(input, _)| *input == digest);
            assert!(
                !found,
                "{case} ran, but each caller was told that it did not"
            );
        }
    }
}

/// Owner of each shard as the object service's heads name it.
pub async fn shard_owners(fleet: &fleet::Fleet) -> Vec<net::SocketAddr> {
    let listing = listing(fleet, "claims/").await;
    let head = |object: &Value| {
        let key = object["key"].as_str().expect("key");
        let value: Value = serde_json::from_str(object["value"].as_str()?).ok()?;
        let owner = value["owner"]["addr"].as_str()?.parse().ok()?;
        key.ends_with("/head").then_some(owner)
    };
    listing.iter().filter_map(head).collect()
}

/// Returns the number of shards that the first claim fixed.
pub async fn shard_count(fleet: &fleet::Fleet) -> u64 {
    let listing = listing(fleet, "claims/shards").await;
    let object = listing.first().expect("the object of the shards");
    let text = object["value"].as_str().expect("a value");
    let value: Value = serde_json::from_str(text).expect("JSON");
    value["shards"].as_u64().expect("a number")
}

/// Waits until the claim of a case is in the log.
pub async fn wait_claimed(fleet: &fleet::Fleet, case: CaseRequest) {
    let key = case.fingerprint().to_string();
    wait::until(&format!("the claim of {case}"), || async {
        let listing = listing(fleet, "claims/").await;
        let holds = |object: &Value| object["value"].as_str().is_some_and(|v| v.contains(&key));
        listing.iter().any(holds).then_some(())
    })
    .await;
}

async fn listing(fleet: &fleet::Fleet, prefix: &str) -> Vec<Value> {
    let page = format!("/v1/list?prefix={prefix}");
    let answer = fleet.http.get(fleet.store_addr, &page).await;
    let listing = answer.expect("a listing").json()["objects"].take();
    listing.as_array().cloned().unwrap_or_default()
}

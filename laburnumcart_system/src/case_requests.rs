//! Non-idempotent requests with idempotency keys, and checks that each executes at most once.

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

/// Services and stages of the pipeline in order; the last service opens the case.
pub const STAGES: [(&str, &str); 4] = [
    ("encoders", "encode"),
    ("retrievers", "retrieve"),
    ("rerankers", "rerank"),
    ("clinic-desk", "open"),
];

/// Service of the last stage, which opens the case.
pub const CASE_SERVICE: &str = "clinic-desk";

/// Team that sends the requests.
const TEAM: &str = "federation";

/// Request to open the case with this number, under its own idempotency key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CaseRequest(pub usize);

/// One submission of a request and the response to it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Request that was sent.
    pub case: CaseRequest,
    /// Response, or the reason why there is none.
    pub result: Result<http::Response, http::Failure>,
}

/// Outcome of a submission as its caller learns it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Complete response.
    Complete,
    /// Refused with the verdict `not-run`.
    NotRun,
    /// Given up with the verdict `may-have-run`.
    MayHaveRun,
    /// No response.
    NoResponse,
}

impl fmt::Display for CaseRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "case-{}", self.0)
    }
}

impl CaseRequest {
    /// Returns the body of the request.
    pub fn body(self) -> Value {
        json!({"applicant": self.0, "text": format!("statement {}", self.0)})
    }

    /// Returns the call that submits the request.
    pub fn call(self) -> fleet::Call<'static> {
        self.call_with_body(self.body())
    }

    /// Returns a call with the same key and another body.
    pub fn call_with_body(self, body: Value) -> fleet::Call<'static> {
        fleet::Call::new(sample::OPEN_PIPELINE, sample::FEDERATION_TOKEN, body)
            .key(self.to_string())
    }

    /// Returns the output that a complete response must hold.
    pub fn expected_output(self) -> Value {
        let body = self.body();
        STAGES.iter().fold(Value::Null, |previous, (_, stage)| {
            expected::pool_output(stage, &body, &previous)
        })
    }

    /// Returns the digest of the body as the fake targets record it.
    pub fn body_digest(self) -> String {
        expected::digest(&self.body().to_string())
    }

    /// Returns the fingerprint of the key as the claim log holds it.
    pub fn fingerprint(self) -> id::Fingerprint {
        claim::key(&TEAM.parse().expect("a name"), &self.to_string())
    }

    /// Sends the request once through an entry.
    pub async fn send(self, fleet: &fleet::Fleet, entry: usize) -> Submission {
        let result = fleet.call(entry, &self.call()).await;
        Submission { case: self, result }
    }

    /// Sends the request until its outcome is not `NotRun`, honouring `Retry-After` in between.
    ///
    /// Returns all submissions; the last one holds the final outcome.
    pub async fn send_until_settled(self, fleet: &fleet::Fleet, entry: usize) -> Vec<Submission> {
        let mut submissions = Vec::new();
        let end = tokio::time::Instant::now() + wait::TIMEOUT;
        loop {
            let submission = self.send(fleet, entry).await;
            let again = submission.outcome() == Outcome::NotRun;
            let pause = submission.retry_after();
            submissions.push(submission);
            if !again {
                return submissions;
            }
            let pause = pause.expect("Retry-After with the verdict not-run");
            assert!(
                tokio::time::Instant::now() < end,
                "{self}: still refused as not-run after {:?}",
                wait::TIMEOUT
            );
            tokio::time::sleep(pause).await;
        }
    }
}

impl Submission {
    /// Returns the outcome that the response reports.
    pub fn outcome(&self) -> Outcome {
        let Ok(response) = &self.result else {
            return Outcome::NoResponse;
        };
        match (response.status, response.json()["verdict"].as_str()) {
            (200, _) => Outcome::Complete,
            (_, Some("not-run")) => Outcome::NotRun,
            (_, Some("may-have-run")) => Outcome::MayHaveRun,
            _ => panic!("{}: {} {}", self.case, response.status, response.body),
        }
    }

    /// Returns the reason of a refusal.
    pub fn reason(&self) -> String {
        let response = self.result.as_ref().expect("a response");
        let reason = response.json()["reason"].as_str().map(str::to_owned);
        reason.unwrap_or_default()
    }

    /// Returns the delay of the `Retry-After` header.
    pub fn retry_after(&self) -> Option<time::Duration> {
        let seconds = self.result.as_ref().ok()?.header("retry-after")?;
        seconds.parse().ok().map(time::Duration::from_secs)
    }

    /// Returns the request ID in the response.
    pub fn request_id(&self) -> Option<String> {
        let response = self.result.as_ref().ok()?;
        Some(response.json()["request"].as_str()?.to_owned())
    }
}

/// Sends all requests concurrently through an entry.
pub async fn send_all(
    fleet: &fleet::Fleet,
    entry: usize,
    cases: impl IntoIterator<Item = CaseRequest>,
) -> Vec<Submission> {
    let all = cases.into_iter().map(|case| case.send(fleet, entry));
    future::join_all(all).await
}

/// Sends all requests concurrently through an entry, each until its outcome is not `NotRun`.
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

/// Groups the executions that a service recorded by the digest of their input.
async fn executions_by_input(
    fleet: &fleet::Fleet,
    service: &str,
) -> collections::HashMap<String, Vec<Value>> {
    let mut found: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
    for row in fleet.service_executions(service).await {
        let input = row["input"].as_str().expect("input").to_owned();
        found.entry(input).or_default().push(row);
    }
    found
}

/// Returns how often a case was opened, according to the records of the targets.
pub async fn count_opened(fleet: &fleet::Fleet, case: CaseRequest) -> usize {
    let found = executions_by_input(fleet, CASE_SERVICE).await;
    found.get(&case.body_digest()).map_or(0, Vec::len)
}

/// Compares the outcomes of all submissions with the executions that the targets recorded.
///
/// # Panics
///
/// Panics when a stage of a request executed more than once, a request refused as `not-run` has an
/// execution, or a response holds the output of another request.
pub async fn check_submissions(fleet: &fleet::Fleet, submissions: &[Submission]) {
    let mut requests = collections::HashMap::new();
    let mut cases: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
    for submission in submissions {
        cases.entry(submission.case).or_default().push(submission);
    }
    for (service, _) in STAGES {
        for (input, rows) in executions_by_input(fleet, service).await {
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
    for (case, submissions) in cases {
        let mut completed = collections::BTreeSet::new();
        for submission in &submissions {
            match submission.outcome() {
                Outcome::Complete => {
                    let response = submission.result.as_ref().expect("a response").json();
                    assert_eq!(response["output"], case.expected_output(), "{case}");
                    completed.insert(submission.request_id().expect("a request"));
                }
                Outcome::NotRun => {
                    let request = submission.request_id().unwrap_or_default();
                    assert!(
                        !ran(&request),
                        "{case}: {request} executed despite the verdict not-run"
                    );
                }
                Outcome::MayHaveRun | Outcome::NoResponse => {}
            }
        }
        assert!(completed.len() <= 1, "{case}: {completed:?}");
        for request in completed {
            let row = requests
                .get(&(CASE_SERVICE, request))
                .expect("a recorded execution");
            assert_eq!(*row, (case.body_digest(), json!("done")), "{case}");
        }
        let is_not_run = |submission: &&Submission| submission.outcome() == Outcome::NotRun;
        if submissions.iter().all(is_not_run) {
            let digest = case.body_digest();
            let found = requests.values().any(|(input, _)| *input == digest);
            assert!(
                !found,
                "{case} executed, but every submission got the verdict not-run"
            );
        }
    }
}

/// Returns the owner of each shard, read from the shard heads in the object service.
pub async fn shard_owners(fleet: &fleet::Fleet) -> Vec<net::SocketAddr> {
    let objects = list_objects(fleet, "claims/").await;
    let head = |object: &Value| {
        let key = object["key"].as_str().expect("key");
        let value: Value = serde_json::from_str(object["value"].as_str()?).ok()?;
        let owner = value["owner"]["addr"].as_str()?.parse().ok()?;
        key.ends_with("/head").then_some(owner)
    };
    objects.iter().filter_map(head).collect()
}

/// Returns the number of shards; the first claim fixes it.
pub async fn shard_count(fleet: &fleet::Fleet) -> u64 {
    let objects = list_objects(fleet, "claims/shards").await;
    let object = objects
        .first()
        .expect("the object with the number of shards");
    let text = object["value"].as_str().expect("a value");
    let value: Value = serde_json::from_str(text).expect("JSON");
    value["shards"].as_u64().expect("a number")
}

/// Waits until the claim log holds the claim of a request.
pub async fn wait_claimed(fleet: &fleet::Fleet, case: CaseRequest) {
    let key = case.fingerprint().to_string();
    wait::until(&format!("the claim of {case}"), || async {
        let objects = list_objects(fleet, "claims/").await;
        let holds = |object: &Value| object["value"].as_str().is_some_and(|v| v.contains(&key));
        objects.iter().any(holds).then_some(())
    })
    .await;
}

async fn list_objects(fleet: &fleet::Fleet, prefix: &str) -> Vec<Value> {
    let page = format!("/v1/list?prefix={prefix}");
    let response = fleet.http.get(fleet.store_addr, &page).await;
    let objects = response.expect("a listing").json()["objects"].take();
    objects.as_array().cloned().unwrap_or_default()
}

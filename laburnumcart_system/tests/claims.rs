//! Cases are opened at most once while entries are paused or killed and the object service fails.

use laburnumcart_system::{
    case_requests,
    fleet,
    sample,
    wait, //
};
use nix::sys::signal;
use serde_json::{
    Value,
    json, //
};

/// Cases that give every shard an owner; several for each shard.
const WARM_CASES: usize = 24;

async fn start_fleet(entries: usize) -> fleet::Fleet {
    let plan = fleet::Plan::new(sample::services(1), sample::bundle()).entries(entries);
    fleet::Fleet::start(plan).await
}

/// Returns the cases with the numbers of a range.
fn cases(numbers: std::ops::Range<usize>) -> impl Iterator<Item = case_requests::CaseRequest> {
    numbers.map(case_requests::CaseRequest)
}

/// Opens cases so that every shard has an owner, and checks that each was opened.
async fn open_warm_cases(fleet: &fleet::Fleet) -> Vec<case_requests::Submission> {
    let opened = case_requests::send_all_until_settled(fleet, 0, cases(0..WARM_CASES)).await;
    let is_certain = |submission: &case_requests::Submission| {
        submission.outcome() != case_requests::Outcome::MayHaveRun
    };
    assert!(opened.iter().all(is_certain), "{opened:?}");
    opened
}

/// Returns the entry that owns most shards.
async fn main_owner(fleet: &fleet::Fleet) -> usize {
    let owners = case_requests::shard_owners(fleet).await;
    let owned = |entry: &usize| {
        let peer = fleet.entries[*entry].peer_addr;
        owners.iter().filter(|owner| **owner == peer).count()
    };
    (0..fleet.entries.len()).max_by_key(owned).expect("entries")
}

/// Returns the last submission of each case; submissions of a case must be in order.
fn last_submissions(submissions: &[case_requests::Submission]) -> Vec<&case_requests::Submission> {
    let mut last = std::collections::BTreeMap::new();
    for submission in submissions {
        last.insert(submission.case, submission);
    }
    last.into_values().collect()
}

/// Finds a node of a service.
fn find_node(fleet: &fleet::Fleet, service: &str) -> usize {
    let found = fleet.nodes.iter().position(|node| node.service == service);
    found.expect("a node of the service")
}

async fn set_behaviour(fleet: &fleet::Fleet, service: &str, behaviour: Value) {
    fleet
        .set_target_behaviour(find_node(fleet, service), &behaviour)
        .await;
}

/// Waits until the case service has begun to open a case.
async fn wait_opening(fleet: &fleet::Fleet, case: case_requests::CaseRequest) {
    wait::until(&format!("the case service opens {case}"), || async {
        (case_requests::count_opened(fleet, case).await > 0).then_some(())
    })
    .await;
}

/// Checks that the last submission of each case has its complete answer.
fn assert_complete(submissions: &[case_requests::Submission]) {
    for submission in last_submissions(submissions) {
        assert_eq!(
            submission.outcome(),
            case_requests::Outcome::Complete,
            "{submission:?}"
        );
    }
}

// A key that both entries claim at once must run once; the request at the other entry joins it.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_keys_through_both_entries_run_once() {
    let fleet = start_fleet(2).await;
    let (here, there) = tokio::join!(
        case_requests::send_all_until_settled(&fleet, 0, cases(0..300)),
        case_requests::send_all_until_settled(&fleet, 1, cases(0..300)),
    );
    assert_complete(&here);
    assert_complete(&there);
    assert_eq!(
        case_requests::shard_count(&fleet).await,
        4,
        "shards of the bundle"
    );
    case_requests::check_submissions(&fleet, &[here, there].concat()).await;
}

// A resumed owner still trusts its table of claims until its next append finds the takeover.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_paused_across_a_takeover_grants_nothing() {
    let fleet = start_fleet(2).await;
    let mut all = open_warm_cases(&fleet).await;
    let paused = main_owner(&fleet).await;
    let other = 1 - paused;
    // Slow appends, so that some are in progress when the owner is paused.
    fleet.set_store_faults(&json!({"slow": "50ms"})).await;
    let before = case_requests::send_all(&fleet, paused, cases(100..160));
    let during = async {
        case_requests::wait_claimed(&fleet, case_requests::CaseRequest(100)).await;
        fleet.entries[paused].process.pause().await;
        let late = case_requests::send_all(&fleet, paused, cases(160..220));
        let taken = async {
            let taken = case_requests::send_all_until_settled(&fleet, other, cases(160..220)).await;
            let peer = fleet.entries[paused].peer_addr;
            assert!(!case_requests::shard_owners(&fleet).await.contains(&peer));
            fleet.entries[paused].process.resume();
            taken
        };
        let (late, taken) = tokio::join!(late, taken);
        assert_complete(&taken);
        [late, taken].concat()
    };
    let (before, during) = tokio::join!(before, during);
    all.extend(before);
    all.extend(during);
    fleet.set_store_faults(&json!({})).await;
    let again = case_requests::send_all_until_settled(&fleet, other, cases(100..220)).await;
    assert_complete(&again);
    all.extend(again);
    case_requests::check_submissions(&fleet, &all).await;
}

// The other entry cannot know how far the killed one got, so it must report "may have run".
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_after_the_claim_leaves_doubt_that_is_told() {
    let mut fleet = start_fleet(2).await;
    let mut all = open_warm_cases(&fleet).await;
    set_behaviour(&fleet, "encoders", json!({"freeze": true})).await;
    let sent = case_requests::send_all(&fleet, 0, cases(100..108));
    let killed = async {
        for case in cases(100..108) {
            case_requests::wait_claimed(&fleet, case).await;
        }
        fleet.entries[0].process.signal(signal::Signal::SIGKILL);
    };
    let (sent, ()) = tokio::join!(sent, killed);
    assert!(
        sent.iter()
            .all(|s| s.outcome() == case_requests::Outcome::NoResponse)
    );
    fleet.entries[0].process.kill();
    let again = case_requests::send_all_until_settled(&fleet, 1, cases(100..108)).await;
    for submission in last_submissions(&again) {
        assert_eq!(
            submission.outcome(),
            case_requests::Outcome::MayHaveRun,
            "{submission:?}"
        );
        assert_eq!(submission.reason(), "already-claimed");
    }
    set_behaviour(&fleet, "encoders", json!({"freeze": false})).await;
    let new = case_requests::send_all_until_settled(&fleet, 1, cases(200..210)).await;
    assert_complete(&new);
    for case in cases(100..108) {
        assert_eq!(case_requests::count_opened(&fleet, case).await, 0, "{case}");
    }
    all.extend([sent, again, new].concat());
    case_requests::check_submissions(&fleet, &all).await;
}

// A resend through the other entry must not run a case that is running or has been opened.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_during_the_run_is_not_run_again() {
    let mut fleet = start_fleet(2).await;
    let mut all = open_warm_cases(&fleet).await;
    set_behaviour(&fleet, case_requests::CASE_SERVICE, json!({"slow": 1000})).await;
    let case = case_requests::CaseRequest(100);
    let killed = async {
        wait_opening(&fleet, case).await;
        fleet.entries[0].process.signal(signal::Signal::SIGKILL);
    };
    let (sent, ()) = tokio::join!(case.send(&fleet, 0), killed);
    assert_eq!(sent.outcome(), case_requests::Outcome::NoResponse);
    fleet.entries[0].process.kill();
    set_behaviour(&fleet, case_requests::CASE_SERVICE, json!({"slow": 1})).await;
    for _ in 0..2 {
        let again = case.send_until_settled(&fleet, 1).await;
        let last = again.last().expect("a submission");
        assert_eq!(
            last.outcome(),
            case_requests::Outcome::MayHaveRun,
            "{last:?}"
        );
        assert_eq!(last.reason(), "already-claimed");
        all.extend(again);
    }
    assert_eq!(case_requests::count_opened(&fleet, case).await, 1);
    all.push(sent);
    case_requests::check_submissions(&fleet, &all).await;
}

// A new shard owner must fetch kept answers from the entry that holds them, not run cases again.
#[tokio::test(flavor = "multi_thread")]
async fn kept_answers_outlive_the_owner_of_their_claims() {
    let mut fleet = start_fleet(3).await;
    let mut all = open_warm_cases(&fleet).await;
    let owner = main_owner(&fleet).await;
    let (holder, third) = ((owner + 1) % 3, (owner + 2) % 3);
    let first = case_requests::send_all_until_settled(&fleet, holder, cases(100..130)).await;
    assert_complete(&first);
    fleet.entries[owner].process.kill();
    let again = case_requests::send_all_until_settled(&fleet, third, cases(100..130)).await;
    assert_complete(&again);
    all.extend([first, again].concat());
    // Answers that the killed entry held are lost, so the first cases are not checked.
    all.retain(|submission| submission.case >= case_requests::CaseRequest(100));
    case_requests::check_submissions(&fleet, &all).await;
}

// An append without an answer may have taken effect; only the log shows whether it claimed the key.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_appends_are_settled() {
    let fleet = start_fleet(2).await;
    let warmed = open_warm_cases(&fleet).await;
    let faults = json!({"lose_answers": 4, "lose_calls": 4, "slow": "5ms"});
    let mut all = warmed;
    for wave in 0..3 {
        fleet.set_store_faults(&faults).await;
        let numbers = 100 + wave * 60..160 + wave * 60;
        let (here, there) = tokio::join!(
            case_requests::send_all_until_settled(&fleet, 0, cases(numbers.clone())),
            case_requests::send_all_until_settled(&fleet, 1, cases(numbers)),
        );
        assert_complete(&here);
        assert_complete(&there);
        all.extend([here, there].concat());
    }
    let unanswered = unanswered(&fleet).await;
    assert!(unanswered > 0, "no append lost its answer");
    println!("appends without an answer: {unanswered}");
    case_requests::check_submissions(&fleet, &all).await;
}

/// Returns the number of appends without an answer at all entries.
async fn unanswered(fleet: &fleet::Fleet) -> u64 {
    let mut sum = 0;
    for entry in &fleet.entries {
        let page = fleet.http.get(entry.caller_addr, "/metrics").await;
        let page = page.expect("metrics").body;
        let mut lines = page.lines();
        let count = lines.find_map(|line| {
            let (name, value) = line.split_once(' ')?;
            let found = name.ends_with("claims_unanswered_total");
            found.then(|| value.parse::<u64>().expect("a count"))
        });
        sum += count.expect("the counter");
    }
    sum
}

// Without the object service no claim is durable, so nothing may run; a slow one delays claims.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_refuses_and_a_slow_service_only_delays() {
    let fleet = start_fleet(2).await;
    let mut all = open_warm_cases(&fleet).await;
    fleet.set_store_faults(&json!({"down": true})).await;
    for entry in [0, 1] {
        let refused = case_requests::send_all(&fleet, entry, cases(100..140)).await;
        for submission in &refused {
            assert_eq!(
                submission.outcome(),
                case_requests::Outcome::NotRun,
                "{submission:?}"
            );
            assert_eq!(submission.reason(), "claim-unavailable");
            assert!(
                submission
                    .retry_after()
                    .is_some_and(|after| !after.is_zero())
            );
        }
        all.extend(refused);
    }
    for case in cases(100..140) {
        assert_eq!(case_requests::count_opened(&fleet, case).await, 0, "{case}");
    }
    case_requests::check_submissions(&fleet, &all).await;
    fleet.set_store_faults(&json!({"slow": "500ms"})).await;
    let (here, there) = tokio::join!(
        case_requests::send_all_until_settled(&fleet, 0, cases(100..140)),
        case_requests::send_all_until_settled(&fleet, 1, cases(100..140)),
    );
    assert_complete(&here);
    assert_complete(&there);
    all.extend([here, there].concat());
    case_requests::check_submissions(&fleet, &all).await;
}

// A resend during the run joins it; the same key with another body must not reach a target.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_joins_and_another_body_is_refused() {
    let fleet = start_fleet(2).await;
    let mut all = open_warm_cases(&fleet).await;
    set_behaviour(&fleet, case_requests::CASE_SERVICE, json!({"slow": 500})).await;
    let case = case_requests::CaseRequest(100);
    let others = async {
        wait_opening(&fleet, case).await;
        check_body_mismatch(&fleet, case).await;
        let joined = tokio::join!(case.send(&fleet, 0), case.send(&fleet, 1));
        [joined.0, joined.1]
    };
    let (first, joined) = tokio::join!(case.send(&fleet, 0), others);
    check_body_mismatch(&fleet, case).await;
    let submissions = [vec![first], joined.to_vec()].concat();
    for submission in &submissions {
        assert_eq!(
            submission.outcome(),
            case_requests::Outcome::Complete,
            "{submission:?}"
        );
        assert_eq!(submission.request_id(), submissions[0].request_id());
    }
    all.extend(submissions);
    case_requests::check_submissions(&fleet, &all).await;
}

/// Checks that both entries refuse the key of `case` with another body.
async fn check_body_mismatch(fleet: &fleet::Fleet, case: case_requests::CaseRequest) {
    let other = case_requests::CaseRequest(case.0 + 1);
    for entry in [0, 1] {
        let call = case.call_with_body(other.body());
        let answer = fleet.call(entry, &call).await.expect("an answer");
        assert_eq!(answer.json()["verdict"], "not-run", "{}", answer.body);
        assert_eq!(answer.json()["reason"], "key-reused");
    }
    assert_eq!(case_requests::count_opened(fleet, other).await, 0);
}

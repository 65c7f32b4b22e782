//! Cases that are opened at most once, while entries pause and die and the object service fails.

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

/// Cases that bring every shard under an owner; more than a handful for each.
const WARM: usize = 24;

async fn start(entries: usize) -> fleet::Fleet {
    let plan = fleet::Plan::new(sample::services(1), sample::bundle()).entries(entries);
    fleet::Fleet::start(plan).await
}

/// Cases with the numbers of a range.
fn range(numbers: std::ops::Range<usize>) -> impl Iterator<Item = case_requests::CaseRequest> {
    numbers.map(case_requests::CaseRequest)
}

/// Opens cases so that every shard has an owner, and checks that each was opened.
async fn warm(fleet: &fleet::Fleet) -> Vec<case_requests::Submission> {
    let opened = case_requests::send_all_until_settled(fleet, 0, range(0..WARM)).await;
    let whole = |sending: &case_requests::Submission| {
        sending.outcome() != case_requests::Outcome::MayHaveRun
    };
    assert!(opened.iter().all(whole), "{opened:?}");
    opened
}

/// Returns the entry that owns most shards.
async fn owner(fleet: &fleet::Fleet) -> usize {
    let owners = case_requests::shard_owners(fleet).await;
    let owned = |entry: &usize| {
        let peer = fleet.entries[*entry].peer_addr;
        owners.iter().filter(|owner| **owner == peer).count()
    };
    (0..fleet.entries.len()).max_by_key(owned).expect("entries")
}

/// Returns the last sending of each case, of sendings that are in order for each.
fn settled(sendings: &[case_requests::Submission]) -> Vec<&case_requests::Submission> {
    let mut last = std::collections::BTreeMap::new();
    for sending in sendings {
        last.insert(sending.case, sending);
    }
    last.into_values().collect()
}

/// Finds a node of a service.
fn node(fleet: &fleet::Fleet, service: &str) -> usize {
    let found = fleet.nodes.iter().position(|node| node.service == service);
    found.expect("a node of the service")
}

async fn behave(fleet: &fleet::Fleet, service: &str, behaviour: Value) {
    fleet
        .set_target_behaviour(node(fleet, service), &behaviour)
        .await;
}

/// Waits until the desk has begun to open a case.
async fn opening(fleet: &fleet::Fleet, case: case_requests::CaseRequest) {
    wait::until(&format!("the desk opens {case}"), || async {
        (case_requests::count_opened(fleet, case).await > 0).then_some(())
    })
    .await;
}

fn all_whole(sendings: &[case_requests::Submission]) {
    for sending in settled(sendings) {
        assert_eq!(
            sending.outcome(),
            case_requests::Outcome::Complete,
            "{sending:?}"
        );
    }
}

/// Callers send 300 cases, each through both entries at the same moment, and follow "not run" with a
/// new sending. Whichever entry claims a key first runs it; the sending at the other joins it. Both
/// callers get the one answer, and the desk opens each case once.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_keys_through_both_entries_run_once() {
    let fleet = start(2).await;
    let (here, there) = tokio::join!(
        case_requests::send_all_until_settled(&fleet, 0, range(0..300)),
        case_requests::send_all_until_settled(&fleet, 1, range(0..300)),
    );
    all_whole(&here);
    all_whole(&there);
    assert_eq!(
        case_requests::shard_count(&fleet).await,
        4,
        "shards of the bundle"
    );
    case_requests::check_submissions(&fleet, &[here, there].concat()).await;
}

/// The entry that owns most shards stops in the middle of its appends (SIGSTOP). The other entry takes
/// its shards over and opens cases; callers go on sending the same keys to the paused one, which reads
/// them only when it goes on (SIGCONT) and still holds its table for valid. Its next append finds the
/// seal, so it must ask the new owner instead of granting a key a second time.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_paused_across_a_takeover_grants_nothing() {
    let fleet = start(2).await;
    let mut all = warm(&fleet).await;
    let paused = owner(&fleet).await;
    let other = 1 - paused;
    // Appends take a while, so that some are under way when the owner stops.
    fleet.set_store_faults(&json!({"slow": "50ms"})).await;
    let before = case_requests::send_all(&fleet, paused, range(100..160));
    let during = async {
        case_requests::wait_claimed(&fleet, case_requests::CaseRequest(100)).await;
        fleet.entries[paused].process.pause().await;
        let late = case_requests::send_all(&fleet, paused, range(160..220));
        let taken = async {
            let taken = case_requests::send_all_until_settled(&fleet, other, range(160..220)).await;
            let peer = fleet.entries[paused].peer_addr;
            assert!(!case_requests::shard_owners(&fleet).await.contains(&peer));
            fleet.entries[paused].process.resume();
            taken
        };
        let (late, taken) = tokio::join!(late, taken);
        all_whole(&taken);
        [late, taken].concat()
    };
    let (before, during) = tokio::join!(before, during);
    all.extend(before);
    all.extend(during);
    fleet.set_store_faults(&json!({})).await;
    let again = case_requests::send_all_until_settled(&fleet, other, range(100..220)).await;
    all_whole(&again);
    all.extend(again);
    case_requests::check_submissions(&fleet, &all).await;
}

/// An entry claims keys and is killed before any stage of theirs ran, as the first targets stand still.
/// The callers lose their connections and send again through the other entry. It cannot know how far
/// the dead one came: they are told "may have run" as a final answer at once, not at the deadline, and
/// the desk never opens the cases.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_after_the_claim_leaves_doubt_that_is_told() {
    let mut fleet = start(2).await;
    let mut all = warm(&fleet).await;
    behave(&fleet, "encoders", json!({"freeze": true})).await;
    let sent = case_requests::send_all(&fleet, 0, range(100..108));
    let killed = async {
        for case in range(100..108) {
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
    let again = case_requests::send_all_until_settled(&fleet, 1, range(100..108)).await;
    for sending in settled(&again) {
        assert_eq!(
            sending.outcome(),
            case_requests::Outcome::MayHaveRun,
            "{sending:?}"
        );
        assert_eq!(sending.reason(), "already-claimed");
    }
    behave(&fleet, "encoders", json!({"freeze": false})).await;
    let new = case_requests::send_all_until_settled(&fleet, 1, range(200..210)).await;
    all_whole(&new);
    for case in range(100..108) {
        assert_eq!(case_requests::count_opened(&fleet, case).await, 0, "{case}");
    }
    all.extend([sent, again, new].concat());
    case_requests::check_submissions(&fleet, &all).await;
}

/// An entry is killed while the desk opens a case. The caller sends again through the other entry and
/// is told "may have run" at once; so is a third sending after the desk is done. The desk opened the
/// case once.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_during_the_run_is_not_run_again() {
    let mut fleet = start(2).await;
    let mut all = warm(&fleet).await;
    behave(&fleet, case_requests::CASE_SERVICE, json!({"slow": 1000})).await;
    let case = case_requests::CaseRequest(100);
    let killed = async {
        opening(&fleet, case).await;
        fleet.entries[0].process.signal(signal::Signal::SIGKILL);
    };
    let (sent, ()) = tokio::join!(case.send(&fleet, 0), killed);
    assert_eq!(sent.outcome(), case_requests::Outcome::NoResponse);
    fleet.entries[0].process.kill();
    behave(&fleet, case_requests::CASE_SERVICE, json!({"slow": 1})).await;
    for _ in 0..2 {
        let again = case.send_until_settled(&fleet, 1).await;
        let last = again.last().expect("a sending");
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

/// Cases were opened through one entry; the owner of the shards is another, and it is killed. A resend
/// through a third takes the shard over, finds the claims in the log, and fetches the kept answers from
/// the entry that opened the cases: the same answers as the first time, without a second run.
#[tokio::test(flavor = "multi_thread")]
async fn kept_answers_outlive_the_owner_of_their_claims() {
    let mut fleet = start(3).await;
    let mut all = warm(&fleet).await;
    let owner = owner(&fleet).await;
    let (holder, third) = ((owner + 1) % 3, (owner + 2) % 3);
    let first = case_requests::send_all_until_settled(&fleet, holder, range(100..130)).await;
    all_whole(&first);
    fleet.entries[owner].process.kill();
    let again = case_requests::send_all_until_settled(&fleet, third, range(100..130)).await;
    all_whole(&again);
    all.extend([first, again].concat());
    // Cases that the killed entry held itself are told as what they are.
    all.retain(|sending| sending.case >= case_requests::CaseRequest(100));
    case_requests::check_submissions(&fleet, &all).await;
}

/// Under load the object service loses, three times, the answers of writes that took effect and as many
/// writes before they take effect. Each caller who is told "not run" comes again. An append whose answer is
/// lost is settled by its slot, so no key is granted to two requests and none is refused that stays
/// claimed: every case is opened, once.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_appends_are_settled() {
    let fleet = start(2).await;
    let warmed = warm(&fleet).await;
    let faults = json!({"lose_answers": 4, "lose_calls": 4, "slow": "5ms"});
    let mut all = warmed;
    for wave in 0..3 {
        fleet.set_store_faults(&faults).await;
        let numbers = 100 + wave * 60..160 + wave * 60;
        let (here, there) = tokio::join!(
            case_requests::send_all_until_settled(&fleet, 0, range(numbers.clone())),
            case_requests::send_all_until_settled(&fleet, 1, range(numbers)),
        );
        all_whole(&here);
        all_whole(&there);
        all.extend([here, there].concat());
    }
    let unanswered = unanswered(&fleet).await;
    assert!(unanswered > 0, "no append lost its answer");
    println!("appends that were settled: {unanswered}");
    case_requests::check_submissions(&fleet, &all).await;
}

/// Sums the appends without an answer over the entries.
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

/// The object service is down: new cases are refused as "not run" with Retry-After and nothing of them
/// executes. It comes back slow, half a second a call: the same callers come again and every case is
/// opened once.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_refuses_and_a_slow_service_only_delays() {
    let fleet = start(2).await;
    let mut all = warm(&fleet).await;
    fleet.set_store_faults(&json!({"down": true})).await;
    for entry in [0, 1] {
        let refused = case_requests::send_all(&fleet, entry, range(100..140)).await;
        for sending in &refused {
            assert_eq!(
                sending.outcome(),
                case_requests::Outcome::NotRun,
                "{sending:?}"
            );
            assert_eq!(sending.reason(), "claim-unavailable");
            assert!(sending.retry_after().is_some_and(|after| !after.is_zero()));
        }
        all.extend(refused);
    }
    for case in range(100..140) {
        assert_eq!(case_requests::count_opened(&fleet, case).await, 0, "{case}");
    }
    case_requests::check_submissions(&fleet, &all).await;
    fleet.set_store_faults(&json!({"slow": "500ms"})).await;
    let (here, there) = tokio::join!(
        case_requests::send_all_until_settled(&fleet, 0, range(100..140)),
        case_requests::send_all_until_settled(&fleet, 1, range(100..140)),
    );
    all_whole(&here);
    all_whole(&there);
    all.extend([here, there].concat());
    case_requests::check_submissions(&fleet, &all).await;
}

/// While the desk works on a case, its caller sends the case again through both entries. All three
/// sendings wait for the one run and get its answer. The same key with another body is refused as "not
/// run" through either entry, before and after the run, and its body never reaches a target.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_joins_and_another_body_is_refused() {
    let fleet = start(2).await;
    let mut all = warm(&fleet).await;
    behave(&fleet, case_requests::CASE_SERVICE, json!({"slow": 500})).await;
    let case = case_requests::CaseRequest(100);
    let others = async {
        opening(&fleet, case).await;
        refused_with_another_body(&fleet, case).await;
        let joined = tokio::join!(case.send(&fleet, 0), case.send(&fleet, 1));
        [joined.0, joined.1]
    };
    let (first, joined) = tokio::join!(case.send(&fleet, 0), others);
    refused_with_another_body(&fleet, case).await;
    let sendings = [vec![first], joined.to_vec()].concat();
    for sending in &sendings {
        assert_eq!(
            sending.outcome(),
            case_requests::Outcome::Complete,
            "{sending:?}"
        );
        assert_eq!(sending.request_id(), sendings[0].request_id());
    }
    all.extend(sendings);
    case_requests::check_submissions(&fleet, &all).await;
}

async fn refused_with_another_body(fleet: &fleet::Fleet, case: case_requests::CaseRequest) {
    let other = case_requests::CaseRequest(case.0 + 1);
    for entry in [0, 1] {
        let call = case.call_with_body(other.body());
        let answer = fleet.call(entry, &call).await.expect("an answer");
        assert_eq!(answer.json()["verdict"], "not-run", "{}", answer.body);
        assert_eq!(answer.json()["reason"], "key-reused");
    }
    assert_eq!(case_requests::count_opened(fleet, other).await, 0);
}

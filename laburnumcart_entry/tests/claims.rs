//! Claims under failures: at most one request runs under a key.

#[path = "claims/interleaved.rs"]
mod interleaved;
#[path = "claims/support.rs"]
mod support;

use std::time;

use laburnumcart::{
    id,
    unit,
    verdict, //
};
use laburnumcart_entry::claims::{
    self,
    resend, //
};
use laburnumcart_platform::{
    memory,
    store::Store, //
};
use laburnumcart_wire::entry::Decision;
use rstest::rstest;
use tokio::time as clock;

use support::{
    World,
    ask,
    claim,
    taken_by, //
};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn refusal(decision: &Decision) -> verdict::Refusal {
    match decision {
        Decision::Refused(refusal) => *refusal,
        other => panic!("not refused: {other:?}"),
    }
}

/// The caller times out and sends its request again, and the balancer gives it to another entry.
/// That entry asks the owner, learns who holds the key and fetches the answer there. It must not
/// run the request, nor may a request with other content slip in under the key.
#[tokio::test(start_paused = true)]
async fn resend_through_other_entry_gets_the_answer() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    let (b, _) = world.start(2);
    assert_eq!(claim(&b, ask(7, 1)).await, Decision::Granted);
    let again = claim(&a, ask(7, 2)).await;
    let Decision::Taken {
        holder, request, ..
    } = again
    else {
        panic!("not taken: {again:?}");
    };
    assert_eq!((holder, request), (b.holder(), id::RequestId(1)));
    let wait = unit::Period::from_secs(1);
    let body = resend::join(&world.net, holder, request, wait).await;
    assert_eq!(body, Ok(id::RequestId(1).to_string()));
    let other = claims::ClaimRequest {
        content: id::Fingerprint(8),
        ..ask(7, 3)
    };
    let reused = verdict::Refusal::not_run(verdict::Reason::KeyReused);
    assert_eq!(refusal(&claim(&a, other).await), reused);
}

/// The owner's process is paused with an append on its way. Another entry cannot reach it, takes
/// the shard over and grants the key. Resumed, the owner sends its append, which must fail at the
/// seal, and the caller of its request must be told whose the key is.
#[tokio::test(start_paused = true)]
async fn owner_paused_across_takeover() {
    let mut world = World::new();
    let (a, gate) = world.start(1);
    let (b, _) = world.start(2);
    assert_eq!(claim(&a, ask(1, 1)).await, Decision::Granted);
    gate.hold(Some("claims/"));
    world.net.set_cut(&a, true);
    let late = tokio::spawn({
        let a = a.clone();
        async move { claim(&a, ask(7, 2)).await }
    });
    clock::sleep(SECOND / 10).await;
    assert_eq!(claim(&b, ask(7, 3)).await, Decision::Granted);
    assert_eq!(
        taken_by(&claim(&b, ask(1, 4)).await),
        Some(id::RequestId(1))
    );
    // By now the segments before the seal are deleted.
    clock::sleep(SECOND).await;
    world.net.set_cut(&a, false);
    gate.hold(None);
    assert_eq!(taken_by(&late.await.unwrap()), Some(id::RequestId(3)));
}

/// The answer to an append is lost at a moment that is no whole millisecond, as every moment outside of
/// tests. The owner reads its own append back and must know it, although written periods are rounded;
/// taken for a seal, it would cost the owner its shard and leave claims behind.
#[tokio::test(start_paused = true)]
async fn an_owner_knows_its_own_append() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    assert_eq!(claim(&a, ask(1, 1)).await, Decision::Granted);
    clock::advance(time::Duration::from_nanos(3_456_789)).await;
    world.memory.set_faults(memory::Faults {
        lose_answers: 1,
        ..memory::Faults::default()
    });
    assert_eq!(claim(&a, ask(7, 2)).await, Decision::Granted);
    let head = world.memory.get("claims/0/head").await.unwrap().unwrap();
    assert!(head.value.contains("\"epoch\":1,"), "{}", head.value);
}

/// The owner grants a claim and its answer is lost; then it is out of reach, and the asker, which cannot
/// read whose the shard is, refuses its caller as not run. The claim must not stay behind: the caller
/// comes again, as it was told to, and its request runs.
#[tokio::test(start_paused = true)]
async fn a_refusal_after_a_lost_answer_gives_the_claim_back() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    let (b, _) = world.start(2);
    assert_eq!(claim(&a, ask(1, 1)).await, Decision::Granted);
    world.net.set_mute(&a, true);
    let refused = tokio::spawn({
        let b = b.clone();
        async move { claim(&b, ask(7, 2)).await }
    });
    clock::sleep(SECOND / 10).await;
    world.memory.set_faults(memory::Faults {
        down: true,
        ..memory::Faults::default()
    });
    let refusal = refusal(&refused.await.unwrap());
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    world.memory.set_faults(memory::Faults::default());
    world.net.set_mute(&a, false);
    clock::sleep(SECOND).await;
    assert_eq!(claim(&b, ask(7, 3)).await, Decision::Granted);
}

/// An owner does not know that it was replaced. Meanwhile a claim in its table was given back and
/// its key granted to another request, which has run. A resend that reaches the old owner must
/// learn of that request; sent to the earlier one it would be told "not run".
#[tokio::test(start_paused = true)]
async fn replaced_owner_answers_no_resend_from_its_table() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    let (b, _) = world.start(2);
    assert_eq!(claim(&a, ask(7, 1)).await, Decision::Granted);
    world.net.set_cut(&a, true);
    assert!(taken_by(&claim(&b, ask(7, 2)).await).is_some());
    assert!(b.release(id::Fingerprint(7), id::RequestId(1)).await);
    assert_eq!(claim(&b, ask(7, 3)).await, Decision::Granted);
    let resend = claim(&a, ask(7, 4)).await;
    assert_eq!(taken_by(&resend), Some(id::RequestId(3)));
}

/// The object service performs the append and its answer is lost, or the call is lost before it.
/// The caller sees one grant; a resend sees the key taken, and the batch is in the log once.
#[rstest]
#[case::answer(1, 0)]
#[case::call(0, 1)]
#[case::both(2, 2)]
#[tokio::test(start_paused = true)]
async fn append_without_answer_is_settled(#[case] answers: u32, #[case] calls: u32) {
    let mut world = World::new();
    let (a, _) = world.start(1);
    assert_eq!(claim(&a, ask(1, 1)).await, Decision::Granted);
    world.memory.set_faults(memory::Faults {
        lose_answers: answers,
        lose_calls: calls,
        ..memory::Faults::default()
    });
    assert_eq!(claim(&a, ask(7, 2)).await, Decision::Granted);
    assert_eq!(
        taken_by(&claim(&a, ask(7, 3)).await),
        Some(id::RequestId(2))
    );
    let log = world.memory.list("claims/0/1/").await.unwrap();
    // The first snapshot, two grants, and the proof that the owner could answer the resend.
    assert_eq!(log.objects.len(), 4);
}

/// The owner dies. Two entries notice at the same time, each with a request under the same key.
/// Both raise the epoch; one of them loses the conditional update and asks the other.
#[tokio::test(start_paused = true)]
async fn two_takers_at_once() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    let (b, _) = world.start(2);
    let (c, _) = world.start(3);
    assert_eq!(claim(&a, ask(1, 1)).await, Decision::Granted);
    world.net.set_cut(&a, true);
    let (left, right) = tokio::join!(claim(&b, ask(7, 2)), claim(&c, ask(7, 3)));
    let granted = [&left, &right].map(|decision| *decision == Decision::Granted);
    assert_eq!(
        granted.iter().filter(|granted| **granted).count(),
        1,
        "{left:?} {right:?}"
    );
    assert!(taken_by(&left).or(taken_by(&right)).is_some());
}

/// An entry claims a key and dies before it runs the request, or after; nobody can tell. The
/// resend gets "may have run" without waiting for its deadline, and again each time.
#[tokio::test(start_paused = true)]
async fn holder_dead_after_the_claim() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    let (b, _) = world.start(2);
    assert_eq!(claim(&a, ask(7, 1)).await, Decision::Granted);
    world.net.set_cut(&a, true);
    for request in 2..4 {
        let start = clock::Instant::now();
        let Decision::Taken {
            holder, request, ..
        } = claim(&b, ask(7, request)).await
        else {
            panic!("not taken");
        };
        let wait = unit::Period::from_secs(9);
        let answer = resend::join(&world.net, holder, request, wait).await;
        let gone = verdict::Refusal::may_have_run(verdict::Reason::AlreadyClaimed);
        assert_eq!(answer, Err(gone));
        assert!(start.elapsed() < SECOND);
    }
}

/// The object service is down. Callers are told "not run" and when to come back at once; when it
/// is up again the same key is granted.
#[tokio::test(start_paused = true)]
async fn store_down_refuses_at_once() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    let (b, _) = world.start(2);
    assert_eq!(claim(&a, ask(1, 1)).await, Decision::Granted);
    world.memory.set_faults(memory::Faults {
        down: true,
        ..memory::Faults::default()
    });
    for entry in [&a, &b, &a] {
        let start = clock::Instant::now();
        let refusal = refusal(&claim(entry, ask(7, 2)).await);
        assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
        assert_eq!(refusal.reason, verdict::Reason::ClaimUnavailable);
        assert!(refusal.retry.is_some());
        assert!(start.elapsed() < SECOND / 20);
    }
    world.memory.set_faults(memory::Faults::default());
    clock::sleep(SECOND).await;
    assert_eq!(claim(&b, ask(7, 3)).await, Decision::Granted);
}

/// The object service answers later than the caller's deadline. The caller is told "not run", and
/// as nothing ran, the claim that became durable afterwards is given back: a resend is granted.
#[tokio::test(start_paused = true)]
async fn store_slow_past_the_deadline() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    assert_eq!(claim(&a, ask(1, 1)).await, Decision::Granted);
    world.memory.set_faults(memory::Faults {
        slow: unit::Period::from_millis(1500),
        ..memory::Faults::default()
    });
    let deadline = clock::Instant::now() + SECOND;
    let refusal = refusal(&a.claim(ask(7, 2), deadline).await.decision);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert_eq!(clock::Instant::now(), deadline);
    world.memory.set_faults(memory::Faults::default());
    clock::sleep(5 * SECOND).await;
    assert_eq!(claim(&a, ask(7, 3)).await, Decision::Granted);
}

/// The object service stops answering without refusing. The claim that is on its way stays open,
/// but those that gather behind it are told "not run" once it is in doubt, long before their
/// deadlines, and later ones at once.
#[tokio::test(start_paused = true)]
async fn claims_behind_a_silent_append_are_refused() {
    let mut world = World::new();
    let (a, gate) = world.start(1);
    assert_eq!(claim(&a, ask(1, 1)).await, Decision::Granted);
    gate.hold(Some("claims/"));
    let first = tokio::spawn({
        let a = a.clone();
        async move { claim(&a, ask(2, 2)).await }
    });
    clock::sleep(SECOND / 10).await;
    let start = clock::Instant::now();
    let unavailable = verdict::Reason::ClaimUnavailable;
    assert_eq!(refusal(&claim(&a, ask(3, 3)).await).reason, unavailable);
    assert!(start.elapsed() < 3 * SECOND);
    let start = clock::Instant::now();
    assert_eq!(refusal(&claim(&a, ask(4, 4)).await).reason, unavailable);
    assert!(start.elapsed() < SECOND / 20);
    gate.hold(None);
    assert_eq!(first.await.unwrap(), Decision::Granted);
    assert_eq!(claim(&a, ask(3, 5)).await, Decision::Granted);
}

/// The caller hangs up while its claim is on its way to the log. The claim must not stay behind:
/// nothing will run under it, and a resend would be told for an hour that it may have run.
#[rstest]
#[case::at_the_owner(1)]
#[case::elsewhere(2)]
#[tokio::test(start_paused = true)]
async fn claim_of_a_caller_that_hung_up_is_given_back(#[case] number: u16) {
    let mut world = World::new();
    let (a, _) = world.start(1);
    let (b, _) = world.start(2);
    let asker = if number == 1 { &a } else { &b };
    assert_eq!(claim(asker, ask(1, 1)).await, Decision::Granted);
    world.memory.set_faults(memory::Faults {
        slow: unit::Period::from_millis(500),
        ..memory::Faults::default()
    });
    let hung_up = clock::timeout(SECOND / 5, claim(asker, ask(7, 2))).await;
    assert!(hung_up.is_err());
    world.memory.set_faults(memory::Faults::default());
    clock::sleep(3 * SECOND).await;
    assert_eq!(claim(&a, ask(7, 3)).await, Decision::Granted);
}

/// A request that found no target gives its claim back, and the caller's next try is granted. A
/// release by any other request changes nothing.
#[tokio::test(start_paused = true)]
async fn release_frees_the_key_for_its_holder_only() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    let (b, _) = world.start(2);
    assert_eq!(claim(&b, ask(7, 1)).await, Decision::Granted);
    assert!(!b.release(id::Fingerprint(7), id::RequestId(2)).await);
    assert!(taken_by(&claim(&a, ask(7, 2)).await).is_some());
    assert!(b.release(id::Fingerprint(7), id::RequestId(1)).await);
    assert_eq!(claim(&a, ask(7, 3)).await, Decision::Granted);
}

/// A claim outlives takeovers for at least its retention. It does not start anew with each, as the
/// log carries how long its owners have held it; else it would never be forgotten.
#[tokio::test(start_paused = true)]
async fn retention_across_takeovers() {
    let mut world = World::new();
    let mut entries = vec![world.start(1).0];
    let short = |request| claims::ClaimRequest {
        retention: unit::Period::from_secs(100),
        ..ask(7, request)
    };
    assert_eq!(claim(&entries[0], short(1)).await, Decision::Granted);
    for number in 2..5 {
        clock::sleep(30 * SECOND).await;
        let last = entries.last().unwrap();
        let mark = u128::from(number) + 100;
        assert_eq!(claim(last, ask(mark, mark)).await, Decision::Granted);
        world.net.set_cut(last, true);
        let (next, _) = world.start(number);
        let decision = claim(&next, short(u128::from(number))).await;
        assert_eq!(
            taken_by(&decision),
            Some(id::RequestId(1)),
            "entry {number}"
        );
        entries.push(next);
    }
    let last = entries.last().unwrap();
    clock::sleep(8 * SECOND).await;
    assert!(taken_by(&claim(last, short(8)).await).is_some());
    clock::sleep(4 * SECOND).await;
    assert_eq!(claim(last, short(9)).await, Decision::Granted);
}

/// Memory for claims is full. A caller is told "not run" and when to come back; a key that is
/// claimed already is still recognised.
#[tokio::test(start_paused = true)]
async fn full_table_refuses() {
    let mut world = World::with_limit(2);
    let (a, _) = world.start(1);
    assert_eq!(claim(&a, ask(1, 1)).await, Decision::Granted);
    assert_eq!(claim(&a, ask(2, 2)).await, Decision::Granted);
    let full = refusal(&claim(&a, ask(3, 3)).await);
    assert_eq!(full.verdict, verdict::Verdict::NotRun);
    assert_eq!(full.reason, verdict::Reason::Overloaded);
    assert!(full.retry.is_some());
    assert!(taken_by(&claim(&a, ask(1, 4)).await).is_some());
}

/// A taker is paused between its listing and its seal. Meanwhile the owner takes a snapshot and
/// deletes the very slot that the taker is about to seal, and goes on behind it. The taker must
/// not mistake its seal there for the end of the epoch, and lose what the owner granted since.
#[tokio::test(start_paused = true)]
async fn taker_paused_before_its_seal() {
    let mut world = World::with_segments(8);
    let (a, _) = world.start(1);
    let (b, gate) = world.start(2);
    assert_eq!(claim(&a, ask(1000, 1000)).await, Decision::Granted);
    world.net.set_cut(&a, true);
    gate.hold(Some("claims/0/1/"));
    let taker = tokio::spawn({
        let b = b.clone();
        let deadline = clock::Instant::now() + 60 * SECOND;
        async move { b.claim(ask(7, 1), deadline).await.decision }
    });
    clock::sleep(SECOND / 2).await;
    for number in 0..20 {
        let decision = claim(&a, ask(2000 + number, 2000 + number)).await;
        assert_eq!(decision, Decision::Granted);
    }
    assert_eq!(claim(&a, ask(7, 2)).await, Decision::Granted);
    clock::sleep(SECOND / 2).await;
    gate.hold(None);
    assert_eq!(taken_by(&taker.await.unwrap()), Some(id::RequestId(2)));
}

/// A bundle changes the number of shards. Keys must not move to shards that do not know their
/// claims, so the first number stays in force.
#[tokio::test(start_paused = true)]
async fn number_of_shards_is_kept() {
    let mut world = World::new();
    let (a, _) = world.start_with(1, 3);
    assert_eq!(claim(&a, ask(7, 1)).await, Decision::Granted);
    let (b, _) = world.start_with(2, 16);
    world.net.set_cut(&a, true);
    assert_eq!(
        taken_by(&claim(&b, ask(7, 2)).await),
        Some(id::RequestId(1))
    );
}

/// An entry stops in order. The next claim is granted by another one without the wait that an
/// owner out of reach costs, although the list of live entries still shows the one that stops.
/// A claim that reaches that one after all is refused as not run.
#[tokio::test(start_paused = true)]
async fn drained_shard_is_taken_without_waiting() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    let (b, _) = world.start(2);
    assert_eq!(claim(&a, ask(1, 1)).await, Decision::Granted);
    a.drain().await;
    let leaving = refusal(&claim(&a, ask(7, 1)).await);
    assert_eq!(leaving.verdict, verdict::Verdict::NotRun);
    assert_eq!(leaving.reason, verdict::Reason::Leaving);
    let start = clock::Instant::now();
    assert_eq!(claim(&b, ask(7, 2)).await, Decision::Granted);
    assert!(start.elapsed() < SECOND / 10);
    assert_eq!(
        taken_by(&claim(&b, ask(1, 3)).await),
        Some(id::RequestId(1))
    );
}

/// Two entries reach the object service but not each other, and both have claims all the time.
/// The shard must not change hands with every claim: each change costs a replay.
#[tokio::test(start_paused = true)]
async fn cut_off_entries_do_not_steal_to_and_fro() {
    let mut world = World::new();
    let (a, _) = world.start(1);
    let (b, _) = world.start(2);
    world.net.set_cut(&a, true);
    world.net.set_cut(&b, true);
    for number in 0..1200 {
        let deadline = clock::Instant::now() + SECOND;
        let (left, right) = (
            ask(number * 2, number * 2),
            ask(number * 2 + 1, number * 2 + 1),
        );
        tokio::join!(a.claim(left, deadline), b.claim(right, deadline));
        clock::sleep(SECOND / 10).await;
    }
    let head = world.memory.get("claims/0/head").await.unwrap().unwrap();
    let head: laburnumcart::claim::record::Head = serde_json::from_str(&head.value).unwrap();
    assert!(head.epoch < 20, "{head:?}");
}

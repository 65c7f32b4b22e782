//! Claims under failures: at most one request executes per key.

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
    Cluster,
    claim,
    params,
    taken_by, //
};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn refusal(decision: &Decision) -> verdict::Refusal {
    match decision {
        Decision::Refused(refusal) => *refusal,
        other => panic!("not refused: {other:?}"),
    }
}

/// A resend to another entry must fetch the answer from the key's holder and not execute again.
#[tokio::test(start_paused = true)]
async fn resend_through_other_entry_gets_the_answer() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    let (b, _) = cluster.start(2);
    assert_eq!(claim(&b, params(7, 1)).await, Decision::Granted);
    let resend = claim(&a, params(7, 2)).await;
    let Decision::Taken {
        holder, request, ..
    } = resend
    else {
        panic!("not taken: {resend:?}");
    };
    assert_eq!((holder, request), (b.holder(), id::RequestId(1)));
    let wait = unit::Period::from_secs(1);
    let body = resend::join(&cluster.net, holder, request, wait).await;
    assert_eq!(body, Ok(id::RequestId(1).to_string()));
    // A request with other content under the same key is refused.
    let other = claims::ClaimRequest {
        content: id::Fingerprint(8),
        ..params(7, 3)
    };
    let reused = verdict::Refusal::not_run(verdict::Reason::KeyReused);
    assert_eq!(refusal(&claim(&a, other).await), reused);
}

/// An owner that resumes after a takeover must not grant a key that the new owner has granted.
#[tokio::test(start_paused = true)]
async fn owner_paused_across_takeover() {
    let mut cluster = Cluster::new();
    let (a, store) = cluster.start(1);
    let (b, _) = cluster.start(2);
    assert_eq!(claim(&a, params(1, 1)).await, Decision::Granted);
    store.hold(Some("claims/"));
    cluster.net.set_cut(&a, true);
    // This append is paused until after the takeover and must then fail at the seal.
    let late = tokio::spawn({
        let a = a.clone();
        async move { claim(&a, params(7, 2)).await }
    });
    clock::sleep(SECOND / 10).await;
    assert_eq!(claim(&b, params(7, 3)).await, Decision::Granted);
    assert_eq!(
        taken_by(&claim(&b, params(1, 4)).await),
        Some(id::RequestId(1))
    );
    // The segments before the seal are deleted by now.
    clock::sleep(SECOND).await;
    cluster.net.set_cut(&a, false);
    store.hold(None);
    assert_eq!(taken_by(&late.await.unwrap()), Some(id::RequestId(3)));
}

/// An owner must not take its own segment for a seal because the stored periods are rounded.
#[tokio::test(start_paused = true)]
async fn owner_recognises_its_own_append() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    assert_eq!(claim(&a, params(1, 1)).await, Decision::Granted);
    // The time is not a whole millisecond, so the periods in the segment are rounded.
    clock::advance(time::Duration::from_nanos(3_456_789)).await;
    // The append succeeds, but its response is lost.
    cluster.memory.set_faults(memory::Faults {
        lose_answers: 1,
        ..memory::Faults::default()
    });
    assert_eq!(claim(&a, params(7, 2)).await, Decision::Granted);
    let head = cluster.memory.get("claims/0/head").await.unwrap().unwrap();
    assert!(head.value.contains("\"epoch\":1,"), "{}", head.value);
}

/// A claim whose grant is lost, then refused as not run, must be released for the caller's retry.
#[tokio::test(start_paused = true)]
async fn refusal_after_a_lost_response_releases_the_claim() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    let (b, _) = cluster.start(2);
    assert_eq!(claim(&a, params(1, 1)).await, Decision::Granted);
    // The response to the granted claim is lost.
    cluster.net.set_mute(&a, true);
    let refused = tokio::spawn({
        let b = b.clone();
        async move { claim(&b, params(7, 2)).await }
    });
    clock::sleep(SECOND / 10).await;
    cluster.memory.set_faults(memory::Faults {
        down: true,
        ..memory::Faults::default()
    });
    let refusal = refusal(&refused.await.unwrap());
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    cluster.memory.set_faults(memory::Faults::default());
    cluster.net.set_mute(&a, false);
    clock::sleep(SECOND).await;
    assert_eq!(claim(&b, params(7, 3)).await, Decision::Granted);
}

/// A replaced owner must not direct a resend to a holder whose claim was released in the meantime.
#[tokio::test(start_paused = true)]
async fn replaced_owner_does_not_answer_from_its_stale_table() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    let (b, _) = cluster.start(2);
    assert_eq!(claim(&a, params(7, 1)).await, Decision::Granted);
    cluster.net.set_cut(&a, true);
    assert!(taken_by(&claim(&b, params(7, 2)).await).is_some());
    assert!(b.release(id::Fingerprint(7), id::RequestId(1)).await);
    assert_eq!(claim(&b, params(7, 3)).await, Decision::Granted);
    let resend = claim(&a, params(7, 4)).await;
    assert_eq!(taken_by(&resend), Some(id::RequestId(3)));
}

/// An append whose call or response is lost must grant once and put its batch into the log once.
#[rstest]
#[case::answer(1, 0)]
#[case::call(0, 1)]
#[case::both(2, 2)]
#[tokio::test(start_paused = true)]
async fn append_without_answer_is_settled(#[case] answers: u32, #[case] calls: u32) {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    assert_eq!(claim(&a, params(1, 1)).await, Decision::Granted);
    cluster.memory.set_faults(memory::Faults {
        lose_answers: answers,
        lose_calls: calls,
        ..memory::Faults::default()
    });
    assert_eq!(claim(&a, params(7, 2)).await, Decision::Granted);
    assert_eq!(
        taken_by(&claim(&a, params(7, 3)).await),
        Some(id::RequestId(2))
    );
    let log = cluster.memory.list("claims/0/1/").await.unwrap();
    // The first snapshot, two grants, and the append that confirms the ownership for the resend.
    assert_eq!(log.objects.len(), 4);
}

/// Two entries that detect the loss of the owner at once must not both grant the same key.
#[tokio::test(start_paused = true)]
async fn two_takers_at_once() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    let (b, _) = cluster.start(2);
    let (c, _) = cluster.start(3);
    assert_eq!(claim(&a, params(1, 1)).await, Decision::Granted);
    cluster.net.set_cut(&a, true);
    // One loses the conditional update of the epoch and uses the other as the owner.
    let (left, right) = tokio::join!(claim(&b, params(7, 2)), claim(&c, params(7, 3)));
    let granted = [&left, &right].map(|decision| *decision == Decision::Granted);
    assert_eq!(
        granted.iter().filter(|granted| **granted).count(),
        1,
        "{left:?} {right:?}"
    );
    assert!(taken_by(&left).or(taken_by(&right)).is_some());
}

/// If the holder of the claim is dead, resends must be refused as "may have run" without waiting.
#[tokio::test(start_paused = true)]
async fn holder_dead_after_the_claim() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    let (b, _) = cluster.start(2);
    assert_eq!(claim(&a, params(7, 1)).await, Decision::Granted);
    // The holder may have died before or after it executed the request.
    cluster.net.set_cut(&a, true);
    for request in 2..4 {
        let start = clock::Instant::now();
        let Decision::Taken {
            holder, request, ..
        } = claim(&b, params(7, request)).await
        else {
            panic!("not taken");
        };
        let wait = unit::Period::from_secs(9);
        let answer = resend::join(&cluster.net, holder, request, wait).await;
        let gone = verdict::Refusal::may_have_run(verdict::Reason::AlreadyClaimed);
        assert_eq!(answer, Err(gone));
        assert!(start.elapsed() < SECOND);
    }
}

/// While the object service is down, claims must be refused as not run at once, with a retry delay.
#[tokio::test(start_paused = true)]
async fn store_down_refuses_at_once() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    let (b, _) = cluster.start(2);
    assert_eq!(claim(&a, params(1, 1)).await, Decision::Granted);
    cluster.memory.set_faults(memory::Faults {
        down: true,
        ..memory::Faults::default()
    });
    for entry in [&a, &b, &a] {
        let start = clock::Instant::now();
        let refusal = refusal(&claim(entry, params(7, 2)).await);
        assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
        assert_eq!(refusal.reason, verdict::Reason::ClaimUnavailable);
        assert!(refusal.retry.is_some());
        assert!(start.elapsed() < SECOND / 20);
    }
    cluster.memory.set_faults(memory::Faults::default());
    clock::sleep(SECOND).await;
    assert_eq!(claim(&b, params(7, 3)).await, Decision::Granted);
}

/// A claim refused at its deadline and durable later must be released, or no resend is granted.
#[tokio::test(start_paused = true)]
async fn store_slow_past_the_deadline() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    assert_eq!(claim(&a, params(1, 1)).await, Decision::Granted);
    cluster.memory.set_faults(memory::Faults {
        slow: unit::Period::from_millis(1500),
        ..memory::Faults::default()
    });
    let deadline = clock::Instant::now() + SECOND;
    let refusal = refusal(&a.claim(params(7, 2), deadline).await.decision);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert_eq!(clock::Instant::now(), deadline);
    cluster.memory.set_faults(memory::Faults::default());
    clock::sleep(5 * SECOND).await;
    assert_eq!(claim(&a, params(7, 3)).await, Decision::Granted);
}

/// Claims queued behind a stalled append must be refused as not run long before their deadlines.
#[tokio::test(start_paused = true)]
async fn claims_behind_a_silent_append_are_refused() {
    let mut cluster = Cluster::new();
    let (a, store) = cluster.start(1);
    assert_eq!(claim(&a, params(1, 1)).await, Decision::Granted);
    store.hold(Some("claims/"));
    let first = tokio::spawn({
        let a = a.clone();
        async move { claim(&a, params(2, 2)).await }
    });
    clock::sleep(SECOND / 10).await;
    // A claim queued behind the append.
    let start = clock::Instant::now();
    let unavailable = verdict::Reason::ClaimUnavailable;
    assert_eq!(refusal(&claim(&a, params(3, 3)).await).reason, unavailable);
    assert!(start.elapsed() < 3 * SECOND);
    // Later claims are refused immediately.
    let start = clock::Instant::now();
    assert_eq!(refusal(&claim(&a, params(4, 4)).await).reason, unavailable);
    assert!(start.elapsed() < SECOND / 20);
    store.hold(None);
    assert_eq!(first.await.unwrap(), Decision::Granted);
    assert_eq!(claim(&a, params(3, 5)).await, Decision::Granted);
}

/// A claim kept for its retention time would have every resend refused as "may have run".
#[rstest]
#[case::at_the_owner(1)]
#[case::elsewhere(2)]
#[tokio::test(start_paused = true)]
async fn claim_of_a_disconnected_caller_is_released(#[case] number: u16) {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    let (b, _) = cluster.start(2);
    let asker = if number == 1 { &a } else { &b };
    assert_eq!(claim(asker, params(1, 1)).await, Decision::Granted);
    cluster.memory.set_faults(memory::Faults {
        slow: unit::Period::from_millis(500),
        ..memory::Faults::default()
    });
    let disconnected = clock::timeout(SECOND / 5, claim(asker, params(7, 2))).await;
    assert!(disconnected.is_err());
    cluster.memory.set_faults(memory::Faults::default());
    clock::sleep(3 * SECOND).await;
    assert_eq!(claim(&a, params(7, 3)).await, Decision::Granted);
}

/// A release by the holder must free the key; one by any other request must have no effect.
#[tokio::test(start_paused = true)]
async fn release_frees_the_key_for_its_holder_only() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    let (b, _) = cluster.start(2);
    assert_eq!(claim(&b, params(7, 1)).await, Decision::Granted);
    assert!(!b.release(id::Fingerprint(7), id::RequestId(2)).await);
    assert!(taken_by(&claim(&a, params(7, 2)).await).is_some());
    assert!(b.release(id::Fingerprint(7), id::RequestId(1)).await);
    assert_eq!(claim(&a, params(7, 3)).await, Decision::Granted);
}

/// A takeover must neither lose a claim nor restart its retention time; the log carries its age.
#[tokio::test(start_paused = true)]
async fn retention_across_takeovers() {
    let mut cluster = Cluster::new();
    let mut entries = vec![cluster.start(1).0];
    let short = |request| claims::ClaimRequest {
        retention: unit::Period::from_secs(100),
        ..params(7, request)
    };
    assert_eq!(claim(&entries[0], short(1)).await, Decision::Granted);
    for number in 2..5 {
        clock::sleep(30 * SECOND).await;
        let last = entries.last().unwrap();
        let mark = u128::from(number) + 100;
        assert_eq!(claim(last, params(mark, mark)).await, Decision::Granted);
        cluster.net.set_cut(last, true);
        let (next, _) = cluster.start(number);
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

/// A full table must refuse new keys as not run with a retry delay, and still know claimed keys.
#[tokio::test(start_paused = true)]
async fn full_table_refuses() {
    let mut cluster = Cluster::with_limit(2);
    let (a, _) = cluster.start(1);
    assert_eq!(claim(&a, params(1, 1)).await, Decision::Granted);
    assert_eq!(claim(&a, params(2, 2)).await, Decision::Granted);
    let full = refusal(&claim(&a, params(3, 3)).await);
    assert_eq!(full.verdict, verdict::Verdict::NotRun);
    assert_eq!(full.reason, verdict::Reason::Overloaded);
    assert!(full.retry.is_some());
    assert!(taken_by(&claim(&a, params(1, 4)).await).is_some());
}

/// A taker paused between its listing and its seal must not lose grants appended in the meantime.
#[tokio::test(start_paused = true)]
async fn taker_paused_before_its_seal() {
    let mut cluster = Cluster::with_segments(8);
    let (a, _) = cluster.start(1);
    let (b, store) = cluster.start(2);
    assert_eq!(claim(&a, params(1000, 1000)).await, Decision::Granted);
    cluster.net.set_cut(&a, true);
    store.hold(Some("claims/0/1/"));
    let taker = tokio::spawn({
        let b = b.clone();
        let deadline = clock::Instant::now() + 60 * SECOND;
        async move { b.claim(params(7, 1), deadline).await.decision }
    });
    clock::sleep(SECOND / 2).await;
    // The owner takes a snapshot, deletes the segment to be sealed, and appends behind it.
    for number in 0..20 {
        let decision = claim(&a, params(2000 + number, 2000 + number)).await;
        assert_eq!(decision, Decision::Granted);
    }
    assert_eq!(claim(&a, params(7, 2)).await, Decision::Granted);
    clock::sleep(SECOND / 2).await;
    store.hold(None);
    assert_eq!(taken_by(&taker.await.unwrap()), Some(id::RequestId(2)));
}

/// A changed number of shards must not move keys to shards that lack their claims.
#[tokio::test(start_paused = true)]
async fn stored_number_of_shards_wins_over_settings() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start_with(1, 3);
    assert_eq!(claim(&a, params(7, 1)).await, Decision::Granted);
    let (b, _) = cluster.start_with(2, 16);
    cluster.net.set_cut(&a, true);
    assert_eq!(
        taken_by(&claim(&b, params(7, 2)).await),
        Some(id::RequestId(1))
    );
}

/// A drained owner must refuse claims as not run, and not delay a takeover like an unreachable one.
#[tokio::test(start_paused = true)]
async fn drained_shard_is_taken_over_without_waiting() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    let (b, _) = cluster.start(2);
    assert_eq!(claim(&a, params(1, 1)).await, Decision::Granted);
    a.drain().await;
    let leaving = refusal(&claim(&a, params(7, 1)).await);
    assert_eq!(leaving.verdict, verdict::Verdict::NotRun);
    assert_eq!(leaving.reason, verdict::Reason::Leaving);
    let start = clock::Instant::now();
    assert_eq!(claim(&b, params(7, 2)).await, Decision::Granted);
    assert!(start.elapsed() < SECOND / 10);
    assert_eq!(
        taken_by(&claim(&b, params(1, 3)).await),
        Some(id::RequestId(1))
    );
}

/// Entries that reach the store but not each other must not take the shard over with every claim.
#[tokio::test(start_paused = true)]
async fn partitioned_entries_do_not_alternate_ownership() {
    let mut cluster = Cluster::new();
    let (a, _) = cluster.start(1);
    let (b, _) = cluster.start(2);
    cluster.net.set_cut(&a, true);
    cluster.net.set_cut(&b, true);
    for number in 0..1200 {
        let deadline = clock::Instant::now() + SECOND;
        let (left, right) = (
            params(number * 2, number * 2),
            params(number * 2 + 1, number * 2 + 1),
        );
        tokio::join!(a.claim(left, deadline), b.claim(right, deadline));
        clock::sleep(SECOND / 10).await;
    }
    let head = cluster.memory.get("claims/0/head").await.unwrap().unwrap();
    let head: laburnumcart::claim::record::Head = serde_json::from_str(&head.value).unwrap();
    // Each takeover costs a replay.
    assert!(head.epoch < 20, "{head:?}");
}

//! Content that may have crashed targets, as one agent treats it.

use std::time;

use laburnumcart::{
    bundle::Kind,
    facts, id, suspects, unit,
    verdict::{
        Reason,
        Verdict, //
    },
};
use laburnumcart_wire::{
    agent::{
        AgentClient,
        Heartbeat,
        Report, //
    },
    stage,
};

use crate::{
    fixture::{
        self,
        Connection,
        bounded,
        refusal, //
    },
    target::{
        Finish,
        Mode,
        Target, //
    },
};

const QUARANTINE: unit::Period = unit::Period::from_secs(600);

/// Returns the fact of a crash elsewhere of a target that ran this content.
fn crash(ran: &[u128]) -> facts::Crash {
    suspects::crash_fact(ran.iter().map(|print| id::Fingerprint(*print)), QUARANTINE)
}

fn call(lane: &Connection, print: u128) -> stage::Call {
    stage::Call {
        fingerprint: id::Fingerprint(print),
        idempotent: true,
        ..lane.call()
    }
}

/// Tells the agent of crashes, as an entry does before it sends a suspect.
async fn tell(lane: &Connection, crashes: Vec<facts::Crash>) {
    let facts = facts::Facts {
        crashes,
        ..Default::default()
    };
    let beat = Heartbeat {
        peer: None,
        session: lane.session,
        facts: Some(facts),
    };
    bounded(lane.client.beat(beat)).await.unwrap();
}

/// Asks the agent for its state and for facts that it has not told yet.
async fn report(lane: &Connection) -> Report {
    let beat = Heartbeat {
        peer: None,
        session: lane.session,
        facts: None,
    };
    bounded(lane.client.beat(beat)).await.unwrap()
}

/// Returns the content that is suspected of each crash.
fn suspected(report: &Report) -> Vec<Vec<id::Fingerprint>> {
    let crashes = report.facts.crashes.iter();
    crashes.map(|crash| crash.suspects.clone()).collect()
}

/// Waits until the agent has this many attempts that wait.
async fn wait_queued(agent: &laburnumcart_agent::agent::Agent, count: usize) {
    bounded(async {
        while agent.shared().scheduler().queued_count() != count {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// Two requests ran on a target that crashed elsewhere, and both are sent here at once. They run
/// one after the other, so that a second crash would tell which it was; an innocent request does
/// not wait. What completes is cleared, and all that hear of it treat it as any other.
#[tokio::test(flavor = "multi_thread")]
async fn suspects_run_one_at_a_time_and_are_cleared() {
    let target = Target::start(Mode::Hold).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let lane = fixture::Sender::new(agent.addr()).connect().await;
    let fact = crash(&[1, 2]);
    tell(&lane, vec![fact.clone()]).await;
    let calls = [1, 2, 9].map(|print| call(&lane, print));
    let innocent = calls[2].attempt.to_string();
    let story = async {
        // The innocent request and one of the suspects run side by side; the other suspect waits.
        target.wait_seen(2).await;
        wait_queued(&agent, 1).await;
        let seen = target.seen();
        assert!(seen.iter().any(|seen| seen.attempt == innocent));
        target.release();
        target.wait_seen(3).await;
        target.release();
    };
    let runs = futures_util::future::join_all(calls.each_ref().map(|call| lane.run(call)));
    let (ends, ()) = bounded(async { tokio::join!(runs, story) }).await;
    for (_, state) in ends {
        assert!(matches!(state, stage::State::Done(_)), "{state:?}");
    }
    // A connection is sent all facts at its start.
    let cleared = bounded(async {
        loop {
            let observer = fixture::Sender::new(agent.addr()).connect().await;
            let cleared = observer.report.facts.cleared;
            if cleared.len() == 2 {
                return cleared;
            }
        }
    });
    assert!(cleared.await.iter().all(|cleared| cleared.crash == fact.id));
}

/// A suspect waits while another runs, and news of a second crash comes in which it had a part. It
/// is refused as "not run" as soon as the other has ended, and does not wait for its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn held_suspect_is_refused_once_it_is_quarantined() {
    let target = Target::start(Mode::Hold).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let lane = fixture::Sender::new(agent.addr()).connect().await;
    tell(&lane, vec![crash(&[1, 2])]).await;
    let (first, second) = (call(&lane, 1), call(&lane, 2));
    let story = async {
        target.wait_seen(1).await;
        wait_queued(&agent, 1).await;
        tell(&lane, vec![crash(&[2])]).await;
        target.release();
    };
    let one = lane.run(&first);
    let two = async {
        target.wait_seen(1).await;
        let begun = tokio::time::Instant::now();
        let (_, state) = lane.run(&second).await;
        // Half of the time it had: far more than the news take, far less than its deadline.
        assert!(begun.elapsed() < second.remaining.0 / 2);
        state
    };
    let ((_, one), two, ()) = bounded(async { tokio::join!(one, two, story) }).await;
    assert!(matches!(one, stage::State::Done(_)), "{one:?}");
    let refusal = refusal(&two);
    assert_eq!(
        (refusal.verdict, refusal.reason),
        (Verdict::NotRun, Reason::Quarantined)
    );
    assert_eq!(target.seen().len(), 1);
}

/// A target crashes; the sender of the attempt that ran there is told that it may have run. In that
/// moment it must be able to learn of the crash: it sends the content to another target at once.
#[tokio::test(flavor = "multi_thread")]
async fn crash_is_a_fact_before_its_attempt_fails() {
    let target = Target::start(Mode::Hold).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let lane = fixture::Sender::new(agent.addr()).connect().await;
    let poison = call(&lane, 3);
    let run = lane.run(&poison);
    let crash = async {
        target.wait_seen(1).await;
        target.stop().await;
    };
    let ((_, state), ()) = bounded(async { tokio::join!(run, crash) }).await;
    assert_eq!(refusal(&state).reason, Reason::TargetFailed);
    let report = report(&lane).await;
    assert_eq!(suspected(&report), [[id::Fingerprint(3)]]);
    assert!(!report.ready);
}

/// A target crashes, is noticed to be down, and is back under a new boot. The life that is seen then
/// comes of the crash that is known: nothing that runs on it is ended or suspected.
#[tokio::test(flavor = "multi_thread")]
async fn one_crash_counts_once() {
    let target = Target::start(Mode::Hold).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let lane = fixture::Sender::new(agent.addr()).connect().await;
    let (addr, poison) = (target.addr, call(&lane, 4));
    let run = lane.run(&poison);
    let crash = async {
        target.wait_seen(1).await;
        target.stop().await;
    };
    bounded(async { tokio::join!(run, crash) }).await;
    let shared = agent.shared();
    assert_eq!(shared.counters.crashes.get(), 1);
    let target = bounded(Target::start_at(addr, Mode::Status(200, ""))).await;
    target.reboot();
    bounded(target.wait_looks(3)).await;
    let (_, state) = bounded(lane.run(&call(&lane, 5))).await;
    assert!(matches!(state, stage::State::Done(_)), "{state:?}");
    assert_eq!(shared.counters.crashes.get(), 1);
}

/// A look that was answered before the target crashed explains no attempt that the crash failed.
#[tokio::test(flavor = "multi_thread")]
async fn crash_is_a_fact_although_an_earlier_look_found_the_target_well() {
    let target = Target::start(Mode::Stream(Vec::new(), Finish::Cut)).await;
    let agent = fixture::start(target.addr, Kind::Engine).await;
    let lane = fixture::Sender::new(agent.addr()).connect().await;
    let poison = call(&lane, 6);
    let run = lane.run(&poison);
    let crash = async {
        target.wait_seen(1).await;
        target.hold_looks();
        target.wait_looks(1).await;
        target.release();
        while !agent.shared().scheduler().has_unexplained() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        target.release_look();
        target.wait_looks(1).await;
        target.stop().await;
    };
    let ((_, state), ()) = bounded(async { tokio::join!(run, crash) }).await;
    assert_eq!(refusal(&state).reason, Reason::TargetFailed);
    assert_eq!(suspected(&report(&lane).await), [[id::Fingerprint(6)]]);
}

//! Attempts in doubt after a lost connection, and queries that resolve them.

use laburnumcart::{
    bundle::Kind,
    id::Incarnation,
    verdict::{
        Reason,
        Verdict, //
    },
};
use laburnumcart_wire::{
    agent::{
        self,
        AgentClient, //
    },
    stage::{
        Assembler,
        Cancel,
        State, //
    },
};
use rstest::rstest;

use crate::{
    fixture::{
        self,
        Sender,
        bounded,
        code,
        refusal, //
    },
    target::{
        Finish,
        Mode,
        Target, //
    },
};

/// If a delayed call started after a query was answered "not run", the stage would run twice.
#[tokio::test(flavor = "multi_thread")]
async fn late_call_never_starts() {
    let target = Target::start(Mode::Status(200, "")).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let sender = Sender::new(agent.addr());
    let old = sender.connect().await;
    let call = old.call();
    let new = sender.connect().await;
    let answer = bounded(new.client.query(new.query(&call, 0)))
        .await
        .unwrap();
    let proof = refusal(&answer.state);
    assert_eq!(
        (proof.verdict, proof.reason),
        (Verdict::NotRun, Reason::Lost)
    );
    // The call arrives over the old session; the sender may have retried elsewhere by now.
    let (_, state) = bounded(old.run(&call)).await;
    let late = refusal(&state);
    assert_eq!(
        (late.verdict, late.reason),
        (Verdict::NotRun, Reason::Fenced)
    );
    assert!(target.seen().is_empty());
}

/// "Not run" would be false over a fenced session or the sending one: the attempt may still arrive.
#[tokio::test(flavor = "multi_thread")]
async fn query_proves_nothing_over_a_wrong_session() {
    let target = Target::start(Mode::Status(200, "")).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let sender = Sender::new(agent.addr());
    let first = sender.connect().await;
    let call = first.call();
    let same = bounded(first.client.query(first.query(&call, 0))).await;
    assert_eq!(code(same), agent::INVALID);
    let _second = sender.connect().await;
    let mut late = first.query(&call, 0);
    late.sent = 0;
    let late = bounded(first.client.query(late)).await;
    assert_eq!(code(late), agent::FENCED);
    let beat = agent::Heartbeat {
        peer: None,
        session: first.session,
        facts: None,
    };
    assert_eq!(code(bounded(first.client.beat(beat)).await), agent::FENCED);
}

/// A stream whose connection is lost must resume at the first missing piece and repeat no piece.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumes_over_a_new_connection() {
    let target = Target::start(Mode::Stream(vec!["a", "b", "c"], Finish::Whole)).await;
    let agent = fixture::start(target.addr, Kind::Engine).await;
    let sender = Sender::new(agent.addr());
    let old = sender.connect().await;
    let call = old.call();
    let mut assembler = Assembler::default();
    let first = bounded(old.client.start(call.clone())).await.unwrap();
    assembler.push(&first.chunks[0]).unwrap();
    drop(old);
    target.release();
    let new = sender.connect().await;
    let mut progress = bounded(new.client.query(new.query(&call, assembler.next_number())))
        .await
        .unwrap();
    let end = bounded(async {
        loop {
            for chunk in &progress.chunks {
                assembler.push(chunk).unwrap();
            }
            if let State::Done(end) = progress.state {
                return end;
            }
            let next = new.next(&call, assembler.next_number());
            progress = new.client.next(next).await.unwrap();
        }
    })
    .await;
    assert_eq!(assembler.finish(&end).unwrap(), "abc");
    assert_eq!(target.seen().len(), 1);
}

/// The connection is lost after the stage ended; its result is kept and read over a new connection.
#[tokio::test(flavor = "multi_thread")]
async fn kept_result_is_fetched() {
    let target = Target::start(Mode::Status(200, "")).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let sender = Sender::new(agent.addr());
    let old = sender.connect().await;
    let call = old.call();
    bounded(old.run(&call)).await;
    drop(old);
    let new = sender.connect().await;
    let kept = bounded(new.client.query(new.query(&call, 0)))
        .await
        .unwrap();
    assert_eq!(kept.chunks[0].text, r#"{"echo":{"n":7}}"#);
    assert!(matches!(kept.state, State::Done(_)));
    assert_eq!(target.seen().len(), 1);
}

/// A call repeated over a new session must join its running attempt, or the stage would run twice.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_call_joins_running_attempt() {
    let target = Target::start(Mode::Hold).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let sender = Sender::new(agent.addr());
    let old = sender.connect().await;
    let call = old.call();
    let started = tokio::spawn(async move { old.client.start(call).await });
    bounded(target.wait_seen(1)).await;
    let seen = target.seen().remove(0);
    let new = sender.connect().await;
    let mut again = new.call();
    again.attempt = seen.attempt.parse().unwrap();
    again.request = seen.request.parse().unwrap();
    target.release();
    let (text, _) = bounded(new.run(&again)).await;
    assert_eq!(text, r#"{"echo":{"n":7}}"#);
    bounded(started).await.unwrap().unwrap();
    assert_eq!(target.seen().len(), 1);
}

/// A new agent process does not know its predecessor's attempts, which does not prove "not run".
#[tokio::test(flavor = "multi_thread")]
async fn replaced_agent_proves_nothing() {
    let target = Target::start(Mode::Status(200, "")).await;
    let first = fixture::start(target.addr, Kind::Pool).await;
    let addr = first.addr();
    let sender = Sender::new(addr);
    let old = sender.connect().await;
    let call = old.call();
    bounded(old.run(&call)).await;
    let cancel = Cancel {
        attempt: call.attempt,
    };
    bounded(old.client.cancel(cancel)).await.unwrap();
    drop(old);
    bounded(first.stop()).await;
    let _second = bounded(fixture::replace(addr, target.addr, Kind::Pool)).await;
    let new = sender.connect().await;
    assert_ne!(new.report.incarnation, call.incarnation);
    let answer = bounded(new.client.query(new.query(&call, 0)))
        .await
        .unwrap();
    let doubt = refusal(&answer.state);
    assert_eq!(
        (doubt.verdict, doubt.reason),
        (Verdict::MayHaveRun, Reason::WrongIncarnation)
    );
    // A late call to the old incarnation is refused.
    let mut late = call.clone();
    late.session = new.session;
    let (_, state) = bounded(new.run(&late)).await;
    let late = refusal(&state);
    assert_eq!(
        (late.verdict, late.reason),
        (Verdict::NotRun, Reason::WrongIncarnation)
    );
    // The new incarnation proves nothing either: it knows no session of the lane that is this old.
    let mut query = new.query(&call, 0);
    query.incarnation = new.report.incarnation;
    let answer = bounded(new.client.query(query)).await.unwrap();
    assert_eq!(refusal(&answer.state).verdict, Verdict::MayHaveRun);
    assert_eq!(target.seen().len(), 1);
}

/// Calls on a lane without `hello`, or with a session number above the open one, are refused.
#[rstest]
#[case(0)]
#[case(1)]
#[tokio::test(flavor = "multi_thread")]
async fn unknown_session_is_fenced(#[case] ahead: u64) {
    let target = Target::start(Mode::Status(200, "")).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let lane = Sender::new(agent.addr()).connect().await;
    let mut call = lane.call();
    call.session.number += ahead;
    if ahead == 0 {
        call.session.lane = Incarnation::random();
    }
    let (_, state) = bounded(lane.run(&call)).await;
    assert_eq!(refusal(&state).reason, Reason::Fenced);
    assert!(target.seen().is_empty());
}

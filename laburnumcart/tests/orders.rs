//! Orders under takeovers, pauses and targets that ignore the number.

use laburnumcart::{
    bundle::Orders as Fencing,
    id::Term,
    orders::{
        Reconciler,
        Step, //
    },
};
use rstest::rstest;
use tokio::time::{
    self,
    Duration,
    Instant, //
};

const LIMIT: Duration = Duration::from_secs(5);

fn orders(fencing: Fencing) -> Reconciler {
    let mut orders = Reconciler::new();
    orders.set_wanted(fencing, ["new".into()], LIMIT);
    orders.set_loaded(["old".into()]);
    orders
}

fn give(orders: &mut Reconciler, term: Term, now: Instant) -> (u64, Vec<String>) {
    if orders.step(now) == Step::Confirm {
        orders.confirm_term(term, now);
    }
    match orders.step(now) {
        Step::Send(order) => (order.number.sequence, order.load),
        other => panic!("no order: {other:?}"),
    }
}

#[rstest]
#[case(Fencing::Fenced)]
#[case(Fencing::Unfenced)]
#[tokio::test(start_paused = true)]
async fn no_order_without_term(#[case] fencing: Fencing) {
    assert_eq!(orders(fencing).step(Instant::now()), Step::Idle);
}

#[tokio::test(start_paused = true)]
async fn no_order_to_a_service_without() {
    let mut orders = orders(Fencing::None);
    orders.acquire_term(Term(1), Instant::now());
    assert_eq!(orders.step(Instant::now()), Step::Idle);
}

#[tokio::test(start_paused = true)]
async fn fenced_target_is_ordered_at_once() {
    let mut orders = orders(Fencing::Fenced);
    orders.acquire_term(Term(7), Instant::now());
    assert!(
        matches!(orders.step(Instant::now()), Step::Send(order) if order.number.term == Term(7))
    );
    assert_eq!(
        orders.step(Instant::now()),
        Step::Idle,
        "one order at a time"
    );
}

/// The operator sees the target take the new model only after the order limit. A predecessor may be
/// paused in the middle of an order; one that was sent before the takeover has ended by then.
#[tokio::test(start_paused = true)]
async fn unfenced_target_is_waited_for() {
    let mut orders = orders(Fencing::Unfenced);
    let start = Instant::now();
    orders.acquire_term(Term(2), start);
    assert_eq!(orders.step(start), Step::Wait(start + LIMIT));
    time::advance(LIMIT - Duration::from_millis(1)).await;
    assert_eq!(orders.step(Instant::now()), Step::Wait(start + LIMIT));
    time::advance(Duration::from_millis(1)).await;
    assert_eq!(give(&mut orders, Term(2), Instant::now()).0, 1);
}

/// The target keeps the successor's state. The old agent read its term, was paused, and resumes
/// when the term has gone to another; it must read again before it orders.
#[tokio::test(start_paused = true)]
async fn paused_agent_confirms_again() {
    let mut orders = orders(Fencing::Unfenced);
    orders.acquire_term(Term(2), Instant::now());
    time::advance(LIMIT).await;
    assert_eq!(orders.step(Instant::now()), Step::Confirm);
    orders.confirm_term(Term(2), Instant::now());
    time::advance(LIMIT).await;
    assert_eq!(orders.step(Instant::now()), Step::Confirm);
    orders.confirm_term(Term(3), Instant::now());
    assert_eq!(orders.step(Instant::now()), Step::Idle);
    assert!(orders.is_superseded());
}

/// The target ends with the successor's models. An order of the old agent arrives after the
/// successor's own; the state is polled, found wrong and put back.
#[tokio::test(start_paused = true)]
async fn late_order_is_put_right() {
    let mut orders = orders(Fencing::Unfenced);
    orders.acquire_term(Term(3), Instant::now());
    time::advance(LIMIT).await;
    give(&mut orders, Term(3), Instant::now());
    orders.record_completed();
    assert_eq!(orders.step(Instant::now()), Step::Confirm);
    orders.confirm_term(Term(3), Instant::now());
    orders.set_loaded(["new".into()]);
    assert!(orders.is_settled());
    assert_eq!(orders.step(Instant::now()), Step::Idle);
    orders.set_loaded(["old".into()]);
    let (sequence, load) = give(&mut orders, Term(3), Instant::now());
    assert_eq!((sequence, load), (2, vec!["new".to_owned()]));
}

/// No second order goes out on top of one whose effect is not yet seen.
#[tokio::test(start_paused = true)]
async fn state_is_read_after_an_order() {
    let mut orders = orders(Fencing::Fenced);
    orders.acquire_term(Term(1), Instant::now());
    assert!(matches!(orders.step(Instant::now()), Step::Send(_)));
    orders.record_completed();
    assert_eq!(orders.step(Instant::now()), Step::Idle);
}

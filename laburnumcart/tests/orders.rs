//! Orders under takeovers, pauses and targets that ignore the fencing number.

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

fn send_order(orders: &mut Reconciler, term: Term, now: Instant) -> (u64, Vec<String>) {
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
async fn service_without_orders_gets_none() {
    let mut orders = orders(Fencing::None);
    orders.acquire_term(Term(1), Instant::now());
    assert_eq!(orders.step(Instant::now()), Step::Idle);
}

#[tokio::test(start_paused = true)]
async fn fenced_target_gets_an_order_at_once() {
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

/// An order of a paused predecessor may still be in flight until it times out with the order limit.
#[tokio::test(start_paused = true)]
async fn unfenced_target_gets_no_order_within_the_order_limit() {
    let mut orders = orders(Fencing::Unfenced);
    let start = Instant::now();
    orders.acquire_term(Term(2), start);
    assert_eq!(orders.step(start), Step::Wait(start + LIMIT));
    time::advance(LIMIT - Duration::from_millis(1)).await;
    assert_eq!(orders.step(Instant::now()), Step::Wait(start + LIMIT));
    time::advance(Duration::from_millis(1)).await;
    assert_eq!(send_order(&mut orders, Term(2), Instant::now()).0, 1);
}

/// While an agent is paused, another one may acquire its target; its next order would be outdated.
#[tokio::test(start_paused = true)]
async fn paused_agent_confirms_its_term_again() {
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

/// If an order of the previous agent takes effect late, the wanted models must be loaded again.
#[tokio::test(start_paused = true)]
async fn late_order_is_reverted() {
    let mut orders = orders(Fencing::Unfenced);
    orders.acquire_term(Term(3), Instant::now());
    time::advance(LIMIT).await;
    send_order(&mut orders, Term(3), Instant::now());
    orders.record_completed();
    assert_eq!(orders.step(Instant::now()), Step::Confirm);
    orders.confirm_term(Term(3), Instant::now());
    orders.set_loaded(["new".into()]);
    assert!(orders.is_settled());
    assert_eq!(orders.step(Instant::now()), Step::Idle);
    // The late order takes effect.
    orders.set_loaded(["old".into()]);
    let (sequence, load) = send_order(&mut orders, Term(3), Instant::now());
    assert_eq!((sequence, load), (2, vec!["new".to_owned()]));
}

#[tokio::test(start_paused = true)]
async fn no_order_before_the_effect_of_the_last_is_known() {
    let mut orders = orders(Fencing::Fenced);
    orders.acquire_term(Term(1), Instant::now());
    assert!(matches!(orders.step(Instant::now()), Step::Send(_)));
    orders.record_completed();
    assert_eq!(orders.step(Instant::now()), Step::Idle);
}

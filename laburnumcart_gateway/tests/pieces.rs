//! Charges of repeated pieces from the grant of the repeat to its arrival.

use std::sync::Arc;

use laburnumcart::{
    batch,
    id, //
};
use laburnumcart_gateway::{
    budgets::{
        self,
        pieces::{
            CallEnd,
            PieceSends, //
        }, //
    },
    metrics,
    settings,
    view, //
};
use rstest::rstest;
use tokio::time::Instant;

/// What happens to a piece whose repeat was granted.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Its call ends, and the piece is done.
    Ends(End),
    /// Its call ends, and the piece waits again; a further repeat is granted.
    Requeued(End),
    /// Its call ends, and the piece waits again without a further charge.
    Waits(End),
    /// Its job ends while it waits.
    JobEnds,
    /// The target of an earlier call that was given up answers something else.
    Answers(&'static str),
}

#[derive(Clone, Copy, Debug)]
enum End {
    Arrived,
    GivenUp(&'static str),
    Unsent,
}

impl From<End> for CallEnd {
    fn from(end: End) -> Self {
        match end {
            End::Arrived => Self::Arrived,
            End::GivenUp(name) => Self::GivenUp(life(name)),
            End::Unsent => Self::Unsent,
        }
    }
}

fn life(name: &str) -> id::TargetLife {
    id::TargetLife {
        name: name.parse().unwrap(),
        life: id::Life(1),
    }
}

/// Returns the charges that count, and how many of them are held.
fn usage(budgets: &budgets::Budgets, service: &id::ServiceName) -> [u32; 2] {
    let usage = budgets.with_budget(service, |budget, now| budget.usage(now));
    [usage.spent, usage.held]
}

// A charge that ends too soon lets repeats exceed the bound; one that never ends denies all others.
#[rstest]
#[case::waits(End::Arrived, &[], [1, 1])]
#[case::arrives(End::Arrived, &[Step::Ends(End::Arrived)], [1, 0])]
#[case::never_sent(End::Arrived, &[Step::JobEnds], [0, 0])]
#[case::unsent(End::Arrived, &[Step::Waits(End::Unsent)], [1, 1])]
#[case::unsent_and_over(End::Arrived, &[Step::Ends(End::Unsent)], [0, 0])]
#[case::repeated_twice(End::Arrived, &[Step::Requeued(End::Arrived), Step::Ends(End::Arrived)], [2, 0])]
#[case::first_given_up(End::GivenUp("a"), &[Step::Ends(End::Arrived)], [1, 1])]
#[case::first_settled(End::GivenUp("a"), &[Step::Answers("a"), Step::Ends(End::Arrived)], [1, 0])]
#[case::settled_later(End::GivenUp("a"), &[Step::Ends(End::Arrived), Step::Answers("a")], [1, 0])]
#[case::settled_elsewhere(End::GivenUp("a"), &[Step::Ends(End::Arrived), Step::Answers("b")], [1, 1])]
#[case::given_up_and_over(End::GivenUp("a"), &[Step::JobEnds], [0, 0])]
#[case::repeat_given_up(End::Arrived, &[Step::Ends(End::GivenUp("b"))], [1, 1])]
#[case::repeat_settled(End::Arrived, &[Step::Ends(End::GivenUp("b")), Step::Answers("b")], [1, 0])]
#[case::both_given_up(
    End::GivenUp("a"),
    &[Step::Requeued(End::GivenUp("b")), Step::Ends(End::Arrived)],
    [2, 2]
)]
#[case::both_settled(
    End::GivenUp("a"),
    &[Step::Requeued(End::GivenUp("b")), Step::Answers("b"), Step::Ends(End::Arrived), Step::Answers("a")],
    [2, 0]
)]
#[tokio::test(start_paused = true)]
async fn a_charge_lasts_until_its_piece_has_arrived(
    #[case] first: End,
    #[case] steps: &[Step],
    #[case] expected: [u32; 2],
) {
    let service: id::ServiceName = "encode".parse().unwrap();
    let view = Arc::new(view::View::default());
    let bounds = settings::Bounds {
        retry_ratio: 1.0,
        ..settings::Bounds::default()
    };
    let budgets = budgets::Budgets::new(bounds, view, metrics::Metrics::default());
    (0..10).for_each(|_| budgets.record_request(&service));
    let grant = || {
        let repeat = budgets::Repeat {
            attempt: "attempt-1",
            service: &service,
            kind: budgets::RepeatKind::Pieces,
            count: 1,
        };
        assert!(budgets.try_spend(&repeat));
    };
    let piece = (batch::JobKey::default(), 0);
    let mut sends = PieceSends::new(budgets.clone(), service.clone());
    grant();
    sends.charge(piece, "attempt-1", &first.into());
    for step in steps {
        match *step {
            Step::Ends(end) => {
                let repeated = sends.take(piece, &life("c")).unwrap();
                sends.end_call(piece, repeated, &end.into(), false);
            }
            Step::Requeued(end) | Step::Waits(end) => {
                let repeated = sends.take(piece, &life("c")).unwrap();
                sends.end_call(piece, repeated, &end.into(), true);
                if matches!(step, Step::Requeued(_)) {
                    grant();
                    sends.charge(piece, "attempt-1", &end.into());
                }
            }
            Step::JobEnds => sends.end_job(piece.0),
            Step::Answers(name) => budgets.settle(&life(name), Instant::now()),
        }
    }
    assert_eq!(usage(&budgets, &service), expected);
}

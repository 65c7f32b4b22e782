//! The table of attempts: life cycles, bounds, and results read in any sequence of breaks.

use laburnumcart::{
    attempts::{
        Descriptor, //
        Expired,
        Limits,
        PositionError,
        State,
        Table,
    },
    id::{
        AttemptId,
        Checksum,
        Incarnation,
        RequestId, //
    },
    verdict::{
        Reason,
        Refusal,
        Verdict, //
    },
};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::{
    self,
    Duration,
    Instant, //
};

const RETENTION: Duration = Duration::from_secs(60);
const ID: AttemptId = AttemptId(7);

fn table() -> Table<()> {
    Table::new(Limits {
        retention: RETENTION,
        bytes: 1000,
        attempts: 2,
    })
}

fn ticket(id: AttemptId) -> Descriptor {
    let now = Instant::now();
    Descriptor {
        request: RequestId(1),
        attempt: id,
        lane: Incarnation(3),
        session: 4,
        arrived: now,
        deadline: now + Duration::from_secs(10),
    }
}

fn running() -> Table<()> {
    let mut table = table();
    assert!(table.admit(ticket(ID), ()).unwrap());
    assert!(table.mark_running(ID, Instant::now()));
    table
}

fn state(table: &Table<()>) -> State {
    table.read_chunks(ID, 0, 1000).unwrap().unwrap().state
}

#[derive(Clone, Copy, Debug)]
enum End {
    Whole,
    Failed,
    Proven,
}

/// Ends the attempt and returns the verdict, `None` if its result is whole.
fn end(table: &mut Table<()>, how: End) -> Option<Verdict> {
    let now = Instant::now();
    let refusal = Refusal::not_run(Reason::Overloaded);
    let ended = match how {
        End::Whole => table.finish(ID, now),
        End::Failed => table.fail(ID, Reason::TargetFailed, now),
        End::Proven => table.refuse(ID, refusal, true, now),
    };
    assert!(ended);
    match state(table) {
        State::Done(_) => None,
        State::Refused(refusal) => Some(refusal.verdict),
        other => panic!("not ended: {other:?}"),
    }
}

#[rstest]
#[case(End::Whole, None)]
#[case(End::Failed, Some(Verdict::MayHaveRun))]
#[case(End::Proven, Some(Verdict::NotRun))]
#[tokio::test(start_paused = true)]
async fn verdict_follows_from_the_end(#[case] how: End, #[case] verdict: Option<Verdict>) {
    let mut table = running();
    assert_eq!(end(&mut table, how), verdict);
    assert!(!table.mark_running(ID, Instant::now()), "an end is final");
    assert!(!table.fail(ID, Reason::Lost, Instant::now()));
    assert!(!table.push(ID, "late"));
    assert!(
        !table.admit(ticket(ID), ()).unwrap(),
        "a duplicate never starts"
    );
}

/// A queued attempt ends as "not run" whatever cause is given; a running one can't be refused
/// without the target's word.
#[tokio::test(start_paused = true)]
async fn refusal_needs_a_proof() {
    let mut table = table();
    table.admit(ticket(ID), ()).unwrap();
    assert!(!table.fail(ID, Reason::TargetFailed, Instant::now()));
    let wrong = Refusal::may_have_run(Reason::Leaving);
    assert!(table.refuse(ID, wrong, false, Instant::now()));
    let proven = Refusal::not_run(Reason::Leaving);
    assert_eq!(state(&table), State::Refused(proven));
    let mut table = running();
    assert!(!table.refuse(ID, proven, false, Instant::now()));
    assert_eq!(state(&table), State::Running);
}

/// What is forgotten unacknowledged is named if it may have run, so that it is not denied later.
#[rstest]
#[case(End::Whole, true)]
#[case(End::Failed, true)]
#[case(End::Proven, false)]
#[tokio::test(start_paused = true)]
async fn retention(#[case] how: End, #[case] named: bool) {
    let mut table = running();
    table.push(ID, "text");
    end(&mut table, how);
    time::advance(RETENTION - Duration::from_millis(1)).await;
    assert_eq!(table.expire(Instant::now()), []);
    assert_eq!(table.len(), 1);
    time::advance(Duration::from_millis(1)).await;
    let forgotten = Expired {
        lane: Incarnation(3),
        session: 4,
    };
    let expected: Vec<_> = named.then_some(forgotten).into_iter().collect();
    assert_eq!(table.expire(Instant::now()), expected);
    assert!(table.is_empty() && table.bytes() == 0);
}

/// What its sender has settled is forgotten at once, or when it ends, and is not named.
#[rstest]
#[case::after_the_end(true)]
#[case::before_the_end(false)]
#[tokio::test(start_paused = true)]
async fn release(#[case] ended: bool) {
    let mut table = running();
    table.push(ID, "text");
    if ended {
        table.finish(ID, Instant::now());
    }
    table.forget(ID);
    assert_eq!(table.is_empty(), ended);
    if !ended {
        assert!(table.fail(ID, Reason::Cancelled, Instant::now()));
    }
    assert!(table.is_empty() && table.bytes() == 0);
}

/// The sender sees the end mark although it has acknowledged the last chunk before.
#[tokio::test(start_paused = true)]
async fn end_is_seen_after_the_last_acknowledgement() {
    let mut table = running();
    table.push(ID, "a");
    table.acknowledge(ID, 1);
    table.finish(ID, Instant::now());
    table.acknowledge(ID, 1);
    let view = table.read_chunks(ID, 1, 1000).unwrap().unwrap();
    assert!(matches!(view.state, State::Done(end) if end.count == 1));
    assert_eq!(
        table.read_chunks(ID, 0, 1000),
        Some(Err(PositionError::Past))
    );
    assert_eq!(
        table.read_chunks(ID, 2, 1000),
        Some(Err(PositionError::Ahead))
    );
}

#[tokio::test(start_paused = true)]
async fn bounds() {
    let mut table = running();
    let overloaded = Err(Refusal::not_run(Reason::Overloaded));
    table.push(ID, &"x".repeat(1000));
    assert_eq!(table.admit(ticket(AttemptId(8)), ()), overloaded);
    table.acknowledge(ID, 1);
    assert_eq!(table.admit(ticket(AttemptId(8)), ()), Ok(true));
    assert_eq!(table.admit(ticket(AttemptId(9)), ()), overloaded);
}

/// One step of a reader and of the target that it reads from.
#[derive(Clone, Debug)]
enum Step {
    /// The target sends a piece.
    Piece(String),
    /// The reader asks for what it lacks, which acknowledges what it has.
    Next(usize),
    /// The answer is lost on its way.
    Lost(usize),
    /// An acknowledgement from before comes late.
    Late(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        "[a-zé]{0,4}".prop_map(Step::Piece),
        (1usize..20).prop_map(Step::Next),
        (1usize..20).prop_map(Step::Lost),
        (0u32..10).prop_map(Step::Late),
    ]
}

/// What a reader has received.
#[derive(Default)]
struct Reader {
    text: String,
    next: u32,
}

impl Reader {
    fn read(&mut self, table: &mut Table<()>, limit: usize) -> State {
        table.acknowledge(ID, self.next);
        let view = table.read_chunks(ID, self.next, limit).unwrap().unwrap();
        for chunk in view.chunks {
            assert_eq!(chunk.number, self.next);
            self.text.push_str(&chunk.text);
            self.next += 1;
        }
        view.state
    }
}

proptest! {
    /// Whatever is lost or late, the reader gets all pieces in order, each once, and an end that
    /// agrees with them; nothing stays charged.
    #[test]
    fn any_sequence_reads_the_whole(steps in proptest::collection::vec(step(), 0..60)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let _guard = runtime.enter();
        let mut table = running();
        let (mut sent, mut reader) = (String::new(), Reader::default());
        for step in steps {
            match step {
                Step::Piece(text) => {
                    table.push(ID, &text);
                    sent.push_str(&text);
                }
                Step::Next(limit) => {
                    prop_assert_eq!(reader.read(&mut table, limit), State::Running);
                }
                Step::Lost(limit) => {
                    table.acknowledge(ID, reader.next);
                    table.read_chunks(ID, reader.next, limit).unwrap().unwrap();
                }
                Step::Late(number) => table.acknowledge(ID, number.min(reader.next)),
            }
        }
        table.finish(ID, Instant::now());
        let end = loop {
            if let State::Done(end) = reader.read(&mut table, 3) {
                break end;
            }
        };
        prop_assert_eq!(&reader.text, &sent);
        prop_assert_eq!(end.count, reader.next);
        let hash = xxhash_rust::xxh3::xxh3_128(sent.as_bytes());
        prop_assert_eq!(end.checksum, Checksum(hash));
        table.forget(ID);
        prop_assert_eq!(table.bytes(), 0);
    }
}

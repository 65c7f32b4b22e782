//! Table of attempts: life cycle, limits, and reading of results under lost and late messages.

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

fn descriptor(id: AttemptId) -> Descriptor {
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

fn running_table() -> Table<()> {
    let mut table = table();
    assert!(table.admit(descriptor(ID), ()).unwrap());
    assert!(table.mark_running(ID, Instant::now()));
    table
}

fn read_state(table: &Table<()>) -> State {
    table.read_chunks(ID, 0, 1000).unwrap().unwrap().state
}

#[derive(Clone, Copy, Debug)]
enum End {
    Finished,
    Failed,
    Unstarted,
}

/// Ends the attempt and returns its verdict, `None` if its result is complete.
fn end_attempt(table: &mut Table<()>, how: End) -> Option<Verdict> {
    let now = Instant::now();
    let refusal = Refusal::not_run(Reason::Overloaded);
    let ended = match how {
        End::Finished => table.finish(ID, now),
        End::Failed => table.fail(ID, Reason::TargetFailed, now),
        End::Unstarted => table.refuse(ID, refusal, true, now),
    };
    assert!(ended);
    match read_state(table) {
        State::Done(_) => None,
        State::Refused(refusal) => Some(refusal.verdict),
        other => panic!("not ended: {other:?}"),
    }
}

#[rstest]
#[case(End::Finished, None)]
#[case(End::Failed, Some(Verdict::MayHaveRun))]
#[case(End::Unstarted, Some(Verdict::NotRun))]
#[tokio::test(start_paused = true)]
async fn end_determines_the_verdict(#[case] how: End, #[case] verdict: Option<Verdict>) {
    let mut table = running_table();
    assert_eq!(end_attempt(&mut table, how), verdict);
    assert!(!table.mark_running(ID, Instant::now()), "an end is final");
    assert!(!table.fail(ID, Reason::Lost, Instant::now()));
    assert!(!table.push(ID, "late"));
    assert!(
        !table.admit(descriptor(ID), ()).unwrap(),
        "a duplicate never starts"
    );
}

/// A running attempt that is refused without proof from its target could be executed twice.
#[tokio::test(start_paused = true)]
async fn only_a_proof_refuses_a_running_attempt() {
    let mut table = table();
    table.admit(descriptor(ID), ()).unwrap();
    assert!(!table.fail(ID, Reason::TargetFailed, Instant::now()));
    // A queued attempt ends as not run, whatever the refusal says.
    let wrong = Refusal::may_have_run(Reason::Leaving);
    assert!(table.refuse(ID, wrong, false, Instant::now()));
    let proven = Refusal::not_run(Reason::Leaving);
    assert_eq!(read_state(&table), State::Refused(proven));
    let mut table = running_table();
    assert!(!table.refuse(ID, proven, false, Instant::now()));
    assert_eq!(read_state(&table), State::Running);
}

/// Expired attempts that may have run are returned, so that they are not reported as not run later.
#[rstest]
#[case(End::Finished, true)]
#[case(End::Failed, true)]
#[case(End::Unstarted, false)]
#[tokio::test(start_paused = true)]
async fn ended_attempts_expire(#[case] how: End, #[case] returned: bool) {
    let mut table = running_table();
    table.push(ID, "text");
    end_attempt(&mut table, how);
    time::advance(RETENTION - Duration::from_millis(1)).await;
    assert_eq!(table.expire(Instant::now()), []);
    assert_eq!(table.len(), 1);
    time::advance(Duration::from_millis(1)).await;
    let expired = Expired {
        lane: Incarnation(3),
        session: 4,
    };
    let expected: Vec<_> = returned.then_some(expired).into_iter().collect();
    assert_eq!(table.expire(Instant::now()), expected);
    assert!(table.is_empty() && table.bytes() == 0);
}

/// A settled attempt is dropped at once, or when it ends.
#[rstest]
#[case::after_the_end(true)]
#[case::before_the_end(false)]
#[tokio::test(start_paused = true)]
async fn settled_attempt_is_dropped(#[case] ended: bool) {
    let mut table = running_table();
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

#[tokio::test(start_paused = true)]
async fn end_mark_is_readable_after_the_last_acknowledgement() {
    let mut table = running_table();
    table.push(ID, "a");
    table.acknowledge(ID, 1);
    table.finish(ID, Instant::now());
    table.acknowledge(ID, 1);
    let progress = table.read_chunks(ID, 1, 1000).unwrap().unwrap();
    assert!(matches!(progress.state, State::Done(end) if end.count == 1));
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
async fn full_table_admits_nothing() {
    let mut table = running_table();
    let overloaded = Err(Refusal::not_run(Reason::Overloaded));
    table.push(ID, &"x".repeat(1000));
    assert_eq!(table.admit(descriptor(AttemptId(8)), ()), overloaded);
    table.acknowledge(ID, 1);
    assert_eq!(table.admit(descriptor(AttemptId(8)), ()), Ok(true));
    assert_eq!(table.admit(descriptor(AttemptId(9)), ()), overloaded);
}

/// One event at the reader or at the target that it reads from.
#[derive(Clone, Debug)]
enum Step {
    /// The target sends a chunk.
    Chunk(String),
    /// The reader requests the next chunks, which acknowledges those it has.
    Read(usize),
    /// The response to such a request is lost.
    LostResponse(usize),
    /// An earlier acknowledgement arrives late.
    LateAcknowledgement(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        "[a-zé]{0,4}".prop_map(Step::Chunk),
        (1usize..20).prop_map(Step::Read),
        (1usize..20).prop_map(Step::LostResponse),
        (0u32..10).prop_map(Step::LateAcknowledgement),
    ]
}

/// Reader of a result.
#[derive(Default)]
struct Reader {
    text: String,
    next: u32,
}

impl Reader {
    fn read(&mut self, table: &mut Table<()>, limit: usize) -> State {
        table.acknowledge(ID, self.next);
        let progress = table.read_chunks(ID, self.next, limit).unwrap().unwrap();
        for chunk in progress.chunks {
            assert_eq!(chunk.number, self.next);
            self.text.push_str(&chunk.text);
            self.next += 1;
        }
        progress.state
    }
}

proptest! {
    /// Whatever is lost or late, the reader gets each chunk once and in order, and memory is freed.
    #[test]
    fn any_sequence_reads_the_whole(steps in proptest::collection::vec(step(), 0..60)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let _guard = runtime.enter();
        let mut table = running_table();
        let (mut sent, mut reader) = (String::new(), Reader::default());
        for step in steps {
            match step {
                Step::Chunk(text) => {
                    table.push(ID, &text);
                    sent.push_str(&text);
                }
                Step::Read(limit) => {
                    prop_assert_eq!(reader.read(&mut table, limit), State::Running);
                }
                Step::LostResponse(limit) => {
                    table.acknowledge(ID, reader.next);
                    table.read_chunks(ID, reader.next, limit).unwrap().unwrap();
                }
                Step::LateAcknowledgement(number) => table.acknowledge(ID, number.min(reader.next)),
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

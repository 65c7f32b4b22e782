//! Changes of the head: one winner for each generation, and lost responses.

use laburnumcart::{
    head,
    id,
    signing, //
};

type Publish = head::Publish<u64>;

fn digest(text: &str) -> signing::Digest {
    signing::Digest::of(text.as_bytes())
}

fn accept(text: &str, nonce: u128) -> Publish {
    let mut publish = Publish::new(head::Change::Accept(text.into()), id::Nonce(nonce));
    publish.record_created();
    publish
}

/// Builds a head by accepting `texts` in turn, with their indices as nonces.
fn head_of(texts: &[&str]) -> head::Head {
    let mut head = None;
    for (number, text) in texts.iter().enumerate() {
        let nonce = id::Nonce(number as u128);
        head = Some(head::Head::after(head.as_ref(), digest(text), nonce));
    }
    head.expect("at least one text")
}

fn head_to_write(publish: &Publish) -> head::Head {
    match publish.step() {
        head::Step::Write { value, .. } => head::Head::parse(&value).expect("a head"),
        step => panic!("expected a write, not {step:?}"),
    }
}

#[test]
fn the_object_exists_before_the_head_names_it() {
    let mut publish = Publish::new(head::Change::Accept("a".into()), id::Nonce(7));
    assert!(matches!(publish.step(), head::Step::Create { .. }));
    // Only the creation of the object leads to the next step.
    publish.record_read(None);
    publish.record_write(head::WriteOutcome::Applied);
    assert!(matches!(publish.step(), head::Step::Create { .. }));
    publish.record_created();
    assert_eq!(publish.step(), head::Step::Read);
    publish.record_read(None);
    let head = head_to_write(&publish);
    assert_eq!(head.accepted.generation, id::Generation(1));
    publish.record_write(head::WriteOutcome::Applied);
    assert_eq!(publish.step(), head::Step::Done(Ok(head)));
}

/// If the response is lost, the nonce in the head proves the change, also as an earlier generation.
#[test]
fn lost_response_is_settled_by_the_nonce() {
    for others in 0..3_u128 {
        let base = head_of(&["a"]);
        let mut publish = accept("b", 100);
        publish.record_read(Some((1, base)));
        let own = head_to_write(&publish);
        publish.record_write(head::WriteOutcome::Unknown);
        assert!(publish.is_in_doubt());
        let mut now = own.clone();
        for other in 0..others {
            now = head::Head::after(Some(&now), digest("c"), id::Nonce(200 + other));
        }
        publish.record_read(Some((5, now)));
        assert_eq!(publish.step(), head::Step::Done(Ok(own)));
    }
}

/// The first write may still arrive; the conflict of the repeated one is then not a failure.
#[test]
fn lost_write_is_repeated_with_the_same_version() {
    let base = head_of(&["a"]);
    let mut publish = accept("b", 100);
    publish.record_read(Some((1, base.clone())));
    let first = publish.step();
    publish.record_write(head::WriteOutcome::Unknown);
    publish.record_read(Some((1, base)));
    assert_eq!(publish.step(), first);
    assert!(publish.is_in_doubt(), "the first write may still arrive");
    let own = head_to_write(&publish);
    publish.record_write(head::WriteOutcome::Conflict);
    assert!(
        publish.is_in_doubt(),
        "the first write may have caused the conflict"
    );
    publish.record_read(Some((2, own.clone())));
    assert_eq!(publish.step(), head::Step::Done(Ok(own)));
    assert!(!publish.is_in_doubt());
}

/// The loser of two concurrent changes must learn the generation that the winner accepted.
#[test]
fn conflict_reports_the_winner() {
    let base = head_of(&["a"]);
    let mut loser = accept("b", 100);
    loser.record_read(Some((1, base.clone())));
    let winner = head::Head::after(Some(&base), digest("c"), id::Nonce(200));
    // A third change is accepted before the loser reads the head again.
    let later = head::Head::after(Some(&winner), digest("d"), id::Nonce(300));
    loser.record_write(head::WriteOutcome::Conflict);
    loser.record_read(Some((3, later)));
    let winner = winner.accepted;
    let error = head::PublishError::Conflict { winner };
    assert_eq!(loser.step(), head::Step::Done(Err(error)));
}

/// An older head than the one read before the write does not prove that the write failed.
#[test]
fn stale_read_settles_nothing() {
    let old = head_of(&["a"]);
    let base = head::Head::after(Some(&old), digest("b"), id::Nonce(1));
    let mut publish = accept("c", 100);
    publish.record_read(Some((2, base)));
    publish.record_write(head::WriteOutcome::Unknown);
    publish.record_read(Some((1, old)));
    assert_eq!(publish.step(), head::Step::Read);
    assert!(publish.is_in_doubt());
}

#[test]
fn outcome_is_unknown_after_too_many_later_generations() {
    let mut publish = accept("b", 100);
    publish.record_read(Some((1, head_of(&["a"]))));
    publish.record_write(head::WriteOutcome::Unknown);
    let now = head_of(&["x"; 2 * head::EARLIER_MAX]);
    let error = head::PublishError::Forgotten {
        now: now.accepted.generation,
    };
    publish.record_read(Some((9, now)));
    assert_eq!(publish.step(), head::Step::Done(Err(error)));
}

#[test]
fn rollback_is_a_new_generation_with_an_older_digest() {
    let change = head::Change::Restore(id::Generation(1));
    let mut publish = Publish::new(change, id::Nonce(100));
    publish.record_read(Some((1, head_of(&["a", "b", "c"]))));
    let head = head_to_write(&publish);
    assert_eq!(head.accepted.generation, id::Generation(4));
    assert_eq!(head.accepted.digest, digest("a"));
}

#[test]
fn only_a_listed_generation_can_be_restored() {
    let wanted = id::Generation(9);
    let mut publish = Publish::new(head::Change::Restore(wanted), id::Nonce(100));
    publish.record_read(Some((1, head_of(&["a"]))));
    let error = head::PublishError::NoSuchGeneration { wanted };
    assert_eq!(publish.step(), head::Step::Done(Err(error)));
}

#[test]
fn change_of_an_unexpected_generation_fails() {
    let mut publish = accept("b", 100).with_base(id::Generation(4));
    publish.record_read(Some((1, head_of(&["a"]))));
    let error = head::PublishError::Moved {
        expected: id::Generation(4),
        found: id::Generation(1),
    };
    assert_eq!(publish.step(), head::Step::Done(Err(error)));
}

#[test]
fn a_view_only_goes_up() {
    let heads = head_of(&["a", "b", "c"]);
    let mut seen: Vec<_> = heads.history().copied().collect();
    seen.reverse();
    let mut view = head::View::default();
    assert!(view.advance(seen[1]));
    assert!(!view.advance(seen[0]), "a stale read");
    assert!(!view.advance(seen[1]), "a replay");
    assert!(view.advance(seen[2]));
    assert_eq!(view.generation(), id::Generation(3));
}

#[test]
fn stored_form_round_trips_and_is_bounded() {
    let head = head_of(&["x"; 2 * head::EARLIER_MAX]);
    assert_eq!(head.earlier.len(), head::EARLIER_MAX);
    assert_eq!(head::Head::parse(&head.to_text()), Ok(head));
    assert_eq!(head::Head::parse("{}"), Err(head::Malformed));
    // Other programs may leave out the empty list of earlier generations.
    let text = format!(
        r#"{{"generation":1,"digest":"{}","nonce":"{:032x}"}}"#,
        digest("a"),
        5
    );
    let head = head::Head::parse(&text).expect("a head");
    assert_eq!(head.accepted.generation, id::Generation(1));
}

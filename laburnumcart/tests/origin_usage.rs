//! Versions at which a stream without a record may have begun, by the notes of all instances.

use laburnumcart::{
    id,
    origin::usage::{
        Instance,
        Possible,
        Usage, //
    }, //
};
use rstest::rstest;

const FIRST: id::Incarnation = id::Incarnation(1);
const SECOND: id::Incarnation = id::Incarnation(2);
const THIRD: id::Incarnation = id::Incarnation(3);

fn service() -> id::ServiceName {
    "desk".parse().unwrap()
}

fn used(mut usage: Usage, versions: &[&str]) -> Usage {
    for version in versions {
        usage.add(&service(), Some(version.parse().unwrap()));
    }
    usage
}

fn possible(instances: &[Instance<'_>]) -> String {
    Possible::of(instances.iter().copied(), &[service()]).label()
}

// A version that appears after a kill of all processes widens what is possible before it.
#[test]
fn a_version_noted_after_the_kill_is_not_possible() {
    let before = used(Usage::after(FIRST, None, None), &["v1"]);
    let after = used(
        Usage::after(SECOND, Some(FIRST), Some(&before)),
        &["v1", "v2"],
    );
    let instance = Instance {
        entry: Some(SECOND),
        note: Some(&after),
        answered: Some(SECOND),
    };
    assert_eq!(possible(&[instance]), "v1");
}

// A process that is gone may have used what another one noted as well.
#[rstest]
#[case::it_answered(Some(SECOND), "v1")]
#[case::it_did_not_answer(None, "v1,v2")]
#[case::its_successor_answered(Some(THIRD), "v1,v2")]
fn what_a_process_used_that_does_not_answer_is_possible(
    #[case] answered: Option<id::Incarnation>,
    #[case] expected: &str,
) {
    let before = used(Usage::after(FIRST, None, None), &["v1"]);
    let after = used(Usage::after(SECOND, Some(FIRST), Some(&before)), &["v2"]);
    let instance = Instance {
        entry: Some(SECOND),
        note: Some(&after),
        answered,
    };
    assert_eq!(possible(&[instance]), expected);
}

// An older build, or a process that ended before its first note, used versions that no note names.
#[rstest]
#[case::no_note(Some(SECOND), false)]
#[case::note_of_an_earlier_process(Some(SECOND), true)]
fn an_entry_without_its_note_leaves_any_version(
    #[case] entry: Option<id::Incarnation>,
    #[case] has_note: bool,
) {
    let before = used(Usage::after(FIRST, None, None), &["v1"]);
    let note = has_note.then_some(&before);
    let instance = Instance {
        entry,
        note,
        answered: None,
    };
    assert_eq!(possible(&[instance]), "any");
    let next = Usage::after(THIRD, entry, note);
    assert_eq!(next.earlier, None);
}

#[test]
fn a_process_that_has_not_entered_yet_continues_the_note_before_it() {
    let first = used(Usage::after(FIRST, None, None), &["v1"]);
    let second = used(Usage::after(SECOND, Some(FIRST), Some(&first)), &["v2"]);
    let third = Usage::after(THIRD, Some(FIRST), Some(&second));
    let instance = Instance {
        entry: Some(FIRST),
        note: Some(&third),
        answered: Some(THIRD),
    };
    assert_eq!(possible(&[instance]), "v1,v2");
}

#[test]
fn a_version_that_is_not_stated_is_not_the_only_one() {
    let mut usage = Usage::after(FIRST, None, None);
    usage.add(&service(), None);
    let instance = Instance {
        entry: Some(FIRST),
        note: Some(&usage),
        answered: None,
    };
    let found = Possible::of([instance], &[service()]);
    assert_eq!(found.sole(), None);
}

//! Hand-written visitors compared with derived implementations.

use laburnumcart::{
    bundle,
    id,
    unit,
    verdict, //
};
use laburnumcart_wire::{
    lane,
    stage, //
};
use proptest::prelude::*;
use rstest::rstest;
use serde::{
    Deserialize,
    Serialize, //
    de,
};
use serde_json::value;

/// [`stage::Call`] with a derived implementation.
#[derive(Debug, Serialize, Deserialize)]
struct Call {
    session: lane::Session,
    incarnation: id::Incarnation,
    request: id::RequestId,
    attempt: id::AttemptId,
    team: id::TeamName,
    pipeline: id::PipelineName,
    stage: id::StageName,
    generation: id::Generation,
    fingerprint: id::Fingerprint,
    priority: bundle::Priority,
    idempotent: bool,
    remaining: unit::Period,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    traceparent: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    received: Option<String>,
    body: Box<value::RawValue>,
}

/// [`stage::Progress`] with a derived implementation.
#[derive(Debug, Serialize, Deserialize)]
struct Progress {
    request: id::RequestId,
    attempt: id::AttemptId,
    #[serde(default)]
    chunks: Vec<Chunk>,
    state: stage::State,
}

/// [`stage::Chunk`] with a derived implementation.
#[derive(Debug, Serialize, Deserialize)]
struct Chunk {
    number: u32,
    text: String,
}

prop_compose! {
    fn call()(
        numbers in any::<(u64, u64, u64, u128, u128, u64, u128)>(),
        names in ("[a-z0-9][a-z0-9._-]{0,20}", "[a-z]{1,9}", "[a-z]{1,9}"),
        priority in prop_oneof![
            Just(bundle::Priority::High),
            Just(bundle::Priority::Normal),
            Just(bundle::Priority::Low),
        ],
        idempotent: bool,
        millis in 0u64..100_000,
        traceparent in proptest::option::of("[0-9a-f-]{0,55}"),
        received in proptest::option::of(".{0,40}"),
        body in ".{0,40}",
    ) -> Call {
        let (lane, number, incarnation, request, attempt, generation, fingerprint) = numbers;
        Call {
            session: lane::Session { lane: id::Incarnation(lane), number },
            incarnation: id::Incarnation(incarnation),
            request: id::RequestId(request),
            attempt: id::AttemptId(attempt),
            team: names.0.parse().unwrap(),
            pipeline: names.1.parse().unwrap(),
            stage: names.2.parse().unwrap(),
            generation: id::Generation(generation),
            fingerprint: id::Fingerprint(fingerprint),
            priority,
            idempotent,
            remaining: unit::Period::from_millis(millis),
            traceparent,
            received,
            body: value::to_raw_value(&serde_json::json!({ "input": body })).unwrap(),
        }
    }
}

fn state() -> impl Strategy<Value = stage::State> {
    let end = (any::<u32>(), any::<u128>(), 0u64..9999, 0u64..9999);
    prop_oneof![
        Just(stage::State::Queued),
        Just(stage::State::Running),
        Just(stage::State::Refused(
            verdict::Refusal::not_run(verdict::Reason::Overloaded)
                .retry_after(unit::Period::from_millis(250)),
        )),
        end.prop_map(
            |(count, checksum, busy, queued)| stage::State::Done(stage::End {
                count,
                checksum: id::Checksum(checksum),
                busy: unit::Period::from_millis(busy),
                queued: unit::Period::from_millis(queued),
            })
        ),
    ]
}

prop_compose! {
    fn progress()(
        ids in any::<(u128, u128)>(),
        chunks in proptest::collection::vec((any::<u32>(), ".{0,20}"), 0..6),
        state in state(),
    ) -> Progress {
        let chunk = |(number, text)| Chunk { number, text };
        Progress {
            request: id::RequestId(ids.0),
            attempt: id::AttemptId(ids.1),
            chunks: chunks.into_iter().map(chunk).collect(),
            state,
        }
    }
}

/// Parses a message and returns it serialized again.
fn round_trip<T: Serialize + de::DeserializeOwned>(json: &str) -> String {
    let value: T = serde_json::from_str(json).unwrap();
    serde_json::to_string(&value).unwrap()
}

/// Checks that both types reject the text, or both accept it with the same result.
fn check_same<T, U>(json: &str) -> Result<(), TestCaseError>
where
    T: Serialize + de::DeserializeOwned,
    U: Serialize + de::DeserializeOwned,
{
    let ours = serde_json::from_str::<T>(json).map(|v| serde_json::to_string(&v).unwrap());
    let derived = serde_json::from_str::<U>(json).map(|v| serde_json::to_string(&v).unwrap());
    prop_assert_eq!(ours.ok(), derived.ok(), "{}", json);
    Ok(())
}

proptest! {
    #[test]
    fn call_matches_the_derived_implementation(call in call()) {
        let json = serde_json::to_string(&call).unwrap();
        prop_assert_eq!(round_trip::<stage::Call>(&json), json);
    }

    #[test]
    fn progress_matches_the_derived_implementation(progress in progress()) {
        let json = serde_json::to_string(&progress).unwrap();
        prop_assert_eq!(round_trip::<stage::Progress>(&json), json);
    }

    /// A call with one field missing, duplicate, null or unknown is treated as by the derived one.
    #[test]
    fn changed_call_matches_the_derived_implementation(
        call in call(),
        index in 0usize..15,
        mutation in 0usize..4,
    ) {
        let json = serde_json::to_string(&call).unwrap();
        let value: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(&json).unwrap();
        let field = |(k, v): (&String, &serde_json::Value)| format!("{k:?}:{v}");
        let mut fields: Vec<String> = value.iter().map(field).collect();
        let index = index % fields.len();
        let name = value.keys().nth(index).unwrap();
        match mutation {
            0 => drop(fields.remove(index)),
            1 => fields.push(fields[index].clone()),
            2 => fields[index] = format!("{name:?}:null"),
            _ => fields.insert(index, r#""later":{"a":[1,null]}"#.into()),
        }
        check_same::<stage::Call, Call>(&format!("{{{}}}", fields.join(",")))?;
    }

    #[test]
    fn bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = serde_json::from_slice::<stage::Call>(&bytes);
        let _ = serde_json::from_slice::<stage::Progress>(&bytes);
        let _ = serde_json::from_slice::<stage::Chunk>(&bytes);
    }

    /// Messages with a single wrong byte get past the checks that stop random bytes.
    #[test]
    fn one_wrong_byte_never_panics(call in call(), index: usize, byte: u8) {
        let mut json = serde_json::to_vec(&call).unwrap();
        let index = index % json.len();
        json[index] = byte;
        let _ = serde_json::from_slice::<stage::Call>(&json);
    }
}

#[rstest]
#[case::missing(r#"{"number":1}"#, "missing field `text`")]
#[case::doubled(r#"{"number":1,"text":"a","number":2}"#, "duplicate field `number`")]
#[case::sequence(r#"[1,"a"]"#, "invalid type: sequence")]
#[case::range(r#"{"number":4294967296,"text":"a"}"#, "invalid value")]
fn invalid_chunk_is_rejected(#[case] json: &str, #[case] message: &str) {
    let error = serde_json::from_str::<stage::Chunk>(json)
        .unwrap_err()
        .to_string();
    assert!(error.contains(message), "{error}");
}

#[test]
fn unknown_field_is_ignored() {
    let json = r#"{"later":{"deep":[1]},"number":1,"text":"a"}"#;
    let chunk: stage::Chunk = serde_json::from_str(json).unwrap();
    assert_eq!(
        chunk,
        stage::Chunk {
            number: 1,
            text: "a".into()
        }
    );
}

#[rstest]
#[case(stage::CHUNKS_MAX, true)]
#[case(stage::CHUNKS_MAX + 1, false)]
fn chunks_are_bounded(#[case] count: usize, #[case] accepted: bool) {
    let chunk = |n| stage::Chunk {
        number: n as u32,
        text: String::new(),
    };
    let progress = stage::Progress {
        request: id::RequestId(1),
        attempt: id::AttemptId(2),
        chunks: (0..count).map(chunk).collect(),
        state: stage::State::Running,
    };
    let json = serde_json::to_string(&progress).unwrap();
    assert_eq!(
        serde_json::from_str::<stage::Progress>(&json).is_ok(),
        accepted
    );
}

//! Validation of documents, with the paths of all faults.

use std::collections;

use proptest::prelude::*;
use rstest::rstest;
use serde::Deserialize;

use laburnumcart::{
    bundle,
    document,
    signing,
    unit, //
};

#[derive(Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)]
struct Sample {
    address: String,
    #[serde(default)]
    limits: collections::BTreeMap<String, Limit>,
    #[serde(default)]
    small: Option<u8>,
    #[serde(default)]
    key: Option<signing::Keys>,
}

#[derive(Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)]
struct Limit {
    size: unit::Size,
    wait: Option<unit::Period>,
    rate: Option<unit::Rate>,
    share: Option<unit::Share>,
}

fn faults(text: &str) -> Vec<String> {
    match document::parse::<Sample>(text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.to_string().lines().map(String::from).collect(),
    }
}

#[test]
fn every_fault_is_reported_with_its_path() {
    let text = r#"{"adress": "x", "small": 300, "limits": {
        "a": {"size": "12 stone", "wait": "3 fortnights"},
        "b-c": {"sise": "1MiB", "rate": "5", "share": "101%"},
        "d": {"size": 5}}}"#;
    let expected = [
        "$.address: missing",
        r#"$.adress: unknown key; the nearest known one is "address""#,
        r#"$.limits.a.size: invalid size: "12 stone"; an example is "64KiB""#,
        r#"$.limits.a.wait: invalid period: "3 fortnights"; an example is "250ms""#,
        r#"$.limits.d.size: value is not of type "string""#,
        r#"$.limits["b-c"].rate: invalid rate: "5"; an example is "600/s""#,
        r#"$.limits["b-c"].share: invalid share: "101%"; an example is "25%""#,
        r#"$.limits["b-c"].sise: unknown key; the nearest known one is "size""#,
        r#"$.limits["b-c"].size: missing"#,
        "$.small: value is greater than the maximum of 255",
    ];
    assert_eq!(faults(text), expected);
}

/// Of two teams under one name, a parser that keeps the last would silently drop the first.
#[test]
fn repeated_keys_are_faults() {
    let text = r#"{"address": "x", "limits": {"a": {"size": "1B", "size": "2B"}}, "address": "y"}"#;
    let expected = [
        "$.address: key occurs twice",
        "$.limits.a.size: key occurs twice",
    ];
    assert_eq!(faults(text), expected);
}

#[rstest]
#[case::empty("")]
#[case::cut(r#"{"address": "x""#)]
#[case::more(r#"{"address": "x"} true"#)]
fn invalid_json_is_a_single_fault(#[case] text: &str) {
    let faults = faults(text);
    assert_eq!(faults.len(), 1);
    assert!(faults[0].starts_with("$: not valid JSON: "), "{faults:?}");
}

#[test]
fn faults_do_not_quote_values_that_may_be_secret() {
    let text = r#"{"address": ["hunter2"], "small": "hunter2", "key": "hunter2"}"#;
    let faults = faults(text);
    assert_eq!(faults.len(), 3);
    assert!(!faults.concat().contains("hunter2"), "{faults:?}");
}

#[test]
fn values_with_units_are_parsed() {
    let text = r#"{"address": "x", "limits": {"a":
        {"size": "1.5KiB", "wait": "80us", "rate": "0.5/s", "share": "12.5%"}}}"#;
    let sample: Sample = document::parse(text).expect("no faults");
    let limit = &sample.limits["a"];
    assert_eq!(limit.size, unit::Size(1536));
    assert_eq!(limit.share, Some(unit::Share(0.125)));
}

proptest! {
    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in ".{0,200}") {
        let _ = document::parse::<bundle::Bundle>(&text);
    }

    #[test]
    fn parsing_arbitrary_json_does_not_panic(text in r#"[\[\]{}",:a-z0-9 .%]{0,200}"#) {
        let _ = document::parse::<Sample>(&text);
    }

    #[test]
    fn values_with_units_round_trip(bytes in 0u64..1 << 53, micros in 0u64..1 << 50) {
        let size = unit::Size(bytes);
        prop_assert_eq!(size.to_string().parse(), Ok(size));
        let period = unit::Period(std::time::Duration::from_micros(micros));
        prop_assert_eq!(period.to_string().parse(), Ok(period));
    }
}

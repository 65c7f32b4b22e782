//! Settings: all faults are reported at once, with their paths and without secrets.

use laburnumcart_daemon::{
    logs,
    settings, //
};
use proptest::prelude::*;
use rstest::rstest;
use serde::Deserialize;

const KEY: &str = "PUAXw+hDiVqStwqnTRt+vJyYLM8uxJaMwM1V8Sr0Zgw=";
const SECOND: &str = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=";

#[derive(Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
struct Sample {
    fleet: settings::Fleet,
    platform: settings::Platform,
    #[serde(default)]
    telemetry: settings::Telemetry,
}

impl settings::Settings for Sample {
    fn telemetry(&self) -> &settings::Telemetry {
        &self.telemetry
    }

    fn check(&self) -> Vec<settings::Fault> {
        self.fleet.check("$.fleet")
    }
}

fn valid() -> serde_json::Value {
    serde_json::json!({
        "fleet": {
            "secrets": ["a-secret-of-the-fleet"],
            "keys": { "ana": KEY },
            "peers": ["127.0.0.1:7000"],
        },
        "platform": { "address": "127.0.0.1:7100" },
        "telemetry": { "level": "warn" },
    })
}

fn faults(text: &str) -> Vec<String> {
    match settings::parse::<Sample>(text) {
        Err(settings::LoadError::Invalid { faults }) => {
            faults.iter().map(ToString::to_string).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn valid_settings_are_parsed() {
    let sample: Sample = settings::parse(&valid().to_string()).unwrap();
    assert_eq!(sample.telemetry.level, logs::Level::Warn);
    assert_eq!(sample.fleet.signers, 1);
    assert_eq!(sample.fleet.peers[0].port(), 7000);
    assert_eq!(sample.platform.address.port(), 7100);
}

#[test]
fn several_keys_of_a_signer_are_parsed() {
    let mut value = valid();
    value["fleet"]["keys"]["ana"] = format!("{KEY},{SECOND}").into();
    let sample: Sample = settings::parse(&value.to_string()).unwrap();
    assert_eq!(sample.fleet.keys[&"ana".parse().unwrap()].iter().count(), 2);
}

/// All five faults of a file are reported at once, each with its path.
#[test]
fn every_fault_is_reported_in_one_run() {
    let mut value = valid();
    value["fleet"]["secrets"] = serde_json::json!(["short-secret", "a-secret-of-the-fleet"]);
    value["fleet"]["peer"] = serde_json::json!([]);
    value["fleet"]["peers"] = serde_json::json!(["127.0.0.1:7000", "localhost"]);
    value["platform"] = serde_json::json!({});
    value["telemetry"]["level"] = "wran".into();
    let faults = faults(&value.to_string());
    let starts = [
        "$.fleet.peer: unknown key; the nearest known one is \"peers\"",
        "$.fleet.peers[1]: invalid address and port",
        "$.fleet.secrets[0]: ",
        "$.platform.address: missing",
        "$.telemetry.level: must be one of",
    ];
    for start in starts {
        assert!(
            faults.iter().any(|f| f.starts_with(start)),
            "{start}: {faults:?}"
        );
    }
    assert_eq!(faults.len(), starts.len(), "{faults:?}");
}

#[rstest]
#[case("short-secret")]
#[case("a secret with spaces in it")]
fn secret_stays_out_of_faults(#[case] secret: &str) {
    let mut value = valid();
    value["fleet"]["secrets"] = serde_json::json!([secret]);
    let faults = faults(&value.to_string());
    assert!(!faults.concat().contains(secret), "{faults:?}");
    assert!(faults[0].starts_with("$.fleet.secrets[0]"), "{faults:?}");
}

#[test]
fn secret_stays_out_of_debug_output() {
    let sample: Sample = settings::parse(&valid().to_string()).unwrap();
    assert!(!format!("{sample:?}").contains("a-secret-of-the-fleet"));
}

#[rstest]
#[case::no_secret("/fleet/secrets", serde_json::json!([]), "$.fleet.secrets: ")]
#[case::no_key("/fleet/keys", serde_json::json!({}), "$.fleet.signers: must be from 1 to")]
#[case::no_text("/fleet/keys/ana", serde_json::json!([]), "$.fleet.keys.ana: ")]
#[case::bad_key("/fleet/keys/ana", serde_json::json!("abc"), "$.fleet.keys.ana: ")]
#[case::shared("/fleet/keys/bo", serde_json::json!(KEY), "$.fleet.keys.bo: holds a key that ana")]
fn fault_has_its_path(#[case] place: &str, #[case] wrong: serde_json::Value, #[case] start: &str) {
    let mut value = valid();
    let (parent, key) = place.rsplit_once('/').unwrap();
    value.pointer_mut(parent).unwrap()[key] = wrong;
    let faults = faults(&value.to_string());
    assert!(faults[0].starts_with(start), "{faults:?}");
}

#[test]
fn too_many_signers_are_refused() {
    let mut value = valid();
    value["fleet"]["signers"] = 2.into();
    let faults = faults(&value.to_string());
    assert_eq!(
        faults,
        ["$.fleet.signers: must be from 1 to the number of keys, 1"]
    );
}

#[test]
fn error_names_the_missing_file() {
    let error = settings::load::<Sample>("absent/settings.json").unwrap_err();
    assert!(error.to_string().contains("absent/settings.json"));
}

proptest! {
    #[test]
    fn parsing_any_text_does_not_panic(text in ".{0,200}") {
        let _ = settings::parse::<Sample>(&text);
    }

    #[test]
    fn parsing_with_one_changed_byte_does_not_panic(place: usize, byte in 32u8..127) {
        let mut text = valid().to_string().into_bytes();
        let place = place % text.len();
        text[place] = byte;
        let _ = settings::parse::<Sample>(&String::from_utf8(text).unwrap());
    }
}

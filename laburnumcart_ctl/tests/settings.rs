//! Parsers of the settings, the head and envelopes, on corrupted or arbitrary text.

use proptest::prelude::*;

use laburnumcart::{
    document,
    head,
    signing, //
};
use laburnumcart_ctl::settings;

const VALID: &str = r#"{"fleet": {"secrets": ["0123456789abcdef"], "keys":
    {"ana": "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="}, "peers": ["127.0.0.1:7000"]},
    "platform": {"address": "127.0.0.1:7001"}}"#;

/// Generates the valid settings with some bytes replaced.
fn corrupted() -> impl Strategy<Value = String> {
    let bytes = prop::collection::vec((0..VALID.len(), any::<u8>()), 1..4);
    bytes.prop_map(|bytes| {
        let mut text = VALID.as_bytes().to_vec();
        for (at, byte) in bytes {
            text[at] = byte;
        }
        String::from_utf8_lossy(&text).into_owned()
    })
}

#[test]
fn sample_is_valid() {
    document::parse::<settings::Settings>(VALID).expect("no faults");
}

proptest! {
    #[test]
    fn corrupted_settings_are_parsed_or_have_faults(text in corrupted()) {
        if let Err(faults) = document::parse::<settings::Settings>(&text) {
            prop_assert!(!faults.is_empty());
            prop_assert!(!faults.to_string().contains("0123456789abcdef"));
        }
    }

    #[test]
    fn parsers_do_not_panic_on_arbitrary_text(text in r#"[\[\]{}",:a-z0-9]{0,120}"#) {
        let _ = head::Head::parse(&text);
        let _ = signing::Envelope::parse(&text);
    }
}

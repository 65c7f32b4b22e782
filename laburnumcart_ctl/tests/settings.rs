//! Settings and the head as hostile or damaged text.

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

/// A text in which some bytes are replaced.
fn damaged() -> impl Strategy<Value = String> {
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
fn the_sample_is_valid() {
    document::parse::<settings::Settings>(VALID).expect("no faults");
}

proptest! {
    #[test]
    fn damaged_settings_are_read_or_have_faults(text in damaged()) {
        if let Err(faults) = document::parse::<settings::Settings>(&text) {
            prop_assert!(!faults.is_empty());
            prop_assert!(!faults.to_string().contains("0123456789abcdef"));
        }
    }

    #[test]
    fn no_text_makes_the_head_or_an_envelope_panic(text in r#"[\[\]{}",:a-z0-9]{0,120}"#) {
        let _ = head::Head::parse(&text);
        let _ = signing::Envelope::parse(&text);
    }
}

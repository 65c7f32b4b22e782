//! The committed schemas are those of the types.

use rstest::rstest;
use serde_json::Value;

use laburnumcart::{
    bundle,
    document, //
};
use laburnumcart_ctl::settings;

const BUNDLE: &str = include_str!("../../docs/schema/bundle.json");
const SETTINGS: &str = include_str!("../../docs/schema/laburnumctl.json");

/// A difference is mended by `laburnumctl schema bundle > docs/schema/bundle.json` and
/// `laburnumctl schema settings > docs/schema/laburnumctl.json`.
#[rstest]
#[case::bundle(BUNDLE, document::schema::<bundle::Bundle>())]
#[case::settings(SETTINGS, document::schema::<settings::Settings>())]
fn a_committed_schema_has_not_drifted(#[case] committed: &str, #[case] derived: Value) {
    assert_eq!(committed, format!("{derived:#}\n"));
}

//! The committed JSON Schemas match the types.

use rstest::rstest;
use serde_json::Value;

use laburnumcart::{
    bundle,
    document, //
};
use laburnumcart_ctl::settings;

// Updated by `laburnumctl schema bundle > docs/schema/bundle.json`.
const BUNDLE: &str = include_str!("../../docs/schema/bundle.json");
// Updated by `laburnumctl schema settings > docs/schema/laburnumctl.json`.
const SETTINGS: &str = include_str!("../../docs/schema/laburnumctl.json");

#[rstest]
#[case::bundle(BUNDLE, document::schema::<bundle::Bundle>())]
#[case::settings(SETTINGS, document::schema::<settings::Settings>())]
fn committed_schema_matches_the_types(#[case] committed: &str, #[case] derived: Value) {
    assert_eq!(committed, format!("{derived:#}\n"));
}

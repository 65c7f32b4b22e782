//! The committed JSON Schemas match the types.

use rstest::rstest;
use serde_json::Value;

use laburnumcart::{
    bundle,
    document, //
};
use laburnumcart_ctl::settings;

const BUNDLE: &str = include_str!("../../docs/schema/bundle.json");
const SETTINGS: &str = include_str!("../../docs/schema/laburnumctl.json");

/// To update the schemas, run `laburnumctl schema bundle > docs/schema/bundle.json` and
/// `laburnumctl schema settings > docs/schema/laburnumctl.json`.
#[rstest]
#[case::bundle(BUNDLE, document::schema::<bundle::Bundle>())]
#[case::settings(SETTINGS, document::schema::<settings::Settings>())]
fn committed_schema_matches_the_types(#[case] committed: &str, #[case] derived: Value) {
    assert_eq!(committed, format!("{derived:#}\n"));
}

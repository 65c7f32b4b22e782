//! JSON Schemas of bundles and settings files.

use serde_json::Value;

use laburnumcart::{
    bundle,
    document, //
};

/// Returns the name and the schema of each document; they are stored in `docs/schema/<name>.json`.
pub fn all() -> [(&'static str, Value); 5] {
    [
        ("bundle", document::schema::<bundle::Bundle>()),
        (
            "laburnumctl",
            document::schema::<laburnumcart_ctl::settings::Settings>(),
        ),
        (
            "laburnum-entry",
            document::schema::<laburnumcart_entry::settings::Settings>(),
        ),
        (
            "laburnum-agent",
            document::schema::<laburnumcart_agent::settings::Settings>(),
        ),
        (
            "laburnum-gateway",
            document::schema::<laburnumcart_gateway::settings::Settings>(),
        ),
    ]
}

/// Returns the contents of a schema's file.
pub fn text(schema: &Value) -> String {
    format!("{schema:#}\n")
}

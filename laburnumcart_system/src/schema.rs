//! JSON Schemas of everything that operators write.

use serde_json::Value;

use laburnumcart::{
    bundle,
    document, //
};

/// Returns the name of each document and its schema, which `docs/schema/<name>.json` holds.
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

/// Returns the text of a schema as its file holds it.
pub fn text(schema: &Value) -> String {
    format!("{schema:#}\n")
}

//! JSON Schemas of types from other crates, for `#[schemars(with = "…")]`.
//!
//! Faults that the schema catches are all reported in one run; a fault that only the type's own
//! parser catches ends parsing at the first. A schema should therefore be as strict as the parser.

use std::borrow;

use laburnumcart_wire::secret;

/// An IP address and port, such as `10.0.0.1:7000`.
#[derive(Clone, Copy, Debug)]
pub enum Address {}

impl schemars::JsonSchema for Address {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> borrow::Cow<'static, str> {
        "Address".into()
    }

    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({
            "type": "string",
            "format": "socket-address",
            "examples": ["10.0.0.1:7000"],
        })
    }
}

/// Secret shared by the processes of a fleet.
#[derive(Clone, Copy, Debug)]
pub enum SecretText {}

impl schemars::JsonSchema for SecretText {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> borrow::Cow<'static, str> {
        "Secret".into()
    }

    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({
            "type": "string",
            "minLength": secret::SECRET_MIN,
            "maxLength": secret::SECRET_MAX,
            "pattern": "^[!-~]*$",
        })
    }
}

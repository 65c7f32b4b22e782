//! Schemas of values whose types come from elsewhere, for `#[schemars(with = "…")]`.
//!
//! A schema that says all that the type requires lets every fault of a file be reported in one run;
//! what only the type's own parser refuses ends the run at the first.

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

/// A secret of the fleet.
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

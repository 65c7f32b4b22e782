//! Parsing and validation of JSON documents written by operators: settings and bundles.
//!
//! A document is validated against the JSON Schema of its type before it is deserialized, so that
//! all faults are reported together, each with its path.

use std::{
    any,
    collections,
    sync, //
};

use schemars::generate;
use serde::de;
use serde_json::Value;

pub use explain::describe_unknown;
pub use fault::{
    Fault,
    Faults,
    Path, //
};

mod explain;
mod fault;
mod json;

/// Compiled schemas by document type; compiling one takes longer than validating a small document.
static CHECKERS: sync::LazyLock<sync::Mutex<Checkers>> = sync::LazyLock::new(Default::default);

type Checkers = collections::HashMap<any::TypeId, sync::Arc<Checker>>;

/// A compiled schema with its JSON text, from which error messages take the allowed values.
struct Checker {
    schema: Value,
    validator: jsonschema::Validator,
}

/// Returns the JSON Schema of a document type, with all subschemas inlined.
pub fn schema<T: schemars::JsonSchema>() -> Value {
    generate::SchemaSettings::draft2020_12()
        .with(|settings| settings.inline_subschemas = true)
        .into_generator()
        .into_root_schema_for::<T>()
        .to_value()
}

/// Parses a document; the error lists all faults.
pub fn parse<T>(text: &str) -> Result<T, Faults>
where
    T: de::DeserializeOwned + schemars::JsonSchema + 'static,
{
    let (value, mut faults) = json::parse(text)?;
    let checker = checker::<T>();
    for error in checker.validator.iter_errors(&value) {
        explain::explain(&checker.schema, &error, &mut faults);
    }
    if !faults.is_empty() {
        return Err(faults.sorted());
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = Path::from_segments(error.path());
        Faults::single(path, error.into_inner().to_string())
    })
}

/// Returns the compiled schema of `T`.
fn checker<T: schemars::JsonSchema + 'static>() -> sync::Arc<Checker> {
    let mut checkers = CHECKERS.lock().unwrap_or_else(|e| e.into_inner());
    let entry = checkers.entry(any::TypeId::of::<T>());
    entry
        .or_insert_with(|| sync::Arc::new(compile(schema::<T>())))
        .clone()
}

/// Compiles a schema, including the formats of [`explain::FORMATS`].
fn compile(schema: Value) -> Checker {
    let mut options = jsonschema::options().should_validate_formats(true);
    for (name, check) in explain::FORMATS {
        options = options.with_format(*name, move |text: &str| check(text).is_ok());
    }
    let validator = options
        .build(&schema)
        .expect("schema derived from a type is valid");
    Checker { schema, validator }
}

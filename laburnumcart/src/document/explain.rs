//! Messages for schema validation errors, with the allowed values or the nearest known name.

use std::net;

use jsonschema::{
    error, //
    paths,
};
use serde_json::Value;

use super::fault;
use crate::{
    id,
    signing,
    unit, //
};

/// Validator of one text format.
type FormatCheck = fn(&str) -> Result<(), id::ParseError>;

/// Text formats of documents in addition to those of JSON Schema.
pub(super) const FORMATS: &[(&str, FormatCheck)] = &[
    ("size", |text| text.parse::<unit::Size>().map(drop)),
    ("period", |text| text.parse::<unit::Period>().map(drop)),
    ("rate", |text| text.parse::<unit::Rate>().map(drop)),
    ("share", |text| text.parse::<unit::Share>().map(drop)),
    ("socket-address", |text| {
        let address: Result<net::SocketAddr, _> = text.parse();
        let error = |_| id::ParseError::new("address and port", text);
        address.map(drop).map_err(error)
    }),
    ("public-keys", |text| {
        text.parse::<signing::Keys>().map(drop)
    }),
];

/// Minimum similarity, from 0 to 1, at which a name is suggested.
const MIN_SIMILARITY: f64 = 0.6;

/// Adds the faults of one validation error.
pub(super) fn explain(
    schema: &Value,
    error: &jsonschema::ValidationError<'_>,
    faults: &mut fault::Faults,
) {
    use error::ValidationErrorKind as Kind;

    let path = fault::Path::from_location(error.instance_path());
    let parent = parent_schema(schema, error.schema_path());
    match error.kind() {
        Kind::AdditionalProperties { unexpected } => {
            for key in unexpected {
                faults.push(path.key(key), describe_unknown_key(parent, key));
            }
        }
        Kind::Required { property } => {
            let key = property.as_str().unwrap_or_default();
            faults.push(path.key(key), "missing");
        }
        // The types of these formats also have a pattern, for other tools; the error of the format
        // has the better message.
        Kind::Pattern { .. } if has_format(parent) => {}
        Kind::Pattern { .. } => faults.push(path, describe_pattern(parent)),
        Kind::Format { format } => {
            faults.push(path, describe_malformed(format, parent, error.instance()))
        }
        Kind::OneOfNotValid { .. } | Kind::AnyOf { .. } | Kind::Enum { .. } => {
            faults.push(path, describe_choice(parent, error.instance()));
        }
        // The value is masked, as it could be a secret.
        _ => faults.push(path, error.masked().to_string()),
    }
}

/// Returns the schema that holds the keyword at `location`.
fn parent_schema<'a>(schema: &'a Value, location: &paths::Location) -> &'a Value {
    let text = location.as_str();
    let end = text.rfind('/').unwrap_or(0);
    schema.pointer(&text[..end]).unwrap_or(&Value::Null)
}

/// Reports whether a schema has one of [`FORMATS`].
fn has_format(schema: &Value) -> bool {
    let name = schema["format"].as_str();
    FORMATS.iter().any(|(format, _)| Some(*format) == name)
}

/// Describes a key that the schema does not allow.
fn describe_unknown_key(schema: &Value, key: &str) -> String {
    if schema.get("patternProperties").is_some() {
        return "not a valid name (1 to 63 of a-z 0-9 . _ -, starting with a letter or digit)"
            .into();
    }
    let known = schema["properties"].as_object();
    let names = known.into_iter().flatten().map(|(name, _)| name.as_str());
    match nearest(key, names) {
        Some(name) => format!("unknown key; the nearest known one is {name:?}"),
        None => "unknown key".into(),
    }
}

/// Describes a text that does not match its pattern.
fn describe_pattern(schema: &Value) -> String {
    match first_example(schema) {
        Some(example) => format!("malformed; an example is {example}"),
        None => format!("must match {}", schema["pattern"]),
    }
}

/// Describes a text that does not have its format.
fn describe_malformed(format: &str, schema: &Value, found: &Value) -> String {
    let text = found.as_str().unwrap_or_default();
    let check = FORMATS.iter().find(|(name, _)| *name == format);
    let problem = match check.map(|(_, check)| check(text)) {
        Some(Err(error)) => error.to_string(),
        _ => format!("not a valid {format}"),
    };
    match first_example(schema) {
        Some(example) => format!("{problem}; an example is {example}"),
        None => problem,
    }
}

/// Describes a value that is none of the allowed ones.
fn describe_choice(schema: &Value, found: &Value) -> String {
    let names = allowed_texts(schema);
    if names.is_empty() {
        return "does not have an allowed form".into();
    }
    let near = nearest(found.as_str().unwrap_or_default(), names.iter().copied());
    match near {
        Some(name) => format!("must be one of {names:?}; the nearest is {name:?}"),
        None => format!("must be one of {names:?}"),
    }
}

/// Returns the texts that an enumeration allows.
fn allowed_texts(schema: &Value) -> Vec<&str> {
    let mut names = Vec::new();
    for name in schema["enum"].as_array().into_iter().flatten() {
        names.extend(name.as_str());
    }
    for branch in ["oneOf", "anyOf"] {
        for option in schema[branch].as_array().into_iter().flatten() {
            names.extend(option["const"].as_str());
            names.extend(allowed_texts(option));
        }
    }
    names
}

/// Returns the first example of a schema, as JSON text.
fn first_example(schema: &Value) -> Option<String> {
    schema["examples"].get(0).map(Value::to_string)
}

/// Returns the name most similar to `text`, if one is similar enough.
fn nearest<'a>(text: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names
        .map(|name| (strsim::normalized_damerau_levenshtein(text, name), name))
        .filter(|(score, _)| *score >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}

/// Describes a reference to something that does not exist.
pub fn describe_unknown<'a>(
    kind: &str,
    text: &str,
    names: impl Iterator<Item = &'a str>,
) -> String {
    match nearest(text, names) {
        Some(name) => format!("unknown {kind} {text:?}; the nearest known one is {name:?}"),
        None => format!("unknown {kind} {text:?}"),
    }
}

//! Output of a fake target, which depends only on the body of the call.

use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// Length of the prompt prefix of an input without a `prefix` field.
const PREFIX_BYTES: usize = 64;

/// Length of a digest before its encoding as text.
const DIGEST_BYTES: usize = 8;

/// Returns the output of a pool or plain service.
pub fn pool_output(stage: &str, input: &Value, previous: &Value) -> Value {
    json!({
        "stage": stage,
        "input": digest(&input.to_string()),
        "previous": digest(&previous.to_string()),
    })
}

/// Returns the text that an engine generates for `tokens` tokens.
pub fn engine_text(stage: &str, input: &Value, previous: &Value, tokens: u32) -> String {
    engine_pieces(stage, input, previous, tokens).concat()
}

/// Returns the text of each token that an engine streams.
///
/// The first token is the digest of the input, so that the text identifies its request.
pub fn engine_pieces(stage: &str, input: &Value, previous: &Value, tokens: u32) -> Vec<String> {
    let input = digest(&input.to_string());
    let seed = format!("{stage} {input} {}", digest(&previous.to_string()));
    let word = |n| match n {
        0 => input.clone(),
        n => format!(" {}", &digest(&format!("{seed} {n}"))[..6]),
    };
    (0..tokens).map(word).collect()
}

/// Returns the output of an engine in the form that the next stage receives.
pub fn engine_output(stage: &str, input: &Value, previous: &Value, tokens: u32) -> Value {
    json!({ "text": engine_text(stage, input, previous, tokens) })
}

/// Returns the number of tokens to generate: `tokens` of the input, or `default`.
pub fn token_count(input: &Value, default: u32) -> u32 {
    let requested = input.get("tokens").and_then(Value::as_u64);
    requested.and_then(|n| n.try_into().ok()).unwrap_or(default)
}

/// Returns the key of an input's prompt prefix in an engine's cache.
///
/// The prefix is the text field `prefix` of the input, or otherwise the start of its JSON text. The
/// key is the first 16 hexadecimal digits of the prefix's SHA-256.
pub fn prefix_key(input: &Value) -> String {
    if let Some(text) = input.get("prefix").and_then(Value::as_str) {
        return digest(text);
    }
    let text = input.to_string();
    let end = text.floor_char_boundary(PREFIX_BYTES);
    digest(&text[..end])
}

/// Returns the first 16 hexadecimal digits of the SHA-256 of a text.
pub fn digest(text: &str) -> String {
    let hash = Sha256::digest(text.as_bytes());
    hash[..DIGEST_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

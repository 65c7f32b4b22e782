//! What a stand-in target answers: a function of the call's body alone.

use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// Bytes of the input's JSON text that count as its prompt prefix if it names none.
const PREFIX_LEN: usize = 64;

/// Bytes of a digest that are shown.
const DIGEST_LEN: usize = 8;

/// Returns the output of a pool or plain service.
pub fn pool_output(stage: &str, input: &Value, previous: &Value) -> Value {
    json!({
        "stage": stage,
        "input": digest(&input.to_string()),
        "previous": digest(&previous.to_string()),
    })
}

/// Returns the whole text that an engine generates in `tokens` pieces.
pub fn engine_text(stage: &str, input: &Value, previous: &Value, tokens: u32) -> String {
    engine_pieces(stage, input, previous, tokens).concat()
}

/// Returns the pieces of text that an engine streams, one a token.
///
/// The first piece is the digest of the input, so that an answer shows whose it is.
pub fn engine_pieces(stage: &str, input: &Value, previous: &Value, tokens: u32) -> Vec<String> {
    let input = digest(&input.to_string());
    let seed = format!("{stage} {input} {}", digest(&previous.to_string()));
    let word = |n| match n {
        0 => input.clone(),
        n => format!(" {}", &digest(&format!("{seed} {n}"))[..6]),
    };
    (0..tokens).map(word).collect()
}

/// Returns the stage result of an engine: its text as the next stage sees it.
pub fn engine_output(stage: &str, input: &Value, previous: &Value, tokens: u32) -> Value {
    json!({ "text": engine_text(stage, input, previous, tokens) })
}

/// Returns the tokens to generate: the input's number `tokens`, else `default`.
pub fn token_count(input: &Value, default: u32) -> u32 {
    let wanted = input.get("tokens").and_then(Value::as_u64);
    wanted.and_then(|n| n.try_into().ok()).unwrap_or(default)
}

/// Returns the key of an input's prompt prefix in an engine's cache.
///
/// The prefix is the input's text `prefix`, else the start of its JSON text; the key is the first
/// 16 hexadecimal digits of the prefix's SHA-256.
pub fn prefix_key(input: &Value) -> String {
    if let Some(text) = input.get("prefix").and_then(Value::as_str) {
        return digest(text);
    }
    let text = input.to_string();
    let end = text.floor_char_boundary(PREFIX_LEN);
    digest(&text[..end])
}

/// Returns the first 16 hexadecimal digits of the SHA-256 of a text.
pub fn digest(text: &str) -> String {
    let hash = Sha256::digest(text.as_bytes());
    hash[..DIGEST_LEN]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

//! Key of a prompt's prefix, for affinity to the prefix caches of engines.

use serde::Deserialize;
use sha2::{
    Digest,
    Sha256, //
};

/// Bytes of the input's JSON text that serve as the prefix if the input has none.
const DEFAULT_PREFIX_BYTES: usize = 64;

/// Input with an explicit prefix.
#[derive(Deserialize)]
struct Prefixed {
    prefix: String,
}

/// Returns the key of an input, given as JSON text.
///
/// The key is the number given by the first 16 hexadecimal digits of the SHA-256 of the input's
/// text `prefix` or, if it has none, of the first 64 bytes of its JSON text.
///
/// ```
/// use laburnumcart::balancer::prefix;
///
/// let key = prefix::key(r#"{"prefix":"terms of the clinic","question":1}"#);
/// assert_eq!(key, prefix::key(r#"{"question":2,"prefix":"terms of the clinic"}"#));
/// assert_ne!(key, prefix::key(r#"{"question":1}"#));
/// ```
pub fn key(input: &str) -> u64 {
    match parse_prefix(input) {
        Some(input) => digest(&input.prefix),
        None => digest(&input[..input.floor_char_boundary(DEFAULT_PREFIX_BYTES)]),
    }
}

fn parse_prefix(input: &str) -> Option<Prefixed> {
    // Serde would also accept a JSON array as the fields in their order.
    let is_object = input.trim_start().starts_with('{');
    is_object.then(|| serde_json::from_str(input).ok())?
}

fn digest(text: &str) -> u64 {
    let hash = Sha256::digest(text.as_bytes());
    hash.iter()
        .take(8)
        .fold(0, |key, byte| key << 8 | u64::from(*byte))
}

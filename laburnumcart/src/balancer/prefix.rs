//! Key of a prompt's prefix in the caches of engines.

use serde::Deserialize;
use sha2::{
    Digest,
    Sha256, //
};

/// Bytes of the input's JSON text that count as its prefix if it names none.
const LEN: usize = 64;

/// An input that names its prefix.
#[derive(Deserialize)]
struct Named {
    prefix: String,
}

/// Returns the key of an input, given as JSON text.
///
/// It is the number of the first 16 hexadecimal digits of the SHA-256 of the input's text `prefix`
/// or, if it has none, of the first 64 bytes of its JSON text.
///
/// ```
/// use laburnumcart::balancer::prefix;
///
/// let key = prefix::key(r#"{"prefix":"terms of the clinic","question":1}"#);
/// assert_eq!(key, prefix::key(r#"{"question":2,"prefix":"terms of the clinic"}"#));
/// assert_ne!(key, prefix::key(r#"{"question":1}"#));
/// ```
pub fn key(input: &str) -> u64 {
    match named(input) {
        Some(named) => digest(&named.prefix),
        None => digest(&input[..input.floor_char_boundary(LEN)]),
    }
}

fn named(input: &str) -> Option<Named> {
    // A list would be read as the fields in their order.
    let is_object = input.trim_start().starts_with('{');
    is_object.then(|| serde_json::from_str(input).ok())?
}

fn digest(text: &str) -> u64 {
    let hash = Sha256::digest(text.as_bytes());
    hash.iter()
        .take(8)
        .fold(0, |key, byte| key << 8 | u64::from(*byte))
}

//! Shared secrets that processes of one fleet prove to each other.

use std::{
    fmt,
    str, //
};

use serde::{
    Deserialize, //
    de,
};
use subtle::ConstantTimeEq;

use laburnumcart::id;

/// Shortest secret in characters.
pub const SECRET_MIN: usize = 16;

/// Longest secret in characters.
pub const SECRET_MAX: usize = 256;

/// A secret of the fleet, 16 to 256 visible ASCII characters.
///
/// It has no `Display` and its `Debug` shows nothing of it, so that it cannot reach a log line.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Returns the text; for the wire only.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares in a time that depends on the length of `other` only.
    pub fn matches(&self, other: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(other).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl str::FromStr for Secret {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        let fits = (SECRET_MIN..=SECRET_MAX).contains(&text.len());
        if fits && text.bytes().all(|b| b.is_ascii_graphic()) {
            Ok(Self(text.into()))
        } else {
            // The text is left out of the error, as it may be a secret with a slip in it.
            Err(id::ParseError::new(
                "secret (16 to 256 visible characters)",
                "",
            ))
        }
    }
}

impl<'de> Deserialize<'de> for Secret {
    fn deserialize<D: de::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let text = String::deserialize(input)?;
        text.parse().map_err(de::Error::custom)
    }
}

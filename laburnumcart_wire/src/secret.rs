//! Shared secrets by which the processes of a fleet authenticate to each other.

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

/// Minimum length of a secret in characters.
pub const SECRET_MIN: usize = 16;

/// Maximum length of a secret in characters.
pub const SECRET_MAX: usize = 256;

/// A secret of the fleet, 16 to 256 visible ASCII characters.
///
/// It has no `Display` and its `Debug` omits the text, so that it cannot end up in a log.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Returns the text; only for sending it over the wire.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares with `other` in a time that depends only on the length of `other`.
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
        let is_valid_length = (SECRET_MIN..=SECRET_MAX).contains(&text.len());
        if is_valid_length && text.bytes().all(|b| b.is_ascii_graphic()) {
            Ok(Self(text.into()))
        } else {
            // The error omits the text, as it may be a secret with a typing error.
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

//! Keys, signatures and digests, with their text forms.

use std::{
    fmt,
    str, //
};

use base64::{
    Engine,
    prelude::BASE64_STANDARD, //
};
use derive_more::Display;
use ed25519_dalek::Signer;
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::Digest as _;

use crate::id;

/// Implements the serde traits through the text form.
macro_rules! text_serde {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
                out.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                let text = String::deserialize(input)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

/// Decodes a base64 text of exactly `N` bytes; the error does not quote the text.
fn decode_base64<const N: usize>(
    kind: &'static str,
    text: &str,
) -> Result<[u8; N], id::ParseError> {
    let bytes = BASE64_STANDARD.decode(text.trim()).ok();
    bytes
        .and_then(|bytes| bytes.try_into().ok())
        .ok_or_else(|| id::ParseError::new(kind, "…"))
}

/// Public half of a signer's key, written in base64.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct PublicKey(ed25519_dalek::VerifyingKey);

impl PublicKey {
    /// Reports whether this key has signed the message.
    pub(super) fn verify(&self, message: &[u8], signature: &Signature) -> bool {
        self.0.verify_strict(message, &signature.0).is_ok()
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&BASE64_STANDARD.encode(self.0.as_bytes()))
    }
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PublicKey({self})")
    }
}

impl str::FromStr for PublicKey {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        let error = || id::ParseError::new("public key", "…");
        let bytes = decode_base64("public key", text)?;
        let key = ed25519_dalek::VerifyingKey::from_bytes(&bytes).map_err(|_| error())?;
        // A signature that verifies under a key of small order can be made without the secret key.
        if key.is_weak() {
            return Err(error());
        }
        Ok(Self(key))
    }
}

text_serde!(PublicKey);

/// Public keys of one signer, written in base64; two, separated by a comma, during a key rotation.
#[derive(Clone, Debug, Display, Eq, PartialEq, schemars::JsonSchema)]
#[display("{}", join_keys(_0))]
#[schemars(
    with = "String",
    extend(
        "format" = "public-keys",
        "pattern" = r"^[A-Za-z0-9+/]{43}=(,[A-Za-z0-9+/]{43}=)*$",
        "examples" = ["11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="]
    )
)]
pub struct Keys(Vec<PublicKey>);

impl Keys {
    /// Iterates over the keys.
    pub fn iter(&self) -> impl Iterator<Item = &PublicKey> {
        self.0.iter()
    }
}

impl From<PublicKey> for Keys {
    fn from(key: PublicKey) -> Self {
        Self(vec![key])
    }
}

fn join_keys(keys: &[PublicKey]) -> String {
    let texts: Vec<_> = keys.iter().map(PublicKey::to_string).collect();
    texts.join(",")
}

impl str::FromStr for Keys {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        let keys: Result<_, _> = text.split(',').map(str::parse).collect();
        keys.map(Self)
    }
}

text_serde!(Keys);

/// Secret half of a signer's key.
pub struct SecretKey(ed25519_dalek::SigningKey);

impl SecretKey {
    /// Generates a random key.
    pub fn generate() -> Result<Self, getrandom::Error> {
        let mut seed = [0; 32];
        getrandom::fill(&mut seed)?;
        Ok(Self(ed25519_dalek::SigningKey::from_bytes(&seed)))
    }

    /// Returns the secret text form.
    pub fn expose(&self) -> String {
        BASE64_STANDARD.encode(self.0.to_bytes())
    }

    /// Returns the public half.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key())
    }

    /// Signs a message.
    pub(super) fn sign(&self, message: &[u8]) -> Signature {
        Signature(self.0.sign(message))
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretKey(of {})", self.public())
    }
}

impl str::FromStr for SecretKey {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        let seed = decode_base64("secret key", text)?;
        Ok(Self(ed25519_dalek::SigningKey::from_bytes(&seed)))
    }
}

/// A detached signature, written in base64.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Signature(ed25519_dalek::Signature);

impl fmt::Display for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&BASE64_STANDARD.encode(self.0.to_bytes()))
    }
}

impl str::FromStr for Signature {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        let bytes = decode_base64("signature", text)?;
        Ok(Self(ed25519_dalek::Signature::from_bytes(&bytes)))
    }
}

text_serde!(Signature);

/// SHA-256 digest, written as 64 hexadecimal digits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(sha2::Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl str::FromStr for Digest {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        let digits = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != 64 || !text.bytes().all(digits) {
            return Err(id::ParseError::new("digest", text));
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = str::from_utf8(pair).expect("only ASCII digits");
            *byte = u8::from_str_radix(pair, 16).expect("only hexadecimal digits");
        }
        Ok(Self(bytes))
    }
}

text_serde!(Digest);

//! Signing and verification of bundles.
//!
//! An envelope holds the text of a bundle with detached signatures over it. It is identified by the
//! digest of its own text. A bundle's text is parsed only after its envelope was verified.

use std::{
    collections,
    fmt, //
};

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    document,
    id, //
};

pub use key::{
    Digest,
    Keys,
    PublicKey,
    SecretKey,
    Signature, //
};

mod key;

/// Largest envelope in bytes; the size limit of an object in the object service.
pub const ENVELOPE_MAX: usize = 1 << 20;

/// Largest number of signatures on an envelope; limits the processor time that a forged one can
/// cost.
pub const SIGNATURES_MAX: usize = 16;

/// Prefix of the signed message, so that a signature is valid for bundles only.
const DOMAIN: &[u8] = b"laburnumcart bundle 1\n";

/// A bundle's text with its signatures.
///
/// The fields are in alphabetical order, so that a program that sorts the members of an object
/// writes the same text.
#[derive(Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// JSON text of the bundle.
    pub bundle: String,
    /// Signatures over it.
    pub signatures: Vec<Signed>,
}

/// One signature on an envelope.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Signed {
    /// Name of the signer's key.
    pub key: id::KeyName,
    /// Ed25519 signature.
    pub signature: Signature,
}

/// Keys that a process trusts, and the number of signers that it requires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Trust {
    keys: collections::BTreeMap<id::KeyName, Keys>,
    required: u32,
}

/// Contents of an envelope that has enough valid signatures.
#[derive(Clone, Eq, PartialEq)]
pub struct Verified {
    bundle: String,
    digest: Digest,
    signers: Vec<id::KeyName>,
}

/// Error of verifying an envelope.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum VerifyError {
    /// The text exceeds [`ENVELOPE_MAX`].
    #[display("envelope is larger than 1MiB")]
    TooLarge,
    /// The text is not an envelope.
    #[display("not a signed bundle")]
    Malformed,
    /// The envelope does not have the expected digest.
    #[display("envelope differs from the one that was accepted")]
    WrongDigest,
    /// Too few trusted signers have signed the bundle.
    #[display("signed by {valid} trusted signers, {required} required")]
    TooFew {
        /// Number of trusted signers with a valid signature.
        valid: usize,
        /// Number of required signers.
        required: u32,
    },
}

impl Envelope {
    /// Creates an envelope without signatures.
    pub fn new(bundle: impl Into<String>) -> Self {
        Self {
            bundle: bundle.into(),
            signatures: Vec::new(),
        }
    }

    /// Parses the stored form.
    pub fn parse(text: &str) -> Result<Self, VerifyError> {
        if text.len() > ENVELOPE_MAX {
            return Err(VerifyError::TooLarge);
        }
        let envelope: Self = serde_json::from_str(text).map_err(|_| VerifyError::Malformed)?;
        if envelope.signatures.len() > SIGNATURES_MAX {
            return Err(VerifyError::Malformed);
        }
        Ok(envelope)
    }

    /// Adds a signature, which replaces one of the same signer.
    pub fn sign(&mut self, name: id::KeyName, key: &SecretKey) {
        let signature = key.sign(&signed_bytes(&self.bundle));
        self.signatures.retain(|signed| signed.key != name);
        self.signatures.push(Signed {
            key: name,
            signature,
        });
    }

    /// Returns the stored form.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("an envelope has only texts")
    }
}

impl fmt::Debug for Envelope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.bundle.len();
        let names: Vec<_> = self.signatures.iter().map(|s| s.key.as_str()).collect();
        write!(f, "Envelope({bytes} bytes, signed by {names:?})")
    }
}

impl Verified {
    /// Returns the bundle's text.
    pub fn bundle(&self) -> &str {
        &self.bundle
    }

    /// Returns the digest of the envelope.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the trusted signers, in the order of their names.
    pub fn signers(&self) -> &[id::KeyName] {
        &self.signers
    }
}

impl fmt::Debug for Verified {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Verified({}, signed by {:?})", self.digest, self.signers)
    }
}

impl Trust {
    /// Verifies an envelope in its stored form, and its digest if one is expected.
    ///
    /// Signatures of unknown keys are ignored: during a key rotation an envelope may have some that
    /// not every process knows yet. All signatures are checked, and the outcome does not depend on
    /// their order.
    pub fn verify(&self, text: &str, expected: Option<Digest>) -> Result<Verified, VerifyError> {
        if text.len() > ENVELOPE_MAX {
            return Err(VerifyError::TooLarge);
        }
        let digest = Digest::of(text.as_bytes());
        if expected.is_some_and(|expected| expected != digest) {
            return Err(VerifyError::WrongDigest);
        }
        let envelope = Envelope::parse(text)?;
        let signers = self.signers(&envelope);
        if signers.len() < self.required as usize {
            return Err(VerifyError::TooFew {
                valid: signers.len(),
                required: self.required,
            });
        }
        Ok(Verified {
            bundle: envelope.bundle,
            digest,
            signers,
        })
    }

    /// Returns the trusted signers with a valid signature.
    fn signers(&self, envelope: &Envelope) -> Vec<id::KeyName> {
        let message = signed_bytes(&envelope.bundle);
        let mut signers = collections::BTreeSet::new();
        for signed in &envelope.signatures {
            let keys = self.keys.get(&signed.key).into_iter().flat_map(Keys::iter);
            let valid = keys.filter(|key| key.verify(&message, &signed.signature));
            if valid.count() > 0 {
                signers.insert(signed.key.clone());
            }
        }
        signers.into_iter().collect()
    }

    /// Checks the keys and the number of required signers.
    ///
    /// Faults refer to the members `keys` and `signers` of the settings at `at`.
    pub fn new(
        keys: collections::BTreeMap<id::KeyName, Keys>,
        required: u32,
        at: &document::Path,
    ) -> Result<Self, document::Faults> {
        let mut faults = document::Faults::default();
        let mut owners = collections::HashMap::new();
        for (name, key) in keys
            .iter()
            .flat_map(|(name, k)| k.iter().map(move |k| (name, k)))
        {
            // With a shared key one person could count as two signers.
            if let Some(owner) = owners.insert(*key, name) {
                let problem = format!("holds a key that {owner} already has");
                faults.push(at.key("keys").key(name.as_str()), problem);
            }
        }
        let count = keys.len();
        if required == 0 || required as usize > count {
            let problem = format!("must be from 1 to the number of keys, {count}");
            faults.push(at.key("signers"), problem);
        }
        faults.into_result(Self { keys, required })
    }
}

/// Returns the message that is signed for a bundle.
fn signed_bytes(bundle: &str) -> Vec<u8> {
    [DOMAIN, bundle.as_bytes()].concat()
}

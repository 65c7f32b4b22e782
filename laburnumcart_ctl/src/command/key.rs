//! `keygen`, and the files of signing keys.

use std::{
    fs,
    io::Write,
    os::unix::fs::OpenOptionsExt, //
};

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use laburnumcart::{
    id,
    signing, //
};

use crate::{
    args,
    error,
    output,
    settings, //
};

/// Content of a key file.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyFile {
    name: id::KeyName,
    public: signing::PublicKey,
    secret: String,
}

/// Output of `keygen`; the secret key is only written to the file.
#[derive(Display, Serialize)]
#[display("{name} {public}\nsecret key written to {file}")]
struct Generated {
    name: id::KeyName,
    public: signing::PublicKey,
    file: String,
}

/// A signing key that was read from its file.
pub(super) struct SigningKey {
    /// Name of the signer.
    pub(super) name: id::KeyName,
    pub(super) secret: signing::SecretKey,
}

/// Generates a signing key and writes it to a new file.
pub(super) fn keygen(args: &args::Args) -> Result<output::Output, error::Error> {
    let name: id::KeyName = args::parse_value("name", &args.required("name")?)?;
    let file = args.required("out")?;
    let key = signing::SecretKey::generate().map_err(error::Error::Random)?;
    let content = KeyFile {
        name: name.clone(),
        public: key.public(),
        secret: key.expose(),
    };
    let text = serde_json::to_string_pretty(&content).expect("a key file has only string values");
    write_secret(&file, &text).map_err(|cause| error::Error::File {
        file: file.clone(),
        cause,
    })?;
    Ok(output::Output::new(&Generated {
        name,
        public: content.public,
        file,
    }))
}

/// Creates a file that only its owner can read; fails if the file exists, so that no key is
/// overwritten.
fn write_secret(file: &str, text: &str) -> std::io::Result<()> {
    let mut options = fs::OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(file)?;
    file.write_all(text.as_bytes())
}

/// Reads a key file and checks that its public and secret key match.
pub(super) fn load(file: &str) -> Result<SigningKey, error::Error> {
    let error = || error::Error::Key { file: file.into() };
    let content: KeyFile =
        serde_json::from_str(&settings::read_file(file)?).map_err(|_| error())?;
    let secret: signing::SecretKey = content.secret.parse().map_err(|_| error())?;
    if secret.public() != content.public {
        return Err(error());
    }
    Ok(SigningKey {
        name: content.name,
        secret,
    })
}

//! Keys that sign bundles.

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

/// What `keygen` prints; the secret stays in the file.
#[derive(Display, Serialize)]
#[display("{name} {public}\nsecret key written to {file}")]
struct Made {
    name: id::KeyName,
    public: signing::PublicKey,
    file: String,
}

/// A key from its file.
pub(super) struct Key {
    /// Name of the signer.
    pub(super) name: id::KeyName,
    /// Secret key.
    pub(super) secret: signing::SecretKey,
}

/// Makes a key.
pub(super) fn keygen(args: &args::Args) -> Result<output::Output, error::Error> {
    let name: id::KeyName = args::parse_value("name", &args.required("name")?)?;
    let file = args.required("out")?;
    let key = signing::SecretKey::generate().map_err(error::Error::Random)?;
    let content = KeyFile {
        name: name.clone(),
        public: key.public(),
        secret: key.expose(),
    };
    let text = serde_json::to_string_pretty(&content).expect("a key file has only texts");
    write_secret(&file, &text).map_err(|cause| error::Error::File {
        file: file.clone(),
        cause,
    })?;
    Ok(output::Output::new(&Made {
        name,
        public: content.public,
        file,
    }))
}

/// Writes a new file that only its owner can read; an existing key is never overwritten.
fn write_secret(file: &str, text: &str) -> std::io::Result<()> {
    let mut options = fs::OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(file)?;
    file.write_all(text.as_bytes())
}

/// Reads a key file.
pub(super) fn load(file: &str) -> Result<Key, error::Error> {
    let error = || error::Error::Key { file: file.into() };
    let content: KeyFile = serde_json::from_str(&settings::read(file)?).map_err(|_| error())?;
    let secret: signing::SecretKey = content.secret.parse().map_err(|_| error())?;
    if secret.public() != content.public {
        return Err(error());
    }
    Ok(Key {
        name: content.name,
        secret,
    })
}

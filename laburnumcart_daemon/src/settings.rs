//! Settings of a daemon: one JSON file, read once at the start.

mod schema;

use std::{
    collections,
    fs,
    io,
    net,
    path, //
};

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize, //
    de,
};

use laburnumcart::{
    document,
    id,
    signing,
    unit, //
};
use laburnumcart_platform::budget;
use laburnumcart_wire::secret;

use crate::logs;

pub use self::schema::{
    Address,
    SecretText, //
};

/// Exit code of a process whose settings or arguments are wrong.
pub const EXIT_INVALID: u8 = 2;

/// What [`launch`](crate::launch) needs of a daemon's settings.
pub trait Settings: de::DeserializeOwned + schemars::JsonSchema + 'static {
    /// Returns the part on logs and traces.
    fn telemetry(&self) -> &Telemetry;

    /// Returns where the log goes.
    fn output(&self) -> logs::Output {
        logs::Output::default()
    }

    /// Lists faults that the types cannot express.
    fn check(&self) -> Vec<Fault> {
        Vec::new()
    }
}

/// One thing that is wrong in a file of settings.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{path}: {message}")]
pub struct Fault {
    /// Place in the document, such as `$.fleet.peers[2]`.
    pub path: String,
    /// What is wrong there and, where known, what was probably meant.
    pub message: String,
}

impl Fault {
    /// Creates a fault.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

/// Settings that cannot be used.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[display("cannot read {}: {cause}", file.display())]
    Read {
        /// File that was named.
        file: path::PathBuf,
        /// What the system says.
        #[error(source)]
        cause: io::Error,
    },
    /// The file is readable but wrong; every fault is listed, one a line.
    #[display("{}", lines(faults))]
    Invalid {
        /// All faults in the order of the document.
        faults: Vec<Fault>,
    },
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

/// Reads settings from a file.
pub fn load<T: Settings>(file: impl AsRef<path::Path>) -> Result<T, LoadError> {
    let file = file.as_ref();
    let text = fs::read_to_string(file).map_err(|cause| LoadError::Read {
        file: file.into(),
        cause,
    })?;
    parse(&text)
}

/// Reads settings from JSON text.
pub fn parse<T: Settings>(text: &str) -> Result<T, LoadError> {
    let invalid = |faults| LoadError::Invalid { faults };
    let settings: T = document::parse(text).map_err(|f| invalid(convert(&f)))?;
    let faults = settings.check();
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(invalid(faults))
    }
}

fn convert(faults: &document::Faults) -> Vec<Fault> {
    let convert = |f: &document::Fault| Fault::new(f.path.to_string(), &f.problem);
    faults.iter().map(convert).collect()
}

/// What the processes of one fleet have in common.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Secrets that peers accept; the first one is shown to others.
    #[schemars(with = "Vec<SecretText>", length(min = 1))]
    pub secrets: Vec<secret::Secret>,
    /// Public keys whose signatures on a bundle count, by the signer's name; two in one
    /// text, divided by a comma, while a signer changes keys.
    pub keys: collections::BTreeMap<id::KeyName, signing::Keys>,
    /// How many of the signers must have signed a bundle.
    #[serde(default = "one")]
    pub signers: u32,
    /// Peer addresses of processes to ask for the bundle when the object service is down.
    #[serde(default)]
    #[schemars(with = "Vec<Address>")]
    pub peers: Vec<net::SocketAddr>,
}

fn one() -> u32 {
    1
}

impl Fleet {
    /// Returns the secret that this process shows to others.
    pub fn secret(&self) -> Option<&secret::Secret> {
        self.secrets.first()
    }

    /// Returns the keys that the fleet trusts; the settings stand at `$.fleet`.
    pub fn trust(&self) -> Result<signing::Trust, document::Faults> {
        let at = document::Path::root().key("fleet");
        signing::Trust::new(self.keys.clone(), self.signers, &at)
    }

    /// Lists faults that no schema can express, with paths below `path`.
    pub fn check(&self, path: &str) -> Vec<Fault> {
        let Err(faults) = self.trust() else {
            return Vec::new();
        };
        let place = |fault: &document::Fault| fault.path.to_string().replacen("$.fleet", path, 1);
        let convert = |fault| Fault::new(place(fault), &fault.problem);
        faults.iter().map(convert).collect()
    }
}

/// The platform's object service.
#[derive(Clone, Copy, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address that it answers on.
    #[schemars(with = "Address")]
    pub address: net::SocketAddr,
    /// Reads a second that this process may make at most.
    #[serde(default)]
    pub reads: Option<unit::Rate>,
    /// Writes a second that this process may make at most.
    #[serde(default)]
    pub writes: Option<unit::Rate>,
}

impl Platform {
    /// Returns the rates set, or else those given.
    pub fn rates(&self, default: budget::Rates) -> budget::Rates {
        budget::Rates {
            reads: self.reads.unwrap_or(default.reads),
            writes: self.writes.unwrap_or(default.writes),
        }
    }
}

/// Logs and traces.
#[derive(Clone, Copy, Debug, Default, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Telemetry {
    /// Least severe lines that are written.
    #[serde(default)]
    pub level: logs::Level,
    /// Address of a collector that takes OTLP over HTTP; without one, spans cost nothing.
    #[serde(default)]
    #[schemars(with = "Option<Address>")]
    pub traces: Option<net::SocketAddr>,
}

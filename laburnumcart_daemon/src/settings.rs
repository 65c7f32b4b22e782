//! Settings of a daemon: one JSON file that is read once at startup.

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

/// Exit code for invalid settings or arguments.
pub const EXIT_INVALID: u8 = 2;

/// Settings of a daemon that [`launch`](crate::launch) can load.
pub trait Settings: de::DeserializeOwned + schemars::JsonSchema + 'static {
    /// Returns the settings of logs and traces.
    fn telemetry(&self) -> &Telemetry;

    /// Returns the output of the log.
    fn output(&self) -> logs::Output {
        logs::Output::default()
    }

    /// Returns the faults that the types do not catch.
    fn check(&self) -> Vec<Fault> {
        Vec::new()
    }
}

/// One fault in the settings.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{path}: {message}")]
pub struct Fault {
    /// Path in the document, such as `$.fleet.peers[2]`.
    pub path: String,
    /// Description of the fault, with a suggestion if there is one.
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

/// Settings that could not be loaded.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// The file could not be read.
    #[display("cannot read {}: {cause}", file.display())]
    Read {
        /// Path of the file.
        file: path::PathBuf,
        /// Error of the operating system.
        #[error(source)]
        cause: io::Error,
    },
    /// The content is invalid; displayed with one fault per line.
    #[display("{}", join_lines(faults))]
    Invalid {
        /// All faults in document order.
        faults: Vec<Fault>,
    },
}

fn join_lines(faults: &[Fault]) -> String {
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
    let settings: T = document::parse(text).map_err(|f| invalid(convert_faults(&f)))?;
    let faults = settings.check();
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(invalid(faults))
    }
}

fn convert_faults(faults: &document::Faults) -> Vec<Fault> {
    let convert = |f: &document::Fault| Fault::new(f.path.to_string(), &f.problem);
    faults.iter().map(convert).collect()
}

/// Settings that all processes of a fleet share.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Secrets accepted from peers; the first one is used to authenticate to them.
    #[schemars(with = "Vec<SecretText>", length(min = 1))]
    pub secrets: Vec<secret::Secret>,
    /// Public keys trusted to sign bundles, by the signer's name; two keys separated by a comma
    /// while a signer rotates its key.
    pub keys: collections::BTreeMap<id::KeyName, signing::Keys>,
    /// Number of signers that must have signed a bundle.
    #[serde(default = "default_signers")]
    pub signers: u32,
    /// Peer addresses of processes to fetch the bundle from while the object service is down.
    #[serde(default)]
    #[schemars(with = "Vec<Address>")]
    pub peers: Vec<net::SocketAddr>,
}

fn default_signers() -> u32 {
    1
}

impl Fleet {
    /// Returns the secret with which this process authenticates to peers.
    pub fn secret(&self) -> Option<&secret::Secret> {
        self.secrets.first()
    }

    /// Returns the trusted signers; paths of faults start with `$.fleet`.
    pub fn trust(&self) -> Result<signing::Trust, document::Faults> {
        let at = document::Path::root().key("fleet");
        signing::Trust::new(self.keys.clone(), self.signers, &at)
    }

    /// Returns the faults that no schema can express, with paths below `path`.
    pub fn check(&self, path: &str) -> Vec<Fault> {
        let Err(faults) = self.trust() else {
            return Vec::new();
        };
        let place = |fault: &document::Fault| fault.path.to_string().replacen("$.fleet", path, 1);
        let convert = |fault| Fault::new(place(fault), &fault.problem);
        faults.iter().map(convert).collect()
    }
}

/// Connection to the platform's object service.
#[derive(Clone, Copy, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the object service.
    #[schemars(with = "Address")]
    pub address: net::SocketAddr,
    /// Maximum rate of reads by this process, in calls per second.
    #[serde(default)]
    pub reads: Option<unit::Rate>,
    /// Maximum rate of writes by this process, in calls per second.
    #[serde(default)]
    pub writes: Option<unit::Rate>,
}

impl Platform {
    /// Returns the configured rates, with `default` for those not set.
    pub fn rates(&self, default: budget::Rates) -> budget::Rates {
        budget::Rates {
            reads: self.reads.unwrap_or(default.reads),
            writes: self.writes.unwrap_or(default.writes),
        }
    }
}

/// Settings of logs and traces.
#[derive(Clone, Copy, Debug, Default, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Telemetry {
    /// Lowest severity that is logged.
    #[serde(default)]
    pub level: logs::Level,
    /// Address of a collector for OTLP over HTTP; without it, spans are disabled.
    #[serde(default)]
    #[schemars(with = "Option<Address>")]
    pub traces: Option<net::SocketAddr>,
}

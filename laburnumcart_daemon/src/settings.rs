//! Settings of a daemon: one JSON file, read once at the start.

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

use laburnumcart::id;
use laburnumcart_wire::secret;

/// Exit code of a process whose settings or arguments are wrong.
pub const EXIT_INVALID: u8 = 2;

/// What [`launch`](crate::launch) needs of a daemon's settings.
pub trait Settings: de::DeserializeOwned + schemars::JsonSchema {
    /// Returns the part on logs and traces.
    fn telemetry(&self) -> &Telemetry;

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
    let settings: T =
        serde_json::from_str(text).map_err(|e| invalid(vec![Fault::new("$", e.to_string())]))?;
    let faults = settings.check();
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(invalid(faults))
    }
}

/// What the processes of one fleet have in common.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Secrets that peers accept; the first one is shown to others.
    #[schemars(with = "Vec<String>")]
    pub secrets: Vec<secret::Secret>,
    /// Public keys whose signatures on a bundle count, by name.
    pub keys: collections::BTreeMap<id::KeyName, String>,
    /// How many of the keys must have signed a bundle.
    #[serde(default = "one")]
    pub signers: u32,
    /// Peer addresses of processes to ask for the bundle when the object service is down.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
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

    /// Lists faults, with paths below `path`.
    pub fn check(&self, path: &str) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.secrets.is_empty() {
            faults.push(Fault::new(
                format!("{path}.secrets"),
                "at least one is needed",
            ));
        }
        if self.keys.is_empty() {
            faults.push(Fault::new(format!("{path}.keys"), "at least one is needed"));
        }
        if self.signers == 0 || self.signers as usize > self.keys.len() {
            let message = format!("must be from 1 to the number of keys, {}", self.keys.len());
            faults.push(Fault::new(format!("{path}.signers"), message));
        }
        faults
    }
}

/// The platform's object service.
#[derive(Clone, Copy, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address that it answers on.
    #[schemars(with = "String")]
    pub address: net::SocketAddr,
}

/// Logs and traces.
#[derive(Clone, Copy, Debug, Default, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Telemetry {
    /// Least severe lines that are written.
    #[serde(default)]
    pub level: Level,
    /// Address of a collector that takes OTLP over HTTP; without one, spans cost nothing.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub traces: Option<net::SocketAddr>,
}

/// Severity of log lines.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    derive_more::FromStr,
    Eq,
    PartialEq,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Level {
    /// No lines at all.
    Off,
    /// Something is broken.
    Error,
    /// Something needs a look.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for a developer.
    Debug,
    /// Everything.
    Trace,
}

impl From<Level> for log::LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => Self::Off,
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}

//! Settings of `laburnumctl`.

use std::{
    fs,
    net, //
};

use serde::Deserialize;

use laburnumcart::{
    document,
    signing, //
};
use laburnumcart_daemon::settings;
use laburnumcart_platform::client;

use crate::error;

/// Settings of `laburnumctl`.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Secrets, trusted keys and addresses of the processes.
    pub fleet: settings::Fleet,
    /// The platform's object service.
    pub platform: settings::Platform,
}

/// Reads a text file.
pub fn read_file(file: &str) -> Result<String, error::Error> {
    fs::read_to_string(file).map_err(|cause| error::Error::File {
        file: file.into(),
        cause,
    })
}

/// Settings that were validated.
#[derive(Debug)]
pub struct Validated {
    /// The settings.
    pub settings: Settings,
    /// Trusted keys of the settings.
    pub trust: signing::Trust,
}

impl Validated {
    /// Reads settings from a file, or returns all of their faults.
    pub fn load(file: &str) -> Result<Self, error::Error> {
        let text = read_file(file)?;
        let invalid = |faults| error::Error::Document {
            file: file.into(),
            faults,
        };
        let settings: Settings = document::parse(&text).map_err(invalid)?;
        let trust = settings.fleet.trust().map_err(invalid)?;
        Ok(Self { settings, trust })
    }

    /// Returns a client of the object service.
    pub fn store(&self) -> client::Client {
        let address = self.settings.platform.address;
        let client = client::Client::builder([address]).build();
        client.expect("one address and the default number of connections")
    }

    /// Returns the addresses of the processes.
    pub fn peers(&self) -> &[net::SocketAddr] {
        &self.settings.fleet.peers
    }
}

//! Settings of the command line.

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
    /// Secrets, trusted keys and processes to ask.
    pub fleet: settings::Fleet,
    /// The platform's object service.
    pub platform: settings::Platform,
}

/// Reads a text file.
pub fn read(file: &str) -> Result<String, error::Error> {
    fs::read_to_string(file).map_err(|cause| error::Error::File {
        file: file.into(),
        cause,
    })
}

/// Settings that were checked.
#[derive(Debug)]
pub struct Checked {
    /// The settings.
    pub settings: Settings,
    /// Keys that they trust.
    pub trust: signing::Trust,
}

impl Checked {
    /// Reads settings from a file, or reports every fault in it.
    pub fn load(file: &str) -> Result<Self, error::Error> {
        let text = read(file)?;
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
        let addr = self.settings.platform.address;
        let client = client::Client::builder([addr]).build();
        client.expect("one address and the default number of connections")
    }

    /// Returns the processes to ask.
    pub fn peers(&self) -> &[net::SocketAddr] {
        &self.settings.fleet.peers
    }
}

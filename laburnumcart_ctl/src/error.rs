//! Why a command failed, its exit code, and what to do next.

use std::io;

use derive_more::{
    Display,
    Error, //
};
use serde_json::json;

use laburnumcart::{
    document,
    head,
    signing, //
};

use crate::paths;

/// A command that failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The command line is wrong.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// A file cannot be read or written.
    #[display("{file}: {cause}")]
    File {
        /// File that was named.
        file: String,
        /// What the system says.
        #[error(source)]
        cause: io::Error,
    },
    /// A document has faults, one a line.
    #[display("{file} has faults:\n{faults}")]
    Document {
        /// File that holds it.
        file: String,
        /// All of its faults.
        faults: document::Faults,
    },
    /// A file holds no key.
    #[display("{file}: not a key file")]
    Key {
        /// File that was named.
        file: String,
    },
    /// The change of the head came to nothing.
    #[display("{_0}")]
    Lost(head::PublishError),
    /// The object service does not answer; nothing was changed.
    #[display("the object service does not answer; nothing was changed")]
    Unavailable,
    /// The object service refuses a call as wrong.
    #[display("the object service refuses the call as wrong")]
    Invalid,
    /// The object service stopped answering in the middle of a change.
    #[display("the object service does not answer; unknown whether the change took effect")]
    InDoubt,
    /// No process answers.
    #[display("{_0}")]
    Unreachable(#[error(not(source))] String),
    /// The envelope must not be used.
    #[display("{file}: {cause}")]
    Rejected {
        /// File that holds it.
        file: String,
        /// Why.
        cause: signing::VerifyError,
    },
    /// A process refused the call.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// The system gave no random numbers.
    #[display("no random numbers: {_0}")]
    Random(getrandom::Error),
    /// The head in the object service cannot be read.
    #[display("{_0}")]
    Head(head::Malformed),
}

impl Error {
    /// Returns the exit code: 2 bad input, 3 conflict, 4 unavailable, 5 refused.
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::File { .. } | Self::Document { .. } | Self::Key { .. } => 2,
            Self::Lost(head::PublishError::NoSuchGeneration { .. }) => 2,
            Self::Lost(_) => 3,
            Self::Unavailable | Self::InDoubt | Self::Unreachable(_) | Self::Random(_) => 4,
            Self::Rejected { .. } | Self::Refused(_) | Self::Head(_) | Self::Invalid => 5,
        }
    }

    /// Returns what the operator can do next.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Usage(_) => "see laburnumctl --help",
            Self::File { file, cause } => advise_file(file, cause.kind()),
            Self::Document { .. } => "mend the lines above and run `laburnumctl check` again",
            Self::Key { .. } => "make one with `laburnumctl keygen`",
            Self::Lost(head::PublishError::NoSuchGeneration { .. }) => {
                "see `laburnumctl status` for the generations that can be restored, or accept the \
                 signed file of the older bundle"
            }
            Self::Lost(head::PublishError::Forgotten { .. }) => {
                "see `laburnumctl status`; accept again only if your bundle is still wanted"
            }
            Self::Lost(_) => {
                "look at what the other operator accepted (`laburnumctl status`), then accept again \
                 if yours is still wanted"
            }
            Self::Invalid => "check that `platform.address` in the settings is the object service",
            Self::Unavailable => "try again when the object service answers",
            Self::InDoubt => {
                "see `laburnumctl status` when it answers again; accepting twice is safe"
            }
            Self::Unreachable(_) => "check the address, and `fleet.peers` in the settings",
            Self::Rejected { .. } => {
                "sign it with `laburnumctl sign` and a key that the settings trust, by as many \
                 signers as `fleet.signers` asks for"
            }
            Self::Refused(_) => "check `fleet.secrets` in the settings",
            Self::Random(_) => "try again",
            Self::Head(_) => "the object `bundle/head` was written by something else; restore it",
        }
    }

    /// Returns what is printed.
    pub fn render(&self, json: bool) -> String {
        if json {
            let text = self.to_string();
            let value = json!({"error": text, "code": self.code(), "advice": self.advice()});
            format!("{value}\n")
        } else {
            format!("error: {self}\nnext: {}\n", self.advice())
        }
    }
}

fn advise_file(file: &str, cause: io::ErrorKind) -> &'static str {
    match cause {
        io::ErrorKind::AlreadyExists => "choose another name: a key file is never overwritten",
        io::ErrorKind::NotFound if file == paths::SETTINGS => {
            "name the settings with `--settings FILE`; `examples` has one for each fleet"
        }
        _ => "check the name and its permissions",
    }
}

//! Errors of commands, with their exit codes and advice for the operator.

use std::{
    io,
    net, //
};

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

/// Error of a command.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The command line or its input is invalid.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// A file cannot be read or written.
    #[display("{file}: {cause}")]
    File {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        #[error(source)]
        cause: io::Error,
    },
    /// A document has faults, which are printed one per line.
    #[display("{file} has faults:\n{faults}")]
    Document {
        /// Path of the file.
        file: String,
        /// All of its faults.
        faults: document::Faults,
    },
    /// The file is not a valid key file.
    #[display("{file}: not a key file")]
    Key {
        /// Path of the file.
        file: String,
    },
    /// The change of the head was not accepted.
    #[display("{_0}")]
    Publish(head::PublishError),
    /// The object service does not answer; nothing was changed.
    #[display("the object service does not answer; nothing was changed")]
    Unavailable,
    /// The object service rejected a call as invalid.
    #[display("the object service rejected the call as invalid")]
    Invalid,
    /// The object service stopped answering during a change, which may have taken effect.
    #[display("the object service does not answer; the change may have taken effect")]
    InDoubt,
    /// A process cannot be reached.
    #[display("{_0}")]
    Unreachable(#[error(not(source))] String),
    /// A gateway does not serve the page of the command.
    #[display("{address}: the gateway does not serve {page}; its version is older")]
    Unsupported {
        /// Address of the gateway.
        address: net::SocketAddr,
        /// Path of the page.
        page: &'static str,
    },
    /// A gateway cannot be reached at its admin address.
    #[display("{_0}")]
    Silent(#[error(not(source))] String),
    /// The signatures of the envelope cannot be verified.
    #[display("{file}: {cause}")]
    Rejected {
        /// Path of the file.
        file: String,
        /// Reason of the rejection.
        cause: signing::VerifyError,
    },
    /// A process refused the call.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// The operating system provided no random bytes.
    #[display("cannot generate random bytes: {_0}")]
    Random(getrandom::Error),
    /// The head in the object service cannot be parsed.
    #[display("{_0}")]
    Head(head::Malformed),
}

impl Error {
    /// Returns the exit code: 2 bad input, 3 conflict, 4 unavailable, 5 refused.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::File { .. } | Self::Document { .. } | Self::Key { .. } => 2,
            Self::Publish(head::PublishError::NoSuchGeneration { .. }) => 2,
            Self::Publish(_) => 3,
            Self::Unavailable | Self::InDoubt | Self::Unreachable(_) | Self::Random(_) => 4,
            Self::Unsupported { .. } | Self::Silent(_) => 4,
            Self::Rejected { .. } | Self::Refused(_) | Self::Head(_) | Self::Invalid => 5,
        }
    }

    /// Returns advice on what the operator can do next.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Usage(_) => "see laburnumctl --help",
            Self::File { file, cause } => advise_file(file, cause.kind()),
            Self::Document { .. } => "correct the faults above and run `laburnumctl check` again",
            Self::Key { .. } => "generate a key with `laburnumctl keygen`",
            Self::Publish(head::PublishError::NoSuchGeneration { .. }) => {
                "see `laburnumctl status` for the generations that can be restored, or accept the \
                 signed file of the older bundle"
            }
            Self::Publish(head::PublishError::Forgotten { .. }) => {
                "see `laburnumctl status`; accept again only if your bundle is still needed"
            }
            Self::Publish(_) => {
                "check what the other operator accepted (`laburnumctl status`), then accept again \
                 if your bundle is still needed"
            }
            Self::Invalid => {
                "check that `platform.address` in the settings is that of the object service"
            }
            Self::Unavailable => "try again when the object service answers",
            Self::InDoubt => {
                "see `laburnumctl status` when the service answers again; accepting twice is safe"
            }
            Self::Unreachable(_) => "check the address, and `fleet.peers` in the settings",
            Self::Unsupported { .. } => "ask a gateway of this program's version",
            Self::Silent(_) => "check the address: it is `admin` in the settings of the gateway",
            Self::Rejected { .. } => {
                "sign it with `laburnumctl sign` and keys that the settings trust, by as many \
                 signers as `fleet.signers` requires"
            }
            Self::Refused(_) => "check `fleet.secrets` in the settings",
            Self::Random(_) => "try again",
            Self::Head(_) => {
                "the object `bundle/head` was overwritten by another program; restore it"
            }
        }
    }

    /// Formats the error and its advice, as text or as JSON.
    pub fn render(&self, json: bool) -> String {
        if json {
            let text = self.to_string();
            let value = json!({"error": text, "code": self.exit_code(), "advice": self.advice()});
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
            "pass the settings with `--settings FILE`; `examples` has one for each fleet"
        }
        _ => "check the name and the permissions of the file",
    }
}

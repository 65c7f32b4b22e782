//! Identifiers that processes exchange: names, random numbers and serial numbers.

use std::{
    fmt, //
    str,
};

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Longest name in bytes.
pub const NAME_MAX: usize = 63;

/// Longest name of a team in bytes.
pub const TEAM_NAME_MAX: usize = 255;

/// Error of parsing an identifier or a value with a unit.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("invalid {kind}: {text:?}")]
pub struct ParseError {
    /// Expected kind of identifier or value.
    pub kind: &'static str,
    /// Rejected text, truncated to [`NAME_MAX`] characters.
    pub text: String,
}

impl ParseError {
    /// Creates an error for `text`, truncated so that a hostile input cannot flood the log.
    pub fn new(kind: &'static str, text: &str) -> Self {
        Self {
            kind,
            text: text.chars().take(NAME_MAX).collect(),
        }
    }
}

/// Reports whether `text` is 1 to 63 of `A-Z a-z 0-9 . _ -` and starts with a letter or digit.
fn is_valid_name(text: &str) -> bool {
    let plain = |b: &u8| b.is_ascii_alphanumeric();
    let valid = |b: u8| plain(&b) || matches!(b, b'.' | b'_' | b'-');
    text.len() <= NAME_MAX && text.as_bytes().first().is_some_and(plain) && text.bytes().all(valid)
}

/// Reports whether `text` is 1 to 255 bytes that an HTTP header can carry, without blanks around it.
///
/// Customers choose the names of their teams, and one that is refused costs all teams their keys.
fn is_valid_team_name(text: &str) -> bool {
    let is_printable = !text.chars().any(char::is_control);
    (1..=TEAM_NAME_MAX).contains(&text.len()) && is_printable && text.trim() == text
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        name!($(#[$doc])* $name, $kind, is_valid_name, r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$");
    };
    ($(#[$doc:meta])* $name:ident, $kind:literal, $is_valid:ident, $pattern:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
            schemars::JsonSchema,
        )]
        #[serde(try_from = "String", into = "String")]
        #[schemars(
            with = "String",
            extend("pattern" = $pattern, "examples" = ["north-1"])
        )]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl str::FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if $is_valid(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(ParseError::new($kind, text))
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().into()
            }
        }
    };
}

name!(
    /// A paying customer whose requests share one promise.
    TeamName,
    "team name",
    is_valid_team_name,
    r"^\S(.{0,253}\S)?$"
);
name!(
    /// A pipeline of stages.
    PipelineName,
    "pipeline name"
);
name!(
    /// One stage of a pipeline.
    StageName,
    "stage name"
);
name!(
    /// A pool of interchangeable targets.
    ServiceName,
    "service name"
);
name!(
    /// One target: a process that executes stages.
    TargetName,
    "target name"
);
name!(
    /// One instance: a host, or a process of the system on it.
    InstanceName,
    "instance name"
);
name!(
    /// A data centre.
    DataCentre,
    "data centre name"
);
name!(
    /// A region of data centres.
    Region,
    "region name"
);
name!(
    /// A key that signs bundles.
    KeyName,
    "key name"
);

/// Longest software version in bytes.
pub const VERSION_MAX: usize = 128;

/// Version of a target's software, as its entry states it.
///
/// Versions are only compared for equality: what two versions generate does not fit together,
/// whichever of them is newer.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(std::sync::Arc<str>);

impl str::FromStr for SoftwareVersion {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.is_empty() || text.len() > VERSION_MAX {
            true => Err(ParseError::new("software version", text)),
            false => Ok(Self(text.into())),
        }
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.0.as_ref().into()
    }
}

/// Returns a software version as text for the log.
pub fn version_label(version: Option<&SoftwareVersion>) -> &str {
    version.map_or("unknown", |version| &version.0)
}

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $width:literal, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub $inner);

        impl $name {
            /// Draws a random number.
            pub fn random() -> Self {
                Self(rand::random())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl str::FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let digits = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
                if text.len() != $width || !digits {
                    return Err(ParseError::new($kind, text));
                }
                <$inner>::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| ParseError::new($kind, text))
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
                out.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                struct Visitor;

                impl serde::de::Visitor<'_> for Visitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str(concat!($width, " hexadecimal digits"))
                    }

                    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<$name, E> {
                        text.parse().map_err(E::custom)
                    }
                }

                input.deserialize_str(Visitor)
            }
        }
    };
}

hex_id!(
    /// One caller's request, unique over time.
    RequestId,
    u128,
    32,
    "request id"
);
hex_id!(
    /// One attempt to execute a stage at one target, unique over time.
    AttemptId,
    u128,
    32,
    "attempt id"
);
hex_id!(
    /// Random number of one run of a process, drawn at its start.
    Incarnation,
    u64,
    16,
    "incarnation"
);
hex_id!(
    /// Digest of a request's content, equal for a resend under a new [`RequestId`].
    Fingerprint,
    u128,
    32,
    "fingerprint"
);
hex_id!(
    /// Random number of one attempt of an operator to change the head.
    Nonce,
    u128,
    32,
    "nonce"
);
hex_id!(
    /// Checksum of a complete stage result (xxh3, 128 bits).
    Checksum,
    u128,
    32,
    "checksum"
);

impl Fingerprint {
    /// Returns the digest of a request's team, pipeline and body.
    pub fn of(team: &TeamName, pipeline: &PipelineName, body: &[u8]) -> Self {
        Self::digest([team.as_str(), pipeline.as_str()], body)
    }

    /// Returns the digest of names, none of which may hold a zero byte, and a body.
    pub fn digest<'a>(names: impl IntoIterator<Item = &'a str>, body: &[u8]) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        // The zero byte separates the names.
        for name in names {
            hash.update(name.as_bytes());
            hash.update(&[0]);
        }
        hash.update(body);
        Self(hash.digest128())
    }
}

/// Serial number of an accepted bundle; only ever grows.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    derive_more::FromStr,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the number after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Start time of a target in milliseconds since the Unix epoch, by its own clock.
///
/// A target that restarts under the same name has a later start time.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    derive_more::FromStr,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Life(pub u64);

/// One run of a target, from a start to its end.
///
/// A restarted target has none of its earlier state. What is known of a target (load, capacity,
/// cached prompts, connections) is therefore kept by run and not by name.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{name}@{life}")]
pub struct TargetLife {
    /// Name of the target.
    pub name: TargetName,
    /// Start time.
    pub life: Life,
}

/// Number of an agent's term as the owner of its target; orders of lower terms are stale.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    derive_more::FromStr,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

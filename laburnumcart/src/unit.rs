//! Sizes, periods, rates and shares with their text forms, which include the unit.

use std::{
    fmt,
    str,
    time, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::id;

macro_rules! text_serde {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
                out.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                let text = String::deserialize(input)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

/// Splits a text into its number, in any form that JSON allows, and its unit.
fn split_unit(text: &str) -> Option<(f64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end + exponent_len(&text[end..]));
    let value: f64 = number.parse().ok()?;
    Some((value, unit))
}

/// Returns the length in bytes of the exponent at the start of a text, 0 if there is none.
fn exponent_len(text: &str) -> usize {
    let Some(rest) = text.strip_prefix(['e', 'E']) else {
        return 0;
    };
    let digits = rest.strip_prefix(['+', '-']).unwrap_or(rest);
    let count = digits.bytes().take_while(u8::is_ascii_digit).count();
    match count {
        0 => 0,
        _ => text.len() - digits.len() + count,
    }
}

/// Number of bytes, written as `"512B"`, `"64KiB"`, `"1MiB"` or `"2GiB"`.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, schemars::JsonSchema,
)]
#[schemars(
    with = "String",
    extend("format" = "size", "pattern" = r"^[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?(B|KiB|MiB|GiB)$", "examples" = ["64KiB"])
)]
pub struct Size(pub u64);

const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |(_, unit): &&(&str, u64)| self.0 != 0 && self.0.is_multiple_of(*unit);
        let (name, unit) = SIZE_UNITS.iter().find(fits).unwrap_or(&("B", 1));
        write!(f, "{}{name}", self.0 / unit)
    }
}

impl str::FromStr for Size {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        let error = || id::ParseError::new("size", text);
        let (value, name) = split_unit(text).ok_or_else(error)?;
        let (_, unit) = SIZE_UNITS
            .iter()
            .find(|(n, _)| *n == name)
            .ok_or_else(error)?;
        let bytes = value * *unit as f64;
        if bytes.fract() != 0.0 || bytes >= (1u64 << 53) as f64 {
            return Err(error());
        }
        Ok(Self(bytes as u64))
    }
}

text_serde!(Size);

/// Length of time, written as `"250ms"`, `"1.5s"`, `"10m"` or `"1h"`; microseconds as `"80us"`.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, schemars::JsonSchema,
)]
#[schemars(
    with = "String",
    extend("format" = "period", "pattern" = r"^[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?(us|ms|s|m|h)$", "examples" = ["250ms"])
)]
pub struct Period(pub time::Duration);

const PERIOD_UNITS: [(&str, u64); 5] = [
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

impl Period {
    /// Creates a period of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(time::Duration::from_millis(millis))
    }

    /// Creates a period of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(time::Duration::from_secs(secs))
    }

    /// Returns the whole milliseconds, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0.as_millis().try_into().unwrap_or(u64::MAX)
    }
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros: u64 = self.0.as_micros().try_into().unwrap_or(u64::MAX);
        let fits = |(_, unit): &&(&str, u64)| micros != 0 && micros.is_multiple_of(*unit);
        let (name, unit) = PERIOD_UNITS.iter().find(fits).unwrap_or(&("s", 1_000_000));
        write!(f, "{}{name}", micros / unit)
    }
}

impl str::FromStr for Period {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        let error = || id::ParseError::new("period", text);
        let (value, name) = split_unit(text).ok_or_else(error)?;
        let (_, unit) = PERIOD_UNITS
            .iter()
            .find(|(n, _)| *n == name)
            .ok_or_else(error)?;
        let micros = (value * *unit as f64).round();
        if micros >= (1u64 << 53) as f64 {
            return Err(error());
        }
        Ok(Self(time::Duration::from_micros(micros as u64)))
    }
}

text_serde!(Period);

/// Events per second, written as `"600/s"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, schemars::JsonSchema)]
#[schemars(
    with = "String",
    extend("format" = "rate", "pattern" = r"^[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?/s$", "examples" = ["600/s"])
)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl str::FromStr for Rate {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        match split_unit(text) {
            Some((value, "/s")) if value.is_finite() => Ok(Self(value)),
            _ => Err(id::ParseError::new("rate", text)),
        }
    }
}

text_serde!(Rate);

/// Fraction from 0 to 1, written as `"25%"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, schemars::JsonSchema)]
#[schemars(
    with = "String",
    extend("format" = "share", "pattern" = r"^[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?%$", "examples" = ["25%"])
)]
pub struct Share(pub f64);

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", (self.0 * 1e8).round() / 1e6)
    }
}

impl str::FromStr for Share {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        match split_unit(text) {
            Some((value, "%")) if (0.0..=100.0).contains(&value) => Ok(Self(value / 100.0)),
            _ => Err(id::ParseError::new("share", text)),
        }
    }
}

text_serde!(Share);

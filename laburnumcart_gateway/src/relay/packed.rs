//! Compressed answers to requests for store data, sent in parts.
//!
//! A change of a large object is compressed against the version that the caller has, so that its
//! size follows the change. A caller without that version gets it compressed as a whole. Each part
//! is a call of its own, which is small enough to leave the link to others, and a transfer that
//! breaks off goes on from any process that sends the same bytes.

mod sender;

use std::{
    fmt,
    io, //
};

use base64::{
    Engine,
    prelude::BASE64_STANDARD, //
};
use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize,
    de, //
};
use xxhash_rust::xxh3;

use laburnumcart::unit;
use laburnumcart_platform::store;

use crate::relay::{
    Answer,
    Topic, //
};

pub(super) use self::sender::Sender;

/// Maximum size of a part in bytes.
pub const PART_BYTES: usize = 12 << 10;

/// Maximum size of an answer in bytes once it is unpacked.
const UNPACKED_MAX: usize = 8 << 20;

/// Compression level, the default of the library.
const LEVEL: i32 = 3;

/// Bytes that are sent as base64 in JSON.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct Data(pub Vec<u8>);

impl fmt::Debug for Data {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0.len())
    }
}

impl Serialize for Data {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Data {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = BASE64_STANDARD.decode(text);
        bytes.map(Self).map_err(de::Error::custom)
    }
}

/// Identifies one transfer of a packed answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TransferId(pub u64);

/// Checksum of a packed answer.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Checksum(u64);

impl Checksum {
    /// Returns the checksum of bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxh3::xxh3_64(bytes))
    }
}

/// Accepts a packed answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Accept {
    /// Transfer for which a large answer is counted.
    pub transfer: TransferId,
    /// Version of the topic's only object that the caller has.
    pub base: Option<store::Version>,
}

/// A packed answer, with its first part.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Packed {
    /// Whether it holds all objects of the topic, not only changes.
    pub listing: bool,
    /// Revision up to which it is complete.
    pub revision: store::Revision,
    /// Age of the data when the call was sent.
    pub age: unit::Period,
    /// Version against which it is compressed.
    pub base: Option<store::Version>,
    /// Size of all parts in bytes.
    pub size: usize,
    /// Checksum of all parts.
    pub checksum: Checksum,
    /// First part, empty if the transfer may not begin yet.
    pub first: Data,
}

/// Request for a part of a packed answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Topic of the answer.
    pub topic: Topic,
    /// Transfer to which the part belongs.
    pub transfer: TransferId,
    /// Checksum of the whole packed answer.
    pub checksum: Checksum,
    /// Number of bytes that the caller has.
    pub offset: usize,
}

/// Why a packed answer is of no use.
#[derive(Debug, Display, Error)]
pub enum UnpackError {
    /// The bytes are not those that were packed.
    #[display("checksum of a packed answer differs")]
    Checksum,
    /// The bytes cannot be decompressed.
    #[display("packed answer is malformed: {_0}")]
    Malformed(io::Error),
    /// The content is not a list of objects.
    #[display("content of a packed answer is malformed: {_0}")]
    Content(serde_json::Error),
}

/// Packs the changes of an answer, against the base of the caller if it is known.
pub fn pack(events: &[store::Event], base: Option<&store::Object>) -> io::Result<Vec<u8>> {
    let text = serde_json::to_vec(events)?;
    let dictionary = base.map_or_else(Vec::new, dictionary);
    let mut compressor = zstd::bulk::Compressor::with_dictionary(LEVEL, &dictionary)?;
    compressor.compress(&text)
}

/// Unpacks what [`pack`] has packed against the same base.
pub fn unpack(
    bytes: &[u8],
    checksum: Checksum,
    base: Option<&store::Object>,
) -> Result<Vec<store::Event>, UnpackError> {
    if Checksum::of(bytes) != checksum {
        return Err(UnpackError::Checksum);
    }
    let dictionary = base.map_or_else(Vec::new, dictionary);
    let decompressor = zstd::bulk::Decompressor::with_dictionary(&dictionary);
    let text = decompressor.and_then(|mut d| d.decompress(bytes, UNPACKED_MAX));
    let text = text.map_err(UnpackError::Malformed)?;
    serde_json::from_slice(&text).map_err(UnpackError::Content)
}

/// Returns the text of an object as it stands in a packed answer.
fn dictionary(object: &store::Object) -> Vec<u8> {
    serde_json::to_vec(object).expect("an object is valid JSON")
}

/// Returns the changes that an answer holds, if any.
fn events(answer: &Answer) -> Option<Vec<store::Event>> {
    match answer {
        Answer::Changes(changes) => Some(changes.events.clone()),
        Answer::Listing(listing) => {
            let objects = listing.objects.iter().cloned();
            let events = objects.map(|object| store::Event {
                key: object.key,
                version: object.version,
                value: Some(object.value),
            });
            Some(events.collect())
        }
        Answer::Compacted | Answer::Stale | Answer::TooLarge | Answer::Packed(_) => None,
    }
}

impl Packed {
    /// Returns the answer that the unpacked changes make up.
    pub fn into_answer(self, events: Vec<store::Event>) -> Answer {
        if !self.listing {
            return Answer::Changes(store::Changes {
                revision: self.revision,
                age: self.age,
                events,
            });
        }
        let objects = events.into_iter().filter_map(|event| {
            Some(store::Object {
                key: event.key,
                version: event.version,
                value: event.value?,
            })
        });
        Answer::Listing(store::Listing {
            revision: self.revision,
            age: self.age,
            objects: objects.collect(),
        })
    }
}

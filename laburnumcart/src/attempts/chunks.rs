//! Buffer of the numbered chunks of a result, kept until they are acknowledged.

use std::{
    collections,
    fmt,
    sync, //
};

use derive_more::{
    Display,
    Error, //
};

use crate::id;

/// A numbered chunk of a result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Number within the attempt, from 0.
    pub number: u32,
    /// Text of the chunk.
    pub text: sync::Arc<str>,
}

/// Error of reading from a position outside the buffer.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum PositionError {
    /// The chunk was acknowledged and is no longer stored.
    #[display("chunk already acknowledged")]
    Past,
    /// The chunks before the position do not all exist yet.
    #[display("chunk beyond the next one")]
    Ahead,
}

/// Chunks of one result, in order.
#[derive(Default)]
pub struct Chunks {
    kept: collections::VecDeque<sync::Arc<str>>,
    first: u32,
    bytes: usize,
    hash: xxhash_rust::xxh3::Xxh3,
}

impl fmt::Debug for Chunks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Chunks")
            .field("first", &self.first)
            .field("count", &self.count())
            .field("bytes", &self.bytes)
            .finish()
    }
}

impl Chunks {
    /// Appends a chunk.
    pub fn push(&mut self, text: impl Into<sync::Arc<str>>) {
        let text = text.into();
        self.hash.update(text.as_bytes());
        self.bytes += text.len();
        self.kept.push_back(text);
    }

    /// Drops the chunks before `from`; repeated and outdated acknowledgements have no effect.
    pub fn acknowledge(&mut self, from: u32) {
        while self.first < from {
            let Some(text) = self.kept.pop_front() else {
                return;
            };
            self.bytes -= text.len();
            self.first += 1;
        }
    }

    /// Returns chunks from number `from` on.
    ///
    /// They hold at most `limit` bytes of text, or are a single larger chunk.
    pub fn read(&self, from: u32, limit: usize) -> Result<Vec<Chunk>, PositionError> {
        let skip = from.checked_sub(self.first).ok_or(PositionError::Past)?;
        if from > self.count() {
            return Err(PositionError::Ahead);
        }
        let mut bytes = 0;
        let fits = |text: &&sync::Arc<str>| {
            let start = bytes;
            bytes += text.len();
            start == 0 || bytes <= limit
        };
        let texts = self.kept.iter().skip(skip as usize).take_while(fits);
        let chunk = |(number, text): (u32, &sync::Arc<str>)| Chunk {
            number,
            text: text.clone(),
        };
        Ok((from..).zip(texts).map(chunk).collect())
    }

    /// Returns the number of chunks so far, including acknowledged ones.
    pub fn count(&self) -> u32 {
        self.first + self.kept.len() as u32
    }

    /// Returns the bytes of the chunks that are not acknowledged.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the checksum over the text of all chunks so far.
    pub fn checksum(&self) -> id::Checksum {
        id::Checksum(self.hash.digest128())
    }
}

//! Visitors of the messages that each stage of each request carries.
//!
//! Fields that are not known are skipped, so that a newer process can talk to an older one while a
//! fleet is upgraded. A field that is missing or stands twice is refused, and so is a message that
//! counts more parts than a peer ever sends.

use std::fmt;

use serde::{
    Deserialize,
    Deserializer, //
    de::{
        self,
        Error, //
    },
};

use super::{
    CHUNKS_MAX,
    Call,
    Chunk,
    Progress,
    TRACEPARENT_MAX, //
};

/// Declares the known fields of a message; all other names become `Other`.
macro_rules! fields {
    ($name:ident { $($variant:ident = $text:literal,)* }) => {
        enum $name {
            $($variant,)*
            Other,
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                struct Visitor;

                impl de::Visitor<'_> for Visitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str("a field name")
                    }

                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$name, E> {
                        Ok(match text {
                            $($text => $name::$variant,)*
                            _ => $name::Other,
                        })
                    }
                }

                input.deserialize_identifier(Visitor)
            }
        }
    };
}

/// Reads a field's value into its slot, once.
fn put<'de, T, A>(slot: &mut Option<T>, name: &'static str, map: &mut A) -> Result<(), A::Error>
where
    T: Deserialize<'de>,
    A: de::MapAccess<'de>,
{
    if slot.is_some() {
        return Err(A::Error::duplicate_field(name));
    }
    *slot = Some(map.next_value()?);
    Ok(())
}

/// Takes a field's value out of its slot.
fn take<T, E: de::Error>(slot: Option<T>, name: &'static str) -> Result<T, E> {
    slot.ok_or_else(|| E::missing_field(name))
}

fn skip<'de, A: de::MapAccess<'de>>(map: &mut A) -> Result<(), A::Error> {
    map.next_value::<de::IgnoredAny>().map(drop)
}

fields!(CallField {
    Session = "session",
    Incarnation = "incarnation",
    Request = "request",
    Attempt = "attempt",
    Team = "team",
    Pipeline = "pipeline",
    Stage = "stage",
    Generation = "generation",
    Fingerprint = "fingerprint",
    Priority = "priority",
    Idempotent = "idempotent",
    Remaining = "remaining",
    Traceparent = "traceparent",
    Received = "received",
    Body = "body",
});

struct CallVisitor;

impl<'de> de::Visitor<'de> for CallVisitor {
    type Value = Call;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a stage call")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Call, A::Error> {
        let mut session = None;
        let mut incarnation = None;
        let mut request = None;
        let mut attempt = None;
        let mut team = None;
        let mut pipeline = None;
        let mut stage = None;
        let mut generation = None;
        let mut fingerprint = None;
        let mut priority = None;
        let mut idempotent = None;
        let mut remaining = None;
        let mut traceparent: Option<Option<String>> = None;
        let mut received = None;
        let mut body = None;
        while let Some(field) = map.next_key()? {
            match field {
                CallField::Session => put(&mut session, "session", &mut map)?,
                CallField::Incarnation => put(&mut incarnation, "incarnation", &mut map)?,
                CallField::Request => put(&mut request, "request", &mut map)?,
                CallField::Attempt => put(&mut attempt, "attempt", &mut map)?,
                CallField::Team => put(&mut team, "team", &mut map)?,
                CallField::Pipeline => put(&mut pipeline, "pipeline", &mut map)?,
                CallField::Stage => put(&mut stage, "stage", &mut map)?,
                CallField::Generation => put(&mut generation, "generation", &mut map)?,
                CallField::Fingerprint => put(&mut fingerprint, "fingerprint", &mut map)?,
                CallField::Priority => put(&mut priority, "priority", &mut map)?,
                CallField::Idempotent => put(&mut idempotent, "idempotent", &mut map)?,
                CallField::Remaining => put(&mut remaining, "remaining", &mut map)?,
                CallField::Traceparent => put(&mut traceparent, "traceparent", &mut map)?,
                CallField::Received => put(&mut received, "received", &mut map)?,
                CallField::Body => put(&mut body, "body", &mut map)?,
                CallField::Other => skip(&mut map)?,
            }
        }
        let traceparent = traceparent.flatten();
        if traceparent
            .as_ref()
            .is_some_and(|t| t.len() > TRACEPARENT_MAX)
        {
            return Err(A::Error::custom("traceparent is too long"));
        }
        Ok(Call {
            session: take(session, "session")?,
            incarnation: take(incarnation, "incarnation")?,
            request: take(request, "request")?,
            attempt: take(attempt, "attempt")?,
            team: take(team, "team")?,
            pipeline: take(pipeline, "pipeline")?,
            stage: take(stage, "stage")?,
            generation: take(generation, "generation")?,
            fingerprint: take(fingerprint, "fingerprint")?,
            priority: take(priority, "priority")?,
            idempotent: take(idempotent, "idempotent")?,
            remaining: take(remaining, "remaining")?,
            traceparent,
            received: received.flatten(),
            body: take(body, "body")?,
        })
    }
}

impl<'de> Deserialize<'de> for Call {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_map(CallVisitor)
    }
}

fields!(ProgressField {
    Request = "request",
    Attempt = "attempt",
    Chunks = "chunks",
    State = "state",
});

struct ProgressVisitor;

impl<'de> de::Visitor<'de> for ProgressVisitor {
    type Value = Progress;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("progress of an attempt")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Progress, A::Error> {
        let mut request = None;
        let mut attempt = None;
        let mut chunks: Option<Chunks> = None;
        let mut state = None;
        while let Some(field) = map.next_key()? {
            match field {
                ProgressField::Request => put(&mut request, "request", &mut map)?,
                ProgressField::Attempt => put(&mut attempt, "attempt", &mut map)?,
                ProgressField::Chunks => put(&mut chunks, "chunks", &mut map)?,
                ProgressField::State => put(&mut state, "state", &mut map)?,
                ProgressField::Other => skip(&mut map)?,
            }
        }
        Ok(Progress {
            request: take(request, "request")?,
            attempt: take(attempt, "attempt")?,
            chunks: chunks.map(|c| c.0).unwrap_or_default(),
            state: take(state, "state")?,
        })
    }
}

impl<'de> Deserialize<'de> for Progress {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_map(ProgressVisitor)
    }
}

/// At most [`CHUNKS_MAX`] chunks.
struct Chunks(Vec<Chunk>);

struct ChunksVisitor;

impl<'de> de::Visitor<'de> for ChunksVisitor {
    type Value = Chunks;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {CHUNKS_MAX} chunks")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Chunks, A::Error> {
        let mut chunks = Vec::new();
        while let Some(chunk) = seq.next_element()? {
            if chunks.len() == CHUNKS_MAX {
                return Err(A::Error::invalid_length(CHUNKS_MAX + 1, &self));
            }
            chunks.push(chunk);
        }
        Ok(Chunks(chunks))
    }
}

impl<'de> Deserialize<'de> for Chunks {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_seq(ChunksVisitor)
    }
}

fields!(ChunkField {
    Number = "number",
    Text = "text",
});

struct ChunkVisitor;

impl<'de> de::Visitor<'de> for ChunkVisitor {
    type Value = Chunk;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chunk")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Chunk, A::Error> {
        let mut number = None;
        let mut text = None;
        while let Some(field) = map.next_key()? {
            match field {
                ChunkField::Number => put(&mut number, "number", &mut map)?,
                ChunkField::Text => put(&mut text, "text", &mut map)?,
                ChunkField::Other => skip(&mut map)?,
            }
        }
        Ok(Chunk {
            number: take(number, "number")?,
            text: take(text, "text")?,
        })
    }
}

impl<'de> Deserialize<'de> for Chunk {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_map(ChunkVisitor)
    }
}

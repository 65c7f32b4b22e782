//! Parser of the server-sent events of an engine.

use serde::Deserialize;

/// Greatest size of an event, in bytes.
const EVENT_MAX: usize = 1 << 20;

/// Event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A piece of text.
    Piece(String),
    /// The end mark of a complete stream.
    End,
}

/// Error for a stream that violates the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

#[derive(Deserialize)]
struct Piece {
    text: String,
}

#[derive(Deserialize)]
struct End {
    #[serde(rename = "tokens")]
    _tokens: u64,
}

/// Incremental parser of a stream.
#[derive(Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
    event_name: String,
    data: String,
}

impl Parser {
    /// Parses the next bytes and appends the events that they complete to `events`.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), Malformed> {
        for byte in bytes {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = String::from_utf8(line).map_err(|_| Malformed)?;
            self.line(line.trim_end_matches('\r'), events)?;
        }
        match self.line.len() + self.data.len() > EVENT_MAX {
            true => Err(Malformed),
            false => Ok(()),
        }
    }

    fn line(&mut self, line: &str, events: &mut Vec<Event>) -> Result<(), Malformed> {
        if line.is_empty() {
            return self.dispatch(events);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event_name = value.into(),
            "data" if self.data.is_empty() => self.data = value.into(),
            "data" => {
                self.data.push('\n');
                self.data.push_str(value);
            }
            // Comments and unknown fields are ignored.
            _ => (),
        }
        Ok(())
    }

    fn dispatch(&mut self, events: &mut Vec<Event>) -> Result<(), Malformed> {
        let data = std::mem::take(&mut self.data);
        let name = std::mem::take(&mut self.event_name);
        if data.is_empty() {
            return Ok(());
        }
        match name.as_str() {
            "" | "message" => {
                let piece: Piece = serde_json::from_str(&data).map_err(|_| Malformed)?;
                events.push(Event::Piece(piece.text));
            }
            "end" => {
                serde_json::from_str::<End>(&data).map_err(|_| Malformed)?;
                events.push(Event::End);
            }
            _ => (),
        }
        Ok(())
    }
}

//! Property tests of the event stream parser: arbitrary bytes in arbitrary pieces.

use laburnumcart_agent::target::events;
use proptest::{
    collection,
    prelude::*, //
};

/// Returns a stream as an engine sends it.
fn stream(pieces: &[String]) -> String {
    let events = pieces.iter().map(|text| {
        let data = serde_json::json!({ "text": text });
        format!("data: {data}\n\n")
    });
    events.collect::<String>() + "event: end\ndata: {\"tokens\":1}\n\n"
}

/// Parses the bytes in parts of the given lengths, repeating the last length.
fn parse(bytes: &[u8], lengths: &[usize]) -> Result<Vec<events::Event>, events::Malformed> {
    let mut parser = events::Parser::default();
    let mut found = Vec::new();
    let mut rest = bytes;
    let mut lengths = lengths.iter().copied();
    let mut length = 1;
    while !rest.is_empty() {
        length = lengths.next().unwrap_or(length);
        let (part, after) = rest.split_at(length.min(rest.len()));
        parser.push(part, &mut found)?;
        rest = after;
    }
    Ok(found)
}

proptest! {
    #[test]
    fn bytes_never_panic(
        bytes in collection::vec(any::<u8>(), 0..500),
        lengths in collection::vec(1usize..50, 1..20),
    ) {
        // Any input must yield events or an error.
        parse(&bytes, &lengths).ok();
    }

    #[test]
    fn chunking_does_not_matter(
        pieces in collection::vec(any::<String>(), 0..10),
        lengths in collection::vec(1usize..50, 1..20),
    ) {
        let mut wanted: Vec<_> = pieces.iter().cloned().map(events::Event::Piece).collect();
        wanted.push(events::Event::End);
        prop_assert_eq!(parse(stream(&pieces).as_bytes(), &lengths), Ok(wanted));
    }

    #[test]
    fn one_wrong_byte_never_panics(
        pieces in collection::vec(any::<String>(), 1..5),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = stream(&pieces).into_bytes();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        parse(&bytes, &[7]).ok();
    }
}

//! Splits JSON text into the raw values of its members, so that one which cannot be parsed affects
//! no other.
//!
//! Nothing is parsed and nothing recurses: only brackets and strings are told apart. So values may
//! be nested at any depth, and hold numbers, words and escapes that are no JSON.

/// Returns the texts of a list's elements, or `None` if the text is no list.
pub fn elements(text: &str) -> Option<Vec<&str>> {
    split(text, b'[', b']')
}

/// Returns the raw value of the first member with this name, or `None` if there is none or the text
/// is no object.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let members = split(text, b'{', b'}')?;
    members.into_iter().find_map(|member| {
        let rest = member.strip_prefix('"')?.strip_prefix(name)?;
        let value = rest.strip_prefix('"')?.trim_start().strip_prefix(':')?;
        Some(value.trim_start())
    })
}

/// Splits the text between an opening and a closing bracket at the commas outside of inner values.
fn split(text: &str, open: u8, close: u8) -> Option<Vec<&str>> {
    let text = text.trim_ascii();
    let bytes = text.as_bytes();
    if bytes.first() != Some(&open) {
        return None;
    }
    let (mut parts, mut depth, mut start, mut at) = (Vec::new(), 0_usize, 1, 1);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => at = string_end(bytes, at)?,
            b'[' | b'{' => depth += 1,
            byte @ (b']' | b'}') if depth == 0 => {
                let last = text[start..at].trim_ascii();
                if !(last.is_empty() && parts.is_empty()) {
                    parts.push(last);
                }
                return (byte == close && at + 1 == bytes.len()).then_some(parts);
            }
            b']' | b'}' => depth -= 1,
            b',' if depth == 0 => {
                parts.push(text[start..at].trim_ascii());
                start = at + 1;
            }
            _ => {}
        }
        at += 1;
    }
    None
}

/// Returns the index of the quote that ends the string which begins at `start`.
fn string_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut at = start + 1;
    loop {
        match bytes.get(at)? {
            b'"' => return Some(at),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}

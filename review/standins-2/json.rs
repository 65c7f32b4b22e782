//! Just enough JSON for the stand-ins: raw text of members and elements.

/// Returns the end of the value that begins at `at`.
fn value_end(text: &[u8], mut at: usize) -> usize {
    let (mut depth, mut in_text) = (0, false);
    while at < text.len() {
        match (in_text, text[at]) {
            (true, b'\\') => at += 1,
            (true, b'"') => in_text = false,
            (true, _) => {}
            (false, b'"') => in_text = true,
            (false, b'{' | b'[') => depth += 1,
            (false, b'}' | b']') if depth == 0 => return at,
            (false, b'}' | b']') => depth -= 1,
            (false, b',') if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}

/// Returns the raw parts of a list or an object, split at its commas.
pub fn elements(raw: &str) -> Vec<&str> {
    let raw = raw.trim();
    if raw.len() < 2 {
        return Vec::new();
    }
    let inner = &raw[1..raw.len() - 1];
    let (mut parts, mut at) = (Vec::new(), 0);
    while at < inner.len() {
        let end = value_end(inner.as_bytes(), at);
        let part = inner[at..end].trim();
        if !part.is_empty() {
            parts.push(part);
        }
        at = end + 1;
    }
    parts
}

/// Returns the raw value of a member of an object.
pub fn member<'a>(raw: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\"");
    elements(raw).into_iter().find_map(|part| {
        let rest = part.strip_prefix(key.as_str())?.trim_start();
        Some(rest.strip_prefix(':')?.trim())
    })
}

/// Returns a value without its quotes.
pub fn text(raw: &str) -> &str {
    raw.trim_matches('"')
}

//! A small JSON reader for the bodies of store calls. Values are kept as slices of the text.

/// Gets the text of a member of a JSON object, or `None` if the text is not an object or lacks the member.
pub fn member<'t>(object: &'t str, name: &str) -> Option<&'t str> {
    let bytes = object.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = value_end(bytes, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        let start = skip_space(bytes, at + 1);
        let end = value_end(bytes, start)?;
        if key == name {
            return Some(&object[start..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

/// Gets the content of a JSON string without escapes.
pub fn text(value: &str) -> Option<&str> {
    value.strip_prefix('"')?.strip_suffix('"')
}

/// Writes a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(character);
            }
            '\n' => quoted.push_str("\\n"),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

// Gets the end of the value that starts at `start`.
fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut depth = 0;
    let mut at = start;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => depth -= 1,
            b',' | b':' if depth == 0 => return Some(at),
            _ => {}
        }
        at += 1;
        let is_closed = matches!(bytes[at - 1], b'"' | b'}' | b']');
        if depth == 0 && is_closed {
            return Some(at);
        }
    }
    (depth == 0).then_some(at)
}

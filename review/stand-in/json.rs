//! Access to the fields of JSON objects as raw text.

/// Gets the raw text of a field of the object in `text`.
pub fn field<'t>(text: &'t str, name: &str) -> Option<&'t str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = value_end(bytes, at);
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        let start = skip_space(bytes, at + 1);
        let end = value_end(bytes, start);
        if key == name {
            return Some(text[start..end].trim());
        }
        at = skip_space(bytes, end);
        at = skip_space(bytes, at + 1);
    }
    None
}

/// Gets the text of a field without its quotes.
pub fn text<'t>(object: &'t str, name: &str) -> Option<&'t str> {
    Some(field(object, name)?.trim_matches('"'))
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

// Gets the index after the value that starts at `at`.
fn value_end(bytes: &[u8], at: usize) -> usize {
    let (mut depth, mut quoted, mut index) = (0, false, at);
    while index < bytes.len() {
        match bytes[index] {
            b'\\' if quoted => index += 1,
            b'"' => {
                quoted = !quoted;
                if !quoted && depth == 0 {
                    return index + 1;
                }
            }
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted && depth == 0 => return index,
            b'}' | b']' if !quoted => {
                depth -= 1;
                if depth == 0 {
                    return index + 1;
                }
            }
            b',' if !quoted && depth == 0 => return index,
            _ => {}
        }
        index += 1;
    }
    index
}

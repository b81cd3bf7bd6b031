//! The parts of RFC 9110 and 9112 that are read by hand, as strictly as they stand there.

/// Returns true for a byte of a token (RFC 9110, 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns true for a byte of a field value: visible, a blank, or not ASCII.
fn is_text_byte(byte: u8) -> bool {
    matches!(byte, b'\t' | b' '..=b'~' | 0x80..)
}

/// Returns what follows the bytes at the start of `text` for which `belongs` holds.
fn skip(text: &[u8], belongs: fn(u8) -> bool) -> &[u8] {
    &text[text.iter().take_while(|byte| belongs(**byte)).count()..]
}

fn skip_blanks(text: &[u8]) -> &[u8] {
    skip(text, |byte| matches!(byte, b' ' | b'\t'))
}

/// Returns what follows a token; `None` when there is none.
fn after_token(text: &[u8]) -> Option<&[u8]> {
    let rest = skip(text, is_token_byte);
    (rest.len() < text.len()).then_some(rest)
}

/// Returns what follows a quoted string; `None` when there is none.
fn after_quoted(text: &[u8]) -> Option<&[u8]> {
    let mut rest = text.strip_prefix(b"\"")?;
    loop {
        rest = match rest {
            [b'"', rest @ ..] => return Some(rest),
            [b'\\', escaped, rest @ ..] if is_text_byte(*escaped) => rest,
            [b'\\', ..] => return None,
            [byte, rest @ ..] if is_text_byte(*byte) => rest,
            _ => return None,
        };
    }
}

/// Returns true for what may stand between the size of a chunk and the end of its line (RFC 9112,
/// 7.1.1).
pub(super) fn is_chunk_extensions(text: &[u8]) -> bool {
    let mut text = text;
    while !text.is_empty() {
        let Some(name) = skip_blanks(text).strip_prefix(b";") else { return false };
        let Some(behind_name) = after_token(skip_blanks(name)) else { return false };
        text = match skip_blanks(behind_name) {
            [b'=', value @ ..] => {
                let value = skip_blanks(value);
                match after_token(value).or_else(|| after_quoted(value)) {
                    Some(rest) => rest,
                    None => return false,
                }
            }
            _ => behind_name,
        };
    }
    true
}

/// Returns true for a field line without its end (RFC 9112, 5): no blank before the colon, no
/// folded line.
pub(super) fn is_field_line(line: &[u8]) -> bool {
    match after_token(line) {
        Some([b':', value @ ..]) => value.iter().all(|byte| is_text_byte(*byte)),
        _ => false,
    }
}

/// Returns true when each line of `text` ends with CRLF, and no CR or LF stands elsewhere.
pub(super) fn has_sound_line_ends(text: &[u8]) -> bool {
    let mut rest = text;
    while let Some(at) = rest.iter().position(|byte| matches!(byte, b'\r' | b'\n')) {
        match rest[at..].strip_prefix(b"\r\n") {
            Some(next) => rest = next,
            None => return false,
        }
    }
    true
}

#[cfg(test)]
mod tests;

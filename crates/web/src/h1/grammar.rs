//! Hand-written validators for parts of the RFC 9110 and RFC 9112 grammar, without any leniency.

/// Returns true for a byte that is allowed in a token (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns true for a byte that is allowed in a field value: visible ASCII, space, tab or
/// non-ASCII.
fn is_text_byte(byte: u8) -> bool {
    matches!(byte, b'\t' | b' '..=b'~' | 0x80..)
}

/// Returns `text` without its leading bytes that satisfy `predicate`.
fn skip_while(text: &[u8], predicate: fn(u8) -> bool) -> &[u8] {
    &text[text.iter().take_while(|byte| predicate(**byte)).count()..]
}

fn skip_whitespace(text: &[u8]) -> &[u8] {
    skip_while(text, |byte| matches!(byte, b' ' | b'\t'))
}

/// Returns what follows the token at the start of `text`; `None` when there is no token.
fn after_token(text: &[u8]) -> Option<&[u8]> {
    let rest = skip_while(text, is_token_byte);
    (rest.len() < text.len()).then_some(rest)
}

/// Returns what follows the quoted string at the start of `text`; `None` when there is none.
fn after_quoted_string(text: &[u8]) -> Option<&[u8]> {
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

/// Returns true when `text` is a possibly empty sequence of chunk extensions (RFC 9112, section
/// 7.1.1).
pub(super) fn is_chunk_extensions(text: &[u8]) -> bool {
    let mut text = text;
    while !text.is_empty() {
        let Some(name) = skip_whitespace(text).strip_prefix(b";") else { return false };
        let Some(after_name) = after_token(skip_whitespace(name)) else { return false };
        text = match skip_whitespace(after_name) {
            [b'=', value @ ..] => {
                let value = skip_whitespace(value);
                match after_token(value).or_else(|| after_quoted_string(value)) {
                    Some(rest) => rest,
                    None => return false,
                }
            }
            _ => after_name,
        };
    }
    true
}

/// Returns true when `line` is a field line without its CRLF (RFC 9112, section 5).
///
/// Whitespace before the colon and folded lines are not accepted.
pub(super) fn is_field_line(line: &[u8]) -> bool {
    match after_token(line) {
        Some([b':', value @ ..]) => value.iter().all(|byte| is_text_byte(*byte)),
        _ => false,
    }
}

/// Returns true when CR and LF occur in `text` only as CRLF pairs.
pub(super) fn has_only_crlf_line_endings(text: &[u8]) -> bool {
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

//! What a request asks, as a key that is the same for each attempt.

use quarantine::ContentKey;
use web::h1;

/// Bytes of a body that count. So much of a long one is at hand before it is sent on, however it
/// comes in; what follows does not tell two attempts apart.
const BODY_BYTES: usize = 64 * 1024;

/// Returns what a request asks: its method, host and target, who asks, and its body.
///
/// Its id and its deadline are new with each attempt, and from where it is sent says little of who
/// asks. `body` is its body as far as it was received before it was sent on.
pub(crate) fn of(head: &h1::RequestHead, body: &[u8]) -> ContentKey {
    let line = [head.method.as_str(), head.host.as_str(), head.target.as_str()].map(str::as_bytes);
    let caller = web::credentials(&head.headers);
    let length = match head.framing {
        h1::Framing::Length(length) => length.to_be_bytes(),
        _ => Default::default(),
    };
    let body = [length.as_slice(), &body[..body.len().min(BODY_BYTES)]];
    ContentKey::of(line.into_iter().chain(caller).chain(body))
}

#[cfg(test)]
mod tests;

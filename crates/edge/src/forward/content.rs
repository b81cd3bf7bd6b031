//! Content key of a request, which is the same for all attempts of its caller.

use quarantine::ContentKey;
use web::h1;

/// Longest part of a body that the key covers. That much of a streamed body has always been
/// received before forwarding begins, so all attempts get the same key; the remainder does not
/// count.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Returns the content key of a request: a digest of its method, host, target, credentials and
/// body.
///
/// Request id and deadline differ between attempts, and the caller's address says little about who
/// it is, so they are left out. `body` is the part of the body received before forwarding began.
pub(crate) fn of(head: &h1::RequestHead, body: &[u8]) -> ContentKey {
    let line = [head.method.as_str(), head.host.as_str(), head.target.as_str()].map(str::as_bytes);
    let caller = web::credentials(&head.headers);
    let length = match head.framing {
        h1::Framing::Length(length) => length.to_be_bytes(),
        _ => Default::default(),
    };
    let body = [length.as_slice(), &body[..body.len().min(MAX_BODY_BYTES)]];
    ContentKey::of(line.into_iter().chain(caller).chain(body))
}

#[cfg(test)]
mod tests;

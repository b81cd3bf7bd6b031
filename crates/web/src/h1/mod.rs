//! HTTP/1.1 messages with strict framing, and the TCP streams that carry them.
//!
//! Parsing and decoding do no I/O; [`Reader`] and [`Writer`] do.
//!
//! When a proxy frames a message differently from the next hop, a caller can hide a second request
//! inside the first (request smuggling), and upstreams receive requests that no caller sent. To
//! prevent this, messages with an ambiguous length are rejected, and a forwarded message is always
//! serialized from its parsed form.

mod body;
mod grammar;
mod head;
mod stream;

pub use body::{encode_chunk, Decoder, Progress, LAST_CHUNK};
pub(crate) use head::has_connection_option;
pub use head::{
    parse_request, parse_response, write_request, write_response, Framing, ParseError, RequestHead,
    ResponseHead, MAX_RESPONSE_HEAD_BYTES,
};
pub use stream::{split, split_with_receive_times, ReadError, Reader, Writer};

#[cfg(test)]
mod tests;

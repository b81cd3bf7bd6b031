//! HTTP/1.1 messages: strict framing, apart from input and output, and the
//! byte streams they travel on.
//!
//! A proxy that frames a message differently from the next hop lets a caller
//! hide a second request inside the first; it shows as requests at upstreams
//! that no caller sent. So a message whose length can be read in two ways is
//! refused here, and a message is always written anew from its parsed form.

mod body;
mod grammar;
mod head;
mod stream;

pub use body::{encode_chunk, Decoder, Piece, LAST_CHUNK};
pub use head::{
    parse_request, parse_response, write_request, write_response, Framing, Malformed, RequestHead,
    ResponseHead, MAX_RESPONSE_HEAD_BYTES,
};
pub use stream::{ReadError, Reader, Writer};

#[cfg(test)]
mod tests;

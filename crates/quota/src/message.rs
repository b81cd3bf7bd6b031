//! What nodes send each other about quotas, one message per datagram.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use team::TeamName;

use crate::Shard;

/// Maximum size of a datagram, in bytes: below the IPv6 minimum MTU (1280 bytes) less headers.
pub const MAX_MESSAGE_BYTES: usize = 1_200;

/// Protocol version, the first byte of every datagram.
const PROTOCOL_VERSION: u8 = 1;

/// Maximum number of tokens in a message: a node that asks for more is faulty.
const MAX_TOKENS: u32 = 100_000;

/// Sequence number of a question, echoed by its answer.
pub type Seq = u32;

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the owner of a shard for tokens.
    Ask {
        /// Echoed by the answer.
        seq: Seq,
        /// Team that the tokens are for.
        team: TeamName,
        /// Shard that they are to be taken from.
        shard: Shard,
        /// Number of tokens asked for.
        wanted: u32,
        /// Requests that the node has refused since it last asked; they will be retried.
        refused: u32,
    },
    /// Grants tokens.
    Grant {
        /// Sequence number of the question.
        seq: Seq,
        /// Number of tokens, at least one.
        tokens: u32,
    },
    /// Grants none: the shard has no token left.
    Deny {
        /// Sequence number of the question.
        seq: Seq,
        /// Time until there will be tokens for the requests refused so far.
        retry_after_ms: u32,
    },
    /// Grants none: the receiver does not decide on this shard.
    NotOwner {
        /// Sequence number of the question.
        seq: Seq,
    },
    /// Returns tokens to the shard that they were taken from, as their requests did not run.
    Return {
        /// Team that the tokens were for.
        team: TeamName,
        /// Shard that they were taken from.
        shard: Shard,
        /// Number of tokens.
        tokens: u32,
    },
}

quick_error! {
    /// Why a datagram is refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DecodeError {
        /// The datagram is longer than any message.
        TooLong(bytes: usize) {
            display("{} bytes", bytes)
        }
        /// The datagram has another protocol version, or none.
        Version(version: Option<u8>) {
            display("protocol version {:?} is not {}", version, PROTOCOL_VERSION)
        }
        /// The bytes are not exactly one message.
        Malformed(message: String) {
            display("malformed message: {}", message)
        }
        /// The message states more tokens than any node holds.
        TokenCount(tokens: u32) {
            display("{} tokens", tokens)
        }
    }
}

impl Message {
    /// Encodes the message as a datagram; `None` if it would be too long because of its team's
    /// name.
    ///
    /// # Panics
    ///
    /// Panics when memory for the encoding cannot be allocated.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes =
            postcard::to_extend(self, vec![PROTOCOL_VERSION]).expect("failed to encode a message");
        (bytes.len() <= MAX_MESSAGE_BYTES).then_some(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] unless the bytes are exactly one valid message of this protocol
    /// version.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        let body = match bytes {
            _ if bytes.len() > MAX_MESSAGE_BYTES => return Err(DecodeError::TooLong(bytes.len())),
            [PROTOCOL_VERSION, body @ ..] => body,
            _ => return Err(DecodeError::Version(bytes.first().copied())),
        };
        let malformed = |err: String| DecodeError::Malformed(err);
        let (message, rest) =
            postcard::take_from_bytes::<Message>(body).map_err(|err| malformed(err.to_string()))?;
        if !rest.is_empty() {
            return Err(malformed(format!("{} bytes follow the message", rest.len())));
        }
        match message.tokens() {
            tokens if tokens > MAX_TOKENS => Err(DecodeError::TokenCount(tokens)),
            _ => Ok(message),
        }
    }

    /// Returns the largest number of tokens or requests that the message states.
    fn tokens(&self) -> u32 {
        match self {
            Message::Ask { wanted, refused, .. } => *wanted.max(refused),
            Message::Grant { tokens, .. } | Message::Return { tokens, .. } => *tokens,
            Message::Deny { .. } | Message::NotOwner { .. } => 0,
        }
    }
}

use proptest::prelude::*;

use crate::{DecodeError, Message, MAX_MESSAGE_BYTES};

fn ask(team: &str, wanted: u32) -> Message {
    Message::Ask { seq: 7, team: team.into(), shard: 2, wanted, refused: 3 }
}

#[test]
fn a_message_survives_encoding() {
    let bytes = ask("north", 4).encode().expect("fits");
    assert!(bytes.len() < 16, "{} bytes", bytes.len());
    assert_eq!(Message::decode(&bytes), Ok(ask("north", 4)));
}

/// Guards against datagrams that a link fragments.
#[test]
fn a_name_that_does_not_fit_is_not_encoded() {
    assert_eq!(ask(&"n".repeat(MAX_MESSAGE_BYTES), 1).encode(), None);
}

/// Guards against a peer of another version whose bytes happen to be a message of this one.
#[test]
fn another_version_is_refused() {
    let mut bytes = ask("north", 4).encode().expect("fits");
    bytes[0] += 1;
    assert_eq!(Message::decode(&bytes), Err(DecodeError::Version(Some(2))));
    assert_eq!(Message::decode(&[]), Err(DecodeError::Version(None)));
}

/// Guards against a faulty peer that grants or takes more than any node could hold.
#[test]
fn an_implausible_number_of_tokens_is_refused() {
    let bytes = Message::Grant { seq: 1, tokens: u32::MAX }.encode().expect("fits");
    assert_eq!(Message::decode(&bytes), Err(DecodeError::TokenCount(u32::MAX)));
}

proptest! {
    /// Guards against messages that were cut off or have bytes appended.
    #[test]
    fn other_lengths_are_refused(cut in 1usize..10, extra in 1usize..10) {
        let bytes = ask("north", 4).encode().expect("fits");
        prop_assert!(Message::decode(&bytes[..bytes.len() - cut]).is_err());
        let longer: Vec<u8> = bytes.iter().copied().chain((0..extra).map(|_| 0)).collect();
        prop_assert!(Message::decode(&longer).is_err());
    }

    /// Guards against panics on bytes of any content.
    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        let _ = Message::decode(&bytes);
    }
}

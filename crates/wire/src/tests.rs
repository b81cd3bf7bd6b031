use std::net::SocketAddr;

use proptest::prelude::*;

use crate::{
    Body, DecodeError, MemberUpdate, Note, Packet, Sender, Standing, Verdict, PROTOCOL_VERSION,
};

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn packet() -> Packet {
    Packet {
        sender: Sender {
            addr: addr(1),
            incarnation: 7,
            zone: "attiki-a".into(),
            config_head: 300,
            list_head: 301,
            held_digest: 302,
        },
        body: Body::PingReq(9, addr(2)),
        members: vec![MemberUpdate {
            addr: addr(3),
            incarnation: 1,
            standing: Standing::Suspect,
            zone: "attiki-b".into(),
        }],
        notes: vec![Note {
            upstream: addr(4),
            watcher: addr(1),
            seq: 12,
            verdict: Verdict::Draining,
        }],
        findings: vec![finding()],
        notices: vec![notice()],
    }
}

fn notice() -> notice::Notice {
    notice::Notice {
        start: quarantine::Start::of("u", 1),
        stated_unix_ms: 1_000,
        statement: notice::Statement::Limit(Some(1_100)),
    }
}

fn finding() -> quarantine::Finding {
    let mut ledger = quarantine::Quarantine::default();
    let content = quarantine::ContentKey::of([b"GET /a".as_slice()]);
    for n in 1..=3 {
        let known = ledger.version(content);
        ledger.record_crash(content, known, quarantine::Start::of("u", n), 1_000);
    }
    ledger.take_new_findings(1_000).pop().expect("it was found").finding
}

#[test]
fn a_packet_survives_the_wire() {
    assert_eq!(Packet::decode(&packet().encode()), Ok(packet()));
}

/// Symptom: a node acts on half a packet, or panics on a stray datagram.
/// Sequence: a datagram arrives cut short, with bytes added, of another
/// protocol version, or with an enum value this build does not know.
/// Cause: decoding what can be decoded and ignoring the rest.
#[test]
fn damaged_packets_are_refused_whole() {
    let whole = packet().encode();
    for length in 0..whole.len() {
        assert!(Packet::decode(&whole[..length]).is_err(), "accepted {length} bytes");
    }
    let mut longer = whole.clone();
    longer.push(0);
    assert!(matches!(Packet::decode(&longer), Err(DecodeError::Malformed(_))));
    let mut other_version = whole.clone();
    for version in [PROTOCOL_VERSION - 1, PROTOCOL_VERSION + 1] {
        other_version[0] = version;
        assert_eq!(Packet::decode(&other_version), Err(DecodeError::Version(version)));
    }
    // The verdict of the last note stands before the numbers of findings and notices.
    let without = Packet { findings: Vec::new(), notices: Vec::new(), ..packet() };
    let mut unknown_verdict = without.encode();
    let verdict = unknown_verdict.len() - 3;
    assert_eq!(unknown_verdict[verdict], Verdict::Draining as u8);
    unknown_verdict[verdict] = 9;
    assert!(matches!(Packet::decode(&unknown_verdict), Err(DecodeError::Malformed(_))));
    let no_upstream = quarantine::Finding { crashed: Vec::new(), ..finding() };
    let unsound = Packet { findings: vec![finding(), no_upstream], ..packet() };
    assert!(matches!(Packet::decode(&unsound.encode()), Err(DecodeError::Malformed(_))));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0051_4e15),
        ..ProptestConfig::default()
    })]

    /// Symptom: one stray datagram kills an entry node.
    /// Sequence: any bytes arrive on the membership port.
    /// Cause: a decoder that panics or allocates what a length field claims.
    #[test]
    fn any_bytes_decode_or_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(packet) = Packet::decode(&bytes) {
            prop_assert_eq!(Packet::decode(&packet.encode()), Ok(packet));
        }
    }

    /// As above, for bytes one change away from a real packet.
    #[test]
    fn a_flipped_byte_is_refused_or_read_as_a_packet(at in any::<prop::sample::Index>(), value in any::<u8>()) {
        let mut bytes = packet().encode();
        let at = at.index(bytes.len());
        bytes[at] = value;
        if let Ok(packet) = Packet::decode(&bytes) {
            prop_assert_eq!(Packet::decode(&packet.encode()), Ok(packet));
        }
    }
}

use std::net::SocketAddr;

use proptest::prelude::*;

use crate::{
    Body, DecodeError, HealthReport, MemberUpdate, Packet, Sender, Standing, Verdict,
    PROTOCOL_VERSION,
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
        health_reports: vec![HealthReport {
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
    let mut quarantine = quarantine::Quarantine::default();
    let content = quarantine::ContentKey::of([b"GET /a".as_slice()]);
    for n in 1..=3 {
        let version = quarantine.version(content);
        quarantine.record_crash(content, version, quarantine::Start::of("u", n), 1_000);
    }
    quarantine.take_new_findings(1_000).pop().expect("three crashes produce a finding").finding
}

#[test]
fn encoded_packet_decodes_to_itself() {
    assert_eq!(Packet::decode(&packet().encode()), Ok(packet()));
}

/// Guards against a decoder that accepts the readable part of a packet and ignores the rest, or
/// that panics: datagrams may be truncated, have trailing bytes, be of another protocol version, or
/// contain an enum value that this build does not know.
#[test]
fn damaged_packets_are_rejected() {
    let encoded = packet().encode();
    for length in 0..encoded.len() {
        assert!(
            Packet::decode(&encoded[..length]).is_err(),
            "accepted a packet cut to {length} bytes"
        );
    }
    let mut with_trailing_byte = encoded.clone();
    with_trailing_byte.push(0);
    assert!(matches!(Packet::decode(&with_trailing_byte), Err(DecodeError::Malformed(_))));
    let mut other_version = encoded.clone();
    for version in [PROTOCOL_VERSION - 1, PROTOCOL_VERSION + 1] {
        other_version[0] = version;
        assert_eq!(Packet::decode(&other_version), Err(DecodeError::Version(version)));
    }
    // Without findings and notices, the last bytes are the verdict of the last health report and
    // the lengths of these two empty lists.
    let without_findings = Packet { findings: Vec::new(), notices: Vec::new(), ..packet() };
    let mut unknown_verdict = without_findings.encode();
    let verdict_index = unknown_verdict.len() - 3;
    assert_eq!(unknown_verdict[verdict_index], Verdict::Draining as u8);
    unknown_verdict[verdict_index] = 9;
    assert!(matches!(Packet::decode(&unknown_verdict), Err(DecodeError::Malformed(_))));
    let without_crashes = quarantine::Finding { crashed: Vec::new(), ..finding() };
    let with_invalid_finding = Packet { findings: vec![finding(), without_crashes], ..packet() };
    assert!(matches!(
        Packet::decode(&with_invalid_finding.encode()),
        Err(DecodeError::Malformed(_))
    ));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0051_4e15),
        ..ProptestConfig::default()
    })]

    /// Guards against an entry node that a stray datagram takes down, because the decoder panics or
    /// allocates as much memory as a length field claims.
    #[test]
    fn arbitrary_bytes_decode_or_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(packet) = Packet::decode(&bytes) {
            prop_assert_eq!(Packet::decode(&packet.encode()), Ok(packet));
        }
    }

    /// The same, for valid packets with one byte changed.
    #[test]
    fn a_changed_byte_is_rejected_or_decodes(
        position in any::<prop::sample::Index>(),
        value in any::<u8>(),
    ) {
        let mut bytes = packet().encode();
        let position = position.index(bytes.len());
        bytes[position] = value;
        if let Ok(packet) = Packet::decode(&bytes) {
            prop_assert_eq!(Packet::decode(&packet.encode()), Ok(packet));
        }
    }
}

fn hints() -> crate::Hints {
    crate::Hints {
        sender: SocketAddr::from(([10, 0, 0, 1], 7_660)),
        silent_services: vec![crate::SilentService { service: "desk".into(), left_s: 600 }],
    }
}

/// Guards against nodes of an older version that take hints for a packet, or the reverse:
/// each refuses the other whole.
#[test]
fn hints_and_packets_are_told_apart() {
    let bytes = hints().encode();
    assert!(crate::Hints::are_in(&bytes));
    assert_eq!(crate::Hints::decode(&bytes), Ok(hints()));
    assert_eq!(Packet::decode(&bytes), Err(DecodeError::Version(6)));
    let packet = [5, 0, 0];
    assert!(!crate::Hints::are_in(&packet));
    assert_eq!(crate::Hints::decode(&packet), Err(DecodeError::Version(5)));
}

/// Guards against hints that do not fit into a datagram, or take unbounded memory.
#[test]
fn hints_are_bounded() {
    let addr = SocketAddr::from(([10, 200, 200, 200], 65_535));
    let silent = crate::SilentService { service: "s".repeat(63).into(), left_s: u16::MAX };
    let mut largest = crate::Hints {
        sender: addr,
        silent_services: vec![silent.clone(); crate::MAX_SILENT_SERVICES],
    };
    let bytes = largest.encode();
    assert!(bytes.len() <= crate::MAX_PACKET_BYTES, "{} bytes", bytes.len());
    assert_eq!(crate::Hints::decode(&bytes), Ok(largest.clone()));
    assert!(crate::Hints::decode(&bytes[..bytes.len() - 1]).is_err());
    largest.silent_services.push(silent);
    assert!(crate::Hints::decode(&largest.encode()).is_err());
}

/// Guards against nodes of an older version that take a path claim for a packet or for hints.
#[test]
fn path_claims_are_told_apart_from_other_datagrams() {
    for is_partitioned in [true, false] {
        let claim = crate::PathClaim { sender: hints().sender, is_partitioned };
        let bytes = claim.encode();
        assert!(crate::PathClaim::is_in(&bytes) && !crate::Hints::are_in(&bytes));
        assert_eq!(crate::PathClaim::decode(&bytes), Ok(claim));
        assert_eq!(Packet::decode(&bytes), Err(DecodeError::Version(7)));
        assert!(crate::PathClaim::decode(&bytes[..bytes.len() - 1]).is_err());
        assert!(crate::PathClaim::decode(&[&bytes[..], &[0]].concat()).is_err());
    }
    assert!(!crate::PathClaim::is_in(&hints().encode()));
}

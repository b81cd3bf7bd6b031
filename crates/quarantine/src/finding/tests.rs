use proptest::prelude::*;

use super::{Finding, MAX_CRASHED};
use crate::{ContentKey, Start};

fn content() -> ContentKey {
    ContentKey::of([b"GET /a".as_slice()])
}

prop_compose! {
    fn finding()(
        epoch in 0..3u32,
        waves in 1..4u8,
        crashed in prop::collection::vec(0..6u64, 1..6),
        until_unix_ms in 0..5u64,
        clear in prop::bool::weighted(0.2),
    ) -> Finding {
        let mut finding = Finding { epoch, until_unix_ms, ..Finding::empty(content()) };
        if !clear {
            finding.waves = waves;
            crashed.iter().for_each(|n| finding.add_crashed(Start::of("u", *n)));
        }
        finding
    }
}

fn merged(one: &Finding, other: &Finding) -> Finding {
    let mut merged = one.clone();
    merged.merge(other);
    merged
}

proptest! {
    /// Guards against nodes that never agree whether a request is quarantined: findings arrive in a
    /// different order at each node, some twice, so the result must not depend on order or
    /// repetition.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        a in finding(), b in finding(), c in finding(),
    ) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        prop_assert!(merged(&a, &b).is_valid());
    }

    #[test]
    fn merge_reports_whether_it_changed_the_finding(a in finding(), b in finding()) {
        let mut merged = a.clone();
        prop_assert_eq!(merged.merge(&b), merged != a);
    }

    #[test]
    fn findings_round_trip(a in finding()) {
        let bytes = postcard::to_stdvec(&a).expect("encodes");
        prop_assert_eq!(postcard::from_bytes::<Finding>(&bytes).expect("decodes"), a);
    }
}

#[test]
fn impossible_findings_are_invalid() {
    let valid = merged(&Finding { waves: 1, ..Finding::empty(content()) }, &{
        let mut finding = Finding::empty(content());
        finding.add_crashed(Start::of("u", 1));
        finding
    });
    assert!(valid.is_valid());
    let invalid = [
        Finding { waves: 0, ..valid.clone() },
        Finding { crashed: Vec::new(), ..valid.clone() },
        Finding { crashed: vec![valid.crashed[0]; 2], ..valid.clone() },
        Finding { crashed: vec![valid.crashed[0]; MAX_CRASHED + 1], ..valid },
    ];
    assert!(invalid.iter().all(|finding| !finding.is_valid()));
}

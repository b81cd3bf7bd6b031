use proptest::prelude::*;

use super::{Finding, CRASHED_KEPT};
use crate::{Content, Start};

fn content() -> Content {
    Content::of([b"GET /a".as_slice()])
}

prop_compose! {
    fn finding()(
        epoch in 0..3u32,
        waves in 1..4u8,
        crashed in prop::collection::vec(0..6u64, 1..6),
        until_unix_ms in 0..5u64,
        clear in prop::bool::weighted(0.2),
    ) -> Finding {
        let mut finding = Finding { epoch, until_unix_ms, ..Finding::none(content()) };
        if !clear {
            finding.waves = waves;
            crashed.iter().for_each(|n| finding.add(Start::of("u", *n)));
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
    /// Symptom: nodes never agree whether a request is held back.
    /// Sequence: findings arrive in another order at each node, some twice.
    /// Cause: a merge whose outcome depends on order or on repeats.
    #[test]
    fn findings_are_merged_in_any_order_and_any_number_of_times(
        a in finding(), b in finding(), c in finding(),
    ) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        prop_assert!(merged(&a, &b).is_sound());
    }

    #[test]
    fn what_is_news_changes_what_is_known(a in finding(), b in finding()) {
        let mut known = a.clone();
        prop_assert_eq!(known.merge(&b), known != a);
    }

    #[test]
    fn a_finding_is_read_back_as_it_was(a in finding()) {
        let bytes = postcard::to_stdvec(&a).expect("encodes");
        prop_assert_eq!(postcard::from_bytes::<Finding>(&bytes).expect("decodes"), a);
    }
}

#[test]
fn what_no_node_can_have_found_is_unsound() {
    let sound = merged(&Finding { waves: 1, ..Finding::none(content()) }, &{
        let mut finding = Finding::none(content());
        finding.add(Start::of("u", 1));
        finding
    });
    assert!(sound.is_sound());
    let unsound = [
        Finding { waves: 0, ..sound.clone() },
        Finding { crashed: Vec::new(), ..sound.clone() },
        Finding { crashed: vec![sound.crashed[0]; 2], ..sound.clone() },
        Finding { crashed: vec![sound.crashed[0]; CRASHED_KEPT + 1], ..sound },
    ];
    assert!(unsound.iter().all(|finding| !finding.is_sound()));
}

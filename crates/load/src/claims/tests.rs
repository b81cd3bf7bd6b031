use std::collections::BTreeMap;

use crate::claims::{check_claims, ClaimOutcome};

#[test]
fn each_inconsistent_claim_is_reported() {
    let outcomes = [
        ("once", ClaimOutcome::Done),
        ("lost", ClaimOutcome::Done),
        ("ran", ClaimOutcome::NotRun),
        ("refused", ClaimOutcome::NotRun),
        ("maybe", ClaimOutcome::Unknown),
        ("twice", ClaimOutcome::Unknown),
    ];
    let claims = outcomes.iter().map(|(key, outcome)| ((*key).into(), *outcome)).collect();
    let counts = [("once", 1), ("ran", 1), ("maybe", 1), ("twice", 2)];
    let executions: BTreeMap<_, _> = counts.iter().map(|(key, n)| ((*key).into(), *n)).collect();
    let report = check_claims(&claims, &executions);
    assert_eq!((report.sent, report.done, report.not_run, report.unknown), (6, 2, 2, 2));
    assert_eq!(report.ran_twice, ["twice"]);
    assert_eq!(report.ran_though_told_not, ["ran"]);
    assert_eq!(report.done_though_never_ran, ["lost"]);
    assert!(!report.is_consistent());
}

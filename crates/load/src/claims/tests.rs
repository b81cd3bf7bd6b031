use std::collections::BTreeMap;

use crate::claims::{check_claims, Told};

#[test]
fn each_broken_promise_is_named() {
    let told = [
        ("once", Told::Done),
        ("lost", Told::Done),
        ("ran", Told::NotRun),
        ("refused", Told::NotRun),
        ("maybe", Told::Unknown),
        ("twice", Told::Unknown),
    ];
    let claims = told.iter().map(|(key, told)| ((*key).into(), *told)).collect();
    let ran = [("once", 1), ("ran", 1), ("maybe", 1), ("twice", 2)];
    let executions: BTreeMap<_, _> = ran.iter().map(|(key, n)| ((*key).into(), *n)).collect();
    let report = check_claims(&claims, &executions);
    assert_eq!((report.sent, report.done, report.not_run, report.unknown), (6, 2, 2, 2));
    assert_eq!(report.ran_twice, ["twice"]);
    assert_eq!(report.ran_though_told_not, ["ran"]);
    assert_eq!(report.done_though_never_ran, ["lost"]);
    assert!(!report.holds());
}

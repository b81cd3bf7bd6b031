use std::time::{Duration, Instant};

use super::{Evacuations, UNLISTED_TTL_AFTER_OUTAGE};

const MILLISECOND: Duration = Duration::from_millis(1);

fn zones(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.zones().iter().map(|zone| zone.as_str()).collect()
}

#[test]
fn a_zone_is_evacuated_until_it_is_restored() {
    let mut evacuations = Evacuations::default();
    evacuations.set("a".into(), true);
    evacuations.set("a".into(), true);
    evacuations.set("b".into(), true);
    assert_eq!(zones(&evacuations), ["a", "b"]);
    evacuations.set("a".into(), false);
    evacuations.set("c".into(), false);
    assert!(!evacuations.is_evacuated("a") && evacuations.is_evacuated("b"));
    evacuations.apply_snapshot(["c".into()].into());
    assert_eq!(zones(&evacuations), ["c"]);
}

/// Guards against sending requests to an evacuated zone, or none to a restored one, after the store
/// was rolled back to a copy that is some seconds old: an evacuation that was started or lifted
/// since the copy was made is written again a second later.
#[test]
fn an_older_list_is_not_in_force_while_writers_may_write_again() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.set("restored-since".into(), true);
    evacuations.apply_snapshot(["evacuated-since".into()].into());
    evacuations.store_rolled_back(now);
    evacuations.apply_snapshot(["new".into(), "restored-since".into()].into());
    evacuations.expire(now + UNLISTED_TTL_AFTER_OUTAGE - MILLISECOND);
    assert_eq!(zones(&evacuations), ["evacuated-since", "new"]);
    evacuations.set("new".into(), false);

    evacuations.set("evacuated-since".into(), true);
    evacuations.set("restored-since".into(), false);
    evacuations.expire(now + UNLISTED_TTL_AFTER_OUTAGE);
    assert_eq!(zones(&evacuations), ["evacuated-since"]);
}

/// Guards against never applying the list of a rolled-back store: if nobody writes again, it is in
/// force after a delay.
#[test]
fn an_older_list_is_in_force_if_nobody_writes_again() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.set("restored-since".into(), true);
    evacuations.set("restored-since".into(), false);
    evacuations.set("evacuated-since".into(), true);
    evacuations.store_rolled_back(now);
    evacuations.apply_snapshot(["restored-since".into()].into());
    assert_eq!(zones(&evacuations), ["evacuated-since"]);
    evacuations.expire(now + UNLISTED_TTL_AFTER_OUTAGE);
    assert_eq!(zones(&evacuations), ["restored-since"]);
}

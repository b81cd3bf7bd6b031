use std::time::{Duration, Instant};

use super::{Evacuations, KEEP_AFTER_OUTAGE};

const MOMENT: Duration = Duration::from_millis(1);

fn zones(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.zones().iter().map(|zone| zone.as_str()).collect()
}

#[test]
fn a_zone_is_evacuated_until_it_is_taken_back() {
    let mut evacuations = Evacuations::default();
    evacuations.set("a".into(), true);
    evacuations.set("a".into(), true);
    evacuations.set("b".into(), true);
    assert_eq!(zones(&evacuations), ["a", "b"]);
    evacuations.set("a".into(), false);
    evacuations.set("c".into(), false);
    assert!(!evacuations.is_evacuated("a") && evacuations.is_evacuated("b"));
    evacuations.whole(["c".into()].into());
    assert_eq!(zones(&evacuations), ["c"]);
}

/// Symptom: requests reach a zone that was evacuated, or none reach one whose evacuation was taken back.
/// Sequence: the store comes back from a copy that is some seconds old; the evacuation was begun, or
/// taken back, since that copy was made; it is written again a second later.
/// Cause: taking the older list for news.
#[test]
fn an_older_copy_changes_nothing_until_it_could_be_written_again() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.set("taken-back-since".into(), true);
    evacuations.whole(["begun-since".into()].into());
    evacuations.store_went_back(now);
    evacuations.whole(["new".into(), "taken-back-since".into()].into());
    evacuations.expire(now + KEEP_AFTER_OUTAGE - MOMENT);
    assert_eq!(zones(&evacuations), ["begun-since", "new"]);
    evacuations.set("new".into(), false);

    evacuations.set("begun-since".into(), true);
    evacuations.set("taken-back-since".into(), false);
    evacuations.expire(now + KEEP_AFTER_OUTAGE);
    assert_eq!(zones(&evacuations), ["begun-since"]);
}

/// Symptom: a zone stays evacuated for ever, or never is.
/// Sequence: as above, and nobody writes again.
/// Cause: never believing what the store lists.
#[test]
fn an_older_copy_counts_once_nobody_has_written_again() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.set("taken-back-since".into(), true);
    evacuations.set("taken-back-since".into(), false);
    evacuations.set("begun-since".into(), true);
    evacuations.store_went_back(now);
    evacuations.whole(["taken-back-since".into()].into());
    assert_eq!(zones(&evacuations), ["begun-since"]);
    evacuations.expire(now + KEEP_AFTER_OUTAGE);
    assert_eq!(zones(&evacuations), ["taken-back-since"]);
}

use crate::VersionRecord;

fn record(diff: &str) -> VersionRecord {
    VersionRecord {
        version: 7,
        base_version: 5,
        held_before: 5,
        node_id: "n1".into(),
        at_unix_ms: 1,
        diff: diff.to_owned(),
        diff_lines_left_out: 0,
    }
}

#[test]
fn a_record_survives_the_store() {
    let record = record("-a\n+b\n");
    assert_eq!(VersionRecord::from_json(&record.to_json()), Ok(record));
}

/// Symptom: a change of hundreds of routes has no record.
/// Sequence: its diff is longer than a row may be.
/// Cause: a write that the store refuses for its size, every time.
#[yare::parameterized(
    fits = { 9, "-a\n+b\n+c\n", 0 },
    second_line_cut = { 5, "-a\n", 2 },
    nothing_fits = { 1, "", 3 },
)]
fn long_diffs_are_cut_at_a_line(most_bytes: usize, diff: &str, left_out: usize) {
    let mut record = record("-a\n+b\n+c\n");
    record.bound_diff(most_bytes);
    assert_eq!((record.diff.as_str(), record.diff_lines_left_out), (diff, left_out));
}

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
fn a_record_round_trips_through_json() {
    let record = record("-a\n+b\n");
    assert_eq!(VersionRecord::from_json(&record.to_json()), Ok(record));
}

/// Guards against a change of hundreds of routes that leaves no record, because its diff exceeds
/// the maximum size of a row and the store rejects the record on every attempt.
#[yare::parameterized(
    fits = { 9, "-a\n+b\n+c\n", 0 },
    second_line_cut = { 5, "-a\n", 2 },
    nothing_fits = { 1, "", 3 },
)]
fn long_diffs_are_truncated_after_a_line(max_bytes: usize, diff: &str, left_out: usize) {
    let mut record = record("-a\n+b\n+c\n");
    record.truncate_diff(max_bytes);
    assert_eq!((record.diff.as_str(), record.diff_lines_left_out), (diff, left_out));
}

use super::explain;

const LOGS: &str = r#"
node-1 {"unix_ms":1000,"event":"config_applied","version":7}
node-1 {"unix_ms":5000,"event":"answer_lost","request":"aa","upstream":"u1","reason":"connection broke","sends":[{"upstream":"u1","at_ms":0,"predicted_ms":100,"report_age_ms":5}]}
node-2 {"unix_ms":5100,"event":"probe_connect_failed","upstream":"u1"}
node-2 {"unix_ms":5100,"event":"refused","request":"bb","reason":"would be too late","sends":[]}
node-2 {"unix_ms":5200,"event":"config_applied","version":8}
not a line
node-1 {"unix_ms":4900,"event":"upstream_listed","upstream":"u2"}
node-1 {"unix_ms":5300,"event":"late","request":"aa","sends":[{"upstream":"u1"},{"upstream":"u3"}]}
node-2 {"unix_ms":99000,"event":"upstream_dropped","upstream":"u1"}
"#;

#[test]
fn timeline_contains_the_lines_of_a_request_and_events_of_its_node_and_upstreams() {
    let timeline = explain("aa", LOGS).join("\n");
    let lines: Vec<&str> = timeline.lines().collect();
    assert_eq!(lines.len(), 4, "{timeline}");
    assert!(lines[0].contains("config_applied") && lines[0].contains("-4000 ms"), "{timeline}");
    assert!(lines[1].starts_with('*') && lines[1].contains("answer_lost"), "{timeline}");
    assert!(lines[2].starts_with('*') && lines[2].contains("+300 ms"), "{timeline}");
    assert!(lines[3].contains("upstream u1") && lines[3].ends_with("probe_connect_failed=1"));
}

#[test]
fn timeline_of_a_request_without_lines_is_empty() {
    assert!(explain("cc", LOGS).is_empty());
    assert!(explain("aa", "").is_empty());
}

const CRASHES: &str = r#"
node-1 {"unix_ms":1000,"event":"answer_lost","request":"aa","content":"00ab","upstream":"u1","reason":"closed without an answer","sends":[]}
node-1 {"unix_ms":1002,"event":"upstream_ended","upstream":"u1","under_way":[{"content":"00ab","ran_ms":60},{"content":"00cd","ran_ms":5}]}
node-2 {"unix_ms":1300,"event":"answer_lost","request":"bb","content":"00ab","upstream":"u2","reason":"closed without an answer","sends":[]}
node-3 {"unix_ms":1400,"event":"held_back","content":"00ab","in_sequence":3,"crashed":3}
node-3 {"unix_ms":99000,"event":"refused","request":"cc","content":"00ab","reason":"crashes upstreams","sends":[]}
node-3 {"unix_ms":99001,"event":"refused","request":"dd","content":"00ef","reason":"would be too late","sends":[]}
"#;

/// The reason of a refusal is found by the request id and by the content key.
#[test]
fn timeline_shows_why_a_request_is_quarantined() {
    let by_id = explain("cc", CRASHES).join("\n");
    assert!(by_id.contains("held_back") && by_id.contains("crashes upstreams"), "{by_id}");
    let by_content = explain("00ab", CRASHES);
    let text = by_content.join("\n");
    assert_eq!(by_content.iter().filter(|line| line.starts_with('*')).count(), 5, "{text}");
    assert!(!text.contains("00ef") && text.contains("upstream_ended"), "{text}");
}

const BACKOFFS: &str = r#"
node-1 {"unix_ms":1000,"event":"upstream_rests","upstream":"u1","asked_ms":3000,"told_by":"this node"}
node-2 {"unix_ms":1200,"event":"upstream_leaving","upstream":"u1","told_by":"a peer"}
node-1 {"unix_ms":1500,"event":"not_run_by_upstream","request":"aa","sends":[{"upstream":"u1"}],"upstream":"u1","status":503}
"#;

/// Guards against a refusal whose reason, the backoff that the upstream had asked for, is not
/// shown.
#[test]
fn timeline_shows_the_backoff_that_an_upstream_asked_for() {
    let timeline = explain("aa", BACKOFFS).join("\n");
    assert!(
        timeline.contains("upstream_rests") && timeline.contains("asked_ms=3000"),
        "{timeline}"
    );
    assert!(timeline.contains("all nodes, other requests: upstream_leaving=1"), "{timeline}");
}

const REJECTED: &str = r#"
node-1 {"unix_ms":1000,"event":"config_applied","version":12}
node-1 {"unix_ms":1500,"event":"unauthorized","request":"aa","reason":"unknown key","route":"list","config":12,"key":"00c0ffee"}
node-1 {"unix_ms":1600,"event":"unauthorized","request":"bb","reason":"no key","route":"list","config":12}
node-1 {"unix_ms":1700,"event":"unauthorized","request":"cc","reason":"malformed key","route":"list","config":12}
node-2 {"unix_ms":1800,"event":"refused","request":"dd","reason":"unknown key","route":"list","config":10,"key":"00c0ffee"}
node-2 {"unix_ms":1900,"event":"refused","request":"ee","reason":"no upstream","route":"list","config":10}
"#;

/// Guards against a caller that cannot be told why its key was rejected.
#[yare::parameterized(
    unknown = { "aa", "rejected by node-1: no team has key 00c0ffee in version 12;" },
    missing = { "bb", "rejected by node-1: it has no key, and route list needs one" },
    malformed = { "cc", "rejected by node-1: it has several Authorization headers" },
    perhaps_new = { "dd", "rejected by node-2: no team has key 00c0ffee in version 10, and a newer" },
)]
fn the_cause_of_a_rejected_key_is_shown(request: &str, expected: &str) {
    let timeline = explain(request, REJECTED).join("\n");
    assert!(timeline.contains(expected), "{timeline}");
}

#[test]
fn other_refusals_show_no_cause_about_keys() {
    let timeline = explain("ee", REJECTED).join("\n");
    assert!(timeline.contains("no upstream") && !timeline.contains("rejected by"), "{timeline}");
}

const QUOTAS: &str = r#"
node-1 {"unix_ms":1000,"event":"config_applied","version":8}
node-1 {"unix_ms":1200,"event":"over_quota","request":"aa","team":"north","config":8,"come_back_ms":700,"owner":"10.0.0.2:7601","left_out":0}
node-1 {"unix_ms":1300,"event":"over_quota","request":"bb","team":"south","config":8,"come_back_ms":90,"owner":"denied before","left_out":3}
"#;

/// Guards against a 429 whose team, version and owner are not shown.
#[test]
fn timeline_shows_whose_quota_was_used_up() {
    let text = explain("aa", QUOTAS).join("\n");
    for part in ["over_quota", "team=\"north\"", "config=8", "10.0.0.2:7601", "config_applied"] {
        assert!(text.contains(part), "{part} in {text}");
    }
    assert!(!text.contains("south"), "{text}");
}

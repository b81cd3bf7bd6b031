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
fn a_requests_story_is_its_lines_and_what_befell_its_node_and_upstreams() {
    let story = explain("aa", LOGS).join("\n");
    let lines: Vec<&str> = story.lines().collect();
    assert_eq!(lines.len(), 4, "{story}");
    assert!(lines[0].contains("config_applied") && lines[0].contains("-4000 ms"), "{story}");
    assert!(lines[1].starts_with('*') && lines[1].contains("answer_lost"), "{story}");
    assert!(lines[2].starts_with('*') && lines[2].contains("+300 ms"), "{story}");
    assert!(lines[3].contains("upstream u1") && lines[3].ends_with("probe_connect_failed=1"));
}

#[test]
fn a_request_without_lines_has_no_story() {
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

/// An operator asks why a request is refused: by its id, and by what it asks.
#[test]
fn a_request_that_is_held_back_is_explained() {
    let by_id = explain("cc", CRASHES).join("\n");
    assert!(by_id.contains("held_back") && by_id.contains("crashes upstreams"), "{by_id}");
    let by_content = explain("00ab", CRASHES);
    let text = by_content.join("\n");
    assert_eq!(by_content.iter().filter(|line| line.starts_with('*')).count(), 5, "{text}");
    assert!(!text.contains("00ef") && text.contains("upstream_ended"), "{text}");
}

const RESTS: &str = r#"
node-1 {"unix_ms":1000,"event":"upstream_rests","upstream":"u1","asked_ms":3000,"told_by":"this node"}
node-2 {"unix_ms":1200,"event":"upstream_leaving","upstream":"u1","told_by":"a peer"}
node-1 {"unix_ms":1500,"event":"not_run_by_upstream","request":"aa","sends":[{"upstream":"u1"}],"upstream":"u1","status":503}
"#;

/// Guards against a refusal whose reason, what the upstream had asked for, is not told.
#[test]
fn what_an_upstream_had_asked_for_is_told() {
    let story = explain("aa", RESTS).join("\n");
    assert!(story.contains("upstream_rests") && story.contains("asked_ms=3000"), "{story}");
    assert!(story.contains("all nodes, other requests: upstream_leaving=1"), "{story}");
}

use super::summarize;

const LOGS: &str = r#"
edge-1 {"unix_ms":1000,"event":"started"}
edge-1 {"unix_ms":1500,"event":"refused","request":"a","route":"list","tried_ms":0,"reason":"would be too late","predicted_ms":140,"come_back_ms":50}
edge-2 {"unix_ms":1900,"event":"refused","request":"b","route":"list","tried_ms":300,"reason":"would be too late","predicted_ms":180,"come_back_ms":90}
edge-2 {"unix_ms":2000,"event":"refused","request":"c","route":"list","tried_ms":0,"reason":"no upstream","come_back_ms":300}
edge-1 {"unix_ms":2100,"event":"late","request":"d","route":"list","age_ms":250,"sends":[{"upstream":"u","at_ms":10,"predicted_ms":90},{"upstream":"v","at_ms":100,"predicted_ms":90}]}
edge-1 {"unix_ms":3100,"event":"timed_out","request":"e","route":"claim"}
no line of ours
edge-1 {"unix_ms":3200,"event":"lines_dropped","count":7}
"#;

#[test]
fn problems_are_counted_by_time_and_route() {
    assert_eq!(
        summarize(LOGS, 2),
        [
            "    0 s  list  refused 3, late 1, (no upstream: 1), (would be too late: 2), of the \
             refused, back again: 1, predicted 180 ms, told to come back after 90 ms, late ones took \
             beyond their prediction 60 ms",
            "    2 s  claim  timed out 1",
            "7 lines were dropped: the counts are too low",
        ]
    );
}

#[test]
fn summary_of_logs_without_problems_is_empty() {
    assert!(summarize("", 2).is_empty());
    assert!(summarize("edge-1 {\"unix_ms\":1000,\"event\":\"started\"}\n{not json", 0).is_empty());
}

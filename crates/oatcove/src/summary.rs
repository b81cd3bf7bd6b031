//! What became of requests, by route and time, out of the logs of all entry nodes.
//!
//! A request that is answered in time leaves no line, so that a summary tells of trouble only; the
//! metrics of the nodes tell how many were served.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::log_line::{self, Line};

/// Events about a request that are counted, with the headings of their columns.
const EVENTS: [(&str, &str); 8] = [
    ("refused", "refused"),
    ("late", "late"),
    ("timed_out", "timed out"),
    ("not_run_by_upstream", "refused by upstreams"),
    ("answer_lost", "answers lost"),
    ("upstream_error", "upstream errors"),
    ("second_send_over_budget", "over budget"),
    ("hedged", "hedged"),
];

/// What happened to the requests of one route in one span of time.
#[derive(Debug, Default)]
struct Row {
    counts: BTreeMap<String, usize>,
    /// Of the refused: why, how often.
    reasons: BTreeMap<String, usize>,
    /// Of the refused: attempts of callers that had been trying before.
    returning: usize,
    /// Of the refused, in milliseconds: what was predicted, and when to come back.
    predicted_ms: Vec<u64>,
    come_back_ms: Vec<u64>,
    /// Of the late, in milliseconds: by how much the last send took longer than predicted.
    beyond_prediction_ms: Vec<i64>,
}

impl Row {
    fn add(&mut self, line: &Value) {
        let event = line["event"].as_str().unwrap_or_default();
        *self.counts.entry(event.to_owned()).or_default() += 1;
        match event {
            "refused" => {
                let reason = line["reason"].as_str().unwrap_or("?");
                *self.reasons.entry(reason.to_owned()).or_default() += 1;
                self.returning += usize::from(line["tried_ms"].as_u64().unwrap_or_default() > 0);
                self.predicted_ms.extend(line["predicted_ms"].as_u64());
                self.come_back_ms.extend(line["come_back_ms"].as_u64());
            }
            "late" => self.beyond_prediction_ms.extend(beyond_prediction_ms(line)),
            _ => {}
        }
    }

    fn print(&self) -> String {
        let mut parts: Vec<String> = EVENTS
            .iter()
            .filter_map(|(event, heading)| Some(format!("{heading} {}", self.counts.get(*event)?)))
            .collect();
        for (reason, count) in &self.reasons {
            parts.push(format!("({reason}: {count})"));
        }
        if self.returning > 0 {
            parts.push(format!("of the refused, back again: {}", self.returning));
        }
        let medians = [
            ("predicted", median(&self.predicted_ms).map(|ms| ms as i64)),
            ("told to come back after", median(&self.come_back_ms).map(|ms| ms as i64)),
            ("late ones took beyond their prediction", median(&self.beyond_prediction_ms)),
        ];
        for (what, ms) in medians {
            parts.extend(ms.map(|ms| format!("{what} {ms} ms")));
        }
        parts.join(", ")
    }
}

/// Returns by how much the last send of an answered request took longer than predicted.
fn beyond_prediction_ms(line: &Value) -> Option<i64> {
    let last = line["sends"].as_array()?.last()?;
    let took_ms = line["age_ms"].as_i64()? - last["at_ms"].as_i64()?;
    Some(took_ms - last["predicted_ms"].as_i64()?)
}

/// Returns the middle value, the upper one of two; `None` of nothing.
fn median<T: Copy + Ord>(values: &[T]) -> Option<T> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}

/// Returns one text for each span of `window_s` seconds and each route that had trouble in it, in
/// order; times count from the first line.
///
/// `logs` holds the lines of any number of nodes; lines that are no JSON are passed over.
pub fn summarize(logs: &str, window_s: u64) -> Vec<String> {
    let lines: Vec<Line> = logs.lines().filter_map(log_line::parse).collect();
    let Some(first_ms) = lines.iter().map(|line| line.unix_ms).min() else { return Vec::new() };
    let window_ms = window_s.max(1) * 1_000;
    let mut rows: BTreeMap<(u64, &str), Row> = BTreeMap::new();
    let mut dropped = 0;
    for line in &lines {
        let event = line.value["event"].as_str().unwrap_or_default();
        if event == "lines_dropped" {
            dropped += line.value["count"].as_u64().unwrap_or_default();
        }
        let known = EVENTS.iter().any(|(known, _)| *known == event);
        if let (true, Some(route)) = (known, line.value["route"].as_str()) {
            let window = (line.unix_ms - first_ms) / window_ms;
            rows.entry((window, route)).or_default().add(&line.value);
        }
    }
    let mut told: Vec<String> = rows
        .iter()
        .map(|((window, route), row)| {
            let from_s = window * window_s.max(1);
            format!("{from_s:>5} s  {route}  {}", row.print())
        })
        .collect();
    if dropped > 0 {
        told.push(format!("{dropped} lines were dropped: the counts are too low"));
    }
    told
}

#[cfg(test)]
mod tests;

//! Counts of refused, late, failed and hedged requests by route and time, from the logs of all
//! entry nodes.
//!
//! A request that is answered in time without a problem writes no log line, so that a summary shows
//! problems only. The metrics of the nodes count all requests.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::log_line::{self, Line};

/// Events that are counted, each with its name in the summary.
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

/// Problems with the requests of one route in one time window.
#[derive(Debug, Default)]
struct RouteSummary {
    /// Number of occurrences of each event.
    counts: BTreeMap<String, usize>,
    /// Refused requests by reason.
    refusal_reasons: BTreeMap<String, usize>,
    /// Refused requests whose caller had tried before.
    refused_retries: usize,
    /// Latencies predicted for refused requests.
    predicted_ms: Vec<u64>,
    /// Times after which callers of refused requests were told to retry.
    retry_after_ms: Vec<u64>,
    /// Observed minus predicted latency of the last send of late requests.
    prediction_error_ms: Vec<i64>,
}

impl RouteSummary {
    fn record(&mut self, line: &Value) {
        let event = line["event"].as_str().unwrap_or_default();
        *self.counts.entry(event.to_owned()).or_default() += 1;
        match event {
            "refused" => {
                let reason = line["reason"].as_str().unwrap_or("?");
                *self.refusal_reasons.entry(reason.to_owned()).or_default() += 1;
                self.refused_retries +=
                    usize::from(line["tried_ms"].as_u64().unwrap_or_default() > 0);
                self.predicted_ms.extend(line["predicted_ms"].as_u64());
                self.retry_after_ms.extend(line["come_back_ms"].as_u64());
            }
            "late" => self.prediction_error_ms.extend(prediction_error_ms(line)),
            _ => {}
        }
    }

    fn render(&self) -> String {
        let mut parts: Vec<String> = EVENTS
            .iter()
            .filter_map(|(event, heading)| Some(format!("{heading} {}", self.counts.get(*event)?)))
            .collect();
        for (reason, count) in &self.refusal_reasons {
            parts.push(format!("({reason}: {count})"));
        }
        if self.refused_retries > 0 {
            parts.push(format!("of the refused, back again: {}", self.refused_retries));
        }
        let medians = [
            ("predicted", median(&self.predicted_ms).map(|ms| ms as i64)),
            ("told to come back after", median(&self.retry_after_ms).map(|ms| ms as i64)),
            ("late ones took beyond their prediction", median(&self.prediction_error_ms)),
        ];
        for (label, ms) in medians {
            parts.extend(ms.map(|ms| format!("{label} {ms} ms")));
        }
        parts.join(", ")
    }
}

/// Returns the observed minus the predicted latency of the last send of a request that got a
/// response.
fn prediction_error_ms(line: &Value) -> Option<i64> {
    let last = line["sends"].as_array()?.last()?;
    let latency_ms = line["age_ms"].as_i64()? - last["at_ms"].as_i64()?;
    Some(latency_ms - last["predicted_ms"].as_i64()?)
}

/// Returns the median, for an even number of values the upper of the two middle ones; `None` if
/// `values` is empty.
fn median<T: Copy + Ord>(values: &[T]) -> Option<T> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}

/// Returns one line of text for each time window of `window_s` seconds (at least 1) and each route
/// that had problems in it, sorted by time and route. Times are relative to the earliest log line.
/// If nodes dropped log lines, a last line reports how many.
///
/// `logs` contains log lines of any number of nodes; lines without a JSON object are skipped.
pub fn summarize(logs: &str, window_s: u64) -> Vec<String> {
    let lines: Vec<Line> = logs.lines().filter_map(log_line::parse).collect();
    let Some(first_ms) = lines.iter().map(|line| line.unix_ms).min() else { return Vec::new() };
    let window_ms = window_s.max(1) * 1_000;
    let mut summaries: BTreeMap<(u64, &str), RouteSummary> = BTreeMap::new();
    let mut dropped_lines = 0;
    for line in &lines {
        let event = line.value["event"].as_str().unwrap_or_default();
        if event == "lines_dropped" {
            dropped_lines += line.value["count"].as_u64().unwrap_or_default();
        }
        let is_counted = EVENTS.iter().any(|(counted, _)| *counted == event);
        if let (true, Some(route)) = (is_counted, line.value["route"].as_str()) {
            let window = (line.unix_ms - first_ms) / window_ms;
            summaries.entry((window, route)).or_default().record(&line.value);
        }
    }
    let mut output: Vec<String> = summaries
        .iter()
        .map(|((window, route), route_summary)| {
            let window_start_s = window * window_s.max(1);
            format!("{window_start_s:>5} s  {route}  {}", route_summary.render())
        })
        .collect();
    if dropped_lines > 0 {
        output.push(format!("{dropped_lines} lines were dropped: the counts are too low"));
    }
    output
}

#[cfg(test)]
mod tests;

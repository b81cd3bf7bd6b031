//! The story of one request, out of the logs of all entry nodes.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::log_line::{self, Line};

/// How long before a request's first line what its upstreams went through still matters, in ms.
const CONTEXT_BEFORE_MS: u64 = 10_000;

/// How long after its last line, in ms: a node learns of a crash seconds later.
const CONTEXT_AFTER_MS: u64 = 5_000;

/// Events of a node that explain what became of its requests.
const NODE_EVENTS: [&str; 9] = [
    "started",
    "stopping",
    "stopped",
    "store_lost",
    "store_regained",
    "config_applied",
    "behind_peers",
    "peer_feed_ended",
    "lines_dropped",
];

/// Events that tell of trouble with an upstream.
const TROUBLE_EVENTS: [&str; 10] = [
    "upstream_ended",
    "answer_lost",
    "connect_failed",
    "probe_connect_failed",
    "not_run_by_upstream",
    "upstream_error",
    "upstream_dropped",
    "upstream_limited",
    "upstream_leaving",
    "upstream_rests",
];

/// Returns what is known of `request`, in order: its own lines, and those about the upstreams it
/// was sent to and about the nodes that took it, around the time. `request` is the id of one attempt,
/// or the key of what a request asks (`content`): all its attempts are told then, on all nodes.
///
/// `logs` holds the lines of any number of nodes; text before a line's JSON object names its node.
/// Lines that are no JSON are passed over.
pub fn explain(request: &str, logs: &str) -> Vec<String> {
    let lines: Vec<Line> = logs.lines().filter_map(log_line::parse).collect();
    let own: Vec<&Line> = lines.iter().filter(|line| is_about(&line.value, request)).collect();
    let (Some(first), Some(last)) =
        (own.iter().map(|l| l.unix_ms).min(), own.iter().map(|l| l.unix_ms).max())
    else {
        return Vec::new();
    };
    let span = first.saturating_sub(CONTEXT_BEFORE_MS)..=last + CONTEXT_AFTER_MS;
    let nodes: BTreeSet<&str> = own.iter().map(|line| node(&line.prefix)).collect();
    let upstreams: BTreeSet<&str> = own.iter().flat_map(|line| upstreams(&line.value)).collect();
    let contents: BTreeSet<&str> =
        own.iter().filter_map(|line| line.value["content"].as_str()).collect();
    let mut story: Vec<&Line> = lines
        .iter()
        .filter(|line| {
            let about_it = is_about(&line.value, request);
            let event = line.value["event"].as_str().unwrap_or_default();
            let of_node = nodes.contains(node(&line.prefix)) && NODE_EVENTS.contains(&event);
            let upstream = line.value["upstream"].as_str();
            let of_upstream = line.value["request"].is_null()
                && nodes.contains(node(&line.prefix))
                && upstream.is_some_and(|u| upstreams.contains(u));
            // Why it was held back, or no longer, on any node and however long before.
            let of_content = line.value["request"].is_null()
                && line.value["content"].as_str().is_some_and(|c| contents.contains(c));
            let in_span = span.contains(&line.unix_ms);
            about_it || of_content || (in_span && (of_node || of_upstream))
        })
        .collect();
    story.sort_by_key(|line| line.unix_ms);
    let mut told: Vec<String> = story.iter().map(|line| tell(line, request, first)).collect();
    told.extend(upstreams.iter().filter_map(|upstream| {
        trouble_elsewhere(upstream, request, lines.iter().filter(|l| span.contains(&l.unix_ms)))
    }));
    told
}

/// Returns true for a line about `request`, by its id or by what it asks.
fn is_about(line: &Value, request: &str) -> bool {
    let under_way = line["under_way"].as_array().into_iter().flatten();
    let mut contents = under_way.map(|lost| &lost["content"]).chain([&line["content"]]);
    line["request"] == request || contents.any(|content| content == request)
}

/// Returns how other requests and nodes fared with `upstream` around the time; `None` when well.
fn trouble_elsewhere<'a>(
    upstream: &str,
    request: &str,
    lines: impl Iterator<Item = &'a Line>,
) -> Option<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for line in lines {
        let event = line.value["event"].as_str().unwrap_or_default();
        let about = line.value["upstream"] == upstream && !is_about(&line.value, request);
        if about && TROUBLE_EVENTS.contains(&event) {
            *counts.entry(event).or_default() += 1;
        }
    }
    let counts: Vec<String> = counts.iter().map(|(event, n)| format!("{event}={n}")).collect();
    (!counts.is_empty())
        .then(|| format!("  upstream {upstream}, all nodes, other requests: {}", counts.join(" ")))
}

/// Returns the last word of what stands before the JSON object.
fn node(prefix: &str) -> &str {
    prefix.rsplit(' ').next().unwrap_or_default()
}

fn upstreams(value: &Value) -> Vec<&str> {
    let sends = value["sends"].as_array().into_iter().flatten();
    let sent = sends.filter_map(|send| send["upstream"].as_str());
    sent.chain(value["upstream"].as_str()).collect()
}

fn tell(line: &Line, request: &str, first_ms: u64) -> String {
    let offset_ms = line.unix_ms as i64 - first_ms as i64;
    let mark = if is_about(&line.value, request) { "*" } else { " " };
    let event = line.value["event"].as_str().unwrap_or("?");
    let fields: Vec<String> = line
        .value
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(name, value)| {
            !["unix_ms", "event"].contains(&name.as_str()) && value.as_str() != Some(request)
        })
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!("{mark} {offset_ms:+6} ms  {}  {event}  {}", node(&line.prefix), fields.join(" "))
}

#[cfg(test)]
mod tests;

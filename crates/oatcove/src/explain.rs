//! Timeline of one request, from the logs of all entry nodes.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::log_line::{self, Line};

/// Events of the nodes and upstreams are included from this many milliseconds before the first line
/// of the request.
const CONTEXT_BEFORE_MS: u64 = 10_000;

/// Events are included until this many milliseconds after its last line: a node learns of a crash
/// seconds later.
const CONTEXT_AFTER_MS: u64 = 5_000;

/// Events of a node that can explain what happened to its requests.
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

/// Events that report a problem with an upstream, or a limit, stop or backoff that it announced.
const UPSTREAM_PROBLEM_EVENTS: [&str; 10] = [
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

/// Returns the timeline of `request`, sorted by time and formatted for output: its own lines, and
/// lines of the same period about the upstreams it was sent to and the nodes that received it.
/// After these come the cause of a rejected key, and the counts of problems that other requests had
/// with its upstreams.
///
/// `request` is the id of one attempt, or a content key (log field `content`), which selects all
/// attempts of a request on all nodes.
///
/// `logs` contains log lines of any number of nodes; the last word before a line's JSON object is
/// the name of its node. Lines without a JSON object are skipped.
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
    let content_keys: BTreeSet<&str> =
        own.iter().filter_map(|line| line.value["content"].as_str()).collect();
    let mut timeline: Vec<&Line> = lines
        .iter()
        .filter(|line| {
            let of_request = is_about(&line.value, request);
            let event = line.value["event"].as_str().unwrap_or_default();
            let of_node = nodes.contains(node(&line.prefix)) && NODE_EVENTS.contains(&event);
            let upstream = line.value["upstream"].as_str();
            let of_upstream = line.value["request"].is_null()
                && nodes.contains(node(&line.prefix))
                && upstream.is_some_and(|u| upstreams.contains(u));
            // Shows why the request is quarantined, or no longer is; on any node and however long
            // ago.
            let of_content = line.value["request"].is_null()
                && line.value["content"].as_str().is_some_and(|key| content_keys.contains(key));
            let in_span = span.contains(&line.unix_ms);
            of_request || of_content || (in_span && (of_node || of_upstream))
        })
        .collect();
    timeline.sort_by_key(|line| line.unix_ms);
    let mut output: Vec<String> =
        timeline.iter().map(|line| format_line(line, request, first)).collect();
    output.extend(own.iter().filter_map(|line| rejection_cause(line)));
    output.extend(upstreams.iter().filter_map(|upstream| {
        other_problems(upstream, request, lines.iter().filter(|l| span.contains(&l.unix_ms)))
    }));
    output
}

/// Returns true if a line is about `request`, which is a request id or a content key.
fn is_about(line: &Value, request: &str) -> bool {
    let lost_requests = line["under_way"].as_array().into_iter().flatten();
    let mut content_keys = lost_requests.map(|lost| &lost["content"]).chain([&line["content"]]);
    line["request"] == request || content_keys.any(|key| key == request)
}

/// Returns why the key of a request was rejected; `None` for a line about anything else.
fn rejection_cause(line: &Line) -> Option<String> {
    let Line { value, prefix, .. } = line;
    let (key, config) = (value["key"].as_str().unwrap_or("?"), &value["config"]);
    let cause = match (value["event"].as_str()?, value["reason"].as_str()?) {
        ("unauthorized", "no key") => {
            format!("it has no key, and route {} needs one", value["route"].as_str().unwrap_or("?"))
        }
        ("unauthorized", "malformed key") => {
            "it has several Authorization headers, or one that is not `Bearer KEY`".to_owned()
        }
        ("unauthorized", "unknown key") => {
            format!("no team has key {key} in version {config}; `audit log` shows who had it")
        }
        ("refused", "unknown key") => format!(
            "no team has key {key} in version {config}, and a newer version may not have been read"
        ),
        _ => return None,
    };
    Some(format!("  rejected by {}: {cause}", node(prefix)))
}

/// Returns the counts of problems that other requests had with `upstream`, on all nodes; `None` if
/// there were none.
fn other_problems<'a>(
    upstream: &str,
    request: &str,
    lines: impl Iterator<Item = &'a Line>,
) -> Option<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for line in lines {
        let event = line.value["event"].as_str().unwrap_or_default();
        let of_other_request =
            line.value["upstream"] == upstream && !is_about(&line.value, request);
        if of_other_request && UPSTREAM_PROBLEM_EVENTS.contains(&event) {
            *counts.entry(event).or_default() += 1;
        }
    }
    let counts: Vec<String> = counts.iter().map(|(event, n)| format!("{event}={n}")).collect();
    (!counts.is_empty())
        .then(|| format!("  upstream {upstream}, all nodes, other requests: {}", counts.join(" ")))
}

/// Returns the name of the node: the last word of the text before the JSON object.
fn node(prefix: &str) -> &str {
    prefix.rsplit(' ').next().unwrap_or_default()
}

/// Returns the upstreams that a line is about or lists as sends of its request.
fn upstreams(line: &Value) -> Vec<&str> {
    let sends = line["sends"].as_array().into_iter().flatten();
    let sent = sends.filter_map(|send| send["upstream"].as_str());
    sent.chain(line["upstream"].as_str()).collect()
}

fn format_line(line: &Line, request: &str, first_ms: u64) -> String {
    let offset_ms = line.unix_ms as i64 - first_ms as i64;
    let marker = if is_about(&line.value, request) { "*" } else { " " };
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
    format!("{marker} {offset_ms:+6} ms  {}  {event}  {}", node(&line.prefix), fields.join(" "))
}

#[cfg(test)]
mod tests;

//! Results of a run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Latency of one class of calls, in microseconds from when a call was due to its response.
/// Successful calls only.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// Calls with a 2xx response.
    pub ok: u64,
    /// Median latency.
    pub p50_us: u64,
    /// 99th percentile of the latency.
    pub p99_us: u64,
    /// 99.9th percentile of the latency.
    pub p999_us: u64,
    /// Maximum latency.
    pub max_us: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Calls due during the run.
    pub due: u64,
    /// Calls per second that were issued, including those counted as `overload-in-caller`.
    pub rate_per_s: f64,
    /// Latency of light calls.
    pub light: ClassReport,
    /// Latency of heavy calls.
    pub heavy: ClassReport,
    /// Number of failed calls by kind (`status-503-not-run`, `transport`, ...).
    pub errors: BTreeMap<String, u64>,
    /// Probes per second that all upstreams together answered during the run.
    pub probes_per_s: f64,
    /// Share of the capacity of the upstreams that probes took, in percent.
    pub probe_share_percent: f64,
    /// Largest number of executions of one idempotency key on one upstream, since that upstream
    /// started.
    pub max_executions_per_key: u64,
    /// Outcomes of claims, checked against executions.
    pub claims: crate::claims::ClaimsReport,
}

impl Report {
    /// Renders the report as text for a terminal, several lines that each end with a newline.
    pub fn render(&self) -> String {
        let class_line = |name: &str, c: &ClassReport| {
            format!(
                "{name:<6} ok {:>7}  p50 {:>7.2} ms  p99 {:>7.2} ms  p99.9 {:>7.2} ms  max {:>7.2} ms\n",
                c.ok,
                c.p50_us as f64 / 1e3,
                c.p99_us as f64 / 1e3,
                c.p999_us as f64 / 1e3,
                c.max_us as f64 / 1e3
            )
        };
        let mut text = format!("calls due {}  started {:.0}/s\n", self.due, self.rate_per_s);
        text += &class_line("light", &self.light);
        text += &class_line("heavy", &self.heavy);
        let errors: Vec<String> = self.errors.iter().map(|(k, v)| format!("{k}={v}")).collect();
        text += &format!(
            "errors {}\n",
            if errors.is_empty() { "none".to_owned() } else { errors.join(" ") }
        );
        text += &format!(
            "probes {:.1}/s  probe cost {:.3}% of upstream capacity  max executions per key {}\n",
            self.probes_per_s, self.probe_share_percent, self.max_executions_per_key
        );
        let c = &self.claims;
        text += &format!(
            "claims {}  done {}  not-run {}  unknown {}  ran twice {}  ran though told not {}  done though never ran {}\n",
            c.sent,
            c.done,
            c.not_run,
            c.unknown,
            c.ran_twice.len(),
            c.ran_though_told_not.len(),
            c.done_though_never_ran.len()
        );
        text
    }
}

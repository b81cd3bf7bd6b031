//! The figures of one run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Latency figures of one class of calls, in microseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// Calls answered `done` with a 2xx status.
    pub ok: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Largest.
    pub max_us: u64,
}

/// What one run measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Calls due in the run.
    pub due: u64,
    /// Calls per second actually started.
    pub rate_per_s: f64,
    /// Light calls.
    pub light: ClassReport,
    /// Heavy calls.
    pub heavy: ClassReport,
    /// Failed calls by kind (`status-503-not-run`, `transport`, ...).
    pub errors: BTreeMap<String, u64>,
    /// Probes the upstreams answered per second during the run, all entry nodes together.
    pub probes_per_s: f64,
    /// Probe cost as a share of the upstreams' capacity, in percent.
    pub probe_share_percent: f64,
    /// Largest execution count of one idempotency key on any upstream.
    pub max_executions_per_key: u64,
    /// What callers were told of their claims, checked against executions.
    pub claims: crate::claims::ClaimsReport,
}

impl Report {
    /// Renders the report as lines for a terminal.
    pub fn lines(&self) -> String {
        let class = |name: &str, c: &ClassReport| {
            format!(
                "{name:<6} ok {:>7}  p50 {:>7.2} ms  p99 {:>7.2} ms  p99.9 {:>7.2} ms  max {:>7.2} ms\n",
                c.ok,
                c.p50_us as f64 / 1e3,
                c.p99_us as f64 / 1e3,
                c.p999_us as f64 / 1e3,
                c.max_us as f64 / 1e3
            )
        };
        let mut out = format!("calls due {}  started {:.0}/s\n", self.due, self.rate_per_s);
        out += &class("light", &self.light);
        out += &class("heavy", &self.heavy);
        let errors: Vec<String> = self.errors.iter().map(|(k, v)| format!("{k}={v}")).collect();
        out += &format!(
            "errors {}\n",
            if errors.is_empty() { "none".to_owned() } else { errors.join(" ") }
        );
        out += &format!(
            "probes {:.1}/s  probe cost {:.3}% of upstream capacity  max executions per key {}\n",
            self.probes_per_s, self.probe_share_percent, self.max_executions_per_key
        );
        let c = &self.claims;
        out += &format!(
            "claims {}  done {}  not-run {}  unknown {}  ran twice {}  ran though told not {}  done though never ran {}\n",
            c.sent,
            c.done,
            c.not_run,
            c.unknown,
            c.ran_twice.len(),
            c.ran_though_told_not.len(),
            c.done_though_never_ran.len()
        );
        out
    }
}

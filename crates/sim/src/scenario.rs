//! Settings of a run: what is simulated, and which decision rules the nodes apply.

use std::time::Duration;

use smol_str::SmolStr;

/// Slowdowns of machines that are shared with other VMs.
#[derive(Clone, Copy, Debug)]
pub struct Noise {
    /// Ratio of the time in which a machine is slow.
    pub slow_ratio: f64,
    /// Factor by which work takes longer on a slow machine.
    pub slowdown: f64,
    /// Interval at which a machine may become slow or recover.
    pub change_interval: Duration,
}

/// A temporary increase of the request rate.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start, relative to the start of the run.
    pub start: Duration,
    /// End, relative to the start of the run.
    pub end: Duration,
    /// Factor by which the request rate is higher than otherwise.
    pub rate_factor: f64,
}

/// One kind of request, with a service of its own.
#[derive(Clone, Debug)]
pub struct CallKind {
    /// Name.
    pub name: SmolStr,
    /// Requests per second of all callers together, outside of bursts.
    pub requests_per_s: f64,
    /// Mean time that the request takes on a machine that is not slowed.
    pub mean_work: Duration,
    /// Latency objective: a response that takes longer is worth less.
    pub objective: Duration,
    /// Longest time that a caller waits, over all of its attempts.
    pub max_timeout: Duration,
    /// Maximum ratio by which a caller's timeout is shorter than the longest one.
    pub max_timeout_reduction: f64,
    /// Size of a response in bytes.
    pub response_bytes: usize,
}

/// A load pattern.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Kinds of requests; the upstreams of each serve no other.
    pub kinds: Vec<CallKind>,
    /// Number of availability zones; upstreams, nodes and callers are spread evenly over them.
    pub zones: usize,
    /// Number of entry nodes.
    pub nodes: usize,
    /// Number of upstreams of each kind of request.
    pub upstreams_per_kind: usize,
    /// Maximum number of requests that an upstream processes concurrently.
    pub slots_per_upstream: u32,
    /// Maximum number of requests queued at an upstream, which refuses further ones.
    pub max_queued: usize,
    /// Whether an upstream gives no response to a request that it cannot queue, instead of refusing
    /// it.
    pub silent_when_full: bool,
    /// Factor by which work takes longer at an upstream that has over four fifths of its slots in
    /// use.
    pub nearly_full_slowdown: f64,
    /// Slowdowns of the machines.
    pub noise: Noise,
    /// Burst of requests, if any.
    pub burst: Option<Burst>,
    /// Maximum number of retries of a caller whose request was refused.
    pub max_retries: u32,
    /// Time during which callers make requests.
    pub duration: Duration,
}

impl Scenario {
    /// Returns a small service near its capacity: 11 upstreams of two slots, on machines that are
    /// five times slower for a quarter of the time, and for five seconds 1.6 times the usual
    /// request rate.
    pub fn small() -> Scenario {
        Scenario {
            kinds: vec![CallKind {
                name: "lookup".into(),
                requests_per_s: 105.0,
                mean_work: Duration::from_millis(60),
                objective: Duration::from_millis(200),
                max_timeout: Duration::from_millis(1_200),
                max_timeout_reduction: 1.0 / 6.0,
                response_bytes: 5_000,
            }],
            zones: 3,
            nodes: 13,
            upstreams_per_kind: 11,
            slots_per_upstream: 2,
            max_queued: 4,
            silent_when_full: false,
            nearly_full_slowdown: 1.7,
            noise: Noise {
                slow_ratio: 0.25,
                slowdown: 5.0,
                change_interval: Duration::from_millis(150),
            },
            burst: Some(Burst {
                start: Duration::from_secs(4),
                end: Duration::from_secs(9),
                rate_factor: 1.6,
            }),
            max_retries: 2,
            duration: Duration::from_secs(12),
        }
    }

    /// Returns a service whose callers all wait eight times as long as their objective, and for six
    /// seconds make `rate_factor` times as many requests as usual. Its upstreams have `slots` slots
    /// and take `nearly_full_slowdown` times as long when nearly full.
    pub fn patient_callers(rate_factor: f64, slots: u32, nearly_full_slowdown: f64) -> Scenario {
        Scenario {
            kinds: vec![CallKind {
                name: "status".into(),
                requests_per_s: 25.0 * f64::from(slots),
                mean_work: Duration::from_millis(370),
                objective: Duration::from_secs(1),
                max_timeout: Duration::from_secs(8),
                max_timeout_reduction: 0.0,
                response_bytes: 5_000,
            }],
            zones: 3,
            nodes: 21,
            upstreams_per_kind: 48,
            slots_per_upstream: slots,
            max_queued: 2 * slots as usize,
            nearly_full_slowdown,
            silent_when_full: false,
            noise: Noise {
                slow_ratio: 0.3,
                slowdown: 4.0,
                change_interval: Duration::from_millis(300),
            },
            burst: Some(Burst {
                start: Duration::from_secs(10),
                end: Duration::from_secs(16),
                rate_factor,
            }),
            max_retries: 2,
            duration: Duration::from_secs(18),
        }
    }

    /// Returns the same service on machines that are never slow.
    pub fn steady() -> Scenario {
        let noise =
            Noise { slow_ratio: 0.0, slowdown: 1.0, change_interval: Duration::from_millis(300) };
        Scenario { noise, ..Scenario::small() }
    }

    /// Returns a service whose upstreams are silent when full, with requests that may wait for
    /// several times their work, at 20 nodes. In the burst many
    /// requests wait at the nodes, and find the same short queue at once when they are sent.
    pub fn silent() -> Scenario {
        let mut scenario = Scenario::small();
        (scenario.nodes, scenario.upstreams_per_kind) = (20, 30);
        scenario.silent_when_full = true;
        scenario.kinds[0] = CallKind {
            name: "upload".into(),
            requests_per_s: 130.0,
            mean_work: Duration::from_millis(190),
            objective: Duration::from_millis(1_500),
            max_timeout: Duration::from_millis(10_000),
            max_timeout_reduction: 1.0 / 6.0,
            response_bytes: 5_000,
        };
        scenario
    }

    /// Returns a service with `slots` slots per upstream and the load per slot of the small
    /// service, on machines that are `slowdown` times slower for a third of the time, which changes
    /// every `change_interval`.
    pub fn varied(slots: u32, slowdown: f64, change_interval: Duration) -> Scenario {
        let mut scenario = Scenario::small();
        scenario.noise = Noise { slow_ratio: 0.33, slowdown, change_interval };
        scenario.max_queued = 2 * slots as usize;
        scenario.kinds[0].requests_per_s *=
            f64::from(slots) / f64::from(scenario.slots_per_upstream);
        scenario.slots_per_upstream = slots;
        scenario
    }
}

/// Decision rules of the nodes; each can be disabled to measure its effect.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Load balancing policy.
    pub policy: place::Policy,
    /// Whether requests wait at the node while all upstreams are full.
    pub waits_at_node: bool,
    /// Whether the objective of a request counts from its caller's first attempt.
    pub objective_from_first_attempt: bool,
    /// Whether a request is refused if it would miss its objective, instead of only if it would
    /// miss its deadline.
    pub refuses_late: bool,
    /// Whether work is learned only from requests sent to an upstream that was not nearly full.
    pub skips_nearly_full_samples: bool,
    /// Cost of sending one KiB to another zone, as a share of a request's value.
    pub cross_zone_cost_per_kib: f64,
    /// Maximum number of rounds of load probes before a request is placed.
    pub max_probe_rounds: u32,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            policy: place::Policy::Reports,
            waits_at_node: true,
            objective_from_first_attempt: true,
            refuses_late: true,
            skips_nearly_full_samples: true,
            cross_zone_cost_per_kib: 0.05,
            max_probe_rounds: 2,
        }
    }
}

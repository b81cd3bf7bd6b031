//! `cargo xtask patterns`: simulates load patterns in virtual time and compares the placement and
//! admission rules with variants that leave some of them out.

use std::time::Duration;

use sim::{CrashReport, CrashScenario, Report, Rules, Scenario};

/// Load patterns: slots per upstream, factor by which its machine is slower a third of the time,
/// and interval at which that changes, in milliseconds.
const PATTERNS: [(u32, f64, u64); 5] =
    [(1, 3.0, 300), (2, 5.0, 150), (6, 4.0, 300), (16, 2.0, 150), (16, 2.0, 2_000)];

/// Returns the rule sets to compare; each label names what the set leaves out or does instead.
fn rule_variants() -> [(&'static str, Rules); 9] {
    let all = Rules::default;
    let without_admission_rules = Rules {
        waits_at_node: false,
        objective_from_first_attempt: false,
        refuses_late: false,
        ..all()
    };
    let least_outstanding = place::Policy::LeastOutstanding;
    [
        ("all of them", all()),
        ("no waiting at the node", Rules { waits_at_node: false, ..all() }),
        ("objective from each attempt", Rules { objective_from_first_attempt: false, ..all() }),
        ("late ones let in", Rules { refuses_late: false, ..all() }),
        ("none of these three", without_admission_rules),
        ("work learned anywhere", Rules { skips_nearly_full_samples: false, ..all() }),
        ("zones crossed for nothing", Rules { cross_zone_cost_per_kib: 0.0, ..all() }),
        ("nobody asked", Rules { max_probe_rounds: 0, ..all() }),
        ("fewest outstanding", Rules { policy: least_outstanding, max_probe_rounds: 0, ..all() }),
    ]
}

/// Prints a table for each load pattern and one for the crash patterns, over `seeds` seeds each.
pub fn run(seeds: u64) {
    for (slots, factor, interval_ms) in PATTERNS {
        let scenario = Scenario::varied(slots, factor, Duration::from_millis(interval_ms));
        println!(
            "\nUpstreams of {slots} slots, machines {factor} times slower a third of the time,"
        );
        println!("changing every {interval_ms} ms; {seeds} seeds.\n");
        println!("| rules | in time | of the burst | answered | refusals | questions | KiB between zones |");
        println!("|---|---|---|---|---|---|---|");
        for (label, rules) in rule_variants() {
            let mut sum = Report::default();
            (0..seeds).for_each(|seed| sum.add(&sim::run(&scenario, &rules, seed)));
            let per_request = |count: f64| count / f64::from(sum.requests.max(1));
            println!(
                "| {label} | {:.3} | {:.3} | {:.3} | {:.2} | {:.1} | {:.2} |",
                sum.in_time_ratio(),
                sum.burst_in_time_ratio(),
                sum.served_ratio(),
                per_request(f64::from(sum.refusals)),
                per_request(f64::from(sum.probes)),
                per_request(sum.cross_zone_kib),
            );
        }
    }
    run_crash_patterns(seeds);
}

/// Prints, for each crash pattern, how many upstreams crashed and how many requests were rejected
/// by mistake.
fn run_crash_patterns(seeds: u64) {
    let baseline = CrashScenario::baseline;
    let (ms, s) = (Duration::from_millis, Duration::from_secs);
    let no_crashing_request = || CrashScenario { crashing_request_interval: None, ..baseline() };
    let patterns: [(&str, CrashScenario); 9] = [
        ("a crashing request, 5/s", baseline()),
        ("50/s", CrashScenario { crashing_request_interval: Some(ms(20)), ..baseline() }),
        ("each 4 s", CrashScenario { crashing_request_interval: Some(s(4)), ..baseline() }),
        ("5/s, news after 80 ms", CrashScenario { gossip_delay: ms(80), ..baseline() }),
        ("5/s, 300 nodes", CrashScenario { nodes: 300, ..baseline() }),
        ("5/s, 4 upstreams", CrashScenario { upstreams: 4, requests_per_s: 30.0, ..baseline() }),
        (
            "a third ends, once",
            CrashScenario { mass_crashes: vec![(s(10), 0.33)], ..no_crashing_request() },
        ),
        (
            "a third ends, each 2 s",
            CrashScenario {
                mass_crashes: (5..25).step_by(2).map(|at| (s(at), 0.33)).collect(),
                ..no_crashing_request()
            },
        ),
        ("twice within work of 2 s, 2 slots", CrashScenario::long_work()),
    ];
    println!(
        "\nUpstreams that crash; {seeds} seeds; figures per run, the last column over all runs.\n"
    );
    println!("| pattern | crashed under the request | of it, most in one run | reached late, most in one run | others refused wrongly, of all |");
    println!("|---|---|---|---|---|");
    for (label, pattern) in patterns {
        let runs: Vec<CrashReport> =
            (0..seeds).map(|seed| sim::run_crashes(&pattern, seed)).collect();
        let mut sum = CrashReport::default();
        runs.iter().for_each(|run| sum.add(run));
        let max_of_runs =
            |figure: fn(&CrashReport) -> u32| runs.iter().map(figure).max().unwrap_or(0);
        println!(
            "| {label} | {:.1} | {} | {} | {} of {} |",
            f64::from(sum.crashed) / seeds.max(1) as f64,
            max_of_runs(|run| run.crashed),
            max_of_runs(|run| run.late_sends),
            sum.wrongly_refused,
            sum.requests,
        );
    }
}

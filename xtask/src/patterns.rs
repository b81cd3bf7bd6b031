//! `cargo xtask patterns`: what each decision of placement and admission is worth on load patterns
//! that are replayed in virtual time.

use std::time::Duration;

use sim::{CrashReport, CrashScenario, Report, Rules, Scenario};

/// Load patterns: slots of an upstream, how much slower its machine is at times, and how often that
/// changes.
const PATTERNS: [(u32, f64, u64); 5] =
    [(1, 3.0, 300), (2, 5.0, 150), (6, 4.0, 300), (16, 2.0, 150), (16, 2.0, 2_000)];

/// Returns the rules compared, each with what is left out of it.
fn variants() -> [(&'static str, Rules); 9] {
    let all = Rules::default;
    let none = Rules {
        waits_at_node: false,
        objective_from_first_attempt: false,
        refuses_late: false,
        ..all()
    };
    let outstanding = place::Policy::LeastOutstanding;
    [
        ("all of them", all()),
        ("no waiting at the node", Rules { waits_at_node: false, ..all() }),
        ("objective from each attempt", Rules { objective_from_first_attempt: false, ..all() }),
        ("late ones let in", Rules { refuses_late: false, ..all() }),
        ("none of these three", none),
        ("work learned anywhere", Rules { skips_nearly_full_samples: false, ..all() }),
        ("zones crossed for nothing", Rules { cross_zone_cost_per_kib: 0.0, ..all() }),
        ("nobody asked", Rules { max_probe_rounds: 0, ..all() }),
        ("fewest outstanding", Rules { policy: outstanding, max_probe_rounds: 0, ..all() }),
    ]
}

/// Prints one table for each pattern, over `seeds` seeds.
pub fn run(seeds: u64) {
    for (slots, factor, every_ms) in PATTERNS {
        let scenario = Scenario::varied(slots, factor, Duration::from_millis(every_ms));
        println!(
            "\nUpstreams of {slots} slots, machines {factor} times slower a third of the time,"
        );
        println!("changing every {every_ms} ms; {seeds} seeds.\n");
        println!("| rules | in time | of the burst | answered | refusals | questions | KiB between zones |");
        println!("|---|---|---|---|---|---|---|");
        for (name, rules) in variants() {
            let mut sum = Report::default();
            (0..seeds).for_each(|seed| sum.add(&sim::run(&scenario, &rules, seed)));
            let each = |count: f64| count / f64::from(sum.requests.max(1));
            println!(
                "| {name} | {:.3} | {:.3} | {:.3} | {:.2} | {:.1} | {:.2} |",
                sum.in_time_ratio(),
                sum.burst_in_time_ratio(),
                sum.served_ratio(),
                each(f64::from(sum.refusals)),
                each(f64::from(sum.probes)),
                each(sum.cross_zone_kib),
            );
        }
    }
    crashes(seeds);
}

/// Prints what crashing upstreams cost, by pattern.
fn crashes(seeds: u64) {
    let usual = CrashScenario::baseline;
    let (ms, s) = (Duration::from_millis, Duration::from_secs);
    let alone = || CrashScenario { crashing_request_interval: None, ..usual() };
    let patterns: [(&str, CrashScenario); 9] = [
        ("a crashing request, 5/s", usual()),
        ("50/s", CrashScenario { crashing_request_interval: Some(ms(20)), ..usual() }),
        ("each 4 s", CrashScenario { crashing_request_interval: Some(s(4)), ..usual() }),
        ("5/s, news after 80 ms", CrashScenario { gossip_delay: ms(80), ..usual() }),
        ("5/s, 300 nodes", CrashScenario { nodes: 300, ..usual() }),
        ("5/s, 4 upstreams", CrashScenario { upstreams: 4, requests_per_s: 30.0, ..usual() }),
        ("a third ends, once", CrashScenario { mass_crashes: vec![(s(10), 0.33)], ..alone() }),
        (
            "a third ends, each 2 s",
            CrashScenario {
                mass_crashes: (5..25).step_by(2).map(|at| (s(at), 0.33)).collect(),
                ..alone()
            },
        ),
        ("twice within work of 2 s, 2 slots", CrashScenario::long_work()),
    ];
    println!("\nUpstreams that crash; {seeds} seeds, figures for each run but the last.\n");
    println!("| pattern | crashed under the request | of it, most in one run | reached late, most in one run | others refused wrongly, of all |");
    println!("|---|---|---|---|---|");
    for (name, pattern) in patterns {
        let runs: Vec<CrashReport> =
            (0..seeds).map(|seed| sim::run_crashes(&pattern, seed)).collect();
        let mut sum = CrashReport::default();
        runs.iter().for_each(|run| sum.add(run));
        let most = |figure: fn(&CrashReport) -> u32| runs.iter().map(figure).max().unwrap_or(0);
        println!(
            "| {name} | {:.1} | {} | {} | {} of {} |",
            f64::from(sum.crashed) / seeds.max(1) as f64,
            most(|run| run.crashed),
            most(|run| run.late_sends),
            sum.wrongly_refused,
            sum.requests,
        );
    }
}

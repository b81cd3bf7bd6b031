//! `cargo xtask patterns`: what each decision of placement and admission is worth on load patterns
//! that are replayed in virtual time.

use std::time::Duration;

use sim::{CrashReport, Crashes, Report, Rules, Scenario};

/// Load patterns: slots of an upstream, how much slower its machine is at times, and how often that
/// changes.
const PATTERNS: [(u32, f64, u64); 5] =
    [(1, 3.0, 300), (2, 5.0, 150), (6, 4.0, 300), (16, 2.0, 150), (16, 2.0, 2_000)];

/// Returns the rules compared, each with what is left out of it.
fn variants() -> [(&'static str, Rules); 9] {
    let all = Rules::default;
    let none =
        Rules { waits: false, counts_from_first_attempt: false, refuses_late: false, ..all() };
    let outstanding = place::Policy::LeastOutstanding;
    [
        ("all of them", all()),
        ("no waiting at the node", Rules { waits: false, ..all() }),
        ("objective from each attempt", Rules { counts_from_first_attempt: false, ..all() }),
        ("late ones let in", Rules { refuses_late: false, ..all() }),
        ("none of these three", none),
        ("work learned anywhere", Rules { learns_uncrowded: false, ..all() }),
        ("zones crossed for nothing", Rules { cross_zone_cost_per_kib: 0.0, ..all() }),
        ("nobody asked", Rules { ask_rounds: 0, ..all() }),
        ("fewest outstanding", Rules { policy: outstanding, ask_rounds: 0, ..all() }),
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
            let each = |count: f64| count / f64::from(sum.asked.max(1));
            println!(
                "| {name} | {:.3} | {:.3} | {:.3} | {:.2} | {:.1} | {:.2} |",
                sum.in_time_share(),
                sum.burst_in_time_share(),
                sum.served_share(),
                each(f64::from(sum.refusals)),
                each(f64::from(sum.questions)),
                each(sum.cross_zone_kib),
            );
        }
    }
    crashes(seeds);
}

/// Prints what crashing upstreams cost, by pattern.
fn crashes(seeds: u64) {
    let usual = Crashes::usual;
    let (ms, s) = (Duration::from_millis, Duration::from_secs);
    let alone = || Crashes { crashing_every: None, ..usual() };
    let patterns: [(&str, Crashes); 9] = [
        ("a crashing request, 5/s", usual()),
        ("50/s", Crashes { crashing_every: Some(ms(20)), ..usual() }),
        ("each 4 s", Crashes { crashing_every: Some(s(4)), ..usual() }),
        ("5/s, news after 80 ms", Crashes { told_after: ms(80), ..usual() }),
        ("5/s, 300 nodes", Crashes { nodes: 300, ..usual() }),
        ("5/s, 4 upstreams", Crashes { upstreams: 4, per_s: 30.0, ..usual() }),
        ("a third ends, once", Crashes { ends: vec![(s(10), 0.33)], ..alone() }),
        (
            "a third ends, each 2 s",
            Crashes { ends: (5..25).step_by(2).map(|at| (s(at), 0.33)).collect(), ..alone() },
        ),
        ("twice within work of 2 s, 2 slots", Crashes::long_work()),
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
            most(|run| run.reached_late),
            sum.refused_wrongly,
            sum.asked,
        );
    }
}

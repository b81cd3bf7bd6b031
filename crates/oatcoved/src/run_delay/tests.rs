use std::time::{Duration, Instant};

use stall::Schedstat;

use super::{RunDelayClock, READING_TTL};

/// Guards against a clock that stays at its first reading, and so takes every delay of the node for
/// one of its upstreams; and against one that reads the file for each call.
#[test]
fn readings_are_kept_for_a_while_only() {
    let path = std::env::temp_dir().join(format!("oatcove-run-delay-{}", std::process::id()));
    let write = |run_delay_ns: u64| std::fs::write(&path, format!("1 {run_delay_ns} 3\n"));
    write(1_000).expect("writes");
    let clock = RunDelayClock::new(std::fs::File::open(&path).ok().map(Schedstat::of_file));
    let now = Instant::now();
    assert_eq!(clock.total(now), Duration::from_nanos(1_000));
    write(5_000).expect("writes");
    assert_eq!(clock.total(now + READING_TTL / 2), Duration::from_nanos(1_000));
    assert_eq!(clock.total(now + READING_TTL), Duration::from_nanos(5_000));
    std::fs::remove_file(&path).expect("removes");
}

#[test]
fn no_delay_is_known_without_the_file() {
    assert_eq!(RunDelayClock::new(None).total(Instant::now()), Duration::ZERO);
}

use std::time::Duration;

use super::ThreadTimes;

#[yare::parameterized(
    usual = { "52854191 31724302 126\n", Some((52_854_191, 31_724_302)) },
    none = { "0 0 0\n", Some((0, 0)) },
    empty = { "", None },
    truncated = { "52854191", None },
    other_format = { "cpu busy\n", None },
)]
fn first_two_numbers_are_the_times(text: &str, expected_ns: Option<(u64, u64)>) {
    let times = |(on_cpu_ns, run_delay_ns)| ThreadTimes {
        on_cpu: Duration::from_nanos(on_cpu_ns),
        run_delay: Duration::from_nanos(run_delay_ns),
    };
    assert_eq!(ThreadTimes::parse(text), expected_ns.map(times));
}

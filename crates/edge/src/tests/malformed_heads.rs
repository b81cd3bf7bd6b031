//! Upstreams that send responses whose heads are malformed.

use std::time::Instant;

use super::fake::{
    get, incarnation, ms, ok_response, post, run, start, start_with, Caller, Step, Upstream,
};

/// Returns the script of an upstream that sends a signed response with this status and header line.
fn response(status: &str, line: &str) -> Vec<Step> {
    let text = format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-signature: s\r\n{line}\r\ncontent-length: 5\r\n\r\nbeans"
    );
    vec![Step::Write(text)]
}

/// Guards against a malformed response that a caller gets as one, with a status that is none, with the
/// malformed line, or with a body whose length is stated by that line.
#[yare::parameterized(
    status_000 = { "000 OK", "x-a: 1" },
    status_099 = { "099 OK", "x-a: 1" },
    status_of_two_digits = { "20 OK", "x-a: 1" },
    status_of_four_digits = { "2000 OK", "x-a: 1" },
    status_that_is_no_number = { "2x0 OK", "x-a: 1" },
    blank_in_name = { "200 OK", "x a: 1" },
    blank_before_name = { "200 OK", " x-a: 1" },
    blank_before_colon = { "200 OK", "x-a : 1" },
    blank_in_length = { "200 OK", "content-length : 2" },
    tab_in_name = { "200 OK", "x\ta: 1" },
    nul_in_name = { "200 OK", "x\0a: 1" },
    control_byte_in_name = { "200 OK", "x\u{1}a: 1" },
    delete_in_name = { "200 OK", "x\u{7f}a: 1" },
    no_name = { "200 OK", ": 1" },
    no_colon = { "200 OK", "x-a" },
    control_byte_in_value = { "200 OK", "x-a: \u{1}" },
    bare_carriage_return = { "200 OK", "x-a: 1\rx-b: 2" },
    bare_line_feed = { "200 OK", "x-a: 1\nx-b: 2" },
)]
fn a_malformed_response_is_not_passed_on(status: &str, line: &str) {
    let script = response(status, line);
    run(async {
        let broken = Upstream::start(vec![script]);
        let sound = Upstream::start(vec![vec![ok_response("oats")]]);
        let entry_node = start(&[&broken, &sound]);
        let once = Caller::connect(entry_node.addr).await.ask(&post("7")).await;
        assert_eq!((once.status, broken.runs(), sound.runs()), (502, 1, 0));
        assert!(!once.headers.contains_key("x-signature") && !once.headers.contains_key("x-a"));
        let repeated = Caller::connect(entry_node.addr).await.ask(&get("/get/1", "8")).await;
        assert_eq!((repeated.status, repeated.body.as_str()), (200, "oats"));
    });
}

/// Guards against a malformed response to a probe whose load report counts.
#[yare::parameterized(
    status_000 = { "000 OK", "x-a: 1" },
    blank_in_name = { "200 OK", "x a: 1" },
    control_byte_in_name = { "200 OK", "x\u{1}a: 1" },
)]
fn a_malformed_response_to_a_probe_reports_no_load(status: &str, line: &str) {
    let text = format!("HTTP/1.1 {status}\r\nx-load: 1,0,4\r\n{line}\r\ncontent-length: 0\r\n\r\n");
    run(async {
        let upstream = Upstream::start(vec![vec![Step::Write(text)]]);
        let entry_node = start_with(&[&upstream], |settings| {
            settings.max_probes_per_upstream_per_s = 50.0;
            settings.parse_load =
                |_| Some(place::Load { running: 1, waiting: 0, slots: 4, slowness: 1.0 });
        });
        let upstreams = vec![incarnation("u0")];
        crate::probe::probe_all(&entry_node.node, &"desk".into(), upstreams, ms(300)).await;
        monoio::time::sleep(ms(50)).await;
        let state = entry_node.node.state.borrow();
        let report = state.pools["desk"].upstreams()[0].report(Instant::now());
        assert_eq!((upstream.runs(), report.is_none()), (1, true));
    });
}

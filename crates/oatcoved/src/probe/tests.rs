use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use local_sync::mpsc::unbounded;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use store::proto;
use yare::parameterized;

use crate::probe::outcome;

fn response(status: StatusCode, retry_after: bool, body: &'static str) -> web::Response {
    let mut response = web::reply(status, body);
    if retry_after {
        let one = http::HeaderValue::from_static("1");
        response.headers_mut().insert(http::header::RETRY_AFTER, one);
    }
    response
}

#[parameterized(
    load_report = { StatusCode::OK, false, r#"{"in_flight":3,"slots":6,"draining":false}"#, watch::ProbeOutcome::Up },
    draining = { StatusCode::OK, false, r#"{"draining":true}"#, watch::ProbeOutcome::Draining },
    plain_ok = { StatusCode::OK, false, "ok", watch::ProbeOutcome::Up },
    empty_ok = { StatusCode::NO_CONTENT, false, "", watch::ProbeOutcome::Up },
    busy = { StatusCode::SERVICE_UNAVAILABLE, true, "queue full", watch::ProbeOutcome::Up },
    unavailable = { StatusCode::SERVICE_UNAVAILABLE, false, "", watch::ProbeOutcome::Down },
    failing_fast = { StatusCode::INTERNAL_SERVER_ERROR, false, "", watch::ProbeOutcome::Down },
    wrong_path = { StatusCode::NOT_FOUND, false, "", watch::ProbeOutcome::Down },
)]
fn response_gives_outcome(
    status: StatusCode,
    retry_after: bool,
    body: &'static str,
    expected: watch::ProbeOutcome,
) {
    assert_eq!(outcome(&response(status, retry_after, body)), expected);
}

/// Guards against upstreams that no node uses any more because a node that is partitioned from all
/// of them reports them as failing.
#[test]
fn a_partitioned_node_reports_no_upstream_as_failing() {
    /// Time after the start of a partition from which it must have no effect on other nodes.
    const STABILITY: Duration = Duration::from_secs(3);
    web::runtime().block_on(async {
        let closed: Vec<_> =
            (0..4).map(|_| emu::closed_port::ClosedPort::new().expect("a port is free")).collect();
        let vm = |addr: SocketAddr, role: proto::VmRole| proto::Vm {
            addr,
            zone: "z-0".into(),
            role,
            service: "svc".into(),
            state: proto::VmState::Live,
            id: Default::default(),
        };
        let mut view = crate::test_support::view();
        let text = "service: svc\ndefaults:\n  probe_budget_per_s: 40\n";
        let row = proto::Row {
            key: "svc".into(),
            version: 1,
            value: text.to_owned(),
            change_id: "c".into(),
        };
        crate::follow::apply_templates(&mut view, proto::Rows { head: 1, rows: vec![row] });
        let mut vms: Vec<proto::Vm> =
            closed.iter().map(|port| vm(port.addr(), proto::VmRole::Upstream)).collect();
        vms.push(vm(view.settings.listen_addr, proto::VmRole::Entry));
        crate::follow::apply_vms(&mut view, &vms);
        view.vms = vms.into_iter().map(|vm| (vm.addr, vm)).collect();
        let view = Rc::new(RefCell::new(view));
        let (gossip, _gossip_inputs) = unbounded::channel();
        let (probe, probe_inputs) = unbounded::channel();
        monoio::spawn(super::run(view.clone(), probe.clone(), probe_inputs, gossip));
        let started_at = Instant::now();
        let _ = probe.send(super::Input::Changed(Some(started_at)));
        // A node waits before it probes newly assigned upstreams.
        let mut partitioned_at = None;
        while partitioned_at.is_none_or(|at: Instant| at.elapsed() < STABILITY) {
            assert!(started_at.elapsed() < Duration::from_secs(30), "no probe was sent");
            let _ = probe.send(super::Input::Confirmed(Instant::now()));
            monoio::time::sleep(Duration::from_millis(100)).await;
            if view.borrow().counters.probes_sent > 0 {
                partitioned_at.get_or_insert_with(Instant::now);
            }
        }
        assert!(view.borrow().paths.is_unreachable());
        let reports = view.borrow().health_reports.clone();
        assert!(reports.is_empty(), "{reports:?}");
    });
}

/// Guards against an upstream that counts as failing, or as healthy, by the response to an earlier
/// probe: it sends a surplus response while the connection of its probes is idle.
#[test]
fn a_surplus_response_is_not_that_to_the_next_probe() {
    /// Time after a response at which the upstream sends another one.
    const SURPLUS_DELAY: Duration = Duration::from_millis(20);
    web::runtime().block_on(async {
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("bound");
        monoio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                monoio::spawn(async move {
                    while let (Ok(1..), _) = stream.read(vec![0; 4_096]).await {
                        for status in ["200 OK", "500 Failing"] {
                            let response =
                                format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
                            if stream.write_all(response.into_bytes()).await.0.is_err() {
                                return;
                            }
                            monoio::time::sleep(SURPLUS_DELAY).await;
                        }
                    }
                });
            }
        });
        let (tx, mut results) = unbounded::channel();
        let mut idle = None;
        for _ in 0..2 {
            super::probe(addr, "/".to_owned(), idle.take(), tx.clone()).await;
            let Some(super::Input::Completed(_, result, conn)) = results.recv().await else {
                panic!("a probe completes")
            };
            assert_eq!(result.outcome, watch::ProbeOutcome::Up);
            idle = conn.map(|conn| *conn);
            monoio::time::sleep(3 * SURPLUS_DELAY).await;
        }
    });
}

/// Guards against a node that runs out of memory: an upstream responds to probes with a body without
/// end, of which each probe receives up to 64 MB.
#[test]
fn a_body_without_end_is_not_received() {
    const MAX_SENT_BYTES: usize = 24 * 1024 * 1024;
    web::runtime().block_on(async {
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let sent_bytes = Rc::new(std::cell::Cell::new(0));
        let sent = sent_bytes.clone();
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepts");
            let (_, _) = stream.read(vec![0; 4_096]).await;
            let mut bytes = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
            while stream.write_all(bytes).await.0.is_ok() {
                sent.set(sent.get() + 64 * 1024);
                bytes = vec![b'a'; 64 * 1024];
            }
        });
        let (tx, mut rx) = unbounded::channel();
        super::probe(addr, "/".to_owned(), None, tx).await;
        let Some(super::Input::Completed(_, result, None)) = rx.recv().await else {
            panic!("the connection is not kept");
        };
        assert_eq!(result.outcome, watch::ProbeOutcome::Down);
        assert!(sent_bytes.get() < MAX_SENT_BYTES, "{} bytes", sent_bytes.get());
    });
}

/// Guards against an upstream that counts as up by a malformed response.
#[parameterized(
    status_000 = { "HTTP/1.1 000 OK\r\ncontent-length: 0\r\n\r\n" },
    blank_in_name = { "HTTP/1.1 200 OK\r\nx a: 1\r\ncontent-length: 0\r\n\r\n" },
    control_byte_in_name = { "HTTP/1.1 200 OK\r\nx\u{1}a: 1\r\ncontent-length: 0\r\n\r\n" },
)]
fn a_malformed_response_counts_as_down(response: &'static str) {
    web::runtime().block_on(async {
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("bound");
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepts");
            let (_, _) = stream.read(vec![0; 4_096]).await;
            stream.write_all(response.as_bytes().to_vec()).await.0.expect("writes");
        });
        let (tx, mut results) = unbounded::channel();
        crate::probe::probe(addr, "/".to_owned(), None, tx).await;
        let Some(crate::probe::Input::Completed(_, result, None)) = results.recv().await else {
            panic!("the connection is not kept")
        };
        assert_eq!(result.outcome, watch::ProbeOutcome::Down);
    });
}

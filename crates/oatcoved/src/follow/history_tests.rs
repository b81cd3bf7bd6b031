//! History checking of concurrent operators and entry nodes.
//!
//! Several operators concurrently apply templates of one service on a platform
//! that loses responses, is slow and has outages. Several entry nodes poll the
//! config. One of them cannot reach the platform, so it reads from a peer. Each
//! apply and each state of a node is recorded, and the history must be
//! consistent with a single sequence of accepted changes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded;
use oatcove::apply::{self, Applied, ApplyError, RetryConfig};
use proptest::prelude::*;
use store::proto;

use crate::view::{Peer, View};
use crate::{follow, proxy};

const OPERATORS: usize = 3;
const APPLIES_PER_OPERATOR: usize = 3;
const NODES: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum time until accepted changes are in force on all nodes after the faults were cleared.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Maximum delay of the late commit of an unanswered transaction, plus a few polls.
const LATE_COMMIT_TIMEOUT: Duration = Duration::from_millis(80);

/// Outcome of an apply, as its operator saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ApplyOutcome {
    Applied(proto::Version),
    Rejected,
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Apply {
    /// Identifies the template: no two templates have the same timeout.
    timeout_ms: u64,
    started_at: Instant,
    finished_at: Instant,
    outcome: ApplyOutcome,
}

/// State of a node: version and timeout of its template.
type NodeState = (proto::Version, u64);

#[derive(Clone, Debug)]
struct FaultStep {
    after_ms: u64,
    faults: proto::Faults,
}

fn template(timeout_ms: u64) -> String {
    format!("service: svc\ndefaults:\n  timeout_ms: {timeout_ms}\n")
}

async fn run_operator(index: usize, platform: SocketAddr, history: Rc<RefCell<Vec<Apply>>>) {
    let store = store::Store::new(platform);
    let retry_config = RetryConfig { max_attempts: 5, initial_backoff: Duration::from_millis(5) };
    for nth in 0..APPLIES_PER_OPERATOR {
        let timeout_ms = (1_000 + index * 100 + nth) as u64;
        let started_at = Instant::now();
        let result = apply::apply(&store, &template(timeout_ms), "op", retry_config).await;
        let outcome = match result {
            Ok(Applied::Written { version, .. }) => ApplyOutcome::Applied(version),
            Ok(Applied::Unchanged { .. }) => unreachable!("all templates differ"),
            Err(ApplyError::Conflict(_) | ApplyError::Unavailable(_)) => ApplyOutcome::Rejected,
            Err(ApplyError::Unknown(_)) => ApplyOutcome::Unknown,
            Err(ApplyError::Invalid(findings)) => panic!("{findings}"),
        };
        history.borrow_mut().push(Apply {
            timeout_ms,
            started_at,
            finished_at: Instant::now(),
            outcome,
        });
        monoio::time::sleep(Duration::from_millis(3 * index as u64)).await;
    }
}

/// Starts an entry node that polls the platform at `platform` and serves its peers.
fn node(platform: SocketAddr, peers: &[SocketAddr]) -> (SocketAddr, Rc<RefCell<View>>) {
    let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    let mut view = crate::test_support::view();
    for peer in peers {
        // As the membership would report a peer that is alive and has newer config.
        let standing = Some(wire::Standing::Alive);
        let newer =
            Peer { zone: "z".into(), standing, config_head: proto::Version::MAX, heard_at: None };
        view.peers.insert(*peer, newer);
    }
    let view = Rc::new(RefCell::new(view));
    let (gossip, _) = unbounded::channel();
    let (probe, _) = unbounded::channel();
    let channels = follow::Channels { gossip, probe };
    let store = Rc::new(store::Store::new(platform));
    monoio::spawn(follow::poll_config(store, view.clone(), POLL_INTERVAL, channels));
    let metrics = crate::metrics::Metrics::new().expect("metrics");
    let (gossip, _) = local_sync::mpsc::unbounded::channel();
    let node = Rc::new(proxy::Node::new(view.clone(), metrics, gossip));
    monoio::spawn(web::serve(listener, node));
    (addr, view)
}

fn state(view: &RefCell<View>) -> Option<NodeState> {
    let view = view.borrow();
    view.templates.get("svc").map(|loaded| (loaded.version, loaded.template.defaults.timeout_ms))
}

async fn record_states(view: Rc<RefCell<View>>, seen: Rc<RefCell<Vec<NodeState>>>) {
    loop {
        if let Some(now) = state(&view) {
            if seen.borrow().last() != Some(&now) {
                seen.borrow_mut().push(now);
            }
        }
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Checks that a single sequence of accepted changes explains the history, and returns the
/// sequence.
fn check(
    applies: &[Apply],
    nodes: &[Vec<NodeState>],
    audit: &BTreeMap<proto::Version, audit::Record>,
) -> Result<BTreeMap<proto::Version, u64>, String> {
    let mut changes = BTreeMap::new();
    let mut previous = 0;
    for (version, record) in audit {
        if record.version_before != previous {
            return Err(format!(
                "version {version} replaced {}, not {previous}",
                record.version_before
            ));
        }
        previous = *version;
        let writer = applies
            .iter()
            .find(|a| record.diff.contains(&format!("+  timeout_ms: {}\n", a.timeout_ms)));
        let Some(writer) = writer else { return Err(format!("nobody wrote version {version}")) };
        changes.insert(*version, writer.timeout_ms);
    }
    for apply in applies {
        let written: Vec<proto::Version> =
            changes.iter().filter(|(_, t)| **t == apply.timeout_ms).map(|(v, _)| *v).collect();
        match (apply.outcome, written.as_slice()) {
            (ApplyOutcome::Applied(version), [only]) if version == *only => {}
            (ApplyOutcome::Rejected, []) | (ApplyOutcome::Unknown, [] | [_]) => {}
            (outcome, written) => {
                return Err(format!(
                    "{apply:?} has outcome {outcome:?} but was written as {written:?}"
                ))
            }
        }
    }
    for a in applies {
        for b in applies.iter().filter(|b| a.finished_at < b.started_at) {
            match (a.outcome, b.outcome) {
                (ApplyOutcome::Applied(va), ApplyOutcome::Applied(vb)) if va >= vb => {
                    return Err(format!("{b:?} started after {a:?} finished but is older"));
                }
                _ => {}
            }
        }
    }
    for (index, seen) in nodes.iter().enumerate() {
        if let Some(pair) = seen.windows(2).find(|pair| pair[0].0 >= pair[1].0) {
            return Err(format!("node {index} went from {:?} to {:?}", pair[0], pair[1]));
        }
        if let Some(unexplained) = seen.iter().find(|(v, t)| changes.get(v) != Some(t)) {
            return Err(format!("node {index} held {unexplained:?}, which was never accepted"));
        }
    }
    Ok(changes)
}

async fn run_scenario(steps: Vec<FaultStep>) -> Result<(), String> {
    let stand_in = Rc::new(emu::platform::Platform::default());
    let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let platform = listener.local_addr().expect("address");
    monoio::spawn(web::serve(listener, stand_in.clone()));
    let closed = emu::closed_port::ClosedPort::new().expect("a port is free");
    let (first, view) = node(platform, &[]);
    let mut views = vec![view, node(platform, &[first]).1, node(closed.addr(), &[first]).1];
    let seen: Vec<Rc<RefCell<Vec<NodeState>>>> = (0..NODES).map(|_| Rc::default()).collect();
    for (view, seen) in views.iter().zip(&seen) {
        monoio::spawn(record_states(view.clone(), seen.clone()));
    }
    let history = Rc::new(RefCell::new(Vec::new()));
    let operators: Vec<_> =
        (0..OPERATORS).map(|i| monoio::spawn(run_operator(i, platform, history.clone()))).collect();
    for step in steps {
        monoio::time::sleep(Duration::from_millis(step.after_ms)).await;
        stand_in.set_faults(step.faults);
    }
    stand_in.set_faults(proto::Faults::default());
    for operator in operators {
        operator.await;
    }
    // Waits until each unanswered transaction has been committed or never will be. The reads of the
    // nodes make the stand-in retry it.
    monoio::time::sleep(LATE_COMMIT_TIMEOUT).await;
    let newest = stand_in.rows(store::TEMPLATES).first().map_or(0, |row| row.version);
    let faults_cleared_at = Instant::now();
    while views.iter().any(|view| state(view).map_or(0, |(v, _)| v) < newest) {
        if faults_cleared_at.elapsed() > CONVERGENCE_TIMEOUT {
            let states: Vec<_> =
                views.iter().map(|view| (state(view), view.borrow().config_head)).collect();
            return Err(format!("version {newest} is not in force everywhere: {states:?}"));
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    views.clear();
    let audit = stand_in
        .rows(store::AUDIT)
        .into_iter()
        .map(|row| (row.version, audit::Record::from_json(&row.value).expect("audit record")))
        .collect();
    let nodes: Vec<Vec<NodeState>> = seen.iter().map(|seen| seen.borrow().clone()).collect();
    let history = history.borrow().clone();
    let changes =
        check(&history, &nodes, &audit).map_err(|reason| format!("{reason}\n{history:?}"))?;
    match changes.keys().next_back().copied().unwrap_or(0) {
        last if last == newest => Ok(()),
        last => Err(format!("the audit trail ends at {last}, the template is at {newest}")),
    }
}

fn fault_step() -> impl Strategy<Value = FaultStep> {
    let faults = prop_oneof![
        1 => Just(proto::Faults::default()),
        1 => Just(proto::Faults { outage: true, ..Default::default() }),
        1 => (1u64..4).prop_map(|lose_acks| proto::Faults { lose_acks, ..Default::default() }),
        3 => (1u64..4, 0u64..40).prop_map(|(late_commits, late_ms)| proto::Faults {
            late_commits,
            late_ms,
            ..Default::default()
        }),
        1 => (1u64..30).prop_map(|delay_ms| proto::Faults { delay_ms, ..Default::default() }),
        1 => (1u64..3, 1u64..15).prop_map(|(lose_acks, delay_ms)| proto::Faults {
            lose_acks,
            delay_ms,
            ..Default::default()
        }),
    ];
    (0u64..25, faults).prop_map(|(after_ms, faults)| FaultStep { after_ms, faults })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 80,
        failure_persistence: None,
        max_shrink_iters: 0,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0157_0e1d),
        ..ProptestConfig::default()
    })]

    /// Guards against accepted changes that are reverted or missing on a node, and against changes
    /// that are applied although their operator was told that they were not. Three operators race
    /// on one template while the platform loses responses, stalls and has outages. Possible causes
    /// are a write that is not conditional, a lost response that is taken for a failure, and a node
    /// that applies an older row.
    #[test]
    fn single_sequence_of_changes_explains_every_history(
        steps in prop::collection::vec(fault_step(), 0..6),
    ) {
        let result = web::runtime().block_on(run_scenario(steps.clone()));
        prop_assert!(result.is_ok(), "{}\n{steps:?}", result.unwrap_err());
    }
}

#[test]
fn checker_finds_inconsistent_histories() {
    let now = Instant::now();
    let apply =
        |timeout_ms, outcome| Apply { timeout_ms, started_at: now, finished_at: now, outcome };
    let record = |version_before, timeout_ms: u64| audit::Record {
        change_id: "c".into(),
        service: "svc".into(),
        actor: "op".into(),
        at_unix_ms: 0,
        version_before,
        diff: format!("+  timeout_ms: {timeout_ms}\n"),
    };
    let audit = BTreeMap::from([(1, record(0, 10)), (2, record(1, 20))]);
    let valid = [apply(10, ApplyOutcome::Applied(1)), apply(20, ApplyOutcome::Applied(2))];
    assert!(check(&valid, &[vec![(1, 10), (2, 20)]], &audit).is_ok());
    assert!(check(&valid, &[vec![(2, 20), (1, 10)]], &audit).is_err(), "a node that reverts");
    assert!(
        check(&valid, &[vec![(3, 30)]], &audit).is_err(),
        "a node with a state that was never accepted"
    );
    let contradicted = [apply(10, ApplyOutcome::Applied(1)), apply(20, ApplyOutcome::Rejected)];
    assert!(check(&contradicted, &[], &audit).is_err(), "rejected but in force");
    let lost = [valid[0], valid[1], apply(30, ApplyOutcome::Applied(3))];
    assert!(check(&lost, &[], &audit).is_err(), "accepted but lost");
    let skipped = BTreeMap::from([(1, record(0, 10)), (2, record(0, 20))]);
    assert!(check(&valid, &[], &skipped).is_err(), "a change that does not follow its predecessor");
}

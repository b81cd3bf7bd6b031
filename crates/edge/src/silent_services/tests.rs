use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wire::{Hints, SilentService, MAX_SILENT_SERVICES};

use super::{apply, hints};
use crate::state::State;
use crate::tests::fake::{self, ms};

const SERVICES: [&str; 6] = ["desk", "archive", "curator", "renewals", "seeds", "uploads"];

/// Returns the state of a node that has upstreams of some services.
fn node() -> State {
    let mut state = State::new(fake::settings());
    state.pools.extend(SERVICES.map(|service| (service.into(), place::Pool::default())));
    state
}

fn silent(service: &str, left_s: u16) -> SilentService {
    SilentService { service: service.into(), left_s }
}

fn heard(silent_services: Vec<SilentService>) -> Hints {
    Hints { sender: SocketAddr::from(([10, 0, 0, 9], 1)), silent_services }
}

/// Guards against datagrams that no node needs, in a fleet without silent services, and from a node
/// whose services are silent no longer.
#[test]
fn without_silent_services_nothing_is_told() {
    let mut state = node();
    assert_eq!(hints(&mut state), None);
    apply(&mut state, &heard(vec![silent("desk", 0)]));
    assert_eq!(hints(&mut state), None);
}

/// Guards against each node of a large fleet losing requests of its own before it knows that a
/// service is silent, and against nodes that keep that knowledge alive among themselves.
#[test]
fn silent_services_are_told_with_the_time_left() {
    let (mut state, now) = (node(), Instant::now());
    apply(&mut state, &heard(vec![silent("desk", 30), silent("other", 30)]));
    let silence = state.pools["desk"].silence();
    assert!(silence.is_silent(now) && !silence.is_silent(now + ms(31_000)));
    let telling = hints(&mut state).expect("something to tell");
    assert!(telling.silent_services.len() == 1 && telling.silent_services[0].left_s <= 30);
    assert_eq!(telling.silent_services[0].service, "desk");
    assert_eq!(telling.sender, state.settings.peer_addr);
}

/// Guards against hints that peers refuse whole as there are more silent services than fit, and
/// against services that are never told then.
#[test]
fn more_silent_services_than_fit_are_told_in_turn() {
    let mut state = node();
    let all = SERVICES.map(|service| silent(service, 600));
    apply(&mut state, &heard(all.to_vec()));
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..200 {
        let telling = hints(&mut state).expect("something to tell");
        assert_eq!(telling.silent_services.len(), MAX_SILENT_SERVICES);
        assert_eq!(Hints::decode(&telling.encode()).as_ref(), Ok(&telling));
        told.extend(telling.silent_services.into_iter().map(|silent| silent.service));
    }
    assert_eq!(told.len(), SERVICES.len());
    let left = state.pools["desk"].silence().silent_left(Instant::now());
    assert!(left.is_some_and(|left| left <= Duration::from_secs(600)));
}

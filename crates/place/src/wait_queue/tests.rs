use super::{Urgency, WaitQueue};

const URGENT: Urgency = Urgency { team: 0, route: 0 };

/// Guards against urgent requests being served less than others of their service: under overload
/// they waited behind whatever came earlier. A team's priority goes before the route's.
#[test]
fn urgent_requests_wait_in_front() {
    let mut queue = WaitQueue::default();
    let less_urgent_team = queue.join(Urgency { team: 1, route: 0 });
    let less_urgent_route = queue.join(Urgency { team: 0, route: 1 });
    let urgent = queue.join(URGENT);
    assert_eq!(queue.ahead_of(urgent), 0);
    assert_eq!(queue.ahead_of(less_urgent_route), 1);
    assert_eq!(queue.ahead_of(less_urgent_team), 2);
    assert_eq!(queue.ahead_of_new(URGENT), 1);
}

/// Guards against a request that waits while later ones are sent, until it is too late for it.
#[test]
fn requests_of_the_same_urgency_keep_their_order() {
    let mut queue = WaitQueue::default();
    let places: Vec<_> = (0..5).map(|_| queue.join(URGENT)).collect();
    queue.leave(places[1]);
    let ahead: Vec<_> = places.iter().skip(2).map(|place| queue.ahead_of(*place)).collect();
    assert_eq!(ahead, [1, 2, 3]);
    places.into_iter().for_each(|place| queue.leave(place));
    assert!(queue.is_empty());
}

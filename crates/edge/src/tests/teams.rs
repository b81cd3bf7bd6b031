//! Callers with keys: who is served, what upstreams are told, and where keys must not appear.

use std::io::Write;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use monoio::net::TcpStream;
use route::ClientLimits;
use smol_str::SmolStr;
use team::{KeyDigest, Quota, Team, Teams};

use super::fake::{
    get, long_post, ms, ok_response, post, read_to_end, refusal, run, start, table_with_timeout,
    write_raw, Caller, EntryNode, SeenRequest, Step, Upstream,
};
use super::fleet::{self, platform, wait_until_subscribed};
use crate::relay;
use crate::status::Status;

/// Timeout of requests: these tests are about teams, and must not fail on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(4);

const NORTH_KEY: &str = "north-key-aaaa1111";
const SOUTH_KEY: &str = "south-key-cccc3333";
const OTHER_KEY: &str = "other-key-dddd4444";

fn team(name: &str, keys: &[&str]) -> Team {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    Team { name: name.into(), keys, priority: 0, quota: None }
}

/// Returns teams of one key each; callers of `open_routes` need none.
fn teams(keys: &[(&str, &str)], open_routes: &[&str]) -> Teams {
    let teams = keys.iter().map(|(name, key)| team(name, &[*key])).collect();
    Teams::new(teams, open_routes.iter().map(|route| SmolStr::from(*route))).expect("valid teams")
}

fn north_and_south() -> Teams {
    teams(&[("north", NORTH_KEY), ("south", SOUTH_KEY)], &[])
}

/// Puts a version with `teams` in force; returns false when it is not newer.
fn apply(entry_node: &EntryNode, version: route::Version, teams: Teams) -> bool {
    let mut table = table_with_timeout(version, ClientLimits::default(), TIMEOUT);
    table.teams = teams;
    entry_node.node.state.borrow_mut().apply_table(table)
}

/// Starts an entry node that has just read a configuration with `teams`.
fn start_with_teams(upstreams: &[&Upstream], teams: Teams) -> EntryNode {
    let entry_node = start(upstreams);
    assert!(apply(&entry_node, 2, teams));
    entry_node.node.state.borrow_mut().config_progress.lease.renew(Instant::now());
    entry_node
}

/// Adds header lines to a request.
fn with_headers(request: &str, lines: &str) -> String {
    request.replacen("\r\n", &format!("\r\n{lines}"), 1)
}

fn with_key(request: &str, key: &str) -> String {
    with_headers(request, &format!("Authorization: Bearer {key}\r\n"))
}

fn answering() -> Upstream {
    Upstream::start(vec![vec![ok_response("beans")]])
}

/// Returns the teams that a request names, as its upstream received it.
fn named_teams(seen: &SeenRequest) -> Vec<String> {
    let values = seen.head.headers.get_all("x-team").iter();
    values.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned()).collect()
}

fn has_credentials(seen: &SeenRequest) -> bool {
    seen.head.headers.contains_key("authorization")
}

const CHUNKED_WITH_TRAILERS: &str = "POST /post/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\n\
     x-deadline: 500\r\nTransfer-Encoding: chunked\r\nTrailer: X-Team\r\n\r\n\
     4\r\nseed\r\n0\r\nX-Team: south\r\nAuthorization: Bearer south-key-cccc3333\r\n\r\n";

/// Guards against an upstream that gets a key, or believes the team that a caller names.
#[yare::parameterized(
    plain = { get("/get/1", "7"), "" },
    named_once = { get("/get/1", "7"), "x-team: south\r\n" },
    named_twice = { get("/get/1", "7"), "x-team: south\r\nx-team: west\r\n" },
    other_case = { get("/get/1", "7"), "X-TEAM: south\r\n" },
    listed_as_hop = { get("/get/1", "7"), "x-team: south\r\nConnection: x-team, authorization\r\n" },
    with_body = { post("7"), "x-team: south\r\n" },
    streamed = { long_post("7"), "x-team: south\r\n" },
    in_trailers = { CHUNKED_WITH_TRAILERS.to_owned(), "x-team: south\r\n" },
)]
fn an_upstream_is_told_the_callers_team_and_never_its_key(request: String, lines: &str) {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let request = with_key(&with_headers(&request, lines), NORTH_KEY);
        assert_eq!(Caller::connect(entry_node.addr).await.ask(&request).await.status, 200);
        let seen = upstream.seen.borrow()[0].clone();
        assert_eq!(named_teams(&seen), ["north"]);
        assert!(!has_credentials(&seen), "{:?}", seen.head);
        let body = String::from_utf8_lossy(&seen.body).into_owned();
        assert!(!body.contains("south"), "trailers are part of the body");
    });
}

/// Guards against a caller that names a team itself, or whose credentials are passed on, where no
/// key is needed.
#[yare::parameterized(
    no_key = { "x-team: south\r\n", &[] },
    unknown_key = { "x-team: south\r\nAuthorization: Bearer other-key-dddd4444\r\n", &[] },
    two_keys = { "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n", &[] },
    known_key = { "x-team: south\r\nAuthorization: Bearer north-key-aaaa1111\r\n", &["north"] },
)]
fn an_open_route_names_only_the_team_of_a_known_key(lines: &str, expected: &[&str]) {
    run(async {
        let upstream = answering();
        let open = teams(&[("north", NORTH_KEY), ("south", SOUTH_KEY)], &["/get/"]);
        let entry_node = start_with_teams(&[&upstream], open);
        let request = with_headers(&get("/get/1", "7"), lines);
        assert_eq!(Caller::connect(entry_node.addr).await.ask(&request).await.status, 200);
        let seen = upstream.seen.borrow()[0].clone();
        assert_eq!(named_teams(&seen), expected);
        assert!(!has_credentials(&seen), "{:?}", seen.head);
    });
}

/// Guards against a change for fleets without teams, whose upstreams check credentials themselves.
#[test]
fn without_teams_credentials_and_team_header_are_passed_on() {
    run(async {
        let upstream = answering();
        let entry_node = start(&[&upstream]);
        let request = with_headers(&with_key(&get("/get/1", "7"), NORTH_KEY), "x-team: south\r\n");
        assert_eq!(Caller::connect(entry_node.addr).await.ask(&request).await.status, 200);
        let seen = upstream.seen.borrow()[0].clone();
        assert_eq!(named_teams(&seen), ["south"]);
        assert_eq!(seen.head.headers["authorization"], format!("Bearer {NORTH_KEY}"));
    });
}

/// Guards against running a request whose caller cannot be told.
#[yare::parameterized(
    missing = { "" },
    doubled = { "Authorization: Bearer north-key-aaaa1111\r\nAuthorization: Bearer north-key-aaaa1111\r\n" },
    empty = { "Authorization: Bearer \r\n" },
    malformed = { "Authorization: north-key-aaaa1111\r\n" },
    not_text = { "Authorization: Bearer north\u{e9}\r\n" },
    other_scheme = { "Authorization: Basic north-key-aaaa1111\r\n" },
    unknown = { "Authorization: Bearer other-key-dddd4444\r\n" },
)]
fn a_request_without_a_valid_key_is_rejected(lines: &str) {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        for request in [get("/get/1", "7"), post("8"), long_post("9")] {
            let request = with_headers(&request, lines);
            let response = Caller::connect(entry_node.addr).await.ask(&request).await;
            assert_eq!(response.status, 401, "{lines}");
            assert_eq!(response.headers["www-authenticate"], "Bearer");
            assert!(!response.headers.contains_key("retry-after"), "it would be rejected again");
        }
        assert_eq!((upstream.runs(), upstream.connections.get()), (0, 0));
        let counters = entry_node.node.state.borrow().counters;
        let rejected = counters.unauthorized_no_key
            + counters.unauthorized_malformed_key
            + counters.unauthorized_unknown_key;
        assert_eq!((counters.requests, rejected), (3, 3));
    });
}

/// Guards against receiving a long body only to reject it, and against asking the caller for one.
#[yare::parameterized(
    long = { "Content-Length: 200000\r\n" },
    short = { "Content-Length: 4\r\n" },
    chunked = { "Transfer-Encoding: chunked\r\n" },
    waits_for_continue = { "Content-Length: 4\r\nExpect: 100-continue\r\n" },
)]
fn a_request_is_rejected_before_its_body_is_received(framing: &str) {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let head = "POST /post/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\n";
        let mut caller = Caller::connect(entry_node.addr).await;
        let response = caller.ask(&format!("{head}{framing}\r\n")).await;
        assert_eq!(response.status, 401);
    });
}

/// Guards against request smuggling: the body of a rejected request, which is not received, looks
/// like a request with a valid key.
#[yare::parameterized(
    long = { "Content-Length: 200000\r\n" },
    chunked = { "Transfer-Encoding: chunked\r\n" },
    not_announced_yet = { "Content-Length: 300\r\nExpect: 100-continue\r\n" },
)]
fn the_body_of_a_rejected_request_is_not_parsed_as_a_request(framing: &str) {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let mut stream = TcpStream::connect_addr(entry_node.addr).await.expect("connects");
        let head = "POST /post/1 HTTP/1.1\r\nHost: seeds.example\r\nx-id: 7\r\n";
        let hidden = with_key(&get("/get/1", "8"), NORTH_KEY);
        write_raw(&mut stream, &format!("{head}{framing}\r\n{hidden}")).await;
        let text = read_to_end(stream).await;
        assert!(text.starts_with("HTTP/1.1 401"), "{text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
        assert!(text.contains("connection: close\r\n"), "{text}");
        assert_eq!(upstream.runs(), 0);
    });
}

/// Guards against a connection that closes with each rejected request, or whose next request is
/// read from the middle of a discarded body.
#[test]
fn a_short_body_of_a_rejected_request_is_discarded() {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let mut caller = Caller::connect(entry_node.addr).await;
        let rejected = with_key(&post("1"), OTHER_KEY);
        let accepted = with_key(&get("/get/1", "2"), NORTH_KEY);
        caller.write(&format!("{rejected}{accepted}{rejected}{accepted}")).await;
        for status in [401, 200, 401, 200] {
            assert_eq!(caller.read().await.expect("a response").status, status);
        }
        let seen = upstream.seen.borrow();
        let methods: Vec<&str> = seen.iter().map(|seen| seen.head.method.as_str()).collect();
        assert_eq!(methods, ["GET", "GET"], "a method holds the end of a body");
    });
}

#[test]
fn a_request_without_a_route_is_not_found_whatever_its_key() {
    run(async {
        let entry_node = start_with_teams(&[], north_and_south());
        for request in [get("/other/1", "1"), post("2").replace("/post/1", "/other/1")] {
            let response = Caller::connect(entry_node.addr).await.ask(&request).await;
            assert_eq!(response.status, 404);
        }
    });
}

/// Guards against a final 401 for a key that was added while the node could not read the platform.
#[yare::parameterized(
    known = { "Authorization: Bearer north-key-aaaa1111\r\n", 200 },
    unknown = { "Authorization: Bearer other-key-dddd4444\r\n", 503 },
    missing = { "", 401 },
)]
fn a_node_that_may_be_outdated_does_not_reject_an_unknown_key_for_good(lines: &str, status: u16) {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let outdated_at = Instant::now() - ms(10_000);
        {
            let progress = &mut entry_node.node.state.borrow_mut().config_progress;
            progress.lease = lease::Lease::default();
            progress.lease.renew(outdated_at);
            (0..2).for_each(|_| progress.reads.record(lease::LastRead::Rejected));
        }
        for request in [get("/get/1", "1"), post("2")] {
            let request = with_headers(&request, lines);
            let response = Caller::connect(entry_node.addr).await.ask(&request).await;
            assert_eq!(response.status, status);
            assert_eq!(response.headers.contains_key("retry-after"), status == 503);
        }
    });
}

/// Guards against a final 401 for a key that has just been added: the node has not read the newest
/// version yet, and a peer shows that there is one.
#[test]
fn a_node_that_is_behind_a_peer_does_not_reject_an_unknown_key_for_good() {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let request = with_key(&get("/get/1", "1"), OTHER_KEY);
        let ask = async || Caller::connect(entry_node.addr).await.ask(&request).await.status;
        let peer = fleet::serving("b");
        let newest = peer.config_head;
        entry_node.node.state.borrow_mut().peers.insert(fleet::addr(1), peer);
        assert_eq!(ask().await, 503);
        assert!(apply(&entry_node, 3, teams(&[("north", NORTH_KEY)], &[])));
        entry_node.node.state.borrow_mut().config_progress.up_to = newest;
        assert_eq!(ask().await, 401, "the newest version has no such key");
        assert!(apply(&entry_node, 4, teams(&[("west", OTHER_KEY)], &[])));
        assert_eq!(ask().await, 200);
    });
}

/// Guards against a restarted node that serves or rejects callers before it knows their keys.
#[test]
fn a_node_without_a_configuration_can_tell_nobody() {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let table = entry_node.node.state.borrow_mut().table.take();
        entry_node.node.state.borrow_mut().started_at = Instant::now() - ms(1_000);
        for key in [NORTH_KEY, OTHER_KEY] {
            let request = with_key(&post("1"), key);
            let response = Caller::connect(entry_node.addr).await.ask(&request).await;
            assert_eq!(response.status, 503);
        }
        entry_node.node.state.borrow_mut().table = table;
        let request = with_key(&post("1"), NORTH_KEY);
        assert_eq!(Caller::connect(entry_node.addr).await.ask(&request).await.status, 200);
        assert_eq!(upstream.runs(), 1);
    });
}

/// Guards against a second send that names another team, or none: the team's key moves to another
/// team after the first send.
#[yare::parameterized(
    refused = { vec![Step::Wait(ms(60)), refusal("503 Full")], post("7") },
    lost = { vec![Step::Wait(ms(60)), Step::Close], get("/get/1", "7") },
    hedged = { vec![Step::Wait(ms(5_000))], get("/get/1", "7") },
)]
fn all_sends_of_a_request_name_the_same_team(first: Vec<Step>, request: String) {
    run(async {
        let (first, second) = (Upstream::start(vec![first]), answering());
        let entry_node = start_with_teams(&[&first, &second], north_and_south());
        let mut caller = Caller::connect(entry_node.addr).await;
        let request = request.replace("x-deadline: 500", "x-deadline: 4000");
        caller.write(&with_key(&request, NORTH_KEY)).await;
        while first.runs() == 0 {
            monoio::time::sleep(ms(1)).await;
        }
        assert!(apply(&entry_node, 3, teams(&[("west", NORTH_KEY)], &[])));
        let response = caller.read().await.expect("a response");
        assert_eq!(response.status, 200, "{response:?}");
        for upstream in [&first, &second] {
            let seen = upstream.seen.borrow()[0].clone();
            assert_eq!(named_teams(&seen), ["north"]);
            assert!(!has_credentials(&seen));
        }
    });
}

/// Guards against a team that is remembered for a connection: callers of several teams may share
/// one, as behind a proxy.
#[test]
fn pipelined_requests_each_name_their_own_team() {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let keys = [NORTH_KEY, SOUTH_KEY, OTHER_KEY, SOUTH_KEY, NORTH_KEY];
        let requests = keys.iter().enumerate();
        let requests = requests.map(|(n, key)| with_key(&get("/get/1", &n.to_string()), key));
        let mut caller = Caller::connect(entry_node.addr).await;
        caller.write(&requests.collect::<String>()).await;
        for status in [200, 200, 401, 200, 200] {
            assert_eq!(caller.read().await.expect("a response").status, status);
        }
        for seen in upstream.seen.borrow().iter() {
            let id = seen.head.headers["x-id"].to_str().expect("text");
            let expected = if ["0", "4"].contains(&id) { "north" } else { "south" };
            assert_eq!(named_teams(seen), [expected], "request {id}");
        }
        assert_eq!(upstream.runs(), 4);
    });
}

/// Guards against serving a key that was revoked, or naming the team that had it, when the change
/// comes while the request's body is being received.
#[yare::parameterized(
    revoked = { teams(&[("south", SOUTH_KEY)], &[]), 401, &[] },
    moved = { teams(&[("south", NORTH_KEY)], &[]), 200, &["south"] },
    last_key_of_all_teams = { Teams::new(vec![team("north", &[])], []).unwrap(), 401, &[] },
)]
fn a_key_that_changes_while_its_request_is_received(after: Teams, status: u16, named: &[&str]) {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let mut caller = Caller::connect(entry_node.addr).await;
        let request = with_key(&post("7"), NORTH_KEY);
        let (start, rest) = request.split_at(request.len() - 2);
        caller.write(start).await;
        monoio::time::sleep(ms(50)).await;
        assert!(apply(&entry_node, 3, after));
        assert_eq!(caller.ask(rest).await.status, status);
        let seen: Vec<String> = upstream.seen.borrow().iter().flat_map(named_teams).collect();
        assert_eq!(seen, named);
    });
}

/// Guards against serving a key that was revoked while its request waited behind another of its
/// connection.
#[test]
fn a_key_revoked_while_its_request_waits_is_rejected() {
    run(async {
        let upstream = Upstream::start(vec![vec![Step::Wait(ms(150)), ok_response("beans")]]);
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let mut caller = Caller::connect(entry_node.addr).await;
        let first = with_key(&get("/get/1", "1"), SOUTH_KEY);
        caller.write(&format!("{first}{}", with_key(&post("2"), NORTH_KEY))).await;
        monoio::time::sleep(ms(50)).await;
        assert!(apply(&entry_node, 3, teams(&[("south", SOUTH_KEY)], &[])));
        for status in [200, 401] {
            assert_eq!(caller.read().await.expect("a response").status, status);
        }
        assert_eq!(upstream.runs(), 1);
    });
}

/// Guards against cutting off a request that its caller was entitled to send: its outcome would be
/// unknown.
#[test]
fn a_request_being_streamed_ends_under_the_key_it_began_with() {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let mut caller = Caller::connect(entry_node.addr).await;
        let request = with_key(&long_post("7"), NORTH_KEY);
        let (start, rest) = request.split_at(120_000);
        caller.write(start).await;
        while upstream.connections.get() == 0 {
            monoio::time::sleep(ms(1)).await;
        }
        assert!(apply(&entry_node, 3, teams(&[("south", SOUTH_KEY)], &[])));
        assert_eq!(caller.ask(rest).await.status, 200);
        let other = with_key(&get("/get/1", "8"), NORTH_KEY);
        assert_eq!(Caller::connect(entry_node.addr).await.ask(&other).await.status, 401);
    });
}

/// Guards against a revoked key that a late or restored older version makes valid again, and
/// against a node that misses the last of many versions.
#[test]
fn only_the_newest_of_many_versions_counts() {
    run(async {
        let upstream = answering();
        let entry_node = start_with_teams(&[&upstream], north_and_south());
        let mut caller = Caller::connect(entry_node.addr).await;
        let with = || teams(&[("north", NORTH_KEY)], &[]);
        let without = || teams(&[("south", SOUTH_KEY)], &[]);
        for version in (3..200).step_by(2) {
            assert!(apply(&entry_node, version, with()));
            assert!(apply(&entry_node, version + 1, without()));
        }
        let request = with_key(&get("/get/1", "1"), NORTH_KEY);
        assert_eq!(caller.ask(&request).await.status, 401);
        assert!(!apply(&entry_node, 151, with()), "the store went back");
        assert_eq!(caller.ask(&request).await.status, 401);
        assert!(apply(&entry_node, 201, with()));
        assert_eq!(caller.ask(&request).await.status, 200);
        assert!(apply(&entry_node, 202, Teams::default()));
        assert_eq!(caller.ask(&get("/get/1", "2")).await.status, 200, "no teams, no keys");
    });
}

/// Guards against teams that reach only the nodes that read the platform, and a key that stays
/// valid at the others; one node starts after the change.
#[test]
fn teams_reach_nodes_through_peers() {
    run(async {
        let platform = platform();
        *platform.teams.borrow_mut() = north_and_south();
        let nodes = super::relay::fleet(&platform);
        monoio::time::sleep(ms(2_000)).await;
        let newest = teams(&[("west", OTHER_KEY)], &["/get/"]);
        *platform.teams.borrow_mut() = newest.clone();
        platform.config.set(9);
        monoio::time::sleep(ms(600)).await;
        let teams_of = |node: &Rc<crate::forward::Node>| {
            node.state.borrow().table.as_ref().map(|table| table.teams.clone())
        };
        for node in &nodes {
            assert_eq!(teams_of(node).as_ref(), Some(&newest));
        }
        assert!(nodes.iter().any(|node| !node.state.borrow().reads_directly));
        let (restarted, _) = fleet::start(&platform);
        for node in nodes.iter().filter(|node| node.state.borrow().reads_directly) {
            let at = node.state.borrow().settings.peer_addr;
            restarted.state.borrow_mut().peers.insert(at, fleet::serving("a"));
        }
        restarted.state.borrow_mut().settings.peer_addr = ([127, 0, 0, 1], 65_535).into();
        wait_until_subscribed(&restarted).await;
        assert_eq!(teams_of(&restarted).as_ref(), Some(&newest));
        *platform.teams.borrow_mut() = Teams::default();
        platform.config.set(11);
        monoio::time::sleep(ms(600)).await;
        for node in nodes.iter().chain([&restarted]) {
            assert_eq!(teams_of(node), Some(Teams::default()), "all teams are gone");
        }
    });
}

/// Log lines of this process.
#[derive(Clone, Default)]
struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl Write for CapturedLog {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns everything that an upstream received.
fn text_of(seen: &SeenRequest) -> String {
    let headers =
        seen.head.headers.iter().map(|(name, value)| {
            format!("{name}: {}\n", String::from_utf8_lossy(value.as_bytes()))
        });
    let body = String::from_utf8_lossy(&seen.body).into_owned();
    format!("{} {}\n{}{body}", seen.head.method, seen.head.target, headers.collect::<String>())
}

/// Guards against keys that leave the node: to upstreams, peers, logs, metrics, the status, records
/// or callers, or by the `Debug` of what a panic message could show.
#[test]
fn a_key_appears_in_no_output() {
    const PLANTED: &str = "PLANTEDkey0123456789";
    run(async {
        let log = CapturedLog::default();
        trace::start(log.clone()).expect("starts");
        let (first, second) = (Upstream::start(vec![vec![Step::Close]]), answering());
        let quota = Some(Quota { rate_per_s: 2.5, burst: 7.0 });
        let planted = Team { priority: 3, quota, ..team("north", &[PLANTED]) };
        let planted_teams = Teams::new(vec![planted], ["/other/".into()]).expect("valid teams");
        let entry_node = start_with_teams(&[&first, &second], planted_teams);
        // A node that has just started does not grant tokens of quotas yet.
        entry_node.node.state.borrow_mut().started_at -= Duration::from_secs(60);
        crate::quotas::housekeeping(&entry_node.node, Instant::now());
        let mut outputs = Vec::new();
        let malformed = [
            format!("Authorization: {PLANTED}\r\n"),
            format!("Authorization: Basic {PLANTED}\r\n"),
            format!("Authorization: Bearer {PLANTED}, {PLANTED}\r\n"),
            format!("Authorization: Bearer {PLANTED}\r\nAuthorization: Bearer {PLANTED}\r\n"),
            format!("Authorization: Bearer unknown-{PLANTED}\r\n"),
        ];
        let served = format!("Authorization: Bearer {PLANTED}\r\n");
        for lines in malformed.iter().chain([&served]) {
            for request in [get("/get/1", "1"), get("/other/1", "2"), post("3"), long_post("4")] {
                let request = with_headers(&request, lines);
                let response = Caller::connect(entry_node.addr).await.ask(&request).await;
                outputs.push(format!("{:?} {}", response.headers, response.body));
            }
        }
        // Not valid HTTP, so the parser's error is logged.
        let bad =
            with_headers(&get("/get/1", "5"), &format!("Authorization : Bearer {PLANTED}\r\n"));
        outputs.push(Caller::connect(entry_node.addr).await.ask(&bad).await.body);
        let table = entry_node.node.state.borrow().table.clone().expect("a table");
        {
            let state = entry_node.node.state.borrow();
            let frame = relay::Frame::config(&state);
            let bytes = postcard::to_stdvec(&frame).expect("encodes");
            outputs.push(String::from_utf8_lossy(&bytes).into_owned());
            outputs.push(format!("{frame:?} {table:?}"));
            let status = Status::of(&state, Instant::now());
            outputs.push(serde_json::to_string(&status).expect("encodes"));
            outputs.push(format!("{status:?}"));
            outputs.push(entry_node.node.metrics.scrape(&state).expect("encodes"));
            outputs.push(table.to_text());
            assert_eq!((status.teams, status.keys), (1, 1));
        }
        for upstream in [&first, &second] {
            outputs.extend(upstream.seen.borrow().iter().map(text_of));
            outputs.extend(upstream.seen.borrow().iter().map(|seen| format!("{:?}", seen.head)));
        }
        let (mut reader, _writer) = web::h1::split(connected_to_text(&served).await);
        let head = reader.request_head(1_000).await.expect("a head");
        outputs.push(format!("{head:?}"));
        trace::flush_and_wait(ms(2_000));
        let log = String::from_utf8(log.0.lock().expect("not poisoned").clone()).expect("text");
        outputs.push(log.clone());
        for output in &outputs {
            assert!(!output.contains(PLANTED), "{output}");
        }
        let fingerprint = KeyDigest::of(format!("unknown-{PLANTED}").as_bytes()).to_string();
        for expected in ["unauthorized", "answer_lost", "bad_request", fingerprint.as_str()] {
            assert!(log.contains(expected), "{expected} is not in the log:\n{log}");
        }
        let known = KeyDigest::of(PLANTED.as_bytes());
        let line = format!("team north priority=3 rate_per_s=2.5 burst=7 keys={known}\n");
        assert!(table.to_text().contains(&line), "{}", table.to_text());
        assert!(table.to_text().contains("open_route /other/\n"));
    });
}

/// Returns a connection on which a request with these header lines arrives.
async fn connected_to_text(lines: &str) -> TcpStream {
    let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("bound");
    let mut stream = TcpStream::connect_addr(addr).await.expect("connects");
    write_raw(&mut stream, &with_headers(&get("/get/1", "1"), lines)).await;
    let (accepted, _) = listener.accept().await.expect("accepts");
    accepted
}

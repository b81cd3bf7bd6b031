//! Invalid entries among those of the platform.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded;

use crate::follow::{poll_config, poll_vms, Channels};
use crate::test_support::view;
use crate::view::View;

/// Time within which a node that polls every few milliseconds follows a change.
const MAX_FOLLOW_TIME: Duration = Duration::from_secs(3);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A platform whose VM list and template rows are texts: those after the position that is asked for.
struct Platform {
    vms: RefCell<Vec<String>>,
    templates: RefCell<Vec<String>>,
}

impl Platform {
    fn list(&self, name: &str, entries: &[String], since: usize) -> String {
        let newer = entries.get(since..).unwrap_or_default().join(",");
        format!("{{\"head\":{},\"{name}\":[{newer}]}}", entries.len())
    }
}

impl web::Handler for Platform {
    async fn handle(&self, request: web::Request, _peer: SocketAddr) -> web::Response {
        let since = web::query_param(request.uri(), "since").and_then(|since| since.parse().ok());
        let since: usize = since.unwrap_or_default();
        let text = match request.uri().path() {
            "/v1/vms" => self.list("vms", &self.vms.borrow(), since),
            "/v1/rows/templates" => self.list("rows", &self.templates.borrow(), since),
            _ => self.list("rows", &[], since),
        };
        web::json(http::StatusCode::OK, text.into_bytes())
    }
}

fn vm(port: &str) -> String {
    format!(
        r#"{{"addr":"10.0.0.1:{port}","zone":"z-0","role":"upstream","service":"svc","state":"live"}}"#
    )
}

fn template(service: &str, version: &str) -> String {
    format!(
        r#"{{"key":"{service}","version":{version},"value":"service: {service}\n","change_id":"c"}}"#
    )
}

/// Returns the entry with a value that is nested deeply, or a number that is too large, in one field.
fn with_invalid_value(entry: &str, kind: &str) -> String {
    let value = match kind {
        "nested" => format!("{}{}", "[".repeat(5_000), "]".repeat(5_000)),
        _ => "9".repeat(400),
    };
    entry.replace("\"live\"", &value).replace("\"c\"", &value)
}

/// Starts a node that follows a platform with these entries.
fn start(vms: Vec<String>, templates: Vec<String>) -> (Rc<Platform>, Rc<RefCell<View>>) {
    let platform = Rc::new(Platform { vms: RefCell::new(vms), templates: RefCell::new(templates) });
    let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let store = || Rc::new(store::Store::new(listener.local_addr().expect("bound")));
    let view = Rc::new(RefCell::new(view()));
    let (gossip, _) = unbounded::channel();
    let (probe, _) = unbounded::channel();
    let channels = Channels { gossip, probe };
    monoio::spawn(poll_vms(store(), view.clone(), POLL_INTERVAL, channels.clone()));
    monoio::spawn(poll_config(store(), view.clone(), POLL_INTERVAL, channels));
    monoio::spawn(web::serve(listener, platform.clone()));
    (platform, view)
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < MAX_FOLLOW_TIME, "{what}");
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

fn ports(view: &RefCell<View>) -> Vec<u16> {
    view.borrow().vms.keys().map(|addr| addr.port()).collect()
}

/// Guards against a node without upstreams, or one that follows no change any more, since another
/// writer left one invalid entry in the VM list.
#[yare::parameterized(
    port_out_of_range = { vm("97304") },
    no_port = { vm("0") },
    nested_deeply = { with_invalid_value(&vm("9009"), "nested") },
    number_too_large = { with_invalid_value(&vm("9009"), "number") },
    number = { "17".to_owned() },
    unknown_state = { vm("9009").replace("live", "resting") },
)]
fn an_invalid_vm_is_left_out(invalid: String) {
    web::runtime().block_on(async {
        let (platform, view) = start(vec![vm("9001"), invalid.clone(), vm("9002")], Vec::new());
        wait_until("the list is read at the start", || ports(&view) == [9001, 9002]).await;
        platform.vms.borrow_mut().push(invalid.clone());
        wait_until("the invalid entry is read", || view.borrow().vm_head == 4).await;
        platform.vms.borrow_mut().extend([invalid, vm("9003")]);
        wait_until("a later change is followed", || ports(&view) == [9001, 9002, 9003]).await;
    });
}

/// Guards against calls to nowhere, or an upstream that is lost, since its entry is replaced by an invalid
/// one: the last sound one stays in use until the next.
#[test]
fn the_last_sound_entry_of_a_vm_stays_in_use() {
    web::runtime().block_on(async {
        let (platform, view) = start(vec![vm("9001"), vm("9002")], Vec::new());
        wait_until("the list is read", || ports(&view) == [9001, 9002]).await;
        platform.vms.borrow_mut().push(vm("9001").replace("live", "resting"));
        wait_until("the invalid entry is read", || view.borrow().vm_head == 3).await;
        assert_eq!(ports(&view), [9001, 9002]);
        platform.vms.borrow_mut().push(vm("9001").replace("live", "gone"));
        wait_until("the next sound entry is applied", || ports(&view) == [9002]).await;
    });
}

/// Guards against a node that takes a list of which it understands nothing for an empty one.
#[test]
fn a_list_without_a_sound_entry_is_not_applied() {
    web::runtime().block_on(async {
        let (platform, view) = start(vec![vm("97304"), "17".to_owned()], Vec::new());
        monoio::time::sleep(10 * POLL_INTERVAL).await;
        assert_eq!(view.borrow().vm_head, 0);
        platform.vms.borrow_mut().push(vm("9001"));
        wait_until("a sound entry is read", || ports(&view) == [9001]).await;
    });
}

/// Guards against the same for templates.
#[yare::parameterized(
    nested_deeply = { with_invalid_value(&template("invalid", "7"), "nested") },
    number_too_large = { template("invalid", &"9".repeat(400)) },
    number = { "17".to_owned() },
    nested_deeply_inside = { template("invalid", "7").replace("\\n", &"[".repeat(5_000)) },
)]
fn an_invalid_template_is_left_out(invalid: String) {
    web::runtime().block_on(async {
        let rows = vec![template("svc", "1"), invalid.clone()];
        let (platform, view) = start(Vec::new(), rows);
        let has = |service: &str| view.borrow().templates.contains_key(service);
        wait_until("the template is read at the start", || has("svc")).await;
        platform.templates.borrow_mut().push(invalid);
        wait_until("the invalid row is read", || view.borrow().config_head == 3).await;
        platform.templates.borrow_mut().push(template("next", "4"));
        wait_until("a later change is followed", || has("next")).await;
        assert!(!has("invalid"));
    });
}

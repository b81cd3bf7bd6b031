//! The platform stand-in: versioned rows with transactions, and the VM list.
//!
//! Every commit gets the next version of the whole service, so a reader can
//! ask for "rows written after version V" in one read. Faults set through
//! `POST /v1/faults` make it unavailable, slow, lose the answer to a commit
//! that took effect or that takes effect only later, or serve the VM list late.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use smol_str::SmolStr;
use store::proto;

/// State of the stand-in, owned by its one server task.
#[derive(Default)]
pub struct Table {
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(SmolStr, SmolStr), proto::Row>,
    head: proto::Version,
    /// Every change of the VM list with the time it happened, oldest first.
    vm_log: Vec<(Instant, proto::Vm)>,
    faults: proto::Faults,
    /// Transactions that got no answer and are still to be tried, with the time to do so.
    late: Vec<(Instant, proto::Txn)>,
}

impl State {
    /// Commits `txn`, all writes or none.
    fn apply(&mut self, txn: proto::Txn) -> Result<proto::Committed, proto::Conflict> {
        for write in &txn.writes {
            let current =
                self.rows.get(&(write.table.clone(), write.key.clone())).map_or(0, |r| r.version);
            if current != write.expected_version {
                return Err(proto::Conflict {
                    table: write.table.clone(),
                    key: write.key.clone(),
                    current_version: current,
                });
            }
        }
        self.head += 1;
        let version = self.head;
        for write in txn.writes {
            let row = proto::Row {
                key: write.key.clone(),
                version,
                value: write.value,
                change_id: txn.change_id.clone(),
            };
            self.rows.insert((write.table, write.key), row);
        }
        Ok(proto::Committed { version })
    }
}

impl web::Handler for Table {
    async fn handle(&self, request: web::Request, _peer: std::net::SocketAddr) -> web::Response {
        let faults = self.state.borrow().faults.clone();
        let admin = request.uri().path() == "/v1/faults";
        if faults.delay_ms > 0 && !admin {
            monoio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        self.commit_late();
        match () {
            _ if admin => self.set_faults(&request),
            _ if faults.outage => web::reply(StatusCode::SERVICE_UNAVAILABLE, "outage\n"),
            _ => self.route(&request),
        }
    }
}

impl Table {
    /// Sets the faults to inject from now on, as `POST /v1/faults` does.
    pub fn set(&self, faults: proto::Faults) {
        self.state.borrow_mut().faults = faults;
    }

    /// Returns the rows of `table`, for tests that check the stored truth.
    pub fn rows(&self, table: &str) -> Vec<proto::Row> {
        let state = self.state.borrow();
        state.rows.iter().filter(|((t, _), _)| t == table).map(|(_, row)| row.clone()).collect()
    }

    fn route(&self, request: &web::Request) -> web::Response {
        let path = request.uri().path();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["v1", "rows", table]) => {
                let since = web::query_param(request.uri(), "since").and_then(|v| v.parse().ok());
                self.since(table, since.unwrap_or(0))
            }
            // Keys may hold slashes, as those of audit records do.
            (&Method::GET, ["v1", "rows", table, key @ ..]) => self.get(table, &key.join("/")),
            (&Method::POST, ["v1", "txn"]) => self.commit(request.body()),
            (&Method::GET, ["v1", "vms"]) => match web::query_param(request.uri(), "since") {
                Some(since) => self.vm_changes(since.parse().unwrap_or(0)),
                None => self.vms(),
            },
            (&Method::PUT, ["v1", "vms"]) => self.put_vm(request.body()),
            // Not 404, which a reader would take for "no such row".
            _ => web::reply(StatusCode::BAD_REQUEST, "no such route\n"),
        }
    }

    fn get(&self, table: &str, key: &str) -> web::Response {
        let state = self.state.borrow();
        match state.rows.get(&(table.into(), key.into())) {
            Some(row) => encode(StatusCode::OK, row),
            None => web::reply(StatusCode::NOT_FOUND, "no such row\n"),
        }
    }

    fn since(&self, table: &str, since: proto::Version) -> web::Response {
        let state = self.state.borrow();
        let rows = state
            .rows
            .iter()
            .filter(|((t, _), row)| t == table && row.version > since)
            .map(|(_, row)| row.clone())
            .collect();
        encode(StatusCode::OK, &proto::Rows { head: state.head, rows })
    }

    fn commit(&self, body: &bytes::Bytes) -> web::Response {
        let txn: proto::Txn = match serde_json::from_slice(body) {
            Ok(txn) => txn,
            Err(err) => return web::reply(StatusCode::BAD_REQUEST, format!("bad txn: {err}\n")),
        };
        let mut state = self.state.borrow_mut();
        if state.faults.late_commits > 0 {
            state.faults.late_commits -= 1;
            let due = Instant::now() + Duration::from_millis(state.faults.late_ms);
            state.late.push((due, txn));
            return unanswered(web::reply(StatusCode::OK, ""));
        }
        let response = match state.apply(txn) {
            Ok(committed) => encode(StatusCode::OK, &committed),
            Err(conflict) => return encode(StatusCode::CONFLICT, &conflict),
        };
        match state.faults.lose_acks {
            0 => response,
            _ => {
                state.faults.lose_acks -= 1;
                unanswered(response)
            }
        }
    }

    /// Tries the transactions whose time has come.
    fn commit_late(&self) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = state.late.drain(..).partition(|(at, _)| *at <= now);
        state.late = later;
        for (_, txn) in due {
            let _ = state.apply(txn);
        }
    }

    /// Returns how many changes of the VM log are visible under the lag fault.
    fn visible_vm_changes(state: &State) -> usize {
        let lag = Duration::from_millis(state.faults.vm_lag_ms);
        let cutoff = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        state.vm_log.partition_point(|(at, _)| *at <= cutoff)
    }

    /// Folds `changes` into the latest state per VM.
    fn fold(changes: &[(Instant, proto::Vm)]) -> BTreeMap<std::net::SocketAddr, proto::Vm> {
        changes.iter().map(|(_, vm)| (vm.addr, vm.clone())).collect()
    }

    fn vms(&self) -> web::Response {
        let state = self.state.borrow();
        let visible = Self::visible_vm_changes(&state);
        let list: Vec<proto::Vm> = Self::fold(&state.vm_log[..visible])
            .into_values()
            .filter(|vm| vm.state != proto::VmState::Gone)
            .collect();
        encode(StatusCode::OK, &list)
    }

    fn vm_changes(&self, since: proto::Version) -> web::Response {
        let state = self.state.borrow();
        let visible = Self::visible_vm_changes(&state);
        let from = (since as usize).min(visible);
        let vms = Self::fold(&state.vm_log[from..visible]).into_values().collect();
        encode(StatusCode::OK, &proto::VmChanges { head: visible as proto::Version, vms })
    }

    fn put_vm(&self, body: &bytes::Bytes) -> web::Response {
        match serde_json::from_slice::<proto::Vm>(body) {
            Ok(vm) => {
                self.state.borrow_mut().vm_log.push((Instant::now(), vm));
                web::reply(StatusCode::OK, "")
            }
            Err(err) => web::reply(StatusCode::BAD_REQUEST, format!("bad vm: {err}\n")),
        }
    }

    fn set_faults(&self, request: &web::Request) -> web::Response {
        match serde_json::from_slice::<proto::Faults>(request.body()) {
            Ok(faults) => {
                self.set(faults);
                web::reply(StatusCode::OK, "")
            }
            Err(err) => web::reply(StatusCode::BAD_REQUEST, format!("bad faults: {err}\n")),
        }
    }
}

/// Marks a response to be lost: the connection closes instead.
fn unanswered(mut response: web::Response) -> web::Response {
    response.extensions_mut().insert(web::DropConnection);
    response
}

fn encode<T: serde::Serialize>(status: StatusCode, value: &T) -> web::Response {
    web::json(status, serde_json::to_vec(value).expect("encodes"))
}

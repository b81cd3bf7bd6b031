//! The platform stand-in: a transactional store of versioned rows, and the VM list.
//!
//! Versions are global to the store, not per table: each commit gets the next
//! one. A single read returns all rows of a table written after a given version.
//! `POST /v1/faults` injects faults: an outage, a delay of each response, a lost
//! response to a commit that is applied at once or only later, or a stale VM list.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use smol_str::SmolStr;
use store::proto;

/// The platform stand-in, a [`web::Handler`] that keeps all its state in memory.
#[derive(Default)]
pub struct Platform {
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(SmolStr, SmolStr), proto::Row>,
    head: proto::Version,
    /// Every change of the VM list and when it was received, oldest first.
    vm_log: Vec<(Instant, proto::Vm)>,
    faults: proto::Faults,
    /// Transactions that got no response and are not applied yet, each with the earliest time at
    /// which it is applied.
    delayed_commits: Vec<(Instant, proto::Txn)>,
}

impl State {
    /// Applies all writes of `txn`, or none if any row is not at its expected version.
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

impl web::Handler for Platform {
    async fn handle(&self, request: web::Request, _peer: std::net::SocketAddr) -> web::Response {
        let faults = self.state.borrow().faults.clone();
        let is_fault_request = request.uri().path() == "/v1/faults";
        if faults.delay_ms > 0 && !is_fault_request {
            monoio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        self.apply_delayed_commits();
        match () {
            _ if is_fault_request => self.post_faults(&request),
            _ if faults.outage => web::reply(StatusCode::SERVICE_UNAVAILABLE, "outage\n"),
            _ => self.route(&request),
        }
    }
}

impl Platform {
    /// Replaces the faults to inject, as `POST /v1/faults` does.
    pub fn set_faults(&self, faults: proto::Faults) {
        self.state.borrow_mut().faults = faults;
    }

    /// Returns the stored rows of `table`, ordered by key. Injected faults do not apply.
    pub fn rows(&self, table: &str) -> Vec<proto::Row> {
        let state = self.state.borrow();
        state.rows.iter().filter(|((t, _), _)| t == table).map(|(_, row)| row.clone()).collect()
    }

    fn route(&self, request: &web::Request) -> web::Response {
        let path = request.uri().path();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["v1", "rows", table]) => {
                let since = web::query_param(request.uri(), "since").and_then(|v| v.parse().ok());
                self.rows_since(table, since.unwrap_or(0))
            }
            // Keys may contain slashes; those of audit records do.
            (&Method::GET, ["v1", "rows", table, key @ ..]) => self.get_row(table, &key.join("/")),
            (&Method::POST, ["v1", "txn"]) => self.commit(request.body()),
            (&Method::GET, ["v1", "vms"]) => match web::query_param(request.uri(), "since") {
                Some(since) => self.vm_changes(since.parse().unwrap_or(0)),
                None => self.list_vms(),
            },
            (&Method::PUT, ["v1", "vms"]) => self.put_vm(request.body()),
            // Not 404: a client would read that as a missing row.
            _ => web::reply(StatusCode::BAD_REQUEST, "no such route\n"),
        }
    }

    fn get_row(&self, table: &str, key: &str) -> web::Response {
        let state = self.state.borrow();
        match state.rows.get(&(table.into(), key.into())) {
            Some(row) => encode(StatusCode::OK, row),
            None => web::reply(StatusCode::NOT_FOUND, "no such row\n"),
        }
    }

    fn rows_since(&self, table: &str, since: proto::Version) -> web::Response {
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
            state.delayed_commits.push((due, txn));
            return without_response(web::reply(StatusCode::OK, ""));
        }
        let response = match state.apply(txn) {
            Ok(committed) => encode(StatusCode::OK, &committed),
            Err(conflict) => return encode(StatusCode::CONFLICT, &conflict),
        };
        match state.faults.lose_acks {
            0 => response,
            _ => {
                state.faults.lose_acks -= 1;
                without_response(response)
            }
        }
    }

    /// Applies the delayed transactions that are due. Each request calls this: there is no timer.
    fn apply_delayed_commits(&self) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let (due, not_due): (Vec<_>, Vec<_>) =
            state.delayed_commits.drain(..).partition(|(at, _)| *at <= now);
        state.delayed_commits = not_due;
        for (_, txn) in due {
            // A conflict is dropped: the client was never told the result.
            let _ = state.apply(txn);
        }
    }

    /// Returns how many changes of the VM log are older than the injected lag.
    fn visible_vm_change_count(state: &State) -> usize {
        let lag = Duration::from_millis(state.faults.vm_lag_ms);
        let cutoff = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        state.vm_log.partition_point(|(at, _)| *at <= cutoff)
    }

    /// Returns the latest state of each VM in `changes`.
    fn latest_by_addr(
        changes: &[(Instant, proto::Vm)],
    ) -> BTreeMap<std::net::SocketAddr, proto::Vm> {
        changes.iter().map(|(_, vm)| (vm.addr, vm.clone())).collect()
    }

    fn list_vms(&self) -> web::Response {
        let state = self.state.borrow();
        let visible_count = Self::visible_vm_change_count(&state);
        let list: Vec<proto::Vm> = Self::latest_by_addr(&state.vm_log[..visible_count])
            .into_values()
            .filter(|vm| vm.state != proto::VmState::Gone)
            .collect();
        encode(StatusCode::OK, &list)
    }

    fn vm_changes(&self, since: proto::Version) -> web::Response {
        let state = self.state.borrow();
        let visible_count = Self::visible_vm_change_count(&state);
        let from = (since as usize).min(visible_count);
        let vms = Self::latest_by_addr(&state.vm_log[from..visible_count]).into_values().collect();
        encode(StatusCode::OK, &proto::VmChanges { head: visible_count as proto::Version, vms })
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

    fn post_faults(&self, request: &web::Request) -> web::Response {
        match serde_json::from_slice::<proto::Faults>(request.body()) {
            Ok(faults) => {
                self.set_faults(faults);
                web::reply(StatusCode::OK, "")
            }
            Err(err) => web::reply(StatusCode::BAD_REQUEST, format!("bad faults: {err}\n")),
        }
    }
}

/// Marks `response` as lost: the server closes the connection instead of sending it.
fn without_response(mut response: web::Response) -> web::Response {
    response.extensions_mut().insert(web::DropConnection);
    response
}

fn encode<T: serde::Serialize>(status: StatusCode, value: &T) -> web::Response {
    web::json(status, serde_json::to_vec(value).expect("value serializes as JSON"))
}

//! Discovery answers: which entry addresses a caller should use.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::view::View;

/// One entry address in a discovery answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address to connect to.
    pub addr: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
}

/// What `GET /v1/entries` answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Entry addresses, the caller's zone first.
    pub entries: Vec<Entry>,
    /// How long the caller may keep this answer, in seconds.
    pub ttl_s: u64,
}

/// Returns the entries for a caller in `zone`: live entry VMs, own zone first.
///
/// The answering node lists itself even before the VM list shows it, so a
/// caller that reached it is never told to go nowhere.
pub fn entries(view: &View, zone: Option<&str>) -> Entries {
    let me = Entry { addr: view.settings.listen_addr, zone: view.settings.zone.clone() };
    let mut list: Vec<Entry> =
        view.entries.iter().map(|vm| Entry { addr: vm.addr, zone: vm.zone.clone() }).collect();
    if !list.contains(&me) {
        list.push(me);
    }
    list.sort_by_key(|entry| (Some(entry.zone.as_str()) != zone, entry.addr));
    Entries { entries: list, ttl_s: view.settings.entries_ttl.as_secs() }
}

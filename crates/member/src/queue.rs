//! News waiting to be spread, and how often each item has been sent.
//!
//! An item is sent a few times more than the logarithm of the fleet's size and then
//! dropped: by then it has reached every reachable node with high
//! probability, as an epidemic does. Newer news of the same subject replaces
//! older. What a packet may carry is bounded by its size, so a burst of news
//! takes longer to spread but never sends more bytes.

use std::net::SocketAddr;

use notice::Notice;
use quarantine::Finding;
use wire::{HealthReport, MemberUpdate, Packet, Sender, MAX_PACKET_BYTES};

/// An item is sent this often beyond the logarithm (to base two) of the fleet's size.
///
/// Each node that has heard of an item sends it `r` times to peers at random, and a share of `e^-r`
/// never hears of it: with 13 times in a fleet of 312, one item in a thousand misses one node. Sent
/// three times the logarithm, 30 times, every packet was full for a minute after a start: 1.1 MB/s,
/// four fifths of it between zones.
const REPEATS_BEYOND_LOG: u32 = 4;

#[derive(Clone, Debug)]
struct Item<T> {
    value: T,
    sent: u32,
    bytes: usize,
}

/// News waiting to be spread.
#[derive(Default)]
pub(crate) struct Queue {
    members: Vec<Item<MemberUpdate>>,
    notes: Vec<Item<HealthReport>>,
    findings: Vec<Item<Finding>>,
    notices: Vec<Item<Notice>>,
}

impl Queue {
    /// Queues a finding in place of an older one on the same request.
    pub(crate) fn push_finding(&mut self, finding: Finding) {
        self.findings.retain(|item| item.value.content != finding.content);
        let bytes = wire::encoded_bytes(&finding);
        self.findings.push(Item { value: finding, sent: 0, bytes });
    }

    /// Queues a notice in place of an older one of the same upstream.
    pub(crate) fn push_notice(&mut self, notice: Notice) {
        self.notices.retain(|item| !notice.replaces(&item.value));
        let bytes = wire::encoded_bytes(&notice);
        self.notices.push(Item { value: notice, sent: 0, bytes });
    }

    /// Queues news of a member in place of older news of it.
    pub(crate) fn push_member(&mut self, update: MemberUpdate) {
        self.members.retain(|item| item.value.addr != update.addr);
        let bytes = wire::encoded_bytes(&update);
        self.members.push(Item { value: update, sent: 0, bytes });
    }

    /// Queues a note in place of the same watcher's older note on the upstream.
    pub(crate) fn push_note(&mut self, note: HealthReport) {
        let subject = |n: &HealthReport| -> (SocketAddr, SocketAddr) { (n.upstream, n.watcher) };
        self.notes.retain(|item| subject(&item.value) != subject(&note));
        let bytes = wire::encoded_bytes(&note);
        self.notes.push(Item { value: note, sent: 0, bytes });
    }

    /// Adds to `packet` what fits, least-sent first, and drops what was sent often enough.
    pub(crate) fn fill(&mut self, packet: &mut Packet, peers: usize) {
        let repeats = REPEATS_BEYOND_LOG + usize::BITS - peers.leading_zeros();
        // One byte for the protocol version; list lengths grow by at most two bytes each.
        let mut left = MAX_PACKET_BYTES.saturating_sub(wire::encoded_bytes(packet) + 5);
        // A suspect ping adds one update of its own after this.
        left = left.saturating_sub(128);
        // Each moment that a finding is not known may cost an upstream.
        packet.findings = take(&mut self.findings, &mut left, repeats);
        packet.notices = take(&mut self.notices, &mut left, repeats);
        packet.members = take(&mut self.members, &mut left, repeats);
        packet.health_reports = take(&mut self.notes, &mut left, repeats);
    }
}

/// Takes from `items` what fits into `left` bytes.
fn take<T: Clone>(items: &mut Vec<Item<T>>, left: &mut usize, repeats: u32) -> Vec<T> {
    items.sort_by_key(|item| item.sent);
    let mut taken = Vec::new();
    for item in items.iter_mut() {
        if item.bytes > *left {
            break;
        }
        *left -= item.bytes;
        item.sent += 1;
        taken.push(item.value.clone());
    }
    items.retain(|item| item.sent < repeats);
    taken
}

/// Splits findings into the parts of packets from `sender`.
pub(crate) fn split_findings(sender: &Sender, findings: Vec<Finding>) -> Vec<Vec<Finding>> {
    let room = MAX_PACKET_BYTES.saturating_sub(wire::encoded_bytes(sender) + 32);
    let mut parts: Vec<Vec<Finding>> = Vec::new();
    let mut left = 0;
    for finding in findings {
        let bytes = wire::encoded_bytes(&finding);
        if bytes > left {
            parts.push(Vec::new());
            left = room;
        }
        left = left.saturating_sub(bytes);
        parts.last_mut().expect("there is one by now").push(finding);
    }
    parts
}

/// Splits a full state into the parts of packets from `sender`.
pub(crate) fn split(
    sender: &Sender,
    members: Vec<MemberUpdate>,
    notes: Vec<HealthReport>,
) -> Vec<(Vec<MemberUpdate>, Vec<HealthReport>)> {
    let room = MAX_PACKET_BYTES.saturating_sub(wire::encoded_bytes(sender) + 32);
    let mut parts = vec![(Vec::new(), Vec::new())];
    let mut left = room;
    let mut make_room = |bytes: usize, parts: &mut Vec<(Vec<MemberUpdate>, Vec<HealthReport>)>| {
        if bytes > left {
            parts.push((Vec::new(), Vec::new()));
            left = room;
        }
        left = left.saturating_sub(bytes);
    };
    for member in members {
        make_room(wire::encoded_bytes(&member), &mut parts);
        parts.last_mut().expect("never empty").0.push(member);
    }
    for note in notes {
        make_room(wire::encoded_bytes(&note), &mut parts);
        parts.last_mut().expect("never empty").1.push(note);
    }
    parts
}

//! Queue of updates to broadcast, with the number of times each has been sent.
//!
//! An update is sent a few times more than the logarithm of the fleet size and then dropped: by
//! then epidemic dissemination has reached every reachable node with high probability. A newer
//! update on the same subject replaces an older one. Each packet carries only what fits its maximum
//! size, so a burst of updates takes longer to spread but does not make packets larger.

use std::net::SocketAddr;

use notice::Notice;
use quarantine::Finding;
use wire::{HealthReport, MemberUpdate, Packet, Sender, MAX_PACKET_BYTES};

/// Number of transmissions of an update beyond the base-2 logarithm of the fleet size.
///
/// If each node that has an update sends it `r` times to random peers, a share `e^-r` of the nodes
/// never receives it: with 13 transmissions in a fleet of 312, one update in a thousand misses one
/// node. With three times the logarithm, 30 transmissions, every packet was full for a minute after
/// a start of the fleet: 1.1 MB/s, four fifths of it between zones.
const EXTRA_TRANSMISSIONS: u32 = 4;

#[derive(Clone, Debug)]
struct Queued<T> {
    value: T,
    transmissions: u32,
    bytes: usize,
}

/// Updates waiting to be piggybacked.
#[derive(Default)]
pub(crate) struct BroadcastQueue {
    members: Vec<Queued<MemberUpdate>>,
    health_reports: Vec<Queued<HealthReport>>,
    findings: Vec<Queued<Finding>>,
    notices: Vec<Queued<Notice>>,
}

impl BroadcastQueue {
    /// Queues a finding; replaces an older one on the same request.
    pub(crate) fn push_finding(&mut self, finding: Finding) {
        self.findings.retain(|queued| queued.value.content != finding.content);
        let bytes = wire::encoded_bytes(&finding);
        self.findings.push(Queued { value: finding, transmissions: 0, bytes });
    }

    /// Queues a notice; replaces an older one of the same upstream.
    pub(crate) fn push_notice(&mut self, notice: Notice) {
        self.notices.retain(|queued| !notice.replaces(&queued.value));
        let bytes = wire::encoded_bytes(&notice);
        self.notices.push(Queued { value: notice, transmissions: 0, bytes });
    }

    /// Queues a membership update; replaces an older one on the same member.
    pub(crate) fn push_member(&mut self, update: MemberUpdate) {
        self.members.retain(|queued| queued.value.addr != update.addr);
        let bytes = wire::encoded_bytes(&update);
        self.members.push(Queued { value: update, transmissions: 0, bytes });
    }

    /// Queues a health report; replaces an older one by the same watcher on the same upstream.
    pub(crate) fn push_health_report(&mut self, report: HealthReport) {
        let key =
            |other: &HealthReport| -> (SocketAddr, SocketAddr) { (other.upstream, other.watcher) };
        self.health_reports.retain(|queued| key(&queued.value) != key(&report));
        let bytes = wire::encoded_bytes(&report);
        self.health_reports.push(Queued { value: report, transmissions: 0, bytes });
    }

    /// Adds the updates that fit to `packet`, least-sent first, and drops those sent often enough.
    ///
    /// `peers` is the number of known peers.
    pub(crate) fn fill(&mut self, packet: &mut Packet, peers: usize) {
        let max_transmissions = EXTRA_TRANSMISSIONS + usize::BITS - peers.leading_zeros();
        // Reserved: one byte for the protocol version, and one byte by which the encoded length of
        // each of the four lists may grow.
        let mut bytes_left = MAX_PACKET_BYTES.saturating_sub(wire::encoded_bytes(packet) + 5);
        // Reserved: a ping of a suspect adds one update afterwards.
        bytes_left = bytes_left.saturating_sub(128);
        // Findings come first: while a node lacks one, its request may crash another upstream.
        packet.findings = take_fitting(&mut self.findings, &mut bytes_left, max_transmissions);
        packet.notices = take_fitting(&mut self.notices, &mut bytes_left, max_transmissions);
        packet.members = take_fitting(&mut self.members, &mut bytes_left, max_transmissions);
        packet.health_reports =
            take_fitting(&mut self.health_reports, &mut bytes_left, max_transmissions);
    }
}

/// Takes the updates that fit into `bytes_left`, least-sent first, and drops those sent
/// `max_transmissions` times.
fn take_fitting<T: Clone>(
    queue: &mut Vec<Queued<T>>,
    bytes_left: &mut usize,
    max_transmissions: u32,
) -> Vec<T> {
    queue.sort_by_key(|queued| queued.transmissions);
    let mut fitting = Vec::new();
    for queued in queue.iter_mut() {
        if queued.bytes > *bytes_left {
            break;
        }
        *bytes_left -= queued.bytes;
        queued.transmissions += 1;
        fitting.push(queued.value.clone());
    }
    queue.retain(|queued| queued.transmissions < max_transmissions);
    fitting
}

/// Splits findings into lists that each fit one packet from `sender`.
pub(crate) fn split_findings(sender: &Sender, findings: Vec<Finding>) -> Vec<Vec<Finding>> {
    let capacity = MAX_PACKET_BYTES.saturating_sub(wire::encoded_bytes(sender) + 32);
    let mut parts: Vec<Vec<Finding>> = Vec::new();
    let mut bytes_left = 0;
    for finding in findings {
        let bytes = wire::encoded_bytes(&finding);
        if bytes > bytes_left {
            parts.push(Vec::new());
            bytes_left = capacity;
        }
        bytes_left = bytes_left.saturating_sub(bytes);
        parts.last_mut().expect("a part was added for the first finding").push(finding);
    }
    parts
}

/// Splits the full state into parts that each fit one packet from `sender`.
pub(crate) fn split_state(
    sender: &Sender,
    members: Vec<MemberUpdate>,
    health_reports: Vec<HealthReport>,
) -> Vec<(Vec<MemberUpdate>, Vec<HealthReport>)> {
    let capacity = MAX_PACKET_BYTES.saturating_sub(wire::encoded_bytes(sender) + 32);
    let mut parts = vec![(Vec::new(), Vec::new())];
    let mut bytes_left = capacity;
    let mut reserve = |bytes: usize, parts: &mut Vec<(Vec<MemberUpdate>, Vec<HealthReport>)>| {
        if bytes > bytes_left {
            parts.push((Vec::new(), Vec::new()));
            bytes_left = capacity;
        }
        bytes_left = bytes_left.saturating_sub(bytes);
    };
    for member in members {
        reserve(wire::encoded_bytes(&member), &mut parts);
        parts.last_mut().expect("parts is never empty").0.push(member);
    }
    for report in health_reports {
        reserve(wire::encoded_bytes(&report), &mut parts);
        parts.last_mut().expect("parts is never empty").1.push(report);
    }
    parts
}

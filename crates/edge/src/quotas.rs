//! Tokens of teams' quotas: asks the nodes that grant them, and grants them to other nodes.
//!
//! The decisions are those of the crate `quota`. [`run`] reads the socket, [`housekeeping`] applies
//! changes of the peers and of the configuration, and [`Node::acquire_token`] is what the request
//! path calls. While no team has a quota, nothing is sent.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::oneshot;
use monoio::net::udp::UdpSocket;
use quota::{Answer, Attempt, Issue, Member, Message, Phase, Refusal, Seq, Step, Timeliness};
use rand::SeedableRng;
use serde::Serialize;
use team::{Team, TeamName, Teams};

use crate::forward::Node;
use crate::reply::LocalReply;
use crate::state::State;
use crate::{as_ms, readers, Settings};

/// Maximum length of a datagram in bytes; longer ones are truncated and rejected.
const MAX_DATAGRAM_BYTES: usize = quota::MAX_MESSAGE_BYTES + 1;

/// Time after which a node that was isolated knows its peers: all may have been, and meet at once.
const DISCOVERY_TIME: Duration = Duration::from_millis(3_500);

/// Pause after an error of the socket.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// `Retry-After` when no node that decides on a quota responded: another node may reach one.
const RETRY_AFTER_NO_OWNER: Duration = Duration::from_millis(20);

/// `Retry-After` while this node has just started and does not know its peers.
const RETRY_AFTER_STARTING: Duration = Duration::from_millis(300);

/// Lower bound of `Retry-After` over the quota: callers that return sooner are likely refused again.
const MIN_RETRY_AFTER_OVER_QUOTA: Duration = Duration::from_millis(50);

/// Lines per second about refused requests; a team far over its quota must not cost the log of the
/// others.
const MAX_LINES_PER_S: u32 = 20;

/// Number of teams that have a label of their own in the metrics; all others share one.
pub const MAX_TEAM_LABELS: usize = 16;

/// Label of the teams that have none of their own.
const OTHER_TEAMS: &str = "other";

/// The node's part in the quotas of all teams.
pub struct Quotas {
    core: RefCell<quota::Node>,
    socket: OnceCell<Rc<UdpSocket>>,
    waiters: RefCell<HashMap<Seq, oneshot::Sender<Answer>>>,
    /// Version of the configuration whose quotas were applied last.
    applied_version: Cell<Option<route::Version>>,
    /// When the node last was isolated.
    isolated_at: Cell<Option<Instant>>,
    lines: Cell<LineBudget>,
    /// Teams that have a label of their own in the metrics. A team keeps it, as its values would
    /// seem to fall otherwise.
    labelled: RefCell<BTreeSet<TeamName>>,
}

/// The node's part in the quotas of teams.
#[derive(Debug, Default, Serialize)]
pub struct Status {
    /// Number of shards that the node grants tokens of.
    pub shards_owned: usize,
    /// Teams that have sent requests recently.
    pub teams: BTreeMap<TeamName, TeamStatus>,
}

/// What the node knows about one team.
#[derive(Debug, Serialize)]
pub struct TeamStatus {
    /// Tokens that the node holds.
    pub held: usize,
    /// Age of the oldest of them.
    pub oldest_ms: Option<u64>,
    /// Whether requests are refused as the owners have denied tokens.
    pub denied: bool,
    /// Requests that got a token, since start.
    pub allowed: u64,
    /// Tokens returned by requests that did not run, since start.
    pub returned: u64,
    /// Requests refused as the team has used up its quota, since start.
    pub over_quota: u64,
    /// Requests refused as no owner responded, since start.
    pub quota_unknown: u64,
}

/// How many lines were logged in the current second, and how many were left out.
#[derive(Clone, Copy)]
struct LineBudget {
    since: Instant,
    logged: u32,
    left_out: u64,
}

impl Quotas {
    /// Creates the state of a node that holds no tokens.
    pub fn new(settings: &Settings) -> Quotas {
        let me = settings.quota_addr.unwrap_or(settings.peer_addr);
        let rng = rand::rngs::SmallRng::from_os_rng();
        let core = quota::Node::new(me, seeds(settings), settings.quota_bounds, rng);
        Quotas {
            core: RefCell::new(core),
            socket: OnceCell::new(),
            waiters: RefCell::default(),
            applied_version: Cell::new(None),
            isolated_at: Cell::new(None),
            lines: Cell::new(LineBudget { since: Instant::now(), logged: 0, left_out: 0 }),
            labelled: RefCell::default(),
        }
    }

    /// Replaces the seeds by those of the settings.
    pub(crate) fn set_seeds(&self, settings: &Settings) {
        self.core.borrow_mut().set_seeds(seeds(settings));
    }

    /// Returns how well the node knows its peers. One that was isolated may know few of them.
    fn phase(&self, state: &State, now: Instant) -> Phase {
        if state.stopping.is_some() && members(state).any(|member| member.is_alive) {
            return Phase::Leaving;
        }
        if !readers::knows_peers(state, now) {
            return Phase::Starting;
        }
        if is_isolated(state) {
            self.isolated_at.set(Some(now));
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < DISCOVERY_TIME;
        match self.isolated_at.get().is_some_and(is_recent) {
            true => Phase::Isolated,
            false => Phase::Ready,
        }
    }

    /// Returns the node's part in the quotas of teams.
    pub fn status(&self, now: Instant) -> Status {
        let core = self.core.borrow();
        let counts: HashMap<&TeamName, &quota::Counts> = core.counts().collect();
        let team = |(name, allowance): (&TeamName, &quota::Allowance)| {
            let counts = counts.get(name).copied().copied().unwrap_or_default();
            let (held, oldest) = allowance.held(now);
            let status = TeamStatus {
                held,
                oldest_ms: oldest.map(as_ms),
                denied: allowance.is_denied(now),
                allowed: counts.allowed,
                returned: counts.returned,
                over_quota: counts.over_quota,
                quota_unknown: counts.no_owner,
            };
            (name.clone(), status)
        };
        let teams = core.allowances().map(team).collect();
        Status { shards_owned: core.owned_count(), teams }
    }

    /// Refuses a request before its body is received, if tokens of its team were denied a moment ago.
    pub fn refuse_if_denied(&self, team: &Team, now: Instant) -> Option<Refusal> {
        self.core.borrow_mut().refuse_if_denied(team, now)
    }

    /// Returns the number of shards that the node grants tokens of.
    pub fn owned_count(&self) -> usize {
        self.core.borrow().owned_count()
    }

    /// Returns the outcomes of requests by team: those with the highest rates by name, and all
    /// others together.
    pub fn labelled_counts(&self, state: &State) -> BTreeMap<TeamName, quota::Counts> {
        let Some(table) = &state.table else { return BTreeMap::new() };
        let rate = |team: &Team| team.quota.map_or(0.0, |quota| quota.rate_per_s);
        let mut largest: Vec<&Rc<Team>> = table.teams.iter().filter(|t| rate(t) > 0.0).collect();
        largest.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        let mut labelled = self.labelled.borrow_mut();
        for team in largest {
            if labelled.len() < MAX_TEAM_LABELS {
                labelled.insert(team.name.clone());
            }
        }
        let mut by_label: BTreeMap<TeamName, quota::Counts> = BTreeMap::new();
        for (team, counts) in self.core.borrow().counts() {
            let label = labelled.get(team).cloned().unwrap_or(OTHER_TEAMS.into());
            let sum = by_label.entry(label).or_default();
            sum.allowed += counts.allowed;
            sum.returned += counts.returned;
            sum.over_quota += counts.over_quota;
            sum.no_owner += counts.no_owner;
        }
        by_label
    }

    /// Returns how many lines were left out since the last one, or `None` if this one must be too.
    fn next_line(&self, now: Instant) -> Option<u64> {
        let mut lines = self.lines.get();
        if now.saturating_duration_since(lines.since) >= Duration::from_secs(1) {
            lines = LineBudget { since: now, logged: 0, ..lines };
        }
        let left_out = match lines.logged < MAX_LINES_PER_S {
            true => {
                lines.logged += 1;
                Some(std::mem::take(&mut lines.left_out))
            }
            false => {
                lines.left_out += 1;
                None
            }
        };
        self.lines.set(lines);
        left_out
    }
}

/// A token of a team's quota. When dropped it is given back, unless its request may have run.
pub struct Token {
    node: Rc<Node>,
    team: TeamName,
    held: quota::Held,
    may_have_run: Cell<bool>,
}

impl Token {
    /// Records that the request may run from now on.
    pub fn spend(&self) {
        self.may_have_run.set(true);
    }

    /// Records that the request has certainly not run.
    pub fn unspend(&self) {
        self.may_have_run.set(false);
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if !self.may_have_run.get() {
            let mut core = self.node.quotas.core.borrow_mut();
            core.give_back(&self.team, self.held, Instant::now());
        }
    }
}

/// A question in flight; when dropped, its answer is no longer waited for.
struct Waiting<'a> {
    quotas: &'a Quotas,
    /// `None` once the answer or the timeout has come.
    attempt: Option<&'a mut Attempt>,
    seq: Seq,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.quotas.waiters.borrow_mut().remove(&self.seq);
        if let Some(attempt) = self.attempt.take() {
            self.quotas.core.borrow_mut().abandon(attempt);
        }
    }
}

impl Node {
    /// Takes a token for a request of `team`; `None` if the team has no quota.
    ///
    /// # Errors
    ///
    /// Returns why the request must be refused.
    pub async fn acquire_token(
        self: &Rc<Node>,
        team: &Team,
        timeliness: Timeliness,
    ) -> Result<Option<Token>, Refusal> {
        let Some(quota) = &team.quota else { return Ok(None) };
        if self.quotas.applied_version.get() != Some(self.state.borrow().config_version()) {
            housekeeping(self, Instant::now());
        }
        let (mut attempt, mut step) =
            self.quotas.core.borrow_mut().begin(team, quota, timeliness, Instant::now());
        loop {
            let (to, message) = match step {
                Step::Granted(held) => {
                    let (node, team) = (self.clone(), team.name.clone());
                    let may_have_run = Cell::new(false);
                    return Ok(Some(Token { node, team, held, may_have_run }));
                }
                Step::Refused(why) => return Err(why),
                Step::Ask(to, message) => (to, message),
            };
            let answer = self.ask(&mut attempt, to, message).await;
            let mut core = self.quotas.core.borrow_mut();
            step = match answer {
                Some(answer) => core.answered(&mut attempt, answer, Instant::now()),
                None => core.timed_out(&mut attempt, Instant::now()),
            };
        }
    }

    /// Sends a question; returns its answer, or `None` if none came in time.
    async fn ask(&self, attempt: &mut Attempt, to: SocketAddr, message: Message) -> Option<Answer> {
        let Message::Ask { seq, .. } = message else { return None };
        let (tx, rx) = oneshot::channel();
        self.quotas.waiters.borrow_mut().insert(seq, tx);
        let mut waiting = Waiting { quotas: &self.quotas, attempt: Some(attempt), seq };
        send(self, to, &message).await;
        let answer = web::timeout(quota::ASK_TIMEOUT, rx).await;
        waiting.attempt = None;
        answer.ok().and_then(Result::ok)
    }

    /// Logs and counts a request that got no token of its team's quota; returns the response.
    pub(crate) fn refuse_for_quota(
        &self,
        request_id: &str,
        version: route::Version,
        team: &Team,
        why: Refusal,
    ) -> LocalReply {
        let (event, reply) = match why {
            Refusal::OverQuota { retry_after, .. } => {
                self.state.borrow_mut().counters.over_quota += 1;
                let retry_after = retry_after.max(MIN_RETRY_AFTER_OVER_QUOTA);
                ("over_quota", LocalReply::over_quota(retry_after))
            }
            Refusal::NoOwner => {
                let state = &mut *self.state.borrow_mut();
                state.counters.quota_unknown += 1;
                // At the start of a fleet another node is no better off.
                let retry_after = match readers::knows_peers(state, Instant::now()) {
                    true => RETRY_AFTER_NO_OWNER,
                    false => RETRY_AFTER_STARTING,
                };
                let text = "the team's quota is not known";
                ("quota_unknown", LocalReply::not_run(retry_after, text))
            }
        };
        if let Some(left_out) = self.quotas.next_line(Instant::now()) {
            let line = trace::Line::new(event)
                .field("request", request_id)
                .field("team", team.name.as_str())
                .field("config", version)
                .field("come_back_ms", reply.retry_after.map(as_ms))
                .field("left_out", left_out);
            match why {
                Refusal::OverQuota { denied_by: Some(owner), .. } => line.field("owner", owner),
                Refusal::OverQuota { denied_by: None, .. } => line.field("owner", "denied before"),
                Refusal::NoOwner => line,
            }
            .log();
        }
        reply
    }
}

/// Answers questions and receives answers until the socket is closed.
pub async fn run(socket: UdpSocket, node: Rc<Node>) {
    let socket = Rc::new(socket);
    // Fails only if the task is started twice; the first socket is then kept.
    let _ = node.quotas.socket.set(socket.clone());
    let mut buf = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        buf.clear();
        let (result, received) = socket.recv_from(buf).await;
        buf = received;
        let Ok((length, from)) = result else {
            // On some systems an ICMP "port unreachable" for an earlier send is reported here.
            monoio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        match Message::decode(&buf[..length.min(buf.len())]) {
            Ok(message) => receive(&node, from, message).await,
            Err(err) => trace::Line::new("quota_packet_refused")
                .field("peer", from)
                .field("error", err.to_string())
                .log(),
        }
    }
}

async fn receive(node: &Rc<Node>, from: SocketAddr, message: Message) {
    let issue = {
        let table = node.state.borrow().table.clone();
        let no_teams = Teams::default();
        let teams = table.as_ref().map_or(&no_teams, |table| &table.teams);
        node.quotas.core.borrow_mut().receive(from, message, teams, Instant::now())
    };
    match issue {
        Issue::Nothing => {}
        Issue::Reply(message) => send(node, from, &message).await,
        Issue::Answered(seq, answer) => {
            if let Some(waiter) = node.quotas.waiters.borrow_mut().remove(&seq) {
                // The request may have been dropped at this moment.
                let _ = waiter.send(answer);
            }
        }
    }
}

/// Sends a message. One that cannot be sent counts as lost.
async fn send(node: &Node, to: SocketAddr, message: &Message) {
    let (Some(socket), Some(bytes)) = (node.quotas.socket.get(), message.encode()) else { return };
    {
        let counters = &mut node.state.borrow_mut().counters;
        counters.quota_packets += 1;
        counters.quota_bytes += bytes.len() as u64;
    }
    let _ = socket.send_to(bytes, to).await;
}

/// Applies changes of the peers and of the configuration, and returns unused tokens.
pub fn housekeeping(node: &Rc<Node>, now: Instant) {
    let messages = {
        let state = node.state.borrow();
        let Some(table) = state.table.as_ref() else { return };
        if !table.teams.iter().any(|team| team.quota.is_some()) {
            return;
        }
        let mut core = node.quotas.core.borrow_mut();
        core.set_bounds(state.settings.quota_bounds);
        let phase = node.quotas.phase(&state, now);
        let has_new_peers = core.apply_peers(members(&state), phase, now);
        if has_new_peers || node.quotas.applied_version.get() != Some(table.version) {
            core.apply_teams(&table.teams, now);
            node.quotas.applied_version.set(Some(table.version));
        }
        core.tick(&table.teams, now)
    };
    if messages.is_empty() {
        return;
    }
    let node = node.clone();
    monoio::spawn(async move {
        for (to, message) in messages {
            send(&node, to, &message).await;
        }
    });
}

/// Returns true if the node was started beside others and has met none of them: it cannot tell
/// what it may grant.
fn is_isolated(state: &State) -> bool {
    state.peers.is_empty() && state.has_other_seeds()
}

/// Returns the addresses for quotas of the seeds. A node without a socket asks none.
fn seeds(settings: &Settings) -> impl Iterator<Item = SocketAddr> + '_ {
    let seeds = settings.seed_addrs.iter().filter(|_| settings.quota_addr.is_some());
    seeds.map(|addr| quota_addr_of(*addr))
}

/// Returns the address for quotas of the node with this peer address.
fn quota_addr_of(peer_addr: SocketAddr) -> SocketAddr {
    SocketAddr::new(peer_addr.ip(), peer_addr.port().wrapping_add(1))
}

/// Returns the nodes that may grant tokens. A node without a socket is in touch with none.
fn members(state: &State) -> impl Iterator<Item = Member> + Clone + '_ {
    let has_socket = state.settings.quota_addr.is_some();
    let peers = state.peers.iter().filter(|(_, peer)| peer.standing != wire::Standing::Left);
    peers.map(move |(addr, peer)| Member {
        addr: quota_addr_of(*addr),
        is_alive: has_socket && peer.standing <= wire::Standing::Suspect,
    })
}

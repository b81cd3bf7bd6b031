//! The decisions of one node about the requests that it receives and the questions of its peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::Rng;
use team::{Quota, Team, TeamName, Teams};

use crate::allowance::Held;
use crate::returning::ReturningNodes;
use crate::{
    shard_count, Allowance, Answer, Bounds, Ledger, Member, Message, Phase, Seq, Shard, Timeliness,
    View, TOKEN_LIFETIME,
};

/// Time after which a question counts as lost. A node with a tenth of a core may stand still for
/// nine tenths of its scheduling period of 0.1 s.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(80);

/// Time for which a node that did not respond is not asked again.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// Maximum number of nodes asked for one request, besides a seed.
const MAX_ASKS: usize = 3;

/// Maximum number of denials for one request: a second shard may have tokens left.
const MAX_DENIALS: usize = 2;

/// Number of questions in a row without any answer after which a node grants nothing: it may be cut
/// off one way, so that peers which it still hears have replaced it.
const MAX_UNANSWERED: u32 = 3;

/// Time for which a late answer is still accepted.
const MAX_ANSWER_AGE: Duration = TOKEN_LIFETIME;

/// Why a request gets no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The team has used up its quota.
    OverQuota {
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Owner that denied it a token; `None` if this node refused because of an earlier denial.
        denied_by: Option<SocketAddr>,
    },
    /// No node that decides on the team responded.
    NoOwner,
}

/// What is to be done next for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// It has a token.
    Granted(Held),
    /// It is refused.
    Refused(Refusal),
    /// A node must be asked, and its answer or the timeout be passed to [`Node::answered`] or
    /// [`Node::timed_out`].
    Ask(SocketAddr, Message),
}

/// A request for which nodes are asked.
#[derive(Clone, Debug)]
pub struct Attempt {
    team: TeamName,
    quota: Quota,
    first_shard: Shard,
    /// Candidates considered so far.
    position: Shard,
    asks: usize,
    denials: usize,
    /// Question in flight.
    seq: Option<Seq>,
    /// Longest time stated by a denial, and who denied.
    denied: Option<(Duration, SocketAddr)>,
}

/// A question whose answer may still come.
#[derive(Clone, Debug)]
struct Question {
    to: SocketAddr,
    team: TeamName,
    shard: Shard,
    asked_at: Instant,
    /// Whether the request still waits for the answer.
    is_awaited: bool,
}

/// What a message of a peer calls for.
#[derive(Clone, Debug, PartialEq)]
pub enum Issue {
    /// Nothing.
    Nothing,
    /// This message is to be sent back.
    Reply(Message),
    /// The request that asked this question has its answer.
    Answered(Seq, Answer),
}

/// Outcomes of the requests of one team since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that got a token.
    pub allowed: u64,
    /// Tokens returned by requests that did not run.
    pub returned: u64,
    /// Requests refused because the team has used up its quota.
    pub over_quota: u64,
    /// Requests refused because no owner responded.
    pub no_owner: u64,
}

/// The state of one node.
#[derive(Debug)]
pub struct Node {
    view: View,
    returning_nodes: ReturningNodes,
    ledger: Ledger,
    allowances: HashMap<TeamName, Allowance>,
    counts: HashMap<TeamName, Counts>,
    questions: HashMap<Seq, Question>,
    next_seq: Seq,
    /// Questions without an answer since the last answer of any node.
    unanswered: u32,
    /// Nodes that did not respond, with the time until which they are not asked.
    silent: HashMap<SocketAddr, Instant>,
    /// Tokens to be returned to the owners of their shards.
    returns: HashMap<(TeamName, Shard), u32>,
    rng: SmallRng,
}

impl Node {
    /// Creates the state of a node that holds nothing and knows nobody but the seeds.
    pub fn new(
        me: SocketAddr,
        seeds: impl IntoIterator<Item = SocketAddr>,
        bounds: Bounds,
        mut rng: SmallRng,
    ) -> Node {
        Node {
            view: View::at_start(me, seeds),
            returning_nodes: ReturningNodes::default(),
            ledger: Ledger::new(bounds),
            allowances: HashMap::new(),
            counts: HashMap::new(),
            questions: HashMap::new(),
            // An answer to a question from before a restart matches none of this process.
            next_seq: rng.random(),
            unanswered: 0,
            silent: HashMap::new(),
            returns: HashMap::new(),
            rng,
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.view = self.view.with_seeds(seeds);
    }

    /// Changes how far quotas may be exceeded.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.ledger.set_bounds(bounds);
    }

    /// Applies the known peers, and how well the node knows them; returns true if either changed. Then
    /// [`Node::apply_teams`] must follow.
    pub fn apply_peers(
        &mut self,
        peers: impl Iterator<Item = Member> + Clone,
        phase: Phase,
        now: Instant,
    ) -> bool {
        let has_changed = !self.view.is_of(peers.clone(), phase);
        if has_changed {
            let view = self.view.with_peers(peers, phase);
            self.returning_nodes.record(&self.view, &view, now);
            self.view = view;
        }
        self.view.set_returning(self.returning_nodes.count(now));
        has_changed
    }

    /// Begins to fill the buckets that the node owns of `teams`.
    pub fn apply_teams(&mut self, teams: &Teams, now: Instant) {
        let quotas = teams.iter().filter_map(|team| Some((&team.name, team.quota.as_ref()?)));
        self.ledger.apply_view(&self.view, quotas, now);
    }

    /// Decides on a request of `team`. While the team is over its quota, late requests get no tokens.
    pub fn begin(
        &mut self,
        team: &Team,
        quota: &Quota,
        timeliness: Timeliness,
        now: Instant,
    ) -> (Attempt, Step) {
        let rng = &mut self.rng;
        let allowance = self
            .allowances
            .entry(team.name.clone())
            .or_insert_with(|| Allowance::new(rng.random(), now));
        allowance.record_demand(now);
        let shards = shard_count(quota);
        let first_shard = allowance.next_shard % shards;
        let mut attempt = Attempt {
            team: team.name.clone(),
            quota: *quota,
            first_shard,
            position: 0,
            asks: 0,
            denials: 0,
            seq: None,
            denied: None,
        };
        let refused_as_late = match timeliness {
            Timeliness::Late => allowance.refuse_if_late(now, rng),
            Timeliness::InTime => None,
        };
        if refused_as_late.is_none() {
            if let Some(token) = allowance.take(now) {
                self.count(&attempt).allowed += 1;
                return (attempt, Step::Granted(token));
            }
        }
        if let Some(retry_after) = refused_as_late.or_else(|| allowance.refuse_if_denied(now, rng))
        {
            self.count(&attempt).over_quota += 1;
            let refusal = Refusal::OverQuota { retry_after, denied_by: None };
            return (attempt, Step::Refused(refusal));
        }
        allowance.next_shard = first_shard.wrapping_add(1);
        let step = self.advance(&mut attempt, now);
        (attempt, step)
    }

    /// Refuses a request before its body is received, if tokens of its team were denied a moment ago
    /// and this node holds none.
    pub fn refuse_if_denied(&mut self, team: &Team, now: Instant) -> Option<Refusal> {
        let allowance = self.allowances.get_mut(&team.name)?;
        if allowance.held(now).0 > 0 {
            return None;
        }
        let retry_after = allowance.refuse_if_denied(now, &mut self.rng)?;
        self.counts.entry(team.name.clone()).or_default().over_quota += 1;
        Some(Refusal::OverQuota { retry_after, denied_by: None })
    }

    /// Continues with the answer to the question of `attempt`.
    pub fn answered(&mut self, attempt: &mut Attempt, answer: Answer, now: Instant) -> Step {
        let question = attempt.seq.take().and_then(|seq| self.questions.remove(&seq));
        let Some(Question { to, shard, .. }) = question else {
            return self.advance(attempt, now);
        };
        match self.apply_answer(attempt, to, shard, answer, now) {
            Some(step) => step,
            None => self.advance(attempt, now),
        }
    }

    /// Continues after the question of `attempt` got no answer in time.
    pub fn timed_out(&mut self, attempt: &mut Attempt, now: Instant) -> Step {
        let question = attempt.seq.take().and_then(|seq| self.questions.get_mut(&seq));
        if let Some(question) = question {
            question.is_awaited = false;
            self.silent.insert(question.to, now + SILENT_TIME);
            self.unanswered = self.unanswered.saturating_add(1);
        }
        match self.take_held(attempt, now) {
            Some(step) => step,
            None => self.advance(attempt, now),
        }
    }

    /// Records that the request of `attempt` no longer waits: its caller has left.
    pub fn abandon(&mut self, attempt: &mut Attempt) {
        if let Some(question) = attempt.seq.take().and_then(|seq| self.questions.get_mut(&seq)) {
            question.is_awaited = false;
        }
    }

    /// Handles a message of a peer.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: Message,
        teams: &Teams,
        now: Instant,
    ) -> Issue {
        let (seq, answer) = match message {
            Message::Ask { seq, team, shard, wanted, refused } => {
                let answer = match teams.by_name(&team).map(|team| team.quota) {
                    None => Answer::NotOwner,
                    Some(None) => Answer::Grant(wanted.max(1)),
                    Some(Some(quota)) => self.grant((&team, &quota, shard), (wanted, refused), now),
                };
                return Issue::Reply(match answer {
                    Answer::Grant(tokens) => Message::Grant { seq, tokens },
                    Answer::Deny(wait) => {
                        let retry_after_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
                        Message::Deny { seq, retry_after_ms }
                    }
                    Answer::NotOwner => Message::NotOwner { seq },
                });
            }
            Message::Return { team, shard, tokens } => {
                if let Some(quota) = teams.by_name(&team).and_then(|team| team.quota) {
                    self.ledger.give_back(&self.view, (&team, &quota, shard), tokens, now);
                }
                return Issue::Nothing;
            }
            Message::Grant { seq, tokens } => (seq, Answer::Grant(tokens)),
            Message::Deny { seq, retry_after_ms } => {
                (seq, Answer::Deny(Duration::from_millis(retry_after_ms.into())))
            }
            Message::NotOwner { seq } => (seq, Answer::NotOwner),
        };
        let is_awaited = match self.questions.get(&seq) {
            Some(question) if question.to == from => question.is_awaited,
            Some(_) | None => return Issue::Nothing,
        };
        self.silent.remove(&from);
        self.unanswered = 0;
        match is_awaited {
            true => Issue::Answered(seq, answer),
            false => {
                self.apply_late_answer(seq, answer, now);
                Issue::Nothing
            }
        }
    }

    /// Answers a question of this node or of a peer.
    fn grant(
        &mut self,
        part: (&TeamName, &Quota, Shard),
        counts: (u32, u32),
        now: Instant,
    ) -> Answer {
        match self.unanswered >= MAX_UNANSWERED && self.view.has_peers_alive() {
            true => Answer::NotOwner,
            false => self.ledger.ask(&self.view, part, counts, now),
        }
    }

    /// Takes back the token of a request that certainly did not run.
    pub fn give_back(&mut self, team: &TeamName, token: Held, now: Instant) {
        self.counts.entry(team.clone()).or_default().returned += 1;
        let kept = self.allowances.get_mut(team).is_some_and(|a| a.give_back(token, now));
        if let (false, Some(shard)) = (kept, token.shard) {
            *self.returns.entry((team.clone(), shard)).or_default() += 1;
        }
    }

    /// Forgets what is outdated, and returns the messages that return tokens to their owners.
    pub fn tick(&mut self, teams: &Teams, now: Instant) -> Vec<(SocketAddr, Message)> {
        let age = |question: &Question| now.saturating_duration_since(question.asked_at);
        self.questions.retain(|_, question| question.is_awaited || age(question) < MAX_ANSWER_AGE);
        self.silent.retain(|_, until| *until > now);
        self.allowances.retain(|_, allowance| !allowance.is_idle(now));
        self.counts.retain(|team, _| teams.by_name(team).is_some());
        let mut messages = Vec::new();
        for ((team, shard), tokens) in std::mem::take(&mut self.returns) {
            let quota = teams.by_name(&team).and_then(|team| team.quota);
            match self.view.owners(&team, shard).0 {
                to if to != self.view.me() => {
                    messages.push((to, Message::Return { team, shard, tokens }));
                }
                _ => {
                    if let Some(quota) = quota {
                        self.ledger.give_back(&self.view, (&team, &quota, shard), tokens, now);
                    }
                }
            }
        }
        messages
    }

    /// Returns the outcomes of requests by team.
    pub fn counts(&self) -> impl Iterator<Item = (&TeamName, &Counts)> {
        self.counts.iter()
    }

    /// Returns what the node knows about each team that has sent requests recently.
    pub fn allowances(&self) -> impl Iterator<Item = (&TeamName, &Allowance)> {
        self.allowances.iter()
    }

    /// Returns the number of shards that the node owns.
    pub fn owned_count(&self) -> usize {
        self.ledger.owned_count(&self.view)
    }

    /// Asks the next candidate, or refuses the request if there is none.
    fn advance(&mut self, attempt: &mut Attempt, now: Instant) -> Step {
        while let Some((to, shard)) = self.next_candidate(attempt, now) {
            let allowance = self.allowances.get_mut(&attempt.team);
            let (wanted, refused) = match allowance {
                Some(allowance) => (allowance.wanted(), allowance.take_refused()),
                None => (1, 0),
            };
            if to == self.view.me() {
                let part = (&attempt.team, &attempt.quota, shard);
                let answer = self.grant(part, (wanted, refused), now);
                match self.apply_answer(attempt, to, shard, answer, now) {
                    Some(step) => return step,
                    None => continue,
                }
            }
            let seq = self.next_seq;
            self.next_seq = self.next_seq.wrapping_add(1);
            let team = attempt.team.clone();
            let question =
                Question { to, team: team.clone(), shard, asked_at: now, is_awaited: true };
            self.questions.insert(seq, question);
            attempt.seq = Some(seq);
            return Step::Ask(to, Message::Ask { seq, team, shard, wanted, refused });
        }
        let rng = &mut self.rng;
        let allowance = self.allowances.get_mut(&attempt.team);
        match (attempt.denied, allowance) {
            (Some((wait, denied_by)), Some(allowance)) => {
                allowance.deny(wait, now, rng);
                let retry_after = allowance.refuse(now, rng);
                self.count(attempt).over_quota += 1;
                let denied_by = Some(denied_by);
                Step::Refused(Refusal::OverQuota { retry_after, denied_by })
            }
            _ => {
                self.count(attempt).no_owner += 1;
                Step::Refused(Refusal::NoOwner)
            }
        }
    }

    /// Returns the next node to ask: the owners of the team's shards, then the successor of the
    /// first owner, and while this node starts, the seed that stands in for that owner. Nodes that
    /// are silent are left out.
    fn next_candidate(&self, attempt: &mut Attempt, now: Instant) -> Option<(SocketAddr, Shard)> {
        if attempt.denials >= MAX_DENIALS {
            return None;
        }
        let (team, first) = (&attempt.team, attempt.first_shard);
        let shards = shard_count(&attempt.quota);
        while attempt.position <= shards + 1 {
            let position = attempt.position;
            attempt.position += 1;
            let shard = (first + position) % shards;
            let is_denied = attempt.denials > 0;
            let (to, shard) = match position {
                _ if position < shards => (Some(self.view.owners(team, shard).0), shard),
                _ if is_denied => (None, first),
                _ if position == shards => (self.view.owners(team, first).1, first),
                _ if self.view.phase() == Phase::Starting => {
                    (self.view.seed_owner(team, first), first)
                }
                _ => (None, first),
            };
            let may_ask = attempt.asks < MAX_ASKS || position > shards;
            let is_silent = |to: &SocketAddr| self.silent.get(to).is_some_and(|at| *at > now);
            if let Some(to) = to.filter(|to| may_ask && !is_silent(to)) {
                attempt.asks += 1;
                return Some((to, shard));
            }
        }
        None
    }

    /// Applies an answer; returns `None` if the next candidate is to be asked.
    fn apply_answer(
        &mut self,
        attempt: &mut Attempt,
        from: SocketAddr,
        shard: Shard,
        answer: Answer,
        now: Instant,
    ) -> Option<Step> {
        match answer {
            Answer::Grant(tokens) => {
                if let Some(allowance) = self.allowances.get_mut(&attempt.team) {
                    allowance.grant(tokens, Some(shard), now);
                }
            }
            Answer::Deny(wait) => {
                attempt.denials += 1;
                let longest = attempt.denied.map_or(wait, |(longest, _)| longest.max(wait));
                attempt.denied = Some((longest, from));
            }
            Answer::NotOwner => {}
        }
        self.take_held(attempt, now)
    }

    fn apply_late_answer(&mut self, seq: Seq, answer: Answer, now: Instant) {
        let Some(question) = self.questions.remove(&seq) else { return };
        let age = now.saturating_duration_since(question.asked_at);
        let allowance = self.allowances.get_mut(&question.team);
        if let (Answer::Grant(tokens), Some(allowance)) = (answer, allowance) {
            if age < MAX_ANSWER_AGE {
                allowance.grant(tokens, Some(question.shard), now);
            }
        }
    }

    /// Takes a token that the node holds for a request.
    fn take_held(&mut self, attempt: &Attempt, now: Instant) -> Option<Step> {
        let token = self.allowances.get_mut(&attempt.team)?.take(now)?;
        self.count(attempt).allowed += 1;
        Some(Step::Granted(token))
    }

    fn count(&mut self, attempt: &Attempt) -> &mut Counts {
        self.counts.entry(attempt.team.clone()).or_default()
    }
}

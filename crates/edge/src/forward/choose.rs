//! The choice of an upstream for the next send of a request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use place::{Candidate, ConnectionPlan, Decision, Incarnation};
use rand::Rng;

use super::call::{Call, Choice, NoChoice};
use super::{Node, COME_BACK_NOT_READY};
use crate::{probe, start_of};

/// Upstreams asked for their load at once, and how often before one choice.
const ASK_AT_ONCE: usize = 3;
const ASK_ROUNDS: usize = 2;

/// Upstreams asked over a new connection, in the first round only.
const ASK_NEW: usize = 2;

/// Requests that a connection must be expected to carry for a question to be worth opening it beside
/// one in use. Where a node sends an upstream a request every nine seconds, a second connection is
/// closed before it is used again: 4,053 of the 9,270 connections of a quiet day of 312 nodes. Where it
/// sends several a second, reports would be missed without it.
const CARRIES_LEAST: f64 = 2.0;

/// How long a connection rests before it is closed: upstreams were seen to state ten seconds.
const RESTS_FOR: Duration = Duration::from_secs(9);

/// Connections that a node may have to an upstream however many nodes there are.
const CONNECTIONS_LEAST: u32 = 2;

/// Shortest time after which a caller comes back when no upstream may get its request.
const COME_BACK_LEAST: Duration = Duration::from_millis(50);

/// Part of that time by which it is longer at most, so that callers do not return at the same moment.
const COME_BACK_SPREAD: f64 = 0.25;

/// Whether a request may wait at the node for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Patience {
    /// It may: nothing is under way for it.
    Waits,
    /// It may not: it is under way already.
    None,
}

impl Node {
    /// Chooses the upstream for the next send, asking some for their load first where it helps, and
    /// waiting for room where the request can still be in time.
    pub(super) async fn choose(
        self: &Rc<Node>,
        call: &Call<'_>,
        tried: &[Incarnation],
        patience: Patience,
    ) -> Result<Choice, NoChoice> {
        self.not_held_back(call)?;
        let mut ranked = self.ask_and_rank(call, tried, ASK_ROUNDS, ASK_NEW).await;
        let mut looks = 0;
        loop {
            let may_look = (patience == Patience::Waits).then_some(looks);
            // The word that holds it back may come while upstreams are asked, or while it waits.
            let verdict = self.not_held_back(call)?;
            // Its caller may have left meanwhile.
            if call.caller_left.get() {
                return Err(NoChoice::CallerLeft);
            }
            let mut best = ranked.first().ok_or_else(|| self.no_upstream(call))?;
            if verdict == quarantine::Decision::Isolate {
                best = self.apart(call, &ranked).unwrap_or(best);
            }
            match self.judge(call, best, may_look) {
                Decision::Send => {
                    return self.choice(call, best).ok_or_else(|| self.no_upstream(call));
                }
                Decision::Refuse { retry_after } => {
                    return Err(self.refusal(call, best, retry_after))
                }
                Decision::Wait(pause) => monoio::time::sleep(pause).await,
            }
            looks += 1;
            ranked = self.ask_and_rank(call, tried, 1, 0).await;
        }
    }

    /// Ranks the upstreams, after up to `rounds` of questions; in the first of them up to `most_new`
    /// go over new connections.
    async fn ask_and_rank(
        self: &Rc<Node>,
        call: &Call<'_>,
        tried: &[Incarnation],
        rounds: usize,
        most_new: usize,
    ) -> Vec<Candidate> {
        let mut ranked = self.rank(call, tried);
        for round in 0..rounds {
            let upstreams = self.to_ask(call, &ranked, if round == 0 { most_new } else { 0 });
            if upstreams.is_empty() {
                break;
            }
            probe::ask(self, &call.service, upstreams, call.route.objective).await;
            ranked = self.rank(call, tried);
        }
        ranked
    }

    fn judge(&self, call: &Call<'_>, best: &Candidate, rechecks: Option<u32>) -> Decision {
        let room = place::AdmissionRequest {
            deadline_left: call.left(),
            objective_left: call.objective_left(),
            most_urgent: call.most_urgent,
            rechecks,
        };
        place::admit(best, room, &mut self.state.borrow_mut().rng)
    }

    /// Returns the choice of a candidate that was ranked just now.
    fn choice(&self, call: &Call<'_>, best: &Candidate) -> Option<Choice> {
        let state = &mut *self.state.borrow_mut();
        let pool = state.pools.get_mut(&call.service)?;
        pool.record_chosen(best);
        let upstream = pool.upstreams().get(best.index)?;
        let report = upstream.report(Instant::now());
        let at_its_best =
            |(load, _): (place::Load, _)| load.is_at_usual_speed() && load.has_free_slot();
        Some(Choice {
            upstream: upstream.incarnation.clone(),
            addr: upstream.addr,
            far: upstream.zone != state.settings.zone,
            predicted: best.prediction.latency,
            report_age: report.map(|(_, age)| age),
            unhindered: best.has_fresh_report
                && !best.prediction.nearly_full
                && report.is_some_and(at_its_best),
        })
    }

    fn refusal(&self, call: &Call<'_>, best: &Candidate, come_back: Duration) -> NoChoice {
        let state = self.state.borrow();
        let pool = state.pools.get(&call.service);
        let Some(upstream) = pool.and_then(|pool| pool.upstreams().get(best.index)) else {
            drop(state);
            return self.no_upstream(call);
        };
        NoChoice::Refused {
            come_back,
            best: upstream.incarnation.clone(),
            predicted: best.prediction.latency,
            wait: best.prediction.queue_time,
            report_age: upstream.report(Instant::now()).map(|(_, age)| age),
        }
    }

    /// Tells a request that no upstream may get when to come back: when the first one may get a request
    /// again, if that is known.
    fn no_upstream(&self, call: &Call<'_>) -> NoChoice {
        let state = &mut *self.state.borrow_mut();
        let now = Instant::now();
        let pool = state.pools.get(&call.service);
        let homes = state.settings.allowed_zones(&call.route.allowed_regions);
        let may_serve = |u: &&place::Upstream| {
            let is_home = homes.as_ref().is_none_or(|homes| homes.contains(&u.zone));
            is_home && !state.evacuations.is_evacuated(&u.zone)
        };
        let upstreams = pool.into_iter().flat_map(|pool| pool.upstreams()).filter(may_serve);
        let starts = upstreams.map(|u| start_of(&u.incarnation));
        let come_back =
            state.backpressure.retry_after(starts, now).map_or(COME_BACK_NOT_READY, |left| {
                let spread = 1.0 + COME_BACK_SPREAD * state.rng.random::<f64>();
                left.mul_f64(spread).clamp(COME_BACK_LEAST, notice::MAX_RETRY_AFTER)
            });
        NoChoice::NoUpstream { come_back }
    }

    fn rank(&self, call: &Call<'_>, tried: &[Incarnation]) -> Vec<Candidate> {
        let state = &mut *self.state.borrow_mut();
        let now = Instant::now();
        state.deal_limits(now);
        let Some(pool) = state.pools.get(&call.service) else { return Vec::new() };
        let homes = state.settings.allowed_zones(&call.route.allowed_regions);
        let ask = place::SelectionCriteria {
            policy: state.settings.policy,
            work: state.work_estimates.work(&call.route.name, call.route.objective),
            objective_left: call.objective_left(),
            zone: &state.settings.zone,
            cross_zone_cost: state.settings.cross_zone_cost_per_kib
                * state.work_estimates.size_kib(&call.route.name),
            allowed_zones: homes.as_ref(),
            warm_up: state.warm_up(&call.service, now),
            tried,
            repeatable: call.repeatable(),
        };
        // Upstreams reset connections beyond those that they take from all nodes together; what was
        // sent on one may have run.
        let service = state.table.as_ref().and_then(|table| table.services.get(&call.service));
        let most = service.map_or(u32::MAX, |service| service.max_connections);
        let share = (most / state.fleet_size() as u32).max(CONNECTIONS_LEAST);
        let carries = state.first_sends_per_s(&call.service, now) * RESTS_FOR.as_secs_f64()
            / pool.compared_count() as f64;
        let notices = &state.backpressure;
        let may_send = |upstream: &Incarnation| {
            notices.is_empty() || notices.may_send(start_of(upstream), now)
        };
        let reach = |upstream: &Incarnation| match self.conns.open_count(upstream) {
            _ if !may_send(upstream) => ConnectionPlan::Unavailable,
            0 => ConnectionPlan::Open,
            _ if self.conns.has(upstream) => ConnectionPlan::Reuse,
            open if open < share && carries >= CARRIES_LEAST => ConnectionPlan::Open,
            open if open < share => ConnectionPlan::OpenAdditional,
            _ => ConnectionPlan::Unavailable,
        };
        pool.rank(ask, reach, now, &mut state.rng)
    }

    /// Returns the upstreams to ask for their load, within the budget of probes.
    fn to_ask(&self, call: &Call<'_>, ranked: &[Candidate], most_new: usize) -> Vec<Incarnation> {
        let upstreams: Vec<Incarnation> = {
            let state = self.state.borrow();
            match state.pools.get(&call.service) {
                Some(pool)
                    if pool.reports_load() != Some(false)
                        && state.settings.policy == place::Policy::Reports =>
                {
                    pool.probe_targets(ranked, ASK_AT_ONCE, most_new)
                        .into_iter()
                        .map(|index| pool.upstreams()[index].incarnation.clone())
                        .collect()
                }
                _ => Vec::new(),
            }
        };
        let taken = self.take_probes(&call.service, upstreams.len());
        upstreams.into_iter().take(taken).collect()
    }
}

//! The choice of an upstream for the next send of a request.

use std::rc::Rc;
use std::time::Instant;

use place::{Candidate, Incarnation, Reach, Verdict};

use super::call::{Call, Choice, NoChoice};
use super::send::NOT_SLOWED;
use super::Node;
use crate::probe;

/// Upstreams asked for their load at once, and how often before one choice.
const ASK_AT_ONCE: usize = 3;
const ASK_ROUNDS: usize = 2;

/// Upstreams asked over a new connection, in the first round only.
const ASK_NEW: usize = 1;

/// Connections that a node may have to an upstream however many nodes there are.
const CONNECTIONS_LEAST: u32 = 2;

impl Node {
    /// Chooses the upstream for the next send, asking some for their load first where it helps.
    pub(super) async fn choose(
        self: &Rc<Node>,
        call: &Call<'_>,
        tried: &[Incarnation],
    ) -> Result<Choice, NoChoice> {
        let mut ranked = self.rank(call, tried);
        for round in 0..ASK_ROUNDS {
            let most_new = if round == 0 { ASK_NEW } else { 0 };
            let ids = self.to_ask(call, &ranked, most_new);
            if ids.is_empty() {
                break;
            }
            probe::ask(self, &call.service, ids, call.route.objective).await;
            ranked = self.rank(call, tried);
        }
        let state = &mut *self.state.borrow_mut();
        let Some(pool) = state.pools.get(&call.service) else { return Err(NoChoice::NoUpstream) };
        let Some(best) = ranked.first() else { return Err(NoChoice::NoUpstream) };
        let room = place::Room {
            deadline_left: call.left(),
            objective_left: call.objective_left(),
            most_urgent: call.most_urgent,
        };
        if let Verdict::Refuse { come_back } = place::admit(best, room, &mut state.rng) {
            let upstream = &pool.upstreams()[best.index];
            return Err(NoChoice::Refused {
                come_back,
                best: upstream.incarnation.clone(),
                predicted: best.prediction.took,
                wait: best.prediction.wait,
                report_age: upstream.report(Instant::now()).map(|(_, age)| age),
            });
        }
        let upstream = &pool.upstreams()[best.index];
        let report_age = upstream.report(Instant::now()).map(|(_, age)| age);
        let unhindered = best.fresh
            && upstream
                .report(Instant::now())
                .is_some_and(|(load, _)| load.slowness <= NOT_SLOWED && load.has_room());
        let (upstream, addr) = (upstream.incarnation.clone(), upstream.addr);
        Ok(Choice { upstream, addr, predicted: best.prediction.took, report_age, unhindered })
    }

    fn rank(&self, call: &Call<'_>, tried: &[Incarnation]) -> Vec<Candidate> {
        let state = &mut *self.state.borrow_mut();
        let Some(pool) = state.pools.get(&call.service) else { return Vec::new() };
        let ask = place::Ask {
            policy: state.settings.policy,
            work: state.works.of(&call.route.name, call.route.objective),
            objective_left: call.objective_left(),
            zone: &state.settings.zone,
            tried,
            repeatable: call.repeatable(),
        };
        // Upstreams reset connections beyond those that they take from all nodes together; what was
        // sent on one may have run.
        let service = state.table.as_ref().and_then(|table| table.services.get(&call.service));
        let most = service.map_or(u32::MAX, |service| service.max_connections);
        let share = (most / state.fleet_size() as u32).max(CONNECTIONS_LEAST);
        let reach = |upstream: &Incarnation| match () {
            () if self.conns.has(upstream) => Reach::Kept,
            () if self.conns.open_count(upstream) < share => Reach::New,
            () => Reach::Not,
        };
        pool.rank(ask, reach, Instant::now(), &mut state.rng)
    }

    /// Returns the upstreams to ask for their load, within the budget of probes.
    fn to_ask(&self, call: &Call<'_>, ranked: &[Candidate], most_new: usize) -> Vec<Incarnation> {
        let ids: Vec<Incarnation> = {
            let state = self.state.borrow();
            match state.pools.get(&call.service) {
                Some(pool)
                    if pool.reports() != Some(false)
                        && state.settings.policy == place::Policy::Reports =>
                {
                    pool.to_ask(ranked, ASK_AT_ONCE, most_new)
                        .into_iter()
                        .map(|index| pool.upstreams()[index].incarnation.clone())
                        .collect()
                }
                _ => Vec::new(),
            }
        };
        let taken = self.take_probes(&call.service, ids.len());
        ids.into_iter().take(taken).collect()
    }
}

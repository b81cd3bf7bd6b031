//! Which team a request belongs to, and the responses to callers without a valid key.

use std::rc::Rc;
use std::time::Instant;

use http::StatusCode;
use route::{Route, Table};
use team::{Caller, Team, Unauthorized};
use web::h1;

use super::{request_id_of, Node, RETRY_AFTER_NOT_READY};
use crate::follow::Topic;
use crate::reply::LocalReply;

impl Node {
    /// Checks the key of a request whose body has not been received yet, and whether its team is over
    /// its quota. [`Node::forward`] checks both again, since they may change meanwhile.
    ///
    /// Requests without a route, and those that come before the first configuration, are left to
    /// [`Node::forward`].
    ///
    /// # Errors
    ///
    /// Returns the response to a caller without a valid key, or whose team is over its quota.
    pub fn check_caller(&self, head: &h1::RequestHead) -> Result<(), LocalReply> {
        let Some(table) = self.state.borrow().table.clone() else { return Ok(()) };
        let Some(route) = table.find(&head.host, head.path()) else { return Ok(()) };
        let checked = match self.identify(head, &table, route) {
            Ok(Some(team)) if team.quota.is_some() => self.check_quota(head, &table, &team),
            Ok(_) => Ok(()),
            Err(local_reply) => Err(local_reply),
        };
        if checked.is_err() {
            self.state.borrow_mut().counters.requests += 1;
        }
        checked
    }

    fn check_quota(
        &self,
        head: &h1::RequestHead,
        table: &Table,
        team: &Team,
    ) -> Result<(), LocalReply> {
        let refusal = self.quotas.refuse_if_denied(team, Instant::now());
        let Some(why) = refusal else { return Ok(()) };
        let names = self.state.borrow().settings.headers.clone();
        Err(self.refuse_for_quota(request_id_of(head, &names), table.version, team, why))
    }

    /// Returns the team that a request belongs to; `None` if its route needs no key and it has none.
    ///
    /// # Errors
    ///
    /// Returns the response to a caller without a valid key.
    pub(super) fn identify(
        &self,
        head: &h1::RequestHead,
        table: &Table,
        route: &Route,
    ) -> Result<Option<Rc<Team>>, LocalReply> {
        match team::identify(&table.teams, &route.name, &head.headers) {
            Ok(Caller::Team(team, _)) => Ok(Some(team)),
            Ok(Caller::Anonymous) => Ok(None),
            Err(why) => Err(self.reject_unauthorized(head, table, route, why)),
        }
    }

    /// Returns the response to a caller without a valid key. A node whose configuration may be
    /// outdated cannot tell an unknown key from a new one.
    fn reject_unauthorized(
        &self,
        head: &h1::RequestHead,
        table: &Table,
        route: &Route,
        why: Unauthorized,
    ) -> LocalReply {
        let state = &mut *self.state.borrow_mut();
        let is_fresh = state.is_fresh(Topic::Config, Instant::now());
        let is_current = is_fresh && !state.is_behind(Topic::Config);
        let counters = &mut state.counters;
        let (event, counter, local_reply) = match why {
            Unauthorized::Unknown(_) if !is_current => (
                "refused",
                &mut counters.refused_unknown_key,
                LocalReply::not_run(RETRY_AFTER_NOT_READY, "the configuration may be outdated"),
            ),
            Unauthorized::Unknown(_) => {
                ("unauthorized", &mut counters.unauthorized_unknown_key, unauthorized())
            }
            Unauthorized::Missing => {
                ("unauthorized", &mut counters.unauthorized_no_key, unauthorized())
            }
            Unauthorized::Malformed => {
                ("unauthorized", &mut counters.unauthorized_malformed_key, unauthorized())
            }
        };
        *counter += 1;
        let line = trace::Line::new(event)
            .field("request", request_id_of(head, &state.settings.headers))
            .field("reason", why.reason())
            .field("route", route.name.as_str())
            .field("config", table.version);
        match why {
            Unauthorized::Unknown(key) => line.field("key", key.to_string()).log(),
            Unauthorized::Missing | Unauthorized::Malformed => line.log(),
        }
        local_reply
    }
}

fn unauthorized() -> LocalReply {
    LocalReply::failed(StatusCode::UNAUTHORIZED, "a valid key is required")
}

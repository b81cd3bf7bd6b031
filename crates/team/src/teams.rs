//! The teams of a configuration.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::KeyDigest;

/// Name of a team.
pub type TeamName = SmolStr;

/// What a team may send to all entry nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests that may come at once after a pause, at least 1.
    pub burst: f64,
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name, which upstreams are told.
    pub name: TeamName,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Priority among teams; 0 is the most urgent.
    pub priority: u32,
    /// Its quota; `None` if it may send any number of requests.
    pub quota: Option<Quota>,
}

impl Team {
    /// Returns the team as one line of text for records and diffs; keys are shown by fingerprint.
    fn to_text(&self) -> String {
        let quota = self
            .quota
            .map(|quota| format!(" rate_per_s={} burst={}", quota.rate_per_s, quota.burst));
        let mut keys: Vec<String> = self.keys.iter().map(KeyDigest::to_string).collect();
        keys.sort();
        format!(
            "team {} priority={}{} keys={}",
            self.name,
            self.priority,
            quota.unwrap_or_default(),
            keys.join(",")
        )
    }
}

/// Maximum length of a team's name, in bytes: it is sent in a header and in datagrams.
pub const MAX_NAME_BYTES: usize = 200;

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.trim() == name
        && !name.chars().any(char::is_control)
}

quick_error! {
    /// Why teams cannot be put into force together.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TeamError {
        /// Two teams have the same key.
        SharedKey(first: TeamName, second: TeamName, fingerprint: String) {
            display("teams {} and {} share the key {}", first, second, fingerprint)
        }
        /// A name cannot be told to upstreams.
        Name(name: String) {
            display("{:?} is no name of a team: 1 to {} bytes without control characters, and \
                     without blanks at its ends", name, MAX_NAME_BYTES)
        }
        /// Two teams have the same name.
        SharedName(name: TeamName) {
            display("two teams are named {}", name)
        }
    }
}

/// The teams of a configuration, by key; empty if callers need no key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "TeamList", into = "TeamList")]
pub struct Teams {
    /// In the order of their names.
    teams: Vec<Rc<Team>>,
    /// Indices into `teams`.
    by_key: HashMap<KeyDigest, usize>,
    /// The most urgent priority of any team.
    most_urgent: u32,
    /// Names of routes whose callers need no key.
    open_routes: BTreeSet<SmolStr>,
}

impl Teams {
    /// Creates the teams of a configuration. Callers of `open_routes` need no key.
    ///
    /// # Errors
    ///
    /// Returns a [`TeamError`] if two teams share a key or a name: it could not be told whose
    /// request it is; or if a name cannot be told to upstreams.
    pub fn new(
        mut teams: Vec<Team>,
        open_routes: impl IntoIterator<Item = SmolStr>,
    ) -> Result<Teams, TeamError> {
        if let Some(team) = teams.iter().find(|team| !is_valid_name(&team.name)) {
            let name = team.name.chars().take(MAX_NAME_BYTES).collect();
            return Err(TeamError::Name(name));
        }
        teams.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = teams.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(TeamError::SharedName(pair[0].name.clone()));
        }
        let mut by_key: HashMap<KeyDigest, usize> = HashMap::new();
        for (index, team) in teams.iter().enumerate() {
            for key in &team.keys {
                match by_key.insert(*key, index) {
                    Some(other) if other != index => {
                        let first = teams[other].name.clone();
                        let fingerprint = key.to_string();
                        return Err(TeamError::SharedKey(first, team.name.clone(), fingerprint));
                    }
                    _ => {}
                }
            }
        }
        let most_urgent = teams.iter().map(|team| team.priority).min().unwrap_or_default();
        let open_routes = open_routes.into_iter().collect();
        let teams = teams.into_iter().map(Rc::new).collect();
        Ok(Teams { teams, by_key, most_urgent, open_routes })
    }

    /// Returns true if no team is configured: callers need no key then.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns the team that has a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Rc<Team>> {
        self.by_key.get(key).map(|index| &self.teams[*index])
    }

    /// Returns the team of this name.
    pub fn by_name(&self, name: &str) -> Option<&Rc<Team>> {
        let index = self.teams.binary_search_by(|team| team.name.as_str().cmp(name)).ok()?;
        Some(&self.teams[index])
    }

    /// Returns true if callers of a route need no key.
    pub fn is_open(&self, route: &str) -> bool {
        self.is_empty() || self.open_routes.contains(route)
    }

    /// Returns the names of the routes whose callers need no key.
    pub fn open_routes(&self) -> impl Iterator<Item = &SmolStr> {
        self.open_routes.iter()
    }

    /// Returns true if no team is more urgent than `team`.
    pub fn is_most_urgent(&self, team: &Team) -> bool {
        team.priority <= self.most_urgent
    }

    /// Returns the number of keys of all teams.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns one line of text for each team, and one for each route whose callers need no key.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        let open_routes = self.open_routes.iter().map(|route| format!("open_route {route}"));
        let teams = self.teams.iter().map(|team| team.to_text());
        teams.chain(open_routes.filter(|_| !self.is_empty()))
    }

    /// Returns the teams in the order of their names.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Rc<Team>> {
        self.teams.iter()
    }
}

/// The serialized form of [`Teams`].
#[derive(Serialize, Deserialize)]
struct TeamList {
    teams: Vec<Team>,
    open_routes: Vec<SmolStr>,
}

impl TryFrom<TeamList> for Teams {
    type Error = TeamError;

    fn try_from(list: TeamList) -> Result<Teams, TeamError> {
        Teams::new(list.teams, list.open_routes)
    }
}

impl From<Teams> for TeamList {
    fn from(teams: Teams) -> TeamList {
        TeamList {
            teams: teams.iter().map(|team| Team::clone(team)).collect(),
            open_routes: teams.open_routes.into_iter().collect(),
        }
    }
}

impl PartialEq for Teams {
    fn eq(&self, other: &Teams) -> bool {
        self.teams == other.teams && self.open_routes == other.open_routes
    }
}

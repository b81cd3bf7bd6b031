//! Keys, priority and quota of a team.

use team::{DigestText, KeyDigest, Quota, Team, TeamError, Teams};

use crate::findings::Findings;
use crate::yaml::{self, Fields};

/// Maximum priority of a team; 0 is the most urgent.
const MAX_PRIORITY: u64 = 1_000;

/// Maximum rate and burst of a team: above what all entry nodes together can serve.
const MAX_RATE: f64 = 1e7;

/// What a template states about the callers of a team.
pub(super) struct Access {
    team: Team,
    /// Whether it lists keys, if only an empty list.
    lists_keys: bool,
}

/// Reads the keys, the priority and the quota of a team; `None` if any of them is invalid.
pub(super) fn read(name: &str, fields: &mut Fields<'_>, findings: &mut Findings) -> Option<Access> {
    let lists_keys = fields.raw("keys").is_some();
    let texts = fields.strings("keys", findings);
    let priority = fields.uint("priority", 0..=MAX_PRIORITY, findings);
    let rate_per_s = fields.float("rate_per_s", 0.0..=MAX_RATE, findings);
    let burst = fields.float("burst", 1.0..=MAX_RATE, findings);
    let keys = digests(&texts?.unwrap_or_default(), fields.path(), findings);
    let rate_per_s = rate_per_s?.filter(|rate_per_s| *rate_per_s > 0.0);
    let burst = burst?;
    if burst.is_some() && rate_per_s.is_none() {
        let path = yaml::join(fields.path(), "burst");
        findings.error(&path, "needs rate_per_s: without it, a team has no quota");
    }
    let priority = u32::try_from(priority?.unwrap_or_default()).ok()?;
    // Without a stated burst, a team may send one second's requests at once.
    let quota = rate_per_s
        .map(|rate_per_s| Quota { rate_per_s, burst: burst.unwrap_or(rate_per_s.max(1.0)) });
    Some(Access { team: Team { name: name.into(), keys: keys?, priority, quota }, lists_keys })
}

/// Parses the digests at `path`; `None` if any of them is invalid.
fn digests(
    texts: &[smol_str::SmolStr],
    path: &str,
    findings: &mut Findings,
) -> Option<Vec<KeyDigest>> {
    let mut keys = Some(Vec::with_capacity(texts.len()));
    for (index, text) in texts.iter().enumerate() {
        match text.parse::<DigestText>() {
            Ok(digest) => keys.iter_mut().for_each(|keys| keys.push(digest.0)),
            Err(err) => {
                keys = None;
                findings.error(&format!("{path}.keys[{index}]"), err);
            }
        }
    }
    keys
}

/// Combines the teams of a template. They are empty if no team lists keys.
///
/// An empty list counts: if the service needed no keys any more once the last one is revoked, a
/// revocation would let everybody in.
pub(super) fn combine(teams: Vec<Access>, findings: &mut Findings) -> Teams {
    if !teams.iter().any(|access| access.lists_keys) {
        for Access { team, .. } in teams.iter().filter(|access| access.team.quota.is_some()) {
            let path = format!("teams.{}.rate_per_s", team.name);
            findings.error(&path, "needs keys: callers without a key can name any team");
        }
        return Teams::default();
    }
    let teams = teams.into_iter().map(|access| access.team).collect();
    match Teams::new(teams, []) {
        Ok(teams) => teams,
        Err(err) => {
            let name = match &err {
                TeamError::SharedKey(_, name, _) | TeamError::SharedName(name) => name.as_str(),
                TeamError::Name(name) => name.as_str(),
            };
            findings.error(&format!("teams.{name}.keys"), err.to_string());
            Teams::default()
        }
    }
}

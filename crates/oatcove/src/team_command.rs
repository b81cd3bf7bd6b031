//! `oatcove team`: shows the teams of services and changes their keys and quotas.

use std::net::SocketAddr;

use base64::Engine;
use bpaf::Bpaf;
use oatcove::apply::{self, Applied, EditTeamError};
use serde_json::json;
use smol_str::SmolStr;
use team::{KeyDigest, Quota, Team};

use crate::exit;

/// Random bytes of a key: too many to be guessed.
const KEY_BYTES: usize = 24;

/// Shows teams and changes their keys and quotas.
#[derive(Bpaf, Debug)]
pub(crate) enum TeamCommand {
    /// Lists the teams of all services
    #[bpaf(command("list"))]
    List {
        /// Platform address, ip:port
        #[bpaf(long("platform"), argument("ADDR"), fallback("127.0.0.1:7000".parse().unwrap()))]
        platform: SocketAddr,
        /// Print one JSON object per line
        #[bpaf(long("json"), switch)]
        json: bool,
    },
    /// Shows one team, its keys as fingerprints
    #[bpaf(command("show"))]
    Show {
        /// Platform address, ip:port
        #[bpaf(long("platform"), argument("ADDR"), fallback("127.0.0.1:7000".parse().unwrap()))]
        platform: SocketAddr,
        /// Print one JSON object per line
        #[bpaf(long("json"), switch)]
        json: bool,
        /// Service
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// Team
        #[bpaf(positional("TEAM"))]
        team: String,
    },
    /// Adds and revokes keys
    #[bpaf(command("key"))]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Sets the quota of a team, over all entry nodes
    #[bpaf(command("quota"))]
    Quota {
        #[bpaf(external(change))]
        change: Change,
        /// Requests per second
        #[bpaf(long("rate-per-s"), argument("N"))]
        rate_per_s: f64,
        /// Requests that may come at once after a pause; as many as come in a second by default
        #[bpaf(long("burst"), argument("N"), optional)]
        burst: Option<f64>,
        #[bpaf(external(target))]
        target: Target,
    },
}

/// Adds and revokes keys.
#[derive(Bpaf, Debug)]
pub(crate) enum KeyCommand {
    /// Creates a key and prints it; it is not stored and cannot be shown again
    #[bpaf(command("add"))]
    Add {
        #[bpaf(external(change))]
        change: Change,
        #[bpaf(external(target))]
        target: Target,
    },
    /// Revokes the key with a fingerprint
    #[bpaf(command("revoke"))]
    Revoke {
        #[bpaf(external(change))]
        change: Change,
        #[bpaf(external(target))]
        target: Target,
        /// Fingerprint, as `oatcove team show` prints it
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: String,
    },
}

/// Where a change is written, and by whom.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Change {
    /// Platform address, ip:port
    #[bpaf(long("platform"), argument("ADDR"), fallback("127.0.0.1:7000".parse().unwrap()))]
    platform: SocketAddr,
    /// Name recorded as the author of the change
    #[bpaf(
        long("actor"),
        argument("NAME"),
        fallback(std::env::var("USER").unwrap_or_else(|_| "unknown".into()))
    )]
    actor: String,
    /// Print one JSON object
    #[bpaf(long("json"), switch)]
    json: bool,
}

/// The team that is changed.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Target {
    /// Service
    #[bpaf(positional("SERVICE"))]
    service: String,
    /// Team
    #[bpaf(positional("TEAM"))]
    team: String,
}

/// Runs a command; returns its exit code.
pub(crate) async fn run(command: TeamCommand) -> i32 {
    match command {
        TeamCommand::List { platform, json } => show(platform, json, |_, _| true).await,
        TeamCommand::Show { platform, json, service, team } => {
            let is_wanted = |s: &str, t: &str| s == service && t == team;
            show(platform, json, is_wanted).await
        }
        TeamCommand::Key(KeyCommand::Add { change, target }) => {
            let key = new_key();
            let edit = config::TeamEdit::AddKey(KeyDigest::of(key.as_bytes()));
            edit_team(change, target, &edit, Some(&key)).await
        }
        TeamCommand::Key(KeyCommand::Revoke { change, target, fingerprint }) => {
            let edit = config::TeamEdit::RevokeKey(fingerprint.to_ascii_lowercase());
            edit_team(change, target, &edit, None).await
        }
        TeamCommand::Quota { change, rate_per_s, burst, target } => {
            let burst = burst.unwrap_or(rate_per_s.max(1.0));
            if !(rate_per_s.is_finite() && rate_per_s > 0.0 && burst.is_finite() && burst >= 1.0) {
                eprintln!("error: the rate must be above 0 and the burst at least 1");
                return exit::INVALID;
            }
            let edit = config::TeamEdit::SetQuota(Quota { rate_per_s, burst });
            edit_team(change, target, &edit, None).await
        }
    }
}

fn new_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(bytes)
}

async fn edit_team(
    change: Change,
    target: Target,
    edit: &config::TeamEdit,
    new_key: Option<&str>,
) -> i32 {
    let Change { platform, actor, json } = change;
    let Target { service, team } = target;
    let store = store::Store::new(platform);
    let service = SmolStr::from(service);
    let result = apply::edit_team(&store, &service, &team, edit, &actor, Default::default()).await;
    let (is_written, version, change_id) = match result {
        Ok(Applied::Written { version, change_id }) => (true, version, Some(change_id)),
        Ok(Applied::Unchanged { version }) => (false, version, None),
        Err(err) => {
            eprintln!("error: {err}");
            // The change may be in force: its key would otherwise be lost.
            if let (EditTeamError::Apply(apply::ApplyError::Unknown(_)), Some(key)) =
                (&err, new_key)
            {
                println!("{key}");
            }
            return match err {
                EditTeamError::Apply(err) => crate::apply_exit_code(&err),
                EditTeamError::UnknownService(_) | EditTeamError::Edit(_) => exit::INVALID,
            };
        }
    };
    let word = if is_written { "applied" } else { "unchanged" };
    match (json, new_key) {
        (true, key) => println!(
            "{}",
            json!({"result": word, "version": version, "change_id": change_id, "key": key})
        ),
        (false, None) => println!("{word}: {service} {team} at version {version}"),
        (false, Some(key)) => {
            eprintln!("{word}: {service} {team} at version {version}; the key, shown only now:");
            println!("{key}");
        }
    }
    0
}

async fn show(platform: SocketAddr, json: bool, is_wanted: impl Fn(&str, &str) -> bool) -> i32 {
    let rows = match store::Store::new(platform).since(store::TEMPLATES, 0).await {
        Ok(rows) => rows.rows,
        Err(err) => {
            eprintln!("error: {err}");
            return exit::UNAVAILABLE;
        }
    };
    let mut found = false;
    for row in rows {
        let template = match config::Template::parse(&row.value) {
            Ok(template) => template,
            Err(findings) => {
                eprintln!("warning: the template of {} is invalid: {findings}", row.key);
                continue;
            }
        };
        for name in template.teams.keys().filter(|name| is_wanted(&row.key, name)) {
            found = true;
            let team = template.access.by_name(name).map(|team| Team::clone(team));
            println!("{}", describe(&row.key, name, team, json));
        }
    }
    match found {
        true => 0,
        false => {
            eprintln!("no such team");
            exit::INVALID
        }
    }
}

/// Returns a line about a team; `team` is `None` if no team of the service has a key.
fn describe(service: &str, name: &str, team: Option<Team>, json: bool) -> String {
    let keys = team.iter().flat_map(|team| &team.keys).map(KeyDigest::to_string);
    let keys: Vec<String> = keys.collect();
    let priority = team.as_ref().map_or(0, |team| team.priority);
    let quota = team.and_then(|team| team.quota);
    match json {
        true => json!({
            "service": service,
            "team": name,
            "keys": keys,
            "priority": priority,
            "rate_per_s": quota.map(|quota| quota.rate_per_s),
            "burst": quota.map(|quota| quota.burst),
        })
        .to_string(),
        false => {
            let quota = quota.map_or("no quota".to_owned(), |quota| {
                format!("{}/s, burst {}", quota.rate_per_s, quota.burst)
            });
            let keys = if keys.is_empty() { "none".to_owned() } else { keys.join(" ") };
            format!("{service} {name} priority {priority}, {quota}, keys {keys}")
        }
    }
}

//! `oatcove`: the operator command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Checks and applies templates, reads the audit trail, shows entry node status.
#[derive(Bpaf, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Checks a template file and prints every finding
    #[bpaf(command("check"))]
    Check {
        /// Template file (YAML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks a template file and writes it to the platform as a new version
    #[bpaf(command("apply"))]
    Apply {
        /// Platform address, ip:port
        #[bpaf(long("platform"), argument("ADDR"), fallback("127.0.0.1:7000".parse().unwrap()))]
        platform: SocketAddr,
        /// Name recorded as the author of the change
        #[bpaf(long("actor"), argument("NAME"), fallback(std::env::var("USER").unwrap_or_else(|_| "unknown".into())))]
        actor: String,
        /// Template file (YAML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the audit trail of accepted changes, oldest first
    #[bpaf(command("audit"))]
    Audit {
        /// Platform address, ip:port
        #[bpaf(long("platform"), argument("ADDR"), fallback("127.0.0.1:7000".parse().unwrap()))]
        platform: SocketAddr,
        /// Only this service
        #[bpaf(long("service"), argument("NAME"), optional)]
        service: Option<String>,
    },
    /// Marks an upstream drained: no entry node sends it new calls
    #[bpaf(command("drain"))]
    Drain {
        /// Platform address, ip:port
        #[bpaf(long("platform"), argument("ADDR"), fallback("127.0.0.1:7000".parse().unwrap()))]
        platform: SocketAddr,
        /// Name recorded as the author of the change
        #[bpaf(long("actor"), argument("NAME"), fallback(std::env::var("USER").unwrap_or_else(|_| "unknown".into())))]
        actor: String,
        /// Wait until every entry node holds no call to it, then say it may stop
        #[bpaf(long("wait"), switch)]
        wait: bool,
        /// Upstream address, ip:port
        #[bpaf(positional("UPSTREAM"))]
        upstream: SocketAddr,
    },
    /// Prints an entry node's status as JSON
    #[bpaf(command("status"))]
    Status {
        /// Entry node address, ip:port
        #[bpaf(positional("ADDR"))]
        entry: SocketAddr,
    },
}

/// Exit codes, so scripts can tell outcomes apart.
mod exit {
    pub const INVALID: i32 = 2;
    pub const CONFLICT: i32 = 3;
    pub const UNAVAILABLE: i32 = 4;
    pub const UNKNOWN: i32 = 5;
}

fn main() {
    let command = command().run();
    let mut runtime = web::runtime();
    let code = runtime.block_on(run(command));
    std::process::exit(code);
}

async fn run(command: Command) -> i32 {
    match command {
        Command::Check { file } => match read(&file).map(|text| config::Template::parse(&text)) {
            Ok(Ok(template)) => {
                println!(
                    "ok: template for service {} with {} teams",
                    template.service,
                    template.teams.len()
                );
                0
            }
            Ok(Err(findings)) => {
                eprint!("{}:\n{findings}", file.display());
                exit::INVALID
            }
            Err(code) => code,
        },
        Command::Apply { platform, actor, file } => {
            let text = match read(&file) {
                Ok(text) => text,
                Err(code) => return code,
            };
            let store = platform::Store::new(platform);
            match oatcove::apply::apply(&store, &text, &actor, Default::default()).await {
                Ok(oatcove::apply::Applied::Written { version, change_id }) => {
                    println!("applied: version {version}, change {change_id}");
                    0
                }
                Ok(oatcove::apply::Applied::Unchanged { version }) => {
                    println!("unchanged: already in force at version {version}");
                    0
                }
                Err(err) => {
                    eprintln!("{}: {err}", file.display());
                    match err {
                        oatcove::apply::ApplyError::Invalid(_) => exit::INVALID,
                        oatcove::apply::ApplyError::Conflict(_) => exit::CONFLICT,
                        oatcove::apply::ApplyError::Unavailable(_) => exit::UNAVAILABLE,
                        oatcove::apply::ApplyError::Unknown(_) => exit::UNKNOWN,
                    }
                }
            }
        }
        Command::Audit { platform, service } => audit_log(platform, service.as_deref()).await,
        Command::Drain { platform, actor, wait, upstream } => {
            let store = platform::Store::new(platform);
            match oatcove::apply::drain(&store, upstream, &actor, Default::default()).await {
                Ok(oatcove::apply::Applied::Written { version, change_id }) => {
                    println!("drained: {upstream} at version {version}, change {change_id}");
                }
                Ok(oatcove::apply::Applied::Unchanged { version }) => {
                    println!("unchanged: {upstream} already drained at version {version}");
                }
                Err(err) => {
                    eprintln!("error: {err}");
                    return exit::UNAVAILABLE;
                }
            }
            match wait {
                true => wait_drained(&store, upstream).await,
                false => 0,
            }
        }
        Command::Status { entry } => status(entry).await,
    }
}

fn read(file: &PathBuf) -> Result<String, i32> {
    std::fs::read_to_string(file).map_err(|err| {
        eprintln!("error: {}: {err}", file.display());
        exit::INVALID
    })
}

async fn audit_log(addr: SocketAddr, service: Option<&str>) -> i32 {
    let store = platform::Store::new(addr);
    let rows = match store.since(platform::AUDIT, 0).await {
        Ok(rows) => rows.rows,
        Err(err) => {
            eprintln!("error: {err}");
            return exit::UNAVAILABLE;
        }
    };
    let mut records: Vec<(u64, audit::Record)> = Vec::new();
    for row in rows {
        match audit::Record::from_json(&row.value) {
            Ok(record) if service.is_none_or(|s| s == record.service) => {
                records.push((row.version, record))
            }
            Ok(_) => {}
            Err(err) => eprintln!("warning: audit row {} is unreadable: {err}", row.key),
        }
    }
    records.sort_by_key(|(version, _)| *version);
    for (version, r) in records {
        println!(
            "version {version} service {} change {} actor {} at_unix_ms {} before {}",
            r.service, r.change_id, r.actor, r.at_unix_ms, r.version_before
        );
        print!("{}", r.diff);
    }
    0
}

/// How long `drain --wait` waits for every entry node to let go of an upstream.
const DRAIN_WAIT: std::time::Duration = std::time::Duration::from_secs(60);

/// Waits until every live entry node reports `upstream` leaving with no call outstanding.
async fn wait_drained(store: &platform::Store, upstream: SocketAddr) -> i32 {
    let started = std::time::Instant::now();
    while started.elapsed() < DRAIN_WAIT {
        let entries: Vec<SocketAddr> = match store.vms().await {
            Ok(vms) => vms
                .into_iter()
                .filter(|vm| {
                    vm.role == platform::proto::VmRole::Entry
                        && vm.state == platform::proto::VmState::Live
                })
                .map(|vm| vm.addr)
                .collect(),
            Err(_) => Vec::new(),
        };
        let mut all = !entries.is_empty();
        for entry in entries {
            all &= match fetch_status(entry).await {
                Some(status) => holds_none(&status, upstream),
                None => false,
            };
        }
        if all {
            println!(
                "every entry node has {upstream} leaving with no call in flight after {} ms; it may stop",
                started.elapsed().as_millis()
            );
            return 0;
        }
        monoio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    eprintln!("error: entry nodes still hold calls to {upstream} after {} s", DRAIN_WAIT.as_secs());
    exit::UNAVAILABLE
}

/// Returns true when `status` lists `upstream` as leaving with nothing outstanding, or not at all.
fn holds_none(status: &serde_json::Value, upstream: SocketAddr) -> bool {
    let text = upstream.to_string();
    let Some(pools) = status["upstreams"].as_object() else { return false };
    pools.values().flat_map(|list| list.as_array().into_iter().flatten()).all(|u| {
        u["addr"].as_str() != Some(text.as_str())
            || (u["leaving"].as_bool() == Some(true) && u["outstanding"].as_u64() == Some(0))
    })
}

async fn fetch_status(entry: SocketAddr) -> Option<serde_json::Value> {
    let response = get(entry, "/v1/status").await.ok()?;
    serde_json::from_slice(response.body()).ok()
}

/// Deadline of one request to an entry node.
const ENTRY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

async fn get(entry: SocketAddr, path: &str) -> Result<web::Response, web::Error> {
    web::fetch(entry, http::Method::GET, path, bytes::Bytes::new(), ENTRY_TIMEOUT).await
}

async fn status(entry: SocketAddr) -> i32 {
    match get(entry, "/v1/status").await {
        Ok(response) => {
            println!("{}", String::from_utf8_lossy(response.body()));
            0
        }
        Err(err) => {
            eprintln!("error: {entry}: {err}");
            exit::UNAVAILABLE
        }
    }
}

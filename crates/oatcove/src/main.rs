//! `oatcove`: the operator command line.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

mod team_command;

use team_command::{team_command, TeamCommand};

/// Checks and applies templates, reads the audit trail, drains upstreams, shows entry node status.
#[derive(Bpaf, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Checks and applies service templates
    #[bpaf(command("template"))]
    Template(#[bpaf(external(template_command))] TemplateCommand),
    /// Reads the audit trail
    #[bpaf(command("audit"))]
    Audit(#[bpaf(external(audit_command))] AuditCommand),
    /// Prepares upstreams for planned stops
    #[bpaf(command("upstream"))]
    Upstream(#[bpaf(external(upstream_command))] UpstreamCommand),
    /// Evacuates availability zones: their upstreams get no new calls
    #[bpaf(command("zone"))]
    Zone(#[bpaf(external(zone_command))] ZoneCommand),
    /// Shows teams and changes their keys and quotas
    #[bpaf(command("team"))]
    Team(#[bpaf(external(team_command))] TeamCommand),
    /// Gathers what entry nodes logged about one request and prints it in order
    ///
    /// Example: `oatcove explain 9c41d07be2a35f68 edge-*.log`
    #[bpaf(command("explain"))]
    Explain {
        /// Request id
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
        /// Log files; standard input when there is none
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Counts by route and time the problems with requests that entry nodes logged
    ///
    /// Example: `oatcove summary --window-s 2 edge-*.log`
    #[bpaf(command("summary"))]
    Summary {
        /// Length of a time window, in seconds
        #[bpaf(long("window-s"), argument("S"), fallback(10))]
        window_s: u64,
        /// Log files; standard input when there is none
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Prints an entry node's status as JSON
    #[bpaf(command("status"))]
    Status {
        /// Entry node address, ip:port
        #[bpaf(positional("ADDR"))]
        entry: SocketAddr,
    },
}

/// Checks and applies service templates.
#[derive(Bpaf, Debug)]
enum TemplateCommand {
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
        #[bpaf(
            long("actor"),
            argument("NAME"),
            fallback(std::env::var("USER").unwrap_or_else(|_| "unknown".into()))
        )]
        actor: String,
        /// Template file (YAML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Reads the audit trail.
#[derive(Bpaf, Debug)]
enum AuditCommand {
    /// Prints accepted changes, oldest first
    #[bpaf(command("log"))]
    Log {
        /// Platform address, ip:port
        #[bpaf(long("platform"), argument("ADDR"), fallback("127.0.0.1:7000".parse().unwrap()))]
        platform: SocketAddr,
        /// Only this service
        #[bpaf(long("service"), argument("NAME"), optional)]
        service: Option<String>,
    },
}

/// Prepares upstreams for planned stops.
#[derive(Bpaf, Debug)]
enum UpstreamCommand {
    /// Marks an upstream drained: no entry node sends it new calls
    #[bpaf(command("drain"))]
    Drain {
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
        /// Wait until no entry node has a call to it in flight, then report that it may stop
        #[bpaf(long("wait"), switch)]
        wait: bool,
        /// Lift the drain: the upstream gets calls again
        #[bpaf(long("lift"), switch)]
        lift: bool,
        /// Upstream address, ip:port
        #[bpaf(positional("UPSTREAM"))]
        upstream: SocketAddr,
    },
}

/// Evacuates availability zones.
///
/// Example: `oatcove zone evacuate --platform 10.0.0.2:7000 --actor ana attiki-b`
#[derive(Bpaf, Debug)]
enum ZoneCommand {
    /// Stops new calls to all upstreams of a zone; calls in flight are completed
    #[bpaf(command("evacuate"))]
    Evacuate(#[bpaf(external(zone_change))] ZoneChange),
    /// Lifts an evacuation
    #[bpaf(command("restore"))]
    Restore(#[bpaf(external(zone_change))] ZoneChange),
    /// Prints which zones are evacuated
    #[bpaf(command("status"))]
    Status {
        /// Platform address, ip:port
        #[bpaf(long("platform"), argument("ADDR"), fallback("127.0.0.1:7000".parse().unwrap()))]
        platform: SocketAddr,
        /// Print one JSON object per line
        #[bpaf(long("json"), switch)]
        json: bool,
    },
}

#[derive(Bpaf, Debug)]
struct ZoneChange {
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
    /// Availability zone
    #[bpaf(positional("ZONE"))]
    zone: String,
}

/// Exit codes by which scripts distinguish outcomes.
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
        Command::Template(TemplateCommand::Check { file }) => check(&file),
        Command::Template(TemplateCommand::Apply { platform, actor, file }) => {
            apply(&store::Store::new(platform), &actor, &file).await
        }
        Command::Audit(AuditCommand::Log { platform, service }) => {
            audit_log(platform, service.as_deref()).await
        }
        Command::Upstream(UpstreamCommand::Drain { platform, actor, wait, lift, upstream }) => {
            drain(&store::Store::new(platform), upstream, &actor, wait, lift).await
        }
        Command::Zone(ZoneCommand::Evacuate(change)) => evacuate(change, false).await,
        Command::Zone(ZoneCommand::Restore(change)) => evacuate(change, true).await,
        Command::Zone(ZoneCommand::Status { platform, json }) => zone_status(platform, json).await,
        Command::Team(command) => team_command::run(command).await,
        Command::Status { entry } => status(entry).await,
        Command::Explain { request, files } => explain(&request, &files),
        Command::Summary { window_s, files } => summary(window_s, &files),
    }
}

/// Reads all `files`, or standard input if there are none; prints a failure and returns its exit
/// code.
fn read_logs(files: &[PathBuf]) -> Result<String, i32> {
    let mut text = String::new();
    if files.is_empty() {
        if let Err(err) = std::io::Read::read_to_string(&mut std::io::stdin(), &mut text) {
            eprintln!("error: cannot read standard input: {err}");
            return Err(exit::INVALID);
        }
    }
    for file in files {
        text.push_str(&read(file)?);
    }
    Ok(text)
}

fn summary(window_s: u64, files: &[PathBuf]) -> i32 {
    let text = match read_logs(files) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let lines = oatcove::summary::summarize(&text, window_s);
    if lines.is_empty() {
        eprintln!("the logs report no problem with any request");
    }
    print_lines(&lines);
    0
}

/// Prints lines until the reader, such as `head`, closes the pipe.
fn print_lines(lines: &[String]) {
    let mut out = std::io::stdout().lock();
    let _closed = lines.iter().try_for_each(|line| writeln!(out, "{line}"));
}

fn explain(request: &str, files: &[PathBuf]) -> i32 {
    let text = match read_logs(files) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let timeline = oatcove::explain::explain(request, &text);
    match timeline.is_empty() {
        true => {
            eprintln!(
                "no log line about request {request}: it was answered in time, or its lines were \
                 dropped (look for lines_dropped events)"
            );
            exit::INVALID
        }
        false => {
            print_lines(&timeline);
            0
        }
    }
}

fn check(file: &PathBuf) -> i32 {
    match read(file).map(|text| config::Template::parse(&text)) {
        Ok(Ok(template)) => {
            let (service, teams) = (&template.service, template.teams.len());
            println!("ok: template for service {service} with {teams} teams");
            0
        }
        Ok(Err(findings)) => {
            eprint!("{}:\n{findings}", file.display());
            exit::INVALID
        }
        Err(code) => code,
    }
}

async fn apply(store: &store::Store, actor: &str, file: &PathBuf) -> i32 {
    let text = match read(file) {
        Ok(text) => text,
        Err(code) => return code,
    };
    match oatcove::apply::apply(store, &text, actor, Default::default()).await {
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
            apply_exit_code(&err)
        }
    }
}

fn read(file: &PathBuf) -> Result<String, i32> {
    std::fs::read_to_string(file).map_err(|err| {
        eprintln!("error: cannot read {}: {err}", file.display());
        exit::INVALID
    })
}

async fn audit_log(addr: SocketAddr, service: Option<&str>) -> i32 {
    let store = store::Store::new(addr);
    let rows = match store.since(store::AUDIT, 0).await {
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
            Err(err) => eprintln!("warning: audit row {} cannot be decoded: {err}", row.key),
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

async fn drain(
    store: &store::Store,
    upstream: SocketAddr,
    actor: &str,
    wait: bool,
    lift: bool,
) -> i32 {
    let vm_id = match store.vms().await {
        Ok(vms) => vms.into_iter().find(|vm| vm.addr == upstream).map(|vm| vm.id),
        Err(err) => {
            eprintln!("error: {err}");
            return exit::UNAVAILABLE;
        }
    };
    let Some(vm_id) = vm_id else {
        eprintln!("error: the platform's VM list has no {upstream}; nothing written");
        return exit::INVALID;
    };
    let done = if lift { "drain lifted" } else { "drained" };
    match oatcove::apply::drain(store, upstream, &vm_id, lift, actor, Default::default()).await {
        Ok(oatcove::apply::Applied::Written { version, change_id }) => {
            println!("{done}: {upstream} at version {version}, change {change_id}");
        }
        Ok(oatcove::apply::Applied::Unchanged { version }) => {
            println!("unchanged: {upstream} already {done} at version {version}");
        }
        Err(err) => {
            eprintln!("error: {err}");
            return apply_exit_code(&err);
        }
    }
    match wait && !lift {
        true => wait_until_drained(store, upstream).await,
        false => 0,
    }
}

async fn evacuate(change: ZoneChange, lift: bool) -> i32 {
    let ZoneChange { platform, actor, zone } = change;
    let store = store::Store::new(platform);
    let vms = match store.vms().await {
        Ok(vms) => vms,
        Err(err) => {
            eprintln!("error: {err}");
            return exit::UNAVAILABLE;
        }
    };
    // An evacuation of a mistyped zone would look as if it were in force.
    if !lift && !vms.iter().any(|vm| vm.zone == zone) {
        eprintln!("error: the platform's VM list has no zone {zone:?}; nothing written");
        return exit::INVALID;
    }
    let done = if lift { "restored" } else { "evacuated" };
    match oatcove::apply::evacuate(&store, &zone, lift, &actor, Default::default()).await {
        Ok(oatcove::apply::Applied::Written { version, change_id }) => {
            println!("{done}: {zone} at version {version}, change {change_id}");
            0
        }
        Ok(oatcove::apply::Applied::Unchanged { version }) => {
            println!("unchanged: {zone} already {done} at version {version}");
            0
        }
        Err(err) => {
            eprintln!("error: {err}");
            apply_exit_code(&err)
        }
    }
}

async fn zone_status(platform: SocketAddr, json: bool) -> i32 {
    let rows = match store::Store::new(platform).since(store::DRAINS, 0).await {
        Ok(rows) => rows.rows,
        Err(err) => {
            eprintln!("error: {err}");
            return exit::UNAVAILABLE;
        }
    };
    for row in rows {
        let Some(zone) = row.key.strip_prefix(store::EVACUATED_PREFIX) else { continue };
        let lifted = match serde_json::from_str::<store::proto::Evacuation>(&row.value) {
            Ok(evacuation) => evacuation.lifted,
            Err(err) => {
                eprintln!(
                    "warning: the evacuation of zone {zone} cannot be decoded: {err}; entry nodes \
                     treat it as in force"
                );
                false
            }
        };
        let (version, change) = (row.version, &row.change_id);
        let state = if lifted { "restored" } else { "evacuated" };
        match json {
            true => println!(
                "{}",
                serde_json::json!({"zone": zone, "state": state, "version": version, "change_id": change})
            ),
            false => println!("{zone} {state} at version {version}, change {change}"),
        }
    }
    0
}

async fn wait_until_drained(store: &store::Store, upstream: SocketAddr) -> i32 {
    match oatcove::drain::wait_until_drained(store, upstream).await {
        Ok(elapsed) => {
            println!(
                "every entry node has {upstream} leaving with no call in flight after {} ms; \
                 it may stop",
                elapsed.as_millis()
            );
            0
        }
        Err(not_drained) => {
            let nodes: Vec<String> = not_drained.iter().map(SocketAddr::to_string).collect();
            eprintln!(
                "error: after {} s these entry nodes still have calls to {upstream} in flight or \
                 do not respond: {}",
                oatcove::drain::DRAIN_TIMEOUT.as_secs(),
                nodes.join(", ")
            );
            exit::UNAVAILABLE
        }
    }
}

fn apply_exit_code(err: &oatcove::apply::ApplyError) -> i32 {
    match err {
        oatcove::apply::ApplyError::Invalid(_) => exit::INVALID,
        oatcove::apply::ApplyError::Conflict(_) => exit::CONFLICT,
        oatcove::apply::ApplyError::Unavailable(_) => exit::UNAVAILABLE,
        oatcove::apply::ApplyError::Unknown(_) => exit::UNKNOWN,
    }
}

async fn status(entry: SocketAddr) -> i32 {
    match oatcove::drain::fetch_status(entry).await {
        Ok(body) => {
            println!("{}", String::from_utf8_lossy(&body));
            0
        }
        Err(err) => {
            eprintln!("error: {entry}: {err}");
            exit::UNAVAILABLE
        }
    }
}

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
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("runtime starts");
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

async fn status(entry: SocketAddr) -> i32 {
    let mut conn = match web::Conn::connect(entry, std::time::Duration::from_secs(2)).await {
        Ok(conn) => conn,
        Err(err) => {
            eprintln!("error: {entry}: {err}");
            return exit::UNAVAILABLE;
        }
    };
    let request = http::Request::get("/v1/status")
        .header(http::header::HOST, entry.to_string())
        .body(bytes::Bytes::new())
        .expect("request builds");
    match conn.send(request, std::time::Duration::from_secs(2)).await {
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

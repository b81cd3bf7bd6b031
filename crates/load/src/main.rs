//! `oatcove-load`: sends calls through entry nodes and prints tail latency and probe cost.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

/// Open-loop load through oatcove entry nodes.
#[derive(Bpaf, Debug)]
#[bpaf(options, version)]
struct Args {
    /// Entry node to read the list of entry nodes from
    #[bpaf(long("entry"), argument("ADDR"))]
    entry: SocketAddr,
    /// Service to call
    #[bpaf(long("service"), argument("NAME"))]
    service: String,
    /// Zone of the callers (repeatable; calls rotate through the zones)
    #[bpaf(long("zone"), argument("ZONE"), some("at least one --zone is needed"))]
    zones: Vec<String>,
    /// Team sent with each call
    #[bpaf(long("team"), argument("NAME"), optional)]
    team: Option<String>,
    /// Calls per second
    #[bpaf(long("rate"), argument("PER_S"), fallback(500))]
    rate: u64,
    /// Length of the run, in seconds
    #[bpaf(long("duration-s"), argument("S"), fallback(5))]
    duration_s: u64,
    /// Share of heavy calls, in percent
    #[bpaf(long("heavy-percent"), argument("P"), fallback(10))]
    heavy_percent: u32,
    /// Share of calls that are claims (POST, run at most once), in percent
    #[bpaf(long("claim-percent"), argument("P"), fallback(0))]
    claim_percent: u32,
    /// Upstream stand-in to read counters from (repeatable)
    #[bpaf(long("upstream"), argument("ADDR"), many)]
    upstreams: Vec<SocketAddr>,
    /// Cost of one probe, in ms of one slot of an upstream
    #[bpaf(long("probe-cost-ms"), argument("MS"), fallback(5.0))]
    probe_cost_ms: f64,
    /// Send all calls to --entry, without discovery (with an upstream there: a baseline)
    #[bpaf(long("direct"), switch)]
    direct: bool,
    /// File to write the report to as JSON
    #[bpaf(long("json"), argument("FILE"), optional)]
    json: Option<PathBuf>,
}

fn main() {
    let args = args().run();
    let plan = load::Plan {
        seed: args.entry,
        service: args.service.into(),
        zones: args.zones.into_iter().map(Into::into).collect(),
        team: args.team.map(Into::into),
        rate_per_s: args.rate,
        duration: Duration::from_secs(args.duration_s),
        heavy_percent: args.heavy_percent,
        claim_percent: args.claim_percent,
        upstreams: args.upstreams,
        probe_cost_ms: args.probe_cost_ms,
        direct: args.direct,
    };
    let mut runtime = web::runtime();
    let report = runtime.block_on(load::run(plan));
    print!("{}", report.render());
    if let Some(path) = args.json {
        let text = serde_json::to_string_pretty(&report).expect("report serializes as JSON");
        if let Err(err) = std::fs::write(&path, text) {
            eprintln!("error: {}: {err}", path.display());
            std::process::exit(1);
        }
    }
}

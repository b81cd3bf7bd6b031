//! `oatcove-upstream`: runs the stand-in for one upstream VM.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;

/// Serves one upstream stand-in until killed.
#[derive(Bpaf, Debug)]
#[bpaf(options)]
struct Args {
    /// Address to listen on, ip:port
    #[bpaf(long("listen"), argument("ADDR"))]
    listen: SocketAddr,
    /// Maximum number of requests run at once
    #[bpaf(long("slots"), argument("N"), fallback(6))]
    slots: usize,
    /// Maximum number of open connections, over all callers
    #[bpaf(long("connections"), argument("N"), fallback(260))]
    connections: usize,
    /// Maximum number of requests queued for a slot; further ones are shed
    #[bpaf(long("queue-limit"), argument("N"), fallback(250))]
    queue_limit: usize,
    /// Give requests that find the queue full no response, instead of shedding them
    #[bpaf(long("silent-when-full"))]
    silent_when_full: bool,
    /// Mean service time of a light request, in ms
    #[bpaf(long("light-ms"), argument("MS"), fallback(2))]
    light_ms: u64,
    /// Mean service time of a heavy request, in ms
    #[bpaf(long("heavy-ms"), argument("MS"), fallback(40))]
    heavy_ms: u64,
    /// Length of the cold start, in ms; until it ends, each request takes this much longer
    #[bpaf(long("cold-start-ms"), argument("MS"), fallback(0))]
    cold_start_ms: u64,
    /// Interval between refreshes of the load report, in ms
    #[bpaf(long("load-lag-ms"), argument("MS"), fallback(200))]
    load_lag_ms: u64,
}

fn main() {
    let args = args().run();
    let _ = simplelog::WriteLogger::init(
        log::LevelFilter::Info,
        simplelog::Config::default(),
        std::io::stderr(),
    );
    let config = emu::upstream::UpstreamConfig {
        slots: args.slots,
        max_connections: args.connections,
        queue_limit: args.queue_limit,
        light_service_time: Duration::from_millis(args.light_ms),
        heavy_service_time: Duration::from_millis(args.heavy_ms),
        cold_start: Duration::from_millis(args.cold_start_ms),
        load_refresh_interval: Duration::from_millis(args.load_lag_ms),
    };
    let mut runtime = web::runtime();
    runtime.block_on(async move {
        let listener = web::listen(args.listen).expect("failed to bind the listen address");
        println!(
            "listening on {}",
            listener.local_addr().expect("failed to read the bound address")
        );
        let upstream = emu::upstream::Upstream::new(config);
        let silent_when_full = args.silent_when_full;
        upstream.set_mode(emu::upstream::Mode { silent_when_full, ..Default::default() });
        web::serve(listener, Rc::new(upstream)).await;
    });
}

//! `oatcoved`: the entry node daemon.
//!
//! Reads the settings file, then serves callers on `listen_addr` and polls the
//! platform. Prints `listening on ADDR` to standard output once the socket is
//! bound. Logs go to standard error.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

use bpaf::Bpaf;
use local_sync::mpsc::unbounded;

/// The oatcove entry node.
#[derive(Bpaf, Debug)]
#[bpaf(options, version)]
struct Args {
    /// Settings file (YAML)
    #[bpaf(long("config"), argument("FILE"))]
    config: PathBuf,
}

/// Exit code for settings that cannot be read or are invalid.
const EXIT_INVALID_SETTINGS: i32 = 2;

fn main() {
    let args = args().run();
    let text = match std::fs::read_to_string(&args.config) {
        Ok(text) => text,
        Err(err) => {
            eprintln!("error: {}: {err}", args.config.display());
            std::process::exit(EXIT_INVALID_SETTINGS);
        }
    };
    let settings = match config::NodeSettings::parse(&text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprint!("{}: settings rejected:\n{findings}", args.config.display());
            std::process::exit(EXIT_INVALID_SETTINGS);
        }
    };
    let _ = simplelog::WriteLogger::init(
        log::LevelFilter::Info,
        simplelog::Config::default(),
        std::io::stderr(),
    );
    let mut runtime = web::runtime();
    runtime.block_on(run(settings));
}

async fn run(mut settings: config::NodeSettings) {
    let listener = match web::listen(settings.listen_addr) {
        Ok(listener) => listener,
        Err(err) => {
            exit_with_error(format_args!("cannot listen on {}: {err}", settings.listen_addr))
        }
    };
    settings.listen_addr = listener.local_addr().expect("a bound listener has a local address");
    let socket = match oatcoved::gossip::bind(settings.listen_addr) {
        Ok(socket) => socket,
        Err(err) => exit_with_error(format_args!(
            "cannot bind UDP socket for membership on {}: {err}",
            settings.listen_addr
        )),
    };
    let stop_flag = match oatcoved::stop::register_signals() {
        Ok(flag) => flag,
        Err(err) => exit_with_error(format_args!("cannot install signal handlers: {err}")),
    };
    let metrics = match oatcoved::metrics::Metrics::new() {
        Ok(metrics) => metrics,
        Err(err) => exit_with_error(format_args!("{err}")),
    };
    println!("listening on {}", settings.listen_addr);
    log::info!(
        "node={} zone={} listening on {}",
        settings.node_id,
        settings.zone,
        settings.listen_addr
    );
    let store = Rc::new(store::Store::new(settings.platform_addr));
    let vm_store = Rc::new(store::Store::new(settings.platform_addr));
    let (config_poll_interval, vm_poll_interval) =
        (settings.config_poll_interval, settings.vm_poll_interval);
    let view = Rc::new(RefCell::new(oatcoved::view::View::new(settings)));
    let (gossip, gossip_inputs) = unbounded::channel();
    let (probe, probe_inputs) = unbounded::channel();
    let channels = oatcoved::follow::Channels { gossip: gossip.clone(), probe: probe.clone() };
    monoio::spawn(oatcoved::gossip::run(socket, view.clone(), gossip.clone(), gossip_inputs));
    monoio::spawn(oatcoved::probe::run(view.clone(), probe, probe_inputs, gossip.clone()));
    monoio::spawn(oatcoved::follow::poll_config(
        store,
        view.clone(),
        config_poll_interval,
        channels.clone(),
    ));
    monoio::spawn(oatcoved::follow::poll_vms(vm_store, view.clone(), vm_poll_interval, channels));
    let node = Rc::new(oatcoved::proxy::Node::new(view.clone(), metrics, gossip.clone()));
    monoio::spawn(web::serve(listener, node));
    oatcoved::stop::wait_until_stopped(stop_flag, view, gossip).await;
}

fn exit_with_error(message: std::fmt::Arguments<'_>) -> ! {
    eprintln!("error: {message}");
    std::process::exit(1);
}

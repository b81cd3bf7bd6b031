//! `oatcoved`: the entry node daemon.
//!
//! Reads its settings file, then serves callers on `listen_addr` and follows
//! the platform. It prints `listening on ADDR` on standard output once bound;
//! logs go to standard error.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

use bpaf::Bpaf;

/// The oatcove entry node.
#[derive(Bpaf, Debug)]
#[bpaf(options, version)]
struct Args {
    /// Settings file (YAML)
    #[bpaf(long("config"), argument("FILE"))]
    config: PathBuf,
}

/// Exit code for settings that do not pass validation.
const EXIT_BAD_SETTINGS: i32 = 2;

fn main() {
    let args = args().run();
    let text = match std::fs::read_to_string(&args.config) {
        Ok(text) => text,
        Err(err) => {
            eprintln!("error: {}: {err}", args.config.display());
            std::process::exit(EXIT_BAD_SETTINGS);
        }
    };
    let settings = match config::NodeSettings::parse(&text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprint!("{}: settings rejected:\n{findings}", args.config.display());
            std::process::exit(EXIT_BAD_SETTINGS);
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
    let listener = match monoio::net::TcpListener::bind(settings.listen_addr) {
        Ok(listener) => listener,
        Err(err) => {
            eprintln!("error: cannot listen on {}: {err}", settings.listen_addr);
            std::process::exit(1);
        }
    };
    settings.listen_addr = listener.local_addr().expect("bound address");
    println!("listening on {}", settings.listen_addr);
    log::info!(
        "node={} zone={} listening on {}",
        settings.node_id,
        settings.zone,
        settings.listen_addr
    );
    let store = Rc::new(platform::Store::new(settings.platform_addr));
    let vm_store = Rc::new(platform::Store::new(settings.platform_addr));
    let (config_poll, vm_poll) = (settings.config_poll, settings.vm_poll);
    let view = Rc::new(RefCell::new(oatcoved::view::View::new(settings)));
    monoio::spawn(oatcoved::follow::config(store, view.clone(), config_poll));
    monoio::spawn(oatcoved::follow::vms(vm_store, view.clone(), vm_poll));
    web::serve(listener, Rc::new(oatcoved::proxy::Node::new(view))).await;
}

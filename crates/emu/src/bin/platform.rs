//! `oatcove-platform`: runs the stand-in for the platform's table service and VM list.

use std::net::SocketAddr;
use std::rc::Rc;

use bpaf::Bpaf;

/// Serves the platform stand-in until killed.
#[derive(Bpaf, Debug)]
#[bpaf(options)]
struct Args {
    /// Address to listen on, ip:port
    #[bpaf(long("listen"), argument("ADDR"), fallback("127.0.0.1:7000".parse().unwrap()))]
    listen: SocketAddr,
}

fn main() {
    let args = args().run();
    init_logger();
    let mut runtime = web::runtime();
    runtime.block_on(async move {
        let listener = web::listen(args.listen).expect("failed to bind the listen address");
        println!(
            "listening on {}",
            listener.local_addr().expect("failed to read the bound address")
        );
        web::serve(listener, Rc::new(emu::platform::Platform::default())).await;
    });
}

fn init_logger() {
    let _ = simplelog::WriteLogger::init(
        log::LevelFilter::Info,
        simplelog::Config::default(),
        std::io::stderr(),
    );
}

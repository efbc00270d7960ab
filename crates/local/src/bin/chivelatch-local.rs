//! Program that runs the quick start.

use std::{net::SocketAddr, process::ExitCode};

use settings::arguments::{self, Program};

const ABOUT: Program = Program {
    name: "chivelatch-local",
    summary: "Entry instance, side processes and stand-ins in one process on loopback",
    version: env!("CARGO_PKG_VERSION"),
};
const DEFAULT_LISTEN: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8080);

fn main() -> ExitCode {
    let mut options = arguments::standard_options();
    options.optopt("l", "listen", "address for callers; default 127.0.0.1:8080", "ADDRESS");
    let matches = match arguments::parse(ABOUT, &options) {
        Ok(matches) => matches,
        Err(status) => return status,
    };
    match matches.opt_get_default("listen", DEFAULT_LISTEN) {
        Ok(listen) => local::main(listen),
        Err(error) => arguments::usage_error(ABOUT, &format!("--listen: {error}")),
    }
}

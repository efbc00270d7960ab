//! Entry point shared by the stand-in programs.

use std::{future::Future, net::SocketAddr, process::ExitCode};

use async_net::TcpListener;
use logforth::record::{Level, LevelFilter};

use front::server;
use kernel::{
    Kernel,
    drain::{self, Drain},
};
use settings::{
    arguments::{self, Program},
    document::Section,
};

const EXECUTOR_THREADS: usize = 2;

/// Reads the settings file, listens and serves until SIGTERM.
pub fn main<T, F: Future<Output = ()>>(
    name: &'static str,
    summary: &'static str,
    read: impl FnOnce(&Section<'_>) -> T,
    serve: impl FnOnce(Kernel, TcpListener, Drain, T) -> F,
) -> ExitCode {
    let about = Program { name, summary, version: env!("CARGO_PKG_VERSION") };
    let read = |section: &Section<'_>| (section.address("listen"), read(section));
    arguments::main(about, read, |(listen, settings): (SocketAddr, T)| {
        kernel::logs::install(LevelFilter::MoreSevereEqual(Level::Warn));
        kernel::run(EXECUTOR_THREADS, |kernel| async move {
            let listener = match server::listen(listen).await {
                Ok(listener) => listener,
                Err(error) => {
                    eprintln!("{name}: {error}");
                    return ExitCode::FAILURE;
                }
            };
            let drain = Drain::default();
            let stopper = drain.clone();
            kernel.spawn_detached(async move {
                drain::termination().await;
                stopper.stop();
            });
            serve(kernel, listener, drain, settings).await;
            ExitCode::SUCCESS
        })
    })
}

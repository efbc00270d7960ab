//! Startup and orderly stop of a process of the fleet.

use std::{future::Future, process::ExitCode, sync::Arc};

use logforth::record::LevelFilter;

use kernel::{
    Kernel,
    drain::{self},
};

use crate::{Node, exchange, follow};

/// Installs the logger and the metrics recorder, and runs `main` on an executor with `threads`
/// threads.
pub fn run<F: Future<Output = ExitCode>>(
    threads: usize,
    log_level: LevelFilter,
    main: impl FnOnce(Kernel) -> F,
) -> ExitCode {
    kernel::logs::install(log_level);
    kernel::metrics::install();
    kernel::run(threads, main)
}

/// Starts the tasks that all processes run.
pub fn start(node: &Arc<Node>) {
    let kernel = &node.kernel;
    kernel.spawn_detached(follow::configuration(Arc::clone(node)));
    kernel.spawn_detached(follow::list(Arc::clone(node)));
    kernel.spawn_detached(exchange::run(Arc::clone(node)));
}

/// Waits for SIGTERM or SIGINT, signals the stop to all tasks and announces that this process is
/// leaving.
pub async fn wait_for_stop(node: &Node) {
    drain::termination().await;
    log::info!("stopping: leaving the instance list and draining work in flight");
    node.drain.stop();
    follow::announce(node).await;
}

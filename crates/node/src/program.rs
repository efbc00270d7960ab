//! Start and orderly stop that every process of the fleet shares.

use std::{future::Future, process::ExitCode, sync::Arc};

use logforth::record::LevelFilter;

use kernel::{
    Kernel,
    drain::{self},
};

use crate::{Node, exchange, follow};

/// Runs a process of the fleet on its own executor.
pub fn run<F: Future<Output = ExitCode>>(
    threads: usize,
    log_level: LevelFilter,
    main: impl FnOnce(Kernel) -> F,
) -> ExitCode {
    kernel::logs::install(log_level);
    kernel::metrics::install();
    kernel::run(threads, main)
}

/// Starts the tasks that every process of the fleet runs.
pub fn start(node: &Arc<Node>) {
    let kernel = &node.kernel;
    kernel.spawn_detached(follow::configuration(Arc::clone(node)));
    kernel.spawn_detached(follow::list(Arc::clone(node)));
    kernel.spawn_detached(exchange::run(Arc::clone(node)));
}

/// Waits for SIGTERM and announces that this process is leaving.
pub async fn wait_for_stop(node: &Node) {
    drain::termination().await;
    log::info!("stopping: no new work, running work ends first");
    node.drain.stop();
    follow::announce(node).await;
}

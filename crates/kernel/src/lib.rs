//! Runtime of every chivelatch program: executor threads, the clock, a sharded
//! map, the plug-in registry, the memory for data of other processes, graceful shutdown, logs and
//! metrics.
//!
//! Architecture Invariant: no crate reads the time or spawns a task other than
//! through this crate, so that a test can control both.

pub mod clock;
pub mod drain;
pub mod event;
pub mod logs;
pub mod memory;
pub mod metrics;
pub mod plugin;
pub mod quic;
pub mod shard;

use std::{
    future::Future,
    sync::{Arc, Weak},
    thread,
};

use async_executor::{Executor, Task};
use futures_lite::future;

use crate::clock::Clock;

/// Digest of the sources that this crate was compiled from.
pub const SOURCES: u64 = sources_macro::digest!();

/// Handle to the executor and the clock; cheap to clone.
#[derive(Clone, Debug)]
pub struct Kernel {
    /// Weak, since the executor owns tasks that own handles to it.
    executor: Weak<Executor<'static>>,
    pub clock: Clock,
    /// Memory for what other processes send.
    pub memory: memory::Budget,
}

impl Kernel {
    /// Spawns a task. Dropping the returned handle cancels it. After the end of [`run`] it never runs.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        let ended = || Arc::new(Executor::new());
        self.executor.upgrade().unwrap_or_else(ended).spawn(future)
    }

    /// Spawns a task that no handle can cancel. After the end of [`run`] it never runs.
    pub fn spawn_detached(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(future).detach();
        }
    }
}

/// Runs `main` on `threads` executor threads and returns its result. The calling
/// thread is one of them, so that there is always at least one. Tasks that have not ended
/// by then are dropped.
pub fn run<T, F: Future<Output = T>>(threads: usize, main: impl FnOnce(Kernel) -> F) -> T {
    let executor = Arc::new(Executor::new());
    let kernel = Kernel {
        executor: Arc::downgrade(&executor),
        clock: Clock::default(),
        memory: memory::Budget::default(),
    };
    let (stop, stopped) = async_channel::bounded::<()>(1);
    for index in 1..threads.max(1) {
        let executor = Arc::clone(&executor);
        let stopped = stopped.clone();
        thread::Builder::new()
            .name(format!("executor-{index}"))
            .spawn(move || future::block_on(executor.run(stopped.recv())))
            .expect("cannot start an executor thread; lower `threads` in the settings");
    }
    let result = async_io::block_on(executor.run(main(kernel)));
    drop(stop);
    result
}

//! Counts of datagrams by kind, as metrics and as a log line now and then.

use std::{
    fmt::Write as _,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use kernel::{Kernel, event::Event};

use crate::message::Kind;

/// Time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Size of the headers of a datagram over IPv4, in bytes.
const HEADER_BYTES: u64 = 28;

/// Datagrams and their bytes, headers included.
struct Count {
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

static SENT: [Count; Kind::ALL.len()] = [const { Count::new() }; Kind::ALL.len()];
static RECEIVED: [Count; Kind::ALL.len()] = [const { Count::new() }; Kind::ALL.len()];

/// Counts a datagram that was sent.
pub fn record_sent(kind: Kind, bytes: usize) {
    SENT[kind as usize].add(bytes);
    metrics::counter!("chivelatch_mesh_sent_bytes_total", "kind" => kind.name())
        .increment(bytes as u64);
}

/// Counts a datagram that was received.
pub fn record_received(kind: Kind, bytes: usize) {
    RECEIVED[kind as usize].add(bytes);
    metrics::counter!("chivelatch_mesh_received_bytes_total", "kind" => kind.name())
        .increment(bytes as u64);
}

/// Logs the datagrams since the previous line at intervals, until the process ends.
pub async fn log_regularly(kernel: Kernel) {
    loop {
        kernel.clock.sleep(LOG_INTERVAL).await;
        log::info!(
            event = Event::Traffic, sent:% = take(&SENT), received:% = take(&RECEIVED);
            "datagrams and bytes by kind"
        );
    }
}

/// Returns the counts by kind as text, and resets them.
fn take(counts: &[Count]) -> String {
    let mut text = String::new();
    for (kind, count) in Kind::ALL.iter().zip(counts) {
        let datagrams = count.datagrams.swap(0, Ordering::Relaxed);
        let bytes = count.bytes.swap(0, Ordering::Relaxed);
        if 0 < datagrams {
            let separator = if text.is_empty() { "" } else { " " };
            let _infallible = write!(text, "{separator}{}={datagrams}/{bytes}", kind.name());
        }
    }
    text
}

impl Count {
    const fn new() -> Count {
        Count { datagrams: AtomicU64::new(0), bytes: AtomicU64::new(0) }
    }

    fn add(&self, bytes: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64 + HEADER_BYTES, Ordering::Relaxed);
    }
}

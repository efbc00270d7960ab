//! Whether an instance may trust its configuration to hold every withdrawn key.
//!
//! An instance that read the log lately is fresh. During an outage of the log
//! nobody can withdraw a key, so an instance stays fresh as long as it keeps
//! exchanging with at least half of the peers it tries: a peer that still reads
//! the log passes the news on. An instance that reaches neither may be cut off
//! alone, and refuses keyed work. An instance whose list names no peer goes on:
//! it cannot tell an outage from a cut.

use std::{collections::VecDeque, time::Duration};

use crate::lease::Moment;

/// Exchanges remembered.
const MAX_EXCHANGES: usize = 8;

/// Evidence gathered so far.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    last_log_read: Option<Moment>,
    exchanges: VecDeque<Exchange>,
    has_peers: bool,
}

#[derive(Clone, Copy, Debug)]
struct Exchange {
    started_at: Moment,
    is_success: bool,
}

impl Freshness {
    /// A read of the log to its tail succeeded; it was asked for at `asked`.
    pub fn on_log_read(&mut self, requested_at: Moment) {
        self.last_log_read = self.last_log_read.max(Some(requested_at));
    }

    /// The instance list was read.
    pub fn on_list_read(&mut self, peers: usize) {
        self.has_peers = 0 < peers;
    }

    /// A peer answered an exchange begun at `at`.
    pub fn on_exchange_success(&mut self, started_at: Moment) {
        self.push(Exchange { started_at, is_success: true });
    }

    /// A peer did not answer an exchange begun at `at`.
    pub fn on_exchange_failure(&mut self, started_at: Moment) {
        self.push(Exchange { started_at, is_success: false });
    }

    /// Whether no withdrawal older than `limit` can have been missed.
    pub fn is_fresh(&self, now: Moment, limit: Duration) -> bool {
        let is_recent = |at: Moment| now.saturating_sub(at) <= limit;
        if self.last_log_read.is_some_and(is_recent) {
            return true;
        }
        if !self.has_peers {
            return true;
        }
        let recent = self.exchanges.iter().filter(|exchange| is_recent(exchange.started_at));
        let (succeeded, attempted) = recent.fold((0, 0), |(succeeded, attempted), exchange| {
            (succeeded + usize::from(exchange.is_success), attempted + 1)
        });
        0 < succeeded && attempted <= 2 * succeeded
    }

    fn push(&mut self, exchange: Exchange) {
        if MAX_EXCHANGES <= self.exchanges.len() {
            self.exchanges.pop_front();
        }
        self.exchanges.push_back(exchange);
    }
}

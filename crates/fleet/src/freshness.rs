//! Decides whether an instance's configuration is recent enough to include every
//! withdrawn key.
//!
//! A recent read of the log makes an instance fresh. During an outage of the log
//! no key can be withdrawn, so an instance stays fresh while at least half of its
//! recent exchanges with peers succeed: a peer that still reads the log passes
//! updates on. An instance that reaches neither may be partitioned, and rejects
//! requests that need a key. If the instance list contains no peer, an instance
//! stays fresh, since it cannot distinguish an outage of the log from a partition.

use std::{collections::VecDeque, time::Duration};

use crate::lease::Moment;

/// Number of latest exchanges that are evaluated.
const MAX_EXCHANGES: usize = 8;

/// Recent reads of the log and exchanges with peers.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Request time of the latest read of the log to its tail.
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
    /// Records a read of the log to its tail that was requested at `requested_at`.
    pub fn on_log_read(&mut self, requested_at: Moment) {
        self.last_log_read = self.last_log_read.max(Some(requested_at));
    }

    /// Records the number of peers in the instance list.
    pub fn on_list_read(&mut self, peers: usize) {
        self.has_peers = 0 < peers;
    }

    /// Records an exchange, begun at `started_at`, that a peer answered.
    pub fn on_exchange_success(&mut self, started_at: Moment) {
        self.push(Exchange { started_at, is_success: true });
    }

    /// Records an exchange, begun at `started_at`, that got no valid answer.
    pub fn on_exchange_failure(&mut self, started_at: Moment) {
        self.push(Exchange { started_at, is_success: false });
    }

    /// Whether the instance can assume that its configuration includes every withdrawal of a key
    /// older than `limit`.
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

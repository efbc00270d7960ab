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
const SAMPLE: usize = 8;

/// Evidence gathered so far.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    log_asked: Option<Moment>,
    exchanges: VecDeque<Exchange>,
    has_peers: bool,
}

#[derive(Clone, Copy, Debug)]
struct Exchange {
    at: Moment,
    is_answered: bool,
}

impl Freshness {
    /// A read of the log to its tail succeeded; it was asked for at `asked`.
    pub fn on_log_read(&mut self, asked: Moment) {
        self.log_asked = self.log_asked.max(Some(asked));
    }

    /// The instance list was read.
    pub fn on_list_read(&mut self, peers: usize) {
        self.has_peers = 0 < peers;
    }

    /// A peer answered an exchange begun at `at`.
    pub fn on_answer(&mut self, at: Moment) {
        self.push(Exchange { at, is_answered: true });
    }

    /// A peer did not answer an exchange begun at `at`.
    pub fn on_silence(&mut self, at: Moment) {
        self.push(Exchange { at, is_answered: false });
    }

    /// Whether no withdrawal older than `limit` can have been missed.
    pub fn is_fresh(&self, now: Moment, limit: Duration) -> bool {
        let is_recent = |at: Moment| now.saturating_sub(at) <= limit;
        if self.log_asked.is_some_and(is_recent) {
            return true;
        }
        if !self.has_peers {
            return true;
        }
        let recent = self.exchanges.iter().filter(|exchange| is_recent(exchange.at));
        let (answered, tried) = recent.fold((0, 0), |(answered, tried), exchange| {
            (answered + usize::from(exchange.is_answered), tried + 1)
        });
        0 < answered && tried <= 2 * answered
    }

    fn push(&mut self, exchange: Exchange) {
        if SAMPLE <= self.exchanges.len() {
            self.exchanges.pop_front();
        }
        self.exchanges.push_back(exchange);
    }
}

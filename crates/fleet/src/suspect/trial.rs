//! Trials: runs of requests that are suspects, or have one as an attribute, one at a time for each
//! suspect.
//!
//! One instance grants the trials of a service to all others. A trial ends when its instance says
//! so, or else when its time is over. A suspect that has crashed two servers or more runs on a
//! server without any other trial.

use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::{Name, lease::Moment, suspect::Suspects};

/// Limit on the trials at once.
const MAX_TRIALS: usize = 4096;

/// Request for a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Id of the trial.
    pub id: u64,
    pub suspects: Suspects,
    pub server: Name,
    pub is_exclusive: bool,
    /// Address of the instance that runs it, or `None` for the one that grants it.
    pub holder: Option<SocketAddr>,
    /// Time at which it ends at the latest.
    pub ends_at: Moment,
}

/// The trials that are running.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    running: SmallVec<[Trial; 4]>,
}

impl Trials {
    /// Starts a trial, unless one of its suspects or a trial that excludes it is running. A trial that was
    /// started before, whose grant was lost, is granted again.
    pub fn start(&mut self, now: Moment, trial: Trial) -> bool {
        self.running.retain(|running| now < running.ends_at && running.id != trial.id);
        let excludes = |running: &Trial| {
            let is_same_server = running.server == trial.server;
            running.suspects.iter().any(|suspect| trial.suspects.contains(suspect))
                || is_same_server && (running.is_exclusive || trial.is_exclusive)
        };
        if MAX_TRIALS <= self.running.len() || self.running.iter().any(excludes) {
            return false;
        }
        self.running.push(trial);
        true
    }

    /// Ends the trials of instances for which `is_heard` is false.
    pub fn retain_holders(&mut self, is_heard: impl Fn(SocketAddr) -> bool) {
        self.running.retain(|running| running.holder.is_none_or(&is_heard));
    }

    /// Ends a trial.
    pub fn end(&mut self, id: u64) {
        self.running.retain(|running| running.id != id);
    }
}

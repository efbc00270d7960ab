//! Trials: runs of requests that are suspects, or have one as an attribute, one at a time for each
//! suspect.
//!
//! One instance grants the trials of a service to all others. A trial ends when its instance says
//! so, or else when its time is over, for each suspect by itself. A suspect that has crashed two
//! servers or more runs on a server without any other trial.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Name, digest::Digest, lease::Moment, suspect::Suspects};

/// Limit on the trials at once.
const MAX_TRIALS: usize = 4096;

/// How long a run is the trial of a suspect at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    pub suspect: Digest,
    pub lifetime: Duration,
}

/// Spans of the suspects of one trial; a few are stored inline.
pub type Spans = SmallVec<[Span; 2]>;

/// Run of a request that is the trial of one suspect or more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Id of the trial.
    pub id: u64,
    pub spans: Spans,
    pub started_at: Moment,
    pub server: Name,
    pub is_exclusive: bool,
    /// Address of the instance that runs it, or `None` for the one that grants it.
    pub holder: Option<SocketAddr>,
}

/// The trials that are running.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    running: SmallVec<[Trial; 4]>,
}

impl Trial {
    /// Returns the suspects of which it still is the trial.
    pub fn suspects(&self, now: Moment) -> Suspects {
        let running = self.spans.iter().filter(|span| now < self.started_at + span.lifetime);
        running.map(|span| span.suspect).collect()
    }

    /// Returns whether it is on this server and still the trial of all these suspects.
    pub fn covers(&self, server: &Name, suspects: &Suspects, now: Moment) -> bool {
        let running = self.suspects(now);
        self.server == *server && suspects.iter().all(|suspect| running.contains(suspect))
    }
}

impl Trials {
    /// Starts a trial, unless a trial of one of its suspects, or one that excludes it, is running. A
    /// trial that was started before, whose grant was lost, is granted again.
    pub fn start(&mut self, now: Moment, trial: Trial) -> bool {
        self.running.retain(|running| running.id != trial.id && !running.suspects(now).is_empty());
        let excludes = |running: &Trial| {
            let has_same_suspect =
                running.suspects(now).iter().any(|suspect| trial.suspects(now).contains(suspect));
            let is_same_server = running.server == trial.server;
            has_same_suspect || is_same_server && (running.is_exclusive || trial.is_exclusive)
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

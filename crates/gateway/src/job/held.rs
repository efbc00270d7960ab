//! The attempt of a request that is set aside, still open, while another one is opened beside it.

use kernel::event::Event;
use serving::directory::Listing;

use crate::{exchange::SentFlag, job::Job, quarantine::HeldTrial};

/// Attempt that is open while another one is opened beside it.
pub struct Held {
    pub server: Listing,
    pub(super) trial: Option<HeldTrial>,
    pub(super) sent: SentFlag,
}

/// End of the race between a silent attempt and the one opened beside it.
#[derive(Clone, Copy, Debug)]
pub enum HedgeEnd {
    /// The silent one goes on.
    First,
    /// The other one has taken over.
    Second,
    /// The other one was not opened, for this reason. The silent one is still open.
    ReadOn(&'static str),
    /// The silent one was lost, and the other one was not opened.
    Neither(&'static str),
}

impl Job {
    /// Sets the current attempt, whose server is silent, aside while another one is opened. Returns how many
    /// were set aside before: more than none if the one that is opened is silent, too.
    pub fn begin_hedge(&mut self, server: &Listing) -> usize {
        log::info!(
            event = Event::Hedge, request = &*self.meta.id, server = &*server.id, outcome = "begun";
            "the server is silent; opening another attempt"
        );
        self.server = None;
        let (trial, sent) = (self.trial.take(), std::mem::take(&mut self.sent));
        self.held.push(Held { server: server.clone(), trial, sent });
        self.held.len() - 1
    }

    /// Returns to the attempt that was set aside at this depth. Those that were opened beside it are dropped.
    pub fn end_hedge(&mut self, depth: usize, end: HedgeEnd) {
        let is_current_unsent = self.server.is_some() && !self.sent.get();
        if is_current_unsent {
            self.runs -= 1;
        }
        let Some(Held { server, trial, sent }) = self.take_held(depth, end) else { return };
        self.server = Some(server);
        self.trial = trial;
        self.sent = sent;
        // They may be tried again at the next silence.
        self.excluded.clear();
    }

    /// Returns the attempt that was set aside, since another one has taken over. It counts as a run unless it
    /// was not sent, or is known not to have run.
    pub fn leave_held(&mut self, depth: usize, has_not_run: bool) -> Option<Held> {
        let held = self.take_held(depth, HedgeEnd::Second)?;
        if has_not_run || !held.sent.get() {
            self.runs -= 1;
        }
        Some(held)
    }

    fn take_held(&mut self, depth: usize, end: HedgeEnd) -> Option<Held> {
        let (outcome, reason) = (end.name(), end.reason());
        metrics::counter!("chivelatch_hedges_total", "outcome" => outcome).increment(1);
        let held = self.held.drain(depth..).next()?;
        log::info!(
            event = Event::Hedge, request = &*self.meta.id, server = &*held.server.id, outcome,
            reason;
            "the race with the silent server has ended"
        );
        Some(held)
    }

    /// Returns whether an attempt is being opened beside a silent one.
    pub fn is_hedging(&self) -> bool {
        !self.held.is_empty()
    }

    /// Returns whether an attempt is open at a server while another one is opened.
    pub fn is_held_by(&self, server: &Listing) -> bool {
        let is_same =
            |held: &Held| (&held.server.id, held.server.born_ms) == (&server.id, server.born_ms);
        self.held.iter().any(is_same)
    }
}

impl HedgeEnd {
    /// Returns the name for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            HedgeEnd::First => "first",
            HedgeEnd::Second => "second",
            HedgeEnd::ReadOn(_) => "not_opened",
            HedgeEnd::Neither(_) => "neither",
        }
    }

    /// Returns why the other attempt was not opened, for logs.
    fn reason(self) -> &'static str {
        match self {
            HedgeEnd::First | HedgeEnd::Second => "",
            HedgeEnd::ReadOn(reason) | HedgeEnd::Neither(reason) => reason,
        }
    }
}

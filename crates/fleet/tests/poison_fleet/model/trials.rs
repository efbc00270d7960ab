//! How an instance runs a request: at once, as a trial that another instance grants, or not at all.

use std::{sync::Arc, time::Duration};

use rand::RngExt as _;

use fleet::suspect::{
    Decision, Record, Suspects,
    trial::{Span, Trial},
};

use super::{Event, Fleet, Grant, Message, RETRY_DELAY, Request, milliseconds};

/// Time after its start for which an instance waits for what its peers know.
const SETTLING_PERIOD: Duration = Duration::from_millis(300);
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest trial of an attribute.
const ATTRIBUTE_TRIAL_TIME: Duration = Duration::from_secs(2);
/// Requests for a trial after which an instance grants it itself.
const MAX_TRIAL_REQUESTS: u32 = 2;

impl Fleet<'_> {
    pub(super) fn evaluate(&mut self, index: usize) {
        if !self.is_live(index) {
            return self.release_trial(index);
        }
        let Request { content, instance, .. } = self.requests[index];
        let state = &self.instances[instance];
        if !state.is_informed && self.now < state.started + SETTLING_PERIOD {
            return self.schedule(milliseconds(1), Event::Evaluate { request: index });
        }
        let up = (0..self.servers.len()).filter(|server| self.servers[*server].is_up);
        let up: Vec<usize> = up.collect();
        let identity = self.requests[index].identity();
        match self.instances[instance].list.decide(self.now, &identity) {
            Decision::Reject(_) => {
                self.requests[index].has_ended = true;
                self.release_trial(index);
                if !self.requests[index].parts.is_empty() {
                    let is_sound = !self.requests[index].is_deadly();
                    self.outcome.sound_rejected += usize::from(is_sound);
                } else if self.plan.poisons <= content {
                    *self.outcome.wrongful.entry(content).or_default() += 1;
                }
            }
            Decision::Hold(wait) => self.schedule(wait, Event::Evaluate { request: index }),
            _ if up.is_empty() => self.schedule(RETRY_DELAY, Event::Evaluate { request: index }),
            Decision::Allow => {
                self.release_trial(index);
                let server = up[self.random.random_range(0..up.len())];
                self.send(index, server);
            }
            Decision::Try { suspects, .. } => {
                let trial = self.requests[index].trial.as_ref();
                let is_for = |trial: &&Grant| {
                    up.contains(&trial.server)
                        && suspects.iter().all(|suspect| trial.suspects.contains(suspect))
                };
                match trial.filter(is_for).map(|trial| trial.server) {
                    Some(server) => self.send(index, server),
                    None => {
                        self.release_trial(index);
                        let server = up[self.random.random_range(0..up.len())];
                        self.ask(index, server, &suspects);
                    }
                }
            }
        }
    }

    pub(super) fn ask(&mut self, index: usize, server: usize, suspects: &Suspects) {
        let Request { instance, unanswered, .. } = self.requests[index];
        let records = self.records(instance, suspects);
        // The oldest instances know of each other; a killed one is not heard for a while.
        let granter = self.granter();
        let id = self.new_id();
        if granter == instance || MAX_TRIAL_REQUESTS <= unanswered {
            let is_granted = self.grant(instance, index, id, server, suspects);
            let granted = is_granted.then(|| suspects.clone());
            return self.conclude(index, id, server, instance, granted);
        }
        self.requests[index].asked = Some(id);
        let message = Message::Ask { id, request: index, records, server };
        self.transmit(instance, granter, message);
        self.schedule(REPLY_TIMEOUT, Event::Timeout { request: index, id });
    }

    pub(super) fn records(&self, instance: usize, suspects: &Suspects) -> Vec<Record> {
        let list = &self.instances[instance].list;
        suspects.iter().filter_map(|suspect| list.get(self.now, suspect)).collect()
    }

    pub(super) fn granter(&self) -> usize {
        let oldest = self.instances.iter().enumerate();
        oldest.min_by_key(|(index, it)| (it.started, *index)).map_or(0, |(index, _)| index)
    }

    pub(super) fn grant(
        &mut self,
        granter: usize,
        request: usize,
        id: u64,
        server: usize,
        suspects: &Suspects,
    ) -> bool {
        let state = &self.requests[request];
        let fingerprint = state.identity().fingerprint;
        let remaining = state.deadline.saturating_sub(self.now);
        let spans = suspects.iter().map(|suspect| {
            let longest = if *suspect == fingerprint { remaining } else { ATTRIBUTE_TRIAL_TIME };
            Span { suspect: *suspect, lifetime: remaining.min(longest) }
        });
        let trial = Trial {
            id,
            spans: spans.collect(),
            started_at: self.now,
            server: Arc::from(server.to_string()),
            // Plain runs are short.
            is_exclusive: state.parts.is_empty(),
            holder: None,
        };
        self.instances[granter].trials.start(self.now, trial)
    }

    pub(super) fn conclude(
        &mut self,
        index: usize,
        id: u64,
        server: usize,
        by: usize,
        granted: Option<Suspects>,
    ) {
        let request = &mut self.requests[index];
        (request.asked, request.unanswered) = (None, 0);
        if let Some(suspects) = granted {
            request.trial = Some(Grant { id, suspects, server, granted_by: by });
            return self.evaluate(index);
        }
        self.schedule(RETRY_DELAY, Event::Evaluate { request: index });
    }

    pub(super) fn time_out(&mut self, index: usize, id: u64) {
        if self.requests[index].asked == Some(id) {
            self.requests[index].asked = None;
            self.requests[index].unanswered += 1;
            self.evaluate(index);
        }
    }

    pub(super) fn release_trial(&mut self, index: usize) {
        let Some(trial) = self.requests[index].trial.take() else { return };
        let instance = self.requests[index].instance;
        if trial.granted_by == instance {
            return self.instances[instance].trials.end(trial.id);
        }
        self.transmit(instance, trial.granted_by, Message::TrialEnd { id: trial.id });
    }
}

//! Trials of suspects: the requests for them, and the instance that grants them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fleet::suspect::{
    Decision, Record, Suspects,
    trial::{Span, Trial},
};
use smallvec::SmallVec;

use kernel::event::Event;
use serving::{Moment, Name, directory::Listing};

use crate::{
    entry::Entry,
    gate::Issuer,
    job::Job,
    mesh,
    message::{Message, TrialReply, TrialRequest},
};

/// Time after which a request for a trial counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest trial.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(60);
/// Longest trial of attributes alone: others with them must not wait for the end of a long stream.
const MAX_ATTRIBUTE_TRIAL_TIME: Duration = Duration::from_secs(2);
/// Limit on the suspects that a request for a trial tells of, so that it fits into a datagram.
const MAX_EVIDENCE: usize = 6;
/// Requests for a trial after which this instance grants it itself. An innocent request must not
/// depend on one peer.
const MAX_TRIAL_REQUESTS: usize = 2;

/// Trial that was granted to a request. It ends when this is dropped.
pub struct HeldTrial {
    entry: Arc<Entry>,
    pub trial: Trial,
    /// Peer that granted it, or `None` for this instance.
    granted_by: Option<SocketAddr>,
}

impl Entry {
    /// Obtains a trial of suspects on a server: of the request until its deadline at most, of
    /// attributes for a shorter time.
    pub async fn obtain_trial(
        self: &Arc<Entry>,
        job: &Job,
        server: &Listing,
        suspects: Suspects,
        is_exclusive: bool,
    ) -> Option<HeldTrial> {
        let remaining = job.remaining(self);
        let spans = suspects.iter().map(|suspect| {
            let is_request = *suspect == job.identity.fingerprint;
            let longest = if is_request { MAX_TRIAL_TIME } else { MAX_ATTRIBUTE_TRIAL_TIME };
            Span { suspect: *suspect, lifetime: remaining.min(longest) }
        });
        let request = TrialRequest {
            id: rand::random(),
            account: job.identity.account.clone(),
            spans: spans.collect(),
            evidence: self.records(&suspects),
            server: server.id.clone(),
            is_exclusive,
        };
        let trial = request.to_trial(None, self.now());
        let granted_by = self.request_trial(&server.service, &request).await?;
        log::info!(
            event = Event::Trial, request = &*job.meta.id, server = &*server.id,
            fingerprint:% = job.identity.fingerprint.short(),
            attributes = job.identity.suspect_names(&suspects), is_exclusive,
            granted_by:? = granted_by;
            "a suspect of a crash runs on trial"
        );
        metrics::counter!("chivelatch_trials_total").increment(1);
        Some(HeldTrial { entry: Arc::clone(self), trial, granted_by })
    }

    /// Requests a trial. Returns the peer that granted it, or `Some(None)` if this instance did.
    async fn request_trial(
        &self,
        service: &Name,
        request: &TrialRequest,
    ) -> Option<Option<SocketAddr>> {
        for _ in 0..MAX_TRIAL_REQUESTS {
            let (Some(Issuer::Peer(peer)), Some(socket)) =
                (self.elect(service), self.mesh_socket.get())
            else {
                break;
            };
            let awaited = self.quarantine.replies.expect(request.id);
            mesh::send(socket, peer, &Message::TrialRequest(request.clone())).await;
            if let Ok(reply) = self.kernel.clock.timeout(REPLY_TIMEOUT, awaited.reply()).await {
                self.record_suspects(&reply.evidence);
                return reply.is_granted.then_some(Some(peer));
            }
        }
        self.grant_trial(None, request).then_some(None)
    }

    /// Returns the response to a peer's request for a trial.
    pub fn answer_trial_request(&self, from: SocketAddr, request: &TrialRequest) -> TrialReply {
        self.record_suspects(&request.evidence);
        let suspects = request.spans.iter().map(|span| span.suspect).collect();
        let decision = self.decide_suspects(&request.account, &suspects);
        let may_try = matches!(decision, Decision::Try { .. } | Decision::Allow);
        let is_granted = may_try && self.grant_trial(Some(from), request);
        TrialReply { id: request.id, is_granted, evidence: self.records(&suspects) }
    }

    pub fn record_trial_reply(&self, reply: TrialReply) {
        self.quarantine.replies.record(reply.id, reply);
    }

    pub fn record_trial_end(&self, id: u64) {
        self.quarantine.trials.lock().end(id);
    }

    fn records(&self, suspects: &Suspects) -> SmallVec<[Record; 1]> {
        let (now, list) = (self.now(), self.quarantine.list.lock());
        suspects.iter().filter_map(|suspect| list.get(now, suspect)).take(MAX_EVIDENCE).collect()
    }

    fn grant_trial(&self, holder: Option<SocketAddr>, request: &TrialRequest) -> bool {
        let now = self.now();
        let heard = self.limiter.lock().members(now).heard;
        let trial = request.to_trial(holder, now);
        let mut trials = self.quarantine.trials.lock();
        trials.retain_holders(|holder| heard.iter().any(|(address, _)| *address == holder));
        trials.start(now, trial)
    }
}

impl TrialRequest {
    fn to_trial(&self, holder: Option<SocketAddr>, started_at: Moment) -> Trial {
        let limited = |span: &Span| Span { lifetime: span.lifetime.min(MAX_TRIAL_TIME), ..*span };
        Trial {
            id: self.id,
            spans: self.spans.iter().map(limited).collect(),
            started_at,
            server: self.server.clone(),
            is_exclusive: self.is_exclusive,
            holder,
        }
    }
}

impl Drop for HeldTrial {
    fn drop(&mut self) {
        let (entry, id) = (Arc::clone(&self.entry), self.trial.id);
        let Some(peer) = self.granted_by else { return entry.record_trial_end(id) };
        self.entry.kernel.spawn_detached(async move {
            if let Some(socket) = entry.mesh_socket.get() {
                mesh::send(socket, peer, &Message::TrialEnd { id }).await;
            }
        });
    }
}

//! Trials of suspects: the requests for them, and the instance that grants them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fleet::suspect::{Decision, Record, Suspects, trial::Trial};
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
    id: u64,
    pub suspects: Suspects,
    server: Name,
    ends_at: Moment,
    /// Peer that granted it, or `None` for this instance.
    granted_by: Option<SocketAddr>,
}

impl Entry {
    /// Obtains a trial of suspects on a server, which lasts until the deadline of the request at
    /// most.
    pub async fn obtain_trial(
        self: &Arc<Entry>,
        job: &Job,
        server: &Listing,
        suspects: Suspects,
        is_exclusive: bool,
    ) -> Option<HeldTrial> {
        let has_request = suspects.contains(&job.identity.fingerprint);
        let max_lifetime = if has_request { MAX_TRIAL_TIME } else { MAX_ATTRIBUTE_TRIAL_TIME };
        let lifetime = job.remaining(self).min(max_lifetime);
        let request = TrialRequest {
            id: rand::random(),
            account: job.identity.account.clone(),
            evidence: self.records(&suspects),
            server: server.id.clone(),
            is_exclusive,
            lifetime,
        };
        let granted_by = self.request_trial(&server.service, &request).await?;
        log::info!(
            event = Event::Trial, request = &*job.meta.id, server = &*server.id,
            fingerprint:% = job.identity.fingerprint.short(),
            attributes = job.identity.suspect_names(&suspects), is_exclusive,
            granted_by:? = granted_by;
            "a suspect of a crash runs on trial"
        );
        metrics::counter!("chivelatch_trials_total").increment(1);
        Some(HeldTrial {
            entry: Arc::clone(self),
            id: request.id,
            suspects,
            server: request.server,
            ends_at: self.now() + lifetime,
            granted_by,
        })
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
        let suspects = request.suspects();
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
        let trial = Trial {
            id: request.id,
            suspects: request.suspects(),
            server: request.server.clone(),
            is_exclusive: request.is_exclusive,
            holder,
            ends_at: now + request.lifetime.min(MAX_TRIAL_TIME),
        };
        let mut trials = self.quarantine.trials.lock();
        trials.retain_holders(|holder| heard.iter().any(|(address, _)| *address == holder));
        trials.start(now, trial)
    }
}

impl HeldTrial {
    /// Returns whether the trial is on this server, of all these suspects, and not over.
    pub fn is_for(&self, server: &Listing, suspects: &Suspects, now: Moment) -> bool {
        let has_all = suspects.iter().all(|suspect| self.suspects.contains(suspect));
        self.server == server.id && has_all && now < self.ends_at
    }
}

impl TrialRequest {
    fn suspects(&self) -> Suspects {
        self.evidence.iter().map(|record| record.digest).collect()
    }
}

impl Drop for HeldTrial {
    fn drop(&mut self) {
        let (entry, id) = (Arc::clone(&self.entry), self.id);
        let Some(peer) = self.granted_by else { return entry.record_trial_end(id) };
        self.entry.kernel.spawn_detached(async move {
            if let Some(socket) = entry.mesh_socket.get() {
                mesh::send(socket, peer, &Message::TrialEnd { id }).await;
            }
        });
    }
}

//! A validated request of a caller. Its target, body and fingerprint are the same in
//! all of its attempts.

use std::sync::Arc;

use fleet::{
    Name,
    change::{Repeat, Urgency},
    digest::Digest,
    lease::Moment,
    suspect::{Attribute, Identity},
};
use wire::frame::{Attempt, AttemptId, Isolation, Target};

/// Everything needed to send attempts of a request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Id of the request in answers, logs and journals.
    pub(crate) request_id: Name,
    pub(crate) account: Name,
    /// Id of the caller's key; `None` on routes open to all.
    pub(crate) key: Option<Name>,
    pub(crate) target: Target,
    pub(crate) method: Name,
    pub(crate) path: Name,
    pub(crate) content_type: Name,
    pub(crate) body: Arc<[u8]>,
    /// Tokens to reserve for the request.
    pub(crate) cost: u64,
    pub(crate) repeat: Repeat,
    pub(crate) urgency: Urgency,
    pub(crate) fingerprint: Digest,
    pub(crate) arrived_at: Moment,
    /// Time by which the answer has to start.
    pub(crate) deadline: Moment,
}

impl Job {
    /// Returns what the request is known by if it crashes an engine, and the adapter that it may
    /// have in common with others that do.
    pub(crate) fn identity(&self) -> Identity {
        let mut identity = Identity::of_request(self.fingerprint, Arc::clone(&self.account));
        if let Target::Adapter { adapter, version } = &self.target {
            identity.attributes.push(Attribute::new("adapter", &format!("{adapter}@{version}")));
        }
        identity
    }

    /// Returns the service whose servers run the request: a route, or the model engines.
    pub(crate) fn service(&self) -> Name {
        match &self.target {
            Target::Adapter { .. } => Arc::from("engines"),
            Target::Route { route } => Arc::clone(route),
        }
    }

    /// Builds the frame that sends an attempt to a side process. Its time budget is what
    /// remains at `now` until the deadline.
    pub(crate) fn to_attempt(&self, now: Moment, attempt: u32, isolation: Isolation) -> Attempt {
        Attempt {
            id: AttemptId { request: Arc::clone(&self.request_id), attempt },
            account: Arc::clone(&self.account),
            target: self.target.clone(),
            method: Arc::clone(&self.method),
            path: Arc::clone(&self.path),
            content_type: Arc::clone(&self.content_type),
            body: self.body.to_vec(),
            cost: self.cost,
            time_budget: self.deadline.saturating_sub(now),
            repeat: self.repeat,
            urgency: self.urgency,
            isolation,
            fingerprint: self.fingerprint,
        }
    }
}

/// Returns the digest of what a request does. It is the same for every caller and attempt.
pub(crate) fn fingerprint(target: &Target, method: &str, path: &str, body: &[u8]) -> Digest {
    let target = match target {
        Target::Adapter { adapter, version } => format!("adapter {adapter}@{version}"),
        Target::Route { route } => format!("route {route}"),
    };
    Digest::of_parts([target.as_bytes(), method.as_bytes(), path.as_bytes(), body])
}

//! Streams that a caller takes up in another attempt, and the origins of streams that begin.

use std::{sync::Arc, time::Duration};

use hyper::StatusCode;

use kernel::event::Event;
use serving::{
    Name,
    directory::Listing,
    origin::{Answer, Key, Origin, Progress, Record},
};

use crate::{
    answer::Rejection, entry::Entry, exchange::ProcessCheck, job::Job, origin::Process,
    ports::Dialect, serve::DEFAULT_RETRY_AFTER,
};

/// Share of a caller's remaining time in which the holders of a stream's origin may answer.
const LOOKUP_SHARE: f64 = 0.2;
/// Longest time in which they may answer.
const MAX_LOOKUP_TIME: Duration = Duration::from_millis(800);
/// The same where the store may tell the version, too.
const SHORT_LOOKUP_TIME: Duration = Duration::from_millis(150);

/// Why a stream that a caller takes up cannot go on.
#[derive(Clone, Copy, Debug)]
enum UnknownOrigin {
    /// The caller does not name the attempt that began it.
    Unnamed,
    Unknown,
    Contradictory,
}

impl UnknownOrigin {
    fn name(self) -> &'static str {
        match self {
            UnknownOrigin::Unnamed => "unnamed",
            UnknownOrigin::Unknown => "unknown",
            UnknownOrigin::Contradictory => "contradictory",
        }
    }

    /// Returns the reason that the caller gets.
    fn reason(self) -> &'static str {
        match self {
            UnknownOrigin::Unnamed => {
                "the attempt that began the stream is not named; begin a new one"
            }
            UnknownOrigin::Unknown => {
                "nobody knows which version began the stream; begin a new one"
            }
            UnknownOrigin::Contradictory => {
                "the stream's id was used for two streams; begin a new one"
            }
        }
    }
}

impl Job {
    /// Finds out at which version a stream must go on, if the caller takes one up.
    ///
    /// # Errors
    ///
    /// Returns the rejection if it cannot go on.
    pub async fn resolve_take_up(&mut self, entry: &Arc<Entry>) -> Result<(), Rejection> {
        if self.meta.last_event_id.is_none() || !self.grant.route.retry_policy.is_stream() {
            return Ok(());
        }
        if !self.can_rerun() {
            log_take_up(self, "not_resumable", None);
            let reason = "streams of this route cannot be resumed; begin a new one";
            return Err(Rejection::plain(StatusCode::BAD_REQUEST, reason));
        }
        match self.find_origin(entry).await {
            Ok((origin, source)) => {
                log_take_up(self, source, Some(&origin));
                self.progress = Progress::Begun(origin);
                Ok(())
            }
            Err(unknown) => {
                log_take_up(self, unknown.name(), None);
                Err(Rejection::later(unknown.reason(), DEFAULT_RETRY_AFTER))
            }
        }
    }

    /// Finds the origin of the stream that the caller takes up, and how it is known.
    async fn find_origin(
        &self,
        entry: &Arc<Entry>,
    ) -> Result<(Origin, &'static str), UnknownOrigin> {
        let limit = self.remaining(entry).mul_f64(LOOKUP_SHARE).min(MAX_LOOKUP_TIME);
        let sole_service = self.sole_service().filter(|it| entry.may_have_sole_version(it));
        let unknown = match &self.meta.first_attempt {
            None => UnknownOrigin::Unnamed,
            Some(first_attempt) => {
                let key = self.stream_key(first_attempt);
                let limit =
                    if sole_service.is_some() { limit.min(SHORT_LOOKUP_TIME) } else { limit };
                let mut found = (entry.find_origin(&key, limit).await, "told");
                if found.0 == Answer::Unknown && sole_service.is_none() {
                    found = (entry.archived_origin(&key, limit).await, "archived");
                }
                match found {
                    (Answer::Known(origin), source) => {
                        self.pass_on_origin(entry, key, &origin).await;
                        return Ok((origin, source));
                    }
                    (Answer::Unknown, _) => UnknownOrigin::Unknown,
                    (Answer::Contradictory, _) => return Err(UnknownOrigin::Contradictory),
                }
            }
        };
        let Some(service) = sole_service else { return Err(unknown) };
        let origin = entry.sole_version(service, limit).await;
        origin.map(|origin| (origin, "sole_version")).ok_or(unknown)
    }

    /// Tells the origin of a stream that the caller takes up to its holders, who may have changed.
    async fn pass_on_origin(&self, entry: &Arc<Entry>, key: Key, origin: &Origin) {
        let remaining = self.caller_deadline.saturating_sub(entry.now());
        entry.announce_origin(Record { key, origin: origin.clone(), remaining }, None).await;
    }

    /// Returns the service of the route, if it has only one: a stream that nobody knows may have begun
    /// at any of them.
    fn sole_service(&self) -> Option<&Name> {
        match &self.grant.route.targets[..] {
            [(service, _)] => Some(service),
            _ => None,
        }
    }

    /// Records that the first event of a resumable stream goes to the caller, from this server. The
    /// stream then goes on only at the server's version.
    pub async fn begin_stream(&mut self, entry: &Arc<Entry>, server: &Listing) {
        if self.progress.has_begun() {
            return;
        }
        let (service, version) = (server.service.clone(), server.version.clone());
        let origin = Origin { service, version };
        let key = self.stream_key(&self.meta.id);
        let remaining = self.caller_deadline.saturating_sub(entry.now());
        let record = Record { key, origin: origin.clone(), remaining };
        if !entry.is_listed_process(server) {
            self.progress = Progress::Unknown;
            entry.contradict_origin(record, server);
            return;
        }
        self.progress = Progress::Begun(origin);
        if entry.status_report(server).is_none() && server.born_ms != 0 {
            entry.examine_origin(record, server, check(entry, server));
            return;
        }
        let source = Process { server: server.id.clone(), born_ms: server.born_ms };
        entry.announce_origin(record, Some(source)).await;
    }

    /// Checks before a stream goes on elsewhere whether the version that began it is still known.
    /// `is_broken_off` states that its server has ended it.
    pub async fn review_progress(&mut self, entry: &Entry, is_broken_off: bool) {
        let Progress::Begun(_) = self.progress else { return };
        let key = self.stream_key(&self.meta.id);
        if !entry.confirm_origin(&key, self.remaining(entry)).await {
            self.progress = Progress::Unknown;
        } else if is_broken_off {
            entry.record_broken_off(&key);
        }
    }

    /// Records that the server of a stream has ended it while another one was about to take it.
    pub fn record_broken_off(&self, entry: &Entry) {
        entry.record_broken_off(&self.stream_key(&self.meta.id));
    }

    /// Returns the check of a server's process before a stream goes on there, unless its listing
    /// states no start.
    pub(super) fn process_check(&self, entry: &Entry, server: &Listing) -> Option<ProcessCheck> {
        (self.progress.has_begun() && server.born_ms != 0).then(|| check(entry, server))
    }

    fn stream_key(&self, first_attempt: &str) -> Key {
        let account = self.grant.account.as_ref().map(|account| account.name.clone());
        Key::new(&account.unwrap_or_default(), first_attempt)
    }
}

/// Returns the question which process a server is.
fn check(entry: &Entry, server: &Listing) -> ProcessCheck {
    let Dialect { process_query: query, parse_process: parse, .. } = entry.dialect;
    let manifest = entry.manifest();
    let service = manifest.as_ref().and_then(|manifest| manifest.services.get(&server.service));
    let is_answer_due = service.is_some_and(|service| service.engine.is_some());
    ProcessCheck { query, parse, is_answer_due }
}

fn log_take_up(job: &Job, outcome: &'static str, origin: Option<&Origin>) {
    metrics::counter!("chivelatch_take_ups_total", "outcome" => outcome).increment(1);
    log::info!(
        event = Event::TakeUp, request = &*job.meta.id, outcome,
        resumes = job.meta.first_attempt.as_deref().unwrap_or(""),
        version = origin.map_or("", |origin| &origin.version);
        "the caller takes a stream up"
    );
}

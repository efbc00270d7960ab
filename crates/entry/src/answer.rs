//! Answers to callers, and the settlement of the tokens that were reserved for them.

use std::sync::Arc;

use hyper::{Response, StatusCode};

use front::body::{self, Body};
use quota::pool::Reservation;

use crate::{
    Entry, admission,
    attempt::{Buffered, ServerAnswer},
    job::Job,
    rejection::{Outcome, Rejection, add_standard_headers},
    relay,
};

/// A job and the tokens reserved for it, which are settled when it ends.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedJob {
    pub(crate) reservation: Reservation,
    pub(crate) job: Job,
}

/// Returns the answer of a server as the response to its caller. A stream is relayed by a
/// background task.
pub(crate) async fn respond(
    entry: &Arc<Entry>,
    admitted: AdmittedJob,
    answer: ServerAnswer,
) -> Response<Body> {
    let waited = entry.node.now() - admitted.job.arrived_at;
    let account = admitted.job.account.to_string();
    metrics::histogram!("chivelatch_first_token_seconds", "account" => account)
        .record(waited.as_secs_f64());
    match answer {
        ServerAnswer::Buffered(buffered) => {
            let used = buffered.tokens.unwrap_or(admitted.job.cost);
            settle(entry, &admitted, used).await;
            count(&admitted.job, Outcome::Completed);
            respond_buffered(&admitted.job.request_id, buffered)
        }
        ServerAnswer::Stream(stream) => relay::respond(entry, admitted, stream),
    }
}

/// Returns a buffered answer with the standard headers.
pub(crate) fn respond_buffered(request: &str, buffered: Buffered) -> Response<Body> {
    let status = StatusCode::from_u16(buffered.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = body::full(status, &buffered.content_type, buffered.body);
    add_standard_headers(&mut response, request, Outcome::Completed);
    response
}

/// Refunds or charges the difference between the reserved and the used tokens.
pub(crate) async fn settle(entry: &Entry, admitted: &AdmittedJob, used: u64) {
    admission::settle(entry, &admitted.job.account, &admitted.reservation, used).await;
}

/// Refunds the whole reservation if the request did not run.
pub(crate) async fn settle_rejected(entry: &Entry, admitted: &AdmittedJob, rejection: &Rejection) {
    if rejection.outcome == Outcome::NotRun {
        settle(entry, admitted, 0).await;
    }
}

/// Counts a request by account and outcome.
pub(crate) fn count(job: &Job, outcome: Outcome) {
    let account = job.account.to_string();
    metrics::counter!(
        "chivelatch_requests_total", "account" => account, "outcome" => outcome.name()
    )
    .increment(1);
}

//! Answering the caller, and settling the account's reservation.

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

/// What is needed to settle a request once it has ended.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedJob {
    pub(crate) reservation: Reservation,
    pub(crate) job: Job,
}

/// Passes a begun answer on to its caller.
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

/// A whole answer with the headers that every answer has.
pub(crate) fn respond_buffered(request: &str, buffered: Buffered) -> Response<Body> {
    let status = StatusCode::from_u16(buffered.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = body::whole(status, &buffered.content_type, buffered.body);
    add_standard_headers(&mut response, request, Outcome::Completed);
    response
}

/// Corrects the reservation of a request that used `used` tokens.
pub(crate) async fn settle(entry: &Entry, admitted: &AdmittedJob, used: u64) {
    admission::settle(entry, &admitted.job.account, &admitted.reservation, used).await;
}

/// Gives everything back when nothing ran.
pub(crate) async fn settle_rejected(entry: &Entry, admitted: &AdmittedJob, rejection: &Rejection) {
    if rejection.outcome == Outcome::NotRun {
        settle(entry, admitted, 0).await;
    }
}

/// Counts a request by how it ended.
pub(crate) fn count(job: &Job, outcome: Outcome) {
    let account = job.account.to_string();
    metrics::counter!(
        "chivelatch_requests_total", "account" => account, "outcome" => outcome.name()
    )
    .increment(1);
}

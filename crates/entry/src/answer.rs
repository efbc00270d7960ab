//! Answering the caller, and settling the account's reservation.

use std::sync::Arc;

use hyper::{Response, StatusCode};

use front::body::{self, Body};
use quota::pool::Reservation;

use crate::{
    Entry, admission,
    attempt::{Started, Whole},
    job::Job,
    rejection::{Outcome, Rejection, add_standard_headers},
    relay,
};

/// What is needed to settle a request once it has ended.
#[derive(Clone, Debug)]
pub(crate) struct Receipt {
    pub(crate) reservation: Reservation,
    pub(crate) job: Job,
}

/// Passes a begun answer on to its caller.
pub(crate) async fn respond(
    entry: &Arc<Entry>,
    receipt: Receipt,
    started: Started,
) -> Response<Body> {
    let waited = entry.node.now() - receipt.job.arrived;
    let account = receipt.job.account.to_string();
    metrics::histogram!("chivelatch_first_token_seconds", "account" => account)
        .record(waited.as_secs_f64());
    match started {
        Started::Whole(whole) => {
            let used = whole.tokens.unwrap_or(receipt.job.cost);
            settle(entry, &receipt, used).await;
            count(&receipt.job, Outcome::Completed);
            respond_whole(&receipt.job.request, whole)
        }
        Started::Stream(stream) => relay::respond(entry, receipt, stream),
    }
}

/// A whole answer with the headers that every answer has.
pub(crate) fn respond_whole(request: &str, whole: Whole) -> Response<Body> {
    let status = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = body::whole(status, &whole.content_type, whole.body);
    add_standard_headers(&mut response, request, Outcome::Completed);
    response
}

/// Corrects the reservation of a request that used `used` tokens.
pub(crate) async fn settle(entry: &Entry, receipt: &Receipt, used: u64) {
    admission::settle(entry, &receipt.job.account, &receipt.reservation, used).await;
}

/// Gives everything back when nothing ran.
pub(crate) async fn settle_rejected(entry: &Entry, receipt: &Receipt, rejection: &Rejection) {
    if rejection.outcome == Outcome::NotRun {
        settle(entry, receipt, 0).await;
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

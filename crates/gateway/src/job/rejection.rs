//! Rejections of a request, and its charge, which is refunded if it did not run anywhere.

use std::time::Duration;

use front::body::Body;
use futures_lite::future;
use hyper::{Response, StatusCode};

use kernel::event::Event;
use serving::{Moment, manifest::Account, rate_limit::Admission};

use crate::{
    answer::{self, Rejection},
    entry::Entry,
    job::Job,
    quarantine, stop,
};

impl Job {
    /// Charges the request to the client account. At an instance that has just started, the request
    /// may wait for that until `wait_until`.
    ///
    /// # Errors
    ///
    /// Returns the rejection if the account's rate limit is exceeded.
    pub async fn charge(&mut self, entry: &Entry, wait_until: Moment) -> Result<(), Rejection> {
        let Some(account) = self.grant.account.clone() else { return Ok(()) };
        let units = account.units(self.meta.tokens.map(|(prompt, output)| prompt + output));
        loop {
            let now = entry.now();
            let admission = entry.limiter.lock().admit(now, &account, units, wait_until);
            match admission {
                Admission::Granted => {
                    self.charge = Some((units, now));
                    return Ok(());
                }
                Admission::Wait(_) if entry.stop.is_drain_over() => return Err(stop::rejection()),
                Admission::Wait(pause) => {
                    let _drain_over = entry.timeout(pause, future::pending::<()>()).await;
                }
                Admission::Rejected(retry_after) => {
                    return Err(self.over_rate(&account, units, retry_after));
                }
            }
        }
    }

    /// Returns the rejection of a request beyond the account's rate limit.
    fn over_rate(&self, account: &Account, units: u64, retry_after: Duration) -> Rejection {
        log::info!(
            event = Event::OverRate, request = &*self.meta.id,
            account = &*account.name, units, rate = account.rate, burst = account.burst;
            "the client account's rate is used up"
        );
        Rejection {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: "the client account's rate is used up",
            retry_after: Some(retry_after),
        }
    }

    /// Returns the rejection after the last attempt. It invites a retry only if the request did not
    /// run anywhere.
    pub fn final_rejection(&self, reason: &'static str, retry_after: Duration) -> Rejection {
        if self.runs == 0 {
            return Rejection::later(reason, retry_after);
        }
        let status =
            if self.has_timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        Rejection::plain(status, reason)
    }

    /// Rejects the request. Refunds its charge if it did not run anywhere.
    pub fn reject(&mut self, entry: &Entry, rejection: &Rejection) -> Response<Body> {
        self.is_finished = true;
        if let (0, Some((units, charged_at)), Some(account)) =
            (self.runs, self.charge.take(), &self.grant.account)
        {
            entry.limiter.lock().refund(entry.now(), account, units, charged_at);
        }
        answer::log_rejection(&self.meta, rejection, entry.now().saturating_sub(self.arrived));
        answer::rejection_response(entry, Some(&self.meta.id), rejection)
    }

    /// Returns the rejection of a request that crashed the servers that ran it.
    pub fn quarantine_rejection(&self, retry_after: Duration) -> Rejection {
        let blamed = self.entry.rejected_suspects(&self.identity);
        log::info!(
            event = Event::Quarantine, request = &*self.meta.id,
            fingerprint:% = self.identity.fingerprint.short(),
            attributes = self.identity.suspect_names(&blamed),
            retry_after_ms = retry_after.as_millis() as u64;
            "rejecting a request that, or attributes of which, crashed the servers that ran it"
        );
        metrics::counter!("chivelatch_quarantine_rejections_total").increment(1);
        self.final_rejection(quarantine::REASON, retry_after)
    }
}

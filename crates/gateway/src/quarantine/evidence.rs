//! Evidence on crashes of servers, and on the requests that ran there.

use std::{collections::BTreeSet, io::ErrorKind, sync::Arc, time::Duration};

use fleet::suspect::{Identity, Record};

use kernel::event::Event;
use serving::{
    Moment, Name,
    breakage::{self, Attempt, Step},
    directory::Listing,
};

use crate::entry::Entry;

/// Time in which a live server accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which the server of an attempt that its caller left is examined.
const ABANDONED_DELAY: Duration = Duration::from_millis(100);

impl Entry {
    /// Finds out whether a server has crashed under an attempt whose connection broke, and if so,
    /// records the request as a suspect.
    pub async fn examine_break(self: Arc<Entry>, request: Name, server: Listing, attempt: Attempt) {
        let crash = breakage::crash_id(&server);
        let quarantine = &self.quarantine;
        let step = self.with_mirror(|mirror| {
            let directory = &mirror.directory;
            quarantine.breakage.lock().record(self.now(), &server, directory, attempt.clone())
        });
        if step == Step::Ignore {
            return;
        }
        log::info!(
            event = Event::Suspect, request = &*request, server = &*server.id,
            born_ms = server.born_ms, fingerprint:% = attempt.request.fingerprint.short(),
            attributes = attempt.request.attribute_names(), is_trial = !attempt.on_trial.is_empty();
            "the connection broke; finding out whether the server has crashed"
        );
        if quarantine.list.lock().crashed_at(crash).is_some() {
            return self.record_crash(&server, "known");
        }
        if step == Step::Await {
            return self.await_examination(crash).await;
        }
        self.probe(&server).await;
    }

    /// Tries a new connection to a server with broken attempts.
    async fn probe(&self, server: &Listing) {
        let crash = breakage::crash_id(server);
        let quarantine = &self.quarantine;
        match self.pool.connect(server.address, PROBE_TIMEOUT).await {
            Ok(connection) => {
                self.pool.release(connection, None);
                quarantine.breakage.lock().record_connection(crash);
            }
            Err(services::http::Error::Timeout { .. }) => self.record_crash(server, "silent"),
            Err(services::http::Error::Connect { source, .. })
                if source.kind() == ErrorKind::ConnectionRefused =>
            {
                self.record_crash(server, "refused");
            }
            Err(_) => quarantine.breakage.lock().record_connection(crash),
        }
        quarantine.examined.notify(usize::MAX);
    }

    /// Keeps an attempt in mind that its caller left, and finds out a little later whether its server
    /// has crashed.
    pub async fn examine_abandoned(
        self: Arc<Entry>,
        request: Name,
        server: Listing,
        attempt: Attempt,
    ) {
        self.kernel.clock.sleep(ABANDONED_DELAY).await;
        let has_open = self.pool.has_open(server.address);
        if !has_open {
            return self.examine_break(request, server, attempt).await;
        }
        let crash = breakage::crash_id(&server);
        let now = self.now();
        self.with_mirror(|mirror| {
            let mut breakage = self.quarantine.breakage.lock();
            if breakage.record(now, &server, &mirror.directory, attempt) == Step::Probe {
                breakage.record_connection(crash);
            }
        });
    }

    /// Finds out whether a server that refuses connections has crashed under requests.
    pub fn examine_unreachable(self: &Arc<Entry>, server: &Listing) {
        let crash = breakage::crash_id(server);
        if !self.quarantine.breakage.lock().contains(crash) {
            return;
        }
        let (entry, server) = (Arc::clone(self), server.clone());
        self.kernel.spawn_detached(async move { entry.probe(&server).await });
    }

    async fn await_examination(&self, crash: u64) {
        let deadline = self.now() + PROBE_TIMEOUT;
        loop {
            let examined = self.quarantine.examined.listen();
            let remaining = deadline.saturating_sub(self.now());
            if !self.quarantine.breakage.lock().is_probing(crash) || remaining.is_zero() {
                return;
            }
            let _examined_or_timed_out = self.kernel.clock.timeout(remaining, examined).await;
        }
    }

    /// Records the requests whose attempts broke at a server that has crashed as suspects.
    fn record_crash(&self, server: &Listing, evidence: &'static str) {
        let (now, crash) = (self.now(), breakage::crash_id(server));
        let reports = self.quarantine.breakage.lock().take(crash);
        let mut list = self.quarantine.list.lock();
        let is_new = list.crashed_at(crash).is_none();
        for report in &reports {
            list.record(now, report);
        }
        drop(list);
        if is_new {
            metrics::counter!("chivelatch_crashes_total").increment(1);
        }
        let fingerprints: Vec<String> =
            reports.iter().map(|report| report.request.fingerprint.short()).collect();
        let attributes: BTreeSet<Name> = reports
            .iter()
            .flat_map(|report| &report.request.attributes)
            .map(|attribute| attribute.name.clone())
            .collect();
        let attributes: Vec<Name> = attributes.into_iter().collect();
        log::warn!(
            event = Event::Crash, server = &*server.id, born_ms = server.born_ms, evidence,
            fingerprints = fingerprints.join(" "), attributes = attributes.join(" ");
            "a server crashed while requests ran there"
        );
        self.announced.notify(usize::MAX);
    }

    /// Records the crashes that the store tells of, and forgets what has expired.
    pub fn review_breakage(&self) {
        let now = self.now();
        if !self.quarantine.breakage.lock().is_empty() {
            let crashed = self.with_mirror(|mirror| {
                self.quarantine.breakage.lock().review(now, &mirror.directory)
            });
            crashed.iter().for_each(|server| self.record_crash(server, "listing"));
        }
        let mut list = self.quarantine.list.lock();
        list.expire(now);
        if list.has_unsaved() {
            self.quarantine.judged.notify(usize::MAX);
        }
        metrics::gauge!("chivelatch_suspects").set(list.open_count() as f64);
        metrics::gauge!("chivelatch_quarantined").set(list.quarantined(now).len() as f64);
    }

    /// Records that a request of a service has completed, so it is no poison request.
    pub fn record_completion(&self, request: &Identity, service: &Name, has_succeeded: bool) {
        let mut breakage = self.quarantine.breakage.lock();
        if !breakage.is_empty() {
            breakage.forget(&request.fingerprint);
        }
        drop(breakage);
        let mut list = self.quarantine.list.lock();
        let cleared = list.complete(self.now(), request, service, has_succeeded);
        drop(list);
        if cleared.is_empty() {
            return;
        }
        log::info!(
            event = Event::Cleared, fingerprint:% = request.fingerprint.short(),
            attributes = request.suspect_names(&cleared);
            "a suspect of a crash has completed"
        );
        metrics::counter!("chivelatch_cleared_total").increment(1);
        self.quarantine.judged.notify(usize::MAX);
        self.state_changed.notify(usize::MAX);
        self.announced.notify(usize::MAX);
    }

    /// Records a response of a server to a request that was sent at `sent_at` on a connection that
    /// was opened at `opened_at`. A server that still serves a connection from before its crash has
    /// not crashed.
    pub fn record_sign_of_life(&self, server: &Listing, opened_at: Moment, sent_at: Moment) {
        let mut list = self.quarantine.list.lock();
        if list.is_empty() {
            return;
        }
        let crash = breakage::crash_id(server);
        let is_alive = list
            .crashed_at(crash)
            .is_some_and(|crashed_at| opened_at < crashed_at && crashed_at < sent_at);
        if !is_alive || !list.refute(self.now(), crash) {
            return;
        }
        drop(list);
        log::info!(
            event = Event::Crash, server = &*server.id, born_ms = server.born_ms,
            evidence = "refuted";
            "the server has not crashed; it responds on an earlier connection"
        );
        self.state_changed.notify(usize::MAX);
        self.announced.notify(usize::MAX);
    }

    /// Records what peers know of suspects.
    pub fn record_suspects(&self, records: &[Record]) {
        let now = self.now();
        let mut list = self.quarantine.list.lock();
        let mut is_changed = false;
        for record in records {
            is_changed |= list.merge(now, record);
        }
        drop(list);
        if is_changed {
            self.state_changed.notify(usize::MAX);
        }
        let breakage = self.quarantine.breakage.lock();
        let runs = records.iter().flat_map(|record| &record.runs);
        let crashes = runs.filter(|run| !run.is_cleared);
        let crashed = crashes.filter_map(|run| breakage.server(run.crash));
        let crashed: Vec<Listing> = crashed.collect();
        drop(breakage);
        crashed.iter().for_each(|server| self.record_crash(server, "peer"));
    }
}

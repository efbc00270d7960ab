//! Whether the crashes that are known suffice for the quarantine of a suspect.
//!
//! A *request* is judged by its trials: whatever else ran at its crashes, a trial that ends in a
//! crash has one suspect on trial. An *attribute* is judged by what its requests have in common: it
//! was there at several crashes, one after the other, under different requests, and nothing with it
//! completes. While crashes do not tell several attributes apart, requests with all of them are
//! rejected, and those with some are tried.

use std::time::Duration;

use smallvec::SmallVec;

use crate::{
    digest::Digest,
    lease::Moment,
    suspect::{
        Kind, Suspects,
        list::{
            Crash, List, REPORT_PERIOD,
            state::{Run, Suspect},
        },
    },
};

/// Number of crashes, all but one on trial, after which a request is quarantined if nothing else may
/// have caused them.
const MIN_CRASHES: usize = 2;
/// Number of crashes that suffice without a trial, if nothing else may have caused them: copies of
/// the request were sent before the first crash was known.
const MIN_CRASHES_WITHOUT_TRIAL: usize = 3;
/// Number of crashes after which an attribute is quarantined if nothing else may have caused them.
/// By chance, one that few requests have is there at two.
const MIN_ATTRIBUTE_CRASHES: usize = 3;
/// Number of crashes after which an attribute is quarantined though another one was there at each.
const MAX_ATTRIBUTE_CRASHES: usize = 5;
/// Number of different requests at the crashes of an attribute, which tells it from one of them.
const MIN_REQUESTS: usize = 2;
/// Number of crashes from which an attribute is tried that has completed lately.
const MIN_CRASHES_FOR_TRIAL: usize = 2;
/// Further crashes that it takes if the suspect completed shortly before the first one.
const COMPLETED_EXTRA_CRASHES: usize = 2;
/// Further crashes that it takes for an attribute if servers of the service crash without it, too.
const OTHER_EXTRA_CRASHES: usize = 3;
/// Time between two crashes that may have a common cause other than a request.
const CROWD_PERIOD: Duration = Duration::from_secs(2);

/// What speaks against a request.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    /// Crashes at which no other request that was quarantined ran.
    crashes: usize,
    /// Those of them at which it was the only request on trial.
    trials: usize,
}

impl List {
    /// Returns whether the evidence against a suspect suffices for a quarantine.
    pub(super) fn is_sufficient(&self, digest: &Digest, suspect: &Suspect) -> bool {
        match suspect.kind {
            Kind::Request => self.is_sufficient_for_request(digest, suspect),
            Kind::Attribute => self.is_sufficient_for_attribute(digest, suspect),
        }
    }

    /// Returns whether requests with an attribute run beside each other while it is a suspect.
    pub(super) fn runs_freely(&self, digest: &Digest, suspect: &Suspect) -> bool {
        let crashes = || self.attribute_crashes(digest, suspect);
        suspect.quarantines == 0 && suspect.completed_before() && crashes() < MIN_CRASHES_FOR_TRIAL
    }

    /// Returns whether requests of the suspect's service that were no suspects have completed since
    /// its first crash, so that not all of them crash their servers.
    pub(super) fn have_others_completed(&self, suspect: &Suspect) -> bool {
        let first = suspect.open_runs().map(|run| run.at).min();
        let served_at = self.served.get(&suspect.service);
        first.zip(served_at).is_some_and(|(first, served_at)| first < *served_at)
    }

    fn is_sufficient_for_request(&self, digest: &Digest, suspect: &Suspect) -> bool {
        if 0 < suspect.quarantines {
            return 0 < suspect.fresh_trials();
        }
        if suspect.open_runs().count() < MIN_CRASHES {
            return false;
        }
        let evidence = self.evidence(digest, suspect);
        let is_crowded = self.has_crashes_around(digest, suspect);
        let has_completed = suspect.completed_before();
        let required = MIN_CRASHES
            + usize::from(self.is_covered(digest, suspect))
            + usize::from(is_crowded)
            + if has_completed { COMPLETED_EXTRA_CRASHES } else { 0 };
        let has_no_doubt = required == MIN_CRASHES;
        let is_sufficient_without_trial =
            has_no_doubt && MIN_CRASHES_WITHOUT_TRIAL <= evidence.crashes;
        let is_sufficient_on_trial =
            required <= evidence.crashes && required <= evidence.trials + 1;
        is_sufficient_on_trial || is_sufficient_without_trial
    }

    fn is_sufficient_for_attribute(&self, digest: &Digest, suspect: &Suspect) -> bool {
        if 0 < suspect.quarantines {
            return suspect.open_runs().any(|run| suspect.quarantined_until <= run.at);
        }
        if suspect.open_runs().count() < MIN_ATTRIBUTE_CRASHES {
            return false;
        }
        let mut requests: SmallVec<[u64; 8]> = suspect.open_runs().map(|run| run.request).collect();
        requests.sort_unstable();
        requests.dedup();
        let required = MIN_ATTRIBUTE_CRASHES
            + if suspect.completed_before() { COMPLETED_EXTRA_CRASHES } else { 0 }
            + if self.has_crashes_without(digest, suspect) { OTHER_EXTRA_CRASHES } else { 0 };
        let crashes = self.attribute_crashes(digest, suspect);
        MIN_REQUESTS <= requests.len() && required <= crashes
    }

    /// Returns the attributes that were there at each crash of an attribute, so that the crashes do
    /// not tell them apart. Beyond a number of crashes, there are none.
    pub(super) fn companions(&self, digest: &Digest, suspect: &Suspect) -> Suspects {
        let is_request = suspect.kind == Kind::Request;
        let has_few_crashes = suspect.open_runs().count() < MIN_ATTRIBUTE_CRASHES;
        if is_request
            || has_few_crashes && suspect.quarantines == 0
            || MAX_ATTRIBUTE_CRASHES <= self.attribute_crashes(digest, suspect)
        {
            return Suspects::new();
        }
        let companions = self.suspects.iter().filter(|(known, other)| {
            *known != digest
                && other.kind == Kind::Attribute
                && !other.completed_before()
                && other.covers(suspect)
        });
        companions.map(|(known, _)| *known).collect()
    }

    /// Returns the number of crashes that speak against an attribute. Of several at about the same
    /// time, those on trial count and one other: they may have a common cause, or nothing could
    /// complete in between.
    fn attribute_crashes(&self, digest: &Digest, suspect: &Suspect) -> usize {
        let unexplained = suspect.open_runs().filter(|run| !self.is_explained(digest, run));
        let mut unexplained: SmallVec<[&Run; 8]> = unexplained.collect();
        unexplained.sort_unstable_by_key(|run| run.at);
        let mut last: Option<Moment> = None;
        let counted = unexplained.into_iter().filter(|run| {
            let is_later = last.is_none_or(|last| last + REPORT_PERIOD <= run.at);
            if is_later {
                last = Some(run.at);
            }
            is_later || run.is_trial
        });
        counted.count()
    }

    /// Returns what speaks against a request.
    fn evidence(&self, digest: &Digest, suspect: &Suspect) -> Evidence {
        let runs = suspect.open_runs();
        let unexplained = runs.filter(|run| !self.is_explained(digest, run));
        let unexplained: SmallVec<[&Run; 4]> = unexplained.collect();
        let is_alone = |run: &Run| {
            let mut others = self.others_of_kind(digest, Kind::Request);
            !others.any(|other| {
                other.open_runs().any(|theirs| theirs.crash == run.crash && theirs.is_trial)
            })
        };
        let trials = unexplained.iter().filter(|run| run.is_trial && is_alone(run));
        Evidence { crashes: unexplained.len(), trials: trials.count() }
    }

    /// Returns whether something else explains a crash: another request ran there that is or was
    /// quarantined, or has an attribute that is.
    fn is_explained(&self, digest: &Digest, run: &Run) -> bool {
        self.quarantined_runs(digest, run.crash).any(|theirs| theirs.request != run.request)
    }

    /// Returns the runs at a crash of other suspects that are or were quarantined.
    fn quarantined_runs(&self, digest: &Digest, crash: u64) -> impl Iterator<Item = &Run> {
        let quarantined = self.others(digest).filter(|other| 0 < other.quarantines);
        quarantined.flat_map(Suspect::open_runs).filter(move |run| run.crash == crash)
    }

    /// Returns whether another request was there at each crash of a request.
    fn is_covered(&self, digest: &Digest, suspect: &Suspect) -> bool {
        let mut others = self.others_of_kind(digest, Kind::Request);
        others.any(|other| !other.completed_before() && other.covers(suspect))
    }

    /// Returns whether servers of the service crashed at about the time of the suspect's last crash
    /// without it, and without a request that was quarantined.
    fn has_crashes_around(&self, digest: &Digest, suspect: &Suspect) -> bool {
        let Some(last) = suspect.last_crash_at() else { return false };
        let is_around = |crash: &Crash| crash.at.abs_diff(last) < CROWD_PERIOD;
        self.has_other_crash(digest, suspect, is_around)
    }

    /// Returns whether servers of the service crashed since the first crash of an attribute without
    /// it, and without a request that was quarantined.
    fn has_crashes_without(&self, digest: &Digest, suspect: &Suspect) -> bool {
        let first = suspect.open_runs().map(|run| run.at).min();
        first.is_some_and(|first| {
            self.has_other_crash(digest, suspect, |crash: &Crash| first < crash.at)
        })
    }

    fn has_other_crash(
        &self,
        digest: &Digest,
        suspect: &Suspect,
        is_meant: impl Fn(&Crash) -> bool,
    ) -> bool {
        let mut crashes = self.crashes.iter().filter(|(_, crash)| {
            !crash.is_refuted && crash.service == suspect.service && is_meant(crash)
        });
        crashes.any(|(id, _)| {
            let is_absent = suspect.open_runs().all(|run| run.crash != *id);
            is_absent && self.quarantined_runs(digest, *id).next().is_none()
        })
    }

    fn others(&self, digest: &Digest) -> impl Iterator<Item = &Suspect> {
        let digest = *digest;
        let others = self.suspects.iter().filter(move |(known, _)| **known != digest);
        others.map(|(_, suspect)| suspect)
    }

    fn others_of_kind(&self, digest: &Digest, kind: Kind) -> impl Iterator<Item = &Suspect> {
        self.others(digest).filter(move |other| other.kind == kind)
    }
}

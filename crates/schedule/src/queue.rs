//! Bounded queue of requests that wait for a backend server.
//!
//! With the "fair" discipline, accounts are ordered by start-time fair queueing (Goyal, Vin and
//! Cheng, SIGCOMM 1996) with tokens as the unit of service.

use std::{collections::BTreeMap, collections::VecDeque, sync::Arc, time::Duration};

use snafu::Snafu;

use fleet::{Name, change::Urgency, lease::Moment};

use crate::discipline::{Discipline, Flow, Rank};

/// Waiting time after which a batch request is treated as interactive.
const BATCH_PROMOTION_AGE: Duration = Duration::from_secs(10);

/// Queued request.
#[derive(Clone, Debug)]
pub struct Item<T> {
    pub account: Name,
    /// Group of requests that run well together, such as those of one adapter.
    pub group: Name,
    /// Expected tokens of the request.
    pub cost: u64,
    pub urgency: Urgency,
    pub arrived: Moment,
    pub deadline: Moment,
    /// Payload of the queue's owner.
    pub work: T,
}

/// Readiness of the server for a request, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// The adapter is resident, or none is needed.
    Ready,
    /// The adapter has to be loaded first, and an adapter slot is available.
    Loadable,
    /// The server cannot run the request now, for example because no adapter slot is available.
    Blocked,
}

/// Rejection of a request because the queue is at its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the queue holds its limit of {limit} requests; try another server"))]
pub struct Full {
    pub limit: usize,
}

/// Bounded queue with a subqueue for each account.
#[derive(Debug)]
pub struct Queue<T> {
    discipline: &'static Discipline,
    /// Maximum number of queued requests.
    limit: usize,
    subqueues: BTreeMap<Name, Subqueue<T>>,
    /// Highest start tag of the requests served so far.
    virtual_time: u64,
}

/// Queued requests of one account.
#[derive(Debug)]
struct Subqueue<T> {
    /// Finish tag of the request served last, raised to the virtual time when the account becomes
    /// active again. It is the start tag of the account's next request.
    finish_tag: u64,
    /// Number of requests in a row that overtook the oldest one.
    overtaken: u32,
    /// Oldest first.
    items: VecDeque<Item<T>>,
}

/// Account with requests of one urgency, and its rank.
struct Candidate<'a> {
    urgency: Urgency,
    rank: Rank,
    account: &'a Name,
}

impl<T> Queue<T> {
    /// Creates a queue for at most `limit` requests.
    pub fn new(discipline: &'static Discipline, limit: usize) -> Queue<T> {
        Queue { discipline, limit, subqueues: BTreeMap::new(), virtual_time: 0 }
    }

    /// Adds a request to its account's queue.
    ///
    /// # Errors
    ///
    /// [`Full`] if the queue is at its limit; the request is dropped.
    pub fn push(&mut self, item: Item<T>) -> Result<(), Full> {
        if self.limit <= self.len() {
            return Err(Full { limit: self.limit });
        }
        let virtual_time = self.virtual_time;
        let subqueue = self.subqueues.entry(Arc::clone(&item.account)).or_insert_with(|| {
            Subqueue { finish_tag: virtual_time, overtaken: 0, items: VecDeque::new() }
        });
        if subqueue.items.is_empty() {
            subqueue.finish_tag = subqueue.finish_tag.max(virtual_time);
        }
        subqueue.items.push_back(item);
        Ok(())
    }

    /// Removes and returns the request to serve next, or `None` if the server can run none.
    /// `readiness` returns the readiness of the server for a request.
    pub fn pop(
        &mut self,
        now: Moment,
        readiness: impl Fn(&Item<T>) -> Readiness,
    ) -> Option<Item<T>> {
        let (account, index) = self.select(now, &readiness)?;
        let subqueue = self.subqueues.get_mut(&account)?;
        let item = subqueue.items.remove(index)?;
        subqueue.overtaken = if index == 0 { 0 } else { subqueue.overtaken + 1 };
        self.virtual_time = self.virtual_time.max(subqueue.finish_tag);
        subqueue.finish_tag += item.cost.max(1);
        self.remove_idle();
        Some(item)
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn take_expired(&mut self, now: Moment) -> Vec<Item<T>> {
        self.take_if(|item| item.deadline <= now)
    }

    /// Removes and returns the requests that meet `condition`.
    pub fn take_if(&mut self, condition: impl Fn(&Item<T>) -> bool) -> Vec<Item<T>> {
        let mut taken = Vec::new();
        for subqueue in self.subqueues.values_mut() {
            let (matching, kept) =
                std::mem::take(&mut subqueue.items).into_iter().partition(&condition);
            subqueue.items = kept;
            taken.extend::<VecDeque<_>>(matching);
        }
        self.remove_idle();
        taken
    }

    /// Returns whether any queued request meets `condition`.
    pub fn has(&self, condition: impl Fn(&Item<T>) -> bool) -> bool {
        self.subqueues.values().flat_map(|subqueue| &subqueue.items).any(condition)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.subqueues.values().map(|subqueue| subqueue.items.len()).sum()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the expected tokens of all queued requests.
    pub fn queued_tokens(&self) -> u64 {
        self.subqueues.values().flat_map(|subqueue| &subqueue.items).map(|item| item.cost).sum()
    }

    /// Selects the next request: the first account in the discipline's order with a request that
    /// the server can run, and the request's index. Interactive requests precede batch requests.
    fn select(
        &self,
        now: Moment,
        readiness: &impl Fn(&Item<T>) -> Readiness,
    ) -> Option<(Name, usize)> {
        let mut order: Vec<_> = self
            .subqueues
            .iter()
            .flat_map(|(account, subqueue)| self.candidates(now, account, subqueue))
            .collect();
        order.sort_unstable_by_key(|candidate| (candidate.urgency, candidate.rank));
        order.iter().find_map(|candidate| {
            let subqueue = &self.subqueues[candidate.account];
            let index = self.select_request(now, subqueue, candidate.urgency, readiness)?;
            Some((Arc::clone(candidate.account), index))
        })
    }

    /// Returns a candidate for each urgency of the account's requests.
    fn candidates<'a>(
        &self,
        now: Moment,
        account: &'a Name,
        subqueue: &Subqueue<T>,
    ) -> impl Iterator<Item = Candidate<'a>> + use<'a, T> {
        let candidate = |urgency: Urgency| {
            let oldest =
                subqueue.items.iter().find(|item| effective_urgency(now, item) == urgency)?;
            let flow = Flow { start_tag: subqueue.finish_tag, oldest_arrival: oldest.arrived };
            Some(Candidate { urgency, rank: (self.discipline.rank)(&flow), account })
        };
        [candidate(Urgency::Interactive), candidate(Urgency::Batch)].into_iter().flatten()
    }

    /// Selects the account's oldest request that the server can run. While the limit on overtaking
    /// allows it, a later request of a resident adapter precedes one that needs a load.
    fn select_request(
        &self,
        now: Moment,
        subqueue: &Subqueue<T>,
        urgency: Urgency,
        readiness: &impl Fn(&Item<T>) -> Readiness,
    ) -> Option<usize> {
        let readiness_at =
            |index: &usize| match effective_urgency(now, &subqueue.items[*index]) == urgency {
                true => readiness(&subqueue.items[*index]),
                false => Readiness::Blocked,
            };
        let mut indexes = 0..subqueue.items.len();
        let oldest = indexes.find(|index| readiness_at(index) != Readiness::Blocked)?;
        if self.discipline.max_overtakes <= subqueue.overtaken
            || readiness_at(&oldest) == Readiness::Ready
        {
            return Some(oldest);
        }
        let ready = indexes.find(|index| readiness_at(index) == Readiness::Ready);
        Some(ready.unwrap_or(oldest))
    }

    /// Removes accounts without requests. An account keeps its finish tag while the tag is ahead of
    /// the virtual time, so that it gains no credit by leaving and returning.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.subqueues
            .retain(|_, subqueue| !subqueue.items.is_empty() || virtual_time < subqueue.finish_tag);
    }
}

/// Returns the urgency of a request, promoted after a long wait so that batch requests do not
/// starve.
fn effective_urgency<T>(now: Moment, item: &Item<T>) -> Urgency {
    if BATCH_PROMOTION_AGE <= now.saturating_sub(item.arrived) {
        Urgency::Interactive
    } else {
        item.urgency
    }
}

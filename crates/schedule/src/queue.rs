//! Bounded queue of requests that wait for a backend server.
//!
//! Accounts are ordered by start-time fair queueing (Goyal, Vin and Cheng,
//! SIGCOMM 1996) with tokens as the unit of service.

use std::{collections::BTreeMap, collections::VecDeque, sync::Arc, time::Duration};

use fleet::{Name, change::Urgency, lease::Moment};
use snafu::Snafu;

use crate::discipline::{Discipline, Lane};

/// Wait after which a batch request counts as interactive.
const BATCH_PATIENCE: Duration = Duration::from_secs(10);

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Item<T> {
    pub account: Name,
    /// Requests with the same group run well together.
    pub group: Name,
    /// Tokens that the request is expected to take.
    pub cost: u64,
    pub urgency: Urgency,
    pub arrived: Moment,
    pub deadline: Moment,
    pub work: T,
}

/// How well a request suits the server at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fit {
    /// Its adapter is loaded.
    Ready,
    /// Its adapter has to be loaded first, and there is room.
    Loadable,
    /// No slot can be had.
    Blocked,
}

/// The queue takes no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the queue holds its limit of {limit} requests; try another server"))]
pub struct Full {
    pub limit: usize,
}

/// Requests that wait, by account.
#[derive(Debug)]
pub struct Queue<T> {
    discipline: &'static Discipline,
    limit: usize,
    lanes: BTreeMap<Name, Waiting<T>>,
    /// Start tag of the request served last.
    virtual_time: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    finish_tag: u64,
    overtaken: u32,
    items: VecDeque<Item<T>>,
}

impl<T> Queue<T> {
    pub fn new(discipline: &'static Discipline, limit: usize) -> Queue<T> {
        Queue { discipline, limit, lanes: BTreeMap::new(), virtual_time: 0 }
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// [`Full`] at the limit; the request is dropped.
    pub fn push(&mut self, item: Item<T>) -> Result<(), Full> {
        if self.limit <= self.len() {
            return Err(Full { limit: self.limit });
        }
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(Arc::clone(&item.account)).or_insert_with(|| Waiting {
            finish_tag: virtual_time,
            overtaken: 0,
            items: VecDeque::new(),
        });
        if lane.items.is_empty() {
            lane.finish_tag = lane.finish_tag.max(virtual_time);
        }
        lane.items.push_back(item);
        Ok(())
    }

    /// The request to serve next, of those that `fit` the server.
    pub fn pop(&mut self, now: Moment, fit: impl Fn(&Item<T>) -> Fit) -> Option<Item<T>> {
        let (account, index) = self.select(now, &fit)?;
        let lane = self.lanes.get_mut(&account)?;
        let item = lane.items.remove(index)?;
        lane.overtaken = if index == 0 { 0 } else { lane.overtaken + 1 };
        self.virtual_time = self.virtual_time.max(lane.finish_tag);
        lane.finish_tag += item.cost.max(1);
        self.forget_idle();
        Some(item)
    }

    /// Takes out the requests whose deadline has come.
    pub fn take_expired(&mut self, now: Moment) -> Vec<Item<T>> {
        self.take_if(|item| item.deadline <= now)
    }

    /// Takes out the requests that meet a condition.
    pub fn take_if(&mut self, condition: impl Fn(&Item<T>) -> bool) -> Vec<Item<T>> {
        let mut taken = Vec::new();
        for lane in self.lanes.values_mut() {
            let (out, kept) = std::mem::take(&mut lane.items).into_iter().partition(&condition);
            lane.items = kept;
            taken.extend::<VecDeque<_>>(out);
        }
        self.forget_idle();
        taken
    }

    /// Whether a request that meets a condition waits.
    pub fn has(&self, condition: impl Fn(&Item<T>) -> bool) -> bool {
        self.lanes.values().flat_map(|lane| &lane.items).any(condition)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.lanes.values().map(|lane| lane.items.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Tokens that wait.
    pub fn tokens(&self) -> u64 {
        self.lanes.values().flat_map(|lane| &lane.items).map(|item| item.cost).sum()
    }

    fn select(&self, now: Moment, fit: &impl Fn(&Item<T>) -> Fit) -> Option<(Name, usize)> {
        let candidates = self.lanes.iter().filter_map(|(account, lane)| {
            let index = self.select_in(lane, fit)?;
            let rank = (self.discipline.rank)(&Lane {
                start_tag: lane.finish_tag,
                oldest: lane.items.front()?.arrived,
            });
            Some((urgency(now, &lane.items[index]), rank, account, index))
        });
        let (_, _, account, index) =
            candidates.min_by_key(|(urgency, rank, ..)| (*urgency, *rank))?;
        Some((Arc::clone(account), index))
    }

    /// The account's oldest request that fits, or one that suits the server better
    /// while the oldest has not been overtaken too often.
    fn select_in(&self, lane: &Waiting<T>, fit: &impl Fn(&Item<T>) -> Fit) -> Option<usize> {
        let oldest = lane.items.iter().position(|item| fit(item) != Fit::Blocked)?;
        if self.discipline.overtakes <= lane.overtaken || fit(&lane.items[oldest]) == Fit::Ready {
            return Some(oldest);
        }
        let ready = lane.items.iter().position(|item| fit(item) == Fit::Ready);
        Some(ready.unwrap_or(oldest))
    }

    /// An idle account keeps its tag only while it lies ahead of the others.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.lanes.retain(|_, lane| !lane.items.is_empty() || virtual_time < lane.finish_tag);
    }
}

fn urgency<T>(now: Moment, item: &Item<T>) -> Urgency {
    if BATCH_PATIENCE <= now.saturating_sub(item.arrived) {
        Urgency::Interactive
    } else {
        item.urgency
    }
}

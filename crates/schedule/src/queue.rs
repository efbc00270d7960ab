//! Bounded queue of requests that wait for a backend server.
//!
//! Accounts are ordered by start-time fair queueing (Goyal, Vin and Cheng,
//! SIGCOMM 1996) with tokens as the unit of service.

use std::{collections::BTreeMap, collections::VecDeque, sync::Arc, time::Duration};

use snafu::Snafu;

use fleet::{Name, change::Urgency, lease::Moment};

use crate::discipline::{Discipline, Flow, Rank};

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

/// An account's turn to be served.
struct Turn<'a> {
    urgency: Urgency,
    rank: Rank,
    account: &'a Name,
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
    pub fn queued_tokens(&self) -> u64 {
        self.lanes.values().flat_map(|lane| &lane.items).map(|item| item.cost).sum()
    }

    /// The first account in the discipline's order that has a request that fits,
    /// interactive requests before batch ones.
    fn select(&self, now: Moment, fit: &impl Fn(&Item<T>) -> Fit) -> Option<(Name, usize)> {
        let mut order: Vec<_> =
            self.lanes.iter().flat_map(|(account, lane)| self.turns(now, account, lane)).collect();
        order.sort_unstable_by_key(|turn| (turn.urgency, turn.rank));
        order.iter().find_map(|turn| {
            let lane = &self.lanes[turn.account];
            let index = self.select_in(now, lane, turn.urgency, fit)?;
            Some((Arc::clone(turn.account), index))
        })
    }

    /// An account's turns, one for each urgency that it has requests of.
    fn turns<'a>(
        &self,
        now: Moment,
        account: &'a Name,
        lane: &Waiting<T>,
    ) -> impl Iterator<Item = Turn<'a>> + use<'a, T> {
        let turn = |wanted: Urgency| {
            let oldest = lane.items.iter().find(|item| urgency(now, item) == wanted)?;
            let view = Flow { start_tag: lane.finish_tag, oldest_arrival: oldest.arrived };
            Some(Turn { urgency: wanted, rank: (self.discipline.rank)(&view), account })
        };
        [turn(Urgency::Interactive), turn(Urgency::Batch)].into_iter().flatten()
    }

    /// The account's oldest request that fits, or one that suits the server better
    /// while the oldest has not been overtaken too often.
    fn select_in(
        &self,
        now: Moment,
        lane: &Waiting<T>,
        wanted: Urgency,
        fit: &impl Fn(&Item<T>) -> Fit,
    ) -> Option<usize> {
        let fit = |index: &usize| match urgency(now, &lane.items[*index]) == wanted {
            true => fit(&lane.items[*index]),
            false => Fit::Blocked,
        };
        let mut indexes = 0..lane.items.len();
        let oldest = indexes.find(|index| fit(index) != Fit::Blocked)?;
        if self.discipline.max_overtakes <= lane.overtaken || fit(&oldest) == Fit::Ready {
            return Some(oldest);
        }
        let ready = indexes.find(|index| fit(index) == Fit::Ready);
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

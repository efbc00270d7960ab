//! One backend server with its side process's decisions.

use std::collections::BTreeMap;

use fleet::lease::Moment;
use placement::{
    choice::Candidate,
    slots::{Key, Pin, SlotId, Slots},
};
use schedule::queue::{Fit, Item, Queue};

use crate::{combination::Combination, workload::Deployment};

const QUEUE_LIMIT: usize = 100_000;
/// Engine steps between two tokens of one request, at the tick of the model.
const TICKS_PER_STEP: u64 = 5;

/// A request at a server.
#[derive(Clone, Debug)]
pub struct Work {
    /// Position in the workload.
    pub request: usize,
    pub key: Key,
    pub output: u64,
}

/// A server.
pub struct Server {
    batch: usize,
    slots: Slots,
    queue: Queue<Work>,
    running: Vec<Running>,
    waiting: BTreeMap<SlotId, Vec<Work>>,
    pub tokens: u64,
    pub steps: u64,
}

#[derive(Debug)]
struct Running {
    work: Work,
    stay: SlotId,
    left: u64,
}

/// What happened at a server in a tick.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An adapter has to be loaded.
    Load {
        stay: SlotId,
        request: usize,
    },
    /// A request waits for a load.
    Stalled(usize),
    /// A request gave its first token.
    First(usize),
    Ended(usize),
}

impl Server {
    pub fn new(deployment: &Deployment, combination: &Combination) -> Server {
        Server {
            batch: deployment.batch,
            slots: Slots::new(deployment.slots, combination.find_eviction()),
            queue: Queue::new(combination.find_discipline(), QUEUE_LIMIT),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            tokens: 0,
            steps: 0,
        }
    }

    /// Takes in a request.
    pub fn push(&mut self, item: Item<Work>) {
        self.queue.push(item).expect("the limit is above any queue of the model");
    }

    /// What a probe would tell.
    pub fn candidate(&self, key: &Key) -> Candidate {
        Candidate {
            queued_tokens: self.queue.queued_tokens(),
            is_resident: self.slots.is_present(key),
            has_free_slot: self.slots.has_room(),
            ..Candidate::default()
        }
    }

    /// A load has ended.
    pub fn loaded(&mut self, stay: SlotId) {
        self.slots.load_succeeded(stay);
        let waiting = self.waiting.remove(&stay).unwrap_or_default();
        self.running.extend(waiting.into_iter().map(|work| Running::new(work, stay)));
    }

    /// Starts what can start, and decodes a step when it is time.
    pub fn tick(&mut self, now: Moment, tick: u64) -> Vec<Event> {
        let mut events = Vec::new();
        while self.running.len() < self.batch && self.start_next(now, &mut events) {}
        if tick.is_multiple_of(TICKS_PER_STEP) {
            self.step(&mut events);
        }
        events
    }

    fn start_next(&mut self, now: Moment, events: &mut Vec<Event>) -> bool {
        let slots = &self.slots;
        let item = self.queue.pop(now, |item| {
            if slots.is_present(&item.work.key) {
                Fit::Ready
            } else if slots.is_blocked(&item.work.key) {
                Fit::Blocked
            } else {
                Fit::Loadable
            }
        });
        let Some(Item { work, .. }) = item else { return false };
        match self.slots.pin(now, &work.key) {
            Pin::Resident(stay) => self.running.push(Running::new(work, stay)),
            Pin::Loading(stay) => self.wait(stay, work, events),
            Pin::Load { id: stay, .. } => {
                events.push(Event::Load { stay, request: work.request });
                self.wait(stay, work, events);
            }
            Pin::Blocked => {}
        }
        true
    }

    fn wait(&mut self, stay: SlotId, work: Work, events: &mut Vec<Event>) {
        events.push(Event::Stalled(work.request));
        self.waiting.entry(stay).or_default().push(work);
    }

    fn step(&mut self, events: &mut Vec<Event>) {
        if self.running.is_empty() {
            return;
        }
        self.steps += 1;
        self.tokens += self.running.len().min(self.batch) as u64;
        for running in self.running.iter_mut().take(self.batch) {
            if running.left == running.work.output {
                events.push(Event::First(running.work.request));
            }
            running.left -= 1;
        }
        for ended in self.running.extract_if(.., |running| running.left == 0) {
            self.slots.unpin(ended.stay);
            events.push(Event::Ended(ended.work.request));
        }
    }
}

impl Running {
    fn new(work: Work, stay: SlotId) -> Running {
        Running { left: work.output, stay, work }
    }
}

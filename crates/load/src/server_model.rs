//! Simulation of one backend server: the engine's batches and the decisions of the side process
//! on queue and adapter slots.

use std::collections::BTreeMap;

use fleet::lease::Moment;
use placement::{
    choice::Candidate,
    slots::{Key, Pin, SlotId, Slots},
};
use schedule::queue::{Item, Queue, Readiness};

use crate::{combination::Combination, workload::Deployment};

const QUEUE_LIMIT: usize = 100_000;
/// Ticks for each decoding step. A step produces one token for every request of the batch.
const TICKS_PER_DECODE_STEP: u64 = 5;

/// Request sent to the server.
#[derive(Clone, Debug)]
pub struct Work {
    /// Index of the request in the workload.
    pub request: usize,
    pub key: Key,
    pub output_tokens: u64,
}

/// Simulated backend server.
pub struct Server {
    max_batch: usize,
    slots: Slots,
    queue: Queue<Work>,
    /// Requests that can decode; the first `max_batch` of them form the batch.
    running: Vec<Running>,
    /// Requests that wait for the load of their adapter.
    waiting: BTreeMap<SlotId, Vec<Work>>,
    /// Number of decoded tokens.
    pub tokens: u64,
    /// Number of decoding steps.
    pub steps: u64,
}

/// Request whose adapter is resident.
#[derive(Debug)]
struct Running {
    work: Work,
    slot: SlotId,
    remaining_tokens: u64,
}

/// Event at the server during a tick. Requests are indices in the workload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The adapter of a request has to be loaded into a slot.
    Load { slot: SlotId, request: usize },
    /// A request started to wait for a load.
    Stalled(usize),
    /// A request produced its first token.
    FirstToken(usize),
    /// A request produced its last token.
    Ended(usize),
}

impl Server {
    pub fn new(deployment: &Deployment, combination: &Combination) -> Server {
        Server {
            max_batch: deployment.max_batch,
            slots: Slots::new(deployment.slots, combination.find_eviction()),
            queue: Queue::new(combination.find_discipline(), QUEUE_LIMIT),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            tokens: 0,
            steps: 0,
        }
    }

    /// Adds a request to the queue.
    pub fn push(&mut self, item: Item<Work>) {
        self.queue.push(item).expect("the limit is above any queue length of the simulation");
    }

    /// Returns what a probe of the server would report for an adapter.
    pub fn candidate(&self, key: &Key) -> Candidate {
        Candidate {
            queued_tokens: self.queue.queued_tokens(),
            is_resident: self.slots.is_present(key),
            has_free_slot: self.slots.has_room(),
            ..Candidate::default()
        }
    }

    /// Records that a load completed, and starts the requests that wait for it.
    pub fn load_succeeded(&mut self, slot: SlotId) {
        self.slots.load_succeeded(slot);
        let waiting = self.waiting.remove(&slot).unwrap_or_default();
        self.running.extend(waiting.into_iter().map(|work| Running::new(work, slot)));
    }

    /// Advances the server by one tick: fills the batch from the queue, and decodes when a step is
    /// due.
    pub fn tick(&mut self, now: Moment, tick: u64) -> Vec<Event> {
        let mut events = Vec::new();
        while self.running.len() < self.max_batch && self.start_next(now, &mut events) {}
        if tick.is_multiple_of(TICKS_PER_DECODE_STEP) {
            self.decode_step(&mut events);
        }
        events
    }

    fn start_next(&mut self, now: Moment, events: &mut Vec<Event>) -> bool {
        let slots = &self.slots;
        let item = self.queue.pop(now, |item| {
            if slots.is_present(&item.work.key) {
                Readiness::Ready
            } else if slots.is_blocked(&item.work.key) {
                Readiness::Blocked
            } else {
                Readiness::Loadable
            }
        });
        let Some(Item { work, .. }) = item else { return false };
        match self.slots.pin(now, &work.key) {
            Pin::Resident(slot) => self.running.push(Running::new(work, slot)),
            Pin::Loading(slot) => self.wait_for_load(slot, work, events),
            Pin::Load { id: slot, .. } => {
                events.push(Event::Load { slot, request: work.request });
                self.wait_for_load(slot, work, events);
            }
            Pin::Blocked => {}
        }
        true
    }

    fn wait_for_load(&mut self, slot: SlotId, work: Work, events: &mut Vec<Event>) {
        events.push(Event::Stalled(work.request));
        self.waiting.entry(slot).or_default().push(work);
    }

    fn decode_step(&mut self, events: &mut Vec<Event>) {
        if self.running.is_empty() {
            return;
        }
        self.steps += 1;
        self.tokens += self.running.len().min(self.max_batch) as u64;
        for running in self.running.iter_mut().take(self.max_batch) {
            if running.remaining_tokens == running.work.output_tokens {
                events.push(Event::FirstToken(running.work.request));
            }
            running.remaining_tokens -= 1;
        }
        for ended in self.running.extract_if(.., |running| running.remaining_tokens == 0) {
            self.slots.unpin(ended.slot);
            events.push(Event::Ended(ended.work.request));
        }
    }
}

impl Running {
    fn new(work: Work, slot: SlotId) -> Running {
        Running { remaining_tokens: work.output_tokens, slot, work }
    }
}

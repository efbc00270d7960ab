//! The dispatcher: admits queued attempts to the engine, in the order of the
//! queueing discipline and within the limits of batch and adapter slots.
//!
//! Invariant: an admitted attempt holds a [`Ticket`], which pins its adapter
//! until the engine no longer uses it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_channel::Sender;
use futures_lite::future;

use fleet::{Name, change::Urgency};
use placement::slots::{Key, Pin, SlotId};
use schedule::queue::{Item, Readiness};
use wire::frame::{Isolation, NotBegun};

use crate::{
    Core, LoadOutcome, Side,
    load::{self, Task},
};

/// Interval between checks of the deadlines while the queue is not empty.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time in the queue after which an attempt that must run alone blocks the admission of others.
const ALONE_MAX_WAIT: Duration = Duration::from_millis(200);

/// Time until an engine is assumed to have noticed a canceled exchange.
const CANCEL_GRACE: Duration = Duration::from_millis(500);

/// A queued attempt.
pub(crate) struct Job {
    pub(crate) account: Name,
    /// The adapter it needs; `None` for a plain service.
    pub(crate) key: Option<Key>,
    pub(crate) isolation: Isolation,
    /// Expected tokens.
    pub(crate) cost: u64,
    pub(crate) decision: Sender<Decision>,
}

/// Decision of the dispatcher on a queued attempt.
#[derive(Debug)]
pub(crate) enum Decision {
    /// The attempt may run; its adapter is pinned and loaded.
    Run(Ticket),
    /// The attempt is rejected.
    NotBegun(NotBegun),
}

/// Permission of an admitted attempt to use the engine; dropping it releases the adapter's pin and
/// the place in the batch.
pub(crate) struct Ticket {
    side: Arc<Side>,
    /// Slot of the adapter that the attempt pins, if any.
    pinned: Option<SlotId>,
    cost: u64,
    isolation: Isolation,
    stage: Stage,
    /// The engine has finished the exchange and no longer uses the adapter.
    is_engine_done: AtomicBool,
    /// [`Core::epoch`] when the attempt started.
    pub(crate) epoch: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Taken from the queue; the adapter may still be loading.
    Admitted,
    /// Sent to the engine.
    Running,
}

/// Runs the dispatcher until the process exits.
pub(crate) async fn run(side: Arc<Side>) {
    loop {
        let woken = side.wake.listen();
        prune_queue(&side);
        while let Some((job, ticket)) = admit_next(&side) {
            pin_and_start(&side, job, ticket);
        }
        if side.core.lock().queue.is_empty() {
            woken.await;
        } else {
            future::or(woken, side.node.kernel.clock.sleep(DEADLINE_CHECK_INTERVAL)).await;
        }
    }
}

/// Adds an attempt to the queue; it is rejected if it cannot start within `remaining`.
///
/// # Errors
///
/// [`NotBegun::QueueFull`] if the queue is at its limit.
pub(crate) fn enqueue(
    side: &Side,
    group: Name,
    urgency: Urgency,
    remaining: Duration,
    job: Job,
) -> Result<(), NotBegun> {
    let now = side.node.now();
    let item = Item {
        account: Arc::clone(&job.account),
        group,
        cost: job.cost,
        urgency,
        arrived: now,
        deadline: now + remaining,
        work: job,
    };
    let pushed = side.core.lock().queue.push(item);
    pushed.map_err(|_| NotBegun::QueueFull)?;
    side.wake.notify(usize::MAX);
    Ok(())
}

/// Rejects the queued attempts that cannot start here any more, and drops abandoned ones.
fn prune_queue(side: &Side) {
    let now = side.node.now();
    let rejection = side.rejection();
    let mut core = side.core.lock();
    let expired = core.queue.take_expired(now);
    let rejected = if rejection.is_some() { core.queue.take_if(|_| true) } else { Vec::new() };
    let abandoned = core.queue.take_if(|item| item.work.decision.is_closed());
    drop(core);
    for item in expired {
        let _closed = item.work.decision.try_send(Decision::NotBegun(NotBegun::TooLate));
    }
    for item in rejected {
        let reason = rejection.clone().unwrap_or(NotBegun::Leaving);
        let _closed = item.work.decision.try_send(Decision::NotBegun(reason));
    }
    drop(abandoned);
}

/// Takes the next attempt that can start from the queue.
fn admit_next(side: &Arc<Side>) -> Option<(Job, Ticket)> {
    let now = side.node.now();
    let mut core = side.core.lock();
    if core.is_exclusive || side.settings.batch <= core.running {
        return None;
    }
    let Core { queue, slots, admitted, .. } = &mut *core;
    // Under a steady flow of shared attempts, one that must run alone would starve. Shared attempts
    // are therefore blocked once it has waited for too long.
    let is_alone_overdue = queue.has(|item| {
        item.work.isolation == Isolation::Alone && ALONE_MAX_WAIT <= now - item.arrived
    });
    let item = queue.pop(now, |item| match (&item.work.key, item.work.isolation) {
        (_, Isolation::Alone) if 0 < *admitted => Readiness::Blocked,
        (_, Isolation::Shared) if is_alone_overdue => Readiness::Blocked,
        (None, _) => Readiness::Ready,
        (Some(key), _) if slots.is_present(key) => Readiness::Ready,
        (Some(key), _) if slots.is_blocked(key) => Readiness::Blocked,
        (Some(_), _) => Readiness::Loadable,
    })?;
    let job = item.work;
    core.admitted += 1;
    core.is_exclusive |= job.isolation == Isolation::Alone;
    let ticket = Ticket {
        side: Arc::clone(side),
        pinned: None,
        cost: job.cost,
        isolation: job.isolation,
        stage: Stage::Admitted,
        is_engine_done: AtomicBool::new(false),
        epoch: core.epoch,
    };
    Some((job, ticket))
}

/// Pins the adapter and starts the attempt, after a load if the adapter is not resident.
fn pin_and_start(side: &Arc<Side>, job: Job, mut ticket: Ticket) {
    let Some(key) = job.key.clone() else { return start(&job, ticket) };
    let now = side.node.now();
    let pin = side.core.lock().slots.pin(now, &key);
    match pin {
        Pin::Resident(slot) => {
            ticket.pinned = Some(slot);
            start(&job, ticket);
        }
        Pin::Loading(slot) => start_after_load(side, slot, job, ticket),
        Pin::Load { id: slot, victim } => {
            let account = Arc::clone(&job.account);
            start_after_load(side, slot, job, ticket);
            let task = Task { key, slot, victim, account };
            side.node.kernel.spawn_detached(load::run(Arc::clone(side), task));
        }
        Pin::Blocked => {
            let _closed = job.decision.try_send(Decision::NotBegun(NotBegun::QueueFull));
        }
    }
}

/// Starts the attempt when the load of its adapter succeeds, and rejects it otherwise.
fn start_after_load(side: &Side, slot: SlotId, job: Job, mut ticket: Ticket) {
    ticket.pinned = Some(slot);
    let (sender, load_outcome) = async_channel::bounded(1);
    side.core.lock().load_waiters.entry(slot).or_default().push(sender);
    side.node.kernel.spawn_detached(async move {
        match load_outcome.recv().await {
            Ok(LoadOutcome::Loaded) => start(&job, ticket),
            Ok(LoadOutcome::Failed) | Err(_) => {
                let _closed = job.decision.try_send(Decision::NotBegun(NotBegun::LoadFailed));
            }
        }
    });
}

/// Hands the ticket to the attempt.
fn start(job: &Job, mut ticket: Ticket) {
    {
        let mut core = ticket.side.core.lock();
        core.running += 1;
        core.running_tokens += ticket.cost;
        ticket.epoch = core.epoch;
    }
    ticket.stage = Stage::Running;
    // If the calling instance has disconnected, the send fails and drops the ticket.
    let _closed = job.decision.try_send(Decision::Run(ticket));
}

impl Ticket {
    /// Records that the engine has finished the exchange, so that the adapter is released as soon
    /// as the ticket is dropped.
    pub(crate) fn mark_engine_done(&self) {
        self.is_engine_done.store(true, Ordering::Relaxed);
    }

    /// Returns whether the exchange was canceled. The engine takes a moment to notice that, and
    /// uses the adapter until then.
    fn is_canceled(&self) -> bool {
        self.stage == Stage::Running && !self.is_engine_done.load(Ordering::Relaxed)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.is_canceled() {
            // A second ticket keeps the pin and the place in the batch until the engine has
            // noticed. It is marked as done, so that dropping it releases both.
            let ticket = Ticket {
                side: Arc::clone(&self.side),
                pinned: self.pinned,
                cost: self.cost,
                isolation: self.isolation,
                stage: self.stage,
                is_engine_done: AtomicBool::new(true),
                epoch: self.epoch,
            };
            self.side.node.kernel.spawn_detached(async move {
                ticket.side.node.kernel.clock.sleep(CANCEL_GRACE).await;
                drop(ticket);
            });
            return;
        }
        let mut core = self.side.core.lock();
        core.admitted -= 1;
        if self.stage == Stage::Running {
            core.running -= 1;
            core.running_tokens -= self.cost;
        }
        core.is_exclusive &= self.isolation != Isolation::Alone;
        if let Some(slot) = self.pinned {
            core.slots.unpin(slot);
        }
        drop(core);
        self.side.wake.notify(usize::MAX);
    }
}

impl std::fmt::Debug for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ticket").field("pinned", &self.pinned).field("epoch", &self.epoch).finish()
    }
}

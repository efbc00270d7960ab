//! One attempt from its call to its end.

use std::{future::Future, pin::pin, sync::Arc, sync::atomic::Ordering, time::Duration};

use fleet::change::Repeat;
use wire::{
    codec,
    frame::{Attempt, AttemptId, Broken, NotBegun, Reply},
    link::Exchange,
};

use crate::{
    Side, answer,
    dispatch::{self, Job, Start},
    key_of,
};

/// How often an attempt that waits or runs says so.
const WAITING_INTERVAL: Duration = Duration::from_secs(1);

/// The calling instance is gone, and the attempt may be dropped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gone;

/// Where an attempt's answer goes.
pub(crate) struct Outlet {
    exchange: Exchange,
    id: AttemptId,
    /// A non-idempotent attempt that has begun runs to its end without a caller.
    repeat: Repeat,
    has_begun: bool,
    is_gone: bool,
    chunks: u32,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Whole { tokens: Option<u64> },
    NotBegun(NotBegun),
    Broken(Broken),
}

/// Runs an attempt and answers its caller.
pub(crate) async fn run(side: &Arc<Side>, attempt: Attempt, exchange: Exchange) {
    let _guard = side.node.drain.guard();
    side.in_flight.fetch_add(1, Ordering::Relaxed);
    let mut outlet = Outlet::new(&attempt, exchange);
    match to_end(side, &attempt, &mut outlet).await {
        Ok(end) => finish(side, &attempt, outlet, end).await,
        Err(Gone) => side.node.note(&attempt.id.request, "dropped: the calling instance is gone"),
    }
    side.in_flight.fetch_sub(1, Ordering::Relaxed);
}

async fn to_end(side: &Arc<Side>, attempt: &Attempt, outlet: &mut Outlet) -> Result<End, Gone> {
    if !side.serves(&attempt.target) {
        return Ok(End::NotBegun(NotBegun::WrongTarget));
    }
    if let Some(reason) = side.refusal() {
        return Ok(End::NotBegun(reason));
    }
    let (start, started) = async_channel::bounded(1);
    let job = Job {
        account: Arc::clone(&attempt.account),
        key: key_of(&attempt.target),
        exposure: attempt.exposure,
        cost: attempt.cost,
        start,
    };
    let queued = dispatch::enqueue(side, attempt.group(), attempt.urgency, attempt.patience, job);
    if let Err(reason) = queued {
        return Ok(End::NotBegun(reason));
    }
    match outlet.patiently(side, started.recv()).await? {
        Ok(Start::Go(ticket)) => {
            side.node.note(&attempt.id.request, "started at the backend server");
            answer::run(side, attempt, ticket, outlet).await
        }
        Ok(Start::NotBegun(reason)) => Ok(End::NotBegun(reason)),
        Err(_) => Ok(End::NotBegun(NotBegun::Leaving)),
    }
}

async fn finish(side: &Side, attempt: &Attempt, mut outlet: Outlet, end: End) {
    side.node.note(&attempt.id.request, format!("attempt {} ended: {end:?}", attempt.id.attempt));
    let load = side.load_for(&attempt.target);
    let id = attempt.id.clone();
    let reply = match end {
        End::Whole { tokens } => Reply::End { id, chunks: outlet.chunks, tokens, load },
        End::NotBegun(reason) => Reply::NotBegun { id, reason, load },
        End::Broken(reason) => Reply::Broken { id, reason },
    };
    let _gone = outlet.send(&reply).await;
    let _gone = outlet.exchange.send.finish();
}

impl Outlet {
    fn new(attempt: &Attempt, exchange: Exchange) -> Outlet {
        Outlet {
            exchange,
            id: attempt.id.clone(),
            repeat: attempt.repeat,
            has_begun: false,
            is_gone: false,
            chunks: 0,
        }
    }

    /// From here on the backend server may have seen the attempt.
    pub(crate) fn begin(&mut self) {
        self.has_begun = true;
    }

    /// Sends a piece of the answer.
    pub(crate) async fn chunk(&mut self, bytes: &[u8]) -> Result<(), Gone> {
        let id = self.id.clone();
        let reply = Reply::Chunk { id, index: self.chunks, bytes: bytes.to_vec() };
        self.chunks += 1;
        self.send(&reply).await
    }

    pub(crate) async fn send(&mut self, reply: &Reply) -> Result<(), Gone> {
        if !self.is_gone {
            self.is_gone = codec::send(&mut self.exchange.send, reply).await.is_err();
        }
        let runs_on = self.has_begun && self.repeat == Repeat::NonIdempotent;
        if self.is_gone && !runs_on { Err(Gone) } else { Ok(()) }
    }

    /// Waits for `future` and tells the caller every now and then.
    pub(crate) async fn patiently<T>(
        &mut self,
        side: &Side,
        future: impl Future<Output = T>,
    ) -> Result<T, Gone> {
        let mut future = pin!(future);
        loop {
            let clock = &side.node.kernel.clock;
            if let Ok(value) = clock.timeout(WAITING_INTERVAL, future.as_mut()).await {
                return Ok(value);
            }
            let id = self.id.clone();
            self.send(&Reply::Waiting { id }).await?;
        }
    }
}

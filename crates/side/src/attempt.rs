//! The life of one attempt: admission through the queue, execution at the
//! backend server, and the replies to the calling instance.
//!
//! Invariant: an attempt is dropped when the calling instance disconnects, unless
//! it is non-idempotent and may have reached the backend server.

use std::{future::Future, pin::pin, sync::Arc, sync::atomic::Ordering, time::Duration};

use fleet::change::Repeat;
use wire::{
    codec,
    frame::{Attempt, AttemptId, Broken, NotBegun, Reply},
    link::Exchange,
};

use crate::{
    Side,
    dispatch::{self, Decision, Job},
    key_of, relay,
};

/// Interval of [`Reply::Waiting`] while an attempt is queued or running.
const WAITING_REPLY_INTERVAL: Duration = Duration::from_secs(1);

/// The calling instance disconnected, and the attempt may be dropped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disconnected;

/// Sends the replies of one attempt to the calling instance.
pub(crate) struct Responder {
    exchange: Exchange,
    id: AttemptId,
    /// Whether the attempt may be repeated. If not, it is completed even without the calling
    /// instance once it has begun.
    repeat: Repeat,
    /// Whether the backend server may have received the request.
    has_begun: bool,
    is_disconnected: bool,
    /// Chunks sent so far.
    chunks: u32,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The response was relayed completely; `tokens` is the usage that the engine reported.
    Whole {
        tokens: Option<u64>,
    },
    NotBegun(NotBegun),
    Broken(Broken),
}

/// Runs an attempt and sends its replies to the calling instance.
pub(crate) async fn run(side: &Arc<Side>, attempt: Attempt, exchange: Exchange) {
    let _guard = side.node.drain.guard();
    side.in_flight.fetch_add(1, Ordering::Relaxed);
    let mut responder = Responder::new(&attempt, exchange);
    match execute(side, &attempt, &mut responder).await {
        Ok(end) => finish(side, &attempt, responder, end).await,
        Err(Disconnected) => side.node.note(&attempt.id.request, "dropped: entry disconnected"),
    }
    side.in_flight.fetch_sub(1, Ordering::Relaxed);
}

/// Waits for the dispatcher to admit the attempt, then runs it at the backend server.
async fn execute(
    side: &Arc<Side>,
    attempt: &Attempt,
    responder: &mut Responder,
) -> Result<End, Disconnected> {
    if !side.serves(&attempt.target) {
        return Ok(End::NotBegun(NotBegun::WrongTarget));
    }
    if let Some(reason) = side.rejection() {
        return Ok(End::NotBegun(reason));
    }
    let (decision, decided) = async_channel::bounded(1);
    let job = Job {
        account: Arc::clone(&attempt.account),
        key: key_of(&attempt.target),
        isolation: attempt.isolation,
        cost: attempt.cost,
        decision,
    };
    let queued =
        dispatch::enqueue(side, attempt.target_name(), attempt.urgency, attempt.time_budget, job);
    if let Err(reason) = queued {
        return Ok(End::NotBegun(reason));
    }
    match responder.wait_with_keepalive(side, decided.recv()).await? {
        Ok(Decision::Run(ticket)) => {
            side.node.note(&attempt.id.request, "started at the backend server");
            relay::run(side, attempt, ticket, responder).await
        }
        Ok(Decision::NotBegun(reason)) => Ok(End::NotBegun(reason)),
        Err(_) => Ok(End::NotBegun(NotBegun::Leaving)),
    }
}

/// Sends the final reply.
async fn finish(side: &Side, attempt: &Attempt, mut responder: Responder, end: End) {
    side.node.note(&attempt.id.request, format!("attempt {} ended: {end:?}", attempt.id.attempt));
    let load = side.work_ahead(&attempt.target);
    let id = attempt.id.clone();
    let reply = match end {
        End::Whole { tokens } => Reply::End { id, chunks: responder.chunks, tokens, load },
        End::NotBegun(reason) => Reply::NotBegun { id, reason, load },
        End::Broken(reason) => Reply::Broken { id, reason },
    };
    let _disconnected = responder.send(&reply).await;
    let _disconnected = responder.exchange.send.finish();
}

impl Responder {
    fn new(attempt: &Attempt, exchange: Exchange) -> Responder {
        Responder {
            exchange,
            id: attempt.id.clone(),
            repeat: attempt.repeat,
            has_begun: false,
            is_disconnected: false,
            chunks: 0,
        }
    }

    /// Records that the backend server may receive the request from now on.
    pub(crate) fn mark_begun(&mut self) {
        self.has_begun = true;
    }

    /// Sends the next chunk of the response body.
    pub(crate) async fn send_chunk(&mut self, bytes: &[u8]) -> Result<(), Disconnected> {
        let id = self.id.clone();
        let reply = Reply::Chunk { id, index: self.chunks, bytes: bytes.to_vec() };
        self.chunks += 1;
        self.send(&reply).await
    }

    /// Sends a reply. A disconnect is ignored if the attempt must run to completion.
    pub(crate) async fn send(&mut self, reply: &Reply) -> Result<(), Disconnected> {
        if !self.is_disconnected {
            self.is_disconnected = codec::send(&mut self.exchange.send, reply).await.is_err();
        }
        let must_finish = self.has_begun && self.repeat == Repeat::NonIdempotent;
        if self.is_disconnected && !must_finish { Err(Disconnected) } else { Ok(()) }
    }

    /// Awaits `future` and sends [`Reply::Waiting`] at intervals, which also detects a disconnect.
    pub(crate) async fn wait_with_keepalive<T>(
        &mut self,
        side: &Side,
        future: impl Future<Output = T>,
    ) -> Result<T, Disconnected> {
        let mut future = pin!(future);
        loop {
            let clock = &side.node.kernel.clock;
            if let Ok(value) = clock.timeout(WAITING_REPLY_INTERVAL, future.as_mut()).await {
                return Ok(value);
            }
            let id = self.id.clone();
            self.send(&Reply::Waiting { id }).await?;
        }
    }
}

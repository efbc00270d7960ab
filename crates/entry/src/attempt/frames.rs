//! Frames of an attempt and the failures of attempts.
//!
//! A frame is passed on only if it belongs to the attempt and, for a chunk, is the next
//! in order; any other ends the attempt as lost.

use std::{sync::Arc, time::Duration};

use async_channel::Sender;

use fleet::Name;
use kernel::clock::Clock;
use wire::{
    codec,
    frame::{AttemptId, Broken, Head, NotBegun, Reply},
    link::Exchange,
};

use crate::{Entry, job::Job, routing};

/// Validated frame of an attempt.
#[derive(Debug)]
pub(crate) enum Frame {
    Head(Head),
    Chunk(Vec<u8>),
    End { tokens: Option<u64> },
    Failed(Failure),
}

/// Reason why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The side process could not be connected to, so nothing was sent.
    Unreachable,
    NotBegun(NotBegun),
    Crashed {
        crash: u64,
    },
    /// The request may have begun to run, but its answer was lost.
    Lost,
}

impl Failure {
    /// Returns whether the server may have begun to run the request.
    pub(super) fn may_have_begun(&self) -> bool {
        matches!(self, Failure::Crashed { .. } | Failure::Lost)
    }

    /// Returns whether the server rejected the attempt because its side process is leaving
    /// or does not hold the lease. This is not a fault of the server, and the next attempt
    /// does not count as a retry.
    pub(super) fn is_handover(&self) -> bool {
        self.awaits_lease() || matches!(self, Failure::NotBegun(NotBegun::Leaving))
    }

    /// Returns whether the server's side process does not hold the lease yet.
    pub(super) fn awaits_lease(&self) -> bool {
        matches!(self, Failure::NotBegun(NotBegun::NotHolder))
    }
}

/// Reads the frames of an attempt until its end, and sends the validated ones to `sender`.
pub(super) async fn read(
    entry: Arc<Entry>,
    job: Job,
    server: Name,
    id: AttemptId,
    mut exchange: Exchange,
    sender: Sender<Frame>,
) {
    let mut chunks = 0;
    let mut has_reply = false;
    loop {
        let clock = &entry.node.kernel.clock;
        let reply = receive(clock, &mut exchange, entry.settings.silence_timeout).await;
        let is_unread = reply.is_none() && !has_reply && exchange.is_unread();
        has_reply |= reply.is_some();
        let frame = match reply {
            None if is_unread => Frame::Failed(Failure::NotBegun(NotBegun::Leaving)),
            Some(Reply::Waiting { id: received }) if received == id => continue,
            Some(Reply::Head(head)) if head.id == id => Frame::Head(head),
            Some(Reply::Chunk { id: received, index, bytes })
                if received == id && index == chunks =>
            {
                chunks += 1;
                Frame::Chunk(bytes)
            }
            Some(Reply::End { id: received, chunks: total, tokens, load })
                if received == id && total == chunks =>
            {
                routing::record_report(&entry, &server, &job.target, load);
                Frame::End { tokens }
            }
            Some(Reply::NotBegun { id: received, reason, load })
                if received == id && chunks == 0 =>
            {
                routing::record_report(&entry, &server, &job.target, load);
                Frame::Failed(Failure::NotBegun(reason))
            }
            Some(Reply::Broken { id: received, reason }) if received == id => {
                Frame::Failed(broken_failure(reason))
            }
            // A timeout, a broken connection, or an invalid frame.
            _ => Frame::Failed(Failure::Lost),
        };
        let is_last = matches!(frame, Frame::End { .. } | Frame::Failed(_));
        if sender.send(frame).await.is_err() || is_last {
            return;
        }
    }
}

async fn receive(clock: &Clock, exchange: &mut Exchange, limit: Duration) -> Option<Reply> {
    clock.timeout(limit, codec::receive(&mut exchange.receive)).await.ok()?.ok()
}

fn broken_failure(reason: Broken) -> Failure {
    match reason {
        Broken::EngineCrashed { crash } => Failure::Crashed { crash },
        Broken::BadAnswer => Failure::Lost,
    }
}

//! Relay of a response that belongs to its server: a failure, a success that is no stream of events, or
//! a stream that cannot be resumed. It is forwarded as it arrives, and ends as it ended at its server.

use std::sync::Arc;

use bytes::Bytes;
use front::body::Truncated;

use super::{Loss, finish, log_end, read_chunk};
use crate::{
    entry::Entry,
    job::{Job, Upstream, opened::Response},
};

/// Response to a caller.
pub struct Relay {
    entry: Arc<Entry>,
    job: Job,
    upstream: Upstream,
    /// First chunk, if it was not forwarded yet.
    first: Option<Bytes>,
    forwarded_bytes: u64,
}

impl Relay {
    /// Starts to relay a response whose first chunk has arrived.
    pub fn new(entry: &Arc<Entry>, job: Job, response: Response) -> Relay {
        let Response { upstream, first } = response;
        let first = Some(first).filter(|first| !first.is_empty());
        Relay { entry: Arc::clone(entry), job, upstream, first, forwarded_bytes: 0 }
    }

    /// Returns the next chunk for the caller, or `None` at the end of the response.
    pub async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        let chunk = match self.first.take() {
            Some(first) => Ok(Some(first)),
            None => read_chunk(&self.entry, &mut self.upstream, self.job.deadline).await,
        };
        match chunk {
            Ok(chunk) => {
                let chunk = chunk?;
                self.forwarded_bytes += chunk.len() as u64;
                Some(Ok(chunk))
            }
            Err(loss) => {
                self.record_loss(loss);
                Some(Err(Truncated))
            }
        }
    }

    /// Records that the response is complete.
    pub fn finish(mut self) {
        finish(&self.entry, &mut self.job, self.upstream, self.forwarded_bytes);
    }

    /// Records that the rest of the response is lost, and finds out whether its server has crashed.
    fn record_loss(&mut self, loss: Loss) {
        if !matches!(loss, Loss::TimedOut) {
            self.entry.record_failure(&self.upstream.server.id);
        }
        if let Loss::Disconnected(_) = loss {
            self.job.examine_final_break(&self.entry, &self.upstream.server);
        }
        log_end(&self.entry, &mut self.job, &self.upstream, loss.name(), self.forwarded_bytes);
    }
}

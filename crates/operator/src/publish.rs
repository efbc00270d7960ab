//! Publishing a change: compare-and-set on the revision, settled by reading back.

use std::{sync::Arc, time::Duration};

use snafu::{ResultExt as _, Snafu};

use fleet::{
    change::{Change, Record, Rejection},
    replica::{Entry, Replica},
};
use kernel::Kernel;
use services::{
    http,
    log::{self, Batch, Log},
};

/// Time to find out whether an unacknowledged change was taken.
const SETTLE_PATIENCE: Duration = Duration::from_secs(10);
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// Why a change is not known to be accepted.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("rejected: {source}"))]
    Rejected { source: Rejection },
    #[snafu(display("the log cannot be read: {source}; nothing was changed"))]
    Unreadable { source: http::Error },
    #[snafu(display(
        "the log did not take the change: {source}; nothing was changed, try again later"
    ))]
    Refused { source: http::Error },
    #[snafu(display(
        "the log has not answered whether it took the change `{id}`; \
         look at the configuration before issuing it again"
    ))]
    Unsettled { id: String },
}

/// A change that is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    pub revision: u64,
    /// Offset after its record.
    pub next: u64,
}

/// Reads the configuration to the log's tail.
///
/// # Errors
///
/// The log cannot be read.
pub async fn read(log: &Log, replica: &mut Replica) -> Result<(), http::Error> {
    let mut batches: Vec<Batch> = Vec::new();
    log.read_to_tail(node::follow::CONFIGURATION_STREAM, replica.next(), |batch| {
        batches.push(batch)
    })
    .await?;
    for batch in &batches {
        let entries = batch.records.iter().filter_map(|record| {
            let decoded = log::decode::<Record>(node::follow::CONFIGURATION_STREAM, record)?;
            Some(Entry { offset: record.offset, record: Arc::new(decoded) })
        });
        replica.ingest(batch.first, entries);
    }
    Ok(())
}

/// Publishes a change against the revision that `replica` shows.
///
/// # Errors
///
/// See [`Error`]. After [`Error::Rejected`] and [`Error::Refused`] nothing was changed.
pub async fn publish(
    kernel: &Kernel,
    log: &Log,
    replica: &mut Replica,
    author: &str,
    change: Change,
) -> Result<Accepted, Error> {
    let id: Arc<str> = Arc::from(format!("{author}-{:016x}", rand::random::<u64>()));
    let expected = replica.state().map_or(0, |state| state.revision);
    let record = Record { id: Arc::clone(&id), author: Arc::from(author), expected, change };
    let appended = (log.append)(node::follow::CONFIGURATION_STREAM, log::encode(&record)).await;
    if let Err(error) = appended
        && error.is_without_effect()
    {
        return Err(error).context(RefusedSnafu);
    }
    settle(kernel, log, replica, &id).await
}

/// Reads until the record with this id turns up. It is never appended again.
async fn settle(
    kernel: &Kernel,
    log: &Log,
    replica: &mut Replica,
    id: &str,
) -> Result<Accepted, Error> {
    let deadline = kernel.clock.now() + SETTLE_PATIENCE;
    while kernel.clock.now() < deadline {
        if read(log, replica).await.is_ok()
            && let Some(verdict) = replica.outcome(id)
        {
            let revision = verdict.clone().context(RejectedSnafu)?;
            return Ok(Accepted { revision, next: replica.next() });
        }
        kernel.clock.sleep(SETTLE_PAUSE).await;
    }
    UnsettledSnafu { id }.fail()
}

//! Publishing a configuration change as a compare-and-set on the revision.
//!
//! An append whose response is lost may have succeeded, and the replicas may reject an appended
//! record. The outcome is therefore determined by reading the record back from the log, and a
//! record is never appended twice.

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

/// Time limit for finding an appended record in the log.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Failure to publish a change.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("the change was rejected: {source}"))]
    Rejected { source: Rejection },
    #[snafu(display("cannot read the log: {source}; nothing was changed"))]
    Unreadable { source: http::Error },
    #[snafu(display(
        "the log did not append the change: {source}; nothing was changed, try again later"
    ))]
    NotAppended { source: http::Error },
    #[snafu(display(
        "it is unknown whether the log appended the change `{id}`; \
         check the configuration before issuing the change again"
    ))]
    OutcomeUnknown { id: String },
}

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    pub revision: u64,
    /// Log offset after the last record read.
    pub next: u64,
}

/// Brings the replica up to date with the tail of the log.
///
/// # Errors
///
/// The log cannot be read; the replica is unchanged.
pub async fn catch_up(log: &Log, replica: &mut Replica) -> Result<(), http::Error> {
    let mut batches: Vec<Batch> = Vec::new();
    log.read_to_tail(node::follow::CONFIG_STREAM, replica.next(), |batch| batches.push(batch))
        .await?;
    for batch in &batches {
        let entries = batch.records.iter().filter_map(|record| {
            let decoded = log::decode::<Record>(node::follow::CONFIG_STREAM, record)?;
            Some(Entry { offset: record.offset, record: Arc::new(decoded) })
        });
        replica.ingest(batch.first, entries);
    }
    Ok(())
}

/// Publishes a change that is based on the revision of `replica`.
///
/// # Errors
///
/// See [`Error`]. After [`Error::Rejected`] and [`Error::NotAppended`] nothing was changed.
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
    let appended = (log.append)(node::follow::CONFIG_STREAM, log::encode(&record)).await;
    if let Err(error) = appended
        && error.is_without_effect()
    {
        return Err(error).context(NotAppendedSnafu);
    }
    wait_for_outcome(kernel, log, replica, &id).await
}

/// Reads the log until it contains the record with this id.
async fn wait_for_outcome(
    kernel: &Kernel,
    log: &Log,
    replica: &mut Replica,
    id: &str,
) -> Result<Accepted, Error> {
    let deadline = kernel.clock.now() + OUTCOME_TIMEOUT;
    while kernel.clock.now() < deadline {
        if catch_up(log, replica).await.is_ok()
            && let Some(outcome) = replica.outcome(id)
        {
            let revision = outcome.clone().context(RejectedSnafu)?;
            return Ok(Accepted { revision, next: replica.next() });
        }
        kernel.clock.sleep(OUTCOME_POLL_INTERVAL).await;
    }
    OutcomeUnknownSnafu { id }.fail()
}

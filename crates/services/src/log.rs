//! Client of the platform's append-only log service.
//!
//! `POST /streams/{stream}` appends the body and returns `{"offset": n}`.
//! `GET /streams/{stream}?from=n&limit=m` returns up to `m` records from offset
//! `n`, together with the oldest offset that is still retained and the offset
//! after the last record.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use kernel::Kernel;

use crate::{BoxFuture, http};

/// Maximum number of records in one read.
pub const READ_LIMIT: usize = 1000;

/// Response to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Oldest offset that is still retained.
    pub first: u64,
    /// Offset of the next append.
    pub end: u64,
    pub records: Vec<Record>,
}

/// A record of a stream with its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub offset: u64,
    /// Time of the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub body: Arc<str>,
}

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    pub offset: u64,
}

type Append = dyn Fn(&str, String) -> BoxFuture<Result<u64, http::Error>> + Send + Sync;
type Read = dyn Fn(&str, u64) -> BoxFuture<Result<Batch, http::Error>> + Send + Sync;

/// Client of the log service; cheap to clone.
///
/// `append` takes a stream and a record body, and returns the offset of the record. `read` takes a
/// stream and the offset to start from, and returns at most [`READ_LIMIT`] records.
#[derive(Clone)]
pub struct Log {
    pub append: Arc<Append>,
    pub read: Arc<Read>,
}

impl Log {
    /// Returns a client of the log service at `address`; each call is limited to `timeout`.
    pub fn over_http(kernel: &Kernel, address: SocketAddr, timeout: Duration) -> Log {
        let appender = kernel.clone();
        let reader = kernel.clone();
        Log {
            append: Arc::new(move |stream, body| {
                let kernel = appender.clone();
                let request = http::post(&format!("/streams/{stream}"), "application/json", body);
                Box::pin(async move {
                    let response = http::fetch(&kernel, address, request, timeout).await?;
                    parse::<Appended>(response.body()).map(|appended| appended.offset)
                })
            }),
            read: Arc::new(move |stream, from| {
                let kernel = reader.clone();
                let path = format!("/streams/{stream}?from={from}&limit={READ_LIMIT}");
                let request = http::get(&path);
                Box::pin(async move {
                    let response = http::fetch(&kernel, address, request, timeout).await?;
                    parse(response.body())
                })
            }),
        }
    }

    /// Reads from offset `from` to the tail and passes each batch to `on_batch`.
    ///
    /// # Errors
    ///
    /// The error of the first failed read; earlier batches were passed on.
    pub async fn read_to_tail(
        &self,
        stream: &str,
        mut from: u64,
        mut on_batch: impl FnMut(Batch),
    ) -> Result<(), http::Error> {
        loop {
            let batch = (self.read)(stream, from).await?;
            let next = batch.records.last().map_or(batch.end, |record| record.offset + 1);
            let end = batch.end;
            on_batch(batch);
            if end <= next {
                return Ok(());
            }
            from = next;
        }
    }
}

/// Decodes the body of a record; logs a warning and returns `None` when it is not a valid `T`.
pub fn decode<T: DeserializeOwned>(stream: &str, record: &Record) -> Option<T> {
    let decoded = serde_json::from_str(&record.body);
    let offset = record.offset;
    decoded
        .inspect_err(|error| ::log::warn!("skipping record {offset} of stream {stream}: {error}"))
        .ok()
}

/// Encodes the body of a record.
pub fn encode(record: &impl Serialize) -> String {
    serde_json::to_string(record).expect("records hold only names, numbers and text")
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, http::Error> {
    serde_json::from_slice(body)
        .map_err(|error| http::Error::Unreadable { reason: error.to_string() })
}

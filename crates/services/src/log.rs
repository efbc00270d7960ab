//! The platform's append-only log service.
//!
//! `POST /streams/{stream}` appends the body and answers `{"offset": n}`.
//! `GET /streams/{stream}?from=n&limit=m` answers the records from offset `n`
//! on, with the oldest offset that is still kept and the offset after the last.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use kernel::Kernel;

use crate::{Answer, http};

/// Records read at once.
pub const READ_LIMIT: usize = 1000;

/// What a read returns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Oldest offset that is still kept.
    pub first: u64,
    /// Offset that the next append gets.
    pub end: u64,
    pub records: Vec<Record>,
}

/// One record with its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub offset: u64,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub body: Arc<str>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    pub offset: u64,
}

type Append = dyn Fn(&str, String) -> Answer<Result<u64, http::Error>> + Send + Sync;
type Read = dyn Fn(&str, u64) -> Answer<Result<Batch, http::Error>> + Send + Sync;

/// The log; cheap to clone.
#[derive(Clone)]
pub struct Log {
    pub append: Arc<Append>,
    pub read: Arc<Read>,
}

impl Log {
    /// Reaches the log service at `address`, each call within `limit`.
    pub fn over_http(kernel: &Kernel, address: SocketAddr, limit: Duration) -> Log {
        let appender = kernel.clone();
        let reader = kernel.clone();
        Log {
            append: Arc::new(move |stream, body| {
                let kernel = appender.clone();
                let request = http::post(&format!("/streams/{stream}"), "application/json", body);
                Box::pin(async move {
                    let response = http::fetch(&kernel, address, request, limit).await?;
                    parse::<Appended>(response.body()).map(|appended| appended.offset)
                })
            }),
            read: Arc::new(move |stream, from| {
                let kernel = reader.clone();
                let path = format!("/streams/{stream}?from={from}&limit={READ_LIMIT}");
                let request = http::get(&path);
                Box::pin(async move {
                    let response = http::fetch(&kernel, address, request, limit).await?;
                    parse(response.body())
                })
            }),
        }
    }

    /// Reads from `from` to the tail, batch by batch, into `take`.
    ///
    /// # Errors
    ///
    /// The first batch that could not be read; earlier ones were taken.
    pub async fn read_to_tail(
        &self,
        stream: &str,
        mut from: u64,
        mut take: impl FnMut(Batch),
    ) -> Result<(), http::Error> {
        loop {
            let batch = (self.read)(stream, from).await?;
            let next = batch.records.last().map_or(batch.end, |record| record.offset + 1);
            let end = batch.end;
            take(batch);
            if end <= next {
                return Ok(());
            }
            from = next;
        }
    }
}

/// Decodes a record's body; `None`, with a warning, when it is of another kind.
pub fn decode<T: DeserializeOwned>(stream: &str, record: &Record) -> Option<T> {
    let decoded = serde_json::from_str(&record.body);
    let offset = record.offset;
    decoded
        .inspect_err(|error| ::log::warn!("record {offset} of {stream} is skipped: {error}"))
        .ok()
}

/// Encodes a record's body.
pub fn encode(record: &impl Serialize) -> String {
    serde_json::to_string(record).expect("records hold only names, numbers and text")
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, http::Error> {
    serde_json::from_slice(body)
        .map_err(|error| http::Error::Unreadable { reason: error.to_string() })
}

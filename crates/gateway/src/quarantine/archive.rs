//! Quarantines in the platform's store, so that they outlast the instances: all of them may start
//! anew at the same time.
//!
//! A quarantine is one record of the instances' topic, which each instance follows anyway: it costs
//! one call when it starts and one when it ends.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{digest::Digest, suspect::Record};
use serde::{Deserialize, Serialize};

use kernel::event::Event;

use crate::{entry::Entry, gate::Issuer};

/// Start of the keys of quarantines. Other keys of the topic are names of instances.
const KEY_PREFIX: &str = "quarantine.";
/// Start of those with records of this format; others are ignored.
const FORMAT_PREFIX: &str = "quarantine.2.";
/// Time until a failed write is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Record of a quarantine in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Archived {
    /// Time of the write, in milliseconds since the Unix epoch.
    written_at_ms: u64,
    record: Record,
}

/// Returns whether a key of the instances' topic is that of a quarantine.
pub fn is_key(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}

/// Merges a quarantine from the store.
pub fn read(entry: &Entry, key: &str, value: &[u8]) {
    if value.is_empty() || !key.starts_with(FORMAT_PREFIX) {
        return;
    }
    match decode(value, entry.kernel.clock.unix_ms()) {
        Ok(record) => entry.record_suspects(&[record]),
        Err(error) => log::warn!(
            event = Event::RecordSkipped, key;
            "invalid record of a quarantine: {error}"
        ),
    }
}

/// Writes the quarantines that started or ended at this instance to the store.
pub async fn run(entry: Arc<Entry>) {
    loop {
        let judged = entry.quarantine.judged.listen();
        let unsaved = entry.quarantine.list.lock().take_unsaved();
        if unsaved.is_empty() {
            judged.await;
        }
        for suspect in unsaved {
            write(&entry, &suspect).await;
        }
    }
}

async fn write(entry: &Entry, suspect: &Digest) {
    let key = format!("{FORMAT_PREFIX}{suspect}");
    loop {
        let record = entry.quarantine.list.lock().get(entry.now(), suspect);
        let value = match record {
            Some(record) if record.is_quarantined() => encode(record, entry.kernel.clock.unix_ms()),
            // All instances learn that a quarantine has ended; one of them drops it.
            _ if entry.elect(&key.as_str().into()) != Some(Issuer::Local) => return,
            _ => Bytes::new(),
        };
        let Err(error) = (entry.store.announce)(&key, value).await else { return };
        log::warn!(
            event = Event::Announce, fingerprint:% = suspect.short();
            "cannot write a quarantine to the store; retrying: {error}"
        );
        entry.kernel.clock.sleep(RETRY_DELAY).await;
    }
}

fn encode(record: Record, now_ms: u64) -> Bytes {
    let archived = Archived { written_at_ms: now_ms, record };
    postcard::to_stdvec(&archived).map(Bytes::from).unwrap_or_default()
}

/// Decodes a record, and counts the time since it was written.
fn decode(value: &[u8], now_ms: u64) -> Result<Record, postcard::Error> {
    let Archived { written_at_ms, mut record } = postcard::from_bytes(value)?;
    let elapsed = Duration::from_millis(now_ms.saturating_sub(written_at_ms));
    for run in &mut record.runs {
        run.age = run.age.saturating_add(elapsed);
    }
    if let Some(quarantine) = &mut record.quarantine {
        quarantine.remaining = quarantine.remaining.saturating_sub(elapsed);
    }
    Ok(record)
}

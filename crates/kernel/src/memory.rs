//! Memory for what other processes send: responses, requests, events.
//!
//! Each of these has a limit of its own, but many of them may come at once, and each may be as large as
//! its limit allows. So all of them together are held within one budget, which is a share of the
//! memory that the process may use. What does not fit is not read further. The last part of the budget is
//! left to small buffers, so that large ones of one sender do not stop the requests of all others.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use snafu::Snafu;

/// Capacity, in bytes, if the process has stated none.
const DEFAULT_CAPACITY: usize = 64 * 1024 * 1024;
/// Smallest allocation of a buffer, in bytes.
const MIN_BUFFER: usize = 1024;
/// Largest size of a reservation, in bytes, that may use the whole budget.
const SMALL: usize = 64 * 1024;
/// Share of the budget up to which larger ones may use it.
const LARGE_SHARE: f64 = 0.75;

/// Memory that all buffers of a process share; cheap to clone.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Usage>);

#[derive(Debug)]
struct Usage {
    capacity: AtomicUsize,
    used: AtomicUsize,
    peak: AtomicUsize,
}

/// Part of a budget, which returns to it when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

/// Buffer that grows within a limit and a budget.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    limit: usize,
    reservation: Reservation,
}

/// Reason why a buffer cannot grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Full {
    #[snafu(display("it is above {limit} bytes; check who sends so much"))]
    TooLarge { limit: usize },
    #[snafu(display(
        "the {capacity} bytes for data of other processes are in use; add instances or memory"
    ))]
    Exhausted { capacity: usize },
}

/// Bytes with the memory that they occupy.
struct Held {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(DEFAULT_CAPACITY)
    }
}

impl Budget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Budget {
        Budget(Arc::new(Usage {
            capacity: AtomicUsize::new(capacity),
            used: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
        }))
    }

    /// Sets the capacity in bytes. Buffers that exist keep what they have.
    pub fn set_capacity(&self, capacity: usize) {
        self.0.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns the most bytes that were in use at once.
    pub fn peak(&self) -> usize {
        self.0.peak.load(Ordering::Relaxed)
    }

    /// Returns a reservation of nothing.
    pub fn reserve(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// Returns an empty buffer of at most `limit` bytes.
    pub fn buffer(&self, limit: usize) -> Buffer {
        Buffer { bytes: Vec::new(), limit, reservation: self.reserve() }
    }
}

impl Reservation {
    /// Changes the size in bytes. One that shrinks always can.
    ///
    /// # Errors
    ///
    /// [`Full::Exhausted`] if the budget does not have that much left for this size; the size stays.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Full> {
        let Usage { capacity, used, peak } = &*self.budget.0;
        let Some(growth) = bytes.checked_sub(self.bytes) else {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return Ok(());
        };
        let capacity = capacity.load(Ordering::Relaxed);
        let limit =
            if bytes <= SMALL { capacity } else { (capacity as f64 * LARGE_SHARE) as usize };
        let grown = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            used.checked_add(growth).filter(|sum| *sum <= limit || growth == 0)
        });
        let Ok(before) = grown else {
            ::metrics::counter!("chivelatch_memory_refusals_total").increment(1);
            return ExhaustedSnafu { capacity }.fail();
        };
        peak.fetch_max(before + growth, Ordering::Relaxed);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Buffer {
    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// [`Full`] if they do not fit; the buffer stays as it is.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), Full> {
        let length = self.bytes.len() + chunk.len();
        if self.limit < length {
            return TooLargeSnafu { limit: self.limit }.fail();
        }
        if self.bytes.capacity() < length {
            let capacity = length.max(2 * self.bytes.capacity()).max(MIN_BUFFER);
            self.reservation.resize(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the bytes, which occupy their part of the budget until the last copy is dropped.
    pub fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Held { bytes: self.bytes, _reservation: self.reservation })
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

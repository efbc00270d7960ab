//! At-most-once execution of non-idempotent requests, decided by the order of
//! records in the platform's log.
//!
//! The first `Begin` for an idempotency key wins, and only its author may
//! dispatch the request, once. All readers of the same records agree on the
//! winner without leases or local clocks. A key is remembered for a fixed time: it
//! can be reused once its `Begin` is older, measured by the log's timestamps.
//!
//! Architecture Invariant: no clock and no socket; records come in as values.

pub mod bytes;
pub mod record;
pub mod state;

//! At most once for non-idempotent requests, by the order of records in the
//! platform's log.
//!
//! The first `Begin` for an idempotency key wins, and only its author may
//! dispatch the request, once. Whoever reads the same records comes to the same
//! winner; no lease and no clock of ours is involved. A key may be used again
//! when its `Begin` is older than the window, by the log's own time.
//!
//! Architecture Invariant: no clock and no socket; records come in as values.

pub mod bytes;
pub mod record;
pub mod state;

//! Rate and burst of a client account over the whole fleet.
//!
//! An account's bucket is cut into shards; each has one holder (`fleet::lease`).
//! Entry instances draw grants from holders and admit requests against them.
//! Debit comes before credit everywhere: a lost message loses tokens and never
//! makes any.
//!
//! Architecture Invariant: no clock and no socket; time comes in as an argument.

pub mod bucket;
pub mod permit;
pub mod pool;
pub mod share;

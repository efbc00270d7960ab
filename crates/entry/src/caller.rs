//! Authentication of callers by the key in the `Authorization` header.
//!
//! A key may be withdrawn at any time, so it is checked again before each attempt of
//! a request and while the answer streams.

use std::sync::Arc;

use hyper::{HeaderMap, header::AUTHORIZATION};

use fleet::{Name, digest::Digest, state::State};

use crate::{
    Entry,
    rejection::{Kind, Rejection},
};

/// Retry-after time while the configuration of this instance may be stale.
const STALE_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// An authenticated caller.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) account: Name,
    /// Id of the key.
    pub(crate) key: Name,
}

/// Returns the caller whose key is in the `Authorization` header.
///
/// # Errors
///
/// The header has no key, or an unknown or withdrawn one.
pub(crate) fn authenticate(state: &State, headers: &HeaderMap) -> Result<Caller, Rejection> {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let Some(secret) = value.and_then(|value| value.strip_prefix("Bearer ")) else {
        let message = "no key came with the request; send `Authorization: Bearer KEY`";
        return Err(Rejection::not_run(Kind::Unauthorized, message));
    };
    let Some((key, account)) = state.lookup_key(&Digest::of(secret.trim())) else {
        let message = "the key is unknown or was withdrawn; ask the operators for a valid one";
        return Err(Rejection::not_run(Kind::Unauthorized, message));
    };
    Ok(Caller { account: Arc::clone(account), key: Arc::clone(key) })
}

/// Checks that the key of a request is still valid, and that the configuration of this
/// instance is fresh enough to tell. Accepts a request without a key.
///
/// # Errors
///
/// The key was withdrawn, or the configuration may be stale.
pub(crate) fn recheck_key(entry: &Entry, key: Option<&Name>) -> Result<(), Rejection> {
    let Some(key) = key else { return Ok(()) };
    if !entry.node.is_fresh() {
        let message = "this instance has lost touch with the others and cannot check keys; \
                       send the request again";
        return Err(Rejection::not_run(Kind::NotReady, message).retry_after(STALE_RETRY_AFTER));
    }
    let is_valid = entry.node.state().is_some_and(|state| state.is_key_valid(key));
    if !is_valid {
        let message = "the key was withdrawn; ask the operators for a valid one";
        return Err(Rejection::not_run(Kind::Unauthorized, message));
    }
    Ok(())
}

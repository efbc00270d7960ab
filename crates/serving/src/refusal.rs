//! Which refusals are believed to be about the request that waits for a response.
//!
//! A server in trouble may write a refusal once more, in place of the response to a later request. To
//! send a request again after such a refusal would run it twice, and its caller would be told that it
//! has not run. So a refusal counts only if it can be about no other request, and about no earlier
//! attempt of this one; otherwise the request may have run.

/// Request that a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The one that waits for the response.
    Awaited,
    Other,
    /// The response names none.
    Unnamed,
}

/// What came before a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Past {
    /// Whether an earlier exchange took place on the connection, a question about the server's state
    /// included.
    pub is_connection_used: bool,
    /// Whether the same server has refused the same request before.
    pub is_refused_again: bool,
}

/// What a refusal says, and of which request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the adapter is not resident, which the server states each time that it is asked for it.
    pub is_adapter_missing: bool,
    /// Whether the request may run more than once, so that a false refusal does no harm.
    pub is_repeatable: bool,
}

/// Returns whether a refusal shows that the awaited request did not run.
pub fn is_believed(subject: Subject, past: Past, refusal: Refusal) -> bool {
    let may_come_again = refusal.is_adapter_missing && refusal.is_repeatable;
    match subject {
        Subject::Awaited => !past.is_refused_again || may_come_again,
        Subject::Unnamed => !past.is_refused_again && !past.is_connection_used,
        Subject::Other => false,
    }
}

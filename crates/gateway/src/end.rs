//! How a server's response ended, for logs and metrics.

use services::{body::Tail, framing::Framing};

/// End of a response.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// `complete`, or the reason why it is not.
    pub outcome: &'static str,
    pub framing: Framing,
    pub tail: Tail,
    /// Length of what was forwarded of the body, in bytes.
    pub bytes: u64,
}

//! Framing of HTTP/1 responses.

use std::fmt;

use hyper::{
    HeaderMap,
    body::{Body as _, Incoming},
    header::TRANSFER_ENCODING,
};

/// How a response states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length, which is 0 for a response without a body.
    Length,
    /// By the last chunk.
    Chunks,
    /// By the end of the connection, which a server that fails may close in an orderly way, too.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a response whose body was not read yet.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Framing {
        if body.size_hint().exact().is_some() {
            return Framing::Length;
        }
        // The HTTP library reads any other transfer coding until the connection ends.
        let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
        match last.map(str::trim) {
            Some(last) if last.eq_ignore_ascii_case("chunked") => Framing::Chunks,
            _ => Framing::UntilClose,
        }
    }

    /// Returns whether the response itself states where its body ends.
    pub fn is_explicit(self) -> bool {
        self != Framing::UntilClose
    }

    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::UntilClose => "until_close",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

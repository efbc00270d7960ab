//! Answer to a stream's request whose first data has arrived. It is of one kind from its head on.

use bytes::Bytes;
use hyper::{StatusCode, http::response};

use services::body;

use crate::job::Upstream;

/// Answer to a stream's request.
pub enum Opened {
    Events(Events),
    Response(Response),
}

/// Events that another server may continue.
pub struct Events {
    pub upstream: Upstream,
    /// What was read so far: up to the first whole event, or to the end.
    pub first: Bytes,
}

/// Response that belongs to its server: a failure, a success that is no stream of events, or a stream that
/// cannot be resumed.
pub struct Response {
    pub upstream: Upstream,
    /// First chunk, which may be empty.
    pub first: Bytes,
}

impl Opened {
    pub fn status(&self) -> StatusCode {
        self.upstream().head.status
    }

    /// Returns whether the answer has an event that another server may continue after.
    pub fn has_events(&self) -> bool {
        matches!(self, Opened::Events(events) if events.upstream.body.has_events())
    }

    pub fn upstream(&self) -> &Upstream {
        match self {
            Opened::Events(Events { upstream, .. })
            | Opened::Response(Response { upstream, .. }) => upstream,
        }
    }
}

/// Returns whether the response to a stream's request consists of events: it is a success, may have a body
/// and states no other type.
pub fn is_of_events(head: &response::Parts) -> bool {
    let has_body = !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT);
    head.status.is_success() && has_body && body::may_be_event_stream(&head.headers)
}

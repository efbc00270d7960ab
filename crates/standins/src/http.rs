//! HTTP helpers shared by the stand-ins.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, Uri, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};

use front::body::{self, Body};
use kernel::Kernel;

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the body of a request.
///
/// # Errors
///
/// Returns the response to a request whose body is incomplete or too large; it must have no effect.
pub async fn read(
    kernel: &Kernel,
    request: Request<Incoming>,
) -> Result<Bytes, Box<Response<Body>>> {
    let body = body::read(kernel, request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
    body.map_err(|error| Box::new(plain(StatusCode::BAD_REQUEST, &error.to_string())))
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("answers hold only names, numbers and text");
    body::full(status, "application/json", text)
}

/// Returns a response with a plain text body.
pub fn plain(status: StatusCode, text: &str) -> Response<Body> {
    body::full(status, "text/plain", text.to_owned())
}

/// Parses faults from a request body and passes them to `set`.
pub async fn set_faults<T: DeserializeOwned>(
    kernel: &Kernel,
    request: Request<Incoming>,
    set: impl FnOnce(T),
) -> Response<Body> {
    let body = match read(kernel, request).await {
        Ok(body) => body,
        Err(rejection) => return *rejection,
    };
    match serde_json::from_slice(&body) {
        Ok(faults) => {
            set(faults);
            plain(StatusCode::OK, "ok")
        }
        Err(error) => plain(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Delays the answer beyond any client timeout.
pub async fn hang(kernel: &Kernel) -> Response<Body> {
    const HANG_TIME: Duration = Duration::from_secs(3600);
    kernel.clock.sleep(HANG_TIME).await;
    plain(StatusCode::GATEWAY_TIMEOUT, "")
}

/// Returns a numeric parameter of the query string.
pub fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

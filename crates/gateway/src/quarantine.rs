//! Identity of a request across its repeats.

use fleet::digest::Digest;
use hyper::http::request;
use serving::manifest::Grant;

/// Returns the fingerprint of a request. A repeat has the same one, at whichever instance it
/// arrives: it names the client account, the host, the method, the path with its query, and the
/// body, and no header that differs between two attempts of a caller.
pub fn fingerprint(grant: &Grant, host: &str, parts: &request::Parts, body: &[u8]) -> Digest {
    let account = grant.account.as_ref().map_or("", |account| &account.name);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let method = parts.method.as_str();
    Digest::of_parts([account, host, method, path].into_iter().map(str::as_bytes).chain([body]))
}

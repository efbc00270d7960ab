//! Requests for plain services: `/svc/ROUTE/…`.
//!
//! The route states whether callers need a key, and whether its requests are idempotent.
//! A request that is not must have an idempotency key, under which it runs at most once.

use std::sync::Arc;

use hyper::{HeaderMap, Request, Response, body::Incoming, header::CONTENT_TYPE};

use fleet::{
    Name,
    change::{Access, Repeat},
    state::{Route, State},
};
use front::body::Body;
use ledger::record;
use quota::pool::Reservation;
use wire::frame::Target;

use crate::{
    Entry,
    answer::{self, AdmittedJob},
    attempt, caller, completion, handler, idempotency,
    job::{self, Job},
    rejection::{Kind, Rejection},
};

/// Header that makes a non-idempotent request safe to send again.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// Tokens that a request for a plain service costs its account.
const REQUEST_COST_TOKENS: u64 = 1;
/// Account name of requests without a key, on routes open to all.
const ANONYMOUS_ACCOUNT: &str = "(open)";

/// Answers a request for a plain service.
///
/// # Errors
///
/// Any rejection before the answer has started.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    id: &Name,
    request: Request<Incoming>,
) -> Result<Response<Body>, Rejection> {
    let state = handler::require_state(entry)?;
    let (name, route) = find_route(&state, &request)?;
    let caller = match route.access {
        Access::Key => Some(caller::authenticate(&state, request.headers())?),
        Access::Open => None,
    };
    caller::recheck_key(entry, caller.as_ref().map(|caller| &caller.key))?;
    let idempotency_key = required_idempotency_key(&route, request.headers())?;
    let job = build_job(entry, id, request, name, &route, caller).await?;
    entry.node.note(id, format!("{} calls {:?}", job.account, job.target));
    let reservation = match job.key {
        Some(_) => completion::admit(entry, &state, &job).await?,
        None => Reservation::default(),
    };
    let admitted = AdmittedJob { reservation, job: job.clone() };
    let outcome = match idempotency_key {
        Some(key) => idempotency::run(entry, &job, record::key(&job.account, &key)).await,
        None => match attempt::run(entry, &job).await {
            Ok(answer) => return Ok(answer::respond(entry, admitted, answer).await),
            Err(rejection) => Err(rejection),
        },
    };
    if let Err(rejection) = &outcome {
        answer::settle_rejected(entry, &admitted, rejection).await;
    }
    outcome
}

/// Returns the route of a request and its name.
fn find_route(state: &State, request: &Request<Incoming>) -> Result<(Name, Route), Rejection> {
    let mut parts = request.uri().path().splitn(4, '/').skip(2);
    let name = parts.next().unwrap_or_default();
    let Some((name, route)) = state.routes.get_key_value(name) else {
        let message = format!("no route is called `{name}`; ask the operators for the routes");
        return Err(Rejection::not_run(Kind::NotFound, message));
    };
    Ok((Arc::clone(name), route.clone()))
}

/// Returns the idempotency key of a request, or `None` if the route is idempotent.
fn required_idempotency_key(
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<String>, Rejection> {
    if route.repeat == Repeat::Idempotent {
        return Ok(None);
    }
    let key = headers.get(IDEMPOTENCY_HEADER).and_then(|value| value.to_str().ok());
    let key = key.filter(|key| !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES);
    let Some(key) = key else {
        let message = "this route needs an `Idempotency-Key` header of 1 to 256 characters; \
                       choose one a call and repeat it when you send the call again";
        return Err(Rejection::not_run(Kind::BadRequest, message));
    };
    Ok(Some(key.to_owned()))
}

async fn build_job(
    entry: &Entry,
    id: &Name,
    request: Request<Incoming>,
    name: Name,
    route: &Route,
    caller: Option<caller::Caller>,
) -> Result<Job, Rejection> {
    let method: Name = Arc::from(request.method().as_str());
    let path = backend_path(&request, &name);
    let content_type = request.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let content_type: Name = Arc::from(content_type.unwrap_or("application/octet-stream"));
    let body = completion::read_body(entry, request).await?;
    let target = Target::Route { route: name };
    let now = entry.node.now();
    let (account, key) = match caller {
        Some(caller) => (caller.account, Some(caller.key)),
        None => (Arc::from(ANONYMOUS_ACCOUNT), None),
    };
    Ok(Job {
        request_id: Arc::clone(id),
        account,
        key,
        fingerprint: job::fingerprint(&target, &method, &path, &body),
        target,
        method,
        path,
        content_type,
        body: Arc::from(&*body),
        cost: REQUEST_COST_TOKENS,
        repeat: route.repeat,
        urgency: route.urgency,
        arrived_at: now,
        deadline: now + entry.settings.start_timeout,
    })
}

/// Returns the path and query that follow the route's name; `/` if there are none.
fn backend_path(request: &Request<Incoming>, name: &str) -> Name {
    let full_path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let rest = full_path.strip_prefix("/svc/").and_then(|rest| rest.strip_prefix(name));
    match rest.unwrap_or("/") {
        "" => Arc::from("/"),
        rest => Arc::from(rest),
    }
}

//! Stand-in for the platform's instance list. Processes announce themselves repeatedly;
//! a removed incarnation never returns, and readers see the list with a delay.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use async_net::TcpListener;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{ETAG, HeaderValue, IF_NONE_MATCH},
};
use parking_lot::Mutex;
use serde::Deserialize;

use fleet::member::{Listing, Member};
use front::{body::Body, server};
use kernel::{Kernel, drain::Drain};

use crate::http;

/// Settings of the list.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time without an announcement after which a process is removed.
    pub expiry: Duration,
    /// Age of the list that readers see.
    pub lag: Duration,
}

/// Scripted faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Rejects every call with 503.
    pub down: bool,
    /// Removes these instances immediately.
    pub drop: Vec<String>,
}

#[derive(Debug)]
struct Service {
    kernel: Kernel,
    settings: Settings,
    faults: Mutex<Faults>,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    members: BTreeMap<String, (Member, Instant)>,
    /// Incarnations that were removed and must not return.
    removed: BTreeSet<(String, u64)>,
    /// Versions of the list with the time of their creation, oldest first.
    versions: VecDeque<(Instant, u64, Listing)>,
    next_version: u64,
}

/// Serves the list until `drain` stops.
pub async fn serve(kernel: Kernel, listener: TcpListener, drain: Drain, settings: Settings) {
    let service = Arc::new(Service {
        kernel: kernel.clone(),
        settings,
        faults: Mutex::default(),
        table: Mutex::default(),
    });
    let handle = move |request| answer(Arc::clone(&service), request);
    server::serve(&kernel, listener, &drain, handle).await;
}

async fn answer(service: Arc<Service>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == "/faults" {
        let kernel = service.kernel.clone();
        return http::set_faults(&kernel, request, |faults| service.set_faults(faults)).await;
    }
    if service.faults.lock().down {
        return http::plain(StatusCode::SERVICE_UNAVAILABLE, "the list is down");
    }
    match *request.method() {
        Method::PUT => announce(&service, request).await,
        _ => read(&service, &request),
    }
}

async fn announce(service: &Service, request: Request<Incoming>) -> Response<Body> {
    let body = match http::read(&service.kernel, request).await {
        Ok(body) => body,
        Err(rejection) => return *rejection,
    };
    let Ok(member) = serde_json::from_slice::<Member>(&body) else {
        return http::plain(StatusCode::BAD_REQUEST, "not a member");
    };
    let now = service.kernel.clock.now();
    let mut table = service.table.lock();
    table.expire(now, service.settings.expiry);
    let name = member.instance.to_string();
    if table.removed.contains(&(name.clone(), member.incarnation)) {
        return http::plain(StatusCode::GONE, "this incarnation was dropped; start a new one");
    }
    let replaced = table.members.insert(name.clone(), (member.clone(), now));
    if let Some((old, _)) = replaced.filter(|(old, _)| old.incarnation != member.incarnation) {
        table.removed.insert((name, old.incarnation));
    }
    table.record_version(now);
    http::plain(StatusCode::OK, "ok")
}

fn read(service: &Service, request: &Request<Incoming>) -> Response<Body> {
    let now = service.kernel.clock.now();
    let mut table = service.table.lock();
    table.expire(now, service.settings.expiry);
    table.record_version(now);
    let (version, listing) = table.lagged_listing(now, service.settings.lag);
    let tag = format!("\"{version}\"");
    let known_tag = request.headers().get(IF_NONE_MATCH).and_then(|tag| tag.to_str().ok());
    if known_tag == Some(tag.as_str()) {
        return http::plain(StatusCode::NOT_MODIFIED, "");
    }
    let mut response = http::json(StatusCode::OK, &listing);
    let tag = HeaderValue::from_str(&tag).expect("a quoted number is a valid header value");
    response.headers_mut().insert(ETAG, tag);
    response
}

impl Service {
    fn set_faults(&self, faults: Faults) {
        let now = self.kernel.clock.now();
        let mut table = self.table.lock();
        // Time during which the list was down does not count towards expiry.
        if self.faults.lock().down {
            table.members.values_mut().for_each(|(_, announced)| *announced = now);
        }
        faults.drop.iter().for_each(|name| table.remove(name));
        table.record_version(now);
        drop(table);
        *self.faults.lock() = faults;
    }
}

impl Table {
    fn expire(&mut self, now: Instant, expiry: Duration) {
        let is_expired = |announced: &Instant| expiry < now.saturating_duration_since(*announced);
        let expired: Vec<_> = self
            .members
            .iter()
            .filter(|(_, (_, announced))| is_expired(announced))
            .map(|(name, _)| name.clone())
            .collect();
        expired.iter().for_each(|name| self.remove(name));
    }

    fn remove(&mut self, name: &str) {
        if let Some((member, _)) = self.members.remove(name) {
            self.removed.insert((name.to_owned(), member.incarnation));
        }
    }

    /// Records a new version if the list has changed.
    fn record_version(&mut self, now: Instant) {
        let members = self.members.values().map(|(member, _)| member.clone()).collect();
        let listing = Listing { members };
        if self.versions.back().is_some_and(|(_, _, last)| *last == listing) {
            return;
        }
        self.next_version += 1;
        self.versions.push_back((now, self.next_version, listing));
    }

    /// Returns the newest version that is at least `lag` old, or else the oldest version.
    fn lagged_listing(&mut self, now: Instant, lag: Duration) -> (u64, Listing) {
        let is_visible = |at: &Instant| lag <= now.saturating_duration_since(*at);
        while self.versions.get(1).is_some_and(|(at, ..)| is_visible(at)) {
            self.versions.pop_front();
        }
        let visible = self.versions.front();
        visible.map(|(_, version, listing)| (*version, listing.clone())).unwrap_or_default()
    }
}

//! Origins of streams (`serving::origin`) as processes tell them to each other.
//!
//! Before the first event of a resumable stream goes to its caller, the instance tells the stream's
//! holders: two side processes, which outlast the entry instances, and one other instance. It tells
//! those who become holders later, too. An instance that gets a take-up asks whoever may be a holder,
//! a few more processes, since not all instances know the same ones, and then the store (`archive`).

pub mod archive;
mod evidence;

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_net::UdpSocket;
use kernel::event::Event;
use parking_lot::Mutex;
use placement::rendezvous;
use smallvec::SmallVec;

use serving::{
    Moment, Name,
    archive::Delegated,
    origin::{self, Answer, Key, Origin, Record, Registry},
};

use crate::{
    entry::Entry,
    mesh,
    message::{Message, OriginNotice, OriginReply},
    replies::Replies,
    shared_read::Reads,
};

/// Side processes that are told the origin of a stream.
const TOLD_SIDES: usize = 2;
/// Entry instances that are told it; more if there is no side process.
const TOLD_PEERS: usize = 1;
/// Side processes that are asked for it.
const ASKED_SIDES: usize = 4;
/// Entry instances that are asked for it.
const ASKED_PEERS: usize = 3;
/// Silence after which an instance is neither told nor asked.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time until a holder that has not confirmed a notice is told again.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(80);
/// Times for which a holder is told.
const MAX_NOTICES: usize = 3;
/// Time until processes that have not answered a question are asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between checks whether streams have other holders.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Limit of the questions that an instance has at a time; a take-up beyond it is rejected.
const MAX_LOOKUPS: usize = 512;

/// Processes that hold the origin of one stream.
type Holders = SmallVec<[SocketAddr; 4]>;

/// Origins that an entry instance keeps, and its exchanges about them.
#[derive(Default)]
pub struct Origins {
    registry: Mutex<Registry>,
    /// Streams that this instance began or took up, which it tells to new holders.
    own: Mutex<HashMap<Key, Own>>,
    confirmations: Replies<()>,
    lookups: Mutex<HashMap<u64, Lookup>>,
    archive_reads: Reads<()>,
    delegated: Mutex<Delegated>,
    /// Notified when a question is answered.
    answered: event_listener::Event,
}

/// Stream that this instance began or took up.
struct Own {
    record: Record,
    /// Process that the origin is known from, until it has broken the stream off: what the store lists of
    /// it may be late.
    source: Option<Process>,
    /// Whether the server was asked which process it is, and has not answered yet. Nobody is told the
    /// origin until then.
    is_awaited: bool,
    /// Origin that speaks against the recorded one.
    contradiction: Option<Origin>,
    expires_at: Moment,
    told: Holders,
}

/// Process of a server, as the store lists it.
#[derive(Clone, Debug)]
pub struct Process {
    pub server: Name,
    /// Its start, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// Notice that a process is to get.
struct Untold {
    holder: SocketAddr,
    records: Vec<Record>,
    expires_at: Moment,
}

/// Question that is under way.
struct Lookup {
    /// Processes that have not answered.
    silent: Holders,
    answer: Answer,
}

/// Question that is forgotten when this is dropped.
struct LookupGuard<'a> {
    origins: &'a Origins,
    id: u64,
}

impl Entry {
    /// Records the origin of a stream and tells its holders. Each of them was sent a notice when
    /// this returns, and gets it again in the background until it has confirmed it. `source` is the
    /// process that the origin is known from.
    pub async fn announce_origin(self: &Arc<Entry>, record: Record, source: Option<Process>) {
        let now = self.now();
        self.origins.registry.lock().record(now, &record);
        let holders = self.holders(&record.key, TOLD_SIDES, TOLD_PEERS);
        let expires_at = now + record.remaining;
        for holder in &holders {
            let records = vec![record.clone()];
            self.tell(Untold { holder: *holder, records, expires_at }).await;
        }
        let own = Own {
            expires_at,
            told: holders,
            record,
            source,
            is_awaited: false,
            contradiction: None,
        };
        self.origins.own.lock().insert(own.record.key.clone(), own);
    }

    /// Returns whether the origin of a stream that this instance began holds. It does not if the
    /// server's answer names another process, or if the store lists a later process by now, while the
    /// stream had not been broken off by its server.
    pub async fn confirm_origin(&self, key: &Key, limit: Duration) -> bool {
        if !self.await_evidence(key, limit).await {
            return false;
        }
        let mut own = self.origins.own.lock();
        let Some(own) = own.get_mut(key) else { return true };
        self.review_source(own);
        own.contradiction.is_none()
    }

    /// Records that the server of a stream has broken it off, so that no later process wrote it.
    pub fn record_broken_off(&self, key: &Key) {
        if let Some(own) = self.origins.own.lock().get_mut(key) {
            own.source = None;
        }
    }

    /// Looks for a later process in the place of the one that began a stream.
    fn review_source(&self, own: &mut Own) {
        let Some(source) = &own.source else { return };
        let listing = self.with_mirror(|mirror| mirror.directory.get(&source.server).cloned());
        let later = listing.filter(|listing| source.born_ms < listing.born_ms);
        let Some(later) = later else { return };
        own.source = None;
        // Whatever the later version is: a process of another one may have come and gone unlisted.
        log::info!(
            event = Event::OriginDoubted, server = &*later.id, version = &*later.version,
            recorded = &*own.record.origin.version;
            "a stream may have begun at a later process of its server; it goes on nowhere"
        );
        let origin = contradiction(&own.record.origin);
        let record = Record { origin: origin.clone(), ..own.record.clone() };
        self.origins.registry.lock().record(self.now(), &record);
        own.contradiction = Some(origin);
        own.told.clear();
    }

    /// Returns the origin of a stream, from this instance or from the holders, which have until
    /// `limit` to answer.
    pub async fn find_origin(&self, key: &Key, limit: Duration) -> Answer {
        let deadline = self.now() + limit;
        if !self.await_evidence(key, limit).await {
            return Answer::Contradictory;
        }
        let own = self.origins.registry.lock().get(self.now(), key);
        if own != Answer::Unknown {
            return own;
        }
        let Some(socket) = self.mesh_socket.get() else { return Answer::Unknown };
        let asked = self.holders(key, ASKED_SIDES, ASKED_PEERS);
        let Some(lookup) = self.origins.start_lookup(asked) else { return Answer::Unknown };
        loop {
            for holder in lookup.silent() {
                let request = Message::OriginRequest { id: lookup.id, key: key.clone() };
                mesh::send(socket, holder, &request).await;
            }
            let round_end = deadline.min(self.now() + ANSWER_TIMEOUT);
            loop {
                let answered = self.origins.answered.listen();
                if let Some(answer) = lookup.outcome() {
                    return answer;
                }
                let remaining = round_end.saturating_sub(self.now());
                if remaining.is_zero() {
                    break;
                }
                let _answered_or_timed_out = self.kernel.clock.timeout(remaining, answered).await;
            }
            if deadline <= self.now() {
                return lookup.answer();
            }
        }
    }

    /// Records what another instance tells.
    pub fn record_origins(&self, notice: &OriginNotice) {
        record(&mut self.origins.registry.lock(), self.now(), notice);
    }

    /// Returns what this instance knows of a stream.
    pub fn known_origin(&self, key: &Key) -> Answer {
        self.origins.registry.lock().get(self.now(), key)
    }

    /// Records that a holder has confirmed a notice.
    pub fn record_origin_receipt(&self, id: u64) {
        self.origins.confirmations.record(id, ());
    }

    /// Records the answer to a question, if it is still awaited.
    pub fn record_origin_reply(&self, from: SocketAddr, reply: OriginReply) {
        if let Some(lookup) = self.origins.lookups.lock().get_mut(&reply.id) {
            lookup.record(from, reply.answer);
        }
        self.origins.answered.notify(usize::MAX);
    }

    /// Returns the processes that hold a stream's origin: side processes and other instances.
    fn holders(&self, key: &Key, sides: usize, peers: usize) -> Holders {
        let mut holders = origin::holders(key, self.roster().side_hosts(), sides, rendezvous::hash);
        // Without side processes, other instances take their place.
        let peers = peers + sides.saturating_sub(holders.len());
        let heard = self.peers.lock().heard(self.now(), PEER_TIMEOUT);
        holders.extend(origin::holders(key, heard, peers, rendezvous::hash));
        holders
    }

    /// Sends a notice to a holder, and again in the background until it is confirmed.
    async fn tell(self: &Arc<Entry>, untold: Untold) {
        let Some(socket) = self.mesh_socket.get().cloned() else { return };
        let id = rand::random();
        let entry = Arc::clone(self);
        self.send_notice(&socket, id, &untold).await;
        self.kernel.spawn_detached(async move {
            for _ in 1..MAX_NOTICES {
                let confirmation = entry.origins.confirmations.expect(id);
                let confirmed =
                    entry.kernel.clock.timeout(CONFIRMATION_TIMEOUT, confirmation.reply()).await;
                if confirmed.is_ok() {
                    return;
                }
                entry.send_notice(&socket, id, &untold).await;
            }
        });
    }

    async fn send_notice(&self, socket: &UdpSocket, id: u64, untold: &Untold) {
        let remaining = untold.expires_at.saturating_sub(self.now());
        let records = untold.records.iter().map(|record| Record { remaining, ..record.clone() });
        let notice = OriginNotice { id, records: records.collect() };
        mesh::send(socket, untold.holder, &Message::OriginNotice(notice)).await;
    }
}

/// Tells the origins of this instance's streams to processes that become their holders.
pub async fn run(entry: Arc<Entry>) {
    loop {
        entry.kernel.clock.sleep(REVIEW_INTERVAL).await;
        for notice in untold(&entry) {
            entry.tell(notice).await;
        }
    }
}

/// Returns the holders that were not told of a stream yet, and marks them as told.
fn untold(entry: &Entry) -> Vec<Untold> {
    let now = entry.now();
    let mut own = entry.origins.own.lock();
    own.retain(|_, own| now < own.expires_at);
    let mut untold = Vec::new();
    for own in own.values_mut().filter(|own| !own.is_awaited) {
        entry.review_source(own);
        for holder in entry.holders(&own.record.key, TOLD_SIDES, TOLD_PEERS) {
            if !own.told.contains(&holder) {
                own.told.push(holder);
                let (records, expires_at) = (own.records(), own.expires_at);
                untold.push(Untold { holder, records, expires_at });
            }
        }
    }
    untold
}

impl Own {
    /// Returns what the holders are told. Two origins contradict each other.
    fn records(&self) -> Vec<Record> {
        let contradiction = self
            .contradiction
            .iter()
            .map(|it| Record { origin: it.clone(), ..self.record.clone() });
        [self.record.clone()].into_iter().chain(contradiction).collect()
    }
}

/// Origins that a side process holds, and the clock that it holds them by.
pub struct Holder {
    registry: Mutex<Registry>,
    start: Instant,
}

impl Holder {
    /// Creates the state of a process that starts now.
    pub fn new(start: Instant) -> Holder {
        Holder { registry: Mutex::default(), start }
    }

    /// Returns the response to a notice or a question.
    pub fn respond(&self, now: Instant, message: Message) -> Option<Message> {
        let now = now.saturating_duration_since(self.start);
        let mut registry = self.registry.lock();
        match message {
            Message::OriginNotice(notice) => {
                record(&mut registry, now, &notice);
                Some(Message::OriginReceipt { id: notice.id })
            }
            Message::OriginRequest { id, key } => {
                let answer = registry.get(now, &key);
                Some(Message::OriginReply(OriginReply { id, answer }))
            }
            _ => None,
        }
    }
}

/// Returns an origin that no stream has, which contradicts another one.
fn contradiction(origin: &Origin) -> Origin {
    let version = format!("not {}", origin.version).into();
    Origin { service: origin.service.clone(), version }
}

fn record(registry: &mut Registry, now: Moment, notice: &OriginNotice) {
    for record in &notice.records {
        registry.record(now, record);
    }
}

impl Origins {
    /// Returns the origins of streams of some services that this instance keeps in the store.
    fn archivable(&self, now: Moment, services: &BTreeSet<Name>) -> Vec<Record> {
        let mut records = self.own_records(now, services);
        records.extend(self.delegated.lock().records(now, services));
        records
    }

    /// Returns the origins of this instance's streams of some services that have not expired.
    fn own_records(&self, now: Moment, services: &BTreeSet<Name>) -> Vec<Record> {
        let own = self.own.lock();
        let living = own.values().filter(|own| now < own.expires_at && !own.is_awaited);
        let wanted = living.filter(|own| services.contains(&own.record.origin.service));
        let records = wanted.flat_map(|own| {
            let remaining = own.expires_at.saturating_sub(now);
            own.records().into_iter().map(move |record| Record { remaining, ..record })
        });
        records.collect()
    }

    /// Starts a question, unless too many are under way.
    fn start_lookup(&self, asked: Holders) -> Option<LookupGuard<'_>> {
        let mut lookups = self.lookups.lock();
        if MAX_LOOKUPS <= lookups.len() {
            return None;
        }
        let id = rand::random();
        lookups.insert(id, Lookup { silent: asked, answer: Answer::Unknown });
        Some(LookupGuard { origins: self, id })
    }
}

impl Lookup {
    fn record(&mut self, from: SocketAddr, answer: Answer) {
        let Some(index) = self.silent.iter().position(|it| *it == from) else { return };
        self.silent.remove(index);
        self.answer = match (&self.answer, answer) {
            (Answer::Unknown, answer) => answer,
            (known, Answer::Unknown) => known.clone(),
            (known, answer) if *known == answer => answer,
            _ => Answer::Contradictory,
        };
    }
}

impl LookupGuard<'_> {
    /// Returns the processes that have not answered.
    fn silent(&self) -> Holders {
        let lookups = self.origins.lookups.lock();
        lookups.get(&self.id).map(|lookup| lookup.silent.clone()).unwrap_or_default()
    }

    /// Returns the answer so far.
    fn answer(&self) -> Answer {
        let lookups = self.origins.lookups.lock();
        lookups.get(&self.id).map_or(Answer::Unknown, |lookup| lookup.answer.clone())
    }

    /// Returns the answer if it is known, or if nobody is left who could know it.
    fn outcome(&self) -> Option<Answer> {
        let answer = self.answer();
        (answer != Answer::Unknown || self.silent().is_empty()).then_some(answer)
    }
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        self.origins.lookups.lock().remove(&self.id);
    }
}

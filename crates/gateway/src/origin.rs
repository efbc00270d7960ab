//! Origins of streams (`serving::origin`) as processes tell them to each other.
//!
//! Before the first event of a resumable stream goes to its caller, the instance tells the stream's
//! holders: two side processes, which outlast the entry instances, and one other instance. It tells
//! those who become holders later, too. An instance that gets a take-up asks whoever may be a holder,
//! a few more processes, since not all instances know the same ones.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_net::UdpSocket;
use parking_lot::Mutex;
use placement::rendezvous;
use smallvec::SmallVec;

use serving::{
    Moment,
    origin::{self, Answer, Key, Record, Registry},
};

use crate::{
    entry::Entry,
    mesh,
    message::{Message, OriginNotice, OriginReply},
    replies::Replies,
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
    /// Notified when a question is answered.
    answered: event_listener::Event,
}

/// Stream that this instance began or took up.
struct Own {
    record: Record,
    expires_at: Moment,
    told: Holders,
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
    /// this returns, and gets it again in the background until it has confirmed it.
    pub async fn announce_origin(self: &Arc<Entry>, record: Record) {
        let now = self.now();
        self.origins.registry.lock().record(now, &record);
        let holders = self.holders(&record.key, TOLD_SIDES, TOLD_PEERS);
        let expires_at = now + record.remaining;
        for holder in &holders {
            self.tell(*holder, record.clone(), expires_at).await;
        }
        let own = Own { expires_at, told: holders, record };
        self.origins.own.lock().insert(own.record.key.clone(), own);
    }

    /// Returns the origin of a stream, from this instance or from the holders, which have until
    /// `limit` to answer.
    pub async fn find_origin(&self, key: &Key, limit: Duration) -> Answer {
        let own = self.origins.registry.lock().get(self.now(), key);
        if own != Answer::Unknown {
            return own;
        }
        let Some(socket) = self.mesh_socket.get() else { return Answer::Unknown };
        let deadline = self.now() + limit;
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
    async fn tell(self: &Arc<Entry>, holder: SocketAddr, record: Record, expires_at: Moment) {
        let Some(socket) = self.mesh_socket.get().cloned() else { return };
        let id = rand::random();
        let entry = Arc::clone(self);
        self.send_notice(&socket, holder, id, &record, expires_at).await;
        self.kernel.spawn_detached(async move {
            for _ in 1..MAX_NOTICES {
                let confirmation = entry.origins.confirmations.expect(id);
                let confirmed =
                    entry.kernel.clock.timeout(CONFIRMATION_TIMEOUT, confirmation.reply()).await;
                if confirmed.is_ok() {
                    return;
                }
                entry.send_notice(&socket, holder, id, &record, expires_at).await;
            }
        });
    }

    async fn send_notice(
        &self,
        socket: &UdpSocket,
        holder: SocketAddr,
        id: u64,
        record: &Record,
        expires_at: Moment,
    ) {
        let remaining = expires_at.saturating_sub(self.now());
        let record = Record { remaining, ..record.clone() };
        let notice = OriginNotice { id, records: vec![record] };
        mesh::send(socket, holder, &Message::OriginNotice(notice)).await;
    }
}

/// Tells the origins of this instance's streams to processes that become their holders.
pub async fn run(entry: Arc<Entry>) {
    loop {
        entry.kernel.clock.sleep(REVIEW_INTERVAL).await;
        for (holder, record, expires_at) in untold(&entry) {
            entry.tell(holder, record, expires_at).await;
        }
    }
}

/// Returns the holders that were not told of a stream yet, and marks them as told.
fn untold(entry: &Entry) -> Vec<(SocketAddr, Record, Moment)> {
    let now = entry.now();
    let mut own = entry.origins.own.lock();
    own.retain(|_, own| now < own.expires_at);
    let mut untold = Vec::new();
    for own in own.values_mut() {
        for holder in entry.holders(&own.record.key, TOLD_SIDES, TOLD_PEERS) {
            if !own.told.contains(&holder) {
                own.told.push(holder);
                untold.push((holder, own.record.clone(), own.expires_at));
            }
        }
    }
    untold
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

fn record(registry: &mut Registry, now: Moment, notice: &OriginNotice) {
    for record in &notice.records {
        registry.record(now, record);
    }
}

impl Origins {
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

//! A zone of instances that read the store for each other, as `gateway` carries the decisions out: reads,
//! reports and copies of mirrors take their time, and reports are lost.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use seeds::Random;
use serving::{
    Moment, Name,
    cursor::Position,
    directory::{Listing, Phase},
    mirror::{Change, Mirror, PeerCopy},
    outage::{Detector, Finding},
    reader::{self, Report, Version},
};

/// Servers that are listed.
pub const SERVERS: usize = 4;
const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Silence of a server after which its listing expires.
const EXPIRY: Duration = Duration::from_millis(3600);
/// Share of the reports that are lost.
const LOSS: f64 = 0.1;
/// Silence of the store after which peers are asked for copies.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a call that gets no answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(1050);

/// Time in which something is away.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub begin: Moment,
    pub end: Moment,
}

/// Instances with the store that they read.
pub struct Zone {
    random: Random,
    now: Moment,
    instances: Vec<Instance>,
    /// Instances that cannot reach the store for a while.
    pub cuts: Vec<(usize, Span)>,
    /// Records of the store, by position.
    log: Vec<Change>,
    servers: Vec<Server>,
    /// Time in which nobody reaches the store, and the longest time until its servers register again.
    outage: Option<(Span, f64)>,
    removal: Option<Moment>,
}

struct Server {
    id: Name,
    next_beat: Moment,
    last_beat: Moment,
    is_listed: bool,
    is_removed: bool,
}

struct Instance {
    address: SocketAddr,
    rank: u64,
    incarnation: u64,
    readers: reader::Zone,
    detector: Detector,
    mirror: Mirror,
    next_read: Moment,
    next_report: Moment,
    next_peer_check: Moment,
    last_answer: Moment,
    returned_at: Moment,
    /// Peers by their latest positions.
    positions: Vec<u64>,
    fetch: Option<Fetch>,
}

/// Copy of a peer's mirror that is under way.
struct Fetch {
    done_at: Moment,
    from: usize,
    incarnation: u64,
}

impl Span {
    pub fn new(begin: Moment, seconds: f64) -> Span {
        Span { begin, end: begin + Duration::from_secs_f64(seconds) }
    }

    fn contains(&self, at: Moment) -> bool {
        self.begin <= at && at < self.end
    }
}

impl Zone {
    /// Creates a zone whose instances have just started.
    pub fn new(random: &mut Random, size: usize) -> Zone {
        let mut random = Random::seed_from_u64(random.random());
        let instances = (0..size).map(|index| Instance::new(&mut random, index, size)).collect();
        let servers = (0..SERVERS).map(|number| Server {
            id: format!("s{number}").into(),
            next_beat: HEARTBEAT.mul_f64(number as f64 / SERVERS as f64),
            last_beat: Moment::ZERO,
            is_listed: false,
            is_removed: false,
        });
        Zone {
            now: Moment::ZERO,
            instances,
            cuts: Vec::new(),
            log: Vec::new(),
            servers: servers.collect(),
            outage: None,
            removal: None,
            random,
        }
    }

    /// Lets the store remove the listing of a server, which then leaves. Returns its id.
    pub fn remove_server_at(&mut self, at: Moment) -> Name {
        self.removal = Some(at);
        Arc::clone(&self.servers[0].id)
    }

    /// Lets the store be away for a while. Its servers register again within some seconds.
    pub fn set_outage(&mut self, span: Span, registration: f64) {
        self.outage = Some((span, registration));
    }

    /// Plays until `end` and calls `check` after each step.
    pub fn play_until(&mut self, end: Moment, mut check: impl FnMut(Moment, &Zone)) {
        while self.now < end {
            self.now += STEP;
            self.write();
            for index in 0..self.instances.len() {
                self.read(index);
                self.finish_fetch(index);
                self.ask_peer(index);
                self.report(index);
            }
            check(self.now, self);
        }
    }

    /// Returns whether an instance may send requests to a server.
    pub fn lists(&self, index: usize, server: &Name) -> bool {
        self.instances[index].mirror.directory.get(server).is_some()
    }

    pub fn listed_count(&self, index: usize) -> usize {
        self.instances[index].mirror.directory.iter().count()
    }

    fn is_away(&self) -> bool {
        self.outage.is_some_and(|(span, _)| span.contains(self.now))
    }

    fn reaches_store(&self, index: usize) -> bool {
        let is_cut = self.cuts.iter().any(|(cut, span)| *cut == index && span.contains(self.now));
        !is_cut && !self.is_away()
    }

    /// Writes the records of servers, and removes those that expired or leave.
    fn write(&mut self) {
        let now = self.now;
        if self.is_away() {
            return;
        }
        if let Some((span, registration)) = self.outage
            && now < span.end + STEP
            && span.end <= now
        {
            for server in &mut self.servers {
                let delay = self.random.random_range(0.05..registration);
                server.next_beat = now + Duration::from_secs_f64(delay);
            }
        }
        for server in &mut self.servers {
            if server.is_listed && server.last_beat + EXPIRY <= now {
                server.is_listed = false;
                self.log.push(Change::ServerRemoved(Arc::clone(&server.id)));
            }
            if !server.is_removed && server.next_beat <= now {
                (server.last_beat, server.is_listed) = (now, true);
                server.next_beat = now + HEARTBEAT;
                self.log.push(Change::Server(listing(&server.id)));
            }
        }
        if self.removal.take_if(|at| *at <= now).is_some() {
            let server = &mut self.servers[0];
            (server.is_removed, server.is_listed) = (true, false);
            self.log.push(Change::ServerRemoved(Arc::clone(&server.id)));
        }
    }

    /// Reads the store, unless another instance does.
    fn read(&mut self, index: usize) {
        let (now, reaches_store) = (self.now, self.reaches_store(index));
        let instance = &mut self.instances[index];
        if now < instance.next_read || instance.readers.followed_silence(now).is_some() {
            return;
        }
        if !reaches_store {
            let delay = self.random.random_range(0.1..0.6);
            instance.next_read = now + CALL_TIMEOUT + Duration::from_secs_f64(delay);
            return;
        }
        let finding = instance.detector.record_answer(now);
        instance.apply_finding(now, finding);
        let generation = instance.mirror.generation();
        let position = instance.mirror.positions.servers.offset as usize;
        for change in &self.log[position..] {
            instance.mirror.apply(now, change.clone());
        }
        instance.mirror.positions.servers = Position { era: 1, offset: self.log.len() as u64 };
        instance.mirror.directory.expire(now);
        if generation != instance.mirror.generation() {
            instance.readers.record_own_change();
        }
        instance.last_answer = now;
        instance.next_read = now + Duration::from_secs_f64(self.random.random_range(0.45..0.75));
    }

    /// Merges the copy that an instance fetches, once it has arrived.
    fn finish_fetch(&mut self, index: usize) {
        let now = self.now;
        let Some(fetch) = self.instances[index].fetch.take_if(|fetch| fetch.done_at <= now) else {
            return;
        };
        let copy = self.instances[fetch.from].mirror.to_peer_copy(now);
        let from = self.instances[fetch.from].address;
        let version = Version { incarnation: fetch.incarnation, generation: copy.generation };
        let instance = &mut self.instances[index];
        instance.merge(now, copy);
        instance.readers.record_copy(now, from, version);
    }

    /// Asks the most advanced peer for a copy while the store is silent.
    fn ask_peer(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if now < instance.next_peer_check {
            return;
        }
        instance.next_peer_check = now + Duration::from_millis(200);
        let followed = instance.readers.followed_silence(now);
        let silence = followed.unwrap_or(now.saturating_sub(instance.last_answer));
        let ahead = instance.positions.iter().enumerate().max_by_key(|(_, position)| **position);
        let Some((peer, position)) = ahead else { return };
        if silence < STORE_TIMEOUT || *position <= instance.mirror.positions.servers.offset {
            return;
        }
        let copy = self.instances[peer].mirror.to_peer_copy(now);
        self.instances[index].merge(now, copy);
    }

    /// Tells the others what an instance knows of the store.
    fn report(&mut self, index: usize) {
        let now = self.now;
        let sender = &mut self.instances[index];
        if now < sender.next_report {
            return;
        }
        let interval = self.random.random_range(0.1..0.25);
        sender.next_report = now + Duration::from_secs_f64(interval);
        let (from, rank) = (sender.address, sender.rank);
        let (report, position) = (sender.report(now), sender.mirror.positions.servers);
        for peer in (0..self.instances.len()).filter(|peer| *peer != index) {
            if self.random.random_range(0.0..1.0) < LOSS {
                continue;
            }
            let latency = Duration::from_secs_f64(self.random.random_range(0.005..0.1));
            let receiver = &mut self.instances[peer];
            receiver.positions[index] = position.offset;
            if let Some(answers) = report.answers {
                let finding = receiver.detector.record_report(now, answers);
                receiver.apply_finding(now, finding);
            }
            let needs_copy = receiver.readers.record_report(now, from, rank, report);
            let is_source = receiver.readers.source(now) == Some(from);
            if let Some(silence) = report.silence.filter(|_| is_source) {
                let finding = receiver.detector.record_answer(now.saturating_sub(silence));
                receiver.apply_finding(now, finding);
            }
            if needs_copy && receiver.fetch.is_none() {
                let incarnation = report.incarnation;
                receiver.fetch = Some(Fetch { done_at: now + latency, from: index, incarnation });
            } else if !needs_copy && is_source && receiver.readers.is_current(from) {
                let mut positions = receiver.mirror.positions;
                positions.servers = position;
                receiver.mirror.advance(positions);
            }
        }
    }
}

impl Instance {
    fn new(random: &mut Random, index: usize, size: usize) -> Instance {
        let rank = (size - index) as u64;
        let later = |seconds: f64| Duration::from_secs_f64(seconds);
        Instance {
            address: SocketAddr::from(([10, 0, 0, index as u8 + 1], 7600)),
            rank,
            incarnation: random.random(),
            readers: reader::Zone::new(rank),
            detector: Detector::default(),
            mirror: Mirror::default(),
            next_read: later(random.random_range(0.0..0.4)),
            next_report: later(random.random_range(0.0..0.2)),
            next_peer_check: later(random.random_range(0.0..0.2)),
            last_answer: Moment::ZERO,
            returned_at: Moment::ZERO,
            positions: vec![0; size],
            fetch: None,
        }
    }

    fn report(&self, now: Moment) -> Report {
        let follows = self.readers.followed_silence(now).is_some();
        Report {
            incarnation: self.incarnation,
            generation: self.mirror.generation(),
            silence: (!follows).then(|| now.saturating_sub(self.last_answer)),
            answers: self.detector.report(now),
        }
    }

    fn merge(&mut self, now: Moment, mut copy: PeerCopy) {
        if self.detector.is_steady(now) {
            copy.drop_lapsed();
        }
        self.mirror.merge(now, copy);
    }

    fn apply_finding(&mut self, now: Moment, finding: Option<Finding>) {
        match finding {
            Some(Finding::Returned(_)) => {
                self.mirror.directory.record_store_recovery(now);
                self.returned_at = now;
            }
            Some(Finding::NeverAway) => {
                self.mirror.directory.forget_store_recovery(self.returned_at);
            }
            None => {}
        }
    }
}

fn listing(id: &Name) -> Listing {
    Listing {
        id: Arc::clone(id),
        service: "desk".into(),
        address: ([10, 0, 1, 1], 8000).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 8,
        phase: Phase::Ready,
        born_ms: 1,
        models: Vec::new(),
        warmup_left: None,
    }
}

//! The simulated fleet: instances with the real decisions, servers that crash, and the datagrams in
//! between.

mod exchange;
mod trials;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use rand::RngExt as _;

use fleet::{
    digest::Digest,
    lease::Moment,
    suspect::{Attribute, Identity, List, Record, Report, Suspects, trial::Trials},
};
use seeds::Random;

use crate::day::{CONTACT_PERIOD, DAY, Outcome, Plan};

const RETENTION: Duration = Duration::from_secs(600);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time from a crash until an instance knows of it by its broken connection.
const DETECTION_DELAY: Duration = Duration::from_millis(2);
const RUN_TIME: Duration = Duration::from_millis(30);
const TIME_BUDGET: Duration = Duration::from_millis(1500);
/// Time that a request with parts takes, and that its caller waits.
const STREAM_TIME: Range<Duration> = milliseconds(200)..milliseconds(1500);
const STREAM_TIME_BUDGET: Duration = Duration::from_secs(5);
/// Time until a server begins to answer such a request.
const FIRST_EVENT_TIME: Range<Duration> = milliseconds(100)..milliseconds(500);
const ATTEMPTS: u32 = 2;
const POPULAR: usize = 100;
/// Parts of prompts: a first part that all have, one that crashes servers, and those of sessions.
const FIRST_PART: usize = 0;
const DEADLY_PART: usize = 1;
const SESSION_PARTS: Range<usize> = 2..42;

/// A request of a caller.
#[derive(Clone, Debug)]
struct Request {
    /// Poison requests are those below `Plan::poisons`.
    content: usize,
    /// Parts of the prompt; empty for a plain request.
    parts: Vec<usize>,
    instance: usize,
    life: u32,
    attempts: u32,
    deadline: Moment,
    trial: Option<Grant>,
    /// Requests for a trial that were not answered.
    unanswered: u32,
    asked: Option<u64>,
    has_ended: bool,
}

#[derive(Clone, Debug)]
struct Grant {
    id: u64,
    suspects: Suspects,
    server: usize,
    granted_by: usize,
}

struct Instance {
    list: List,
    trials: Trials,
    started: Moment,
    life: u32,
    round: u64,
    /// Start of the peers that were heard.
    heard: HashMap<usize, u32>,
    /// Whether a peer has told what it knows.
    is_informed: bool,
}

struct Server {
    life: u64,
    is_up: bool,
    /// Requests that run, with the suspects of which they are trials.
    running: Vec<(usize, Suspects)>,
}

#[derive(Clone, Debug)]
enum Message {
    Gossip { life: u32 },
    Records(Vec<Record>),
    Ask { id: u64, request: usize, records: Vec<Record>, server: usize },
    Reply { id: u64, request: usize, server: usize, is_granted: bool, records: Vec<Record> },
    TrialEnd { id: u64 },
}

#[derive(Clone, Debug)]
enum Event {
    Repeat { poison: usize },
    Popular,
    Unique,
    Sound,
    Deadly,
    Evaluate { request: usize },
    Timeout { request: usize, id: u64 },
    Complete { server: usize, life: u64, request: usize },
    Crash { server: usize, life: u64, by: Option<usize> },
    Detect { request: usize, crash: u64, on_trial: Suspects },
    Start { server: usize },
    Deliver { from: usize, to: usize, message: Message },
    Tick { instance: usize, life: u32 },
    CrashAny,
    KillAny,
}

pub struct Fleet<'a> {
    plan: Plan,
    random: &'a mut Random,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, Event>,
    next_id: u64,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    outcome: Outcome,
}

pub const fn milliseconds(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

impl Request {
    fn identity(&self) -> Identity {
        let fingerprint = Digest::of(self.content.to_string());
        let mut identity = Identity::of_request(fingerprint, Arc::from("council"));
        let parts = self.parts.iter().map(|part| Attribute::new("part", &part.to_string()));
        identity.attributes.extend(parts);
        identity
    }

    fn is_deadly(&self) -> bool {
        self.parts.contains(&DEADLY_PART)
    }

    fn time_budget(&self) -> Duration {
        if self.parts.is_empty() { TIME_BUDGET } else { STREAM_TIME_BUDGET }
    }
}

impl Instance {
    fn new(started: Moment, life: u32) -> Instance {
        let (list, trials, heard) = (List::new(RETENTION), Trials::default(), HashMap::new());
        let is_informed = life == 0;
        Instance { list, trials, started, life, round: 0, heard, is_informed }
    }
}

impl Fleet<'_> {
    pub fn play(plan: Plan, random: &mut Random) -> Outcome {
        let server = |_| Server { life: 0, is_up: true, running: Vec::new() };
        let mut fleet = Fleet {
            plan,
            random,
            now: Moment::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_id: 0,
            instances: (0..plan.instances).map(|_| Instance::new(Moment::ZERO, 0)).collect(),
            servers: (0..plan.servers).map(server).collect(),
            requests: Vec::new(),
            outcome: Outcome {
                crashes: vec![Vec::new(); plan.poisons],
                sent: vec![Vec::new(); plan.poisons],
                ..Outcome::default()
            },
        };
        for instance in 0..plan.instances {
            let delay = fleet.random.random_range(Duration::ZERO..GOSSIP_INTERVAL);
            fleet.schedule(delay, Event::Tick { instance, life: 0 });
        }
        for poison in 0..plan.poisons {
            let delay = fleet.random.random_range(milliseconds(500)..milliseconds(2500));
            fleet.schedule(delay, Event::Repeat { poison });
        }
        fleet.schedule(Duration::ZERO, Event::Popular);
        fleet.schedule(Duration::ZERO, Event::Unique);
        if let Some(deadly) = plan.deadly {
            fleet.schedule(Duration::ZERO, Event::Sound);
            fleet.schedule(deadly.interval, Event::Deadly);
        }
        if let Some(interval) = plan.crash_interval {
            fleet.schedule(interval, Event::CrashAny);
        }
        if let Some(interval) = plan.kill_interval {
            fleet.schedule(interval, Event::KillAny);
        }
        while let Some(Reverse((at, id))) = fleet.queue.pop() {
            fleet.now = at;
            let event = fleet.events.remove(&id).expect("each event is scheduled once");
            fleet.handle(event);
        }
        fleet.outcome
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let id = self.new_id();
        self.queue.push(Reverse((self.now + delay, id)));
        self.events.insert(id, event);
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn handle(&mut self, event: Event) {
        let is_day = self.now < DAY;
        match event {
            Event::Repeat { poison } if is_day => {
                (0..self.plan.copies).for_each(|_| self.arrive(poison));
                self.schedule(self.plan.repeat_interval, Event::Repeat { poison });
            }
            Event::Popular if is_day => {
                self.arrive(POPULAR);
                self.schedule(milliseconds(7), Event::Popular);
            }
            Event::Unique if is_day => {
                self.arrive(self.new_content());
                self.schedule(milliseconds(9), Event::Unique);
            }
            Event::Sound if is_day => {
                let session = self.random.random_range(SESSION_PARTS);
                self.arrive_with(self.new_content(), vec![FIRST_PART, session]);
                let interval = self.plan.deadly.map_or(DAY, |deadly| deadly.sound_interval);
                self.schedule(interval, Event::Sound);
            }
            Event::Deadly if is_day => {
                let Some(deadly) = self.plan.deadly else { return };
                let mut parts = vec![FIRST_PART, DEADLY_PART];
                if deadly.shares_session {
                    parts.push(SESSION_PARTS.start);
                }
                self.arrive_with(self.new_content(), parts);
                self.schedule(deadly.interval, Event::Deadly);
            }
            Event::CrashAny if is_day => {
                let server = self.random.random_range(0..self.servers.len());
                self.crash(server, self.servers[server].life, None);
                let interval = self.plan.crash_interval.unwrap_or(DAY);
                self.schedule(interval, Event::CrashAny);
            }
            Event::KillAny if is_day => {
                let index = self.random.random_range(0..self.instances.len());
                let life = self.instances[index].life + 1;
                self.instances[index] = Instance::new(self.now, life);
                // Its gossip starts at once, and its peers answer it.
                self.schedule(milliseconds(20), Event::Tick { instance: index, life });
                self.schedule(self.plan.kill_interval.unwrap_or(DAY), Event::KillAny);
            }
            Event::Evaluate { request } => self.evaluate(request),
            Event::Timeout { request, id } => self.time_out(request, id),
            Event::Complete { server, life, request } => self.complete(server, life, request),
            Event::Crash { server, life, by } => self.crash(server, life, by),
            Event::Detect { request, crash, on_trial } => self.detect(request, crash, on_trial),
            Event::Start { server } => self.servers[server].is_up = true,
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Tick { instance, life } => self.tick(instance, life),
            _ => {}
        }
    }

    /// Returns the content of a request like no other one.
    fn new_content(&self) -> usize {
        POPULAR + 1 + self.requests.len()
    }

    fn arrive(&mut self, content: usize) {
        self.arrive_with(content, Vec::new());
    }

    fn arrive_with(&mut self, content: usize, parts: Vec<usize>) {
        let instance = self.random.random_range(0..self.instances.len());
        let mut request = Request {
            content,
            parts,
            instance,
            life: self.instances[instance].life,
            attempts: 0,
            deadline: self.now,
            trial: None,
            unanswered: 0,
            asked: None,
            has_ended: false,
        };
        request.deadline += request.time_budget();
        if !request.parts.is_empty() {
            self.outcome.sound += usize::from(!request.is_deadly());
        } else if self.plan.poisons <= content {
            self.outcome.innocents += 1;
        }
        self.requests.push(request);
        self.evaluate(self.requests.len() - 1);
    }

    /// Returns whether the caller still waits and its instance still runs.
    fn is_live(&self, request: usize) -> bool {
        let request = &self.requests[request];
        let instance = &self.instances[request.instance];
        !request.has_ended && self.now < request.deadline && instance.life == request.life
    }

    fn send(&mut self, index: usize, server: usize) {
        let request = &self.requests[index];
        let on_trial = request.trial.as_ref().map(|trial| trial.suspects.clone());
        let on_trial = on_trial.unwrap_or_default();
        let (content, is_deadly) = (request.content, request.is_deadly());
        let is_stream = !request.parts.is_empty();
        let is_in_contact = self.instances[request.instance].started + CONTACT_PERIOD <= self.now;
        self.requests[index].attempts += 1;
        self.servers[server].running.push((index, on_trial));
        let life = self.servers[server].life;
        let crashes_by_now = self.plan.deadly.is_some_and(|deadly| deadly.starts_after <= self.now);
        if is_deadly && crashes_by_now {
            if is_in_contact {
                self.outcome.part_sent.push(self.now);
            }
            let delay = self.random.random_range(FIRST_EVENT_TIME);
            return self.schedule(delay, Event::Crash { server, life, by: Some(content) });
        }
        if content < self.plan.poisons {
            if is_in_contact {
                self.outcome.sent[content].push(self.now);
            }
            let delay = self.random.random_range(milliseconds(20)..milliseconds(90));
            return self.schedule(delay, Event::Crash { server, life, by: Some(content) });
        }
        let run_time = if is_stream { self.random.random_range(STREAM_TIME) } else { RUN_TIME };
        self.schedule(run_time, Event::Complete { server, life, request: index });
    }

    fn complete(&mut self, server: usize, life: u64, index: usize) {
        let state = &mut self.servers[server];
        if state.life != life {
            return;
        }
        state.running.retain(|(running, _)| *running != index);
        if !self.is_live(index) {
            return;
        }
        self.requests[index].has_ended = true;
        if self.requests[index].parts.is_empty() {
            self.outcome.answered += 1;
        } else {
            self.outcome.sound_answered += usize::from(!self.requests[index].is_deadly());
        }
        let (instance, identity) = (self.requests[index].instance, self.requests[index].identity());
        let service = Arc::from("desk");
        if !self.instances[instance].list.complete(self.now, &identity, &service, true).is_empty() {
            self.tell_changes(instance);
        }
        self.release_trial(index);
    }

    fn crash(&mut self, server: usize, life: u64, by: Option<usize>) {
        let state = &mut self.servers[server];
        if state.life != life || !state.is_up {
            return;
        }
        (state.life, state.is_up) = (life + 1, false);
        let broken = std::mem::take(&mut state.running);
        match by {
            Some(poison) if poison < self.plan.poisons => {
                self.outcome.crashes[poison].push(self.now);
            }
            Some(_) => self.outcome.part_crashes.push(self.now),
            None => {}
        }
        let crash = ((server as u64) << 32) + life;
        for (request, on_trial) in broken {
            self.schedule(DETECTION_DELAY, Event::Detect { request, crash, on_trial });
        }
        let delay = self.random.random_range(milliseconds(1500)..milliseconds(4000));
        self.schedule(delay, Event::Start { server });
    }

    fn detect(&mut self, index: usize, crash: u64, on_trial: Suspects) {
        let Request { instance, life, attempts, .. } = self.requests[index];
        if self.instances[instance].life != life {
            return;
        }
        let report = Report {
            request: self.requests[index].identity(),
            service: Arc::from("desk"),
            crash,
            on_trial,
        };
        if self.instances[instance].list.record(self.now, &report) {
            self.tell_changes(instance);
        }
        self.release_trial(index);
        let has_parts = !self.requests[index].parts.is_empty();
        let most = self.plan.deadly.filter(|_| has_parts).map_or(ATTEMPTS, |it| it.attempts);
        if attempts < most {
            self.evaluate(index);
        } else {
            self.requests[index].has_ended = true;
        }
    }
}

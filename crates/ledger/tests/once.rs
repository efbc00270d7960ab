//! Guards against a non-idempotent request that runs twice: several instances
//! race for one idempotency key while appends are delayed, lost or stored without
//! an acknowledgement, and instances crash.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::RngExt as _;

use fleet::{Name, digest::Digest, lease::Holder};
use ledger::{
    record::{Answer, Record, key},
    state::{Phase, State},
};
use seeds::Random;

const WINDOW: Duration = Duration::from_secs(3600);
const STEPS: u32 = 60;
const INSTANCES: usize = 3;

/// The protocol under test, and broken ones that the simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Protocol {
    /// The protocol that the ledger is made for.
    Implemented,
    /// Dispatches once its `Begin` is acknowledged, without reading the log back.
    NoReadBack,
    /// Gives up an unresolved claim without an `Abandon` that voids it, and runs the request.
    NoAbandon,
}

/// Progress of the request at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Begun { id: Name },
    Dispatched { id: Name },
    Ended,
}

struct Simulation {
    protocol: Protocol,
    log: Vec<Record>,
    /// Appends that were sent and that the log may still store.
    in_flight: Vec<Record>,
    states: Vec<State>,
    stages: Vec<Option<Stage>>,
    next_id: u32,
    /// Number of times that the request ran.
    run_count: u32,
    /// Answers that were replayed from the log.
    answers: Vec<Arc<Answer>>,
}

fn test_key() -> Digest {
    key("council", "release-7")
}

fn answer(number: u32) -> Answer {
    Answer { status: 201, content_type: Arc::from("text/plain"), body: number.to_string().into() }
}

fn begin(index: usize, id: &Name) -> Record {
    Record::Begin {
        id: Arc::clone(id),
        key: test_key(),
        request: Digest::of("body"),
        author: Holder { instance: Arc::from(format!("entry-{index}")), incarnation: 1 },
    }
}

impl Simulation {
    fn new(protocol: Protocol) -> Simulation {
        Simulation {
            protocol,
            log: Vec::new(),
            in_flight: Vec::new(),
            states: vec![State::new(WINDOW); INSTANCES],
            stages: vec![None; INSTANCES],
            next_id: 0,
            run_count: 0,
            answers: Vec::new(),
        }
    }

    fn step(&mut self, random: &mut Random) {
        self.deliver(random);
        let index = random.random_range(0..INSTANCES);
        match self.stages[index].clone() {
            None | Some(Stage::Ended) => self.receive_request(random, index),
            Some(Stage::Begun { id }) => self.resolve_claim(random, index, &id),
            Some(Stage::Dispatched { id }) => self.run(random, index, &id),
        }
        // The instance crashes; a new one replaces it.
        if random.random_ratio(1, 20) {
            self.stages[index] = None;
            self.states[index] = State::new(WINDOW);
        }
    }

    /// Stores a delayed append, or loses it.
    fn deliver(&mut self, random: &mut Random) {
        if !self.in_flight.is_empty() && random.random_ratio(1, 3) {
            let index = random.random_range(0..self.in_flight.len());
            let record = self.in_flight.swap_remove(index);
            if random.random_ratio(9, 10) {
                self.log.push(record);
            }
        }
    }

    fn receive_request(&mut self, random: &mut Random, index: usize) {
        self.read(index);
        if let Some(execution) = self.states[index].execution(&test_key()) {
            if let Phase::Answered(answer) = &execution.phase {
                self.answers.push(Arc::clone(answer));
            }
            return;
        }
        self.next_id += 1;
        let id: Name = Arc::from(format!("r{}", self.next_id));
        self.append(random, begin(index, &id));
        if self.protocol == Protocol::NoReadBack {
            self.run_count += 1;
            self.stages[index] = Some(Stage::Ended);
            return;
        }
        self.stages[index] = Some(Stage::Begun { id });
    }

    fn resolve_claim(&mut self, random: &mut Random, index: usize, id: &Name) {
        self.read(index);
        let winner =
            self.states[index].execution(&test_key()).map(|execution| Arc::clone(&execution.id));
        match winner {
            Some(winner) if winner == *id => {
                self.stages[index] = Some(Stage::Dispatched { id: Arc::clone(id) });
            }
            Some(_) => self.stages[index] = Some(Stage::Ended),
            None if random.random_ratio(1, 4) => self.give_up(random, index, id),
            None => {}
        }
    }

    fn give_up(&mut self, random: &mut Random, index: usize, id: &Name) {
        self.stages[index] = Some(Stage::Ended);
        match self.protocol {
            // Runs the request as if its `Begin` could no longer be stored.
            Protocol::NoAbandon => self.run_count += 1,
            _ => self.append_with_retries(random, Record::Abandon { id: Arc::clone(id) }),
        }
    }

    /// Runs the dispatched request, or abandons it as if the side process had reported that it
    /// did not start.
    fn run(&mut self, random: &mut Random, index: usize, id: &Name) {
        self.stages[index] = Some(Stage::Ended);
        if random.random_ratio(1, 4) {
            return self.append_with_retries(random, Record::Abandon { id: Arc::clone(id) });
        }
        self.run_count += 1;
        let done = Record::Done { id: Arc::clone(id), answer: answer(self.run_count) };
        self.append_with_retries(random, done);
    }

    /// Appends a record, which is stored at once, later, or never, with or without an
    /// acknowledgement.
    fn append(&mut self, random: &mut Random, record: Record) {
        if random.random_bool(0.5) { self.log.push(record) } else { self.in_flight.push(record) }
    }

    /// Appends a record until it is acknowledged, so that it may be stored twice, or
    /// not at all if its author crashes.
    fn append_with_retries(&mut self, random: &mut Random, record: Record) {
        for _ in 0..random.random_range(0..3) {
            self.append(random, record.clone());
        }
    }

    fn read(&mut self, index: usize) {
        let state = &mut self.states[index];
        for (offset, record) in self.log.iter().enumerate().skip(state.next_offset() as usize) {
            state.apply(offset as u64, Duration::from_secs(offset as u64), record);
        }
    }
}

fn run(protocol: Protocol, random: &mut Random) -> Simulation {
    let mut simulation = Simulation::new(protocol);
    (0..STEPS).for_each(|_| simulation.step(random));
    simulation
}

#[test]
fn runs_request_at_most_once() {
    seeds::run(20_000, |random| {
        let simulation = run(Protocol::Implemented, random);

        assert!(simulation.run_count <= 1, "the request ran {} times", simulation.run_count);
        let bodies: BTreeMap<_, _> =
            simulation.answers.iter().map(|answer| (answer.body.clone(), ())).collect();
        assert!(bodies.len() <= 1, "one request has two answers");
    });
}

#[test]
fn runs_request_and_replays_its_answer() {
    let runs_and_replays = |random: &mut Random| {
        let simulation = run(Protocol::Implemented, random);
        simulation.run_count == 1 && !simulation.answers.is_empty()
    };

    assert!(seeds::find(100, runs_and_replays).is_some());
}

#[test]
fn detects_broken_protocols() {
    for protocol in [Protocol::NoReadBack, Protocol::NoAbandon] {
        let runs_twice = |random: &mut Random| 1 < run(protocol, random).run_count;

        assert!(seeds::find(20_000, runs_twice).is_some(), "{protocol:?} was not detected");
    }
}

#[test]
fn voids_begin_that_log_orders_after_its_abandon() {
    cov_mark::check!(begin_after_abandon);
    let mut state = State::new(WINDOW);
    let id: Name = Arc::from("r1");

    state.apply(0, WINDOW, &Record::Abandon { id: Arc::clone(&id) });
    state.apply(1, WINDOW, &begin(0, &id));

    assert_eq!(state.execution(&test_key()), None);
}

#[test]
fn frees_key_after_window() {
    let mut state = State::new(WINDOW);
    let [first, second, third] = ["r1", "r2", "r3"].map(Arc::<str>::from);
    state.apply(0, Duration::ZERO, &begin(0, &first));

    state.apply(1, WINDOW, &begin(1, &second));
    let within = state.execution(&test_key()).map(|execution| Arc::clone(&execution.id));
    state.apply(2, WINDOW + Duration::from_millis(1), &begin(2, &third));
    let beyond = state.execution(&test_key()).map(|execution| Arc::clone(&execution.id));

    assert_eq!(within, Some(first));
    assert_eq!(beyond, Some(third));
}

#[test]
fn answer_bytes_survive_json_round_trip() {
    let body: Vec<u8> = (0..=255).collect();
    let answer = Answer { body: body.clone(), ..answer(1) };
    let record = Record::Done { id: Arc::from("r1"), answer };

    let text = serde_json::to_string(&record).expect("the record serializes");
    let read: Record = serde_json::from_str(&text).expect("the record was serialized above");

    assert_eq!(read, record);
}

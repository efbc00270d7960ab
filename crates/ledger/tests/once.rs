//! Several instances race for one idempotency key, while appends are delayed,
//! lost or taken without an acknowledgement, and instances die.

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

/// What a naive version does otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Chosen,
    /// Dispatches once its own record is acknowledged, without reading back.
    NoReadBack,
    /// Gives up an unsettled attempt without a record that voids it, and tries again.
    NoAbandon,
}

/// One try of the request at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Begun { id: Name },
    Dispatched { id: Name },
    Ended,
}

struct World {
    variant: Variant,
    log: Vec<Record>,
    /// Appends that were sent and may still be taken.
    in_flight: Vec<Record>,
    states: Vec<State>,
    stages: Vec<Option<Stage>>,
    next_id: u32,
    effects: u32,
    /// Answers by the instance that gave them.
    answers: Vec<Arc<Answer>>,
}

fn the_key() -> Digest {
    key("council", "release-7")
}

fn answer(number: u32) -> Answer {
    Answer { status: 201, content_type: Arc::from("text/plain"), body: number.to_string().into() }
}

fn begin(index: usize, id: &Name) -> Record {
    Record::Begin {
        id: Arc::clone(id),
        key: the_key(),
        request: Digest::of("body"),
        author: Holder { instance: Arc::from(format!("entry-{index}")), incarnation: 1 },
    }
}

impl World {
    fn new(variant: Variant) -> World {
        World {
            variant,
            log: Vec::new(),
            in_flight: Vec::new(),
            states: vec![State::new(WINDOW); INSTANCES],
            stages: vec![None; INSTANCES],
            next_id: 0,
            effects: 0,
            answers: Vec::new(),
        }
    }

    fn step(&mut self, random: &mut Random) {
        self.deliver(random);
        let index = random.random_range(0..INSTANCES);
        match self.stages[index].clone() {
            None | Some(Stage::Ended) => self.arrive(random, index),
            Some(Stage::Begun { id }) => self.settle(random, index, &id),
            Some(Stage::Dispatched { id }) => self.run(random, index, &id),
        }
        // The instance dies; another one starts in its place.
        if random.random_ratio(1, 20) {
            self.stages[index] = None;
            self.states[index] = State::new(WINDOW);
        }
    }

    /// Some time or other, or never, the log takes what was sent.
    fn deliver(&mut self, random: &mut Random) {
        if !self.in_flight.is_empty() && random.random_ratio(1, 3) {
            let index = random.random_range(0..self.in_flight.len());
            let record = self.in_flight.swap_remove(index);
            if random.random_ratio(9, 10) {
                self.log.push(record);
            }
        }
    }

    fn arrive(&mut self, random: &mut Random, index: usize) {
        self.read(index);
        if let Some(execution) = self.states[index].execution(&the_key()) {
            if let Phase::Answered(answer) = &execution.phase {
                self.answers.push(Arc::clone(answer));
            }
            return;
        }
        self.next_id += 1;
        let id: Name = Arc::from(format!("r{}", self.next_id));
        self.append(random, begin(index, &id));
        if self.variant == Variant::NoReadBack {
            self.effects += 1;
            self.stages[index] = Some(Stage::Ended);
            return;
        }
        self.stages[index] = Some(Stage::Begun { id });
    }

    fn settle(&mut self, random: &mut Random, index: usize, id: &Name) {
        self.read(index);
        let winner =
            self.states[index].execution(&the_key()).map(|execution| Arc::clone(&execution.id));
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
        match self.variant {
            // Runs it after all, as if its record could not come any more.
            Variant::NoAbandon => self.effects += 1,
            _ => self.append_surely(random, Record::Abandon { id: Arc::clone(id) }),
        }
    }

    /// The side process either never began the request or ran it.
    fn run(&mut self, random: &mut Random, index: usize, id: &Name) {
        self.stages[index] = Some(Stage::Ended);
        if random.random_ratio(1, 4) {
            return self.append_surely(random, Record::Abandon { id: Arc::clone(id) });
        }
        self.effects += 1;
        let done = Record::Done { id: Arc::clone(id), answer: answer(self.effects) };
        self.append_surely(random, done);
    }

    /// Taken at once, later, or never, with or without an acknowledgement.
    fn append(&mut self, random: &mut Random, record: Record) {
        if random.random_bool(0.5) { self.log.push(record) } else { self.in_flight.push(record) }
    }

    /// Repeated until acknowledged, so it may be taken twice; or its author dies.
    fn append_surely(&mut self, random: &mut Random, record: Record) {
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

fn run(variant: Variant, random: &mut Random) -> World {
    let mut world = World::new(variant);
    (0..STEPS).for_each(|_| world.step(random));
    world
}

#[test]
fn a_request_runs_at_most_once() {
    seeds::run(20_000, |random| {
        let world = run(Variant::Chosen, random);

        assert!(world.effects <= 1, "{} effects", world.effects);
        let bodies: BTreeMap<_, _> =
            world.answers.iter().map(|answer| (answer.body.clone(), ())).collect();
        assert!(bodies.len() <= 1, "two answers to one request");
    });
}

#[test]
fn the_request_often_runs_and_its_answer_is_repeated() {
    let is_useful = |random: &mut Random| {
        let world = run(Variant::Chosen, random);
        world.effects == 1 && !world.answers.is_empty()
    };

    assert!(seeds::find(100, is_useful).is_some());
}

#[test]
fn naive_versions_are_found_out() {
    for variant in [Variant::NoReadBack, Variant::NoAbandon] {
        let doubles = |random: &mut Random| 1 < run(variant, random).effects;

        assert!(seeds::find(20_000, doubles).is_some(), "{variant:?} was not found out");
    }
}

#[test]
fn an_attempt_abandoned_before_its_begin_is_ordered_is_void() {
    cov_mark::check!(begin_after_abandon);
    let mut state = State::new(WINDOW);
    let id: Name = Arc::from("r1");

    state.apply(0, WINDOW, &Record::Abandon { id: Arc::clone(&id) });
    state.apply(1, WINDOW, &begin(0, &id));

    assert_eq!(state.execution(&the_key()), None);
}

#[test]
fn a_key_is_free_again_after_the_window() {
    let mut state = State::new(WINDOW);
    let [first, second, third] = ["r1", "r2", "r3"].map(Arc::<str>::from);
    state.apply(0, Duration::ZERO, &begin(0, &first));

    state.apply(1, WINDOW, &begin(1, &second));
    let within = state.execution(&the_key()).map(|execution| Arc::clone(&execution.id));
    state.apply(2, WINDOW + Duration::from_millis(1), &begin(2, &third));
    let beyond = state.execution(&the_key()).map(|execution| Arc::clone(&execution.id));

    assert_eq!(within, Some(first));
    assert_eq!(beyond, Some(third));
}

#[test]
fn an_answer_survives_whatever_its_bytes() {
    let body: Vec<u8> = (0..=255).collect();
    let answer = Answer { body: body.clone(), ..answer(1) };
    let record = Record::Done { id: Arc::from("r1"), answer };

    let text = serde_json::to_string(&record).expect("it is text");
    let read: Record = serde_json::from_str(&text).expect("it was written here");

    assert_eq!(read, record);
}

//! Races of a silent attempt with one that is opened beside it, in all orders of what both yield.

use std::{ops::ControlFlow, time::Duration};

use serving::hedge::{self, Outcome, Race, Yield};

/// Number of steps of a played stream.
const STEPS: u32 = 8;
/// Attempts that the route of a played stream allows.
const ATTEMPTS: usize = 3;

/// What may happen next to a played stream.
const HAPPENINGS: [Happening; 5] =
    [Happening::Event, Happening::Break, Happening::Silence, Happening::Opened, Happening::Refused];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Happening {
    /// The server that is read sends its next event.
    Event,
    /// The connection to the server that is read ends.
    Break,
    /// The server that is read is silent for long.
    Silence,
    /// The server that was asked last sends its first event.
    Opened,
    /// The server that was asked last refuses the request.
    Refused,
}

/// Stream whose attempts are read as the race decides.
#[derive(Clone, Debug)]
struct Stream {
    /// Numbers of the events that the caller has.
    events: Vec<u32>,
    runs: usize,
    /// Whether an attempt is open that can be read.
    is_open: bool,
    /// Last event that the attempt which is being opened was told, and the race with the open one.
    opening: Option<(u32, Race<()>)>,
    has_failed: bool,
}

impl Stream {
    fn new() -> Stream {
        Stream { events: vec![1], runs: 1, is_open: true, opening: None, has_failed: false }
    }

    fn last(&self) -> u32 {
        *self.events.last().expect("a stream begins with an event")
    }

    /// Plays what happens next. Happenings that cannot be are left out.
    fn play(&mut self, happening: Happening) {
        match happening {
            _ if self.has_failed => {}
            Happening::Event if self.is_open => self.record(Yield::First(Ok(self.last() + 1))),
            Happening::Break if self.is_open => self.record(Yield::First(Err(()))),
            Happening::Silence if self.is_open && self.opening.is_none() => self.open(Race::Both),
            Happening::Opened => {
                let Some((told, _)) = &self.opening else { return };
                self.record(Yield::Second(Ok(told + 1)));
            }
            Happening::Refused if self.opening.is_some() => self.record(Yield::Second(Err(()))),
            _ => {}
        }
    }

    fn open(&mut self, race: Race<()>) {
        if self.runs < ATTEMPTS {
            self.runs += 1;
            self.opening = Some((self.last(), race));
        }
    }

    fn record(&mut self, yielded: Yield<u32, (), u32, ()>) {
        let Some((told, race)) = self.opening.take() else {
            return match yielded {
                Yield::First(Ok(event)) => self.events.push(event),
                _ => self.lose(),
            };
        };
        if yielded == Yield::First(Err(())) {
            self.is_open = false;
        }
        match race.next(yielded) {
            ControlFlow::Continue(race) => self.opening = Some((told, race)),
            ControlFlow::Break(Outcome::First(event)) => self.events.push(event),
            ControlFlow::Break(Outcome::Second { data, .. }) => {
                self.is_open = true;
                self.events.push(data);
            }
            ControlFlow::Break(Outcome::ReadOn(())) => {}
            ControlFlow::Break(Outcome::Neither { .. }) => self.lose(),
        }
    }

    fn lose(&mut self) {
        self.is_open = false;
        self.open(Race::SecondOnly { lost: () });
        self.has_failed = self.opening.is_none();
    }
}

// Guards against a stream that fails though an attempt is open, and against events of two attempts in it.
#[test]
fn a_stream_fails_only_without_an_open_attempt_and_its_events_follow_each_other() {
    let count = HAPPENINGS.len() as u32;
    for plan in 0..count.pow(STEPS) {
        let mut stream = Stream::new();
        let mut happenings = Vec::new();
        for step in 0..STEPS {
            let happening = HAPPENINGS[(plan / count.pow(step) % count) as usize];
            happenings.push(happening);

            stream.play(happening);

            let expected: Vec<u32> = (1..=stream.events.len() as u32).collect();
            assert_eq!(stream.events, expected, "{happenings:?}");
            assert!(!(stream.has_failed && stream.is_open), "{happenings:?}");
            let can_go_on = stream.is_open || stream.opening.is_some();
            assert_eq!(can_go_on, !stream.has_failed, "{happenings:?}");
        }
    }
}

#[test]
fn only_data_of_the_second_attempt_ends_the_first_one() {
    let both: Race<&str> = Race::Both;
    let refused: Yield<(), &str, (), &str> = Yield::Second(Err("full"));

    assert_eq!(both.next(refused), ControlFlow::Break(Outcome::ReadOn("full")));
}

#[test]
fn the_second_attempt_goes_on_when_the_first_one_is_lost() {
    let both: Race<&str> = Race::Both;
    let lost: Yield<(), &str, u32, ()> = Yield::First(Err("reset"));
    let ControlFlow::Continue(race) = both.next(lost) else { panic!("the race has ended") };
    let opened: Yield<(), &str, u32, ()> = Yield::Second(Ok(3));

    let outcome = race.next(opened);

    let expected = Outcome::Second { data: 3, lost: Some("reset") };
    assert_eq!(outcome, ControlFlow::Break(expected));
}

// Guards against races that follow each other without a pause.
#[test]
fn silence_is_never_too_short_to_be_one() {
    let shortest = Duration::from_millis(200);

    assert_eq!(hedge::stream_silence(Duration::ZERO), shortest);
    assert_eq!(hedge::answer_silence(Duration::ZERO), shortest);
    assert_eq!(hedge::stream_silence(Duration::from_millis(400)), Duration::from_millis(1200));
    assert_eq!(hedge::answer_silence(Duration::from_millis(400)), Duration::from_millis(800));
}

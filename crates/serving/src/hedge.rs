//! Hedged requests: which attempt is read while one is silent and another one is opened.
//!
//! A silent server may be dead, or may be preempting the request and go on a second later; the two look
//! alike. So silence may open a second attempt, and does not end the first one. That one is left if the
//! second yields data, and the second is left if the first goes on. Source of the technique: Dean and
//! Barroso, "The Tail at Scale", Communications of the ACM 56(2), 2013.
//!
//! Invariant: the data of one attempt is read, never that of two, and an attempt that is open is left only
//! for one that yields data.

use std::{ops::ControlFlow, time::Duration};

/// Silence of a stream after which another attempt is opened, as a multiple of the expected gap between its
/// events.
const STREAM_FACTOR: u32 = 3;
/// Time without an answer after which another attempt is opened, as a multiple of the route's objective.
const ANSWER_FACTOR: u32 = 2;

/// Shortest silence after which another attempt is opened, whatever the configuration states.
const MIN_SILENCE: Duration = Duration::from_millis(200);

/// A silent attempt and one that is being opened. `L` is how the first one was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Race<L> {
    Both,
    /// The first attempt is lost.
    SecondOnly {
        lost: L,
    },
}

/// What an attempt of a race yields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Yield<F, L, S, R> {
    /// Data of the first attempt, or how it was lost.
    First(Result<F, L>),
    /// The first data of the second attempt, or why it was not opened.
    Second(Result<S, R>),
}

/// Attempt that is left at the end of a race.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<F, L, S, R> {
    /// The first one goes on; the second one is to be dropped.
    First(F),
    /// The second one takes over; the first one is to be dropped, unless it is lost.
    Second { data: S, lost: Option<L> },
    /// The first one is still open; the second one was not opened.
    ReadOn(R),
    /// None: the first one was lost, and then the second one was not opened.
    Neither { lost: L, refused: R },
}

impl<L> Race<L> {
    /// Returns the outcome after this yield, or the race that goes on.
    pub fn next<F, S, R>(
        self,
        yielded: Yield<F, L, S, R>,
    ) -> ControlFlow<Outcome<F, L, S, R>, Race<L>> {
        let outcome = match (self, yielded) {
            (Race::Both, Yield::First(Ok(data))) => Outcome::First(data),
            (Race::Both, Yield::First(Err(lost))) => {
                return ControlFlow::Continue(Race::SecondOnly { lost });
            }
            (Race::Both, Yield::Second(Ok(data))) => Outcome::Second { data, lost: None },
            (Race::Both, Yield::Second(Err(refused))) => Outcome::ReadOn(refused),
            // An attempt that is lost yields nothing.
            (race, Yield::First(_)) => return ControlFlow::Continue(race),
            (Race::SecondOnly { lost }, Yield::Second(Ok(data))) => {
                Outcome::Second { data, lost: Some(lost) }
            }
            (Race::SecondOnly { lost }, Yield::Second(Err(refused))) => {
                Outcome::Neither { lost, refused }
            }
        };
        ControlFlow::Break(outcome)
    }
}

/// Returns the silence of a stream after which another attempt is opened. `gap` is the longest time
/// between two events that callers expect; the silence is not shorter than 200 ms.
pub fn stream_silence(gap: Duration) -> Duration {
    (gap * STREAM_FACTOR).max(MIN_SILENCE)
}

/// Returns the time after which another attempt is opened if there is no answer, or no first event of a
/// stream. `objective` is the route's; the time is not shorter than 200 ms.
pub fn answer_silence(objective: Duration) -> Duration {
    (objective * ANSWER_FACTOR).max(MIN_SILENCE)
}

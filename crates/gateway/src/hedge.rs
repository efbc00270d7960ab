//! Drives the race between a silent attempt of a request and one that is opened beside it.

use std::{ops::ControlFlow, pin::pin};

use futures_lite::future;

use serving::hedge::{Outcome, Race, Yield};

/// Waits for a silent attempt and for the one that is being opened, until one of them is left. The first
/// one is polled first, so that data which has already arrived counts.
pub async fn race<F, L, S, R>(
    first: impl Future<Output = Result<F, L>>,
    second: impl Future<Output = Result<S, R>>,
) -> Outcome<F, L, S, R> {
    let (mut first, mut second) = (pin!(first), pin!(second));
    let mut race = Race::Both;
    loop {
        let of_second = async { Yield::Second(second.as_mut().await) };
        let yielded = match &race {
            Race::Both => {
                let of_first = async { Yield::First(first.as_mut().await) };
                future::or(of_first, of_second).await
            }
            Race::SecondOnly { .. } => of_second.await,
        };
        match race.next(yielded) {
            ControlFlow::Continue(next) => race = next,
            ControlFlow::Break(outcome) => return outcome,
        }
    }
}

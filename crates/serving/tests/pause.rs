//! Pauses that servers ask for: none is shortened, and requests return in order.

use std::time::Duration;

use rand::RngExt as _;
use serving::{
    Moment,
    pause::{MAX_PAUSE, Pause},
};

const SECOND: Duration = Duration::from_secs(1);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the times up to `end` at which a pause admits a request, asked each millisecond.
fn admissions(pause: &mut Pause, start: Moment, end: Moment) -> Vec<Moment> {
    let times = (start.as_millis() as u64..end.as_millis() as u64).map(ms);
    times.filter(|now| pause.admit(*now)).collect()
}

// Guards against requests that are delayed although no server asked for it, at any age of the
// instance.
#[test]
fn admits_everything_without_a_pause() {
    for now in [ms(0), ms(10), SECOND] {
        let mut pause = Pause::default();

        assert_eq!(pause.wait(now), Duration::ZERO);
        assert!(pause.admit(now) && pause.admit(now), "{now:?}");
    }
}

// Guards against a second response that shortens the pause, or a pause that the first one ends.
#[test]
fn latest_end_counts() {
    let mut pause = Pause::default();

    let results = [
        pause.record(ms(0), SECOND * 3, 0.0),
        pause.record(ms(100), SECOND, 0.0),
        pause.record(ms(200), SECOND * 3, 0.0),
    ];

    assert_eq!(results, [true, false, true]);
    assert_eq!(pause.wait(ms(200)), SECOND * 3);
}

// Guards against a server that is banned for hours.
#[test]
fn longest_pause_is_bounded() {
    let mut pause = Pause::default();

    pause.record(SECOND, Duration::MAX, 1.0);

    assert!(pause.wait(SECOND) <= MAX_PAUSE + SECOND);
}

// Guards against all waiting requests arriving in the same millisecond, at one instance and at
// many that end the same pause.
#[test]
fn requests_return_one_after_the_other() {
    let mut first_returns = Vec::new();
    for position in 0..10 {
        let mut pause = Pause::default();
        pause.record(ms(0), SECOND, f64::from(position) / 10.0);

        let returned = admissions(&mut pause, ms(0), SECOND * 3);

        assert!(returned[..20].windows(2).all(|pair| ms(10) <= pair[1] - pair[0]), "{returned:?}");
        assert_eq!(returned.last(), Some(&ms(2999)));
        first_returns.push(returned[0]);
    }
    assert!(first_returns.windows(2).all(|pair| ms(10) <= pair[1] - pair[0]), "{first_returns:?}");
    assert!(first_returns.iter().all(|first| (SECOND..=SECOND + ms(250)).contains(first)));
}

// Guards against a place after a pause that is lost with a request that was admitted and not sent,
// and against one that is given back into a new pause.
#[test]
fn gives_the_place_of_an_unsent_request_to_the_next() {
    let mut pause = Pause::default();
    pause.record(ms(0), SECOND, 0.0);
    let now = SECOND + ms(1);

    let first = pause.admit(now);
    pause.give_back(now + ms(1));
    let second = pause.admit(now + ms(1));
    pause.record(now + ms(2), ms(10), 0.0);
    pause.give_back(now + ms(3));
    let third = pause.admit(now + ms(3));

    assert_eq!((first, second, third), (true, true, false));
}

// Guards against requests in the time for which a server wants none, whatever responses arrive
// and in whichever order.
#[test]
fn admits_nothing_before_the_latest_end() {
    seeds::run(500, |random| {
        let mut pause = Pause::default();
        let mut latest_end = Moment::ZERO;
        for step in 0..400 {
            let now = ms(step * 10);
            if random.random_bool(0.02) {
                let asked = ms(random.random_range(1..1500));
                pause.record(now, asked, random.random_range(0.0..1.0));
                latest_end = latest_end.max(now + asked);
            }

            let is_admitted = random.random_bool(0.5) && pause.admit(now);

            assert!(!is_admitted || latest_end <= now, "admitted at {now:?} before {latest_end:?}");
        }
    });
}

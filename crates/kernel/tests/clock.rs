//! Tests of the paused clock, graceful shutdown and the plug-in registry.

use std::time::Duration;

use futures_lite::future;

use kernel::{
    clock::Clock,
    drain::Drain,
    plugin::{self, Plugin},
};

const HOUR: Duration = Duration::from_secs(3600);

struct Colour(&'static str);

plugin::inventory::collect!(Colour);
plugin::inventory::submit! { Colour("red") }
plugin::inventory::submit! { Colour("blue") }

impl Plugin for Colour {
    const KIND: &'static str = "colour";

    fn name(&self) -> &'static str {
        self.0
    }
}

#[test]
fn paused_clock_moves_only_when_advanced() {
    let clock = Clock::paused();
    let start = clock.now();

    let (early, late) = future::block_on(async {
        let early = future::poll_once(clock.sleep(HOUR)).await;
        let advance = async {
            clock.advance(HOUR / 2);
            clock.advance(HOUR / 2);
        };
        let late = future::zip(clock.sleep(HOUR), advance).await;
        (early, late)
    });

    assert_eq!(early, None);
    assert_eq!(late, ((), ()));
    assert_eq!(clock.now() - start, HOUR);
}

#[test]
fn timeout_follows_paused_clock() {
    let clock = Clock::paused();

    let outcome = future::block_on(async {
        let waiting = clock.timeout(HOUR, future::pending::<()>());
        let advance = async { clock.advance(HOUR) };
        future::zip(waiting, advance).await.0
    });

    assert!(outcome.is_err());
}

#[test]
fn drain_waits_for_work_in_flight() {
    let clock = Clock::paused();
    let drain = Drain::default();
    let guard = drain.guard();
    drain.stop();

    let (unfinished, finished) = future::block_on(async {
        let advance = async { clock.advance(HOUR) };
        let unfinished = future::zip(drain.finish(&clock, HOUR), advance).await.0;
        drop(guard);
        (unfinished, drain.finish(&clock, HOUR).await)
    });

    assert!(drain.is_stopping());
    assert!(!unfinished);
    assert!(finished);
}

#[test]
fn unknown_plugin_error_lists_known_names() {
    let found = plugin::find::<Colour>("blue").map(Plugin::name);
    let unknown = plugin::find::<Colour>("green").map(Plugin::name);

    assert_eq!(found.ok(), Some("blue"));
    let message = unknown.expect_err("no such colour").to_string();
    assert_eq!(message, "no colour is called `green`; choose one of: blue, red");
}

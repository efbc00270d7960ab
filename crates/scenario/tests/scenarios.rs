//! Runs the scenario scripts, with a limited number of fleets at a time.

use std::path::Path;

use parking_lot::{Condvar, Mutex};

/// Limit that keeps timings meaningful on a small machine.
const MAX_RUNNING_FLEETS: usize = 2;

static RUNNING_FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// Permission to run a fleet, returned on drop.
struct Permit;

impl Permit {
    fn acquire() -> Permit {
        let mut running = RUNNING_FLEETS.lock();
        FLEET_ENDED.wait_while(&mut running, |running| MAX_RUNNING_FLEETS <= *running);
        *running += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING_FLEETS.lock() -= 1;
        FLEET_ENDED.notify_one();
    }
}

fn run(script: &str) {
    let _permit = Permit::acquire();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts").join(script);
    if let Err(error) = scenario::script::run(&path) {
        panic!("{error}");
    }
}

macro_rules! scenarios {
    ($($name:ident),* $(,)?) => {
        $(#[test]
        fn $name() {
            run(concat!(stringify!($name), ".rhai"));
        })*
    };
}

scenarios! {
    adapter_version,
    bad_input,
    configuration,
    failing_engines,
    given_up,
    keys,
    kill_points,
    orders,
    outage,
    planned_stop,
    poison,
    quota,
    replaced_side,
    second_side,
    slow_stop,
    whole_path,
}

//! Limits that backend servers name for the requests of all instances together.

/// Rate from which a limit binds nobody, in requests per second.
const UNLIMITED_RATE: f64 = 1e6;

/// Requests per second that a server takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// What a response says about its server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// The response names no limit.
    #[default]
    Absent,
    /// The response names a limit that is no number, or a negative one.
    Unusable,
    Named(Rate),
}

impl Rate {
    /// Returns the rate, or `None` for one that is negative or no number.
    pub fn new(per_second: f64) -> Option<Rate> {
        (0.0..=f64::INFINITY).contains(&per_second).then(|| Rate(per_second.min(UNLIMITED_RATE)))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

//! What a simulated day is made of, and its result.

use std::{collections::HashMap, time::Duration};

use fleet::lease::Moment;

/// Time after which instances are expected to know of a crash, and to be known after their start.
pub const CONTACT_PERIOD: Duration = Duration::from_secs(3);
/// Time for which requests are sent.
pub const DAY: Duration = Duration::from_secs(20);

/// What a day is made of.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub instances: usize,
    pub servers: usize,
    pub poisons: usize,
    /// Time between two repeats of one poison request.
    pub repeat_interval: Duration,
    /// Copies of a poison request that arrive at once.
    pub copies: usize,
    /// Share of datagrams that are lost; as many arrive twice.
    pub loss: f64,
    /// Time between two crashes without a poison request, if there are any.
    pub crash_interval: Option<Duration>,
    /// Time between two kills of an instance, if there are any.
    pub kill_interval: Option<Duration>,
    /// Requests with prompts, some of which have a part that crashes servers.
    pub deadly: Option<Deadly>,
}

/// Requests with prompts, all of which have the same first part.
#[derive(Clone, Copy, Debug)]
pub struct Deadly {
    /// Time between two requests with the part that crashes servers.
    pub interval: Duration,
    /// Time between two sound requests.
    pub sound_interval: Duration,
    /// Servers to which a request is sent.
    pub attempts: u32,
    /// Whether all requests with the part have the same session, as few sound ones do.
    pub shares_session: bool,
    /// Time from which the part crashes servers; requests with it complete before.
    pub starts_after: Duration,
}

/// Result of a day.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Times at which each poison request crashed a server.
    pub crashes: Vec<Vec<Moment>>,
    /// Times at which each was sent, by instances that had run for [`CONTACT_PERIOD`].
    pub sent: Vec<Vec<Moment>>,
    /// Rejections of innocent requests that are due to a quarantine, by content.
    pub wrongful: HashMap<usize, usize>,
    /// Innocent requests, and those that were answered.
    pub innocents: usize,
    pub answered: usize,
    /// Times at which requests with the deadly part crashed a server, and were sent.
    pub part_crashes: Vec<Moment>,
    pub part_sent: Vec<Moment>,
    /// Sound requests with parts, those that were answered, and those rejected for a quarantine.
    pub sound: usize,
    pub sound_answered: usize,
    pub sound_rejected: usize,
}

impl Outcome {
    /// Returns how often requests with the deadly part were sent later than [`CONTACT_PERIOD`] after
    /// the fifth crash.
    pub fn late_part_sends(&self) -> usize {
        let Some(fifth) = self.part_crashes.get(4) else { return 0 };
        self.part_sent.iter().filter(|at| *fifth + CONTACT_PERIOD < **at).count()
    }

    /// Returns how often a poison request was sent later than [`CONTACT_PERIOD`] after its third
    /// crash.
    pub fn late_sends(&self, poison: usize) -> usize {
        let Some(third) = self.crashes[poison].get(2) else { return 0 };
        self.sent[poison].iter().filter(|at| *third + CONTACT_PERIOD < **at).count()
    }
}

//! Queue disciplines, which define the order in which accounts are served.
//!
//! A discipline is a plug-in: it is registered with `inventory` and selected by name.

use fleet::lease::Moment;

/// Queued requests of one account, as a discipline sees them.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// Virtual time at which the service of the account's next request starts, in tokens.
    pub start_tag: u64,
    /// Arrival time of the account's oldest request of the urgency being ranked.
    pub oldest_arrival: Moment,
}

/// Rank of a flow; the lowest is served first.
pub type Rank = u128;

/// A queue discipline.
#[derive(Debug)]
pub struct Discipline {
    /// Name in the settings.
    pub name: &'static str,
    /// Returns the rank of a flow.
    pub rank: fn(&Flow) -> Rank,
    /// Number of requests in a row that may overtake the account's oldest request because their
    /// adapter is resident.
    pub max_overtakes: u32,
}

inventory::collect!(Discipline);

inventory::submit! {
    Discipline { name: "fair", rank: |flow| u128::from(flow.start_tag), max_overtakes: 8 }
}

inventory::submit! {
    Discipline { name: "fifo", rank: |flow| flow.oldest_arrival.as_nanos(), max_overtakes: 0 }
}

//! In which order accounts are served, as plug-ins.

use fleet::lease::Moment;

/// What a discipline sees of an account's lane.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// Virtual time at which the account's next request starts.
    pub start_tag: u64,
    /// Arrival of the account's oldest request.
    pub oldest_arrival: Moment,
}

/// Rank of a lane; the lowest is served first.
pub type Rank = u128;

/// A queue discipline.
#[derive(Debug)]
pub struct Discipline {
    pub name: &'static str,
    pub rank: fn(&Flow) -> Rank,
    /// Requests of one adapter that may overtake the account's oldest request in a row.
    pub max_overtakes: u32,
}

inventory::collect!(Discipline);

inventory::submit! {
    Discipline { name: "fair", rank: |flow| u128::from(flow.start_tag), max_overtakes: 8 }
}

inventory::submit! {
    Discipline { name: "fifo", rank: |flow| flow.oldest_arrival.as_nanos(), max_overtakes: 0 }
}

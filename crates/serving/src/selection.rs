//! Choice of the backend server that runs a request.
//!
//! For model engines: the one with the lowest expected time to the first event,
//! which includes the outstanding prompt tokens, the server's slowdown and the
//! load of an adapter that is not resident. Loading an adapter on a server that is
//! not one of its preferred ones costs extra, since it evicts another adapter, so
//! adapters spread to more servers only when the preferred ones are busy. When all
//! adapter slots are in use, each load queued for a slot adds to the expected time.
//!
//! For plain services: the server with the fewest requests in flight per slot.
//!
//! The pause that a server asked for adds to the time that a request would wait there.

use std::time::Duration;

use smallvec::SmallVec;

/// Prompt tokens that an engine processes per millisecond.
pub const PROMPT_TOKENS_PER_MS: f64 = 19.2;
/// Typical time to the first event of an idle engine, without processing the prompt.
const IDLE_FIRST_EVENT_MS: f64 = 25.0;
/// Time to load an adapter that was resident on the server recently.
const WARM_LOAD_MS: f64 = 40.0;
/// Time to load an adapter from the weight store.
const COLD_LOAD_MS: f64 = 270.0;
/// Cost to other requests of loading an adapter on a server that is not one of its preferred ones:
/// the load occupies the weight store and evicts an adapter from one of its preferred servers.
const FOREIGN_LOAD_PENALTY_MS: f64 = 1000.0;
/// Expected remaining time of a load that is in progress.
const PENDING_LOAD_MS: f64 = 60.0;
/// Difference in cost below which plain servers share the requests.
const EQUAL_COST_MS: f64 = 2.0;
/// Cost of sending a request to another availability zone.
const CROSS_ZONE_PENALTY_MS: f64 = 3.0;
/// Cost of a server that failed recently; high enough to make it the last resort.
const SUSPECT_PENALTY_MS: f64 = 5000.0;
/// Cost of a server with a failure rate of 1.
const FAILURE_RATE_PENALTY_MS: f64 = 1500.0;
/// Typical time until one more adapter in use can be evicted.
const SLOT_WAIT_MS: f64 = 500.0;
/// Delay caused by each request beyond the server's slots.
const EXCESS_REQUEST_MS: f64 = 60.0;
/// Delay caused by each request in flight, since every decoding request slows each engine step.
const DECODING_REQUEST_MS: f64 = 1.5;

/// State of an adapter on one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterState {
    /// Resident in a version that is new enough, or the request needs no adapter.
    Present,
    /// Load in progress.
    Pending,
    /// Not resident, but it was recently.
    Warm,
    /// Not resident; the server is a preferred server of the adapter.
    Home,
    /// Not resident; the preferred servers of the adapter are others.
    Foreign,
    /// Not resident, and it cannot be loaded: the base model is missing or the side process does
    /// not respond.
    Unreachable,
}

/// A backend server that could run a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub adapter: AdapterState,
    /// Loads, this one included, that lack an adapter slot
    /// ([`queue_depth`](crate::residency::SlotUsage::queue_depth)). Each of them has to wait until
    /// the running requests of a resident adapter end.
    pub slot_queue: usize,
    /// Prompt tokens of requests that wait for their first event.
    pub outstanding_tokens: u64,
    pub requests_in_flight: u32,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Response time as a multiple of the typical one.
    pub slowdown: f64,
    /// Whether the slowdown was measured lately.
    pub is_measured: bool,
    /// Share of requests that failed recently, from 0 to 1.
    pub failure_rate: f64,
    pub is_same_zone: bool,
    /// Whether the server failed recently and is avoided for a while.
    pub is_suspect: bool,
    /// Time until the server takes the next request, if it asked for a pause or named a limit.
    pub pause: Duration,
    /// Whether the server has named a limit.
    pub is_limited: bool,
}

/// The chosen candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Position among the candidates.
    pub index: usize,
    /// Expected time to the first event.
    pub expected: Duration,
}

/// Chooses the model engine for a request. Returns `None` when no candidate has the adapter or
/// can load it.
pub fn choose_engine(prompt_tokens: u64, candidates: &[Candidate]) -> Option<Choice> {
    let usable = candidates.iter().enumerate();
    let usable = usable.filter(|(_, candidate)| candidate.adapter != AdapterState::Unreachable);
    let rated = usable.map(|(index, candidate)| {
        let wait = first_event_ms(prompt_tokens, candidate);
        (index, wait, wait + placement_cost_ms(candidate))
    });
    let (index, wait, _) = rated.min_by(|(_, _, a), (_, _, b)| a.total_cmp(b))?;
    Some(Choice { index, expected: millis(wait) })
}

/// Chooses the server of a plain service for a request and returns its position. Servers with about
/// the same cost get requests by `draw`, a random number of the request; one that takes few requests
/// and takes one now comes first, so that it is used. A server that was not
/// measured lately counts as fast as the fastest one: otherwise one that was avoided for a while would
/// never be tried again while the others bear the load.
pub fn choose_plain_server(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let measured = candidates.iter().filter(|candidate| candidate.is_measured);
    let fastest = measured.map(|candidate| candidate.slowdown).fold(f64::INFINITY, f64::min);
    let rated = candidates.iter().enumerate().map(|(index, candidate)| {
        let slowdown = match candidate.is_measured {
            true => candidate.slowdown,
            false => candidate.slowdown.min(fastest),
        };
        let utilization =
            f64::from(candidate.requests_in_flight + 1) / f64::from(candidate.slots.max(1));
        let excess = f64::from(candidate.requests_in_flight.saturating_sub(candidate.slots))
            * EXCESS_REQUEST_MS;
        // Full utilization costs as much as a delay of 100 ms.
        let delay = utilization * 100.0 * slowdown + excess + as_ms(candidate.pause);
        (index, delay + avoidance_cost_ms(candidate))
    });
    let rated: SmallVec<[(usize, f64); 8]> = rated.collect();
    let lowest = rated.iter().map(|(_, cost)| *cost).fold(f64::INFINITY, f64::min);
    let equal = rated.iter().filter(|(_, cost)| *cost < lowest + EQUAL_COST_MS);
    let equal: SmallVec<[usize; 8]> = equal.map(|(index, _)| *index).collect();
    let limited = equal.iter().find(|index| candidates[**index].is_limited);
    // Nothing tells the servers apart before the first response.
    let draw = if fastest.is_finite() { draw } else { 0 };
    limited.or_else(|| equal.get(draw as usize % equal.len().max(1))).copied()
}

/// Returns the typical time to the first event with `tokens` outstanding, the request's own
/// prompt included.
pub fn typical_first_event(tokens: u64) -> Duration {
    millis(tokens as f64 / PROMPT_TOKENS_PER_MS + IDLE_FIRST_EVENT_MS)
}

fn first_event_ms(prompt_tokens: u64, candidate: &Candidate) -> f64 {
    let prefill = (candidate.outstanding_tokens + prompt_tokens) as f64 / PROMPT_TOKENS_PER_MS;
    let decode = f64::from(candidate.requests_in_flight) * DECODING_REQUEST_MS;
    let excess = f64::from((candidate.requests_in_flight + 1).saturating_sub(candidate.slots))
        * EXCESS_REQUEST_MS;
    let load = match candidate.adapter {
        AdapterState::Present => 0.0,
        AdapterState::Pending => PENDING_LOAD_MS,
        AdapterState::Warm => WARM_LOAD_MS,
        AdapterState::Home | AdapterState::Foreign | AdapterState::Unreachable => COLD_LOAD_MS,
    };
    let slot_wait = if load == 0.0 { 0.0 } else { candidate.slot_queue as f64 * SLOT_WAIT_MS };
    let run = (prefill + IDLE_FIRST_EVENT_MS + decode) * candidate.slowdown + excess;
    as_ms(candidate.pause) + run + load + slot_wait
}

/// Returns the cost of a choice beyond the request's own wait.
fn placement_cost_ms(candidate: &Candidate) -> f64 {
    let eviction =
        if candidate.adapter == AdapterState::Foreign { FOREIGN_LOAD_PENALTY_MS } else { 0.0 };
    eviction + avoidance_cost_ms(candidate)
}

/// Returns the cost of a server that does not depend on the request.
fn avoidance_cost_ms(candidate: &Candidate) -> f64 {
    let suspect = if candidate.is_suspect { SUSPECT_PENALTY_MS } else { 0.0 };
    let zone = if candidate.is_same_zone { 0.0 } else { CROSS_ZONE_PENALTY_MS };
    suspect + zone + candidate.failure_rate * FAILURE_RATE_PENALTY_MS
}

fn as_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64((value / 1000.0).max(0.0))
}

//! Which backend server runs a request.
//!
//! For model engines: the one that is expected to give the first event soonest,
//! counting the prompts ahead, the server's learnt pace, and the load of an
//! adapter that is not there. A load away from the adapter's home costs more,
//! since it takes a place from another adapter, so copies spread only under load.
//! Where all places are in use, each adapter that waits for one adds to the time.
//! For plain services: the one with the fewest requests in flight for its slots.

use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond.
pub const PROMPT_TOKENS_PER_MS: f64 = 19.2;
/// Usual time to the first event of an idle engine, beside reading the prompt, in milliseconds.
const FIRST_EVENT_MS: f64 = 25.0;
/// Time to load an adapter that the server held lately, in milliseconds.
const WARM_LOAD_MS: f64 = 40.0;
/// Time to load an adapter from the weight store, in milliseconds.
const COLD_LOAD_MS: f64 = 270.0;
/// What loading an adapter away from its home costs others, in milliseconds: it takes a
/// turn of the weight store and displaces an adapter that is at home.
const FOREIGN_MS: f64 = 1000.0;
/// Cost of an adapter that is on its way, in milliseconds.
const PENDING_LOAD_MS: f64 = 60.0;
/// Cost of leaving the availability zone, in milliseconds.
const CROSS_ZONE_MS: f64 = 3.0;
/// Cost of a server that failed lately; it is the last resort.
const SUSPECT_MS: f64 = 5000.0;
/// Cost of a server that fails all its requests, in milliseconds.
const FAILURE_MS: f64 = 1500.0;
/// Usual time until the next adapter in use may be dropped, in milliseconds.
const ROOM_MS: f64 = 500.0;
/// Cost of a request beyond the slots, in milliseconds.
const OVER_SLOTS_MS: f64 = 60.0;
/// Cost of a request that decodes, in milliseconds: it slows each step a little.
const DECODING_MS: f64 = 1.5;

/// Where an adapter is, seen from one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adapter {
    /// Loaded, in the version that is wanted; or none is asked for.
    Present,
    Pending,
    /// Not there, but held lately.
    Warm,
    /// Not there; the server is its home.
    Home,
    /// Not there, and at home elsewhere.
    Foreign,
    /// Not there, and nobody to load it.
    Unreachable,
}

/// A backend server that could run a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub adapter: Adapter,
    /// Adapters, this one included, that must find a place before it could be loaded: for each
    /// of them running requests must end first.
    pub queue: usize,
    /// Prompt tokens ahead.
    pub tokens: u64,
    /// Requests in flight.
    pub requests: u32,
    pub slots: u32,
    pub pace: f64,
    /// Share of its requests that it failed lately.
    pub failure_share: f64,
    pub is_same_zone: bool,
    /// Failed lately.
    pub is_suspect: bool,
}

/// A choice with the time to the first event that it promises.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    pub index: usize,
    pub expected: Duration,
}

/// The engine that is expected to answer first.
pub fn engine(prompt_tokens: u64, candidates: &[Candidate]) -> Option<Choice> {
    let usable = candidates.iter().enumerate();
    let usable = usable.filter(|(_, candidate)| candidate.adapter != Adapter::Unreachable);
    let rated = usable.map(|(index, candidate)| {
        let wait = first_event_ms(prompt_tokens, candidate);
        (index, wait, wait + placement_ms(candidate))
    });
    let (index, wait, _) = rated.min_by(|(_, _, a), (_, _, b)| a.total_cmp(b))?;
    Some(Choice { index, expected: millis(wait) })
}

/// The plain server with the least work for its slots.
pub fn plain(candidates: &[Candidate]) -> Option<usize> {
    let rated = candidates.iter().enumerate().map(|(index, candidate)| {
        let busy = f64::from(candidate.requests + 1) / f64::from(candidate.slots.max(1));
        let over = f64::from(candidate.requests.saturating_sub(candidate.slots)) * OVER_SLOTS_MS;
        (index, busy * 100.0 * candidate.pace + over + avoidance_ms(candidate))
    });
    rated.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(index, _)| index)
}

/// Usual time to the first event with `tokens` to read.
pub fn usual(tokens: u64) -> Duration {
    millis(tokens as f64 / PROMPT_TOKENS_PER_MS + FIRST_EVENT_MS)
}

fn first_event_ms(prompt_tokens: u64, candidate: &Candidate) -> f64 {
    let read = (candidate.tokens + prompt_tokens) as f64 / PROMPT_TOKENS_PER_MS;
    let decode = f64::from(candidate.requests) * DECODING_MS;
    let over = f64::from((candidate.requests + 1).saturating_sub(candidate.slots)) * OVER_SLOTS_MS;
    let load = match candidate.adapter {
        Adapter::Present => 0.0,
        Adapter::Pending => PENDING_LOAD_MS,
        Adapter::Warm => WARM_LOAD_MS,
        Adapter::Home | Adapter::Foreign | Adapter::Unreachable => COLD_LOAD_MS,
    };
    let room = if load == 0.0 { 0.0 } else { candidate.queue as f64 * ROOM_MS };
    (read + FIRST_EVENT_MS + decode) * candidate.pace + over + load + room
}

/// What a choice costs others, in milliseconds.
fn placement_ms(candidate: &Candidate) -> f64 {
    let displaced = if candidate.adapter == Adapter::Foreign { FOREIGN_MS } else { 0.0 };
    displaced + avoidance_ms(candidate)
}

/// Why another server is preferred, whatever is asked for, in milliseconds.
fn avoidance_ms(candidate: &Candidate) -> f64 {
    let suspect = if candidate.is_suspect { SUSPECT_MS } else { 0.0 };
    let zone = if candidate.is_same_zone { 0.0 } else { CROSS_ZONE_MS };
    suspect + zone + candidate.failure_share * FAILURE_MS
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64((value / 1000.0).max(0.0))
}

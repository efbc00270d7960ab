//! How messages name adapters.
//!
//! Earlier builds name them without their base models, and read them so. The base models stand apart, at the
//! end of a message, each of them once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use serving::{
    Name,
    adapter::{self, Adapter},
    residency::SlotUsage,
};

use super::{Demand, Residents, Status, Work, or_default};

/// Names of adapters, with what a message says of each.
type Named<T> = Vec<(Name, T)>;

/// Limit of the adapters that one list of an earlier build may stand for.
const MAX_PRESUMED: usize = 4096;

/// Base models of the adapters that a message names, in their order. Earlier builds send none.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Bases {
    models: Vec<Name>,
    /// Position among `models` for each adapter; empty if there is only one model.
    positions: Vec<u16>,
}

/// The message names adapters without their base models.
#[derive(Debug, Snafu)]
#[snafu(display(
    "an earlier build names adapters without their base models; they are asked for anew"
))]
pub struct Unresolved;

#[derive(Serialize, Deserialize)]
pub(super) struct WireStatus {
    server: Option<Name>,
    born_ms: u64,
    models: Vec<Name>,
    #[serde(rename = "places")]
    slot_usage: SlotUsage,
    loading_ms: Option<u64>,
    adapters: Named<u64>,
    pending: Named<u64>,
    recent: Named<u64>,
    work: Work,
    #[serde(deserialize_with = "or_default")]
    revision: u64,
    #[serde(deserialize_with = "or_default")]
    bases: Bases,
}

#[derive(Serialize, Deserialize)]
pub(super) struct WireResidents {
    born_ms: u64,
    revision: u64,
    slot_usage: SlotUsage,
    adapters: Named<u64>,
    pending: Named<u64>,
    work: Work,
    #[serde(deserialize_with = "or_default")]
    bases: Bases,
}

#[derive(Serialize, Deserialize)]
pub(super) struct WireDemand {
    server: Name,
    born_ms: u64,
    is_near: bool,
    needs_status: bool,
    model: Option<Name>,
    #[serde(rename = "places")]
    adapter_slots: usize,
    tokens: u64,
    requests: u32,
    in_flight: Named<u32>,
    used: Vec<Name>,
    /// Base model, adapter and version.
    #[serde(rename = "wants")]
    load_requests: Vec<(Name, Name, u64)>,
    /// Whether the sender understands [`Residents`] of earlier builds.
    #[serde(deserialize_with = "or_default")]
    takes_earlier_residents: bool,
    #[serde(deserialize_with = "or_default")]
    bases: Bases,
    #[serde(deserialize_with = "or_default")]
    takes_residents: bool,
}

impl Bases {
    fn of<'a>(adapters: impl Iterator<Item = &'a Adapter>) -> Bases {
        let mut bases = Bases::default();
        for Adapter { model, .. } in adapters {
            let known = bases.models.iter().position(|it| it == model);
            let position = known.unwrap_or_else(|| {
                bases.models.push(model.clone());
                bases.models.len() - 1
            });
            bases.positions.push(position as u16);
        }
        if bases.models.len() == 1 {
            bases.positions.clear();
        }
        bases
    }

    /// Returns whether the message is of an earlier build, or names no adapters.
    fn is_empty(&self) -> bool {
        self.models.is_empty()
    }

    /// Returns the base model of each adapter, in their order.
    fn iter(&self) -> impl Iterator<Item = Option<&Name>> {
        let only = self.models.first().filter(|_| self.models.len() == 1);
        let mut positions = self.positions.iter();
        std::iter::from_fn(move || {
            let of_next = || self.models.get(usize::from(*positions.next()?));
            Some(only.or_else(of_next))
        })
    }
}

/// Adds the base models to names. One without a base model is dropped.
fn resolve<'a, T>(
    named: Named<T>,
    bases: &mut impl Iterator<Item = Option<&'a Name>>,
) -> Vec<(Adapter, T)> {
    let pairs = named.into_iter().zip(bases);
    let of_pair = |((name, value), model): ((Name, T), Option<&Name>)| {
        Some((Adapter { model: model?.clone(), name }, value))
    };
    pairs.filter_map(of_pair).collect()
}

/// Returns what names without base models show of the adapters of `models`: each of them may be resident,
/// and none in an older version than the lowest one that is named. The engine refuses a request for one
/// that is not resident. A list that would stand for too many adapters shows none.
fn presume(named: Named<u64>, models: &[Name]) -> Vec<adapter::Version> {
    let mut lowest: BTreeMap<Name, u64> = BTreeMap::new();
    for (name, number) in named {
        let known = lowest.entry(name).or_insert(number);
        *known = number.min(*known);
    }
    if MAX_PRESUMED < lowest.len() * models.len() {
        return Vec::new();
    }
    let of_model = |model: &Name| {
        let model = model.clone();
        lowest.iter().map(move |(name, number)| adapter::Version {
            adapter: Adapter { model: model.clone(), name: name.clone() },
            number: *number,
        })
    };
    models.iter().flat_map(of_model).collect()
}

fn versions(pairs: Vec<(Adapter, u64)>) -> Vec<adapter::Version> {
    pairs.into_iter().map(|(adapter, number)| adapter::Version { adapter, number }).collect()
}

fn names(versions: &[adapter::Version]) -> Named<u64> {
    versions.iter().map(|it| (it.adapter.name.clone(), it.number)).collect()
}

impl From<Status> for WireStatus {
    fn from(status: Status) -> WireStatus {
        let lists = [&status.adapters, &status.pending, &status.recent];
        let bases = Bases::of(lists.into_iter().flatten().map(|it| &it.adapter));
        WireStatus {
            adapters: names(&status.adapters),
            pending: names(&status.pending),
            recent: names(&status.recent),
            server: status.server,
            born_ms: status.born_ms,
            models: status.models,
            slot_usage: status.slot_usage,
            loading_ms: status.loading_ms,
            work: status.work,
            revision: status.revision,
            bases,
        }
    }
}

impl From<WireStatus> for Status {
    fn from(wire: WireStatus) -> Status {
        let mut bases = wire.bases.iter();
        let mut list = |named: Named<u64>| match wire.bases.is_empty() {
            true => presume(named, &wire.models),
            false => versions(resolve(named, &mut bases)),
        };
        let (adapters, pending, recent) =
            (list(wire.adapters), list(wire.pending), list(wire.recent));
        Status {
            server: wire.server,
            born_ms: wire.born_ms,
            slot_usage: wire.slot_usage,
            loading_ms: wire.loading_ms,
            adapters,
            pending,
            recent,
            work: wire.work,
            revision: wire.revision,
            models: wire.models,
        }
    }
}

impl From<Residents> for WireResidents {
    fn from(residents: Residents) -> WireResidents {
        let lists = residents.adapters.iter().chain(&residents.pending);
        WireResidents {
            bases: Bases::of(lists.map(|it| &it.adapter)),
            adapters: names(&residents.adapters),
            pending: names(&residents.pending),
            born_ms: residents.born_ms,
            revision: residents.revision,
            slot_usage: residents.slot_usage,
            work: residents.work,
        }
    }
}

impl TryFrom<WireResidents> for Residents {
    type Error = Unresolved;

    fn try_from(wire: WireResidents) -> Result<Residents, Unresolved> {
        let has_names = !wire.adapters.is_empty() || !wire.pending.is_empty();
        if has_names && wire.bases.is_empty() {
            return Err(Unresolved);
        }
        let mut bases = wire.bases.iter();
        Ok(Residents {
            adapters: versions(resolve(wire.adapters, &mut bases)),
            pending: versions(resolve(wire.pending, &mut bases)),
            born_ms: wire.born_ms,
            revision: wire.revision,
            slot_usage: wire.slot_usage,
            work: wire.work,
        })
    }
}

impl From<Demand> for WireDemand {
    fn from(demand: Demand) -> WireDemand {
        let in_flight = demand.in_flight.iter().map(|(adapter, _)| adapter);
        let load_requests = demand.load_requests.into_iter();
        WireDemand {
            bases: Bases::of(in_flight.chain(&demand.used)),
            in_flight: demand.in_flight.into_iter().map(|(it, count)| (it.name, count)).collect(),
            used: demand.used.into_iter().map(|it| it.name).collect(),
            load_requests: load_requests
                .map(|it| (it.adapter.model, it.adapter.name, it.number))
                .collect(),
            server: demand.server,
            born_ms: demand.born_ms,
            is_near: demand.is_near,
            needs_status: demand.needs_status,
            model: demand.model,
            adapter_slots: demand.adapter_slots,
            tokens: demand.tokens,
            requests: demand.requests,
            takes_earlier_residents: false,
            takes_residents: demand.takes_residents,
        }
    }
}

impl From<WireDemand> for Demand {
    fn from(wire: WireDemand) -> Demand {
        let load_requests = wire.load_requests.into_iter();
        // Earlier builds name the model that the engine holds first.
        let presumed = wire.model.as_ref().filter(|_| wire.bases.is_empty());
        let mut bases = wire.bases.iter().map(|base| base.or(presumed));
        let used = wire.used.into_iter().map(|name| (name, ())).collect();
        let in_flight = resolve(wire.in_flight, &mut bases);
        let used = resolve(used, &mut bases);
        Demand {
            in_flight,
            used: used.into_iter().map(|(adapter, ())| adapter).collect(),
            load_requests: load_requests
                .map(|(model, name, number)| adapter::Version {
                    adapter: Adapter { model, name },
                    number,
                })
                .collect(),
            server: wire.server,
            born_ms: wire.born_ms,
            is_near: wire.is_near,
            needs_status: wire.needs_status,
            adapter_slots: wire.adapter_slots,
            tokens: wire.tokens,
            requests: wire.requests,
            takes_residents: wire.takes_residents || wire.takes_earlier_residents,
            model: wire.model,
        }
    }
}

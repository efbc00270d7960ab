//! The tables of `show` and `explain`.
//!
//! Queries and scripts refer to the columns by name.

use fleet::{
    change::{Access, Repeat, Urgency},
    state::State,
};
use query::{
    statement::Subject,
    table::{Cell, Table},
};
use wire::frame::{Status, Step};

/// Returns a table of the configuration, or `None` if the subject requires status reports.
pub fn from_state(subject: Subject, state: &State) -> Option<Table> {
    match subject {
        Subject::Accounts => Some(accounts(state)),
        Subject::Keys => Some(keys(state)),
        Subject::Adapters => Some(adapters(state)),
        Subject::Routes => Some(routes(state)),
        _ => None,
    }
}

/// Returns a table of the status reports of the processes.
pub fn from_statuses(subject: Subject, state: &State, statuses: &[Status]) -> Table {
    match subject {
        Subject::Servers => servers(state, statuses),
        Subject::Slots => slots(statuses),
        Subject::Queues => queues(statuses),
        Subject::Holders => holders(statuses),
        Subject::Configuration => configuration(state, statuses),
        _ => instances(statuses),
    }
}

/// Returns a table of the decisions about a request, in time order.
pub fn from_steps(mut steps: Vec<Step>) -> Table {
    steps.sort_by_key(|step| step.at_ms);
    let mut table = Table::new(&["at_ms", "instance", "what"]);
    let row = |step: &Step| vec![step.at_ms.into(), (&*step.instance).into(), (&*step.what).into()];
    table.rows = steps.iter().map(row).collect();
    table
}

fn accounts(state: &State) -> Table {
    let mut table = Table::new(&["account", "rate", "burst", "keys"]);
    for (name, account) in &state.accounts {
        let keys = state.keys.values().filter(|key| key.account == *name && !key.withdrawn).count();
        table.rows.push(vec![
            (&**name).into(),
            account.rate.into(),
            account.burst.into(),
            (keys as u64).into(),
        ]);
    }
    table
}

fn keys(state: &State) -> Table {
    let mut table = Table::new(&["key", "account", "state"]);
    for (id, key) in &state.keys {
        let validity = if key.withdrawn { "withdrawn" } else { "valid" };
        table.rows.push(vec![(&**id).into(), (&*key.account).into(), validity.into()]);
    }
    table
}

fn adapters(state: &State) -> Table {
    let mut table = Table::new(&["adapter", "version", "model", "selected"]);
    for (name, adapter) in &state.adapters {
        for (version, model) in &adapter.versions {
            table.rows.push(vec![
                (&**name).into(),
                u64::from(*version).into(),
                (&**model).into(),
                (*version == adapter.selected).into(),
            ]);
        }
    }
    table
}

fn routes(state: &State) -> Table {
    let mut table = Table::new(&["route", "access", "repeat", "urgency"]);
    for (name, route) in &state.routes {
        let access = match route.access {
            Access::Open => "open",
            Access::Key => "key",
        };
        let repeat = match route.repeat {
            Repeat::Idempotent => "idempotent",
            Repeat::NonIdempotent => "non-idempotent",
        };
        let urgency = match route.urgency {
            Urgency::Interactive => "interactive",
            Urgency::Batch => "batch",
        };
        table.rows.push(vec![(&**name).into(), access.into(), repeat.into(), urgency.into()]);
    }
    table
}

fn instances(statuses: &[Status]) -> Table {
    let mut table =
        Table::new(&["instance", "role", "zone", "revision", "fresh", "stopping", "in_flight"]);
    table.rows = statuses
        .iter()
        .map(|status| {
            vec![
                (&*status.instance).into(),
                (&*status.role).into(),
                (&*status.zone).into(),
                status.revision.into(),
                status.is_fresh.into(),
                status.is_stopping.into(),
                status.in_flight.into(),
            ]
        })
        .collect();
    table
}

fn servers(state: &State, statuses: &[Status]) -> Table {
    let mut table = Table::new(&["server", "instance", "zone", "drained", "in_flight", "adapters"]);
    for status in statuses {
        let Some(server) = &status.server else { continue };
        table.rows.push(vec![
            (&**server).into(),
            (&*status.instance).into(),
            (&*status.zone).into(),
            state.drained_servers.contains(server).into(),
            status.in_flight.into(),
            (status.slots.len() as u64).into(),
        ]);
    }
    table
}

fn slots(statuses: &[Status]) -> Table {
    let mut table = Table::new(&["server", "adapter", "version", "pins"]);
    for status in statuses {
        for slot in &status.slots {
            table.rows.push(vec![
                status.server.as_deref().unwrap_or_default().into(),
                (&*slot.adapter).into(),
                u64::from(slot.version).into(),
                u64::from(slot.pins).into(),
            ]);
        }
    }
    table
}

fn queues(statuses: &[Status]) -> Table {
    let mut table = Table::new(&["server", "requests", "tokens"]);
    for status in statuses {
        let Some(server) = &status.server else { continue };
        table.rows.push(vec![
            (&**server).into(),
            status.queued.into(),
            status.queued_tokens.into(),
        ]);
    }
    table
}

/// Lists the leases as known to each process; processes agree once they have read the same records.
fn holders(statuses: &[Status]) -> Table {
    let mut table = Table::new(&["seen_by", "resource", "holder", "fence", "released"]);
    for status in statuses {
        for known in &status.leases {
            let cells: Vec<Cell> = vec![
                (&*status.instance).into(),
                (&*known.resource).into(),
                (&*known.lease.holder.instance).into(),
                known.lease.fence.into(),
                known.lease.released.is_some().into(),
            ];
            table.rows.push(cells);
        }
    }
    table
}

fn configuration(state: &State, statuses: &[Status]) -> Table {
    let mut table = Table::new(&["instance", "revision", "newest", "in_force"]);
    for status in statuses {
        table.rows.push(vec![
            (&*status.instance).into(),
            status.revision.into(),
            state.revision.into(),
            (state.revision <= status.revision).into(),
        ]);
    }
    table
}

//! Registry of plug-ins. A crate submits a [`Plugin`] of its own kind with
//! `inventory::submit!`; programs find it by name and never by a list that has
//! to be kept up to date.

use snafu::Snafu;

pub use inventory;

/// A named variant of one kind of behaviour.
pub trait Plugin: inventory::Collect + Sync {
    /// What the plug-ins of this kind are called in messages.
    const KIND: &'static str;

    /// Name in settings.
    fn name(&self) -> &'static str;
}

/// No plug-in of that name is linked in.
#[derive(Debug, Snafu)]
#[snafu(display("no {kind} is called `{name}`; choose one of: {known}"))]
pub struct Unknown {
    pub kind: &'static str,
    pub name: String,
    pub known: String,
}

/// Finds a plug-in by name.
///
/// # Errors
///
/// [`Unknown`] lists the names that would do.
pub fn find<P: Plugin>(name: &str) -> Result<&'static P, Unknown> {
    let found = inventory::iter::<P>.into_iter().find(|plugin| plugin.name() == name);
    found.ok_or_else(|| Unknown {
        kind: P::KIND,
        name: name.to_owned(),
        known: names::<P>().join(", "),
    })
}

/// Names of all plug-ins of a kind, sorted.
pub fn names<P: Plugin>() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<P>.into_iter().map(P::name).collect();
    names.sort_unstable();
    names
}

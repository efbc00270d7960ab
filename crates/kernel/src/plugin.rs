//! Registry of plug-ins. A kind of plug-in is a type that implements [`Plugin`].
//! Crates register values of it with `inventory::submit!` and programs find them
//! by name, so that no list of plug-ins has to be maintained.

use snafu::Snafu;

pub use inventory;

/// Kind of plug-in, whose registered values are found by name.
pub trait Plugin: inventory::Collect + Sync {
    /// Name of the kind in error messages.
    const KIND: &'static str;

    /// Returns the name that selects this plug-in in settings.
    fn name(&self) -> &'static str;
}

/// Error for a name that no linked plug-in has.
#[derive(Debug, Snafu)]
#[snafu(display("no {kind} is called `{name}`; choose one of: {known}"))]
pub struct Unknown {
    pub kind: &'static str,
    pub name: String,
    /// Names of all plug-ins of this kind, separated by commas.
    pub known: String,
}

/// Returns the plug-in of this name.
///
/// # Errors
///
/// [`Unknown`] if there is none; it lists the known names.
pub fn find<P: Plugin>(name: &str) -> Result<&'static P, Unknown> {
    let found = inventory::iter::<P>.into_iter().find(|plugin| plugin.name() == name);
    found.ok_or_else(|| Unknown {
        kind: P::KIND,
        name: name.to_owned(),
        known: names::<P>().join(", "),
    })
}

/// Returns the names of all plug-ins of a kind, sorted.
pub fn names<P: Plugin>() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<P>.into_iter().map(P::name).collect();
    names.sort_unstable();
    names
}

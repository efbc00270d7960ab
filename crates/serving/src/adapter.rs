//! LoRA adapters. Those of several base models may have the same names, so an adapter is its name and its
//! base model together, wherever it is a key.

use std::fmt;

use crate::Name;

/// Adapter of a base model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Adapter {
    /// Compared first, since it tells most adapters apart.
    pub name: Name,
    /// Base model.
    pub model: Name,
}

/// One version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    pub adapter: Adapter,
    /// Higher for newer versions; 0 is older than all.
    pub number: u64,
}

impl Adapter {
    pub fn new(model: impl Into<Name>, name: impl Into<Name>) -> Adapter {
        Adapter { model: model.into(), name: name.into() }
    }
}

impl fmt::Display for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.name)
    }
}

impl Version {
    /// Returns whether this is the adapter in this version or a newer one.
    pub fn satisfies(&self, adapter: &Adapter, oldest: u64) -> bool {
        self.adapter == *adapter && oldest <= self.number
    }
}

//! The platform's instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// The kind of a listed process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Entry instance, which takes the requests of callers.
    Entry,
    /// Side process, which runs beside a backend server.
    Side,
}

/// Whether a process accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    Live,
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub instance: Name,
    /// Random id of one run of the process; never returns once it has left the list.
    pub incarnation: u64,
    pub role: Role,
    pub zone: Name,
    /// Address for other processes of the fleet.
    pub address: SocketAddr,
    pub phase: Phase,
    /// Backend server of a side process; `None` for an entry instance.
    pub server: Option<Name>,
    /// Relative capacity of that backend server.
    pub weight: u32,
    /// Routes of a plain service; empty for a model engine.
    pub routes: Vec<Name>,
}

/// The instance list as of one read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    pub members: Vec<Member>,
}

impl Listing {
    /// Whether the list contains this incarnation.
    pub fn contains(&self, instance: &str, incarnation: u64) -> bool {
        let is_match =
            |member: &Member| &*member.instance == instance && member.incarnation == incarnation;
        self.members.iter().any(is_match)
    }

    /// Returns the members of one role that accept new work.
    pub fn live(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.role == role && member.phase == Phase::Live)
    }
}

//! The platform's instance list as this system reads it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// What a listed process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    Entry,
    Side,
}

/// Whether a process takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    Live,
    Leaving,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub instance: Name,
    /// Differs for every start of the process; never comes back once gone.
    pub incarnation: u64,
    pub role: Role,
    pub zone: Name,
    /// Where other processes of the fleet reach it.
    pub address: SocketAddr,
    pub phase: Phase,
    /// Name of the backend server beside a side process.
    pub server: Option<Name>,
    /// Relative capacity of that backend server.
    pub weight: u32,
    /// Routes of a plain service; empty for a model engine.
    pub routes: Vec<Name>,
}

/// One read of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    pub members: Vec<Member>,
}

impl Listing {
    /// Whether this incarnation is in the list.
    pub fn contains(&self, instance: &str, incarnation: u64) -> bool {
        let is_it =
            |member: &Member| &*member.instance == instance && member.incarnation == incarnation;
        self.members.iter().any(is_it)
    }

    /// Members of one role that take new work.
    pub fn live(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.role == role && member.phase == Phase::Live)
    }
}

//! The other entry instances, and which of them get a message directly.
//!
//! A message goes directly to the instances of the own availability zone, and to two instances of
//! each other zone, which pass it on in theirs. Each sender ranks the instances of a zone
//! differently, so that all of them bear a part of this, in proportion to their processor shares.
//! A zone of one or two instances gets it directly, and so do a zone in which nobody is heard and
//! instances whose zone is not known yet.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use placement::rendezvous;
use serving::{Moment, Name, mirror::Positions};
use smallvec::SmallVec;

/// Silence after which a peer gets gossip less often.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Silence after which a peer has most likely stopped for good. It still gets gossip now and then,
/// since it may be behind a long partition.
const STOPPED_PEER_TIMEOUT: Duration = Duration::from_secs(600);
/// Gossip to such a peer is sent once in this many rounds.
const STOPPED_PEER_ROUNDS: u64 = 400;
/// Gossip to a silent peer is sent once in this many rounds.
const SILENT_PEER_ROUNDS: u64 = 10;
/// Silence after which a peer passes no messages on in its zone.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of peers from which no further one is taken from what others tell.
const MAX_TOLD: usize = 4096;
/// Instances of a zone that pass a message on. One of them may have stopped.
const RELAYS: usize = 2;

/// The other entry instances.
#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<SocketAddr, Peer>,
}

/// State of a peer.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Time of the latest gossip; `None` before the first one.
    pub last_seen: Option<Moment>,
    /// Availability zone; `None` before the first gossip.
    pub zone: Option<Name>,
    /// Positions up to which the peer has read the store.
    pub positions: Positions,
    /// Random number of the latest start of the peer's process; 0 before the first gossip.
    pub incarnation: u64,
    /// Processor share in thousandths of a core; 0 if the peer has not told it.
    pub capacity: u16,
}

/// Peers of one zone.
type Members<'a> = SmallVec<[(&'a SocketAddr, &'a Peer); 16]>;

/// Peers that a message is sent to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    pub direct: Vec<SocketAddr>,
    /// Those that pass it on in their zones.
    pub relays: Vec<SocketAddr>,
}

impl Peers {
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Peers {
        let known = addresses.into_iter().map(|address| (address, Peer::default()));
        Peers { known: known.collect() }
    }

    /// Adds the address of a possible peer.
    pub fn add(&mut self, address: SocketAddr) {
        self.known.entry(address).or_default();
    }

    /// Adds the address of a possible peer that another one tells of, unless there are very many.
    pub fn add_told(&mut self, address: SocketAddr) {
        if self.known.len() < MAX_TOLD {
            self.add(address);
        }
    }

    /// Records the state of a peer, with the capacity known before if it names none. Returns the state
    /// before.
    pub fn update(&mut self, address: SocketAddr, peer: Peer) -> Option<Peer> {
        let known = self.known.get(&address).map_or(0, |known| known.capacity);
        let capacity = if peer.capacity == 0 { known } else { peer.capacity };
        self.known.insert(address, Peer { capacity, ..peer })
    }

    /// Records the processor share of a known peer.
    pub fn record_capacity(&mut self, address: &SocketAddr, capacity: u16) {
        if let Some(peer) = self.known.get_mut(address) {
            peer.capacity = capacity;
        }
    }

    pub fn get(&self, address: &SocketAddr) -> Option<&Peer> {
        self.known.get(address)
    }

    /// Returns the peers by their positions in the store, the most advanced first.
    pub fn by_progress(&self) -> Vec<(SocketAddr, Peer)> {
        let mut peers: Vec<_> =
            self.known.iter().map(|(address, peer)| (*address, peer.clone())).collect();
        peers.sort_by_key(|(_, peer)| {
            std::cmp::Reverse((peer.positions.operator, peer.positions.servers, peer.last_seen))
        });
        peers
    }

    /// Returns the peers that were heard within `period`.
    pub fn heard(&self, now: Moment, period: Duration) -> Vec<SocketAddr> {
        let heard = self.known.iter().filter(|(_, peer)| {
            peer.last_seen.is_some_and(|last_seen| now.saturating_sub(last_seen) < period)
        });
        heard.map(|(address, _)| *address).collect()
    }

    /// Returns the number of zones in which instances are heard, with the own one.
    pub fn zone_count(&self, own_zone: &Name, now: Moment) -> usize {
        let heard = self.known.values().filter(|peer| peer.silence(now) < PEER_TIMEOUT);
        let zones: BTreeSet<&Name> =
            heard.filter_map(|peer| peer.zone.as_ref()).chain([own_zone]).collect();
        zones.len()
    }

    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.known.keys().copied()
    }

    /// Returns the peers to which the instance at `own` sends a message in this round, without the
    /// silent ones in most rounds.
    pub fn recipients(
        &self,
        (own, own_zone): (&SocketAddr, &Name),
        now: Moment,
        round: u64,
    ) -> Recipients {
        let mut zones: BTreeMap<Option<&Name>, Members<'_>> = BTreeMap::new();
        for (address, peer) in &self.known {
            zones.entry(peer.zone.as_ref()).or_default().push((address, peer));
        }
        let mut recipients = Recipients::default();
        for (zone, peers) in zones {
            let is_other = zone.is_some_and(|zone| zone != own_zone);
            let relays = if is_other { relays(own, &peers, now) } else { SmallVec::new() };
            if relays.is_empty() {
                let due = peers.iter().filter(|(_, peer)| peer.is_due(now, round));
                recipients.direct.extend(due.map(|(address, _)| **address));
            } else {
                recipients.relays.extend(relays);
            }
        }
        recipients
    }

    /// Returns the same for a message that is sent in each round and makes up for a lost one: of the
    /// instances that pass it on in a zone, each gets it in its turn.
    pub fn recipients_by_turns(
        &self,
        own: (&SocketAddr, &Name),
        now: Moment,
        round: u64,
    ) -> Recipients {
        let mut recipients = self.recipients(own, now, round);
        let mut zones: BTreeMap<Option<&Name>, Members<'_>> = BTreeMap::new();
        for address in &recipients.relays {
            let Some((address, peer)) = self.known.get_key_value(address) else { continue };
            zones.entry(peer.zone.as_ref()).or_default().push((address, peer));
        }
        let in_turn = zones.values().map(|relays| *relays[round as usize % relays.len()].0);
        recipients.relays = in_turn.collect();
        recipients
    }

    /// Returns the peers of a zone to pass a message on to, without the silent ones in most rounds.
    pub fn in_zone(&self, zone: &Name, now: Moment, round: u64) -> Vec<SocketAddr> {
        let members = self.known.iter().filter(|(_, peer)| peer.zone.as_ref() == Some(zone));
        let due = members.filter(|(_, peer)| peer.is_due(now, round));
        due.map(|(address, _)| *address).collect()
    }
}

/// Returns the instances that pass a message of `sender` on in their zone; none if the zone is so
/// small that all get it directly, or if nobody there is heard.
fn relays(
    sender: &SocketAddr,
    peers: &[(&SocketAddr, &Peer)],
    now: Moment,
) -> SmallVec<[SocketAddr; RELAYS]> {
    if peers.len() <= RELAYS {
        return SmallVec::new();
    }
    let heard = peers.iter().filter(|(_, peer)| peer.silence(now) < RELAY_TIMEOUT);
    let mut ranked: SmallVec<[(f64, SocketAddr); 16]> = heard
        .map(|(address, peer)| (relay_rank(sender, address, peer.capacity), **address))
        .collect();
    ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
    ranked.into_iter().take(RELAYS).map(|(_, address)| address).collect()
}

/// Returns the rank of an instance among those of its zone that pass messages of `sender` on. It comes
/// first for a share of the senders that is in proportion to its capacity (weighted rendezvous).
fn relay_rank(sender: &SocketAddr, address: &SocketAddr, capacity: u16) -> f64 {
    let position = (rank(format!("{sender} {address}")) as f64 + 0.5) / 2_f64.powi(64);
    -f64::from(capacity.max(1)) / position.ln()
}

/// Returns the rank of an instance among those of its zone.
pub fn rank(address: impl ToString) -> u64 {
    rendezvous::hash(&address.to_string())
}

impl Peer {
    /// Returns whether the peer gets messages in this round. One that has sent nothing yet counts as
    /// silent only `PEER_TIMEOUT` after the start.
    fn is_due(&self, now: Moment, round: u64) -> bool {
        let rounds = match self.silence(now) {
            silence if silence < PEER_TIMEOUT => 1,
            silence if silence < STOPPED_PEER_TIMEOUT => SILENT_PEER_ROUNDS,
            _ => STOPPED_PEER_ROUNDS,
        };
        round.is_multiple_of(rounds)
    }

    fn silence(&self, now: Moment) -> Duration {
        now.saturating_sub(self.last_seen.unwrap_or_default())
    }
}

//! Weighted rendezvous hashing, spread over availability zones.
//!
//! All instances rank the servers of an adapter alike without coordination. Removing a
//! server moves only the adapters that preferred it.
//!
//! Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
//! rates", IEEE/ACM Transactions on Networking 6(1), 1998. Weights follow the
//! logarithmic method of Schindelhauer and Schomaker (SPAA 2005).

use smallvec::SmallVec;

use fleet::Name;

/// Number of servers that a [`Ranking`] stores without a heap allocation.
pub const INLINE_SERVERS: usize = 8;

/// A backend server and the hashes of its names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    pub name: Name,
    pub zone: Name,
    /// Relative capacity.
    pub weight: u32,
    name_hash: u64,
    zone_hash: u64,
}

/// Indices into a list of servers, best first.
pub type Ranking = SmallVec<[usize; INLINE_SERVERS]>;

impl Server {
    pub fn new(name: Name, zone: Name, weight: u32) -> Server {
        let (name_hash, zone_hash) = (hash(&name), hash(&zone));
        Server { name, zone, weight, name_hash, zone_hash }
    }
}

/// Returns the hash of a name, equal on all instances.
pub fn hash(name: &str) -> u64 {
    // The initial value is the offset basis of 64-bit FNV-1a.
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// Returns the `count` preferred servers for an adapter or route, or all if there are
/// fewer. Each next server has the highest score among those in the zones with the
/// fewest servers in the ranking, so that replicas spread over zones.
pub fn preferred(target_hash: u64, servers: &[Server], count: usize) -> Ranking {
    let mut ranking = Ranking::new();
    let scores: Vec<f64> = servers.iter().map(|server| score(target_hash, server)).collect();
    while ranking.len() < count.min(servers.len()) {
        let remaining = (0..servers.len()).filter(|index| !ranking.contains(index));
        let with_ranked_in_zone =
            remaining.map(|index| (index, ranked_in_zone(servers, &ranking, index)));
        let next = with_ranked_in_zone.min_by(|(a, count_a), (b, count_b)| {
            count_a.cmp(count_b).then_with(|| scores[*b].total_cmp(&scores[*a]))
        });
        let Some((next, _)) = next else { break };
        ranking.push(next);
    }
    ranking
}

/// Returns the number of ranked servers in the zone of the server at `index`.
fn ranked_in_zone(servers: &[Server], ranking: &Ranking, index: usize) -> usize {
    let zone = servers[index].zone_hash;
    ranking.iter().filter(|chosen| servers[**chosen].zone_hash == zone).count()
}

/// Returns the weighted rendezvous score of a server; higher is better.
fn score(target_hash: u64, server: &Server) -> f64 {
    let combined = mix(target_hash ^ server.name_hash.rotate_left(32));
    let uniform = ((combined >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(server.weight.max(1)) / uniform.ln()
}

/// Finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

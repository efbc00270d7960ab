//! Weighted rendezvous hashing, spread over availability zones.
//!
//! Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
//! rates", IEEE/ACM Transactions on Networking 6(1), 1998; the weights are the
//! logarithmic method of Schindelhauer and Schomaker (SPAA 2005).

use smallvec::SmallVec;

use fleet::Name;

/// Replicas of one adapter that fit on the stack.
pub const INLINE_REPLICAS: usize = 8;

/// A backend server as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    pub name: Name,
    pub zone: Name,
    /// Relative capacity.
    pub weight: u32,
    name_hash: u64,
    zone_hash: u64,
}

/// Positions in the list of servers, best first.
pub type Ranking = SmallVec<[usize; INLINE_REPLICAS]>;

impl Server {
    pub fn new(name: Name, zone: Name, weight: u32) -> Server {
        let (name_hash, zone_hash) = (hash(&name), hash(&zone));
        Server { name, zone, weight, name_hash, zone_hash }
    }
}

/// Seed of a name for scoring.
pub fn hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// The first `count` servers for an adapter. Each next one comes from the zone
/// that has the fewest so far, by the highest score in it.
pub fn preferred(target_hash: u64, servers: &[Server], count: usize) -> Ranking {
    let mut ranking = Ranking::new();
    let scores: Vec<f64> = servers.iter().map(|server| score(target_hash, server)).collect();
    while ranking.len() < count.min(servers.len()) {
        let left = (0..servers.len()).filter(|index| !ranking.contains(index));
        let rated = left.map(|index| (index, zone_count(servers, &ranking, index)));
        let next = rated.min_by(|(a, zone_a), (b, zone_b)| {
            zone_a.cmp(zone_b).then_with(|| scores[*b].total_cmp(&scores[*a]))
        });
        let Some((next, _)) = next else { break };
        ranking.push(next);
    }
    ranking
}

/// Servers chosen so far in the zone of another one.
fn zone_count(servers: &[Server], ranking: &Ranking, index: usize) -> usize {
    let zone = servers[index].zone_hash;
    ranking.iter().filter(|chosen| servers[**chosen].zone_hash == zone).count()
}

fn score(target_hash: u64, server: &Server) -> f64 {
    let hash = mix(target_hash ^ server.name_hash.rotate_left(32));
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(server.weight.max(1)) / unit.ln()
}

/// Finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

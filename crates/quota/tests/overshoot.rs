//! Checks that no client account uses more than burst + rate · t tokens over any interval, even
//! when messages are lost or late and holders are paused or replaced. Tokens are counted at the
//! time of admission, in the amount that was used in the end.

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt as _;

use fleet::lease::Moment;
use quota::{
    bucket::Bucket,
    pool::{Part, Pool, Reservation, Source},
    share::{Limits, Share},
};
use seeds::Random;

const LIMITS: Limits = Limits { rate: 1000, burst: 3000 };
const SHARDS: u64 = 2;
const ENTRIES: usize = 3;
const STEP: Duration = Duration::from_millis(5);
const STEPS: u64 = 4200;
const TAKEOVER: Duration = Duration::from_millis(500);

/// Implementation under test: the actual one, or one with a known fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Actual,
    /// Credits refunds against the current level only.
    PlainRefund,
    /// Lets grants carry tokens over in addition to the full burst.
    FullCapacity,
    /// A new holder starts with a full bucket.
    FullTakeover,
}

/// Holder of one shard.
struct Holder {
    fence: u64,
    bucket: Bucket,
    /// The holder is paused or being replaced and does not answer before this time.
    silent_until: Moment,
}

/// Admitted request in progress.
struct Running {
    entry: usize,
    reservation: Reservation,
    used: u64,
    admitted: Moment,
    ends: Moment,
}

/// Simulated fleet.
struct World {
    variant: Variant,
    now: Moment,
    holders: Vec<Holder>,
    pools: Vec<Pool>,
    running: Vec<Running>,
    /// Tokens used, by time of admission.
    used: BTreeMap<Moment, u64>,
}

fn share(variant: Variant, index: u64) -> Share {
    let share = LIMITS.share(index, SHARDS);
    match variant {
        Variant::FullCapacity => Share { capacity: LIMITS.burst / SHARDS, ..share },
        _ => share,
    }
}

impl World {
    fn new(variant: Variant) -> World {
        let holder = |index| {
            let share = share(variant, index);
            let bucket = Bucket::new(Moment::ZERO, share, share.capacity);
            Holder { fence: 1, bucket, silent_until: Moment::ZERO }
        };
        World {
            variant,
            now: Moment::ZERO,
            holders: (0..SHARDS).map(holder).collect(),
            pools: vec![Pool::default(); ENTRIES],
            running: Vec::new(),
            used: BTreeMap::new(),
        }
    }

    fn step(&mut self, random: &mut Random) {
        self.now += STEP;
        self.end_requests(random);
        if !self.is_stalled() {
            self.return_idle(random);
        }
        if random.random_ratio(1, 1500) {
            self.replace_holder(random);
        }
        // Phase 1: requests use none of their reserved tokens. Phase 2: no requests arrive, the
        // bucket fills up and refunds are credited. Phase 3: the entries draw as much as they
        // can and stall while the bucket fills up again. Phase 4: they spend everything.
        match self.now.as_millis() % 7000 {
            0..2000 => self.request(random, 0),
            2000..5000 => {}
            5000 => self.draw_ahead(random),
            5001..5400 => {}
            _ => (0..20).for_each(|_| self.request(random, 100)),
        }
    }

    /// Returns whether the entries are stalled, as in phase 3 of [`World::step`].
    fn is_stalled(&self) -> bool {
        (5000..5400).contains(&(self.now.as_millis() % 7000))
    }

    fn draw_ahead(&mut self, random: &mut Random) {
        for entry in 0..ENTRIES {
            (0..SHARDS).for_each(|shard| self.draw(random, entry, shard, LIMITS.burst));
        }
    }

    /// Sends a request that uses up to `used_percent` of its reserved tokens.
    fn request(&mut self, random: &mut Random, used_percent: u64) {
        let entry = random.random_range(0..ENTRIES);
        let cost = random.random_range(10..600);
        for shard in 0..SHARDS {
            if self.pools[entry].available(self.now) < cost {
                self.draw(random, entry, shard, cost);
            }
        }
        // Drops the request if its grants do not cover it, for example because one was lost.
        let Some(reservation) = self.pools[entry].reserve(self.now, cost) else { return };
        let used = cost * random.random_range(used_percent.saturating_sub(10)..=used_percent) / 100;
        let ends = self.now + Duration::from_millis(random.random_range(1..6000));
        self.running.push(Running { entry, reservation, used, admitted: self.now, ends });
    }

    fn draw(&mut self, random: &mut Random, entry: usize, shard: u64, cost: u64) {
        let requested_at =
            self.now - Duration::from_millis(random.random_range(0..5)).min(self.now);
        let lifetime = LIMITS.spend_lifetime();
        let want = self.pools[entry].draw_size(self.now, cost, lifetime);
        let holder = &mut self.holders[shard as usize];
        if self.now < holder.silent_until {
            return;
        }
        let amount = holder.bucket.take(self.now, want);
        let source = Source { shard, fence: holder.fence, granted_at: self.now };
        let is_lost = random.random_ratio(1, 50);
        if !is_lost {
            self.pools[entry].deposit(requested_at, lifetime, Part { source, amount });
        }
    }

    fn end_requests(&mut self, random: &mut Random) {
        let now = self.now;
        let ended: Vec<_> = self.running.extract_if(.., |running| running.ends <= now).collect();
        for running in ended {
            *self.used.entry(running.admitted).or_default() += running.used;
            let unused = running.reservation.unused(running.used);
            self.refund_parts(random, &unused);
            debug_assert!(running.entry < ENTRIES);
        }
    }

    fn return_idle(&mut self, random: &mut Random) {
        for entry in 0..ENTRIES {
            let idle = self.pools[entry].take_idle(self.now);
            self.refund_parts(random, &idle);
        }
    }

    fn refund_parts(&mut self, random: &mut Random, parts: &[Part]) {
        for part in parts {
            let holder = &mut self.holders[part.source.shard as usize];
            let is_lost = random.random_ratio(1, 20) || self.now < holder.silent_until;
            if is_lost || holder.fence != part.source.fence {
                continue;
            }
            let taken_at = match self.variant {
                Variant::PlainRefund => self.now,
                _ => part.source.granted_at,
            };
            holder.bucket.refund(self.now, part.amount, taken_at);
        }
    }

    /// Replaces a holder that failed. The new one starts after the takeover time.
    fn replace_holder(&mut self, random: &mut Random) {
        let index = random.random_range(0..SHARDS);
        let share = share(self.variant, index);
        let starts = self.now + TAKEOVER;
        let level = match self.variant {
            Variant::FullTakeover => share.capacity,
            _ => (share.rate as f64 * TAKEOVER.as_secs_f64()) as u64,
        };
        let holder = &mut self.holders[index as usize];
        holder.fence += 1;
        holder.bucket = Bucket::new(starts, share, level);
        holder.silent_until = starts;
    }

    /// Returns the largest number of tokens used above rate · t over any interval.
    fn highest_excess(&self) -> u64 {
        let mut level = 0.0f64;
        let mut last = Moment::ZERO;
        let mut highest = 0.0f64;
        for (at, used) in &self.used {
            level = (level - (*at - last).as_secs_f64() * LIMITS.rate as f64).max(0.0);
            level += *used as f64;
            highest = highest.max(level);
            last = *at;
        }
        highest as u64
    }
}

fn run(variant: Variant, random: &mut Random) -> World {
    let mut world = World::new(variant);
    for _ in 0..STEPS {
        world.step(random);
    }
    world
}

#[test]
fn usage_stays_within_burst_and_rate_over_every_interval() {
    seeds::run(300, |random| {
        let world = run(Variant::Actual, random);

        assert!(world.highest_excess() <= LIMITS.burst, "{}", world.highest_excess());
        assert!(!world.used.is_empty());
    });
}

#[test]
fn detects_overshoot_of_faulty_variants() {
    for variant in [Variant::PlainRefund, Variant::FullCapacity, Variant::FullTakeover] {
        let exceeds = |random: &mut Random| LIMITS.burst < run(variant, random).highest_excess();

        assert!(seeds::find(300, exceeds).is_some(), "no seed overshoots with {variant:?}");
    }
}

#[test]
fn limits_refund_to_what_bucket_could_have_kept() {
    cov_mark::check!(refund_limited_by_past_peak);
    let share = LIMITS.share(0, 1);
    let mut bucket = Bucket::new(Moment::ZERO, share, share.capacity);
    bucket.take(Moment::ZERO, 500);
    let full_at = Duration::from_secs(10);
    bucket.take(full_at, share.capacity);

    let credited = bucket.refund(full_at, 500, Moment::ZERO);

    assert_eq!(credited, 0, "the bucket was full in between");
}

#[test]
fn credits_full_refund_under_steady_demand() {
    let share = LIMITS.share(0, 1);
    let mut bucket = Bucket::new(Moment::ZERO, share, 0);
    let mut lost = 0;
    for second in 1..100 {
        let now = Duration::from_secs(second);
        let taken = bucket.take(now, u64::MAX);
        let half = taken / 2;
        lost += half - bucket.refund(now + Duration::from_millis(500), half, now);
    }

    assert_eq!(lost, 0, "tokens were lost though the bucket was never full");
}

#[test]
fn ignores_grant_received_after_its_lifetime() {
    let mut pool = Pool::default();
    let source = Source { shard: 0, fence: 1, granted_at: Moment::ZERO };
    let lifetime = LIMITS.spend_lifetime();

    pool.deposit(Moment::ZERO, lifetime, Part { source, amount: 100 });

    assert_eq!(pool.available(lifetime), 0);
    assert_eq!(pool.reserve(lifetime, 1), None);
}

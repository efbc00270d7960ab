//! No client account gets more than burst + rate · t over any interval, whatever
//! is lost, late, paused or handed over. Tokens are counted where they are
//! admitted, as really used in the end.

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

/// What a naive version does otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Chosen,
    /// Credits a refund to the bucket as it is now.
    PlainRefund,
    /// Lets grants be carried over on top of the burst.
    FullCapacity,
    /// A new holder starts with a full bucket.
    FullTakeover,
}

struct Holder {
    fence: u64,
    bucket: Bucket,
    /// No answers before this moment: the holder is paused or being replaced.
    silent_until: Moment,
}

struct Running {
    entry: usize,
    reservation: Reservation,
    used: u64,
    admitted: Moment,
    ends: Moment,
}

struct World {
    variant: Variant,
    now: Moment,
    holders: Vec<Holder>,
    pools: Vec<Pool>,
    running: Vec<Running>,
    /// Tokens really used, by the time of admission.
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
        // First nothing of what is reserved is used. Then the bucket fills up in a
        // quiet time while the refunds come in. Then the entries draw as much as
        // they can and stall, while the bucket fills up again, and spend it all.
        match self.now.as_millis() % 7000 {
            0..2000 => self.request(random, 0),
            2000..5000 => {}
            5000 => self.draw_ahead(random),
            5001..5400 => {}
            _ => (0..20).for_each(|_| self.request(random, 100)),
        }
    }

    fn is_stalled(&self) -> bool {
        (5000..5400).contains(&(self.now.as_millis() % 7000))
    }

    fn draw_ahead(&mut self, random: &mut Random) {
        for entry in 0..ENTRIES {
            (0..SHARDS).for_each(|shard| self.draw(random, entry, shard, LIMITS.burst));
        }
    }

    fn request(&mut self, random: &mut Random, percent: u64) {
        let entry = random.random_range(0..ENTRIES);
        let cost = random.random_range(10..600);
        for shard in 0..SHARDS {
            if self.pools[entry].available(self.now) < cost {
                self.draw(random, entry, shard, cost);
            }
        }
        // The caller's own wait, between the grant and its use.
        let Some(reservation) = self.pools[entry].reserve(self.now, cost) else { return };
        let used = cost * random.random_range(percent.saturating_sub(10)..=percent) / 100;
        let ends = self.now + Duration::from_millis(random.random_range(1..6000));
        self.running.push(Running { entry, reservation, used, admitted: self.now, ends });
    }

    fn draw(&mut self, random: &mut Random, entry: usize, shard: u64, cost: u64) {
        let asked = self.now - Duration::from_millis(random.random_range(0..5)).min(self.now);
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
            self.pools[entry].deposit(asked, lifetime, Part { source, amount });
        }
    }

    fn end_requests(&mut self, random: &mut Random) {
        let now = self.now;
        let ended: Vec<_> = self.running.extract_if(.., |running| running.ends <= now).collect();
        for running in ended {
            *self.used.entry(running.admitted).or_default() += running.used;
            let unused = running.reservation.unused(running.used);
            self.give_back(random, &unused);
            debug_assert!(running.entry < ENTRIES);
        }
    }

    fn return_idle(&mut self, random: &mut Random) {
        for entry in 0..ENTRIES {
            let idle = self.pools[entry].take_idle(self.now);
            self.give_back(random, &idle);
        }
    }

    fn give_back(&mut self, random: &mut Random, parts: &[Part]) {
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

    /// The holder vanishes; another one starts after the takeover.
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

    /// The most tokens above rate · t over any interval.
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
fn no_interval_exceeds_burst_and_rate() {
    seeds::run(300, |random| {
        let world = run(Variant::Chosen, random);

        assert!(world.highest_excess() <= LIMITS.burst, "{}", world.highest_excess());
        assert!(!world.used.is_empty());
    });
}

#[test]
fn naive_versions_are_found_out() {
    for variant in [Variant::PlainRefund, Variant::FullCapacity, Variant::FullTakeover] {
        let exceeds = |random: &mut Random| LIMITS.burst < run(variant, random).highest_excess();

        assert!(seeds::find(300, exceeds).is_some(), "{variant:?} was not found out");
    }
}

#[test]
fn a_refund_is_not_credited_beyond_what_the_bucket_could_have_kept() {
    cov_mark::check!(refund_limited_by_the_past);
    let share = LIMITS.share(0, 1);
    let mut bucket = Bucket::new(Moment::ZERO, share, share.capacity);
    bucket.take(Moment::ZERO, 500);
    let full = Duration::from_secs(10);
    bucket.take(full, share.capacity);

    let credited = bucket.refund(full, 500, Moment::ZERO);

    assert_eq!(credited, 0, "the bucket was full in between");
}

#[test]
fn a_refund_is_credited_in_full_under_steady_demand() {
    let share = LIMITS.share(0, 1);
    let mut bucket = Bucket::new(Moment::ZERO, share, 0);
    let mut credited = 0;
    for second in 1..100 {
        let now = Duration::from_secs(second);
        let taken = bucket.take(now, u64::MAX);
        let half = taken / 2;
        credited += half - bucket.refund(now + Duration::from_millis(500), half, now);
    }

    assert_eq!(credited, 0, "tokens were lost though the bucket was never full");
}

#[test]
fn a_grant_that_arrives_after_its_lifetime_is_void() {
    let mut pool = Pool::default();
    let source = Source { shard: 0, fence: 1, granted_at: Moment::ZERO };
    let lifetime = LIMITS.spend_lifetime();

    pool.deposit(Moment::ZERO, lifetime, Part { source, amount: 100 });

    assert_eq!(pool.available(lifetime), 0);
    assert_eq!(pool.reserve(lifetime, 1), None);
}

//! Caches of targets under several placements: hits and the imbalance of load.
//!
//! It weighs the idea of the logically disaggregated cache (Hombal et al., EuroSys 2026): keep each
//! key on few caches, and the hottest on all.

use fastrand::Rng;
use fighall_core::rendezvous;
use std::collections::BTreeMap;

/// Targets.
const TARGETS: usize = 12;
/// Keys that a target's cache holds.
const CACHE: usize = 1_000;
/// Keys in all.
const KEYS: usize = 12_000;
/// Requests of a run.
const REQUESTS: u32 = 300_000;
/// Exponents of the keys' popularity.
const SKEWS: [f64; 3] = [0.6, 0.9, 1.1];
/// Most popular keys that the mixed placement keeps on all targets.
const HOT: usize = 100;

#[derive(Clone, Copy, PartialEq)]
enum CachePlacement {
    Any,
    OneByHash,
    TwoByHash,
    HotOnAll,
}

pub(crate) fn run() {
    println!("skew  placement                    hit %  most loaded / mean");
    for skew in SKEWS {
        for (label, placement) in [
            ("any target", CachePlacement::Any),
            ("one by hash", CachePlacement::OneByHash),
            ("less loaded of two by hash", CachePlacement::TwoByHash),
            ("one by hash, hottest on all", CachePlacement::HotOnAll),
        ] {
            let (hits, imbalance) = simulate(skew, placement);
            println!("{skew:>4}  {label:<27} {hits:>6.1} {imbalance:>10.2}");
        }
    }
}

#[derive(Default)]
struct LruCache {
    used_at: BTreeMap<usize, u32>,
    by_use: BTreeMap<u32, usize>,
}

impl LruCache {
    fn touch(&mut self, key: usize, now: u32) -> bool {
        let hit = match self.used_at.insert(key, now) {
            Some(before) => self.by_use.remove(&before).is_some(),
            None => false,
        };
        self.by_use.insert(now, key);
        if self.used_at.len() > CACHE
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.used_at.remove(&oldest);
        }
        hit
    }
}

fn simulate(skew: f64, placement: CachePlacement) -> (f64, f64) {
    let mut rng = Rng::with_seed(1);
    let popularity = cumulative(skew);
    let homes: Vec<_> = (0..KEYS).map(home).collect();
    let mut caches: Vec<LruCache> = (0..TARGETS).map(|_| LruCache::default()).collect();
    let mut loads = [0_u32; TARGETS];
    let mut hits = 0_u32;
    for now in 0..REQUESTS {
        let key = draw(&popularity, &mut rng);
        let target = choose(placement, key, homes[key], &loads, &mut rng);
        loads[target] += 1;
        hits += u32::from(caches[target].touch(key, now));
    }
    let most = loads.iter().max().copied().unwrap_or(0);
    let targets = u32::try_from(TARGETS).map_or(1.0, f64::from);
    let mean = f64::from(REQUESTS) / targets;
    let hits = f64::from(hits) * 100.0 / f64::from(REQUESTS);
    (hits, f64::from(most) / mean)
}

fn choose(
    placement: CachePlacement,
    key: usize,
    home: (usize, usize),
    loads: &[u32],
    rng: &mut Rng,
) -> usize {
    let any = |rng: &mut Rng| {
        let (a, b) = (rng.usize(0..TARGETS), rng.usize(0..TARGETS));
        if loads[a] <= loads[b] { a } else { b }
    };
    match placement {
        CachePlacement::Any => any(rng),
        CachePlacement::OneByHash => home.0,
        CachePlacement::TwoByHash if loads[home.0] <= loads[home.1] => home.0,
        CachePlacement::TwoByHash => home.1,
        CachePlacement::HotOnAll if key < HOT => any(rng),
        CachePlacement::HotOnAll => home.0,
    }
}

// The two targets that rendezvous hashing ranks first.
fn home(key: usize) -> (usize, usize) {
    let mut targets: Vec<usize> = (0..TARGETS).collect();
    rendezvous::rank(&key.to_string(), &mut targets, ToString::to_string);
    (targets[0], targets[1])
}

fn cumulative(skew: f64) -> Vec<f64> {
    let mut sum = 0.0;
    let mut popularity = Vec::with_capacity(KEYS);
    for rank in 0..KEYS {
        let rank = u32::try_from(rank).map_or(1.0, f64::from) + 1.0;
        sum += rank.powf(-skew);
        popularity.push(sum);
    }
    popularity
}

fn draw(popularity: &[f64], rng: &mut Rng) -> usize {
    let total = popularity.last().copied().unwrap_or(1.0);
    let point = rng.f64() * total;
    let index = popularity.partition_point(|sum| *sum < point);
    index.min(popularity.len() - 1)
}

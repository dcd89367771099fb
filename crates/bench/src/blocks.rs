//! The table of client blocks at several sizes.

use crate::memory::ratio;
use fastrand::Rng;
use fighall_config::blocks::ClientBlock;
use fighall_route::blocks::BlockTable;
use ipnet::Ipv4Net;
use std::{
    hint::black_box,
    net::{IpAddr, Ipv4Addr},
    time::Instant,
};

/// Sizes measured; docs/CAPACITY.md designs for the last one.
const SIZES: [u32; 4] = [10_000, 100_000, 500_000, 1_900_000];
/// Sites that the blocks lead to.
const SITES: u32 = 760;
/// Look-ups timed.
const LOOKUPS: u32 = 2_000_000;

pub(crate) fn run() {
    println!("blocks       ranges     MiB   B/block  build s  ns/look-up");
    for size in SIZES {
        let blocks = random_blocks(size);
        let started = Instant::now();
        let table = BlockTable::new(&blocks);
        let build = started.elapsed().as_secs_f64();
        let nanos = time_lookups(&table);
        let bytes = u64::try_from(table.memory_bytes()).unwrap_or(0);
        println!(
            "{size:>9} {:>9} {:>7.1} {:>9.1} {build:>8.2} {nanos:>11.0}",
            table.range_count(),
            ratio(bytes, 1 << 20),
            ratio(bytes, u64::from(size)),
        );
    }
}

fn random_blocks(size: u32) -> Vec<ClientBlock> {
    let mut rng = Rng::with_seed(1);
    let mut blocks = Vec::new();
    for _ in 0..size {
        let length = if rng.u32(0..10) == 0 {
            rng.u8(12..24)
        } else {
            24
        };
        let address = Ipv4Addr::from(rng.u32(..));
        let Ok(net) = Ipv4Net::new(address, length) else {
            continue;
        };
        blocks.push(ClientBlock {
            prefix: net.trunc().into(),
            region: format!("site-{}", rng.u32(0..SITES)),
        });
    }
    blocks
}

fn time_lookups(table: &BlockTable) -> f64 {
    let mut rng = Rng::with_seed(2);
    let started = Instant::now();
    for _ in 0..LOOKUPS {
        let address = IpAddr::V4(Ipv4Addr::from(rng.u32(..)));
        black_box(table.region(address));
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(LOOKUPS)
}

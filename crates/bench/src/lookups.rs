//! The order of entry hosts in a look-up's answer, by the size of the fleet.

use fighall_route::lookup::{HostDirectory, HostView};
use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Hosts and regions of the fleets measured; docs/CAPACITY.md designs for the last one.
const FLEETS: [FleetSize; 3] = [
    FleetSize {
        hosts: 9,
        regions: 3,
    },
    FleetSize {
        hosts: 600,
        regions: 6,
    },
    FleetSize {
        hosts: 6_200,
        regions: 24,
    },
];
/// Look-ups timed.
const LOOKUPS: u32 = 100_000;
/// Organisations that ask in turn.
const ORGANISATIONS: u32 = 1_000;

struct FleetSize {
    hosts: u32,
    regions: u32,
}

pub(crate) fn run() {
    println!("hosts  regions  us/directory  us/answer");
    for size in FLEETS {
        let views = views(&size);
        let started = Instant::now();
        let directory = HostDirectory::new(&views);
        let build = started.elapsed().as_secs_f64() * 1e6;
        let names: Vec<_> = (0..ORGANISATIONS)
            .map(|number| format!("org-{number}"))
            .collect();
        let started = Instant::now();
        for _ in 0..LOOKUPS / ORGANISATIONS {
            for name in &names {
                black_box(directory.answer("region-1", "quote-desk", name));
            }
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(LOOKUPS);
        println!(
            "{:>5} {:>8} {build:>13.0} {micros:>10.2}",
            size.hosts, size.regions
        );
    }
}

fn views(size: &FleetSize) -> Vec<HostView> {
    let mut views = Vec::new();
    for index in 0..size.hosts {
        let region = index % size.regions;
        views.push(HostView {
            host: format!("host-{index}"),
            region: format!("region-{region}"),
            address: format!("10.0.{region}.{}:8080", index % 250),
            accepts_callers: true,
            overloaded: false,
            round_trip: Duration::from_millis(u64::from(region) * 5),
        });
    }
    views
}

//! Processor time of the admission and placement of one request.

use fastrand::Rng;
use fighall_config::service::{ServiceDocument, ServiceRoute, ServiceTarget};
use fighall_quota::{
    amount::{QuotaLimit, TOKEN},
    ledgers::{BaseAllocation, LedgerOptions, QuotaLedgers},
    loan::QuotaKey,
};
use fighall_route::{
    placement::{PlacementPolicy, PlacementQuery, SlotShare, select_target},
    target_table::TargetTable,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Organisations and targets of a service measured; the first row is the users' size today.
const SIZES: [(u32, u32); 4] = [(8, 16), (8, 100), (100, 16), (1_000, 100)];
/// Decisions timed.
const DECISIONS: u32 = 300_000;
/// Slots of a target.
const SLOTS: u32 = 9;

pub(crate) fn run() {
    println!("organisations targets  ns/admission  ns/placement  ns/decision");
    for (organisations, targets) in SIZES {
        let mut book = new_book(organisations, targets);
        let mut board = new_board(targets);
        let admission = time_admissions(&mut book, organisations);
        let placement = time_placements(&mut book, &mut board);
        println!(
            "{organisations:>13} {targets:>7} {admission:>13.0} {placement:>13.0} {:>12.0}",
            admission + placement
        );
    }
}

fn organisation(index: u32) -> QuotaKey {
    QuotaKey::Organisation(format!("organisation-{index}"))
}

fn target(index: u32) -> String {
    format!("target-{index}")
}

fn new_book(organisations: u32, targets: u32) -> QuotaLedgers {
    let mut book = QuotaLedgers::new(LedgerOptions::default(), "host", 1);
    let mut grants = Vec::new();
    for index in 0..organisations {
        grants.push(BaseAllocation {
            key: organisation(index),
            limit: QuotaLimit::new(90_000_000, 90_000_000),
            member: 0,
            members: 9,
        });
    }
    for index in 0..targets {
        grants.push(BaseAllocation {
            key: QuotaKey::Slots(target(index)),
            limit: QuotaLimit::new(0, u64::from(SLOTS)),
            member: 0,
            members: 3,
        });
    }
    book.set_base_shares(Duration::ZERO, 1, &grants);
    book.activate(Duration::ZERO);
    book
}

fn new_board(targets: u32) -> TargetTable {
    let mut service = ServiceDocument {
        name: "service".to_owned(),
        hosts: Vec::new(),
        prefixes: Vec::new(),
        routes: Vec::<ServiceRoute>::new(),
        targets: Vec::new(),
        load_path: String::new(),
        health_path: String::new(),
        probe_ms: 1_000,
        slow_start_ms: 1_000,
    };
    for index in 0..targets {
        service.targets.push(ServiceTarget {
            name: target(index),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: "zone-a".to_owned(),
            region: "region".to_owned(),
            slots: SLOTS,
            connections: 330,
        });
    }
    let mut board = TargetTable::new();
    let services = BTreeMap::from([("service".to_owned(), service)]);
    board.set_services(Duration::ZERO, &services);
    board
}

fn time_admissions(book: &mut QuotaLedgers, organisations: u32) -> f64 {
    let mut rng = Rng::with_seed(1);
    let started = Instant::now();
    for step in 0..DECISIONS {
        let now = Duration::from_secs(10) + Duration::from_micros(u64::from(step));
        let key = organisation(rng.u32(0..organisations));
        book.record_demand(now, &key, TOKEN);
        book.wait_time(now, &key, TOKEN);
        book.spend(now, &key, TOKEN);
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
}

fn time_placements(book: &mut QuotaLedgers, board: &mut TargetTable) -> f64 {
    let mut rng = Rng::with_seed(1);
    let region = "region".to_owned();
    let zone = "zone-a".to_owned();
    let book = std::cell::RefCell::new(book);
    let started = Instant::now();
    for step in 0..DECISIONS {
        let now = Duration::from_secs(20) + Duration::from_micros(u64::from(step));
        let query = PlacementQuery {
            service: "service",
            region: &region,
            zone: &zone,
            tried: &[],
            policy: PlacementPolicy::TwoChoices,
            affinity: None,
            allow_ejected: true,
        };
        let placement = select_target(board, now, &query, &mut rng, |target| {
            let key = QuotaKey::Slots(target.clone());
            let view = book.borrow_mut().slot_view(now, &key);
            SlotShare {
                held: view.held,
                free: view.free(),
            }
        });
        let Some(placement) = placement else {
            continue;
        };
        let key = QuotaKey::Slots(placement.target);
        let deadline = now + Duration::from_secs(1);
        let ticket = book.borrow_mut().acquire(now, &key, deadline);
        if let Some(ticket) = ticket {
            book.borrow_mut().release(&key, ticket);
        }
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
}

//! No interleaving of faults lets a fleet exceed a quota.

mod support;

use arbtest::arbtest;
use fastrand::Rng;
use fighall_quota::amount::{QuotaLimit, TOKEN};
use std::time::Duration;
use support::{FakeFleet, NetFaults, WindowCheck, ms, rate_key, slot_key};

const HOSTS: usize = 9;
const STEPS: usize = 1_500;
const SEEDS: std::ops::Range<u64> = 1..25;
const SEED_SIZE: u64 = 64;

fn limits(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<QuotaLimit> {
    let rate = u.int_in_range(1..=400)?;
    let burst = u.int_in_range(1..=400)?;
    Ok(QuotaLimit::new(rate, burst))
}

fn faults(rng: &mut Rng) -> NetFaults {
    NetFaults {
        loss_percent: rng.u32(0..30),
        double_percent: rng.u32(0..30),
        delay: (0, rng.u64(1..700)),
    }
}

/// Pauses, cuts, heals and restarts hosts at random.
fn disturb(fleet: &mut FakeFleet, rng: &mut Rng, limit: QuotaLimit, slots: u32, generation: u64) {
    let host = rng.usize(0..HOSTS);
    match rng.u32(0..60) {
        0 => fleet.hosts[host].paused_until = fleet.now + ms(rng.u64(10..10_000)),
        1 => fleet.hosts[host].cut = true,
        2 | 3 => fleet.hosts[host].cut = false,
        4 => fleet.restart(host, limit, slots, generation),
        5 => fleet.faults = faults(rng),
        _ => {}
    }
}

fn spend_some(fleet: &mut FakeFleet, rng: &mut Rng, check: &mut [&mut WindowCheck]) -> u64 {
    let mut spent = 0;
    let host = rng.usize(0..HOSTS);
    for _ in 0..rng.u32(0..60) {
        if !fleet.runs(host) {
            break;
        }
        let now = fleet.local(host);
        let amount = TOKEN * rng.u64(1..3);
        let book = &mut fleet.hosts[host].book;
        book.note_demand(now, &rate_key(), amount);
        if book.spend(now, &rate_key(), amount) {
            spent += amount;
            for check in check.iter_mut() {
                check.spend(fleet.now, amount);
            }
        } else {
            book.start_wait(now, &rate_key(), amount);
            if rng.bool() {
                book.end_wait(now, &rate_key(), amount);
            }
        }
    }
    spent
}

#[test]
fn no_window_exceeds_rate_and_burst() {
    let mut total = 0;
    for seed in SEEDS {
        arbtest(|u| {
            let limit = limits(u)?;
            let mut rng = Rng::with_seed(seed);
            let mut fleet = FakeFleet::new(HOSTS, ms(rng.u64(300..4_000)), seed);
            fleet.faults = faults(&mut rng);
            fleet.apply_all(1, limit, 9);
            let mut check = WindowCheck::new(limit, fleet.now);
            for _ in 0..STEPS {
                fleet.step(ms(rng.u64(1..60)));
                disturb(&mut fleet, &mut rng, limit, 9, 1);
                total += spend_some(&mut fleet, &mut rng, &mut [&mut check]);
            }
            Ok(())
        })
        .seed((seed << 32) | SEED_SIZE)
        .run();
    }
    assert!(total > 1_000 * TOKEN, "the runs spent next to nothing");
}

#[test]
fn a_change_never_exceeds_the_larger_limit_and_binds_within_seconds() {
    for seed in SEEDS {
        arbtest(|u| {
            let old = limits(u)?;
            let new = limits(u)?;
            let mut rng = Rng::with_seed(seed);
            let term = ms(rng.u64(300..4_000));
            let mut fleet = FakeFleet::new(HOSTS, term, seed);
            fleet.faults = faults(&mut rng);
            fleet.apply_all(1, old, 9);
            let larger = QuotaLimit {
                rate: old.rate.max(new.rate),
                capacity: old.capacity.max(new.capacity),
            };
            let mut check = WindowCheck::new(larger, fleet.now);
            for step in 0..STEPS {
                fleet.step(ms(rng.u64(1..40)));
                spend_some(&mut fleet, &mut rng, &mut [&mut check]);
                // The change reaches the hosts one after another.
                if step >= 200 && step % 20 == 0 && step / 20 - 10 < HOSTS {
                    fleet.apply(step / 20 - 10, 2, new, 9);
                }
                fleet.confirm();
            }
            // All have the change, and every loan of the old generation has ended.
            fleet.faults.loss_percent = 0;
            let settle = fleet.now + term * 5;
            while fleet.now < settle {
                fleet.step(ms(50));
            }
            let mut check = WindowCheck::new(new, fleet.now);
            for _ in 0..400 {
                fleet.step(ms(rng.u64(1..40)));
                spend_some(&mut fleet, &mut rng, &mut [&mut check]);
            }
            Ok(())
        })
        .seed((seed << 32) | SEED_SIZE)
        .run();
    }
}

struct Running {
    host: usize,
    until: Duration,
    ticket: fighall_quota::slots::SlotTicket,
}

#[test]
fn slots_are_never_above_their_cap() {
    let mut taken = 0;
    for seed in SEEDS {
        arbtest(|u| {
            let slots: u32 = u.int_in_range(1..=12)?;
            let limit = QuotaLimit::new(10, 10);
            let mut rng = Rng::with_seed(seed);
            let term = ms(rng.u64(300..3_000));
            let mut fleet = FakeFleet::new(HOSTS, term, seed);
            fleet.faults = faults(&mut rng);
            fleet.apply_all(1, limit, slots);
            let mut running: Vec<Running> = Vec::new();
            for _ in 0..STEPS {
                fleet.step(ms(rng.u64(1..60)));
                let before: Vec<_> = fleet.hosts.iter().map(|host| host.activate_at).collect();
                disturb(&mut fleet, &mut rng, limit, slots, 1);
                // A restarted host has lost its connections; its requests ended with them.
                running.retain(|request| {
                    fleet.hosts[request.host].activate_at == before[request.host]
                });
                let mut rest = Vec::new();
                for request in running {
                    // A request ends by its deadline, also when its host is paused.
                    if request.until > fleet.now {
                        rest.push(request);
                    } else {
                        let book = &mut fleet.hosts[request.host].book;
                        book.release(&slot_key(), request.ticket);
                    }
                }
                running = rest;
                let host = rng.usize(0..HOSTS);
                for _ in 0..rng.u32(0..4) {
                    if !fleet.runs(host) {
                        break;
                    }
                    let now = fleet.local(host);
                    let length = ms(rng.u64(1..500));
                    let book = &mut fleet.hosts[host].book;
                    match book.occupy(now, &slot_key(), now + length) {
                        Some(ticket) => {
                            taken += 1;
                            let until = fleet.now + length;
                            running.push(Running {
                                host,
                                until,
                                ticket,
                            });
                            book.set_slot_waiting(&slot_key(), 0);
                        }
                        None => book.set_slot_waiting(&slot_key(), 1),
                    }
                }
                assert!(running.len() <= usize::try_from(slots).unwrap());
            }
            Ok(())
        })
        .seed((seed << 32) | SEED_SIZE)
        .run();
    }
    assert!(taken > 1_000, "the runs took next to no slots");
}

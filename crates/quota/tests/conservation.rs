//! Randomised tests that a fleet never exceeds a quota under lost, duplicate and late messages,
//! partitions, paused hosts and restarts.

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

fn random_limit(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<QuotaLimit> {
    let rate = u.int_in_range(1..=400)?;
    let burst = u.int_in_range(1..=400)?;
    Ok(QuotaLimit::new(rate, burst))
}

fn faults(rng: &mut Rng) -> NetFaults {
    NetFaults {
        loss_percent: rng.u32(0..30),
        duplicate_percent: rng.u32(0..30),
        delay: (0, rng.u64(1..700)),
    }
}

/// Injects a random fault or none: pauses a host, cuts it off, reconnects it, restarts it, or
/// changes the network's faults.
fn inject_fault(
    fleet: &mut FakeFleet,
    rng: &mut Rng,
    limit: QuotaLimit,
    slots: u32,
    generation: u64,
) {
    let host = rng.usize(0..HOSTS);
    match rng.u32(0..60) {
        0 => fleet.hosts[host].paused_until = fleet.now + ms(rng.u64(10..10_000)),
        1 => fleet.hosts[host].partitioned = true,
        2 | 3 => fleet.hosts[host].partitioned = false,
        4 => fleet.restart(host, limit, slots, generation),
        5 => fleet.faults = faults(rng),
        _ => {}
    }
}

fn spend_random(fleet: &mut FakeFleet, rng: &mut Rng, checks: &mut [&mut WindowCheck]) -> u64 {
    let mut spent = 0;
    let host = rng.usize(0..HOSTS);
    for _ in 0..rng.u32(0..60) {
        if !fleet.is_running(host) {
            break;
        }
        let now = fleet.local_time(host);
        let amount = TOKEN * rng.u64(1..3);
        let ledgers = &mut fleet.hosts[host].ledgers;
        ledgers.record_demand(now, &rate_key(), amount);
        if ledgers.spend(now, &rate_key(), amount) {
            spent += amount;
            for check in checks.iter_mut() {
                check.spend(fleet.now, amount);
            }
        } else {
            ledgers.start_wait(now, &rate_key(), amount);
            if rng.bool() {
                ledgers.end_wait(now, &rate_key(), amount);
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
            let limit = random_limit(u)?;
            let mut rng = Rng::with_seed(seed);
            let mut fleet = FakeFleet::new(HOSTS, ms(rng.u64(300..4_000)), seed);
            fleet.faults = faults(&mut rng);
            fleet.apply_all(1, limit, 9);
            let mut check = WindowCheck::new(limit, fleet.now);
            for _ in 0..STEPS {
                fleet.step(ms(rng.u64(1..60)));
                inject_fault(&mut fleet, &mut rng, limit, 9, 1);
                total += spend_random(&mut fleet, &mut rng, &mut [&mut check]);
            }
            Ok(())
        })
        .seed((seed << 32) | SEED_SIZE)
        .run();
    }
    assert!(
        total > 1_000 * TOKEN,
        "the runs spent too few tokens to test the limit"
    );
}

/// Spends all tokens of one host in small parts, while its demand makes the others lend to it.
fn spend_available(fleet: &mut FakeFleet, spender: usize, checks: &mut [&mut WindowCheck]) -> u64 {
    const PART: u64 = TOKEN / 8;
    let mut spent = 0;
    if !fleet.is_running(spender) {
        return spent;
    }
    let now = fleet.local_time(spender);
    let ledgers = &mut fleet.hosts[spender].ledgers;
    ledgers.record_demand(now, &rate_key(), TOKEN * 4);
    while ledgers.spend(now, &rate_key(), PART) {
        spent += PART;
        for check in checks.iter_mut() {
            check.spend(fleet.now, PART);
        }
    }
    spent
}

/// Moves the demand to another host with a probability of 1/25 per step.
fn next_spender(fleet: &mut FakeFleet, rng: &mut Rng, spender: usize) -> usize {
    if rng.u32(0..25) > 0 {
        return spender;
    }
    let now = fleet.local_time(spender);
    fleet.hosts[spender]
        .ledgers
        .end_wait(now, &rate_key(), u64::MAX);
    let next = rng.usize(0..HOSTS);
    let now = fleet.local_time(next);
    fleet.hosts[next]
        .ledgers
        .start_wait(now, &rate_key(), TOKEN * 1_000);
    next
}

#[test]
fn borrowing_hosts_get_no_more_than_rate_and_burst() {
    for seed in SEEDS {
        arbtest(|u| {
            let limit = random_limit(u)?;
            let mut rng = Rng::with_seed(seed);
            let mut fleet = FakeFleet::new(HOSTS, ms(rng.u64(300..2_000)), seed);
            fleet.faults = faults(&mut rng);
            fleet.apply_all(1, limit, 9);
            let mut check = WindowCheck::new(limit, fleet.now);
            let mut spender = 0;
            for step in 0..STEPS {
                fleet.step(ms(rng.u64(1..40)));
                inject_fault(&mut fleet, &mut rng, limit, 9, 1);
                spender = next_spender(&mut fleet, &mut rng, spender);
                spend_available(&mut fleet, spender, &mut [&mut check]);
                // A share that two hosts hold at once shows only when all hosts spend.
                if step % 60 > 40 {
                    for host in 0..HOSTS {
                        spend_available(&mut fleet, host, &mut [&mut check]);
                    }
                }
            }
            Ok(())
        })
        .seed((seed << 32) | SEED_SIZE)
        .run();
    }
}

#[test]
fn a_change_never_exceeds_the_larger_limit_and_takes_effect_within_five_terms() {
    for seed in SEEDS {
        arbtest(|u| {
            // Few hosts hold a small burst, so that some changes also change the holders.
            let old = QuotaLimit::new(u.int_in_range(1..=400)?, u.int_in_range(1..=60)?);
            let mut new = QuotaLimit::new(u.int_in_range(1..=400)?, u.int_in_range(1..=60)?);
            if seed % 3 == 0 {
                new.rate = old.rate;
            }
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
            let mut spender = 0;
            for step in 0..STEPS {
                fleet.step(ms(rng.u64(1..40)));
                spender = next_spender(&mut fleet, &mut rng, spender);
                spend_available(&mut fleet, spender, &mut [&mut check]);
                let changing = (200..420).contains(&step) && seed % 2 == 0;
                if changing || step % 50 < 3 {
                    for host in 0..HOSTS {
                        spend_available(&mut fleet, host, &mut [&mut check]);
                    }
                }
                // The change reaches the hosts one after another, and the last one late.
                let restarts = seed % 4 > 1;
                let late = restarts && step < 1_200;
                let reached = if late { HOSTS - 1 } else { HOSTS };
                if step >= 200 && step % 20 == 0 && step / 20 - 10 < reached {
                    fleet.apply(step / 20 - 10, 2, new, 9);
                }
                if step == 1_200 {
                    fleet.apply(HOSTS - 1, 2, new, 9);
                }
                // A host starts with a generation that is no older than the latest accepted one.
                if restarts && late && rng.u32(0..100) == 0 {
                    let host = rng.usize(0..HOSTS - 1);
                    if step < 200 {
                        fleet.restart(host, old, 9, 1);
                    } else {
                        fleet.restart(host, new, 9, 2);
                    }
                }
            }
            // Wait until all hosts have the change and every loan of the old generation has ended.
            fleet.faults.loss_percent = 0;
            let settled_at = fleet.now + term * 5;
            while fleet.now < settled_at {
                fleet.step(ms(50));
            }
            let mut check = WindowCheck::new(new, fleet.now);
            for _ in 0..400 {
                fleet.step(ms(rng.u64(1..40)));
                spend_random(&mut fleet, &mut rng, &mut [&mut check]);
            }
            Ok(())
        })
        .seed((seed << 32) | SEED_SIZE)
        .run();
    }
}

struct RunningRequest {
    host: usize,
    until: Duration,
    permit: fighall_quota::slots::SlotPermit,
}

#[test]
fn slots_in_use_never_exceed_the_limit() {
    let mut acquired = 0;
    for seed in SEEDS {
        arbtest(|u| {
            let slots: u32 = u.int_in_range(1..=12)?;
            let limit = QuotaLimit::new(10, 10);
            let mut rng = Rng::with_seed(seed);
            let term = ms(rng.u64(300..3_000));
            let mut fleet = FakeFleet::new(HOSTS, term, seed);
            fleet.faults = faults(&mut rng);
            fleet.apply_all(1, limit, slots);
            let mut running: Vec<RunningRequest> = Vec::new();
            for _ in 0..STEPS {
                fleet.step(ms(rng.u64(1..60)));
                let activations: Vec<_> = fleet.hosts.iter().map(|host| host.activate_at).collect();
                inject_fault(&mut fleet, &mut rng, limit, slots, 1);
                // A restarted host has lost its connections, and its requests have ended with them.
                running.retain(|request| {
                    fleet.hosts[request.host].activate_at == activations[request.host]
                });
                let mut remaining = Vec::new();
                for request in running {
                    // A request ends by its deadline even if its host is paused.
                    if request.until > fleet.now {
                        remaining.push(request);
                    } else {
                        let ledgers = &mut fleet.hosts[request.host].ledgers;
                        ledgers.release(&slot_key(), request.permit);
                    }
                }
                running = remaining;
                let host = rng.usize(0..HOSTS);
                for _ in 0..rng.u32(0..4) {
                    if !fleet.is_running(host) {
                        break;
                    }
                    let now = fleet.local_time(host);
                    let duration = ms(rng.u64(1..500));
                    let ledgers = &mut fleet.hosts[host].ledgers;
                    match ledgers.acquire(now, &slot_key(), now + duration) {
                        Some(permit) => {
                            acquired += 1;
                            let until = fleet.now + duration;
                            running.push(RunningRequest {
                                host,
                                until,
                                permit,
                            });
                            ledgers.set_slot_waiting(&slot_key(), 0);
                        }
                        None => ledgers.set_slot_waiting(&slot_key(), 1),
                    }
                }
                assert!(running.len() <= usize::try_from(slots).unwrap());
            }
            Ok(())
        })
        .seed((seed << 32) | SEED_SIZE)
        .run();
    }
    assert!(
        acquired > 1_000,
        "the runs used too few slots to test the limit"
    );
}

#[test]
fn a_loan_ends_at_the_borrower_before_the_lender_reclaims_it() {
    let limit = QuotaLimit::new(100, 100);
    let term = ms(1_000);
    let mut fleet = FakeFleet::new(2, term, 1);
    fleet.apply_all(1, limit, 2);
    fleet.step(ms(1));
    let (lender, borrower) = (0, 1);
    let requested_at = fleet.local_time(borrower);
    let ledgers = &mut fleet.hosts[borrower].ledgers;
    ledgers.start_wait(requested_at, &rate_key(), TOKEN * 80);
    let outgoing = ledgers.loan_requests(requested_at, &[support::host_name(lender)], |_, _| true);
    let request = outgoing.first().unwrap().message.clone();
    let lent_at = fleet.local_time(lender) + ms(300);
    let ledgers = &mut fleet.hosts[lender].ledgers;
    let response = ledgers.handle(lent_at, "host-1", &request).unwrap();
    // The response is late; the loan still ends one term after the request was sent.
    let late = requested_at + ms(900);
    let ledgers = &mut fleet.hosts[borrower].ledgers;
    ledgers.handle(late, "host-0", &response);
    let held = |ledgers: &mut fighall_quota::ledgers::QuotaLedgers, now| {
        let view = ledgers.rate_view(now, &rate_key()).unwrap();
        (view.held.capacity, view.borrowed.capacity)
    };
    assert!(held(ledgers, requested_at + ms(999)).1 > 0);
    assert_eq!(held(ledgers, requested_at + term).1, 0);
    // The lender reclaims nothing until the term and the margin have passed by its own clock.
    let before = held(&mut fleet.hosts[lender].ledgers, lent_at + term).0;
    let after = held(&mut fleet.hosts[lender].ledgers, lent_at + term + ms(30)).0;
    assert!(before < after, "{before} before, {after} after");
    assert_eq!(after, 50 * TOKEN);
}

#[test]
fn a_change_of_holders_raises_shares_only_after_all_hosts_have_it() {
    // Three members hold twelve tokens, four hold sixteen.
    let old = QuotaLimit::new(300, 12);
    let new = QuotaLimit::new(300, 16);
    let term = ms(1_000);
    let mut fleet = FakeFleet::new(HOSTS, term, 1);
    fleet.apply_all(1, old, 9);
    let rate_at = |fleet: &mut FakeFleet, host: usize| {
        let now = fleet.local_time(host);
        let view = fleet.hosts[host]
            .ledgers
            .rate_view(now, &rate_key())
            .unwrap();
        view.held.rate
    };
    fleet.step(ms(1));
    let non_holders: Vec<usize> = (0..HOSTS)
        .filter(|host| rate_at(&mut fleet, *host) == 0)
        .collect();
    assert_eq!(non_holders.len(), 6);
    for host in 1..HOSTS {
        fleet.apply(host, 2, new, 9);
    }
    fleet.step(ms(5_000));
    let raised = |fleet: &mut FakeFleet| {
        let rates = non_holders.iter().map(|host| rate_at(fleet, *host));
        rates.filter(|rate| *rate > 0).count()
    };
    assert_eq!(raised(&mut fleet), 0);
    fleet.apply(0, 2, new, 9);
    fleet.step(ms(1));
    fleet.step(term);
    assert_eq!(raised(&mut fleet), 0);
    fleet.step(ms(200));
    assert_eq!(raised(&mut fleet), 1);
}

#[test]
fn restarts_during_a_change_never_exceed_the_larger_limit() {
    let old = QuotaLimit::new(300, 12);
    let new = QuotaLimit::new(300, 16);
    for late in 0..HOSTS {
        let mut fleet = FakeFleet::new(HOSTS, ms(300), 1);
        fleet.apply_all(1, old, 9);
        fleet.step(ms(1));
        for host in 0..HOSTS {
            if host != late {
                fleet.apply(host, 2, new, 9);
            }
        }
        let mut check = WindowCheck::new(new, fleet.now);
        for step in 0..1_000 {
            let host = step / 100;
            if step % 100 == 0 && host < HOSTS && host != late {
                fleet.restart(host, new, 9, 2);
            }
            fleet.step(ms(20));
            for host in 0..HOSTS {
                spend_available(&mut fleet, host, &mut [&mut check]);
            }
        }
    }
}

#[test]
fn a_host_that_starts_during_a_change_uses_its_share_once_the_change_has_settled() {
    let old = QuotaLimit::new(300, 12);
    let new = QuotaLimit::new(300, 16);
    let term = ms(1_000);
    let mut fleet = FakeFleet::new(HOSTS, term, 1);
    fleet.apply_all(1, old, 9);
    fleet.step(ms(1));
    for host in 0..HOSTS - 1 {
        fleet.apply(host, 2, new, 9);
    }
    let joining_host = (0..HOSTS - 1)
        .find(|host| {
            let now = fleet.local_time(*host);
            let view = fleet.hosts[*host].ledgers.rate_view(now, &rate_key());
            view.unwrap().held.rate > 0
        })
        .unwrap();
    let held = |fleet: &mut FakeFleet| {
        let now = fleet.local_time(joining_host);
        let view = fleet.hosts[joining_host]
            .ledgers
            .rate_view(now, &rate_key());
        view.unwrap().held.rate
    };
    fleet.restart(joining_host, new, 9, 2);
    // The loans of the previous incarnation have ended; the last host does not have the change.
    fleet.step(ms(10_000));
    fleet.step(ms(10_000));
    assert_eq!(held(&mut fleet), 0);
    fleet.apply(HOSTS - 1, 2, new, 9);
    fleet.step(ms(1));
    fleet.step(term * 2);
    assert_eq!(held(&mut fleet), 75 * TOKEN);
    // After another restart, the host learns from its peers that the change has settled.
    fleet.restart(joining_host, new, 9, 2);
    fleet.step(ms(10_000));
    fleet.step(ms(1));
    assert_eq!(held(&mut fleet), 75 * TOKEN);
}

//! Lending and borrowing serve an organisation that stays within its rate, whichever hosts
//! receive its requests.

mod support;

use fighall_quota::amount::{QuotaLimit, TOKEN};
use std::{collections::VecDeque, time::Duration};
use support::{FakeFleet, NetFaults, WindowCheck, ms, rate_key};

const HOSTS: usize = 9;
const STEP: Duration = Duration::from_millis(5);
/// Longest wait for a loan before a request is refused: the default of the fleet document.
const LOAN_WAIT: Duration = Duration::from_millis(250);
const RATE: u64 = 180;
const BURST: u64 = 90;

struct WaitingRequest {
    host: usize,
    since: Duration,
}

/// Simulated requests of one organisation, with counts of those served and refused.
struct FakeTraffic {
    fleet: FakeFleet,
    check: WindowCheck,
    waiting: VecDeque<WaitingRequest>,
    refused: u64,
    served: u64,
    due_requests: f64,
}

impl FakeTraffic {
    fn new(rate: u64, burst: u64, seed: u64) -> Self {
        let limit = QuotaLimit::new(rate, burst);
        let mut fleet = FakeFleet::new(HOSTS, ms(3_000), seed);
        // One-way delay between the regions of Norrvatten.
        fleet.faults = NetFaults {
            loss_percent: 0,
            duplicate_percent: 0,
            delay: (1, 35),
        };
        fleet.apply_all(1, limit, 9);
        let check = WindowCheck::new(limit, fleet.now);
        Self {
            fleet,
            check,
            waiting: VecDeque::new(),
            refused: 0,
            served: 0,
            due_requests: 0.0,
        }
    }

    fn run(&mut self, time: Duration, rate: f64, host: impl Fn(Duration) -> usize) {
        let until = self.fleet.now + time;
        while self.fleet.now < until {
            self.fleet.step(STEP);
            self.due_requests += rate * STEP.as_secs_f64();
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                self.arrive(host(self.fleet.now));
            }
            self.serve_waiting();
        }
    }

    fn arrive(&mut self, host: usize) {
        let now = self.fleet.local_time(host);
        let ledgers = &mut self.fleet.hosts[host].ledgers;
        ledgers.record_demand(now, &rate_key(), TOKEN);
        ledgers.start_wait(now, &rate_key(), TOKEN);
        self.waiting.push_back(WaitingRequest {
            host,
            since: self.fleet.now,
        });
    }

    fn serve_waiting(&mut self) {
        let mut remaining = VecDeque::new();
        for request in std::mem::take(&mut self.waiting) {
            let host = request.host;
            if !self.fleet.is_running(host) {
                remaining.push_back(request);
                continue;
            }
            let now = self.fleet.local_time(host);
            let ledgers = &mut self.fleet.hosts[host].ledgers;
            if ledgers.spend(now, &rate_key(), TOKEN) {
                ledgers.end_wait(now, &rate_key(), TOKEN);
                self.check.spend(self.fleet.now, TOKEN);
                self.served += 1;
            } else if self.fleet.now - request.since >= LOAN_WAIT {
                ledgers.end_wait(now, &rate_key(), TOKEN);
                self.refused += 1;
            } else {
                remaining.push_back(request);
            }
        }
        self.waiting = remaining;
    }

    fn idle(&mut self, time: Duration) {
        self.run(time, 0.0, |_| 0);
    }

    fn reset_counts(&mut self) {
        self.refused = 0;
        self.served = 0;
    }
}

#[test]
fn ninety_percent_of_the_rate_at_one_host_is_served() {
    let mut traffic = FakeTraffic::new(RATE, BURST, 1);
    traffic.idle(ms(1_000));
    traffic.run(ms(1_000), 0.9 * 180.0, |_| 4);
    traffic.reset_counts();
    traffic.run(ms(60_000), 0.9 * 180.0, |_| 4);
    assert_eq!(
        traffic.refused, 0,
        "refused, with {} served",
        traffic.served
    );
    assert!(traffic.served > 9_000);
}

#[test]
fn a_small_quota_at_one_host_is_served() {
    let mut traffic = FakeTraffic::new(10, 5, 2);
    traffic.idle(ms(1_000));
    traffic.run(ms(1_000), 9.0, |_| 3);
    traffic.reset_counts();
    traffic.run(ms(60_000), 9.0, |_| 3);
    assert_eq!(
        traffic.refused, 0,
        "refused, with {} served",
        traffic.served
    );
}

#[test]
fn callers_that_move_between_hosts_are_served() {
    let mut traffic = FakeTraffic::new(RATE, BURST, 3);
    let host = |now: Duration| usize::try_from(now.as_millis() / 3_000).unwrap() % HOSTS;
    traffic.idle(ms(1_000));
    traffic.run(ms(1_000), 0.9 * 180.0, host);
    traffic.reset_counts();
    traffic.run(ms(60_000), 0.9 * 180.0, host);
    assert_eq!(
        traffic.refused, 0,
        "refused, with {} served",
        traffic.served
    );
}

#[test]
fn callers_spread_over_all_hosts_are_served() {
    let mut traffic = FakeTraffic::new(RATE, BURST, 4);
    let host = |now: Duration| usize::try_from(now.as_millis() / 5).unwrap() % HOSTS;
    traffic.idle(ms(1_000));
    traffic.run(ms(1_000), 0.9 * 180.0, host);
    traffic.reset_counts();
    traffic.run(ms(60_000), 0.9 * 180.0, host);
    assert_eq!(
        traffic.refused, 0,
        "refused, with {} served",
        traffic.served
    );
}

#[test]
fn a_burst_of_the_full_capacity_is_served_at_any_host() {
    let mut traffic = FakeTraffic::new(RATE, BURST, 5);
    traffic.idle(ms(2_000));
    for round in 0..20 {
        let host = (round * 4) % HOSTS;
        for _ in 0..BURST {
            traffic.arrive(host);
        }
        // At this rate the burst refills within 500 ms; loans must move it in time as well.
        traffic.idle(ms(1_500));
        assert_eq!(traffic.refused, 0, "refused in round {round}");
    }
    assert_eq!(traffic.served, 20 * BURST);
}

#[test]
fn whole_bursts_of_a_small_quota_at_nine_tenths_of_its_rate_are_served() {
    for (rate, burst) in [(4, 4), (5, 5), (8, 8), (2, 4), (1, 4), (2, 7)] {
        for host in 0..HOSTS {
            let mut traffic = FakeTraffic::new(rate, burst, 9);
            // Buckets start empty: wait until they are full.
            traffic.idle(ms(burst * 1_000 / rate + 2_000));
            for round in 0..40 {
                for _ in 0..burst {
                    traffic.arrive(host);
                }
                // The next burst arrives when the rate has refilled ten ninths of this one.
                traffic.idle(ms(burst * 1_111 / rate));
                let case = format!("rate {rate}, burst {burst}, host {host}, round {round}");
                assert_eq!(traffic.refused, 0, "{case}");
            }
        }
    }
}

#[test]
fn a_crashed_host_costs_its_share_until_a_successor_has_its_id() {
    let mut traffic = FakeTraffic::new(RATE, BURST, 6);
    traffic.idle(ms(1_000));
    traffic.run(ms(5_000), 0.9 * 180.0, |_| 4);
    traffic.reset_counts();
    traffic.fleet.hosts[7].crashed = true;
    traffic.run(ms(10_000), 0.9 * 180.0, |_| 4);
    // 8/9 of the rate is left; the rest of the 90 % offered may be refused.
    let offered = 0.9 * 180.0 * 10.0;
    let lost: f64 = offered - 180.0 * 8.0 / 9.0 * 10.0;
    let refused = f64::from(u32::try_from(traffic.refused).unwrap());
    assert!(
        refused <= lost.max(0.0) + 1.0,
        "{refused} refused, {lost} allowed"
    );
    // A successor takes over the id. It waits until the old loans have ended and starts empty.
    traffic.fleet.restart(7, QuotaLimit::new(RATE, BURST), 9, 1);
    traffic.run(ms(11_000), 0.9 * 180.0, |_| 4);
    traffic.reset_counts();
    traffic.run(ms(20_000), 0.9 * 180.0, |_| 4);
    assert_eq!(traffic.refused, 0);
}

#[test]
fn a_paused_host_costs_its_share_while_it_is_paused() {
    let mut traffic = FakeTraffic::new(RATE, BURST, 7);
    traffic.idle(ms(1_000));
    traffic.run(ms(5_000), 0.85 * 180.0, |_| 4);
    traffic.reset_counts();
    traffic.fleet.hosts[2].paused_until = traffic.fleet.now + ms(10_000);
    // The other eight hosts hold 8/9 of the rate, which covers 85 %.
    traffic.run(ms(10_000), 0.85 * 180.0, |_| 4);
    assert_eq!(traffic.refused, 0, "while the host was paused");
    traffic.run(ms(10_000), 0.85 * 180.0, |_| 4);
    assert_eq!(traffic.refused, 0, "after the host resumed");
}

#[test]
fn offering_eight_times_the_rate_is_served_at_the_rate() {
    let mut traffic = FakeTraffic::new(RATE, BURST, 8);
    let host = |now: Duration| usize::try_from(now.as_millis() / 5).unwrap() % HOSTS;
    traffic.run(ms(20_000), 8.0 * 180.0, host);
    let least = RATE * 20 * 95 / 100;
    assert!(traffic.served >= least, "{} of {least}", traffic.served);
}

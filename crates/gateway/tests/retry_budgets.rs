//! Retry budgets of all hosts together, by what targets receive, while hosts are killed, leave, join and are aware of
//! each other late, callers move, traffic falls, and requests and retries are held up.

use fighall_gateway::{
    decision::OwnHost, registry::HostEntry, roster::TargetRoster, router::RequestRouter,
    settings::GatewayBounds,
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

const SERVICE: &str = "quotes";
const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 64.0;
/// Attempts of a request that all fail.
const ATTEMPTS: u32 = 4;
/// Longest time after which a host is aware of a change of the registered hosts.
const MAX_STORE_DELAY_MS: u64 = 1_500;
/// Longest time for which the network holds up a request to a host or a retry to a target, both together.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Time between the start of the hosts and that of the traffic.
const LEAD: Duration = Duration::from_secs(8);

enum Event {
    Registered(usize, usize),
    Unregistered(usize, usize),
    Request(usize),
}

struct SimulatedHost {
    router: RequestRouter,
    running: bool,
    incarnation: u64,
}

struct RetryFleet {
    now: Duration,
    hosts: Vec<SimulatedHost>,
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    due_requests: f64,
    // Hosts to which callers send, by number.
    callers_use: std::ops::Range<usize>,
    // Fraction of the requests of which all attempts fail.
    failing: f64,
    // Hosts that a cut keeps from changes of the registered hosts, by number, and the time at which it ends.
    cut_off: std::ops::Range<usize>,
    cut_until: Duration,
    // Times until which the network holds up requests to hosts and retries to targets.
    requests_held_until: Duration,
    retries_held_until: Duration,
    // Times at which callers sent requests, and at which targets received retries.
    requests: Vec<Duration>,
    retries: Vec<Duration>,
    rng: fastrand::Rng,
}

fn name_of(number: usize) -> String {
    format!("host-{number}")
}

fn entry_of(number: usize, incarnation: u64) -> HostEntry {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000));
    HostEntry {
        host: name_of(number),
        incarnation,
        region: "lima".to_owned(),
        zone: "lima-a".to_owned(),
        callers: address,
        peers: address,
    }
}

fn new_router(now: Duration, number: usize, incarnation: u64) -> RequestRouter {
    let own_host = OwnHost {
        host: name_of(number),
        region: "lima".to_owned(),
        zone: "lima-a".to_owned(),
        incarnation,
    };
    let bounds = GatewayBounds {
        retry_ratio: RATIO,
        retry_slack: SLACK,
        retry_window: WINDOW,
        ..GatewayBounds::default()
    };
    RequestRouter::new(now, own_host, bounds, TargetRoster::new(BTreeMap::new()))
}

impl RetryFleet {
    fn new(count: usize, seed: u64) -> Self {
        let now = Duration::from_secs(100);
        let mut hosts = Vec::new();
        for number in 0..count {
            let mut router = new_router(now, number, 1);
            for other in (0..count).filter(|other| *other != number) {
                router.fleet.register(entry_of(other, 1));
            }
            hosts.push(SimulatedHost {
                router,
                running: true,
                incarnation: 1,
            });
        }
        Self {
            now: now + LEAD,
            hosts,
            events: BTreeMap::new(),
            event_count: 0,
            due_requests: 0.0,
            callers_use: 0..count,
            failing: 1.0,
            cut_off: 0..0,
            cut_until: Duration::ZERO,
            requests_held_until: Duration::ZERO,
            retries_held_until: Duration::ZERO,
            requests: Vec::new(),
            retries: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn announce(&mut self, number: usize, event: impl Fn(usize) -> Event) {
        for other in (0..self.hosts.len()).filter(|other| *other != number) {
            let delay = Duration::from_millis(self.rng.u64(..MAX_STORE_DELAY_MS));
            let mut read_at = self.now + delay;
            if self.cut_off.contains(&other) {
                read_at = read_at.max(self.cut_until);
            }
            self.event_count += 1;
            self.events
                .insert((read_at, self.event_count), event(other));
        }
    }

    fn kill(&mut self, number: usize) {
        self.hosts[number].running = false;
    }

    fn leave(&mut self, number: usize) {
        self.hosts[number].running = false;
        self.announce(number, |other| Event::Unregistered(other, number));
    }

    // Starts a host that is aware of those that run.
    fn start(&mut self, number: usize) {
        if self.hosts[number].running {
            return;
        }
        let incarnation = self.hosts[number].incarnation + 1;
        let mut router = new_router(self.now, number, incarnation);
        for (other, host) in self.hosts.iter().enumerate() {
            if other != number && host.running {
                router.fleet.register(entry_of(other, host.incarnation));
            }
        }
        self.hosts[number] = SimulatedHost {
            router,
            running: true,
            incarnation,
        };
        self.announce(number, |other| Event::Registered(other, number));
    }

    fn run(&mut self, rate: f64, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.due_requests += rate * STEP.as_secs_f64();
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                self.send_request();
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Registered(to, number) => {
                    let entry = entry_of(number, self.hosts[number].incarnation);
                    self.hosts[to].router.fleet.register(entry);
                }
                Event::Unregistered(to, number) => {
                    self.hosts[to].router.fleet.unregister(&name_of(number));
                }
                Event::Request(number) => self.handle_request(number),
            }
        }
    }

    // Sends a request to a running host.
    fn send_request(&mut self) {
        let number = self.rng.usize(self.callers_use.clone());
        if !self.hosts[number].running {
            return;
        }
        self.requests.push(self.now);
        if self.requests_held_until > self.now {
            self.event_count += 1;
            let key = (self.requests_held_until, self.event_count);
            self.events.insert(key, Event::Request(number));
            return;
        }
        self.handle_request(number);
    }

    fn handle_request(&mut self, number: usize) {
        let is_failing = self.rng.f64() < self.failing;
        let host = &mut self.hosts[number];
        if !host.running {
            return;
        }
        host.router.start_request(self.now, SERVICE);
        for _ in 1..ATTEMPTS {
            if !is_failing || !host.router.take_retry(self.now, SERVICE) {
                break;
            }
            self.retries.push(self.now.max(self.retries_held_until));
        }
        host.router.end_request(SERVICE);
    }

    // Describes the window with the largest excess over the budget, if there is one.
    fn excess(&mut self) -> Option<String> {
        self.retries.sort_unstable();
        let count = |times: &[Duration], start: Duration| {
            let first = times.partition_point(|at| *at < start);
            times.partition_point(|at| *at < start + WINDOW) - first
        };
        let mut worst: Option<(f64, String)> = None;
        for start in &self.retries {
            let starts = [
                *start,
                start.saturating_sub(WINDOW / 2),
                start.saturating_sub(WINDOW),
            ];
            let requests = starts.map(|start| count(&self.requests, start));
            let requests = requests.into_iter().max().unwrap_or(0);
            let retries = count(&self.retries, *start);
            let allowed = RATIO * requests as f64 + SLACK;
            let excess = retries as f64 - allowed;
            if excess > worst.as_ref().map_or(0.0, |(excess, _)| *excess) {
                let text = format!("{retries} retries for {requests} requests, {allowed} allowed");
                worst = Some((excess, text));
            }
        }
        worst.map(|(_, text)| text)
    }
}

fn play_restarts_of_all(hosts: usize) {
    let mut fleet = RetryFleet::new(hosts, 1);
    fleet.run(60.0, Duration::from_secs(3));
    for _ in 0..3 {
        for number in 0..hosts {
            fleet.kill(number);
        }
        fleet.run(60.0, Duration::from_millis(500));
        for number in 0..hosts {
            fleet.start(number);
        }
        fleet.run(60.0, Duration::from_millis(2_500));
    }
    assert_eq!(fleet.excess(), None);
}

#[test]
fn restarts_of_all_hosts_do_not_exceed_the_retry_budget_at_9_hosts() {
    play_restarts_of_all(9);
}

#[test]
fn restarts_of_all_hosts_do_not_exceed_the_retry_budget_at_80_hosts() {
    play_restarts_of_all(80);
}

#[test]
fn restarts_of_all_hosts_do_not_exceed_the_retry_budget_at_300_hosts() {
    play_restarts_of_all(300);
}

fn play_shrinking_fleet(hosts: usize) {
    let mut fleet = RetryFleet::new(hosts, 2);
    fleet.run(60.0, Duration::from_secs(12));
    // The hosts leave one after the other, within the window.
    let pause = Duration::from_secs(8) / u32::try_from(hosts).expect("a small number");
    for number in 0..hosts - 1 {
        fleet.leave(number);
        fleet.run(60.0, pause);
    }
    fleet.run(60.0, Duration::from_secs(4));
    assert_eq!(fleet.excess(), None);
}

#[test]
fn hosts_that_leave_do_not_hand_on_a_used_retry_budget_at_9_hosts() {
    play_shrinking_fleet(9);
}

#[test]
fn hosts_that_leave_do_not_hand_on_a_used_retry_budget_at_80_hosts() {
    play_shrinking_fleet(80);
}

#[test]
fn retry_budget_holds_while_hosts_stop_leave_and_start() {
    let mut findings = Vec::new();
    for seed in 0..100_u64 {
        let hosts = [3, 9, 80][usize::try_from(seed % 3).expect("a small number")];
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = RetryFleet::new(hosts, seed);
        let rate = f64::from(rng.u32(5..400));
        for _ in 0..12 {
            let share = rng.u32(5..=100);
            let action = rng.u32(..4);
            for number in 0..hosts {
                if rng.u32(..100) >= share {
                    continue;
                }
                match action {
                    0 => fleet.kill(number),
                    1 => fleet.leave(number),
                    _ => fleet.start(number),
                }
            }
            let load = rate * [0.1, 1.0, 3.0][rng.usize(..3)];
            fleet.run(load, Duration::from_millis(rng.u64(200..3_000)));
        }
        let excess = fleet.excess();
        findings.extend(excess.map(|text| format!("seed {seed}, {hosts} hosts: {text}")));
    }
    assert!(findings.is_empty(), "{findings:#?}");
}

fn play_restarts_after_calm(hosts: usize) {
    let mut fleet = RetryFleet::new(hosts, 3);
    fleet.failing = 0.0;
    fleet.run(360.0, Duration::from_secs(12));
    fleet.failing = 0.9;
    fleet.run(360.0, Duration::from_secs(2));
    for number in 0..hosts {
        fleet.kill(number);
    }
    fleet.run(360.0, Duration::from_millis(500));
    for number in 0..hosts {
        fleet.start(number);
    }
    fleet.run(360.0, Duration::from_secs(8));
    assert_eq!(fleet.excess(), None);
}

#[test]
fn restarts_after_a_calm_do_not_exceed_the_retry_budget_at_9_hosts() {
    play_restarts_after_calm(9);
}

#[test]
fn restarts_after_a_calm_do_not_exceed_the_retry_budget_at_80_hosts() {
    play_restarts_after_calm(80);
}

#[test]
fn restarts_after_a_calm_do_not_exceed_the_retry_budget_at_300_hosts() {
    play_restarts_after_calm(300);
}

fn play_moving_callers(hosts: usize) {
    let mut fleet = RetryFleet::new(hosts, 4);
    fleet.failing = 0.0;
    fleet.callers_use = 0..hosts / 2;
    fleet.run(700.0, Duration::from_secs(12));
    fleet.failing = 0.9;
    fleet.run(700.0, Duration::from_secs(2));
    fleet.callers_use = hosts / 2..hosts;
    fleet.run(700.0, Duration::from_secs(9));
    assert_eq!(fleet.excess(), None);
}

#[test]
fn callers_that_move_do_not_exceed_the_retry_budget_at_9_hosts() {
    play_moving_callers(9);
}

#[test]
fn callers_that_move_do_not_exceed_the_retry_budget_at_80_hosts() {
    play_moving_callers(80);
}

#[test]
fn callers_that_move_do_not_exceed_the_retry_budget_at_300_hosts() {
    play_moving_callers(300);
}

#[test]
fn retries_that_a_cut_holds_up_do_not_exceed_the_retry_budget() {
    let mut fleet = RetryFleet::new(12, 5);
    fleet.run(700.0, Duration::from_secs(12));
    fleet.retries_held_until = fleet.now + MAX_HOLD;
    fleet.run(700.0, Duration::from_secs(15));
    assert_eq!(fleet.excess(), None);
}

#[test]
fn falling_traffic_does_not_exceed_the_retry_budget() {
    let mut fleet = RetryFleet::new(12, 6);
    fleet.failing = 0.0;
    fleet.run(700.0, Duration::from_secs(2));
    fleet.run(0.0, Duration::from_secs(8));
    fleet.failing = 1.0;
    fleet.run(700.0, Duration::from_secs(2));
    fleet.run(20.0, Duration::from_secs(10));
    assert_eq!(fleet.excess(), None);
}

// Plays a cut of some hosts from the store while others start, stop and leave, and traffic rises and moves.
fn play_cut_from_the_store(seed: u64, hosts: usize) -> Option<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = RetryFleet::new(hosts, seed);
    let rate = f64::from(rng.u32(20..200));
    let first_running = rng.usize(1..=hosts);
    for number in first_running..hosts {
        fleet.leave(number);
    }
    fleet.failing = [0.0, 0.3, 1.0][rng.usize(..3)];
    fleet.run(rate, Duration::from_secs(14));
    let cut_first = rng.usize(..hosts);
    fleet.cut_off = cut_first..rng.usize(cut_first..hosts) + 1;
    fleet.cut_until = fleet.now + Duration::from_millis(rng.u64(2_000..25_000));
    let factor = [2.0, 4.0, 8.0][rng.usize(..3)];
    fleet.failing = 1.0;
    while fleet.now < fleet.cut_until {
        let first = rng.usize(..hosts);
        let affected = first..rng.usize(first..hosts) + 1;
        match rng.u32(..5) {
            0 => affected.for_each(|number| fleet.kill(number)),
            1 => affected.for_each(|number| fleet.leave(number)),
            2 => fleet.callers_use = affected,
            _ => affected.for_each(|number| fleet.start(number)),
        }
        fleet.run(rate * factor, Duration::from_millis(rng.u64(200..4_000)));
    }
    fleet.run(rate * factor, Duration::from_secs(12));
    let excess = fleet.excess();
    excess.map(|text| format!("seed {seed}, {hosts} hosts: {text}"))
}

#[test]
fn retry_budget_holds_while_hosts_are_cut_from_the_store_at_9_hosts() {
    let findings: Vec<_> = (0..150)
        .filter_map(|seed| play_cut_from_the_store(seed, 9))
        .collect();
    assert!(findings.is_empty(), "{findings:#?}");
}

#[test]
fn retry_budget_holds_while_hosts_are_cut_from_the_store_at_80_hosts() {
    let findings: Vec<_> = (0..60)
        .filter_map(|seed| play_cut_from_the_store(seed, 80))
        .collect();
    assert!(findings.is_empty(), "{findings:#?}");
}

#[test]
fn retry_budget_holds_for_what_targets_receive() {
    let mut findings = Vec::new();
    for seed in 0..150_u64 {
        let hosts = [3, 9, 12, 80, 300][usize::try_from(seed % 5).expect("a small number")];
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = RetryFleet::new(hosts, seed);
        let rate = f64::from(rng.u32(50..800));
        for _ in 0..8 {
            let first = rng.usize(..hosts);
            let affected = first..rng.usize(first..hosts) + 1;
            match rng.u32(..6) {
                0 => affected.for_each(|number| fleet.kill(number)),
                1 => affected.for_each(|number| fleet.leave(number)),
                2 => (0..hosts).for_each(|number| fleet.start(number)),
                3 => fleet.callers_use = affected,
                4 => fleet.requests_held_until = fleet.now + hold(&mut rng),
                _ => fleet.retries_held_until = fleet.now + hold(&mut rng),
            }
            fleet.failing = [0.0, 0.3, 1.0][rng.usize(..3)];
            let load = rate * [0.05, 1.0, 2.0][rng.usize(..3)];
            fleet.run(load, Duration::from_millis(rng.u64(200..8_000)));
        }
        let excess = fleet.excess();
        findings.extend(excess.map(|text| format!("seed {seed}, {hosts} hosts: {text}")));
    }
    assert!(findings.is_empty(), "{findings:#?}");
}

fn hold(rng: &mut fastrand::Rng) -> Duration {
    MAX_HOLD.mul_f64(rng.f64() / 2.0)
}

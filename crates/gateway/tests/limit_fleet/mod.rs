//! A fleet of routers in virtual time, with targets that name limits. Heartbeats, digests, responses and
//! callers are simulated; all decisions are those of the routers.

pub(crate) mod cut;

use arbtest::arbitrary;
use fighall_gateway::{
    decision::{OwnHost, PlacementQuery, SentRequest},
    message::{CopyStatus, HostStatus, PeerHeartbeat, ZoneDigest, ZoneVersions},
    policy::{ServicePolicy, TrafficPolicy},
    refusal::{RequestLimits, RequestPriority},
    registry::HostEntry,
    roster::{TargetEntry, TargetRoster},
    router::RequestRouter,
    settings::GatewayBounds,
    target_limit::LimitReport,
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Step of the virtual time.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Window over which the requests to a limited target are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);
/// Time after which a host that a target has told of its limit must keep to it.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Time that a request takes at a target.
const WORK: Duration = Duration::from_millis(60);
const LOCAL_DELAY: Duration = Duration::from_millis(2);
const REMOTE_DELAY: Duration = Duration::from_millis(70);
/// Longest time after which a host learns of a change in the store.
const MAX_STORE_DELAY_MS: u64 = 2_000;
const WARMUP: Duration = Duration::from_secs(60);
/// Steps between heartbeats, and between updates of shares.
const HEARTBEAT_STEPS: u64 = 40;
const TICK_STEPS: u64 = 20;

enum Event {
    Heartbeat(usize, Box<PeerHeartbeat>),
    Digest(usize, Box<ZoneDigest>),
    Registered(usize, HostEntry),
    Unregistered(usize, String),
    Response(usize, u64, SentRequest, Duration, LimitReport),
}

pub(crate) struct SimulatedHost {
    pub(crate) router: RequestRouter,
    /// Requests per second of its callers.
    pub(crate) demand: f64,
    // Whether it neither sends nor receives anything.
    dead: bool,
    /// Whether it has left as planned, and stays away until it is started again.
    left: bool,
    /// Group of the partition that it is in: messages pass only within a group.
    pub(crate) group: usize,
    name: String,
    region: usize,
    incarnation: u64,
    due: f64,
    told_at: BTreeMap<String, Duration>,
}

pub(crate) struct SimulatedTarget {
    /// Limit that it names.
    pub(crate) limit: Option<f64>,
    /// Arrival of each request, and the host that sent it.
    pub(crate) arrivals: Vec<(Duration, usize)>,
}

pub(crate) struct LimitFleet {
    pub(crate) now: Duration,
    pub(crate) hosts: Vec<SimulatedHost>,
    pub(crate) targets: Vec<SimulatedTarget>,
    /// Requests that found no target.
    pub(crate) refused: usize,
    /// `Retry-After` of each of them.
    pub(crate) retry_delays: Vec<Duration>,
    /// Whether regions keep their requests, as long as their targets have room.
    pub(crate) local: bool,
    /// Requests per second that the first target can handle while it is warming up, if it is.
    pub(crate) warmup_rate: Option<f64>,
    /// Percentage of messages between hosts that are lost.
    pub(crate) loss: u32,
    /// Group whose messages reach the other groups, although theirs do not reach it.
    one_way_group: Option<usize>,
    regions: usize,
    steps: u64,
    requests: u64,
    events: BTreeMap<(Duration, u64), Event>,
    rng: fastrand::Rng,
}

pub(crate) fn target_name(number: usize) -> String {
    format!("t{number}")
}

fn service() -> ServicePolicy {
    ServicePolicy {
        name: "quotes".to_owned(),
        max_connections: 1_000,
        warmup: Duration::ZERO,
        warmup_rate: 0.0,
    }
}

fn policy() -> TrafficPolicy {
    TrafficPolicy {
        services: BTreeMap::from([("quotes".to_owned(), service())]),
        ..TrafficPolicy::default()
    }
}

fn target_entry(number: usize, region: usize) -> TargetEntry {
    TargetEntry {
        name: target_name(number),
        service: "quotes".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: format!("zone-{region}"),
        slots: 1_000,
        leaving: false,
        warmup_left: Duration::ZERO,
        started_ms: Some(5),
        sequence: 0,
    }
}

impl LimitFleet {
    /// Creates `regions` of hosts with `targets` in turn. All callers together send `demand` requests per
    /// second.
    pub(crate) fn new(
        regions: usize,
        hosts: usize,
        targets: usize,
        demand: f64,
        seed: u64,
    ) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(100),
            hosts: Vec::new(),
            targets: Vec::new(),
            refused: 0,
            retry_delays: Vec::new(),
            local: false,
            warmup_rate: None,
            loss: 0,
            one_way_group: None,
            regions,
            steps: 0,
            requests: 0,
            events: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        };
        for _ in 0..targets {
            fleet.targets.push(SimulatedTarget {
                limit: None,
                arrivals: Vec::new(),
            });
        }
        let share = demand / hosts as f64;
        for number in 0..hosts {
            let host = fleet.new_host(number, 1, share);
            fleet.hosts.push(host);
        }
        fleet
    }

    fn new_host(&self, number: usize, incarnation: u64, demand: f64) -> SimulatedHost {
        let region = number % self.regions;
        let zones =
            (0..self.regions).map(|region| (format!("zone-{region}"), format!("r{region}")));
        let mut roster = TargetRoster::new(zones.collect());
        for target in 0..self.targets.len() {
            let mut entry = target_entry(target, target % self.regions);
            if target == 0 && self.warmup_rate.is_some() {
                entry.warmup_left = WARMUP;
            }
            roster.upsert(self.now, entry);
        }
        let own_host = OwnHost {
            host: format!("h{number}"),
            region: format!("r{region}"),
            zone: format!("zone-{region}"),
            incarnation,
        };
        let bounds = GatewayBounds {
            warmup_overage: 1.5,
            warmup_slack: 5.0,
            ..GatewayBounds::default()
        };
        let mut router = RequestRouter::new(self.now, own_host, bounds, roster);
        let count = self.hosts.len().max(number + 1);
        for (other, incarnation) in self.incarnations(count) {
            if other != number {
                router.fleet.register(self.entry(other, incarnation));
            }
        }
        SimulatedHost {
            router,
            demand,
            dead: false,
            left: false,
            group: 0,
            name: format!("h{number}"),
            region,
            incarnation,
            due: 0.0,
            told_at: BTreeMap::new(),
        }
    }

    fn incarnations(&self, count: usize) -> Vec<(usize, u64)> {
        let of = |number: usize| self.hosts.get(number).map_or(1, |host| host.incarnation);
        (0..count).map(|number| (number, of(number))).collect()
    }

    fn entry(&self, number: usize, incarnation: u64) -> HostEntry {
        let region = number % self.regions;
        HostEntry {
            host: format!("h{number}"),
            incarnation,
            region: format!("r{region}"),
            zone: format!("zone-{region}"),
            callers: ([127, 0, 0, 1], 1).into(),
            peers: ([127, 0, 0, 1], 2).into(),
        }
    }

    /// Lets all hosts know each other, and runs until they have heard of each other.
    pub(crate) fn settle(&mut self) {
        let count = self.hosts.len();
        for (number, incarnation) in self.incarnations(count) {
            let entry = self.entry(number, incarnation);
            for host in &mut self.hosts {
                if host.name != entry.host {
                    host.router.fleet.register(entry.clone());
                }
            }
        }
        self.run(Duration::from_secs(2));
    }

    /// Starts a new process of a host: it knows of no limit, and the others learn of it.
    pub(crate) fn restart(&mut self, number: usize) {
        let (incarnation, demand) = (
            self.hosts[number].incarnation + 1,
            self.hosts[number].demand,
        );
        let group = self.hosts[number].group;
        self.hosts[number] = self.new_host(number, incarnation, demand);
        self.hosts[number].group = group;
        let entry = self.entry(number, incarnation);
        for (other, host) in self.hosts.iter_mut().enumerate() {
            if other != number {
                host.router.fleet.register(entry.clone());
            }
        }
    }

    /// Starts a further host, which knows all others. Each of them learns of it after a time of its own.
    pub(crate) fn join(&mut self) {
        let number = self.hosts.len();
        let demand = self.hosts[0].demand;
        let host = self.new_host(number, 1, demand);
        let entry = self.entry(number, 1);
        self.hosts.push(host);
        for other in 0..number {
            let delay = Duration::from_millis(self.rng.u64(0..MAX_STORE_DELAY_MS));
            self.push(delay, Event::Registered(other, entry.clone()));
        }
    }

    /// Ends a host as planned. Each of the others learns of it after a time of its own.
    pub(crate) fn leave(&mut self, number: usize) {
        self.hosts[number].dead = true;
        self.hosts[number].left = true;
        let name = self.hosts[number].name.clone();
        for other in (0..self.hosts.len()).filter(|other| *other != number) {
            let delay = Duration::from_millis(self.rng.u64(0..MAX_STORE_DELAY_MS));
            self.push(delay, Event::Unregistered(other, name.clone()));
        }
    }

    /// Stops a host, or lets a stopped one go on as if nothing had happened.
    pub(crate) fn toggle(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        host.dead = !host.dead || host.left;
    }

    /// Moves the callers of all hosts to those of one host's region.
    pub(crate) fn shift_demand(&mut self, to: usize) {
        let total: f64 = self.hosts.iter().map(|host| host.demand).sum();
        let region = self.hosts[to].region;
        let count = self.hosts.iter().filter(|host| host.region == region);
        let share = total / count.count() as f64;
        for host in &mut self.hosts {
            host.demand = if host.region == region { share } else { 0.0 };
        }
    }

    /// Runs for `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let policy = policy();
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.deliver();
            for number in 0..self.hosts.len() {
                if self.hosts[number].dead {
                    continue;
                }
                // The hosts' timers are not in step.
                let phase = self.steps + number as u64 * 7;
                if phase.is_multiple_of(TICK_STEPS) {
                    let router = &mut self.hosts[number].router;
                    if self.local {
                        router.tick(self.now, &policy);
                    }
                    router.update_limits(self.now);
                }
                if phase.is_multiple_of(HEARTBEAT_STEPS) {
                    self.send_heartbeats(number);
                }
                self.send_requests(number);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Heartbeat(to, heartbeat) => self.take_heartbeat(to, *heartbeat),
                Event::Digest(to, digest) => self.take_digest(to, *digest),
                Event::Registered(to, entry) => self.hosts[to].router.fleet.register(entry),
                Event::Unregistered(to, host) => self.hosts[to].router.fleet.unregister(&host),
                Event::Response(to, incarnation, sent, sent_at, report) => {
                    let host = &mut self.hosts[to];
                    if host.dead || host.incarnation != incarnation {
                        continue;
                    }
                    if matches!(report, LimitReport::Rate(_)) {
                        host.told_at.entry(sent.target.clone()).or_insert(self.now);
                    }
                    host.router.end_attempt(&sent);
                    host.router.end_request("quotes");
                    host.router
                        .record_limit(self.now, sent_at, &sent.target, &report, true);
                }
            }
        }
    }

    fn take_heartbeat(&mut self, to: usize, heartbeat: PeerHeartbeat) {
        let (now, host) = (self.now, &mut self.hosts[to]);
        if host.dead {
            return;
        }
        let limits = heartbeat.limits.clone();
        if host.router.fleet.apply_heartbeat(now, heartbeat).is_some() {
            host.router.apply_limit_claims(now, &limits);
        }
    }

    fn take_digest(&mut self, to: usize, digest: ZoneDigest) {
        let now = self.now;
        if self.hosts[to].dead {
            return;
        }
        let limits = digest.limits.clone();
        let forwarded = ZoneDigest {
            forwarded: true,
            ..digest.clone()
        };
        let is_direct = !digest.forwarded;
        let host = &mut self.hosts[to];
        if host.router.fleet.apply_digest(now, digest).is_some() {
            host.router.apply_limit_claims(now, &limits);
        }
        if is_direct {
            for peer in self.local_peers(to) {
                self.post(
                    to,
                    peer,
                    LOCAL_DELAY,
                    Event::Digest(peer, Box::new(forwarded.clone())),
                );
            }
        }
    }

    fn local_peers(&self, number: usize) -> Vec<usize> {
        let same = |other: &usize| {
            *other != number && self.hosts[*other].region == self.hosts[number].region
        };
        (0..self.hosts.len()).filter(same).collect()
    }

    fn post(&mut self, from: usize, to: usize, delay: Duration, event: Event) {
        let lost = self.rng.u32(0..100) < self.loss;
        let group = self.hosts[from].group;
        let is_passed = group == self.hosts[to].group || self.one_way_group == Some(group);
        if !lost && is_passed {
            self.push(delay, event);
        }
    }

    fn push(&mut self, delay: Duration, event: Event) {
        let number = self.requests + self.steps * 1_000_000;
        let mut key = (self.now + delay, number);
        while self.events.contains_key(&key) {
            key.1 += 1;
        }
        self.events.insert(key, event);
    }

    fn send_heartbeats(&mut self, number: usize) {
        let (now, host) = (self.now, &self.hosts[number]);
        let sent_us = u64::try_from(now.as_micros()).expect("a small time");
        let heartbeat = PeerHeartbeat {
            host: host.name.clone(),
            incarnation: host.incarnation,
            sent_us,
            echo: None,
            ready: true,
            leaving: false,
            targets_unreachable: false,
            copies: CopyStatus::default(),
            usages: Vec::new(),
            demands: BTreeMap::new(),
            limits: host.router.own_limit_claims(now),
            crashes: Vec::new(),
        };
        for peer in self.local_peers(number) {
            let event = Event::Heartbeat(peer, Box::new(heartbeat.clone()));
            self.post(number, peer, LOCAL_DELAY, event);
        }
        let router = &self.hosts[number].router;
        if !router.fleet.is_relay(now, &self.hosts[number].name) {
            return;
        }
        let mut hosts = router.fleet.host_statuses(now);
        hosts.push(HostStatus {
            host: self.hosts[number].name.clone(),
            incarnation: self.hosts[number].incarnation,
            age_ms: 0,
            ready: true,
            leaving: false,
            store_unreachable: false,
            targets_unreachable: false,
        });
        let digest = ZoneDigest {
            versions: ZoneVersions::default(),
            region: format!("r{}", self.hosts[number].region),
            zone: format!("zone-{}", self.hosts[number].region),
            relay: self.hosts[number].name.clone(),
            incarnation: self.hosts[number].incarnation,
            sent_us,
            forwarded: false,
            hosts,
            copies: CopyStatus::default(),
            usages: Vec::new(),
            demands: BTreeMap::new(),
            limits: router.zone_limit_claims(now),
            crashes: Vec::new(),
        };
        let own_region = self.hosts[number].region;
        for region in (0..self.regions).filter(|region| *region != own_region) {
            let relays = self.relays(region);
            if relays.is_empty() {
                continue;
            }
            let relay = relays[self.rng.usize(0..relays.len())];
            let event = Event::Digest(relay, Box::new(digest.clone()));
            self.post(number, relay, REMOTE_DELAY, event);
        }
    }

    // Two hosts of a region that receive digests: which of the living ones does not matter here.
    fn relays(&self, region: usize) -> Vec<usize> {
        let serves =
            |other: &usize| self.hosts[*other].region == region && !self.hosts[*other].dead;
        (0..self.hosts.len()).filter(serves).take(2).collect()
    }

    fn send_requests(&mut self, number: usize) {
        let chance = self.hosts[number].demand * STEP.as_secs_f64();
        self.hosts[number].due += chance * 2.0 * self.rng.f64();
        while self.hosts[number].due >= 1.0 {
            self.hosts[number].due -= 1.0;
            self.requests += 1;
            self.send_request(number);
        }
    }

    fn send_request(&mut self, number: usize) {
        let now = self.now;
        let query = PlacementQuery {
            service: "quotes".to_owned(),
            route: "read".to_owned(),
            object: format!("object-{}", self.rng.u32(..)),
            sticky: true,
            allowed_regions: None,
            tried: Vec::new(),
            priority: RequestPriority::default(),
            limits: RequestLimits {
                objective: Duration::from_secs(1),
                timeout: Duration::from_secs(2),
            },
        };
        let service = ServicePolicy {
            warmup_rate: self.warmup_rate.unwrap_or_default(),
            ..service()
        };
        let host = &mut self.hosts[number];
        let placement = match host.router.place(now, &query, &service) {
            Ok(placement) => placement,
            Err(refusal) => {
                self.refused += 1;
                self.retry_delays.push(refusal.retry_after());
                return;
            }
        };
        host.router.start_request(now, "quotes");
        let sent = host.router.start_attempt(&query, &placement);
        let incarnation = host.incarnation;
        let index: usize = placement.target[1..].parse().expect("a number");
        let target = &mut self.targets[index];
        target.arrivals.push((now, number));
        let report = target.limit.map_or(LimitReport::Absent, LimitReport::Rate);
        self.push(
            WORK,
            Event::Response(number, incarnation, sent, now, report),
        );
    }

    /// Checks the arrivals at a target that has named `limit` since `from` until now: in no 4 s more than
    /// one and a half times the limit and 5 requests from hosts that were told half a second before.
    pub(crate) fn check(&self, target: usize, limit: f64, from: Duration) {
        let allowed = limit * WINDOW.as_secs_f64() * 1.5 + 5.0;
        let name = target_name(target);
        let mut window: VecDeque<Duration> = VecDeque::new();
        for (at, host) in &self.targets[target].arrivals {
            let told_at = self.hosts[*host].told_at.get(&name);
            let counted = told_at.is_some_and(|told_at| *at >= *told_at + TOLD_AFTER);
            if *at < from || !counted {
                continue;
            }
            window.push_back(*at);
            while window.front().is_some_and(|first| *at - *first >= WINDOW) {
                window.pop_front();
            }
            let count = window.len();
            assert!(
                count as f64 <= allowed,
                "{count} requests in 4 s at {:?} after the naming, allowed {allowed}",
                *at - from,
            );
        }
    }

    /// Gets the most requests that a target got within a second.
    pub(crate) fn most_in_a_second(&self, target: usize) -> usize {
        let arrivals = &self.targets[target].arrivals;
        let within = |start: Duration| {
            let inside =
                |(at, _): &&(Duration, usize)| *at >= start && *at < start + Duration::from_secs(1);
            arrivals.iter().filter(inside).count()
        };
        arrivals
            .iter()
            .map(|(at, _)| within(*at))
            .max()
            .unwrap_or(0)
    }

    /// Makes the first target warm up, as a restart of it that all hosts have noticed.
    pub(crate) fn start_warmup(&mut self, rate: f64) {
        self.warmup_rate = Some(rate);
        for host in &mut self.hosts {
            if let Some(record) = host.router.roster.get_mut(&target_name(0)) {
                record.record_warmup(self.now, WARMUP);
            }
        }
    }

    /// Gets the requests per second that a target got since `from`.
    pub(crate) fn rate_since(&self, target: usize, from: Duration) -> f64 {
        let arrivals = &self.targets[target].arrivals;
        let count = arrivals.iter().filter(|(at, _)| *at >= from).count();
        count as f64 / (self.now - from).as_secs_f64()
    }

    /// Gets what each host knows of the limit of a target.
    pub(crate) fn known_limits(&self, target: usize) -> Vec<Option<f64>> {
        let name = target_name(target);
        let known = |host: &SimulatedHost| host.router.roster.get(&name)?.limiter.rate();
        self.hosts.iter().map(known).collect()
    }
}

/// Plays `case` with many seeds, always the same ones. `FIGHALL_CASES=FROM..TO` names others.
pub(crate) fn play_cases(case: impl Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>) {
    play_some_cases(200, case);
}

/// Plays `case` with `count` seeds, if no others are named.
pub(crate) fn play_some_cases(
    count: u64,
    case: impl Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
) {
    let range = std::env::var("FIGHALL_CASES").unwrap_or_else(|_| format!("0..{count}"));
    let (first, end) = range.split_once("..").expect("a range");
    let bound = |text: &str| text.parse::<u64>().expect("a number");
    for seed in bound(first)..bound(end) {
        // Shown with a failure.
        println!("case {seed}");
        let mut random = fastrand::Rng::with_seed(seed);
        let bytes: Vec<u8> = std::iter::repeat_with(|| random.u8(..)).take(512).collect();
        let mut source = arbitrary::Unstructured::new(&bytes);
        case(&mut source).expect("enough bytes");
    }
}

/// Draws one of `items`.
pub(crate) fn draw<T: Copy>(
    source: &mut arbitrary::Unstructured<'_>,
    items: &[T],
) -> arbitrary::Result<T> {
    source.choose(items).copied()
}

//! A fleet in virtual time that shares the rate of one organisation. Heartbeats, digests and callers are simulated;
//! counters, reports and decisions are those of the hosts.

use fighall_gateway::{
    admissions::AdmissionLedger,
    fleet::FleetTable,
    limit::{FleetLimiter, OrgLimit},
    message::{CopyStatus, HostStatus, OrgUsage, PeerHeartbeat, ZoneDigest, ZoneVersions},
    registry::HostEntry,
};
use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

pub(crate) const ORG: &str = "andes";
const STEP: Duration = Duration::from_millis(10);
/// Steps between checks for messages to send, between heartbeats, and between updates of averages.
const SEND_CHECK_STEPS: u64 = 5;
const HEARTBEAT_STEPS: u64 = 40;
const TICK_STEPS: u64 = 20;
const LOCAL_DELAY: Duration = Duration::from_millis(10);
const MAX_REMOTE_DELAY_MS: u64 = 60;

/// `FleetCut` is a partition of the hosts: which messages between its two sides are lost. Callers reach all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetCut {
    /// Between the first `zones` availability zones and the others.
    Zones { zones: usize },
    /// From the first availability zone to the others only.
    Outbound,
    /// From the other availability zones to the first one only.
    Inbound,
    /// Between the first half of the hosts and the others, across zones.
    Hosts,
}

/// `FleetShape` is the number of hosts and of availability zones.
#[derive(Clone, Copy)]
pub(crate) struct FleetShape {
    pub(crate) hosts: usize,
    pub(crate) zones: usize,
}

enum Event {
    Start,
    Registered(HostEntry),
    Heartbeat(Box<PeerHeartbeat>),
    Digest(Box<ZoneDigest>),
}

struct SimulatedHost {
    entry: HostEntry,
    running: bool,
    is_relay: bool,
    sent_step: u64,
    fleet: FleetTable,
    limiter: FleetLimiter,
    ledger: AdmissionLedger,
}

pub(crate) struct AdmissionFleet {
    pub(crate) now: Duration,
    limit: OrgLimit,
    shape: FleetShape,
    hosts: Vec<SimulatedHost>,
    steps: u64,
    events: BTreeMap<(Duration, u64), (usize, Event)>,
    event_count: u64,
    due_requests: f64,
    admitted: Vec<Duration>,
    /// Requests that were refused.
    pub(crate) refused: usize,
    /// Percentage of messages between hosts that are lost.
    pub(crate) loss: u32,
    /// Partition of the hosts, if there is one.
    pub(crate) cut: Option<FleetCut>,
    rng: fastrand::Rng,
}

fn new_host(now: Duration, entry: HostEntry, seed: u64) -> SimulatedHost {
    SimulatedHost {
        fleet: FleetTable::new(&entry.region, &entry.zone, entry.incarnation).with_start(now),
        limiter: FleetLimiter::new(now).with_seed(seed),
        ledger: AdmissionLedger::default(),
        running: false,
        is_relay: false,
        sent_step: 0,
        entry,
    }
}

impl AdmissionFleet {
    /// Creates a fleet of which no host runs yet.
    pub(crate) fn new(shape: FleetShape, limit: OrgLimit, seed: u64) -> Self {
        let now = Duration::from_secs(100);
        let mut hosts = Vec::new();
        for number in 0..shape.hosts {
            let zone = number % shape.zones;
            let port = 1_000 + u16::try_from(number).expect("a small number");
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            let entry = HostEntry {
                host: format!("zone-{zone}-host-{number}"),
                incarnation: 1,
                region: format!("region-{}", zone % 3),
                zone: format!("zone-{zone}"),
                callers: address,
                peers: address,
            };
            hosts.push(new_host(now, entry, seed));
        }
        Self {
            now,
            limit,
            shape,
            hosts,
            steps: 0,
            events: BTreeMap::new(),
            event_count: 0,
            due_requests: 0.0,
            admitted: Vec::new(),
            refused: 0,
            loss: 0,
            cut: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Kills all hosts.
    pub(crate) fn stop_all(&mut self) {
        for host in &mut self.hosts {
            host.running = false;
        }
    }

    /// Kills the hosts with these numbers.
    pub(crate) fn stop(&mut self, numbers: std::ops::Range<usize>) {
        for host in &mut self.hosts[numbers] {
            host.running = false;
        }
    }

    /// Kills each host with a probability of `percent`.
    pub(crate) fn stop_some(&mut self, percent: u32) {
        for host in &mut self.hosts {
            if self.rng.u32(..100) < percent {
                host.running = false;
            }
        }
    }

    /// Kills the hosts that are relays.
    pub(crate) fn stop_relays(&mut self) {
        for host in self.hosts.iter_mut().filter(|host| host.is_relay) {
            host.running = false;
        }
    }

    /// Starts all hosts that do not run, each at its own time within `spread`.
    pub(crate) fn start_all(&mut self, spread: Duration) {
        for number in 0..self.hosts.len() {
            if !self.hosts[number].running {
                let delay = spread.mul_f64(self.rng.f64());
                self.push(delay, number, Event::Start);
            }
        }
    }

    /// Offers `rate` requests per second to the running hosts for `time`.
    pub(crate) fn run(&mut self, rate: f64, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.deliver();
            for number in 0..self.hosts.len() {
                self.update(number);
            }
            self.offer(rate);
        }
    }

    fn offer(&mut self, rate: f64) {
        let running: Vec<_> = (0..self.hosts.len())
            .filter(|number| self.hosts[*number].running)
            .collect();
        self.due_requests += rate * STEP.as_secs_f64();
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0;
            if running.is_empty() {
                continue;
            }
            let number = running[self.rng.usize(..running.len())];
            let limiter = &mut self.hosts[number].limiter;
            if limiter.admit(self.now, ORG, &self.limit).is_ok() {
                self.admitted.push(self.now);
            } else {
                self.refused += 1;
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let zones = self.shape.zones;
        let is_first = |host: usize, count: usize| host % zones < count;
        match self.cut {
            None => false,
            Some(FleetCut::Zones { zones }) => is_first(from, zones) != is_first(to, zones),
            Some(FleetCut::Outbound) => is_first(from, 1) && !is_first(to, 1),
            Some(FleetCut::Inbound) => !is_first(from, 1) && is_first(to, 1),
            Some(FleetCut::Hosts) => (from < self.shape.hosts / 2) != (to < self.shape.hosts / 2),
        }
    }

    fn post(&mut self, delay: Duration, from: usize, to: usize, event: Event) {
        if self.is_cut(from, to) {
            return;
        }
        if self.rng.u32(..100) >= self.loss {
            self.push(delay, to, event);
        }
    }

    fn push(&mut self, delay: Duration, to: usize, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), (to, event));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, event) = entry.remove();
            match event {
                Event::Start => self.start(to),
                _ if !self.hosts[to].running => {}
                Event::Registered(entry) => self.hosts[to].fleet.register(entry),
                Event::Heartbeat(heartbeat) => self.receive_heartbeat(to, *heartbeat),
                Event::Digest(digest) => self.receive_digest(to, *digest),
            }
        }
    }

    fn start(&mut self, number: usize) {
        let entry = HostEntry {
            incarnation: self.hosts[number].entry.incarnation + 1,
            ..self.hosts[number].entry.clone()
        };
        let mut host = new_host(self.now, entry.clone(), self.rng.u64(..));
        for other in (0..self.hosts.len()).filter(|other| *other != number) {
            host.fleet.register(self.hosts[other].entry.clone());
        }
        host.running = true;
        host.sent_step = self.steps;
        self.hosts[number] = host;
        self.count_hosts(number);
        for other in (0..self.hosts.len()).filter(|other| *other != number) {
            let delay = Duration::from_millis(self.rng.u64(20..300));
            self.push(delay, other, Event::Registered(entry.clone()));
        }
    }

    fn count_hosts(&mut self, number: usize) {
        let (now, host) = (self.now, &mut self.hosts[number]);
        let counts = (host.fleet.host_count(), host.fleet.live_count(now));
        host.limiter.set_host_counts(counts.0, counts.1);
        let demands = host.fleet.org_demands(now);
        let demand = demands.get(ORG).copied().unwrap_or(0.0);
        host.limiter.set_peer_demand(ORG, demand);
        let reported_at = host.fleet.reported_at(now);
        host.limiter.set_reported_at(now, reported_at);
    }

    fn update(&mut self, number: usize) {
        if !self.hosts[number].running {
            return;
        }
        // The hosts' timers are not in step.
        let phase = self.steps + number as u64 * 7;
        if phase.is_multiple_of(TICK_STEPS) {
            self.count_hosts(number);
        }
        if !phase.is_multiple_of(SEND_CHECK_STEPS) {
            return;
        }
        let host = &self.hosts[number];
        let limit = self.limit;
        if self.steps - host.sent_step >= HEARTBEAT_STEPS {
            self.hosts[number].sent_step = self.steps;
            self.send_reports(number);
        } else if host.limiter.needs_report(|_| Some(limit)) {
            self.send_reports(number);
        } else if host.is_relay && self.has_urgent_digest(number) {
            self.send_digest(number);
        }
    }

    fn has_urgent_digest(&self, number: usize) -> bool {
        let host = &self.hosts[number];
        let zone_hosts = host.fleet.local_peers().count() + 1;
        let mut undigested = host.ledger.undigested();
        undigested.any(|(_, count)| host.limiter.is_report_due(&self.limit, count, zone_hosts))
    }

    fn send_reports(&mut self, number: usize) {
        let (now, host) = (self.now, &mut self.hosts[number]);
        host.limiter.mark_reported();
        let usages = host.limiter.usage();
        let heartbeat = PeerHeartbeat {
            host: host.entry.host.clone(),
            incarnation: host.entry.incarnation,
            sent_us: u64::try_from(now.as_micros()).expect("a small time"),
            echo: None,
            ready: true,
            leaving: false,
            targets_unreachable: false,
            copies: CopyStatus::default(),
            usages: host.ledger.host_report(now, &usages),
            demands: BTreeMap::new(),
            limits: Vec::new(),
            crashes: Vec::new(),
        };
        let is_relay = host.fleet.is_relay(now, &host.entry.host);
        host.ledger.record_zone(now, &usages);
        if is_relay != host.is_relay {
            host.is_relay = is_relay;
            host.ledger.become_relay();
        }
        for peer in self.zone_hosts(number) {
            let event = Event::Heartbeat(Box::new(heartbeat.clone()));
            self.post(LOCAL_DELAY, number, peer, event);
        }
        if is_relay {
            self.send_digest(number);
        }
    }

    fn zone_hosts(&self, number: usize) -> Vec<usize> {
        let zone = number % self.shape.zones;
        (0..self.hosts.len())
            .filter(|other| *other != number && other % self.shape.zones == zone)
            .collect()
    }

    fn zone_usages(&mut self, number: usize) -> Vec<OrgUsage> {
        let (now, host) = (self.now, &mut self.hosts[number]);
        let demands = host.fleet.local_org_demands(now);
        let usages = host.limiter.usage();
        host.ledger.zone_report(now, usages, &demands)
    }

    fn send_digest(&mut self, number: usize) {
        let usages = self.zone_usages(number);
        let (now, host) = (self.now, &self.hosts[number]);
        let mut hosts = host.fleet.host_statuses(now);
        hosts.push(HostStatus {
            host: host.entry.host.clone(),
            incarnation: host.entry.incarnation,
            age_ms: 0,
            ready: true,
            leaving: false,
            store_unreachable: false,
            targets_unreachable: false,
        });
        let digest = ZoneDigest {
            region: host.entry.region.clone(),
            zone: host.entry.zone.clone(),
            relay: host.entry.host.clone(),
            incarnation: host.entry.incarnation,
            sent_us: u64::try_from(now.as_micros()).expect("a small time"),
            forwarded: false,
            hosts,
            copies: CopyStatus::default(),
            usages,
            demands: BTreeMap::new(),
            limits: Vec::new(),
            crashes: Vec::new(),
            versions: ZoneVersions::default(),
        };
        for addresses in host.fleet.zone_receivers(now).into_values() {
            let address = addresses[self.rng.usize(..addresses.len())];
            let receiver = usize::from(address.port() - 1_000);
            let delay = Duration::from_millis(self.rng.u64(5..MAX_REMOTE_DELAY_MS));
            self.post(
                delay,
                number,
                receiver,
                Event::Digest(Box::new(digest.clone())),
            );
        }
    }

    fn receive_heartbeat(&mut self, to: usize, heartbeat: PeerHeartbeat) {
        let (now, limit, host) = (self.now, self.limit, &mut self.hosts[to]);
        let Some(admitted) = host.fleet.apply_heartbeat(now, heartbeat) else {
            return;
        };
        for (organisation, count) in &admitted {
            host.limiter
                .count_peer_admissions(now, organisation, &limit, *count);
        }
        host.ledger.count_peers(admitted);
    }

    fn receive_digest(&mut self, to: usize, digest: ZoneDigest) {
        if !digest.forwarded {
            for peer in self.zone_hosts(to) {
                let forwarded = ZoneDigest {
                    forwarded: true,
                    ..digest.clone()
                };
                self.post(LOCAL_DELAY, to, peer, Event::Digest(Box::new(forwarded)));
            }
        }
        let (now, limit, host) = (self.now, self.limit, &mut self.hosts[to]);
        let Some(admitted) = host.fleet.apply_digest(now, digest) else {
            return;
        };
        for (organisation, count) in &admitted {
            host.limiter
                .count_peer_admissions(now, organisation, &limit, *count);
        }
    }

    /// Gets the number of admissions since `start`.
    pub(crate) fn admitted_since(&self, start: Duration) -> usize {
        self.admitted.iter().filter(|at| **at >= start).count()
    }

    /// Gets the most admissions within any `window`.
    pub(crate) fn max_admitted_within(&self, window: Duration) -> usize {
        let mut inside: VecDeque<Duration> = VecDeque::new();
        let mut most = 0;
        for at in &self.admitted {
            inside.push_back(*at);
            while inside.front().is_some_and(|first| *at - *first >= window) {
                inside.pop_front();
            }
            most = most.max(inside.len());
        }
        most
    }
}

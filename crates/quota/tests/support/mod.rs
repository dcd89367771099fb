//! Simulated fleet: quota ledgers, clocks with offsets, and a network that loses, duplicates and
//! reorders messages.
#![allow(
    dead_code,
    missing_docs,
    unreachable_pub,
    reason = "each test file uses only some of the helpers"
)]

use fastrand::Rng;
use fighall_core::ids::{BootTime, Generation, HostId};
use fighall_quota::{
    amount::{QuotaLimit, TOKEN},
    ledgers::{BaseAllocation, LedgerOptions, QuotaLedgers},
    loan::{LoanMessage, OutgoingMessage, QuotaKey},
    rate::LoanOptions,
};
use std::time::Duration;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Message in transit, delivered at fleet time `deliver_at`.
struct Envelope {
    deliver_at: Duration,
    from: usize,
    to: usize,
    message: LoanMessage,
}

/// Faults of the simulated network; `delay` is a range in milliseconds.
#[derive(Clone, Debug)]
pub struct NetFaults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub delay: (u64, u64),
}

/// Host of the simulated fleet.
pub struct FakeHost {
    pub ledgers: QuotaLedgers,
    pub offset: Duration,
    pub paused_until: Duration,
    pub partitioned: bool,
    pub crashed: bool,
    pub activate_at: Option<Duration>,
    pub generation: Generation,
    incarnation: u64,
}

/// Simulated hosts that share quotas.
pub struct FakeFleet {
    pub now: Duration,
    pub hosts: Vec<FakeHost>,
    pub faults: NetFaults,
    pub rng: Rng,
    pub options: LedgerOptions,
    pub messages_sent: u64,
    in_flight: Vec<Envelope>,
    next_maintenance_at: Duration,
}

/// Quota used by the tests of rates.
pub fn rate_key() -> QuotaKey {
    QuotaKey::Organisation("acme".to_owned())
}

/// Quota used by the tests of slots.
pub fn slot_key() -> QuotaKey {
    QuotaKey::Slots("desk-1".to_owned())
}

impl FakeFleet {
    pub fn new(count: usize, term: Duration, seed: u64) -> Self {
        let options = LedgerOptions {
            rates: LoanOptions::with_term(term),
            slots: LoanOptions::with_term(term * 3),
        };
        let mut rng = Rng::with_seed(seed);
        let mut hosts = Vec::new();
        for index in 0..count {
            hosts.push(FakeHost {
                ledgers: QuotaLedgers::new(options.clone(), &host_name(index), 1),
                offset: ms(rng.u64(0..1_000_000)),
                paused_until: Duration::ZERO,
                partitioned: false,
                crashed: false,
                activate_at: Some(Duration::ZERO),
                generation: 0,
                incarnation: 1,
            });
        }
        Self {
            now: ms(1),
            hosts,
            faults: NetFaults {
                loss_percent: 0,
                duplicate_percent: 0,
                delay: (1, 1),
            },
            rng,
            options,
            messages_sent: 0,
            in_flight: Vec::new(),
            next_maintenance_at: Duration::ZERO,
        }
    }

    pub fn local_time(&self, host: usize) -> BootTime {
        self.now + self.hosts[host].offset
    }

    pub fn is_running(&self, host: usize) -> bool {
        let host = &self.hosts[host];
        !host.crashed && host.paused_until <= self.now
    }

    /// Applies the limits of a generation at one host.
    pub fn apply(&mut self, host: usize, generation: Generation, limit: QuotaLimit, slots: u32) {
        let now = self.local_time(host);
        let members = u32::try_from(self.hosts.len()).unwrap();
        let member = u32::try_from(host).unwrap();
        let allocations = [
            BaseAllocation {
                key: rate_key(),
                limit,
                member,
                members,
            },
            BaseAllocation {
                key: slot_key(),
                limit: QuotaLimit {
                    rate: 0,
                    capacity: u64::from(slots) * TOKEN,
                },
                member,
                members,
            },
        ];
        self.hosts[host]
            .ledgers
            .set_base_shares(now, generation, &allocations);
        self.hosts[host].generation = generation;
    }

    pub fn apply_all(&mut self, generation: Generation, limit: QuotaLimit, slots: u32) {
        for host in 0..self.hosts.len() {
            self.apply(host, generation, limit, slots);
        }
    }

    /// Restarts a host as a new incarnation that holds no shares until the old loans have ended.
    pub fn restart(&mut self, host: usize, limit: QuotaLimit, slots: u32, generation: Generation) {
        let wait = self.options.slots.term + self.options.slots.margin * 2;
        let entry = &mut self.hosts[host];
        entry.incarnation += 1;
        entry.ledgers =
            QuotaLedgers::new(self.options.clone(), &host_name(host), entry.incarnation)
                .with_deferred_start();
        entry.activate_at = Some(self.now + wait);
        entry.paused_until = Duration::ZERO;
        entry.crashed = false;
        entry.generation = 0;
        self.apply(host, generation, limit, slots);
    }

    /// Reports the lowest generation in force to each running host, and what a random host has
    /// found settled. Hosts that are cut off get neither.
    pub fn confirm(&mut self) {
        let lowest = self.hosts.iter().map(|host| host.generation).min().unwrap();
        for host in 0..self.hosts.len() {
            if self.hosts[host].partitioned || !self.is_running(host) {
                continue;
            }
            let now = self.local_time(host);
            self.hosts[host].ledgers.confirm_generation(now, lowest);
            let reporter = self.rng.usize(0..self.hosts.len());
            if !self.hosts[reporter].partitioned {
                let settled = self.hosts[reporter].ledgers.settled();
                self.hosts[host].ledgers.merge_settled(now, settled);
            }
        }
    }

    /// Advances the time, delivers the messages that are due, and runs the hosts' periodic work.
    pub fn step(&mut self, elapsed: Duration) {
        self.now += elapsed;
        for host in 0..self.hosts.len() {
            let due = self.hosts[host]
                .activate_at
                .is_some_and(|at| at <= self.now);
            if due && self.is_running(host) {
                let now = self.local_time(host);
                self.hosts[host].ledgers.activate(now);
                self.hosts[host].activate_at = None;
            }
        }
        self.deliver();
        self.confirm();
        let maintenance_due = self.now >= self.next_maintenance_at;
        for host in 0..self.hosts.len() {
            if !self.is_running(host) {
                continue;
            }
            let now = self.local_time(host);
            let peers: Vec<HostId> = (0..self.hosts.len())
                .filter(|peer| *peer != host)
                .map(host_name)
                .collect();
            let mut outgoing = self.hosts[host]
                .ledgers
                .loan_requests(now, &peers, |_, _| true);
            if maintenance_due {
                outgoing.extend(self.hosts[host].ledgers.maintain_loans(now));
            }
            self.send(host, outgoing);
        }
        if maintenance_due {
            self.next_maintenance_at = self.now + ms(100);
        }
    }

    pub fn send(&mut self, from: usize, outgoing: Vec<OutgoingMessage>) {
        for message in outgoing {
            let to = host_index(&message.peer);
            self.messages_sent += 1;
            let copies = 1 + u32::from(self.rng.u32(0..100) < self.faults.duplicate_percent);
            for _ in 0..copies {
                if self.rng.u32(0..100) < self.faults.loss_percent {
                    continue;
                }
                let (low, high) = self.faults.delay;
                let delay = ms(self.rng.u64(low..=high));
                self.in_flight.push(Envelope {
                    deliver_at: self.now + delay,
                    from,
                    to,
                    message: message.message.clone(),
                });
            }
        }
    }

    fn deliver(&mut self) {
        let mut later = Vec::new();
        let mut due = Vec::new();
        for envelope in std::mem::take(&mut self.in_flight) {
            let paused = self.hosts[envelope.to].paused_until > self.now;
            if envelope.deliver_at > self.now || paused {
                later.push(envelope);
            } else {
                due.push(envelope);
            }
        }
        self.in_flight = later;
        for envelope in due {
            let separated =
                self.hosts[envelope.from].partitioned != self.hosts[envelope.to].partitioned;
            if separated || self.hosts[envelope.to].crashed {
                continue;
            }
            let now = self.local_time(envelope.to);
            let peer = host_name(envelope.from);
            let ledgers = &mut self.hosts[envelope.to].ledgers;
            if let Some(response) = ledgers.handle(now, &peer, &envelope.message) {
                self.send(envelope.to, vec![OutgoingMessage::new(&peer, response)]);
            }
        }
    }
}

pub fn host_name(host: usize) -> HostId {
    format!("host-{host}")
}

fn host_index(name: &str) -> usize {
    name.trim_start_matches("host-").parse().unwrap()
}

/// Checks that no time window spends more than its length times the rate, plus the burst. The
/// level of a leaky bucket exceeds the burst exactly when some window does.
#[derive(Clone, Debug)]
pub struct WindowCheck {
    pub limit: QuotaLimit,
    level: u128,
    updated_at: Duration,
}

impl WindowCheck {
    pub fn new(limit: QuotaLimit, now: Duration) -> Self {
        Self {
            limit,
            level: 0,
            updated_at: now,
        }
    }

    pub fn spend(&mut self, now: Duration, tokens: u64) {
        // Levels are in billionths of a micro-token, so that the leak is exact.
        let leaked = u128::from(self.limit.rate) * (now - self.updated_at).as_nanos();
        self.updated_at = now;
        self.level = self.level.saturating_sub(leaked) + u128::from(tokens) * 1_000_000_000;
        let burst = u128::from(self.limit.capacity) * 1_000_000_000;
        assert!(
            self.level <= burst,
            "spending in a time window exceeds the limit by {} micro-tokens",
            (self.level - burst) / 1_000_000_000
        );
    }
}

//! The world of a run: the store's stand-in, targets, hosts, and the traffic policy in force.

use crate::{
    host::{HostPlace, HostProcess},
    ledger::SoakLedger,
    versions::{PublishedVersion, ServicesByPrefix, VersionLedger},
};
use fighall_core::clock::boot_time;
use fighall_gateway::{
    native::{MAIN_POLICY, POLICIES, TARGETS},
    policy::{CallerLimits, OrgPolicy, RoutePolicy, ServicePolicy, SplitPart, TrafficPolicy},
    roster::TargetEntry,
};
use fighall_testkit::{
    behaviour::TargetBehaviour, platform::PlatformStandIn, relay::FaultRelay, target::TargetStandIn,
};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    io::Result,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

/// Host name of all routes.
pub const ROUTE_HOST: &str = "soak.example";
/// Path of idempotent requests.
pub const READ_PATH: &str = "/read/";
/// Path of requests that may run once.
pub const WRITE_PATH: &str = "/write/";
/// Host name of the routes that change from version to version.
pub const PROBE_HOST: &str = "probe.example";
/// Prefixes of these routes, some within others.
pub const PROBE_PATHS: [&str; 4] = ["/a/", "/a/b/", "/a/b/c/", "/d/"];
/// Services of these routes; each has one target of the same name.
const PROBE_SERVICES: [&str; 2] = ["probe-1", "probe-2"];
/// Services that a request on such a route may run at; none if there is no such route.
const PROBE_STATES: [&[&str]; 4] = [
    &[],
    &[PROBE_SERVICES[0]],
    &[PROBE_SERVICES[1]],
    &PROBE_SERVICES,
];
/// Organisation whose keys make a policy large. No caller uses them.
const PADDING: &str = "padding";
/// Service of all other routes.
const SERVICE: &str = "desk";
/// Requests a second of each organisation.
pub const ORG_RATE: f64 = 90.0;
/// Organisations.
pub const ORGANISATIONS: [&str; 3] = ["andes", "brisa", "costa"];
/// Slots of each target.
pub const TARGET_SLOTS: u32 = 8;
/// Time within which a closed target has freed its address.
const CLOSE_TIME: Duration = Duration::from_millis(30);
/// Regions with their availability zones.
const ZONES: [(&str, &str); 4] = [
    ("ra-a", "ra"),
    ("ra-b", "ra"),
    ("rb-a", "rb"),
    ("rb-b", "rb"),
];

/// `SoakTarget` is one target behind its relay.
#[derive(Debug)]
pub struct SoakTarget {
    /// Stand-in.
    pub stand_in: TargetStandIn,
    /// Relay that hosts reach it through.
    pub relay: Rc<FaultRelay>,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
}

/// `SoakWorld` is everything of one run.
#[derive(Debug)]
pub struct SoakWorld {
    /// Store.
    pub store: PlatformStandIn,
    /// Hosts.
    pub hosts: Vec<HostProcess>,
    /// Targets by name, those that have gone included: their records stay.
    pub targets: RefCell<BTreeMap<String, Rc<SoakTarget>>>,
    /// Names of targets that are listed.
    pub listed: RefCell<Vec<String>>,
    // Names of targets that have gone.
    removed: RefCell<BTreeSet<String>>,
    /// Records.
    pub ledger: SoakLedger,
    /// Versions of the policy and their use.
    pub versions: VersionLedger,
    // Targets of the routes that change. No fault disturbs them.
    probe_targets: Vec<SoakTarget>,
    policy: RefCell<TrafficPolicy>,
    numbers: Cell<u64>,
}

impl SoakWorld {
    /// Creates a world with everything listed and the hosts started.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket, a file or a process.
    pub async fn new(
        programs: &[PathBuf],
        folder: &Path,
        hosts: usize,
        targets: usize,
        padding_keys: usize,
    ) -> Result<Rc<Self>> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStandIn::start(loopback, 1).await?;
        let zones = ZONES.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        let mut processes = Vec::new();
        for number in 0..hosts {
            let (zone, region) = zones[number % zones.len()].clone();
            let place = HostPlace {
                name: format!("host-{number}"),
                region,
                zone,
            };
            let mut programs = programs.to_vec();
            let first = number % programs.len().max(1);
            programs.rotate_left(first);
            let host = HostProcess::new(programs, folder, place, &zones, store.address()).await?;
            processes.push(host);
        }
        let mut probe_targets = Vec::new();
        for service in PROBE_SERVICES {
            probe_targets.push(new_target(service, service, ZONES[0].0).await?);
        }
        let world = Rc::new(Self {
            store,
            hosts: processes,
            targets: RefCell::new(BTreeMap::new()),
            listed: RefCell::new(Vec::new()),
            removed: RefCell::new(BTreeSet::new()),
            ledger: SoakLedger::default(),
            versions: VersionLedger::default(),
            probe_targets,
            policy: RefCell::new(first_policy(padding_keys)),
            numbers: Cell::new(0),
        });
        world.publish(|_| {})?;
        for target in &world.probe_targets {
            world.list_target(target.stand_in.name(), target, false)?;
        }
        for _ in 0..targets {
            world.add_target().await?;
        }
        for host in &world.hosts {
            host.start()?;
        }
        Ok(world)
    }

    /// Changes the policy and publishes it under a new version.
    ///
    /// # Errors
    ///
    /// Returns the error of encoding it.
    pub fn publish(&self, change: impl FnOnce(&mut TrafficPolicy)) -> Result<()> {
        let mut policy = self.policy.borrow_mut();
        change(&mut policy);
        policy.version += 1;
        let text = serde_json::to_string(&*policy)?;
        let sent_at = boot_time();
        self.store.put(POLICIES, MAIN_POLICY, &text);
        self.versions.add_version(PublishedVersion {
            version: policy.version,
            sent_at,
            acknowledged_at: boot_time(),
            routes: services_by_prefix(&policy),
        });
        Ok(())
    }

    /// Adds, removes, moves or splits a route.
    ///
    /// # Errors
    ///
    /// Returns the error of encoding the policy.
    pub fn change_route(&self, pick: u64) -> Result<()> {
        let prefix = PROBE_PATHS[usize::try_from(pick % 4).unwrap_or(0)];
        self.publish(|policy| {
            let mut states = PROBE_STATES.to_vec();
            let routes = policy.routes.entry(PROBE_HOST.to_owned()).or_default();
            let current = routes.iter().position(|route| route.prefix == prefix);
            let current = current.map(|index| routes.remove(index));
            let services = current.as_ref().map_or_else(Vec::new, services_of);
            states.retain(|state| services != *state);
            let index = usize::try_from(pick / 4).unwrap_or(0) % states.len();
            if !states[index].is_empty() {
                routes.push(probe_route(prefix, states[index]));
            }
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        })
    }

    /// Gets the keys that callers use.
    pub fn keys(&self) -> BTreeMap<String, String> {
        let mut keys = self.policy.borrow().keys.clone();
        keys.retain(|_, name| name != PADDING);
        keys
    }

    /// Gets a number that was not given before.
    pub fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    /// Starts a target and lists it.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket.
    pub async fn add_target(&self) -> Result<()> {
        let number = self.number();
        let name = format!("target-{number}");
        let zones = u64::try_from(ZONES.len()).unwrap_or(1);
        let zone = ZONES[usize::try_from(number % zones).unwrap_or(0)].0;
        let target = Rc::new(new_target(&name, SERVICE, zone).await?);
        self.list_target(&name, &target, false)?;
        self.targets.borrow_mut().insert(name.clone(), target);
        self.listed.borrow_mut().push(name);
        Ok(())
    }

    /// Starts a target again at its address under a new name, and lists it. The former entry stays listed.
    /// Returns whether the target was running until then.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket.
    pub async fn rename_target(&self, name: &str) -> Result<bool> {
        let former = self.targets.borrow().get(name).cloned();
        let Some(former) = former.filter(|target| !target.stand_in.is_closed()) else {
            return Ok(false);
        };
        former.stand_in.close();
        former.relay.reset();
        compio::time::sleep(CLOSE_TIME).await;
        let name = format!("target-{}", self.number());
        let (address, behaviour) = (former.stand_in.address(), former.stand_in.behaviour());
        let target = Rc::new(SoakTarget {
            stand_in: TargetStandIn::start(&name, address, behaviour).await?,
            relay: Rc::clone(&former.relay),
            zone: former.zone.clone(),
            service: former.service.clone(),
        });
        self.list_target(&name, &target, false)?;
        self.targets.borrow_mut().insert(name.clone(), target);
        self.listed.borrow_mut().push(name);
        Ok(true)
    }

    /// Lists a target, as leaving or not.
    ///
    /// # Errors
    ///
    /// Returns the error of encoding the entry.
    pub fn list_target(&self, name: &str, target: &SoakTarget, leaving: bool) -> Result<()> {
        let entry = TargetEntry {
            name: name.to_owned(),
            service: target.service.clone(),
            address: target.relay.address(),
            zone: target.zone.clone(),
            slots: TARGET_SLOTS,
            leaving,
            warmup_left: Duration::ZERO,
            started_ms: Some(1),
            sequence: self.number(),
        };
        self.store
            .put(TARGETS, name, &serde_json::to_string(&entry)?);
        Ok(())
    }

    /// Takes a listed target out: it says that it leaves, and is unlisted and closed later by
    /// [`SoakWorld::remove_target`].
    ///
    /// # Errors
    ///
    /// Returns the error of encoding the entry.
    pub fn drain_target(&self, name: &str) -> Result<()> {
        let target = self.targets.borrow().get(name).cloned();
        let Some(target) = target else {
            return Ok(());
        };
        self.listed.borrow_mut().retain(|listed| listed != name);
        self.list_target(name, &target, true)?;
        self.ledger.note_drained(name, boot_time());
        Ok(())
    }

    /// Writes the policy and what targets have said of themselves again.
    ///
    /// # Errors
    ///
    /// Returns the error of encoding them.
    pub fn write_again(&self) -> Result<()> {
        let text = serde_json::to_string(&*self.policy.borrow())?;
        self.store.put(POLICIES, MAIN_POLICY, &text);
        let targets = self.targets.borrow().clone();
        for (name, target) in targets {
            if self.removed.borrow().contains(&name) {
                self.store.delete(TARGETS, &name);
                continue;
            }
            let leaving = !self.listed.borrow().contains(&name);
            self.list_target(&name, &target, leaving)?;
        }
        Ok(())
    }

    /// Unlists a target and ends it.
    pub fn remove_target(&self, name: &str) {
        self.removed.borrow_mut().insert(name.to_owned());
        self.listed.borrow_mut().retain(|listed| listed != name);
        self.store.delete(TARGETS, name);
        if let Some(target) = self.targets.borrow().get(name) {
            target.stand_in.close();
        }
    }
}

async fn new_target(name: &str, service: &str, zone: &str) -> Result<SoakTarget> {
    let behaviour = TargetBehaviour {
        slots: TARGET_SLOTS,
        service_us: 8_000,
        sheds: true,
        ..TargetBehaviour::default()
    };
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let stand_in = TargetStandIn::start(name, loopback, behaviour).await?;
    let relay = FaultRelay::start(stand_in.address().to_string()).await?;
    Ok(SoakTarget {
        stand_in,
        relay: Rc::new(relay),
        zone: zone.to_owned(),
        service: service.to_owned(),
    })
}

fn services_of(route: &RoutePolicy) -> Vec<&str> {
    let parts = route.parts.iter();
    parts.map(|part| part.service.as_str()).collect()
}

fn services_by_prefix(policy: &TrafficPolicy) -> ServicesByPrefix {
    let routes = policy.routes.get(PROBE_HOST).into_iter().flatten();
    let services =
        |route: &RoutePolicy| services_of(route).into_iter().map(str::to_owned).collect();
    routes
        .map(|route| (route.prefix.clone(), services(route)))
        .collect()
}

fn probe_route(prefix: &str, services: &[&str]) -> RoutePolicy {
    let mut route = new_route(prefix, true);
    route.parts.clear();
    for service in services {
        route.parts.push(SplitPart {
            service: (*service).to_owned(),
            weight: 1,
        });
    }
    route.anonymous = true;
    route
}

fn new_service(name: &str) -> ServicePolicy {
    ServicePolicy {
        name: name.to_owned(),
        max_connections: 200,
        warmup: Duration::ZERO,
        warmup_rate: 100.0,
    }
}

fn first_policy(padding_keys: usize) -> TrafficPolicy {
    let mut policy = TrafficPolicy {
        limits: CallerLimits::default(),
        ..TrafficPolicy::default()
    };
    for name in ORGANISATIONS {
        policy.keys.insert(format!("fk_{name}_0"), name.to_owned());
        policy.organisations.insert(
            name.to_owned(),
            OrgPolicy {
                name: name.to_owned(),
                priority: 0,
                rate: Some(ORG_RATE),
                burst: ORG_RATE,
                allowed_regions: Vec::new(),
            },
        );
    }
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..padding_keys {
        let key = format!("fk_{:032x}", random.u128(..));
        policy.keys.insert(key, PADDING.to_owned());
    }
    for name in [SERVICE, PROBE_SERVICES[0], PROBE_SERVICES[1]] {
        let service = new_service(name);
        policy.services.insert(name.to_owned(), service);
    }
    let routes = vec![new_route(READ_PATH, true), new_route(WRITE_PATH, false)];
    policy.routes.insert(ROUTE_HOST.to_owned(), routes);
    policy
}

fn new_route(prefix: &str, idempotent: bool) -> RoutePolicy {
    RoutePolicy {
        name: prefix.trim_matches('/').to_owned(),
        prefix: prefix.to_owned(),
        parts: vec![SplitPart {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
        idempotent,
        max_attempts: 2,
        timeout: Duration::from_millis(1_500),
        objective: Duration::from_millis(200),
        priority: u32::from(idempotent),
        anonymous: false,
        affinity: idempotent,
        allowed_regions: Vec::new(),
    }
}

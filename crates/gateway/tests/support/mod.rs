//! A gateway with a simulated store and simulated targets, all in the test process.

#![allow(dead_code)]

pub(crate) mod process;

use fighall_core::{clock::boot_time, log::discarding_logger};
use fighall_gateway::{
    decision::OwnHost,
    native::{self, MAIN_POLICY, POLICIES, TARGETS},
    node::GatewayNode,
    policy::{OrgPolicy, RoutePolicy, ServicePolicy, SplitPart, TrafficPolicy},
    reload::SettingsFile,
    roster::{TargetEntry, TargetRoster},
    router::RequestRouter,
    settings::{GatewayBounds, GatewaySettings},
};
use fighall_testkit::{
    behaviour::TargetBehaviour, loopback::program_addresses, platform::PlatformStandIn,
    target::TargetStandIn,
};
use slog::Logger;
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

/// Key of the only organisation, `andes`.
pub(crate) const KEY: &str = "fk_andes";

/// Bounds with which a host retries from its first request on. One that has just started does so only in proportion
/// to its requests.
pub(crate) const RETRIES_AT_START: &str = "\"retry_ratio=2\"";

/// `TestFleet` is one gateway with a simulated store and simulated targets.
pub(crate) struct TestFleet {
    pub(crate) store: PlatformStandIn,
    pub(crate) targets: Vec<TargetStandIn>,
    pub(crate) gateway: Rc<GatewayNode>,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) directory: SocketAddr,
    version: std::cell::Cell<u64>,
}

/// Creates settings of a gateway with free ports. Returns their text and the parsed settings.
pub(crate) fn settings(host: &str, store: SocketAddr, bounds: &str) -> (String, GatewaySettings) {
    settings_in_zone(host, "lima-a", store, bounds)
}

/// Creates settings of a gateway in an availability zone of the region `lima`.
pub(crate) fn settings_in_zone(
    host: &str,
    zone: &str,
    store: SocketAddr,
    bounds: &str,
) -> (String, GatewaySettings) {
    let [callers, ready, directory, metrics, peers] = program_addresses();
    let text = format!(
        "{{\"host\": \"{host}\", \"region\": \"lima\", \"zone\": \"{zone}\",
          \"zones\": [{{\"zone\": \"lima-a\", \"region\": \"lima\"}},
            {{\"zone\": \"lima-b\", \"region\": \"lima\"}}],
          \"callers\": \"{callers}\", \"ready\": \"{ready}\", \"directory\": \"{directory}\",
          \"metrics\": \"{metrics}\",
          \"peers\": \"{peers}\", \"store\": \"{store}\", \"memory_mb\": 32,
          \"bounds\": [{bounds}],
        }}",
    );
    let settings = GatewaySettings::parse("test.json", &text, native::read_bounds);
    (text, settings.expect("settings without findings"))
}

/// Creates a router without targets or peers.
pub(crate) fn new_router() -> Rc<RefCell<RequestRouter>> {
    let own = OwnHost {
        host: "h1".to_owned(),
        region: "lima".to_owned(),
        zone: "lima-a".to_owned(),
        incarnation: 1,
    };
    let roster = TargetRoster::new(BTreeMap::new());
    let router = RequestRouter::new(boot_time(), own, GatewayBounds::default(), roster);
    Rc::new(RefCell::new(router))
}

/// Creates a policy with one organisation, one service, and an idempotent and a non-idempotent route.
pub(crate) fn policy(version: u64) -> TrafficPolicy {
    let mut policy = TrafficPolicy {
        version,
        ..TrafficPolicy::default()
    };
    policy.keys.insert(KEY.to_owned(), "andes".to_owned());
    let organisation = OrgPolicy {
        name: "andes".to_owned(),
        priority: 0,
        rate: None,
        burst: 0.0,
        allowed_regions: Vec::new(),
    };
    policy
        .organisations
        .insert("andes".to_owned(), organisation);
    let service = ServicePolicy {
        name: "quotes".to_owned(),
        max_connections: 100,
        warmup: Duration::ZERO,
        warmup_rate: 0.0,
    };
    policy.services.insert("quotes".to_owned(), service);
    let routes = [("/read/", true), ("/write/", false)].map(|(prefix, idempotent)| RoutePolicy {
        name: prefix.trim_matches('/').to_owned(),
        prefix: prefix.to_owned(),
        parts: vec![SplitPart {
            service: "quotes".to_owned(),
            weight: 1,
        }],
        idempotent,
        max_attempts: 2,
        timeout: Duration::from_millis(1_000),
        objective: Duration::from_millis(200),
        priority: 0,
        anonymous: false,
        affinity: true,
        allowed_regions: Vec::new(),
    });
    policy.routes = BTreeMap::from([("quotes.example".to_owned(), routes.to_vec())]);
    policy
}

/// Creates an entry of a target with 8 slots in `lima-a`.
pub(crate) fn target_entry(name: &str, address: SocketAddr, leaving: bool) -> TargetEntry {
    TargetEntry {
        name: name.to_owned(),
        service: "quotes".to_owned(),
        address,
        zone: "lima-a".to_owned(),
        slots: 8,
        leaving,
        warmup_left: Duration::ZERO,
        started_ms: None,
        sequence: 0,
    }
}

/// Writes the entry of a target that is not leaving to the store.
pub(crate) fn list_target(store: &PlatformStandIn, name: &str, address: SocketAddr) {
    put_target(store, name, address, false);
}

/// Writes the entry of a target to the store; a `leaving` one gets no new requests.
pub(crate) fn put_target(store: &PlatformStandIn, name: &str, address: SocketAddr, leaving: bool) {
    let entry = target_entry(name, address, leaving);
    let text = serde_json::to_string(&entry).expect("an entry");
    store.put(TARGETS, name, &text);
}

impl TestFleet {
    /// Starts a gateway with `count` targets. It is not ready before a policy is published.
    pub(crate) async fn start(count: usize, bounds: &str) -> Self {
        Self::start_with_logger(count, bounds, discarding_logger()).await
    }

    /// Starts a gateway that logs to `logger`, with `count` targets.
    pub(crate) async fn start_with_logger(count: usize, bounds: &str, logger: Logger) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStandIn::start(loopback, 1).await.expect("a store");
        let mut targets = Vec::new();
        for number in 0..count {
            let name = format!("t{number}");
            let behaviour = TargetBehaviour::default();
            let target = TargetStandIn::start(&name, loopback, behaviour).await;
            let target = target.expect("a target");
            list_target(&store, &name, target.address());
            targets.push(target);
        }
        let (_, settings) = settings("h1", store.address(), bounds);
        let (callers, ready, directory) = (settings.callers, settings.ready, settings.directory);
        Self {
            gateway: start_logging_gateway(settings, logger).await,
            store,
            targets,
            callers,
            ready,
            directory,
            version: std::cell::Cell::new(0),
        }
    }

    /// Publishes the next version of the policy, modified by `change`, and waits until the host is ready.
    pub(crate) async fn publish(&self, change: impl FnOnce(&mut TrafficPolicy)) {
        self.version.set(self.version.get() + 1);
        let mut policy = policy(self.version.get());
        change(&mut policy);
        let text = serde_json::to_string(&policy).expect("a policy");
        self.store.put(POLICIES, MAIN_POLICY, &text);
        for _ in 0..400 {
            if self.gateway.is_ready() {
                break;
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        compio::time::sleep(Duration::from_millis(100)).await;
    }

    /// Returns how often all targets together ran a request.
    pub(crate) fn runs(&self, id: &str) -> u32 {
        let runs = |target: &TargetStandIn| {
            target.with_record(|record| record.runs.get(id).copied().unwrap_or(0))
        };
        self.targets.iter().map(runs).sum()
    }
}

/// The parts of a response that tests check.
pub(crate) struct TestResponse {
    pub(crate) status: u16,
    pub(crate) body: String,
    pub(crate) closes: bool,
    pub(crate) retry_after: bool,
}

/// Sends a `POST` request with a key and an identifier.
pub(crate) async fn send(
    client: &cyper::Client,
    callers: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
) -> Result<TestResponse, String> {
    let request = client
        .post(format!("http://{callers}{path}"))
        .and_then(|request| request.header("host", "quotes.example"))
        .and_then(|request| request.header("fighall-request", id))
        .and_then(|request| request.header("x-mark", id))
        .and_then(|request| request.header("authorization", format!("Bearer {key}")));
    let request = request.map_err(|error| error.to_string())?;
    let response = request.body("content").send().await;
    let response = response.map_err(|error| error.to_string())?;
    let closes = response
        .headers()
        .get("connection")
        .is_some_and(|value| value == "close");
    Ok(TestResponse {
        status: response.status().as_u16(),
        retry_after: response.headers().contains_key("retry-after"),
        closes,
        body: response.text().await.map_err(|error| error.to_string())?,
    })
}

/// Starts a gateway in the test process.
pub(crate) async fn start_gateway(settings: GatewaySettings) -> Rc<GatewayNode> {
    start_logging_gateway(settings, discarding_logger()).await
}

async fn start_logging_gateway(settings: GatewaySettings, logger: Logger) -> Rc<GatewayNode> {
    let file = SettingsFile {
        path: "does-not-exist.json".to_owned(),
        bounds: native::read_bounds,
    };
    let gateway = GatewayNode::start(settings, file, native::dialect(), logger);
    gateway.await.expect("a gateway")
}

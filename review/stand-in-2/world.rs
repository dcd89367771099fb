//! A small deployment: the store, upstreams that register in it, entry hosts, and clients.

use crate::host::Host;
use crate::http::{Message, MessageStream};
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;
use std::io::Result;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Host name of the routes.
pub const HOSTNAME: &str = "ficu95.example";
/// `Timeout` of the routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time until all hosts are ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// `World` is the running deployment. All processes end with it.
pub struct World {
    /// What happened.
    pub record: Arc<Record>,
    /// The store.
    pub store: Arc<Store>,
    /// Upstreams.
    pub targets: Vec<Arc<Target>>,
    /// Entry hosts.
    pub hosts: Vec<Host>,
    store_address: SocketAddr,
    folder: PathBuf,
}

impl World {
    /// Creates a deployment with a configuration and without hosts and upstreams.
    pub fn new(config: &str) -> Self {
        let (store, store_address) = Store::start("127.0.0.1");
        let folder = std::env::temp_dir().join(format!("fighall-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        store.put("config", "main", config);
        Self {
            record: Arc::new(Record::new()),
            store,
            store_address,
            targets: Vec::new(),
            hosts: Vec::new(),
            folder,
        }
    }

    /// Adds an upstream, which registers.
    pub fn add_target(&mut self, id: &str, service: &str, zone: &str) {
        let target = Target::start(id, service, zone, &self.record);
        self.store.put("servers", id, &target.entry());
        self.targets.push(target);
    }

    /// Adds a host and starts it.
    pub fn add_host(&mut self, name: &str, zone: &str, region: &str) {
        let host = Host::new(&self.folder, name, zone, region, self.store_address);
        host.start();
        self.hosts.push(host);
    }

    /// Waits until all hosts are ready. Returns false if they are not in time.
    pub fn wait_until_ready(&self) -> bool {
        let started_at = Instant::now();
        while !self.hosts.iter().all(is_ready) {
            if started_at.elapsed() > START_TIMEOUT {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.add("all hosts are ready");
        true
    }

    /// Writes a configuration. Returns the time of its acknowledgement.
    pub fn configure(&self, config: &str, what: &str) -> Duration {
        self.store.put("config", "main", config);
        self.record.add(&format!("the store acknowledges {what}"))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.hosts.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Tells whether a host answers its readiness check with 200.
pub fn is_ready(host: &Host) -> bool {
    let request = "GET /readyz HTTP/1.1\r\nHost: host\r\n\r\n";
    exchange(host.ready, request.as_bytes(), 1)
        .is_ok_and(|answers| answers.iter().all(|answer| answer.status() == 200))
}

/// Opens a connection, writes bytes at once and reads `count` responses.
pub fn exchange(address: SocketAddr, bytes: &[u8], count: usize) -> Result<Vec<Message>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let mut stream = MessageStream::new(stream);
    stream.write(bytes)?;
    let mut answers = Vec::new();
    for _ in 0..count {
        match stream.read()? {
            Some(answer) => answers.push(answer),
            None => break,
        }
    }
    Ok(answers)
}

/// Builds the head of a client's request without a body.
pub fn get(path: &str, id: &str, key: Option<&str>) -> String {
    let key = key.map(|key| format!("Authorization: Token {key}\r\n"));
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n{}\r\n",
        key.unwrap_or_default()
    )
}

/// Builds the head of a client's request that announces a body.
pub fn post(path: &str, id: &str, key: Option<&str>, length: u64) -> String {
    let head = get(path, id, key);
    let head = head.trim_end().replacen("GET", "POST", 1);
    format!("{head}\r\nContent-Length: {length}\r\n\r\n")
}

/// `Tenant` is a tenant of a configuration with its keys.
pub struct Tenant {
    /// Name.
    pub name: &'static str,
    /// Keys.
    pub keys: &'static [&'static str],
}

/// Builds a configuration with one service, which has a `safe` and an `unsafe` route.
pub fn config(version: u64, tenants: &[Tenant]) -> String {
    let tenants: Vec<_> = tenants
        .iter()
        .map(|tenant| {
            let keys: Vec<_> = tenant.keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!(
                "{{\"Name\":\"{}\",\"ApiKeys\":[{}],\"Priority\":1,\"PerS\":203,\"Burst\":203,\"AllowedRegions\":[]}}",
                tenant.name,
                keys.join(",")
            )
        })
        .collect();
    let rule = |name: &str, kind: &str, prefix: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Type\":\"{kind}\",\"TargetLatency\":\"250ms\",\"Priority\":2,\"Anonymous\":false,\"SessionAffinity\":true,\"Match\":{{\"PathPrefix\":\"{prefix}\"}},\"Action\":{{\"Service\":\"quote-desk\",\"Timeout\":\"800ms\",\"MaxAttempts\":2,\"AllowedRegions\":[]}}}}"
        )
    };
    let rules = [
        rule("r-view", "safe", "/view/"),
        rule("r-book", "unsafe", "/book/"),
    ];
    format!(
        "{{\"ConfigVersion\":{version},\"Limits\":{{\"HeaderBytes\":16384,\"BodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}},\"Tenants\":[{}],\"BaseVersion\":{},\"Listeners\":[{{\"Hostname\":\"{HOSTNAME}\",\"Rules\":[{}]}}],\"Clusters\":[{{\"Name\":\"quote-desk\",\"HealthPath\":\"/healthz\",\"MaxConnections\":330,\"Protocol\":\"h1\",\"Tls\":false,\"Warmup\":\"3s\",\"WarmupPerS\":11.0}}]}}",
        tenants.join(","),
        version.saturating_sub(2),
        rules.join(",")
    )
}

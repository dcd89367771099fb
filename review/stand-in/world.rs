//! A small deployment: store, targets, hosts and callers, with a record of what happened.

use crate::{
    host::{Host, ZONES},
    http::{Connection, Message},
    store::Store,
    target::Target,
};
use std::{
    fs::{self, File},
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

pub const HOST_NAME: &str = "ficu95.example";
pub const SERVICE: &str = "huvo11a";
pub const SAFE_PATH: &str = "/lohu930/2f";
pub const UNSAFE_PATH: &str = "/pufi791/2f";
/// Time that a route allows for a request.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Result of one client attempt.
#[derive(Clone)]
pub struct Attempt {
    pub request: String,
    pub host: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// Whether the connection had carried requests before.
    pub kept: bool,
    /// Status of the response; none if the connection ended or was silent without one.
    pub status: Option<u16>,
    pub cause: String,
}

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        Arc::new(Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path).expect("record")),
        })
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Writes a line to the record, and to standard output.
    pub fn note(&self, text: &str) {
        println!("{}", self.line(Instant::now(), text));
    }

    /// Writes a line to the record.
    pub fn line(&self, at: Instant, text: &str) -> String {
        let line = format!("{:9.3} {text}", self.seconds(at));
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
        line
    }
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub targets: Vec<Arc<Target>>,
    pub hosts: Vec<Host>,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    pub folder: PathBuf,
    stopping: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

pub fn new_request_id() -> String {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::SeqCst);
    format!("{number:016x}")
}

impl World {
    pub fn new(record: &Path) -> Self {
        let folder = std::env::temp_dir().join(format!("fighall-review-{}", process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        let store = Store::start();
        store.write("config", "main", &configuration());
        Self {
            record: Record::create(record),
            store,
            targets: Vec::new(),
            hosts: Vec::new(),
            attempts: Arc::new(Mutex::new(Vec::new())),
            folder,
            stopping: Arc::new(AtomicBool::new(false)),
            callers: Vec::new(),
        }
    }

    /// Starts `count` targets in each zone.
    pub fn start_targets(&mut self, count: usize, work: Duration) {
        for (zone, _) in ZONES {
            for number in 0..count {
                let target = Target::start(&format!("i-{zone}-{number}"), SERVICE, zone, work);
                target.register(&self.store);
                self.targets.push(target);
            }
        }
    }

    /// Adds hosts in the zones and starts them together. `proxied` gets the address at which a host reaches the
    /// store from the store's own.
    pub fn start_hosts(&mut self, zones: &[&str], proxied: impl Fn(SocketAddr) -> SocketAddr) {
        for (number, zone) in zones.iter().enumerate() {
            let name = format!("front-{zone}-{number}");
            let store = proxied(self.store.listen());
            self.hosts.push(Host::new(&self.folder, &name, zone, store));
        }
        for host in &mut self.hosts {
            host.start();
        }
    }

    /// Waits until all hosts are ready. Returns false if that takes longer than 20 s.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if self.hosts.iter().all(Host::is_ready) {
                self.record.note("all hosts are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.note("the hosts do not get ready");
        false
    }

    /// Starts callers that send safe requests to one host each on kept connections, `gap` apart.
    pub fn start_callers(&mut self, callers_per_host: usize, gap: Duration) {
        for (index, host) in self.hosts.iter().enumerate() {
            for number in 0..callers_per_host {
                let address = host.callers;
                let attempts = Arc::clone(&self.attempts);
                let stopping = Arc::clone(&self.stopping);
                let offset = gap.mul_f64(number as f64 / callers_per_host as f64);
                self.callers.push(thread::spawn(move || {
                    thread::sleep(offset);
                    let mut connection = None;
                    while !stopping.load(Ordering::SeqCst) {
                        let attempt = send_safe(&mut connection, address, index);
                        let ended_at = attempt.ended_at;
                        let sent_at = attempt.sent_at;
                        attempts.lock().unwrap().push(attempt);
                        let next = (sent_at + gap).max(ended_at);
                        thread::sleep(next.saturating_duration_since(Instant::now()));
                    }
                }));
            }
        }
    }

    /// Ends the callers and the hosts, and writes what was sent, answered and run to the record.
    pub fn end(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        for caller in self.callers.drain(..) {
            let _ = caller.join();
        }
        for host in &mut self.hosts {
            host.kill();
        }
        let mut events: Vec<(Instant, String)> = Vec::new();
        for attempt in self.attempts.lock().unwrap().iter() {
            let host = &self.hosts[attempt.host].name;
            let kept = if attempt.kept { "kept" } else { "new" };
            let sent = format!("sent {} to {host}, {kept} connection", attempt.request);
            events.push((attempt.sent_at, sent));
            let outcome = match attempt.status {
                Some(status) => format!("answered {} with {status}", attempt.request),
                None => format!("no answer to {}: {}", attempt.request, attempt.cause),
            };
            events.push((attempt.ended_at, outcome));
        }
        for target in &self.targets {
            for run in target.runs() {
                events.push((run.at, format!("ran {} at {}", run.request, target.id)));
            }
        }
        events.sort_by_key(|(at, _)| *at);
        for (at, text) in events {
            self.record.line(at, &text);
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    pub fn count_answers(&self) -> (usize, usize) {
        let attempts = self.attempts.lock().unwrap();
        let served = attempts
            .iter()
            .filter(|attempt| attempt.status == Some(200));
        (served.count(), attempts.len())
    }
}

pub fn safe_request(id: &str) -> Message {
    Message {
        start: format!("GET {SAFE_PATH} HTTP/1.1"),
        headers: vec![
            ("Host".to_owned(), HOST_NAME.to_owned()),
            ("Request-Id".to_owned(), id.to_owned()),
            ("Deadline-Ms".to_owned(), "2000".to_owned()),
        ],
        body: Vec::new(),
    }
}

fn send_safe(connection: &mut Option<Connection>, address: SocketAddr, host: usize) -> Attempt {
    let request = new_request_id();
    let kept = connection.is_some();
    let sent_at = Instant::now();
    let result = match connection.take() {
        Some(open) => Ok(open),
        None => Connection::open(address, ROUTE_TIMEOUT + Duration::from_secs(1)),
    };
    let result = result.and_then(|mut open| {
        let response = open.exchange(&safe_request(&request))?;
        Ok((open, response))
    });
    let mut attempt = Attempt {
        request,
        host,
        sent_at,
        ended_at: Instant::now(),
        kept,
        status: None,
        cause: String::new(),
    };
    match result {
        Ok((open, response)) => {
            attempt.status = Some(response.status());
            if !response.closes() {
                *connection = Some(open);
            }
        }
        Err(error) => attempt.cause = error.to_string(),
    }
    attempt
}

fn configuration() -> String {
    let timeout = ROUTE_TIMEOUT.as_millis();
    format!(
        r#"{{"ConfigVersion":7,"Limits":{{"HeaderBytes":16384,"BodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}},"Tenants":[],"BaseVersion":5,"Listeners":[{{"Hostname":"{HOST_NAME}","Rules":[{{"Name":"r-427eya6","Type":"safe","TargetLatency":"250ms","Priority":2,"Anonymous":true,"SessionAffinity":false,"Match":{{"PathPrefix":"/lohu930/"}},"Action":{{"Service":"{SERVICE}","Timeout":"{timeout}ms","MaxAttempts":2,"AllowedRegions":[]}}}},{{"Name":"r-u6sz9fr","Type":"unsafe","TargetLatency":"400ms","Priority":1,"Anonymous":true,"SessionAffinity":false,"Match":{{"PathPrefix":"/pufi791/"}},"Action":{{"Service":"{SERVICE}","Timeout":"{timeout}ms","MaxAttempts":2,"AllowedRegions":[]}}}}]}}],"Clusters":[{{"Name":"{SERVICE}","HealthPath":"/healthz","MaxConnections":330,"Protocol":"h1","Tls":false,"Warmup":"3s","WarmupPerS":11.0}}]}}"#
    )
}

//! Stand-in of an upstream: runs what names it, echoes the identifier and seals its answers.

use crate::http::{Message, MessageStream, response};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes a second of an endless response: below the `BandwidthMbps` of a machine's link, which is 1,000.
const FLOOD_BYTES_PER_SECOND: f64 = 120e6;
/// Longest time for which an endless response is sent.
const FLOOD_TIME: Duration = Duration::from_secs(8);
/// Names of the header fields of an interim response.
const FLOOD_NAMES: &str = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~";
/// Bytes of one write of an endless response.
const FLOOD_BLOCK_BYTES: usize = 60_000;

/// `Run` is a request that an upstream began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    /// Time since the start of the record.
    pub at: Duration,
    /// Value of `Request-Id`.
    pub id: String,
    /// Method, path and query.
    pub line: String,
}

/// `Target` is the running stand-in.
#[derive(Debug)]
pub struct Target {
    /// Identifier under which it is registered.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address.
    pub address: SocketAddr,
    /// Unix milliseconds of its start.
    pub born: u64,
    /// Requests that it ran.
    pub runs: Mutex<Vec<Run>>,
    work_ms: AtomicU64,
    is_faulty: AtomicBool,
    record: Arc<Record>,
}

impl Target {
    /// Starts an upstream at a free port.
    pub fn start(id: &str, service: &str, zone: &str, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let target = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            born: crate::record::wall_ms(),
            runs: Mutex::new(Vec::new()),
            work_ms: AtomicU64::new(20),
            is_faulty: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&target);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = Arc::clone(&serving);
                thread::spawn(move || target.serve(stream));
            }
        });
        target
    }

    /// Sets how long a request runs.
    pub fn set_work(&self, work: Duration) {
        self.work_ms
            .store(work.as_millis() as u64, Ordering::Relaxed);
    }

    /// Makes the upstream answer its next request with bytes that are no answer, until the caller closes.
    pub fn flood_once(&self) {
        self.is_faulty.store(true, Ordering::Relaxed);
    }

    /// Gets the entry in the store.
    pub fn entry(&self) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"ConfigVersion\":\"v1\",\"Capacity\":8,\"State\":\"ready\",\"WarmupLeft\":\"0ms\",\"Sequence\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = MessageStream::new(stream);
        while let Ok(Some(request)) = stream.read() {
            let answer = self.answer(&request);
            if request.field("request-id").is_some()
                && self.is_faulty.swap(false, Ordering::Relaxed)
            {
                return self.flood(&mut stream);
            }
            if stream.write(&answer).is_err() {
                return;
            }
        }
    }

    // Sends interim responses without end.
    fn flood(&self, stream: &mut MessageStream) {
        let fields: String = FLOOD_NAMES
            .chars()
            .map(|name| format!("{name}:\r\n"))
            .collect();
        let interim = format!("HTTP/1.1 103 Early Hints\r\n{fields}\r\n");
        let block = interim.repeat(FLOOD_BLOCK_BYTES / interim.len());
        self.record.add(&format!(
            "{} answers with interim responses without end",
            self.id
        ));
        let started_at = Instant::now();
        let mut sent = 0.0;
        while started_at.elapsed() < FLOOD_TIME {
            if sent > started_at.elapsed().as_secs_f64() * FLOOD_BYTES_PER_SECOND {
                thread::sleep(Duration::from_millis(1));
                continue;
            }
            if stream.write(block.as_bytes()).is_err() {
                break;
            }
            sent += block.len() as f64;
        }
        let (megabytes, seconds) = (sent / 1e6, started_at.elapsed().as_secs_f64());
        self.record.add(&format!(
            "{}: the connection has ended after {megabytes:.0} MB in {seconds:.1} s",
            self.id
        ));
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        if request.word(1) == "/healthz" {
            return response("200 OK", &[("Instance-Id", &self.id)], b"");
        }
        let id = request.field("request-id").unwrap_or("").to_owned();
        if request.field("target-instance") != Some(&self.id) {
            let fields = [
                ("Instance-Id", self.id.as_str()),
                ("Not-Executed", "1"),
                ("Request-Id", &id),
            ];
            return response("421 Misdirected Request", &fields, b"");
        }
        let line = format!("{} {}", request.word(0), request.word(1));
        let tenant = request.field("tenant").unwrap_or("none");
        let at = self.record.add(&format!(
            "{} runs {line}, id {id}, tenant {tenant}",
            self.id
        ));
        let run = Run {
            at,
            id: id.clone(),
            line: line.clone(),
        };
        self.runs.lock().unwrap().push(run);
        thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::Relaxed)));
        let seal = format!("seal.{}", self.id);
        let fields = [
            ("Request-Id", id.as_str()),
            ("Server-Seal", seal.as_str()),
            ("Server-Load", "0,0,8"),
        ];
        response("200 OK", &fields, format!("{line} for {id}").as_bytes())
    }
}

//! Stand-in of an upstream: runs each request for a fixed time and records what reached it.

use crate::{
    http::{Message, read_message, write_message},
    store::Store,
};
use std::{
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, UNIX_EPOCH},
};

/// A request that a target began to work on.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub request: String,
}

pub struct Target {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    work: Duration,
    // Unix millisecond of its start.
    born: u128,
    runs: Mutex<Vec<Run>>,
}

impl Target {
    pub fn start(id: &str, service: &str, zone: &str, work: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("target address");
        let target = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("target address"),
            work,
            born: UNIX_EPOCH.elapsed().unwrap_or_default().as_millis(),
            runs: Mutex::new(Vec::new()),
        });
        let server = Arc::clone(&target);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        target
    }

    /// Registers the target in the store.
    pub fn register(&self, store: &Store) {
        self.write_entry(store, "ready", 1);
    }

    /// Reports `draining` before a planned stop.
    pub fn report_draining(&self, store: &Store) {
        self.write_entry(store, "draining", 2);
    }

    fn write_entry(&self, store: &Store, state: &str, sequence: u32) {
        let spec = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"ConfigVersion\":\"v1\",\"Capacity\":64,\"State\":\"{state}\",\"WarmupLeft\":\"0ms\",\"Sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        store.write("servers", &self.id, &spec);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(read_half);
        let mut writer = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let response = self.answer(&request);
            if write_message(&mut writer, &response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Message {
        let Some(id) = request.header("request-id") else {
            return refusal("400 Bad Request");
        };
        if request
            .header("target-instance")
            .is_some_and(|wanted| wanted != self.id)
        {
            return refusal("421 Misdirected Request");
        }
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            request: id.to_owned(),
        });
        thread::sleep(self.work);
        Message {
            start: "HTTP/1.1 200 OK".to_owned(),
            headers: vec![
                ("Request-Id".to_owned(), id.to_owned()),
                ("Server-Seal".to_owned(), format!("seal.{}", self.id)),
            ],
            body: format!("{id} by {}\n", self.id).into_bytes(),
        }
    }
}

fn refusal(status: &str) -> Message {
    Message {
        start: format!("HTTP/1.1 {status}"),
        headers: vec![("Not-Executed".to_owned(), "1".to_owned())],
        body: Vec::new(),
    }
}

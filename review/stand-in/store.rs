//! Stand-in of the platform's metadata store: objects by kind and name, with revisions, history and watches.

use crate::{
    http::{Message, read_message, write_message},
    json,
};
use std::{
    collections::{BTreeMap, VecDeque},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

const HISTORY: Duration = Duration::from_secs(20);
/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    rev: u64,
    create_rev: u64,
    spec: String,
}

struct Event {
    at: Instant,
    rev: u64,
    kind: String,
    text: String,
}

struct State {
    rev: u64,
    // Latest revision whose event is gone.
    forgotten: u64,
    objects: BTreeMap<(String, String), Object>,
    events: VecDeque<Event>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let state = State {
            rev: 500,
            forgotten: 500,
            objects: BTreeMap::new(),
            events: VecDeque::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        })
    }

    /// Opens an address of the store.
    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store address");
        let address = listener.local_addr().expect("store address");
        let server = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        address
    }

    /// Writes an object as the operator or a target does. Returns once the write is acknowledged.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(kind, name, spec);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes an object as the platform does.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        state.delete(kind, name);
        drop(state);
        self.changed.notify_all();
    }

    /// Discards the history up to now. Watches in progress go on.
    pub fn discard_history(&self) {
        let mut state = self.state.lock().unwrap();
        state.forgotten = state.rev;
        state.events.clear();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(read_half);
        let mut writer = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let response = Message {
                start: format!("HTTP/1.1 {status} X"),
                headers: vec![("Content-Type".into(), "application/json".into())],
                body: body.into_bytes(),
            };
            if write_message(&mut writer, &response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = match request.word(1).split_once('?') {
            Some((path, query)) => (path, query),
            None => (request.word(1), ""),
        };
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().unwrap_or("").to_owned();
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == wanted)
                .map(|(_, value)| value)
        };
        if request.word(0) == "GET" && name.is_empty() {
            return match parameter("Watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = parameter("WaitMs").and_then(|text| text.parse().ok());
                    self.watch(&kind, after, wait.unwrap_or(0))
                }
                None => self.list(&kind),
            };
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = json::field(&body, "Metadata").unwrap_or("{}");
        let name = if name.is_empty() {
            json::text(metadata, "Name").unwrap_or("").to_owned()
        } else {
            name
        };
        let wanted = json::text(metadata, "Rev").or(parameter("Rev"));
        let wanted: Option<u64> = wanted.and_then(|text| text.parse().ok());
        let spec = json::field(&body, "Spec").unwrap_or("null");
        let mut state = self.state.lock().unwrap();
        let current = state.objects.get(&(kind.clone(), name.clone())).cloned();
        let result = match (request.word(0), current) {
            ("GET", Some(object)) => (200, render(&name, &object)),
            ("POST", None) => (200, state.put(&kind, &name, spec)),
            ("POST", Some(object)) => (409, render(&name, &object)),
            (_, None) => (404, "{}".to_owned()),
            (_, Some(object)) if wanted.is_some_and(|wanted| wanted != object.rev) => {
                (409, render(&name, &object))
            }
            ("PUT", Some(_)) => (200, state.put(&kind, &name, spec)),
            ("DELETE", Some(object)) => {
                state.delete(&kind, &name);
                (200, render(&name, &object))
            }
            _ => (400, "{}".to_owned()),
        };
        drop(state);
        self.changed.notify_all();
        result
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let mut items = Vec::new();
        for ((object_kind, name), object) in &state.objects {
            if object_kind == kind {
                items.push(render(name, object));
            }
        }
        let items = items.join(",");
        let rev = state.rev;
        (
            200,
            format!("{{\"items\":[{items}],\"HasMore\":false,\"CurrentRev\":{rev}}}"),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            state.forget_old();
            if after < state.forgotten {
                return (410, "{}".to_owned());
            }
            let mut events = Vec::new();
            for event in &state.events {
                if event.rev > after && event.kind == kind {
                    events.push(event.text.clone());
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let rev = state.rev;
                let body = format!("{{\"events\":[{events}],\"CurrentRev\":{rev}}}");
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let create_rev = self.objects.get(&key).map(|object| object.create_rev);
        if let Some(object) = self.objects.get(&key).filter(|object| object.spec == spec) {
            return render(name, object);
        }
        self.rev += 1;
        let object = Object {
            rev: self.rev,
            create_rev: create_rev.unwrap_or(self.rev),
            spec: spec.to_owned(),
        };
        let text = render(name, &object);
        self.record(kind, format!("{{\"Deleted\":false,\"Object\":{text}}}"));
        self.objects.insert(key, object);
        text
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.rev += 1;
        object.rev = self.rev;
        let text = render(name, &object);
        self.record(kind, format!("{{\"Deleted\":true,\"Object\":{text}}}"));
    }

    fn record(&mut self, kind: &str, text: String) {
        self.events.push_back(Event {
            at: Instant::now(),
            rev: self.rev,
            kind: kind.to_owned(),
            text,
        });
    }

    fn forget_old(&mut self) {
        while let Some(event) = self
            .events
            .front()
            .filter(|event| event.at.elapsed() > HISTORY)
        {
            self.forgotten = event.rev;
            self.events.pop_front();
        }
    }
}

fn render(name: &str, object: &Object) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Rev\":{},\"CreateRev\":{},\"Finalizers\":[],\"Deleting\":false}},\"Spec\":{},\"Status\":null}}",
        object.rev, object.create_rev, object.spec
    )
}

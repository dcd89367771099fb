//! Stand-in of the platform's metadata store: objects by kind and name, conditional writes, watches, and the drill in
//! which it comes back from an older copy.

use crate::http::{Message, MessageStream, response};
use crate::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Object {
    name: String,
    rev: u64,
    create_rev: u64,
    spec: String,
}

#[derive(Clone, Debug)]
struct Event {
    rev: u64,
    kind: String,
    object: String,
    deleted: bool,
}

/// `StoreCopy` is the content of the store at one moment.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    rev: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

#[derive(Debug)]
struct State {
    content: StoreCopy,
    era: u64,
    away: bool,
}

/// `Store` is the running stand-in.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Object {
    fn json(&self) -> String {
        format!(
            "{{\"Metadata\":{{\"Name\":{},\"Rev\":{},\"CreateRev\":{},\"Finalizers\":[],\"Deleting\":false}},\"Spec\":{},\"Status\":null}}",
            json::quote(&self.name),
            self.rev,
            self.create_rev,
            self.spec
        )
    }
}

impl StoreCopy {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        if let Some(known) = objects.get(name).filter(|known| known.spec == spec) {
            return known.clone();
        }
        self.rev += 1;
        let create_rev = objects.get(name).map_or(self.rev, |known| known.create_rev);
        let object = Object {
            name: name.to_owned(),
            rev: self.rev,
            create_rev,
            spec: spec.to_owned(),
        };
        objects.insert(name.to_owned(), object.clone());
        self.log(kind, &object, false);
        object
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<Object> {
        let mut object = self.kinds.get_mut(kind)?.remove(name)?;
        self.rev += 1;
        object.rev = self.rev;
        self.log(kind, &object, true);
        Some(object)
    }

    fn log(&mut self, kind: &str, object: &Object, deleted: bool) {
        self.events.push(Event {
            rev: object.rev,
            kind: kind.to_owned(),
            object: object.json(),
            deleted,
        });
    }

    fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.kinds.get(kind)?.get(name)
    }
}

impl Store {
    /// Starts an empty store at a free port of `address`.
    pub fn start(address: &str) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind((address, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = State {
            content: StoreCopy::default(),
            era: 1,
            away: false,
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes an object as the operator or an upstream does. The return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().content.put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Copies the content.
    pub fn copy(&self) -> StoreCopy {
        self.state.lock().unwrap().content.clone()
    }

    /// Goes away: connections are closed without a response until [`Store::come_back`].
    pub fn go_away(&self) {
        self.state.lock().unwrap().away = true;
        self.changed.notify_all();
    }

    /// Comes back from a copy, in a new era.
    pub fn come_back(&self, copy: StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.content = copy;
        state.era += 1;
        state.away = false;
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = MessageStream::new(stream);
        while let Ok(Some(request)) = stream.read() {
            let Some(answer) = self.answer(&request) else {
                return;
            };
            if stream.write(&answer).is_err() {
                return;
            }
        }
    }

    // Gets the response to a call; none if the connection is closed instead.
    fn answer(&self, request: &Message) -> Option<Vec<u8>> {
        if self.state.lock().unwrap().away {
            return None;
        }
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let kind = decode(parts.next().unwrap_or(""));
        let name = decode(parts.next().unwrap_or(""));
        if request.word(0) == "GET" && name.is_empty() {
            return match number(query, "Watch") {
                Some(after) => self.watch(&kind, after, number(query, "WaitMs").unwrap_or(0)),
                None => Some(self.list(&kind)),
            };
        }
        let mut state = self.state.lock().unwrap();
        let body = request.text();
        let metadata = json::member(&body, "Metadata").unwrap_or("{}");
        let rev = json::member(metadata, "Rev").and_then(|rev| rev.parse().ok());
        let rev = rev.or(number(query, "Rev"));
        let spec = json::member(&body, "Spec").unwrap_or("null");
        let content = &mut state.content;
        let (status, object) = match request.word(0) {
            "GET" => match content.get(&kind, &name) {
                Some(object) => ("200 OK", object.json()),
                None => ("404 Not Found", "{}".to_owned()),
            },
            "POST" => {
                let name = json::member(metadata, "Name")
                    .and_then(json::text)
                    .unwrap_or("")
                    .to_owned();
                match content.get(&kind, &name) {
                    Some(object) => ("409 Conflict", object.json()),
                    None => ("200 OK", content.put(&kind, &name, spec).json()),
                }
            }
            method => match content.get(&kind, &name) {
                None => ("404 Not Found", "{}".to_owned()),
                Some(object) if rev.is_some_and(|rev| rev != object.rev) => {
                    ("409 Conflict", object.json())
                }
                Some(_) if method == "PUT" => ("200 OK", content.put(&kind, &name, spec).json()),
                Some(_) => match content.delete(&kind, &name) {
                    Some(object) => ("200 OK", object.json()),
                    None => ("404 Not Found", "{}".to_owned()),
                },
            },
        };
        let answer = with_era(status, state.era, &object);
        drop(state);
        self.changed.notify_all();
        Some(answer)
    }

    fn list(&self, kind: &str) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let objects = state.content.kinds.get(kind);
        let items: Vec<_> = objects
            .into_iter()
            .flatten()
            .map(|(_, object)| object.json())
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"HasMore\":false,\"CurrentRev\":{}}}",
            items.join(","),
            state.content.rev
        );
        with_era("200 OK", state.era, &body)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Option<Vec<u8>> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.away || state.era != era {
                return None;
            }
            if after > state.content.rev {
                return Some(with_era("410 Gone", state.era, "{}"));
            }
            let events = state.content.events.iter();
            let events = events.filter(|event| event.kind == kind && event.rev > after);
            let events: Vec<_> = events
                .map(|event| {
                    format!(
                        "{{\"Deleted\":{},\"Object\":{}}}",
                        event.deleted, event.object
                    )
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"CurrentRev\":{}}}",
                    events.join(","),
                    state.content.rev
                );
                return Some(with_era("200 OK", state.era, &body));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn with_era(status: &str, era: u64, body: &str) -> Vec<u8> {
    let era = era.to_string();
    let fields = [
        ("Content-Type", "application/json"),
        ("Store-Era", era.as_str()),
    ];
    response(status, &fields, body.as_bytes())
}

fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name)?.1.parse().ok()
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

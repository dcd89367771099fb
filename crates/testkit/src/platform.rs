//! Stand-in of the platform's object store: versions, conditional updates and watches.

use crate::{
    faults::StoreFaults,
    server::{BrokenExchange, StandInBody, StandInServer},
};
use bytes::Bytes;
use event_listener::Event;
use fighall_core::ids::Version;
use fighall_store::{
    era::StoreEra,
    mapping::ERA_HEADER,
    object::{ChangeBatch, ObjectChange, ObjectList, StoreObject, VALUE_LIMIT, WriteResponse},
};
use futures_util::{FutureExt, pin_mut, select_biased};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Changes of a kind that watches can still be answered from.
const LOG_LIMIT: usize = 10_000;
/// Path at which the faults are set.
pub const FAULTS_PATH: &str = "/.stand-in/faults";

#[derive(Debug, Default, Clone)]
struct KindState {
    objects: BTreeMap<String, StoreObject>,
    log: Vec<ObjectChange>,
    compacted: Version,
    // The first value of each object, for stale reads.
    oldest: BTreeMap<String, StoreObject>,
}

#[derive(Debug)]
struct StoreState {
    kinds: RefCell<BTreeMap<String, KindState>>,
    version: Cell<Version>,
    era: Cell<StoreEra>,
    faults: RefCell<StoreFaults>,
    calls: Cell<u64>,
    rng: RefCell<fastrand::Rng>,
    changed: Event,
}

/// `PlatformStandIn` is the store's stand-in, in this process.
#[derive(Debug)]
pub struct PlatformStandIn {
    server: StandInServer,
    state: Rc<StoreState>,
}

/// `StoreCopy` is the store's state at one moment.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    kinds: BTreeMap<String, KindState>,
    version: Version,
}

enum WriteCondition {
    Absent,
    Version(Version),
}

impl PlatformStandIn {
    /// Starts an empty store; `seed` picks which answers are lost.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let state = Rc::new(StoreState {
            kinds: RefCell::new(BTreeMap::new()),
            version: Cell::new(0),
            era: Cell::new(0),
            faults: RefCell::new(StoreFaults::default()),
            calls: Cell::new(0),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            changed: Event::new(),
        });
        let shared = Rc::clone(&state);
        let server = StandInServer::start(address, move |request, _| {
            let state = Rc::clone(&shared);
            async move {
                let mut response = state.serve(request).await?;
                let era = HeaderValue::from(state.era.get());
                response.headers_mut().insert(ERA_HEADER, era);
                Ok(response)
            }
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Gets the store's address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.state.faults.borrow_mut() = faults;
    }

    /// Gets the number of calls so far, a waiting watch as one.
    pub fn calls(&self) -> u64 {
        self.state.calls.get()
    }

    /// Writes an object past all faults, as the platform itself does for its list of hosts.
    pub fn put(&self, kind: &str, name: &str, value: &str) {
        self.state.write(kind, name, Some(value.to_owned()));
    }

    /// Deletes an object past all faults.
    pub fn delete(&self, kind: &str, name: &str) {
        self.state.write(kind, name, None);
    }

    /// Deletes an object and discards the history of its kind, so that only a list shows that it is gone.
    pub fn delete_with_history(&self, kind: &str, name: &str) {
        self.state.delete_with_history(kind, name);
    }

    /// Reads an object past all faults.
    pub fn get(&self, kind: &str, name: &str) -> Option<StoreObject> {
        let kinds = self.state.kinds.borrow();
        kinds.get(kind)?.objects.get(name).cloned()
    }

    /// Copies the store's state.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            kinds: self.state.kinds.borrow().clone(),
            version: self.state.version.get(),
        }
    }

    /// Goes back to a copy and starts a new era: what was written since is gone, and its versions are
    /// given out again. Watches that wait are cut.
    pub fn restore(&self, copy: StoreCopy) {
        *self.state.kinds.borrow_mut() = copy.kinds;
        self.state.version.set(copy.version);
        self.state.era.set(self.state.era.get() + 1);
        self.state.changed.notify(usize::MAX);
    }

    /// Gets the number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        let kinds = self.state.kinds.borrow();
        kinds.get(kind).map_or(0, |state| state.objects.len())
    }
}

type StandInResult = Result<Response<StandInBody>, BrokenExchange>;

impl StoreState {
    async fn serve(&self, request: Request<Incoming>) -> StandInResult {
        let path = request.uri().path().to_owned();
        if path == FAULTS_PATH {
            return self.take_faults(request).await;
        }
        self.calls.set(self.calls.get() + 1);
        let faults = self.faults.borrow().clone();
        if faults.down {
            return Err(BrokenExchange);
        }
        if faults.delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let Some(rest) = path.strip_prefix("/v1/") else {
            return Ok(empty(StatusCode::NOT_FOUND));
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let Ok(name) = percent_decode_str(name).decode_utf8() else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        match (request.method().clone(), name.is_empty()) {
            (Method::GET, true) => self.list_or_watch(kind, &request, &faults).await,
            (Method::GET, false) => Ok(self.read(kind, &name, &faults)),
            (Method::PUT, false) => {
                let answer = self.put(kind, &name, request).await?;
                self.answer_write(answer, &faults)
            }
            (Method::DELETE, false) => {
                let answer = self.delete(kind, &name, &request);
                self.answer_write(answer, &faults)
            }
            _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn take_faults(&self, request: Request<Incoming>) -> StandInResult {
        let body = request.into_body().collect().await;
        let bytes = body.map_err(|_| BrokenExchange)?.to_bytes();
        match serde_json::from_slice(&bytes) {
            Ok(faults) => {
                *self.faults.borrow_mut() = faults;
                Ok(empty(StatusCode::NO_CONTENT))
            }
            Err(_) => Ok(empty(StatusCode::BAD_REQUEST)),
        }
    }

    fn read(&self, kind: &str, name: &str, faults: &StoreFaults) -> Response<StandInBody> {
        let kinds = self.kinds.borrow();
        let Some(state) = kinds.get(kind) else {
            return empty(StatusCode::NOT_FOUND);
        };
        let objects = if faults.stale_reads {
            &state.oldest
        } else {
            &state.objects
        };
        match objects.get(name) {
            Some(object) => json(object),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn list_or_watch(
        &self,
        kind: &str,
        request: &Request<Incoming>,
        faults: &StoreFaults,
    ) -> StandInResult {
        let query = request.uri().query().unwrap_or("");
        let Some(after) = number(query, "after") else {
            return Ok(json(&self.list(kind, faults)));
        };
        if faults.silent_watches {
            std::future::pending::<()>().await;
        }
        let wait = Duration::from_millis(number(query, "wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let era = self.era.get();
        loop {
            let listener = self.changed.listen();
            if self.faults.borrow().down || self.era.get() != era {
                return Err(BrokenExchange);
            }
            if self.faults.borrow().silent_watches {
                std::future::pending::<()>().await;
            }
            let batch = self.batch(kind, after);
            let left = until.saturating_duration_since(Instant::now());
            if !batch.changes.is_empty() || batch.compacted || left.is_zero() {
                return Ok(json(&batch));
            }
            let changed = listener.fuse();
            // Faults that begin meanwhile are noticed within this time.
            let elapsed = compio::time::sleep(left.min(Duration::from_millis(100))).fuse();
            pin_mut!(changed, elapsed);
            select_biased! {
                () = changed => {}
                () = elapsed => {}
            }
        }
    }

    fn list(&self, kind: &str, faults: &StoreFaults) -> ObjectList {
        let kinds = self.kinds.borrow();
        let Some(state) = kinds.get(kind) else {
            return ObjectList {
                version: self.version.get(),
                ..ObjectList::default()
            };
        };
        if faults.stale_reads {
            let objects: Vec<_> = state.oldest.values().cloned().collect();
            let version = objects.iter().map(|object| object.version).max();
            return ObjectList {
                version: version.unwrap_or(0),
                objects,
                ..ObjectList::default()
            };
        }
        ObjectList {
            version: self.version.get(),
            objects: state.objects.values().cloned().collect(),
            ..ObjectList::default()
        }
    }

    fn batch(&self, kind: &str, after: Version) -> ChangeBatch {
        let kinds = self.kinds.borrow();
        let Some(state) = kinds.get(kind) else {
            return ChangeBatch {
                version: self.version.get(),
                ..ChangeBatch::default()
            };
        };
        let newer = state.log.iter().filter(|change| change.version > after);
        ChangeBatch {
            version: self.version.get(),
            // A version that the store does not have is of another era.
            compacted: after < state.compacted || after > self.version.get(),
            changes: newer.cloned().collect(),
            ..ChangeBatch::default()
        }
    }

    async fn put(&self, kind: &str, name: &str, request: Request<Incoming>) -> StandInResult {
        let condition = condition(&request);
        let body = request.into_body().collect().await;
        let bytes = body.map_err(|_| BrokenExchange)?.to_bytes();
        if bytes.len() > VALUE_LIMIT {
            return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let Ok(value) = String::from_utf8(bytes.to_vec()) else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        if !self.holds(kind, name, condition.as_ref()) {
            return Ok(empty(StatusCode::PRECONDITION_FAILED));
        }
        let version = self.write(kind, name, Some(value));
        Ok(json(&WriteResponse { version }))
    }

    fn delete(&self, kind: &str, name: &str, request: &Request<Incoming>) -> Response<StandInBody> {
        let condition = condition(request);
        let known = {
            let kinds = self.kinds.borrow();
            let state = kinds.get(kind);
            state.is_some_and(|state| state.objects.contains_key(name))
        };
        if !known {
            return empty(StatusCode::NOT_FOUND);
        }
        if !self.holds(kind, name, condition.as_ref()) {
            return empty(StatusCode::PRECONDITION_FAILED);
        }
        let version = self.write(kind, name, None);
        json(&WriteResponse { version })
    }

    fn holds(&self, kind: &str, name: &str, condition: Option<&WriteCondition>) -> bool {
        let kinds = self.kinds.borrow();
        let current = kinds.get(kind).and_then(|state| state.objects.get(name));
        match condition {
            None => true,
            Some(WriteCondition::Absent) => current.is_none(),
            Some(WriteCondition::Version(version)) => {
                current.is_some_and(|object| object.version == *version)
            }
        }
    }

    fn answer_write(&self, answer: Response<StandInBody>, faults: &StoreFaults) -> StandInResult {
        let lost = self.rng.borrow_mut().u32(0..100) < faults.lost_answer_percent;
        if lost {
            return Err(BrokenExchange);
        }
        Ok(answer)
    }

    fn delete_with_history(&self, kind: &str, name: &str) {
        let version = self.version.get() + 1;
        self.version.set(version);
        if let Some(state) = self.kinds.borrow_mut().get_mut(kind) {
            state.objects.remove(name);
            state.log.clear();
            state.compacted = version;
        }
        self.changed.notify(usize::MAX);
    }

    fn write(&self, kind: &str, name: &str, value: Option<String>) -> Version {
        let version = self.version.get() + 1;
        self.version.set(version);
        let mut kinds = self.kinds.borrow_mut();
        let state = kinds.entry(kind.to_owned()).or_default();
        match &value {
            Some(value) => {
                let object = StoreObject {
                    name: name.to_owned(),
                    version,
                    value: value.clone(),
                };
                let oldest = state.oldest.entry(name.to_owned());
                oldest.or_insert_with(|| object.clone());
                state.objects.insert(name.to_owned(), object);
            }
            None => {
                state.objects.remove(name);
            }
        }
        state.log.push(ObjectChange {
            name: name.to_owned(),
            version,
            value,
        });
        if state.log.len() > LOG_LIMIT {
            let dropped: Vec<_> = state.log.drain(..LOG_LIMIT / 2).collect();
            state.compacted = dropped.last().map_or(0, |change| change.version);
        }
        drop(kinds);
        self.changed.notify(usize::MAX);
        version
    }
}

fn condition(request: &Request<Incoming>) -> Option<WriteCondition> {
    let headers = request.headers();
    if headers.contains_key("if-none-match") {
        return Some(WriteCondition::Absent);
    }
    let version = headers.get("if-match")?.to_str().ok()?.parse().ok()?;
    Some(WriteCondition::Version(version))
}

fn number(query: &str, name: &str) -> Option<u64> {
    for pair in query.split('&') {
        let (key, value) = pair.split_once('=')?;
        if key == name {
            return value.parse().ok();
        }
    }
    None
}

fn empty(status: StatusCode) -> Response<StandInBody> {
    let mut response = Response::new(StandInBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn json<T: Serialize>(value: &T) -> Response<StandInBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    Response::new(StandInBody::whole(Bytes::from(text)))
}

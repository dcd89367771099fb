//! Stand-in of a target.

use crate::{
    behaviour::TargetBehaviour,
    record::TargetRecord,
    server::{BrokenExchange, CopyMoment, StandInBody, StandInServer},
};
use bytes::Bytes;
use event_listener::Event;
use fighall_core::{clock::boot_time, ids::BootTime, message};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Header by which tests mark a request.
pub const MARK_HEADER: &str = "x-mark";
/// Header by which tests ask for an answer of a size, in bytes.
pub const SIZE_HEADER: &str = "x-size";
/// Header by which tests ask for a service time, in microseconds.
pub const WORK_HEADER: &str = "x-work-us";
/// Path at which the behaviour is set.
pub const BEHAVIOUR_PATH: &str = "/.stand-in/behaviour";
/// Path at which the record is read.
pub const RECORD_PATH: &str = "/.stand-in/record";
/// Header that names the target that may run a request, and in answers the one that did.
const TARGET_HEADER: &str = "fighall-target";
/// Header that identifies a request, echoed in its answer.
const REQUEST_HEADER: &str = "fighall-request";
/// Header that tells running and waiting requests.
const LOAD_HEADER: &str = "fighall-load";
/// Header that names the rate limit of the target.
const LIMIT_HEADER: &str = "fighall-limit";
/// Header by which a target announces that it is leaving.
const LEAVING_HEADER: &str = "fighall-leaving";
/// Start of all keys.
const KEY_PREFIX: &str = "fk_";
/// Longest delay of the copy of a refusal, in milliseconds.
const MAX_COPY_DELAY_MS: u64 = 50;
/// Starts kept for each organisation.
const STARTS_LIMIT: usize = 200_000;

message! {
    /// `TargetAnswer` is the body of a target's answer.
    pub struct TargetAnswer {
        /// Target.
        pub target: String,
        /// Request.
        pub request: String,
        /// Organisation.
        pub organisation: String,
        /// Padding up to the size asked for.
        pub padding: String,
    }
}

struct LoadSample {
    at: Duration,
    in_flight: u32,
}

struct TargetState {
    name: String,
    behaviour: RefCell<TargetBehaviour>,
    record: RefCell<TargetRecord>,
    samples: RefCell<VecDeque<LoadSample>>,
    rng: RefCell<fastrand::Rng>,
    // Time of the latest request on each connection.
    used: RefCell<BTreeMap<u64, BootTime>>,
    freed: Event,
}

/// `TargetStandIn` is a target's stand-in, in this process.
pub struct TargetStandIn {
    server: StandInServer,
    state: Rc<TargetState>,
}

impl std::fmt::Debug for TargetStandIn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetStandIn")
            .field("name", &self.state.name)
            .finish_non_exhaustive()
    }
}

impl TargetStandIn {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(
        name: &str,
        address: SocketAddr,
        behaviour: TargetBehaviour,
    ) -> std::io::Result<Self> {
        let state = Rc::new(TargetState {
            name: name.to_owned(),
            behaviour: RefCell::new(behaviour),
            record: RefCell::new(TargetRecord::default()),
            samples: RefCell::new(VecDeque::new()),
            rng: RefCell::new(fastrand::Rng::with_seed(1)),
            used: RefCell::new(BTreeMap::new()),
            freed: Event::new(),
        });
        let shared = Rc::clone(&state);
        let server = StandInServer::start(address, move |request, connection| {
            let state = Rc::clone(&shared);
            async move { state.serve(request, connection).await }
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Gets the target's name.
    pub fn name(&self) -> &str {
        &self.state.name
    }

    /// Gets the target's address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Gets the behaviour.
    pub fn behaviour(&self) -> TargetBehaviour {
        self.state.behaviour.borrow().clone()
    }

    /// Changes the behaviour.
    pub fn change(&self, change: impl FnOnce(&mut TargetBehaviour)) {
        change(&mut self.state.behaviour.borrow_mut());
    }

    /// Lets every connection that is open now go silent; new ones work.
    pub fn silence_connections(&self) {
        let connections = self.state.record.borrow().connections;
        self.change(|behaviour| behaviour.silent_before = connections + 1);
    }

    /// Gets what the target has seen.
    pub fn record(&self) -> TargetRecord {
        self.state.record.borrow().clone()
    }

    /// Runs `read` over what the target has seen, without copying it.
    pub fn with_record<T>(&self, read: impl FnOnce(&TargetRecord) -> T) -> T {
        read(&self.state.record.borrow())
    }

    /// Tells whether the target has ended.
    pub fn is_closed(&self) -> bool {
        self.server.is_closed()
    }

    /// Ends the target as a crash would.
    pub fn close(&self) {
        self.server.close();
    }
}

// Counts a request as in flight while it lives; a drop before the end is a cancellation.
struct FlightGuard {
    state: Rc<TargetState>,
    ended: bool,
}

impl FlightGuard {
    fn new(state: &Rc<TargetState>) -> Self {
        state.change_load(1);
        Self {
            state: Rc::clone(state),
            ended: false,
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.state.change_load(-1);
        if !self.ended {
            self.state.record.borrow_mut().cancelled += 1;
        }
        self.state.freed.notify(1);
    }
}

type StandInResult = Result<Response<StandInBody>, BrokenExchange>;

impl TargetState {
    async fn serve(self: Rc<Self>, request: Request<Incoming>, connection: u64) -> StandInResult {
        {
            let mut record = self.record.borrow_mut();
            record.connections = record.connections.max(connection);
        }
        if connection < self.behaviour.borrow().silent_before {
            std::future::pending::<()>().await;
        }
        if self.has_forgotten(connection) {
            return Err(BrokenExchange);
        }
        match request.uri().path() {
            BEHAVIOUR_PATH => self.take_behaviour(request).await,
            RECORD_PATH => Ok(json_response(&*self.record.borrow())),
            "/health" => self.probe().await,
            "/load" => self.load().await,
            _ => {
                let result = Rc::clone(&self).work(request).await;
                self.used.borrow_mut().insert(connection, boot_time());
                result.map(|response| self.with_notices(response))
            }
        }
    }

    // Adds the headers that go with every response to a request.
    fn with_notices(&self, mut response: Response<StandInBody>) -> Response<StandInBody> {
        let behaviour = self.behaviour.borrow();
        if behaviour.announces_leaving {
            let leaving = HeaderValue::from_static("1");
            response.headers_mut().insert(LEAVING_HEADER, leaving);
        }
        for limit in &behaviour.limits {
            if let Ok(value) = HeaderValue::from_str(limit) {
                response.headers_mut().append(LIMIT_HEADER, value);
            }
        }
        response
    }

    fn has_forgotten(&self, connection: u64) -> bool {
        let limit = Duration::from_millis(self.behaviour.borrow().forgets_after_ms);
        let used = self.used.borrow().get(&connection).copied();
        !limit.is_zero() && used.is_some_and(|used| boot_time().saturating_sub(used) > limit)
    }

    async fn take_behaviour(&self, request: Request<Incoming>) -> StandInResult {
        let body = request.into_body().collect().await;
        let bytes = body.map_err(|_| BrokenExchange)?.to_bytes();
        match serde_json::from_slice(&bytes) {
            Ok(behaviour) => {
                *self.behaviour.borrow_mut() = behaviour;
                Ok(plain(StatusCode::NO_CONTENT, Bytes::new()))
            }
            Err(_) => Ok(plain(StatusCode::BAD_REQUEST, Bytes::new())),
        }
    }

    async fn probe(&self) -> StandInResult {
        let behaviour = self.behaviour.borrow().clone();
        self.record.borrow_mut().probes += 1;
        compio::time::sleep(Duration::from_micros(behaviour.probe_us)).await;
        let status = if behaviour.lies_unhealthy {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        Ok(plain(status, Bytes::new()))
    }

    async fn load(&self) -> StandInResult {
        let behaviour = self.behaviour.borrow().clone();
        let lag = Duration::from_millis(behaviour.load_lag_ms);
        let in_flight = behaviour
            .lies_load
            .unwrap_or_else(|| self.load_at(boot_time().saturating_sub(lag)));
        let text = format!("{{\"in_flight\":{in_flight}}}");
        Ok(plain(StatusCode::OK, Bytes::from(text)))
    }

    async fn work(self: Rc<Self>, request: Request<Incoming>) -> StandInResult {
        let behaviour = self.behaviour.borrow().clone();
        let (parts, body) = request.into_parts();
        self.note_headers(&parts.headers, parts.uri.query().unwrap_or(""));
        let meant = text(&parts.headers, TARGET_HEADER);
        if !meant.is_empty() && meant != self.name {
            return Ok(self.refuse(StatusCode::MISDIRECTED_REQUEST, &parts.headers));
        }
        if behaviour.sheds && self.record.borrow().in_flight >= behaviour.slots {
            self.record.borrow_mut().shed += 1;
            let mut response = self.refuse(StatusCode::SERVICE_UNAVAILABLE, &parts.headers);
            let retry_after = HeaderValue::from_str(&behaviour.shed_retry_after);
            if let Some(retry_after) = retry_after.ok().filter(|value| !value.is_empty()) {
                response.headers_mut().insert("retry-after", retry_after);
            }
            return Ok(response);
        }
        let mut guard = FlightGuard::new(&self);
        body.collect().await.map_err(|_| BrokenExchange)?;
        self.note_run(&parts.headers);
        if self.draw(behaviour.early_close_percent) {
            return Err(BrokenExchange);
        }
        compio::time::sleep(self.service_time(&behaviour, &parts.headers)).await;
        let answer = self.answer(&parts.headers);
        guard.ended = true;
        let text = serde_json::to_vec(&answer).unwrap_or_default();
        if self.draw(behaviour.cut_percent) {
            return Ok(Response::new(StandInBody::cut(Bytes::from(text))));
        }
        self.record.borrow_mut().answered += 1;
        let mut response = plain(StatusCode::OK, Bytes::from(text));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert("content-type", json);
        if let Ok(name) = HeaderValue::from_str(&self.name) {
            response.headers_mut().insert("x-target", name.clone());
            response.headers_mut().insert(TARGET_HEADER, name);
        }
        echo_identifier(&mut response, &parts.headers);
        if let Ok(load) = HeaderValue::from_str(&format!("{},0", self.record.borrow().in_flight)) {
            response.headers_mut().insert(LOAD_HEADER, load);
        }
        Ok(response)
    }

    fn refuse(&self, status: StatusCode, headers: &HeaderMap) -> Response<StandInBody> {
        let mut response = not_run(status, headers);
        if self.draw(self.behaviour.borrow().copies_refusals_percent) {
            let mut random = self.rng.borrow_mut();
            let moment = match random.u32(0..4) {
                0 => CopyMoment::Delayed(Duration::ZERO),
                1 => CopyMoment::Delayed(Duration::from_millis(random.u64(..MAX_COPY_DELAY_MS))),
                _ => CopyMoment::BeforeNext,
            };
            response.extensions_mut().insert(moment);
        }
        response
    }

    fn draw(&self, percent: u32) -> bool {
        percent > 0 && self.rng.borrow_mut().u32(0..100) < percent
    }

    fn service_time(&self, behaviour: &TargetBehaviour, headers: &HeaderMap) -> Duration {
        let asked = text(headers, WORK_HEADER).parse().ok();
        let mut micros = asked.unwrap_or(behaviour.service_us);
        let served = self.record.borrow().started;
        if behaviour.warm_after > 0 && served < behaviour.warm_after {
            micros += behaviour.cold_us * (behaviour.warm_after - served) / behaviour.warm_after;
        }
        Duration::from_micros(micros)
    }

    fn answer(&self, headers: &HeaderMap) -> TargetAnswer {
        let size: usize = text(headers, SIZE_HEADER).parse().unwrap_or(0);
        TargetAnswer {
            target: self.name.clone(),
            request: text(headers, "fighall-request"),
            organisation: text(headers, "fighall-organisation"),
            padding: "x".repeat(size),
        }
    }

    fn note_headers(&self, headers: &HeaderMap, query: &str) {
        let mut record = self.record.borrow_mut();
        let in_headers = headers.values().any(|value| {
            let text = String::from_utf8_lossy(value.as_bytes());
            text.contains(KEY_PREFIX)
        });
        record.saw_key |= in_headers || query.contains(KEY_PREFIX);
        if !headers.contains_key("fighall-deadline-ms") {
            record.without_deadline += 1;
        }
    }

    fn note_run(&self, headers: &HeaderMap) {
        let now = u64::try_from(boot_time().as_micros()).unwrap_or(u64::MAX);
        let mark = text(headers, MARK_HEADER);
        let organisation = text(headers, "fighall-organisation");
        let mut record = self.record.borrow_mut();
        record.started += 1;
        record.last_start_us = now;
        if !mark.is_empty() {
            *record.runs.entry(mark).or_default() += 1;
        }
        let starts = record.starts.entry(organisation).or_default();
        if starts.len() < STARTS_LIMIT {
            starts.push(now);
        }
    }

    fn change_load(&self, by: i32) {
        let mut record = self.record.borrow_mut();
        record.in_flight = record.in_flight.saturating_add_signed(by);
        record.max_in_flight = record.max_in_flight.max(record.in_flight);
        let mut samples = self.samples.borrow_mut();
        samples.push_back(LoadSample {
            at: boot_time(),
            in_flight: record.in_flight,
        });
        while samples.len() > 4_096 {
            samples.pop_front();
        }
    }

    fn load_at(&self, at: Duration) -> u32 {
        let samples = self.samples.borrow();
        let known = samples.iter().rev().find(|sample| sample.at <= at);
        known.map_or(0, |sample| sample.in_flight)
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

// Repeats the identifier of a request in its response.
fn echo_identifier(response: &mut Response<StandInBody>, headers: &HeaderMap) {
    if let Some(request) = headers.get(REQUEST_HEADER) {
        let headers = response.headers_mut();
        headers.insert(REQUEST_HEADER, request.clone());
    }
}

fn not_run(status: StatusCode, headers: &HeaderMap) -> Response<StandInBody> {
    let mut response = plain(status, Bytes::new());
    let mark = HeaderValue::from_static("no");
    response.headers_mut().insert("fighall-run", mark);
    echo_identifier(&mut response, headers);
    response
}

fn plain(status: StatusCode, bytes: Bytes) -> Response<StandInBody> {
    let mut response = Response::new(StandInBody::whole(bytes));
    *response.status_mut() = status;
    response
}

fn json_response<T: serde::Serialize>(value: &T) -> Response<StandInBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    plain(StatusCode::OK, Bytes::from(text))
}

//! A caller: looks hosts up, honours the lifetime, presents its key.

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use fighall_core::{
    clock::boot_time,
    event::{RefusalReason, RunState},
    ids::BootTime,
    value,
};
use fighall_entry::problem::ProblemBody;
use fighall_route::lookup::LookupAnswer;
use http::{HeaderMap, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use snafu::Snafu;
use std::{cell::RefCell, collections::BTreeMap, time::Duration};

/// `CallError` is why a call brought no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection was had; the request did not run.
    #[snafu(display("no connection: {cause}"))]
    Connect {
        /// Cause as text.
        cause: String,
    },
    /// The exchange broke; the request may have run.
    #[snafu(display("the exchange broke: {cause}"))]
    Broken {
        /// Cause as text.
        cause: String,
    },
    /// No entry host is known.
    #[snafu(display("no entry host is known"))]
    NoHost,
}

value! {
    /// `CallAnswer` is the answer to a call.
    pub struct CallAnswer {
        /// Status.
        pub status: StatusCode,
        /// Headers.
        pub headers: HeaderMap,
        /// Body.
        pub body: Bytes,
        /// Time from sending to the end of the body.
        pub elapsed: Duration,
    }
}

impl CallAnswer {
    /// Gets the refusal, if the answer is one.
    pub fn problem(&self) -> Option<ProblemBody> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Gets the reason of the refusal, if the answer is one.
    pub fn reason(&self) -> Option<RefusalReason> {
        Some(self.problem()?.reason)
    }

    /// Tells whether the answer is a refusal that says the request did not run.
    pub fn says_not_run(&self) -> bool {
        self.problem()
            .is_some_and(|problem| problem.run == RunState::No)
    }
}

value! {
    /// `CallRequest` is a call to make.
    pub struct CallRequest {
        /// Method.
        pub method: String,
        /// Host name of the service.
        pub host: String,
        /// Path and query.
        pub target: String,
        /// Key.
        pub key: Option<String>,
        /// Further headers.
        pub headers: BTreeMap<String, String>,
        /// Body.
        pub body: Bytes,
    }
}

impl CallRequest {
    /// Creates a call without a key, headers and body.
    pub fn new(method: &str, host: &str, target: &str) -> Self {
        Self {
            method: method.to_owned(),
            host: host.to_owned(),
            target: target.to_owned(),
            key: None,
            headers: BTreeMap::new(),
            body: Bytes::new(),
        }
    }

    /// Sets the key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.insert(name.to_owned(), value.to_owned());
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    fn parts(&self) -> Result<Request<Full<Bytes>>, CallError> {
        let mut builder = Request::builder()
            .method(self.method.as_str())
            .uri(self.target.as_str())
            .header(HOST, self.host.as_str());
        if let Some(key) = &self.key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in &self.headers {
            builder = builder.header(name.as_str(), value.as_str());
        }
        let request = builder.body(Full::new(self.body.clone()));
        request.map_err(|error| CallError::Connect {
            cause: error.to_string(),
        })
    }
}

/// `CallerConnection` is one connection to an entry host.
#[derive(Debug)]
pub struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl CallerConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the host cannot be reached.
    pub async fn open(address: &str) -> Result<Self, CallError> {
        let refused = |cause: String| CallError::Connect { cause };
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| refused(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| refused(error.to_string()))?;
        let (sender, connection) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|error| refused(error.to_string()))?;
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender })
    }

    /// Tells whether another call can be made.
    pub async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// Returns an error when the exchange breaks.
    pub async fn call(&mut self, request: &CallRequest) -> Result<CallAnswer, CallError> {
        let request = request.parts()?;
        let started_at = boot_time();
        let broken = |cause: String| CallError::Broken { cause };
        let sent = self.sender.try_send_request(request).await;
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error().to_string();
                if unsent {
                    return Err(CallError::Connect { cause });
                }
                return Err(CallError::Broken { cause });
            }
        };
        let (parts, body) = response.into_parts();
        let collected = body.collect().await;
        let collected = collected.map_err(|error| broken(error.to_string()))?;
        Ok(CallAnswer {
            status: parts.status,
            headers: parts.headers,
            body: collected.to_bytes(),
            elapsed: boot_time().saturating_sub(started_at),
        })
    }
}

#[derive(Debug, Clone)]
struct CachedLookup {
    answer: LookupAnswer,
    until: BootTime,
}

/// `FleetCaller` makes calls through the entry hosts that look-ups name.
#[derive(Debug)]
pub struct FleetCaller {
    entries: Vec<String>,
    service: String,
    organisation: String,
    lookup: RefCell<Option<CachedLookup>>,
    idle: RefCell<BTreeMap<String, Vec<CallerConnection>>>,
}

impl FleetCaller {
    /// Creates a caller of a service that knows some entry hosts to ask.
    pub fn new(entries: Vec<String>, service: &str, organisation: &str) -> Self {
        Self {
            entries,
            service: service.to_owned(),
            organisation: organisation.to_owned(),
            lookup: RefCell::new(None),
            idle: RefCell::new(BTreeMap::new()),
        }
    }

    /// Looks the entry hosts up, or takes the last answer while it lives.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry host answers.
    pub async fn hosts(&self) -> Result<LookupAnswer, CallError> {
        let now = boot_time();
        let cached = self.lookup.borrow().clone();
        if let Some(cached) = cached.as_ref().filter(|cached| cached.until > now) {
            return Ok(cached.answer.clone());
        }
        let mut entries = Vec::new();
        if let Some(cached) = &cached {
            entries.extend(cached.answer.hosts.iter().map(|host| host.address.clone()));
        }
        entries.extend(self.entries.iter().cloned());
        for entry in entries {
            let Ok(answer) = self.look_up_at(&entry).await else {
                continue;
            };
            let until = now + Duration::from_millis(answer.ttl_ms);
            let cached = CachedLookup {
                answer: answer.clone(),
                until,
            };
            *self.lookup.borrow_mut() = Some(cached);
            return Ok(answer);
        }
        Err(CallError::NoHost)
    }

    async fn look_up_at(&self, entry: &str) -> Result<LookupAnswer, CallError> {
        let target = format!(
            "/.fighall/hosts?service={}&organisation={}",
            self.service, self.organisation
        );
        let request = CallRequest::new("GET", "lookup", &target);
        let answer = self.call_at(entry, &request).await?;
        serde_json::from_slice(&answer.body).map_err(|error| CallError::Broken {
            cause: error.to_string(),
        })
    }

    /// Makes a call at the first host of the look-up; a host that cannot be reached is passed
    /// over, since the request did not run there.
    ///
    /// # Errors
    ///
    /// Returns an error when no host can be reached or the exchange breaks.
    pub async fn call(&self, request: &CallRequest) -> Result<CallAnswer, CallError> {
        let answer = self.hosts().await?;
        for host in &answer.hosts {
            match self.call_at(&host.address, request).await {
                Err(CallError::Connect { .. }) => {
                    self.lookup.borrow_mut().take();
                }
                outcome => return outcome,
            }
        }
        Err(CallError::NoHost)
    }

    /// Makes a call at one host, over an idle connection where there is one.
    ///
    /// # Errors
    ///
    /// Returns an error when the host cannot be reached or the exchange breaks.
    pub async fn call_at(
        &self,
        address: &str,
        request: &CallRequest,
    ) -> Result<CallAnswer, CallError> {
        loop {
            let idle = {
                let mut idle = self.idle.borrow_mut();
                idle.get_mut(address).and_then(Vec::pop)
            };
            let Some(mut connection) = idle else {
                break;
            };
            if !connection.is_usable().await {
                continue;
            }
            match connection.call(request).await {
                Err(CallError::Connect { .. }) => continue,
                outcome => {
                    self.put_back(address, connection, outcome.is_ok());
                    return outcome;
                }
            }
        }
        let mut connection = CallerConnection::open(address).await?;
        let outcome = connection.call(request).await;
        self.put_back(address, connection, outcome.is_ok());
        outcome
    }

    fn put_back(&self, address: &str, connection: CallerConnection, whole: bool) {
        if whole {
            let mut idle = self.idle.borrow_mut();
            idle.entry(address.to_owned()).or_default().push(connection);
        }
    }
}

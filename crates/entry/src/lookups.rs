//! Look-up for callers: `GET /.fighall/hosts?service=S`.

use crate::{
    configuration::ConfigService, identity::HostIdentity, names, problem::RequestRefusal,
    targets::TargetService,
};
use bytes::Bytes;
use fighall_config::commands::{DrainScope, OperatorCommand};
use fighall_core::{
    clock::boot_time,
    event::RefusalReason,
    ids::{BootTime, RegionId},
};
use fighall_kernel::{errors::Result, kernel::MicroKernel, stage::LifeStage};
use fighall_net::body::ProxyBody;
use fighall_peer::mesh::PeerMesh;
use fighall_route::lookup::{HostDirectory, HostView, LookupAnswer};
use http::{
    HeaderValue, Response, Uri,
    header::{CACHE_CONTROL, CONTENT_TYPE},
};
use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    rc::Rc,
    time::Duration,
};

/// Path of look-ups.
pub const LOOKUP_PATH: &str = "/.fighall/hosts";
/// Age of a peer's last sign beyond which callers are not sent to it.
const ALIVE: Duration = Duration::from_secs(2);
/// Time for which the directory of hosts is used.
const DIRECTORY_TIME: Duration = Duration::from_millis(200);
/// Lifetime of an answer before there is a configuration.
const DEFAULT_TTL: Duration = Duration::from_secs(1);

/// `LookupService` answers look-ups from what this host knows.
#[derive(Debug)]
pub struct LookupService {
    kernel: Rc<MicroKernel>,
    identity: Rc<HostIdentity>,
    config: Rc<ConfigService>,
    mesh: Rc<PeerMesh>,
    targets: Rc<TargetService>,
    directory: RefCell<HostDirectory>,
    directory_until: Cell<BootTime>,
}

#[derive(Default)]
struct LookupQuery {
    service: String,
    organisation: String,
    client: Option<IpAddr>,
}

impl LookupService {
    /// Creates a service.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &Rc<MicroKernel>) -> Result<Self> {
        Ok(Self {
            kernel: Rc::clone(kernel),
            identity: kernel.find(names::IDENTITY)?,
            config: kernel.find(names::CONFIGURATION)?,
            mesh: kernel.find(names::MESH)?,
            targets: kernel.find(names::TARGETS)?,
            directory: RefCell::new(HostDirectory::default()),
            directory_until: Cell::new(Duration::ZERO),
        })
    }

    /// Tells whether a path is a look-up.
    pub fn takes(&self, path: &str) -> bool {
        path == LOOKUP_PATH
    }

    /// Answers a look-up of a caller at `remote`.
    pub fn answer(&self, uri: &Uri, remote: IpAddr) -> Response<ProxyBody> {
        let query = match parse(uri.query().unwrap_or("")) {
            Ok(query) => query,
            Err(cause) => {
                let refusal = RequestRefusal::not_run(RefusalReason::BadRequest, cause);
                return refusal.response("");
            }
        };
        let known = self
            .config
            .config()
            .is_some_and(|config| config.services.contains_key(&query.service));
        if !known {
            let refusal = RequestRefusal::not_run(RefusalReason::NoRoute, "no such service");
            return refusal.response("");
        }
        let answer = self.lookup(&query, remote);
        let text = serde_json::to_vec(&answer).unwrap_or_default();
        let mut response = Response::new(ProxyBody::full(Bytes::from(text)));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let seconds = answer.ttl_ms / 1_000;
        if let Ok(value) = HeaderValue::from_str(&format!("max-age={seconds}")) {
            headers.insert(CACHE_CONTROL, value);
        }
        response
    }

    fn lookup(&self, query: &LookupQuery, remote: IpAddr) -> LookupAnswer {
        let client = query.client.unwrap_or(remote);
        let region = self.region_of(client);
        let config = self.config.config();
        let ttl = config.map_or(DEFAULT_TTL, |config| {
            Duration::from_millis(config.fleet.lookup_ttl_ms)
        });
        self.renew_directory();
        let directory = self.directory.borrow();
        let hosts = directory.answer(&region, &query.service, &query.organisation);
        LookupAnswer {
            service: query.service.clone(),
            region,
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
            hosts,
        }
    }

    // A caller of no known block is near to the host that it asked.
    fn region_of(&self, client: IpAddr) -> RegionId {
        let blocks = self.config.blocks();
        let region = blocks.region(client).cloned();
        region.unwrap_or_else(|| self.identity.region.clone())
    }

    fn renew_directory(&self) {
        let now = boot_time();
        if now >= self.directory_until.get() {
            *self.directory.borrow_mut() = HostDirectory::new(&self.views());
            self.directory_until.set(now + DIRECTORY_TIME);
        }
    }

    fn views(&self) -> Vec<HostView> {
        let now = boot_time();
        let drained = self.drained_hosts();
        let own = &self.identity;
        let running = self.kernel.signal().stage() == LifeStage::Running;
        let mut views = vec![HostView {
            host: own.host.clone(),
            region: own.region.clone(),
            address: own.caller_address.clone(),
            accepts_callers: running && !drained.contains(&own.host),
            overloaded: self.targets.is_overloaded(),
            round_trip: Duration::ZERO,
        }];
        self.mesh.with_views(|peers| {
            for peer in peers {
                let host = &peer.peer.host;
                let alive = peer.is_alive(now, ALIVE) && peer.state.open;
                views.push(HostView {
                    host: host.clone(),
                    region: peer.peer.region.clone(),
                    address: peer.state.caller_address.clone(),
                    accepts_callers: alive && !drained.contains(host),
                    overloaded: peer.state.overloaded,
                    round_trip: peer.round_trip,
                });
            }
        });
        views
    }

    fn drained_hosts(&self) -> Vec<String> {
        let mut drained = Vec::new();
        for command in self.config.commands().iter() {
            if let OperatorCommand::Drain {
                scope: DrainScope::Host,
                name,
                ..
            } = command
            {
                drained.push(name.clone());
            }
        }
        drained
    }
}

fn parse(query: &str) -> std::result::Result<LookupQuery, String> {
    let mut parsed = LookupQuery::default();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match name.as_ref() {
            "service" => parsed.service = value.into_owned(),
            "organisation" => parsed.organisation = value.into_owned(),
            "client" => {
                let address = value.parse();
                let address = address.map_err(|_| format!("`{value}` is not an IP address"))?;
                parsed.client = Some(address);
            }
            _ => return Err(format!("unknown parameter `{name}`")),
        }
    }
    if parsed.service.is_empty() {
        return Err("the parameter `service` is missing".to_owned());
    }
    Ok(parsed)
}

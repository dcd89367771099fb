//! Copies of store objects between hosts: what a host lacks and the store does not serve it, it fetches from a host that
//! has it.

use super::{KindState, StoreFollower};
use crate::{
    copies::ChangeSource,
    message::{FollowedKind, KindCopy},
};
use bytes::Bytes;
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, Version},
};
use fighall_net::{call::call, pool::ConnectionPool};
use fighall_store::era::era_of;
use http::{Request, StatusCode, header::HOST};
use slog::{info, warn};
use snafu::Snafu;
use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

/// Path prefix of the copies, followed by a kind.
const COPIES_PATH: &str = "/copies/";
/// Time within which a copy is received.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest copy, in bytes.
const MAX_COPY_BYTES: usize = 16 << 20;
/// Kinds that are fetched, with the names in their paths. Hosts are known by their heartbeats.
const FETCHED_KINDS: [(FollowedKind, &str); 3] = [
    (FollowedKind::Policy, "policy"),
    (FollowedKind::Targets, "targets"),
    (FollowedKind::Evacuations, "evacuations"),
];

#[derive(Debug, Snafu)]
enum FetchError {
    #[snafu(display("exchange with the host failed: {cause}"))]
    Exchange { cause: String },
    #[snafu(display("the host responded with {status}"))]
    Status { status: StatusCode },
    #[snafu(display("the copy cannot be decoded: {cause}"))]
    Decode { cause: String },
    #[snafu(display("no response within {} ms", FETCH_TIMEOUT.as_millis()))]
    Timeout,
}

impl FetchError {
    fn exchange(error: impl std::fmt::Display) -> Self {
        let cause = error.to_string();
        Self::Exchange { cause }
    }
}

/// Gets the kind that a path of a request from another host names.
pub fn kind_of_path(path: &str) -> Option<FollowedKind> {
    let name = path.strip_prefix(COPIES_PATH)?;
    let (kind, _) = FETCHED_KINDS
        .into_iter()
        .find(|(_, known)| *known == name)?;
    Some(kind)
}

fn path_of_kind(kind: FollowedKind) -> Option<String> {
    let (_, name) = FETCHED_KINDS
        .into_iter()
        .find(|(known, _)| *known == kind)?;
    Some(format!("{COPIES_PATH}{name}"))
}

impl StoreFollower {
    /// Gets this host's copy of a kind for another host; none if it may lack objects.
    pub fn copy_of(&self, kind: FollowedKind) -> Option<KindCopy> {
        let state = self.kinds.get(&kind)?;
        if !state.listed.get() || state.truncated.get() {
            return None;
        }
        Some(KindCopy {
            kind,
            version: state.complete_version.get(),
            objects: self.copies.objects(kind),
        })
    }

    /// Applies the copy of another host, which replaces that of this host as a list of the store does.
    pub fn apply_copy(&self, copy: KindCopy, source: ChangeSource) {
        let Some(state) = self.kinds.get(&copy.kind) else {
            return;
        };
        let complete_version = state.complete_version.get();
        // The store alone decides what holds in another era.
        let is_later =
            era_of(copy.version) == era_of(complete_version) && copy.version > complete_version;
        if !state.listed.get() || !is_later {
            return;
        }
        let now = boot_time();
        let mut names = BTreeSet::new();
        for object in &copy.objects {
            if !self
                .copies
                .has_applied(copy.kind, &object.name, object.version)
            {
                self.copies.apply_object(copy.kind, now, object, source);
            }
            names.insert(object.name.clone());
        }
        self.copies
            .retain_listed(copy.kind, now, copy.version, names);
        state.advance_complete(copy.version);
        self.count_forwarding("fetched");
    }

    // Fetches a kind from another host if this host has lacked a version for some time, and the store does not serve it.
    pub(super) fn fetch_missing(
        self: &Rc<Self>,
        kind: FollowedKind,
        state: &KindState,
        now: BootTime,
    ) {
        let (known_version, latest_version) = self.version_gap(kind, state, now);
        let mut tracker = state.unfetched.get();
        let is_due = tracker.update(now, known_version, latest_version, true);
        state.unfetched.set(tracker);
        if !is_due || !self.is_store_unreachable(now) || state.is_fetching.replace(true) {
            return;
        }
        match self.fetch_source(kind, known_version, now) {
            Some(address) => {
                compio::runtime::spawn(Rc::clone(self).fetch(kind, address)).detach();
            }
            None => state.is_fetching.set(false),
        }
    }

    fn fetch_source(
        &self,
        kind: FollowedKind,
        version: Version,
        now: BootTime,
    ) -> Option<SocketAddr> {
        let router = self.router.borrow();
        let own = &router.own_host.host;
        let hosts = router
            .fleet
            .hosts_ahead(now, own, |copies| copies.version_of(kind) > version);
        fastrand::choice(hosts)
    }

    async fn fetch(self: Rc<Self>, kind: FollowedKind, address: SocketAddr) {
        let started_at = boot_time();
        let copy = compio::time::timeout(FETCH_TIMEOUT, request_copy(kind, address)).await;
        let copy = copy.unwrap_or(Err(FetchError::Timeout));
        let elapsed = boot_time().saturating_sub(started_at);
        match copy {
            Ok(copy) => {
                info!(self.logger, "copy fetched"; "kind" => format!("{kind:?}"),
                    "source" => address.to_string(), "version" => copy.version,
                    "objects" => copy.objects.len(), "held_ms" => elapsed.as_millis());
                self.apply_copy(copy, ChangeSource::Host(address));
            }
            Err(error) => {
                warn!(self.logger, "copy not fetched"; "kind" => format!("{kind:?}"),
                    "source" => address.to_string(), "error" => error.to_string());
            }
        }
        if let Some(state) = self.kinds.get(&kind) {
            state.is_fetching.set(false);
        }
    }
}

// Fetches are rare, so that no connection is kept for them.
async fn request_copy(kind: FollowedKind, address: SocketAddr) -> Result<KindCopy, FetchError> {
    let path = path_of_kind(kind).unwrap_or_default();
    let request = Request::get(path).header(HOST, address.to_string());
    let request = request.body(Bytes::new()).map_err(FetchError::exchange)?;
    let pool = ConnectionPool::new();
    let response = call(&pool, address, &request).await;
    let response = response.map_err(FetchError::exchange)?;
    let status = response.head.status;
    if !status.is_success() {
        return Err(FetchError::Status { status });
    }
    let body = response.read_to_end(&pool, MAX_COPY_BYTES).await;
    let body = body.map_err(FetchError::exchange)?;
    let copy: KindCopy = ciborium::from_reader(&body[..]).map_err(|error| {
        let cause = error.to_string();
        FetchError::Decode { cause }
    })?;
    Ok(copy)
}

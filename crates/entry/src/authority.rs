//! Keys on requests: whether the table is fresh enough to rely on, and whose key it is.

use crate::{
    configuration::ConfigService, identity::HostIdentity, mirrors::MirrorService, names,
    problem::RequestRefusal,
};
use fighall_core::{
    clock::boot_time,
    event::RefusalReason,
    ids::{BootTime, OrgId},
    secret::key_digest,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_peer::mesh::PeerMesh;
use fighall_store::object::kinds;
use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};

/// Age of a peer's last sign beyond which its word about the store counts for nothing.
const WITNESS_AGE: Duration = Duration::from_secs(2);
/// Interval at which an outage of the store is looked for.
const OUTAGE_LOOK: Duration = Duration::from_millis(100);
/// Freshness that is asked for before there is a configuration.
const DEFAULT_FRESHNESS: Duration = Duration::from_secs(4);

/// `KeyAuthority` checks the key of every request.
#[derive(Debug)]
pub struct KeyAuthority {
    identity: Rc<HostIdentity>,
    mirrors: Rc<MirrorService>,
    config: Rc<ConfigService>,
    mesh: Rc<PeerMesh>,
    // The latest time at which the store was seen to answer nobody.
    outage_at: Cell<Option<BootTime>>,
}

impl KeyAuthority {
    /// Creates an authority.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &MicroKernel) -> Result<Self> {
        Ok(Self {
            identity: kernel.find(names::IDENTITY)?,
            mirrors: kernel.find(names::MIRRORS)?,
            config: kernel.find(names::CONFIGURATION)?,
            mesh: kernel.find(names::MESH)?,
            outage_at: Cell::new(None),
        })
    }

    /// Looks for outages of the store until the process stops, so that the end of one is known to
    /// hosts without requests as well.
    pub async fn keep(self: Rc<Self>) {
        loop {
            self.note_outage(boot_time());
            compio::time::sleep(OUTAGE_LOOK).await;
        }
    }

    /// Finds the organisation of the key that came with a request to a keyed route.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no key came, when it does not work, or when this host cannot show
    /// that its key table is fresh.
    pub fn organisation(&self, key: Option<&str>) -> std::result::Result<OrgId, RequestRefusal> {
        let Some(key) = key else {
            return Err(RequestRefusal::not_run(
                RefusalReason::KeyMissing,
                "no key came with the request",
            ));
        };
        if !self.is_fresh(boot_time()) {
            return Err(RequestRefusal::not_run(
                RefusalReason::KeysStale,
                "this host cannot show that its key table is fresh",
            )
            .with_retry_after(Duration::from_secs(1)));
        }
        let organisation = self.mirrors.organisation(&key_digest(key));
        organisation.ok_or_else(|| {
            RequestRefusal::not_run(
                RefusalReason::KeyRejected,
                "the key is unknown or withdrawn",
            )
        })
    }

    /// Tells whether the key table may be relied on: it was confirmed by the store within the
    /// limit, directly or through a peer; or within the limit the store answered nobody, by the
    /// word of a live host in every region, so that it had accepted no withdrawal that others know
    /// of.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        let limit = self.config.config().map_or(DEFAULT_FRESHNESS, |config| {
            Duration::from_millis(config.fleet.key_freshness_ms)
        });
        let age = self.mirrors.age(kinds::KEYS);
        if age.is_some_and(|age| age <= limit) {
            return true;
        }
        if age.is_none() && self.mirrors.key_count() == 0 {
            return false;
        }
        self.note_outage(now);
        let outage_at = self.outage_at.get();
        outage_at.is_some_and(|at| now.saturating_sub(at) <= limit)
    }

    fn note_outage(&self, now: BootTime) {
        let seen_at = self.outage_seen_at(now);
        self.outage_at.set(self.outage_at.get().max(seen_at));
    }

    // The store answers nobody when no region has a host that it answers: the word of the region
    // that was heard least recently counts.
    fn outage_seen_at(&self, now: BootTime) -> Option<BootTime> {
        let config = self.config.config()?;
        if self.mirrors.is_store_up() {
            return None;
        }
        let mut heard = BTreeMap::from([(self.identity.region.clone(), now)]);
        self.mesh.with_views(|views| {
            for view in views {
                if !view.is_alive(now, WITNESS_AGE) || view.state.store_up {
                    continue;
                }
                let Some(at) = view.last_message_at else {
                    continue;
                };
                let latest = heard.entry(view.peer.region.clone()).or_default();
                *latest = at.max(*latest);
            }
        });
        let regions = config.fleet.regions.iter();
        let times: Option<Vec<_>> = regions
            .map(|region| heard.get(&region.name).copied())
            .collect();
        times?.into_iter().min()
    }
}

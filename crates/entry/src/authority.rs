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
use fighall_platform::object::kinds;
use std::{collections::BTreeSet, rc::Rc, time::Duration};

/// Age of a peer's last sign beyond which its word about the store counts for nothing.
const WITNESS_AGE: Duration = Duration::from_secs(2);
/// Freshness that is asked for before there is a configuration.
const DEFAULT_FRESHNESS: Duration = Duration::from_secs(4);

/// `KeyAuthority` checks the key of every request.
#[derive(Debug)]
pub struct KeyAuthority {
    identity: Rc<HostIdentity>,
    mirrors: Rc<MirrorService>,
    config: Rc<ConfigService>,
    mesh: Rc<PeerMesh>,
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
        })
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
    /// limit, directly or through a peer; or the store answers nobody, by the word of a live host
    /// in every region, so that it can have accepted no withdrawal that others know of.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        let config = self.config.config();
        let limit = config.as_ref().map_or(DEFAULT_FRESHNESS, |config| {
            Duration::from_millis(config.fleet.key_freshness_ms)
        });
        let age = self.mirrors.age(kinds::KEYS);
        if age.is_some_and(|age| age <= limit) {
            return true;
        }
        let Some(config) = config else {
            return false;
        };
        if age.is_none() && self.mirrors.key_count() == 0 {
            return false;
        }
        if self.mirrors.is_store_up() {
            return false;
        }
        let mut witnesses = BTreeSet::from([self.identity.region.clone()]);
        self.mesh.with_views(|views| {
            for view in views {
                if view.is_alive(now, WITNESS_AGE) && !view.state.store_up {
                    witnesses.insert(view.peer.region.clone());
                }
            }
        });
        let regions = &config.fleet.regions;
        regions
            .iter()
            .all(|region| witnesses.contains(&region.name))
    }
}

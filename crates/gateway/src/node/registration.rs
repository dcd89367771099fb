//! Registration of this host in the store: the entry is written at the start and deleted at shutdown.

use super::{GatewayNode, UNREGISTER_TIMEOUT};
use crate::registry::{self, HostEntry};
use slog::{info, warn};
use std::{rc::Rc, time::Duration};

/// Delay before registration is tried again.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(400);

impl GatewayNode {
    fn own_entry(&self) -> HostEntry {
        HostEntry {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            region: self.settings.region.clone(),
            zone: self.settings.zone.clone(),
            callers: self.settings.callers,
            peers: self.settings.peers,
        }
    }

    pub(super) async fn register(self: Rc<Self>) {
        let entry = self.own_entry();
        loop {
            let new_era = self.store.listen_era_change();
            match registry::register(&self.store, &entry).await {
                Ok(Some(version)) => {
                    info!(self.logger, "host registered"; "version" => version);
                    self.registered_version.set(Some(version));
                    // With a new era the store may have lost the entry, so the host registers again.
                    new_era.await;
                    continue;
                }
                Ok(None) => {}
                Err(error) => {
                    info!(self.logger, "host registration failed"; "error" => error.to_string());
                }
            }
            compio::time::sleep(REGISTER_RETRY_DELAY).await;
        }
    }

    pub(super) async fn unregister(&self) {
        let Some(version) = self.registered_version.get() else {
            return;
        };
        let entry = self.own_entry();
        let deletion = registry::unregister(&self.store, &entry, version);
        match compio::time::timeout(UNREGISTER_TIMEOUT, deletion).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                warn!(self.logger, "host entry not deleted"; "error" => error.to_string());
            }
            Err(_) => warn!(self.logger, "host entry not deleted"; "error" => "store timed out"),
        }
    }
}

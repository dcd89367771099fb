//! Registration of hosts in the store: an entry is written at the start and deleted at a planned stop.
//! Liveness is detected by heartbeats, not by these entries.

use fighall_core::{
    ids::{HostId, Incarnation, RegionId, Version, ZoneId},
    message,
};
use fighall_store::{
    client::{StoreClient, WriteOutcome},
    errors::Result,
};
use std::net::SocketAddr;

/// Kind of the hosts' entries in the store.
pub const HOSTS_KIND: &str = "fighall-hosts";

message! {
    /// `HostEntry` is the registration of one host.
    pub struct HostEntry {
        /// Name of the host, unique in the fleet.
        pub host: HostId,
        /// Incarnation of its process; a restart gets a new one.
        pub incarnation: Incarnation,
        /// Region of the host.
        pub region: RegionId,
        /// Availability zone of the host.
        pub zone: ZoneId,
        /// Address at which it accepts callers.
        pub callers: SocketAddr,
        /// Address at which it receives messages of other hosts, over UDP.
        pub peers: SocketAddr,
    }
}

impl HostEntry {
    /// Decodes an entry; none if the text has another format.
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}

/// Deletes a host's entry that was written as `version`, or the one that the same incarnation has written
/// since.
///
/// # Errors
///
/// Returns an error if the store did not report a definite outcome.
pub async fn unregister(store: &StoreClient, entry: &HostEntry, version: Version) -> Result<()> {
    let outcome = store.delete(HOSTS_KIND, &entry.host, version).await?;
    let WriteOutcome::Conflict {
        current: Some(current),
    } = outcome
    else {
        return Ok(());
    };
    let current_entry = HostEntry::decode(&current.value);
    if current_entry.is_some_and(|current_entry| current_entry.incarnation == entry.incarnation) {
        store
            .delete(HOSTS_KIND, &entry.host, current.version)
            .await?;
    }
    Ok(())
}

/// Writes a host's entry, replacing one of the same name. Returns its version; none if a concurrent write
/// interfered.
///
/// # Errors
///
/// Returns an error if the store did not report a definite outcome.
pub async fn register(store: &StoreClient, entry: &HostEntry) -> Result<Option<Version>> {
    let text =
        serde_json::to_string(entry).map_err(fighall_store::errors::Error::invalid_response)?;
    let created = store.create(HOSTS_KIND, &entry.host, &text).await?;
    let current = match created {
        WriteOutcome::Written { version } => return Ok(Some(version)),
        WriteOutcome::Conflict { current } => current,
    };
    let Some(current) = current else {
        return Ok(None);
    };
    let replaced = store
        .put(HOSTS_KIND, &entry.host, &text, current.version)
        .await?;
    match replaced {
        WriteOutcome::Written { version } => Ok(Some(version)),
        WriteOutcome::Conflict { .. } => Ok(None),
    }
}

//! Names under which services are registered with the micro-kernel.

/// The host's own identity.
pub const IDENTITY: &str = "identity";
/// The ring of events.
pub const EVENTS: &str = "events";
/// The client of the platform's store.
pub const STORE: &str = "store";
/// The links to peers.
pub const MESH: &str = "mesh";
/// The copies of the store's kinds.
pub const MIRRORS: &str = "mirrors";
/// The configuration in force.
pub const CONFIGURATION: &str = "configuration";
/// The check of keys.
pub const AUTHORITY: &str = "authority";
/// The member id and its lease.
pub const MEMBERS: &str = "members";
/// The shares of quotas.
pub const QUOTAS: &str = "quotas";
/// The targets, their queues and their slots.
pub const TARGETS: &str = "targets";
/// The connections to targets and peers.
pub const POOL: &str = "pool";
/// The metrics.
pub const METRICS: &str = "metrics";
/// The claims of idempotency keys.
pub const CLAIMS: &str = "claims";
/// The proxy of callers' requests.
pub const PROXY: &str = "proxy";

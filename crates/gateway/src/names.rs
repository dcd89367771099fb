//! Names under which the gateway's services are registered in the kernel.

/// [`crate::settings::GatewaySettings`] that the process started with.
pub const SETTINGS: &str = "settings";
/// [`crate::settings_status::SettingsStatus`], the digests of the settings in force.
pub const SETTINGS_STATUS: &str = "settings status";
/// [`crate::dialect::WireDialect`] of the deployment.
pub const DIALECT: &str = "dialect";
/// [`slog::Logger`] of the process.
pub const LOGGER: &str = "logger";
/// [`crate::metrics::GatewayMetrics`] of the process.
pub const METRICS: &str = "metrics";
/// [`fighall_store::client::StoreClient`] of the process.
pub const STORE: &str = "store";
/// [`fighall_net::pool::ConnectionPool`] of connections to targets.
pub const POOL: &str = "pool";
/// [`crate::policy_copy::PolicyCopy`], this host's copy of the traffic policy.
pub const POLICY: &str = "policy";
/// [`crate::router::RequestRouter`], which places requests at targets.
pub const ROUTER: &str = "router";
/// [`crate::follow::StoreFollower`], which keeps the copies of the store up to date.
pub const FOLLOWER: &str = "follower";
/// [`fighall_core::ids::Incarnation`] of this process.
pub const INCARNATION: &str = "incarnation";
/// Table of the open connections of clients.
pub(crate) const CONNECTIONS: &str = "connections";

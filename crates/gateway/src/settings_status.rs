//! Identification of the settings in force, so that it is visible from outside which ones a host uses.

use crate::{message::SettingsDigest, settings::GatewaySettings};
use fighall_core::{clock::wall_millis, value};
use xxhash_rust::xxh3::xxh3_64;

value! {
    /// `SettingsStatus` identifies the settings in force.
    #[derive(Copy, Default)]
    pub struct SettingsStatus {
        /// Digest of the values that all hosts of a deployment share: zones, store, bounds, log level and store
        /// calls.
        pub shared: SettingsDigest,
        /// Digest of all values.
        pub own: SettingsDigest,
        /// Wall-clock time at which they were read, in milliseconds since 1970.
        pub read_at_ms: u64,
    }
}

impl SettingsStatus {
    /// Describes settings that are read now.
    pub fn new(settings: &GatewaySettings) -> Self {
        let shared = (
            &settings.zones,
            settings.store,
            settings.bounds,
            settings.log_level,
            settings.store_calls,
        );
        Self {
            shared: digest(&shared),
            own: digest(settings),
            read_at_ms: wall_millis(),
        }
    }
}

/// Formats a digest for logs and metrics.
pub fn format_digest(digest: SettingsDigest) -> String {
    format!("{digest:016x}")
}

// The text of all fields identifies them: it has no addresses in memory and maps are ordered.
fn digest(value: &impl std::fmt::Debug) -> SettingsDigest {
    xxh3_64(format!("{value:?}").as_bytes())
}

/// Lists the names of settings that differ from those of the start and cannot change while the process runs.
pub fn fixed_changes(started: &GatewaySettings, read: &GatewaySettings) -> Vec<String> {
    let mut changes = Vec::new();
    let mut compare = |name: &str, differs: bool| {
        if differs {
            changes.push(name.to_owned());
        }
    };
    compare("host", started.host != read.host);
    compare("region", started.region != read.region);
    compare("zone", started.zone != read.zone);
    compare("zones", started.zones != read.zones);
    compare("callers", started.callers != read.callers);
    compare("ready", started.ready != read.ready);
    compare("directory", started.directory != read.directory);
    compare("peers", started.peers != read.peers);
    compare("metrics", started.metrics != read.metrics);
    compare("store", started.store != read.store);
    compare("log_level", started.log_level != read.log_level);
    compare("memory_mb", started.memory_mb != read.memory_mb);
    compare(
        "max_descriptors",
        started.max_descriptors != read.max_descriptors,
    );
    compare("store_calls", started.store_calls != read.store_calls);
    changes
}

/// Gets the settings in force after `read` was read by a process that started with `started`.
pub fn in_force(started: &GatewaySettings, read: &GatewaySettings) -> GatewaySettings {
    GatewaySettings {
        bounds: read.bounds,
        ..started.clone()
    }
}

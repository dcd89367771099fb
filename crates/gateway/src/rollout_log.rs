//! Log records of rollouts that have been completed.

use crate::{
    rollout::{RolloutEvent, RolloutSubject},
    settings_status::format_digest,
};
use slog::{Logger, info};

/// Logs the rollouts that all hosts of `zone`, or of the fleet, have in force. Those of other zones are logged
/// there.
pub fn log_rollouts(logger: &Logger, zone: &str, events: &[RolloutEvent]) {
    for event in events {
        let scope = match &event.zone {
            Some(reached) if reached == zone => "zone",
            Some(_) => continue,
            None => "fleet",
        };
        let (message, version) = match event.subject {
            RolloutSubject::Policy(number) => ("policy in force everywhere", number.to_string()),
            RolloutSubject::Settings(digest) => {
                ("settings in force everywhere", format_digest(digest))
            }
        };
        info!(logger, "{}", message; "scope" => scope, "zone" => zone, "version" => version,
            "hosts" => event.hosts, "elapsed_ms" => event.elapsed.as_millis());
    }
}

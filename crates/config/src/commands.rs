//! Operators' commands kept in the store: drains and moves of traffic.

use fighall_core::{
    ids::{RegionId, ServiceId},
    message, tag,
};

tag! {
    /// `DrainScope` is what a drain empties.
    pub enum DrainScope {
        /// One target.
        Target,
        /// The targets of an availability zone.
        Zone,
        /// The targets of a region.
        Region,
        /// One entry host.
        Host,
    }
}

message! {
    /// `OperatorCommand` is one command in force. Its object is deleted to take it back.
    #[serde(tag = "command", rename_all = "snake_case")]
    pub enum OperatorCommand {
        /// Gives no new work to a target, zone, region or host.
        Drain {
            /// What is drained.
            scope: DrainScope,
            /// Name of it.
            name: String,
            /// Wall-clock milliseconds at the command.
            since: u64,
        },
        /// Moves a part of a service's traffic from one region to another, over a ramp.
        Move {
            /// Service.
            service: ServiceId,
            /// Region whose callers are moved.
            from: RegionId,
            /// Region that serves them.
            to: RegionId,
            /// Part of the traffic at the end of the ramp, in percent.
            percent: u32,
            /// Length of the ramp in milliseconds.
            ramp_ms: u64,
            /// Wall-clock milliseconds at the command.
            since: u64,
        },
    }
}

impl OperatorCommand {
    /// Gets the name of the command's object in the store.
    pub fn object_name(&self) -> String {
        match self {
            Self::Drain { scope, name, .. } => {
                format!("drain-{}-{name}", scope.label())
            }
            Self::Move { service, from, .. } => format!("move-{service}-{from}"),
        }
    }
}

impl DrainScope {
    /// Gets the scope as it is written on the command line.
    pub fn label(self) -> String {
        let label = match self {
            Self::Target => "target",
            Self::Zone => "zone",
            Self::Region => "region",
            Self::Host => "host",
        };
        label.to_owned()
    }
}

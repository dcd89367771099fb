//! Who this process is.

use fighall_core::{
    ids::{HostId, Incarnation, RegionId, ZoneId},
    secret::SecretText,
    value,
};

value! {
    /// `HostIdentity` is this process as its peers and operators know it.
    pub struct HostIdentity {
        /// Host.
        pub host: HostId,
        /// Life of the process.
        pub incarnation: Incarnation,
        /// Region.
        pub region: RegionId,
        /// Availability zone.
        pub zone: ZoneId,
        /// Address for callers.
        pub caller_address: String,
        /// Address for peers' links.
        pub peer_address: String,
        /// Address for forwarded requests.
        pub forward_address: String,
        /// Address for operators.
        pub operator_address: String,
        /// Secret that entry hosts share.
        pub fleet_secret: SecretText,
        /// Token that operators present.
        pub operator_token: SecretText,
    }
}

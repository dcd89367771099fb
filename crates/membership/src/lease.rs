//! The lease object of a member id.

use fighall_core::{
    ids::{HostId, Incarnation, MemberId, RegionId, ZoneId},
    message,
};

message! {
    /// `MemberLease` is the value of a member id's object in the store.
    pub struct MemberLease {
        /// Host that holds the id.
        pub host: HostId,
        /// Incarnation of the holder.
        pub incarnation: Incarnation,
        /// Address for peers.
        pub peer_address: String,
        /// Address for requests forwarded by peers.
        pub forward_address: String,
        /// Address for callers.
        pub caller_address: String,
        /// Address for operators.
        pub operator_address: String,
        /// Region.
        pub region: RegionId,
        /// Availability zone.
        pub zone: ZoneId,
        /// Count of renewals; each changes the object's version.
        pub renewal: u64,
        /// True after a planned stop: the holder spends nothing any more.
        pub released: bool,
        /// Time for which loans or requests of the holder may go on after the last renewal, in
        /// milliseconds. A successor waits this long before it uses the base shares.
        pub wait_out_ms: u64,
    }
}

impl MemberLease {
    /// Creates the lease of a holder; the other fields are filled in by the host.
    pub fn with_holder(host: &str, incarnation: Incarnation, peer_address: &str) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            peer_address: peer_address.to_owned(),
            forward_address: String::new(),
            caller_address: String::new(),
            operator_address: String::new(),
            region: String::new(),
            zone: String::new(),
            renewal: 0,
            released: false,
            wait_out_ms: 0,
        }
    }

    /// Tells whether this lease is of one incarnation of one host.
    pub fn is_held_by(&self, host: &str, incarnation: Incarnation) -> bool {
        self.host == host && self.incarnation == incarnation
    }
}

/// Gets the name of a member id's object in the store.
pub fn object_name(member: MemberId) -> String {
    format!("member-{member:05}")
}

/// Gets the member id of an object's name.
pub fn member_of(name: &str) -> Option<MemberId> {
    name.strip_prefix("member-")?.parse().ok()
}

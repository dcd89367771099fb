//! Lease objects of member ids in the store.

use fighall_core::{
    ids::{Generation, HostId, Incarnation, MemberId, RegionId, ZoneId},
    message,
};

message! {
    /// `MemberKey` identifies a member id by its region and its index in the region.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct MemberKey {
        /// Region that the id belongs to.
        pub region: RegionId,
        /// Index among the members of the region.
        pub index: MemberId,
    }
}

impl MemberKey {
    /// Creates the key of the id with an index in a region.
    pub fn new(region: &str, index: MemberId) -> Self {
        Self {
            region: region.to_owned(),
            index,
        }
    }

    /// Parses the name of a lease object in the store; none if it is not one.
    pub fn from_object_name(name: &str) -> Option<Self> {
        let (region, index) = name.strip_prefix("member-")?.rsplit_once('-')?;
        Some(Self::new(region, index.parse().ok()?))
    }

    /// Gets the name of the id's lease object in the store.
    pub fn object_name(&self) -> String {
        format!("member-{}-{:05}", self.region, self.index)
    }
}

message! {
    /// `MemberLease` is the value of a member id's lease object in the store.
    pub struct MemberLease {
        /// Host that holds the id.
        pub host: HostId,
        /// Incarnation of the holder's process.
        pub incarnation: Incarnation,
        /// Configuration generation that the holder had in force when it claimed the id.
        pub claimed_generation: Generation,
        /// Address for links from peers.
        pub peer_address: String,
        /// Address for requests forwarded by peers.
        pub forward_address: String,
        /// Address for callers.
        pub caller_address: String,
        /// Address for operators.
        pub operator_address: String,
        /// Region of the holder.
        pub region: RegionId,
        /// Availability zone of the holder.
        pub zone: ZoneId,
        /// Number of renewals; each one changes the object's version.
        pub renewal: u64,
        /// True after a planned stop: the holder no longer uses any of its shares.
        pub released: bool,
        /// Time in milliseconds for which loans or requests of the holder may continue after its
        /// last renewal. A successor waits this long before it uses the base shares.
        pub wait_out_ms: u64,
    }
}

impl MemberLease {
    /// Creates the lease of a holder; the host sets the other fields.
    pub fn new(host: &str, incarnation: Incarnation, peer_address: &str) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            claimed_generation: 0,
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

    /// Tells whether the lease belongs to this incarnation of the host.
    pub fn is_held_by(&self, host: &str, incarnation: Incarnation) -> bool {
        self.host == host && self.incarnation == incarnation
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn object_names_parse_back_into_their_keys() {
        let key = MemberKey::new("lima-norte", 17);
        assert_eq!(key.object_name(), "member-lima-norte-00017");
        assert_eq!(MemberKey::from_object_name(&key.object_name()), Some(key));
        assert_eq!(MemberKey::from_object_name("member-00017"), None);
    }
}

//! The fleet document: regions, links, organisations and bounds that hold everywhere.

use fighall_core::{
    document::ObjectReader,
    field::{FieldSpec, FieldTable},
    ids::{MemberId, OrgId, RegionId, ZoneId},
    message,
};

/// Most member ids of a region.
const MEMBER_LIMIT: u64 = 10_000;

/// Fields of the fleet document.
pub const FLEET_TABLE: FieldTable = FieldTable::new(
    "Fleet document",
    &[
        FieldSpec::text("kind", "`fleet`"),
        FieldSpec::objects("regions", "Regions of the fleet"),
        FieldSpec::objects("links", "Links between regions, one entry a direction"),
        FieldSpec::objects("organisations", "Organisations with their rates"),
        FieldSpec::integer(
            "key_freshness_ms",
            "milliseconds",
            (500, 60_000),
            Some(4_000),
            "Age of the key table beyond which keyed routes are refused",
        ),
        FieldSpec::integer(
            "loan_ms",
            "milliseconds",
            (500, 60_000),
            Some(4_000),
            "Time after which a loan of rate, burst or link share expires",
        ),
        FieldSpec::integer(
            "slot_loan_ms",
            "milliseconds",
            (1_000, 300_000),
            Some(20_000),
            "Time after which a loan of target slots expires; the longest deadline must fit in it",
        ),
        FieldSpec::integer(
            "loan_wait_ms",
            "milliseconds",
            (1, 5_000),
            Some(250),
            "Longest wait of a request for a token before it is refused; four times as long within the rate",
        ),
        FieldSpec::integer(
            "lease_ms",
            "milliseconds",
            (1_000, 600_000),
            Some(6_000),
            "Lease time of a member id",
        ),
        FieldSpec::integer(
            "lookup_ttl_ms",
            "milliseconds",
            (100, 600_000),
            Some(2_000),
            "Lifetime of a look-up answer",
        ),
        FieldSpec::integer(
            "retry_percent",
            "percent of requests",
            (0, 100),
            Some(20),
            "Retry budget",
        ),
    ],
);

/// Fields of a region.
pub const REGION_TABLE: FieldTable = FieldTable::new(
    "Region",
    &[
        FieldSpec::text("name", "Name of the region"),
        FieldSpec::texts("zones", "Names of its availability zones"),
        FieldSpec::integer(
            "members",
            "member ids",
            (1, MEMBER_LIMIT),
            None,
            "Member ids of the region, one for each entry host; quotas are shared out over them",
        ),
    ],
);

/// Fields of a link.
pub const LINK_TABLE: FieldTable = FieldTable::new(
    "Link",
    &[
        FieldSpec::text("from", "Region that sends"),
        FieldSpec::text("to", "Region that receives"),
        FieldSpec::integer(
            "mbit",
            "Mbit/s",
            (1, 1_000_000),
            None,
            "Cap of the traffic in this direction",
        ),
        FieldSpec::integer(
            "burst_kib",
            "KiB",
            (64, 1_048_576),
            Some(4_096),
            "Bytes that may be sent at once on top of the cap",
        ),
    ],
);

/// Fields of an organisation.
pub const ORGANISATION_TABLE: FieldTable = FieldTable::new(
    "Organisation",
    &[
        FieldSpec::text("name", "Name of the organisation"),
        FieldSpec::integer(
            "rate",
            "requests/s",
            (1, 10_000_000),
            None,
            "Requests a second over the whole fleet",
        ),
        FieldSpec::integer(
            "burst",
            "requests",
            (1, 10_000_000),
            None,
            "Requests at once on top of the rate, over the whole fleet",
        ),
        FieldSpec::integer(
            "weight",
            "parts",
            (1, 1_000),
            Some(1),
            "Share of the waiting queues that the organisation is served",
        ),
    ],
);

message! {
    /// `FleetDocument` holds what all services share.
    pub struct FleetDocument {
        /// Regions.
        pub regions: Vec<FleetRegion>,
        /// Links, one for each direction.
        pub links: Vec<RegionLink>,
        /// Organisations.
        pub organisations: Vec<OrganisationLimit>,
        /// Oldest key table that keyed routes are served with, in milliseconds.
        pub key_freshness_ms: u64,
        /// Loan time of rates and links, in milliseconds.
        pub loan_ms: u64,
        /// Loan time of slots, in milliseconds.
        pub slot_loan_ms: u64,
        /// Longest wait for a loan, in milliseconds.
        pub loan_wait_ms: u64,
        /// Lease time of a member id, in milliseconds.
        pub lease_ms: u64,
        /// Lifetime of a look-up answer, in milliseconds.
        pub lookup_ttl_ms: u64,
        /// Retry budget in percent of requests.
        pub retry_percent: u32,
    }
}

message! {
    /// `FleetRegion` is a region with its availability zones.
    pub struct FleetRegion {
        /// Name.
        pub name: RegionId,
        /// Availability zones.
        pub zones: Vec<ZoneId>,
        /// Number of member ids.
        pub members: u32,
    }
}

message! {
    /// `RegionLink` is the cap of the traffic from one region to another.
    pub struct RegionLink {
        /// Region that sends.
        pub from: RegionId,
        /// Region that receives.
        pub to: RegionId,
        /// Cap in Mbit/s.
        pub mbit: u64,
        /// Burst in KiB.
        pub burst_kib: u64,
    }
}

message! {
    /// `OrganisationLimit` is an organisation's rate and burst over the whole fleet.
    pub struct OrganisationLimit {
        /// Name.
        pub name: OrgId,
        /// Requests a second.
        pub rate: u64,
        /// Requests at once.
        pub burst: u64,
        /// Weight in queues.
        pub weight: u64,
    }
}

impl FleetDocument {
    /// Reads the document; findings go to the reader.
    pub fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        reader.text("kind");
        Some(Self {
            regions: reader.objects("regions", &REGION_TABLE, FleetRegion::read),
            links: reader.objects("links", &LINK_TABLE, RegionLink::read),
            organisations: reader.objects(
                "organisations",
                &ORGANISATION_TABLE,
                OrganisationLimit::read,
            ),
            key_freshness_ms: reader.integer("key_freshness_ms"),
            loan_ms: reader.integer("loan_ms"),
            slot_loan_ms: reader.integer("slot_loan_ms"),
            loan_wait_ms: reader.integer("loan_wait_ms"),
            lease_ms: reader.integer("lease_ms"),
            lookup_ttl_ms: reader.integer("lookup_ttl_ms"),
            retry_percent: u32::try_from(reader.integer("retry_percent")).unwrap_or(0),
        })
    }

    /// Finds the region that a zone belongs to.
    pub fn region_of_zone(&self, zone: &str) -> Option<&FleetRegion> {
        let holds = |region: &&FleetRegion| region.zones.iter().any(|name| name == zone);
        self.regions.iter().find(holds)
    }

    /// Gets the number of member ids of the fleet.
    pub fn members(&self) -> u32 {
        self.regions.iter().map(|region| region.members).sum()
    }

    /// Gets the number of member ids of a region.
    pub fn members_in(&self, region: &str) -> u32 {
        let found = self.regions.iter().find(|known| known.name == region);
        found.map_or(0, |region| region.members)
    }

    /// Gets the position of a region's member among those of the whole fleet, in the order of the
    /// regions. An index beyond the region's members has none.
    pub fn fleet_member(&self, region: &str, member: MemberId) -> Option<MemberId> {
        let mut first = 0;
        for candidate in &self.regions {
            if candidate.name == region {
                return (member < candidate.members).then_some(first + member);
            }
            first += candidate.members;
        }
        None
    }

    /// Finds an organisation's limit.
    pub fn organisation(&self, name: &str) -> Option<&OrganisationLimit> {
        self.organisations.iter().find(|limit| limit.name == name)
    }
}

impl FleetRegion {
    fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        let region = Self {
            name: reader.name("name"),
            zones: reader.texts("zones"),
            members: u32::try_from(reader.integer("members")).unwrap_or(1),
        };
        if region.zones.is_empty() {
            reader.report("zones", "a region needs at least one zone");
        }
        Some(region)
    }
}

impl RegionLink {
    fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        let link = Self {
            from: reader.name("from"),
            to: reader.name("to"),
            mbit: reader.integer("mbit"),
            burst_kib: reader.integer("burst_kib"),
        };
        if link.from == link.to {
            reader.report("to", "a link must lead to another region");
        }
        Some(link)
    }
}

impl OrganisationLimit {
    fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        Some(Self {
            name: reader.name("name"),
            rate: reader.integer("rate"),
            burst: reader.integer("burst"),
            weight: reader.integer("weight"),
        })
    }
}

//! The service document: hosts, routes and targets of one service.

use fighall_core::{
    document::ObjectReader,
    field::{FieldSpec, FieldTable},
    ids::{RegionId, ServiceId, TargetId, ZoneId},
    message,
};
use std::net::SocketAddr;

/// Fields of a service document.
pub const SERVICE_TABLE: FieldTable = FieldTable::new(
    "Service document",
    &[
        FieldSpec::text("kind", "`service`"),
        FieldSpec::text("name", "Name of the service"),
        FieldSpec::texts("hosts", "Host names that callers use"),
        FieldSpec::texts(
            "prefixes",
            "Path prefixes that lead here under any host name",
        ),
        FieldSpec::objects("routes", "Routes; the longest matching path wins"),
        FieldSpec::objects("targets", "Targets"),
        FieldSpec::text_or("load_path", "", "Path at which a target reports its load"),
        FieldSpec::text_or("health_path", "", "Path of a target's light probe"),
        FieldSpec::integer(
            "probe_ms",
            "milliseconds",
            (100, 600_000),
            Some(2_000),
            "Interval between probes of a target by the one host that probes it",
        ),
        FieldSpec::integer(
            "slow_start_ms",
            "milliseconds",
            (0, 600_000),
            Some(5_000),
            "Time over which a new or returning target is brought to its full share",
        ),
    ],
);

/// Fields of a route.
pub const ROUTE_TABLE: FieldTable = FieldTable::new(
    "Route",
    &[
        FieldSpec::text("path", "Path prefix"),
        FieldSpec::texts("methods", "Methods taken; empty takes all"),
        FieldSpec::texts(
            "idempotent",
            "Methods that may be sent again after an unknown outcome",
        ),
        FieldSpec::flag("open", false, "Whether the route is served without a key"),
        FieldSpec::flag(
            "affinity",
            false,
            "Keeps requests of the same path and query on few targets, for their caches",
        ),
        FieldSpec::integer(
            "deadline_ms",
            "milliseconds",
            (10, 300_000),
            Some(3_000),
            "Time from the arrival of a request to the end of its answer's head",
        ),
        FieldSpec::integer(
            "body_limit_kib",
            "KiB",
            (0, 1_048_576),
            Some(1_024),
            "Largest request body",
        ),
    ],
);

/// Fields of a target.
pub const TARGET_TABLE: FieldTable = FieldTable::new(
    "Target",
    &[
        FieldSpec::text("name", "Name of the target, unique in the fleet"),
        FieldSpec::text("address", "IP address and port"),
        FieldSpec::text("zone", "Availability zone"),
        FieldSpec::integer(
            "slots",
            "requests",
            (1, 100_000),
            None,
            "Requests that it serves at once",
        ),
        FieldSpec::integer(
            "connections",
            "connections",
            (1, 1_000_000),
            Some(330),
            "Connections that it takes at once, over all hosts",
        ),
    ],
);

message! {
    /// `ServiceDocument` describes one service.
    pub struct ServiceDocument {
        /// Name.
        pub name: ServiceId,
        /// Host names.
        pub hosts: Vec<String>,
        /// Path prefixes.
        pub prefixes: Vec<String>,
        /// Routes.
        pub routes: Vec<ServiceRoute>,
        /// Targets.
        pub targets: Vec<ServiceTarget>,
        /// Path of the load report, or empty.
        pub load_path: String,
        /// Path of the probe, or empty.
        pub health_path: String,
        /// Probe interval in milliseconds.
        pub probe_ms: u64,
        /// Slow start in milliseconds.
        pub slow_start_ms: u64,
    }
}

message! {
    /// `ServiceRoute` is the policy of a path prefix.
    pub struct ServiceRoute {
        /// Path prefix.
        pub path: String,
        /// Methods taken; empty takes all.
        pub methods: Vec<String>,
        /// Methods that may be repeated.
        pub idempotent: Vec<String>,
        /// Whether no key is needed.
        pub open: bool,
        /// Whether requests of the same path and query are kept on few targets.
        #[serde(default)]
        pub affinity: bool,
        /// Deadline in milliseconds.
        pub deadline_ms: u64,
        /// Largest request body in KiB.
        pub body_limit_kib: u64,
    }
}

message! {
    /// `ServiceTarget` is one target of a service.
    pub struct ServiceTarget {
        /// Name.
        pub name: TargetId,
        /// Address.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: ZoneId,
        /// Region of the zone; filled in when the configuration is assembled.
        #[serde(default)]
        pub region: RegionId,
        /// Requests at once.
        pub slots: u32,
        /// Connections at once.
        pub connections: u32,
    }
}

impl ServiceDocument {
    /// Reads the document; findings go to the reader.
    pub fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        reader.text("kind");
        let service = Self {
            name: reader.name("name"),
            hosts: lower_case(reader.texts("hosts")),
            prefixes: reader.texts("prefixes"),
            routes: reader.objects("routes", &ROUTE_TABLE, ServiceRoute::read),
            targets: reader.objects("targets", &TARGET_TABLE, |target| {
                ServiceTarget::read(target)
            }),
            load_path: reader.text("load_path"),
            health_path: reader.text("health_path"),
            probe_ms: reader.integer("probe_ms"),
            slow_start_ms: reader.integer("slow_start_ms"),
        };
        if service.hosts.is_empty() && service.prefixes.is_empty() {
            reader.report("hosts", "a service needs a host name or a path prefix");
        }
        if service.routes.is_empty() {
            reader.report("routes", "a service needs at least one route");
        }
        for prefix in &service.prefixes {
            report_bad_path(reader, "prefixes", prefix);
        }
        for path in [&service.load_path, &service.health_path] {
            if !path.is_empty() {
                report_bad_path(reader, "load_path", path);
            }
        }
        Some(service)
    }
}

impl ServiceRoute {
    fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        let route = Self {
            path: reader.text("path"),
            methods: reader.texts("methods"),
            idempotent: reader.texts("idempotent"),
            open: reader.flag("open"),
            affinity: reader.flag("affinity"),
            deadline_ms: reader.integer("deadline_ms"),
            body_limit_kib: reader.integer("body_limit_kib"),
        };
        report_bad_path(reader, "path", &route.path);
        for field in ["methods", "idempotent"] {
            let methods = if field == "methods" {
                &route.methods
            } else {
                &route.idempotent
            };
            for method in methods {
                if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
                    reader.report(field, format!("`{method}` is not a method"));
                }
            }
        }
        Some(route)
    }

    /// Tells whether the route takes a method.
    pub fn takes(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|name| name == method)
    }

    /// Tells whether a request of this method may be repeated after an unknown outcome.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.iter().any(|name| name == method)
    }
}

impl ServiceTarget {
    fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        let name = reader.name("name");
        let zone = reader.name("zone");
        let slots = u32::try_from(reader.integer("slots")).unwrap_or(1);
        let connections = u32::try_from(reader.integer("connections")).unwrap_or(1);
        if connections < slots {
            reader.report(
                "connections",
                "`connections` must not be fewer than `slots`",
            );
        }
        Some(Self {
            name,
            address: reader.parsed("address")?,
            zone,
            region: RegionId::new(),
            slots,
            connections,
        })
    }
}

fn lower_case(names: Vec<String>) -> Vec<String> {
    let lower = names.into_iter().map(|name| name.to_ascii_lowercase());
    lower.collect()
}

fn report_bad_path(reader: &ObjectReader<'_, '_>, field: &str, path: &str) {
    if reader.has(field) && !path.starts_with('/') {
        reader.report(field, format!("`{path}` must start with `/`"));
    }
}

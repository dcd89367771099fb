//! What a local cluster publishes: its fleet, its service and keys.

use super::{LocalCluster, Result, SERVICE, SERVICE_HOST, zone_name};
use fighall_config::{
    fleet::{FleetDocument, FleetRegion, RegionLink},
    keys::{KeyEntry, KeyState},
    publish::{PublishOptions, PublishReport, publish},
    service::{ServiceDocument, ServiceRoute, ServiceTarget},
    source::{ConfigDocument, SourceDocument},
};
use fighall_core::{
    clock::wall_millis,
    finding::SourcePosition,
    secret::{key_digest, new_key},
};
use fighall_store::object::kinds::KEYS;

impl LocalCluster {
    /// Issues a key of an organisation. Callers present the first one.
    ///
    /// # Errors
    ///
    /// Returns the error of reading randomness.
    pub fn issue_key(&mut self, organisation: &str) -> Result<String> {
        let key = new_key()?;
        self.write_key(&key, organisation, KeyState::Active);
        let first = self.keys.entry(organisation.to_owned());
        first.or_insert_with(|| key.clone());
        Ok(key)
    }

    /// Withdraws a key.
    pub fn withdraw_key(&self, key: &str, organisation: &str) {
        self.write_key(key, organisation, KeyState::Withdrawn);
    }

    fn write_key(&self, key: &str, organisation: &str, state: KeyState) {
        let entry = KeyEntry {
            organisation: organisation.to_owned(),
            state,
            issued_at: wall_millis(),
            note: String::new(),
        };
        let text = serde_json::to_string(&entry).unwrap_or_default();
        self.platform.put(KEYS, &key_digest(key), &text);
    }

    /// Publishes the plan as it is now.
    ///
    /// # Errors
    ///
    /// Returns an error when it has findings or the store does not answer.
    pub async fn publish_all(&self) -> Result<PublishReport> {
        let documents = vec![
            ConfigDocument::Fleet(self.fleet_document()),
            ConfigDocument::Service(self.service_document()),
        ];
        self.publish(documents).await
    }

    /// Publishes documents.
    ///
    /// # Errors
    ///
    /// Returns an error when they have findings or the store does not answer.
    pub async fn publish(&self, documents: Vec<ConfigDocument>) -> Result<PublishReport> {
        let place = SourcePosition {
            file: "cluster".to_owned(),
            line: 1,
            column: 1,
        };
        let sources = documents.into_iter().map(|document| SourceDocument {
            place: place.clone(),
            document,
        });
        let options = PublishOptions {
            author: "cluster".to_owned(),
            publication: format!("{}-{}", wall_millis(), fastrand::u64(..)),
            ..PublishOptions::default()
        };
        Ok(publish(&self.store, sources.collect(), &options).await?)
    }

    /// Creates the fleet document of the plan.
    pub fn fleet_document(&self) -> FleetDocument {
        let plan = &self.plan;
        let mut regions = Vec::new();
        let mut links = Vec::new();
        for region in &plan.regions {
            regions.push(FleetRegion {
                name: region.clone(),
                zones: vec![zone_name(region, 0), zone_name(region, 1)],
                members: plan.hosts,
            });
            for other in plan.regions.iter().filter(|other| *other != region) {
                links.push(RegionLink {
                    from: region.clone(),
                    to: other.clone(),
                    mbit: plan.link_mbit,
                    burst_kib: 4_096,
                });
            }
        }
        FleetDocument {
            regions,
            links,
            organisations: plan.organisations.clone(),
            key_freshness_ms: 4_000,
            loan_ms: 3_000,
            slot_loan_ms: plan.slot_loan_ms,
            loan_wait_ms: 250,
            lease_ms: plan.lease_ms,
            lookup_ttl_ms: plan.lookup_ttl_ms,
            retry_percent: 20,
        }
    }

    /// Creates the service document of the plan.
    pub fn service_document(&self) -> ServiceDocument {
        let mut targets = Vec::new();
        for (name, target) in &self.targets {
            let (region, index) = name.rsplit_once("-t").unwrap_or((name, "0"));
            let index = index.parse().unwrap_or(0);
            targets.push(ServiceTarget {
                name: name.clone(),
                address: target.address(),
                zone: zone_name(region, index),
                region: String::new(),
                slots: self.plan.slots,
                connections: 330,
            });
        }
        ServiceDocument {
            name: SERVICE.to_owned(),
            hosts: vec![SERVICE_HOST.to_owned()],
            prefixes: Vec::new(),
            routes: vec![
                route("/", false, self.plan.deadline_ms),
                route("/open", true, self.plan.deadline_ms),
                route("/cached", false, self.plan.deadline_ms),
            ],
            targets,
            load_path: "/load".to_owned(),
            health_path: "/health".to_owned(),
            probe_ms: 1_000,
            slow_start_ms: 1_000,
        }
    }
}

fn route(path: &str, open: bool, deadline_ms: u64) -> ServiceRoute {
    ServiceRoute {
        path: path.to_owned(),
        methods: Vec::new(),
        idempotent: vec!["GET".to_owned(), "HEAD".to_owned()],
        open,
        affinity: path == "/cached",
        deadline_ms,
        body_limit_kib: 1_024,
    }
}

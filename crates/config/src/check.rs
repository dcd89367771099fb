//! Checks over all documents of a configuration together.

use crate::{
    fleet::FleetDocument,
    service::ServiceDocument,
    source::{ConfigDocument, SourceDocument},
};
use fighall_core::finding::{FindingList, SourcePosition};
use std::collections::{BTreeMap, BTreeSet};

/// Checks what no single document can show: references between documents and names that must be
/// unique in the fleet.
pub fn check_documents(documents: &[SourceDocument]) -> FindingList {
    let mut check = FleetCheck::default();
    for source in documents {
        check.claim("document", &source.document.label(), &source.place);
    }
    let fleet = documents.iter().find_map(|source| match &source.document {
        ConfigDocument::Fleet(fleet) => Some((fleet, &source.place)),
        _ => None,
    });
    let Some((fleet, place)) = fleet else {
        if let Some(first) = documents.first() {
            check.findings.push(
                first.place.clone(),
                "the configuration has no fleet document",
            );
        }
        return check.findings;
    };
    check.check_fleet(fleet, place);
    for source in documents {
        match &source.document {
            ConfigDocument::Service(service) => check.check_service(fleet, service, &source.place),
            ConfigDocument::Blocks(blocks) => {
                for block in &blocks.blocks {
                    check.check_region(fleet, &block.region, &source.place);
                    check.claim("client block", &block.prefix.to_string(), &source.place);
                }
            }
            ConfigDocument::Fleet(_) => {}
        }
    }
    check.findings
}

#[derive(Default)]
struct FleetCheck {
    findings: FindingList,
    names: BTreeMap<String, SourcePosition>,
}

impl FleetCheck {
    fn claim(&mut self, what: &str, name: &str, place: &SourcePosition) {
        let key = format!("{what} `{name}`");
        if let Some(first) = self.names.get(&key) {
            let message = format!("{key} stands twice; first in {}", first.file);
            self.findings.push(place.clone(), message);
            return;
        }
        self.names.insert(key, place.clone());
    }

    fn check_region(&mut self, fleet: &FleetDocument, region: &str, place: &SourcePosition) {
        if !fleet.regions.iter().any(|known| known.name == region) {
            let message = format!("region `{region}` is not in the fleet document");
            self.findings.push(place.clone(), message);
        }
    }

    fn check_fleet(&mut self, fleet: &FleetDocument, place: &SourcePosition) {
        for region in &fleet.regions {
            self.claim("region", &region.name, place);
            for zone in &region.zones {
                self.claim("zone", zone, place);
            }
        }
        for organisation in &fleet.organisations {
            self.claim("organisation", &organisation.name, place);
        }
        let mut linked = BTreeSet::new();
        for link in &fleet.links {
            self.claim("link", &format!("{} to {}", link.from, link.to), place);
            self.check_region(fleet, &link.from, place);
            self.check_region(fleet, &link.to, place);
            linked.insert((link.from.clone(), link.to.clone()));
        }
        for (from, to) in &linked {
            if !linked.contains(&(to.clone(), from.clone())) {
                let message = format!("link `{from}` to `{to}` has no way back");
                self.findings.push(place.clone(), message);
            }
        }
    }

    fn check_service(
        &mut self,
        fleet: &FleetDocument,
        service: &ServiceDocument,
        place: &SourcePosition,
    ) {
        for host in &service.hosts {
            self.claim("host name", host, place);
        }
        for prefix in &service.prefixes {
            self.claim("path prefix", prefix, place);
        }
        for target in &service.targets {
            self.claim("target", &target.name, place);
            self.claim("target address", &target.address.to_string(), place);
            if fleet.region_of_zone(&target.zone).is_none() {
                let message = format!(
                    "target `{}`: zone `{}` is not in the fleet document",
                    target.name, target.zone
                );
                self.findings.push(place.clone(), message);
            }
        }
        for route in &service.routes {
            self.claim(
                "route",
                &format!("{} of {}", route.path, service.name),
                place,
            );
            if route.deadline_ms >= fleet.slot_loan_ms {
                let message = format!(
                    "route `{}`: `deadline_ms` must be below the fleet's `slot_loan_ms` of {}",
                    route.path, fleet.slot_loan_ms
                );
                self.findings.push(place.clone(), message);
            }
        }
    }
}

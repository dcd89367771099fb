//! `fighall-ctl status`.

use crate::{access::FleetAccess, errors::Result, table::TextTable};
use fighall_core::{
    ids::{HostId, OrgId, RegionId},
    message,
};
use fighall_entry::status::{HostStatus, OrgServed};
use std::{cmp::Reverse, collections::BTreeMap};

message! {
    /// `FleetOverview` is the fleet as its hosts see it.
    pub struct FleetOverview {
        /// Hosts that answered.
        pub hosts: Vec<HostStatus>,
        /// Hosts that hold a member id and did not answer, with the cause.
        pub silent: BTreeMap<HostId, String>,
        /// Headroom by region.
        pub headroom: Vec<RegionHeadroom>,
        /// Organisations, the worst served first.
        pub organisations: Vec<OrgLoad>,
    }
}

message! {
    /// `RegionHeadroom` is the room of a region's targets.
    pub struct RegionHeadroom {
        /// Region.
        pub region: RegionId,
        /// Slots of targets that take work.
        pub slots: u32,
        /// Requests there.
        pub busy: u32,
    }
}

message! {
    /// `OrgLoad` is an organisation's demand over the fleet. Rates are in thousandths a second.
    pub struct OrgLoad {
        /// Organisation.
        pub organisation: OrgId,
        /// Limit.
        pub limit: u64,
        /// Demand.
        pub demand: u64,
        /// What became of its requests at the hosts that answered.
        pub served: OrgServed,
    }
}

impl OrgLoad {
    fn new(organisation: &str) -> Self {
        Self {
            organisation: organisation.to_owned(),
            limit: 0,
            demand: 0,
            served: OrgServed::default(),
        }
    }

    // Part of the requests that were answered, in percent; all of none.
    fn served_percent(&self) -> u64 {
        let total = self.served.answered + self.served.refused;
        (self.served.answered * 100)
            .checked_div(total)
            .unwrap_or(100)
    }
}

/// Collects the overview.
///
/// # Errors
///
/// Returns the store's error; hosts that do not answer are part of the overview.
pub async fn collect(access: &FleetAccess) -> Result<FleetOverview> {
    let mut hosts = Vec::new();
    let mut silent = BTreeMap::new();
    for lease in access.leases().await? {
        match access.page::<HostStatus>(&lease, "/status").await {
            Ok(status) => hosts.push(status),
            Err(error) => {
                silent.insert(lease.host, error.to_string());
            }
        }
    }
    Ok(FleetOverview {
        headroom: headroom(&hosts),
        organisations: organisations(&hosts),
        hosts,
        silent,
    })
}

/// Prints the overview.
///
/// # Errors
///
/// Returns the store's error.
pub async fn run(access: &FleetAccess) -> Result<()> {
    let overview = collect(access).await?;
    if access.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&overview).unwrap_or_default()
        );
        return Ok(());
    }
    print!("{}", host_table(&overview));
    for (host, cause) in &overview.silent {
        println!("{host} does not answer: {cause}");
    }
    println!();
    let mut table = TextTable::new(&["REGION", "SLOTS", "BUSY", "FREE %"]);
    for row in &overview.headroom {
        let free = row.slots.saturating_sub(row.busy) * 100 / row.slots.max(1);
        table.push(&[
            row.region.clone(),
            row.slots.to_string(),
            row.busy.to_string(),
            free.to_string(),
        ]);
    }
    println!("{table}");
    let mut table = TextTable::new(&[
        "ORGANISATION",
        "RATE/s",
        "DEMAND/s",
        "USED %",
        "ANSWERED",
        "REFUSED",
        "WITHIN RATE",
        "SERVED %",
    ]);
    for row in &overview.organisations {
        table.push(&[
            row.organisation.clone(),
            (row.limit / 1_000).to_string(),
            (row.demand / 1_000).to_string(),
            (row.demand * 100 / row.limit.max(1)).to_string(),
            row.served.answered.to_string(),
            row.served.refused.to_string(),
            row.served.refused_within_rate.to_string(),
            row.served_percent().to_string(),
        ]);
    }
    print!("{table}");
    Ok(())
}

fn host_table(overview: &FleetOverview) -> TextTable {
    let mut table = TextTable::new(&[
        "HOST",
        "REGION",
        "ZONE",
        "STAGE",
        "GENERATION",
        "MEMBER",
        "SHARES",
        "STORE",
        "KEYS",
        "PEERS UP",
        "WORK",
    ]);
    for host in &overview.hosts {
        let up = host.peers.iter().filter(|peer| peer.link == "up").count();
        let member = host
            .member
            .map_or("none".to_owned(), |member| member.to_string());
        table.push(&[
            host.host.clone(),
            host.region.clone(),
            host.zone.clone(),
            host.stage.clone(),
            host.generation.to_string(),
            member,
            if host.active { "in use" } else { "resting" }.to_owned(),
            if host.store_up { "up" } else { "down" }.to_owned(),
            if host.keys_fresh { "fresh" } else { "stale" }.to_owned(),
            format!("{up}/{}", host.peers.len()),
            host.work.to_string(),
        ]);
    }
    table
}

// The hosts of a region know its targets best; the highest count of each is taken.
fn headroom(hosts: &[HostStatus]) -> Vec<RegionHeadroom> {
    let mut targets = BTreeMap::new();
    for host in hosts {
        for target in &host.targets {
            if target.region != host.region || target.state != "up" {
                continue;
            }
            let known = targets
                .entry(target.target.clone())
                .or_insert_with(|| (target.region.clone(), target.slots, 0));
            known.2 = known.2.max(target.busy);
        }
    }
    let mut regions: BTreeMap<RegionId, RegionHeadroom> = BTreeMap::new();
    for (region, slots, busy) in targets.into_values() {
        let row = regions.entry(region.clone()).or_insert(RegionHeadroom {
            region,
            slots: 0,
            busy: 0,
        });
        row.slots += slots;
        row.busy += busy;
    }
    regions.into_values().collect()
}

fn organisations(hosts: &[HostStatus]) -> Vec<OrgLoad> {
    let mut loads: BTreeMap<OrgId, OrgLoad> = BTreeMap::new();
    for host in hosts {
        for share in &host.shares {
            let Some(organisation) = share.quota.strip_prefix("organisation/") else {
                continue;
            };
            let row = loads.entry(organisation.to_owned());
            let row = row.or_insert_with(|| OrgLoad::new(organisation));
            row.limit = row.limit.max(share.limit);
            row.demand += share.demand;
        }
        for counts in &host.served {
            let row = loads.entry(counts.organisation.clone());
            let row = row.or_insert_with(|| OrgLoad::new(&counts.organisation));
            row.served.answered += counts.answered;
            row.served.refused += counts.refused;
            row.served.refused_within_rate += counts.refused_within_rate;
        }
    }
    let mut rows: Vec<_> = loads.into_values().collect();
    // Refusals within the rate weigh most: these are the system's, not the organisation's.
    rows.sort_by_key(|row| {
        let used = row.demand * 1_000 / row.limit.max(1);
        let within_rate = row.served.refused_within_rate;
        (Reverse(within_rate), row.served_percent(), Reverse(used))
    });
    rows
}

#[cfg(test)]
mod tests {
    use super::*;

    fn load(
        organisation: &str,
        answered: u64,
        refused: u64,
        refused_within_rate: u64,
    ) -> OrgServed {
        OrgServed {
            organisation: organisation.to_owned(),
            answered,
            refused,
            refused_within_rate,
        }
    }

    fn status(served: Vec<OrgServed>) -> HostStatus {
        HostStatus {
            host: "lima-0".to_owned(),
            incarnation: 1,
            region: "lima".to_owned(),
            zone: "lima-a".to_owned(),
            stage: "running".to_owned(),
            generation: 1,
            member: Some(0),
            active: true,
            store_up: true,
            keys_fresh: true,
            keys_version: 1,
            work: 0,
            peers: Vec::new(),
            shares: Vec::new(),
            targets: Vec::new(),
            served,
        }
    }

    #[test]
    fn the_worst_served_organisation_comes_first() {
        let hosts = [
            status(vec![load("loud", 10, 90, 0), load("quiet", 50, 0, 0)]),
            status(vec![load("wronged", 99, 1, 1), load("quiet", 50, 0, 0)]),
        ];
        let rows = organisations(&hosts);
        let names: Vec<_> = rows.iter().map(|row| row.organisation.as_str()).collect();
        assert_eq!(names, ["wronged", "loud", "quiet"]);
        assert_eq!(rows[1].served_percent(), 10);
        assert_eq!(rows[2].served.answered, 100);
    }
}

//! What the tests on clusters share.
#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "each test file uses a part"
)]

use fighall_testkit::{
    cluster::{ClusterPlan, LocalCluster, SERVICE, SERVICE_HOST, organisation},
    load::LoadStream,
    record::TargetRecord,
};
use std::sync::Mutex;

/// Clusters share the machine's cores: one at a time keeps their timing clean.
static ONE_CLUSTER: Mutex<()> = Mutex::new(());

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    let _one = ONE_CLUSTER
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

/// One region with three entry hosts and four targets.
pub fn small() -> ClusterPlan {
    ClusterPlan {
        regions: vec!["lima".to_owned()],
        ..ClusterPlan::default()
    }
}

/// Two regions with three entry hosts and four targets each.
pub fn pair() -> ClusterPlan {
    ClusterPlan {
        regions: ["lima", "arequipa"].map(str::to_owned).to_vec(),
        ..ClusterPlan::default()
    }
}

/// A plan with the given organisations.
pub fn with_rates(mut plan: ClusterPlan, rates: &[(&str, u64, u64)]) -> ClusterPlan {
    plan.organisations = rates
        .iter()
        .map(|(name, rate, burst)| organisation(name, *rate, *burst))
        .collect();
    plan
}

/// A stream of an organisation's requests, named by both.
pub fn stream(cluster: &LocalCluster, organisation: &str, method: &str, rate: f64) -> LoadStream {
    LoadStream {
        name: format!("{organisation}-{method}"),
        organisation: organisation.to_owned(),
        key: cluster.key(organisation),
        service: SERVICE.to_owned(),
        host: SERVICE_HOST.to_owned(),
        method: method.to_owned(),
        target: "/quotes".to_owned(),
        rate,
        ..LoadStream::default()
    }
}

/// What all targets have seen.
pub fn records(cluster: &LocalCluster) -> Vec<TargetRecord> {
    cluster
        .targets
        .values()
        .map(|target| target.record())
        .collect()
}

/// Bytes that the hosts of a region sent over the link to another one, by their own metrics.
pub fn link_bytes(cluster: &LocalCluster, from: &str, to: &str) -> f64 {
    let mut sum = 0.0;
    for node in cluster.nodes.values() {
        if node.identity().region != from {
            continue;
        }
        let metrics = node
            .kernel()
            .find::<fighall_entry::metrics::EntryMetrics>(fighall_entry::names::METRICS)
            .unwrap();
        let bytes = metrics.link_bytes.with_label_values(&[to]).get();
        sum += f64::from(u32::try_from(bytes).unwrap());
    }
    sum
}

/// What all hosts hold of an organisation's rate and burst, in whole tokens.
pub fn held_of(cluster: &LocalCluster, organisation: &str) -> (f64, f64) {
    let key = fighall_quota::loan::QuotaKey::Organisation(organisation.to_owned());
    let (mut rate, mut capacity) = (0, 0);
    for node in cluster.nodes.values() {
        let quotas = node
            .kernel()
            .find::<fighall_entry::quotas::QuotaService>(fighall_entry::names::QUOTAS)
            .unwrap();
        for (known, view) in quotas.views() {
            if known == key {
                rate += view.held.rate;
                capacity += view.held.capacity;
            }
        }
    }
    let tokens = |amount: u64| f64::from(u32::try_from(amount / 1_000).unwrap()) / 1_000.0;
    (tokens(rate), tokens(capacity))
}

//! Prometheus metrics of what the hosts of each availability zone have in force.

use crate::{
    rollout::FleetVersions,
    settings_status::{SettingsStatus, format_digest},
};
use prometheus::{Gauge, IntGaugeVec, Opts, Registry};
use std::cell::RefCell;

/// `RolloutMetrics` are the metrics of versions in force, by availability zone.
#[derive(Debug)]
pub struct RolloutMetrics {
    hosts: IntGaugeVec,
    hosts_behind: IntGaugeVec,
    policy: IntGaugeVec,
    targets: IntGaugeVec,
    evacuations: IntGaugeVec,
    settings_hosts: IntGaugeVec,
    own_settings: IntGaugeVec,
    settings_read: Gauge,
    shown: RefCell<(SettingsStatus, FleetVersions)>,
}

impl RolloutMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric is invalid or registered twice.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let settings_read = Gauge::new(
            "fighall_settings_read_timestamp_seconds",
            "Time at which the settings in force were read",
        )?;
        registry.register(Box::new(settings_read.clone()))?;
        Ok(Self {
            hosts: gauge("fighall_zone_hosts", "Live hosts of the zone", &["zone"])?,
            hosts_behind: gauge(
                "fighall_zone_hosts_behind",
                "Hosts of the zone without the latest policy",
                &["zone"],
            )?,
            policy: gauge(
                "fighall_zone_policy_version",
                "Lowest traffic policy in force at a host of the zone",
                &["zone"],
            )?,
            targets: gauge(
                "fighall_zone_targets_version",
                "Lowest store version of the targets at a host of the zone",
                &["zone"],
            )?,
            evacuations: gauge(
                "fighall_zone_evacuations_version",
                "Lowest store version of the evacuations at a host of the zone",
                &["zone"],
            )?,
            settings_hosts: gauge(
                "fighall_zone_settings_hosts",
                "Hosts of the zone by the digest of the settings that hosts share",
                &["zone", "settings"],
            )?,
            own_settings: gauge(
                "fighall_settings",
                "Digests of the settings in force at this host",
                &["shared", "own"],
            )?,
            settings_read,
            shown: RefCell::default(),
        })
    }

    /// Sets the metrics; those of zones without live hosts are dropped.
    pub fn update(&self, status: &SettingsStatus, versions: &FleetVersions) {
        let mut shown = self.shown.borrow_mut();
        if shown.0 == *status && shown.1 == *versions {
            return;
        }
        *shown = (*status, versions.clone());
        let zone_gauges = [
            &self.hosts,
            &self.hosts_behind,
            &self.policy,
            &self.targets,
            &self.evacuations,
            &self.settings_hosts,
            &self.own_settings,
        ];
        for gauge in zone_gauges {
            gauge.reset();
        }
        for (zone, versions) in versions {
            let labels = [zone.as_str()];
            let set = |gauge: &IntGaugeVec, value: u64| {
                let value = i64::try_from(value).unwrap_or(i64::MAX);
                gauge.with_label_values(&labels).set(value);
            };
            set(&self.hosts, versions.hosts.into());
            set(&self.hosts_behind, versions.hosts_behind.into());
            set(&self.policy, versions.policy);
            set(&self.targets, versions.targets);
            set(&self.evacuations, versions.evacuations);
            for (digest, hosts) in &versions.settings {
                let labels = [zone.as_str(), &format_digest(*digest)];
                let gauge = self.settings_hosts.with_label_values(&labels);
                gauge.set((*hosts).into());
            }
        }
        let labels = [format_digest(status.shared), format_digest(status.own)];
        self.own_settings.with_label_values(&labels).set(1);
        let read_at = std::time::Duration::from_millis(status.read_at_ms);
        self.settings_read.set(read_at.as_secs_f64());
    }
}

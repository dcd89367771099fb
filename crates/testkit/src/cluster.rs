//! Entry hosts, targets and the store of a deployment in one process, on loopback.

mod documents;
mod hosts;

use crate::{
    behaviour::TargetBehaviour,
    caller::FleetCaller,
    network::{NetworkDelays, NetworkStandIn},
    platform::PlatformStandIn,
    target::TargetStandIn,
};
use fighall_config::{
    fleet::OrganisationLimit,
    listing::{HostRole, HostState, ListedHost},
};
use fighall_core::value;
use fighall_entry::{errors::Error as EntryError, node::EntryNode};
use fighall_store::{
    client::{ClientOptions, StoreClient},
    object::kinds::HOSTS,
};
use snafu::Snafu;
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

/// `ClusterError` is why a cluster could not be started or changed.
#[derive(Debug, Snafu)]
pub enum ClusterError {
    /// A socket or file failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// An entry host could not start.
    #[snafu(display("{source}"), context(false))]
    Entry {
        /// Cause.
        source: EntryError,
    },
    /// The configuration could not be published.
    #[snafu(display("{source}"), context(false))]
    Config {
        /// Cause.
        source: fighall_config::errors::Error,
    },
    /// The store gave no usable answer.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Cause.
        source: fighall_store::errors::Error,
    },
    /// The hosts were not ready in time.
    #[snafu(display("the hosts were not ready in time"))]
    NotReady,
}

/// Result of the cluster's operations.
pub type Result<T> = std::result::Result<T, ClusterError>;

value! {
    /// `ClusterPlan` describes a deployment on loopback.
    pub struct ClusterPlan {
        /// Regions, each with two availability zones.
        pub regions: Vec<String>,
        /// Entry hosts in each region.
        pub hosts: u32,
        /// Targets in each region.
        pub targets: u32,
        /// Slots of a target.
        pub slots: u32,
        /// Behaviour of the targets.
        pub behaviour: TargetBehaviour,
        /// Organisations.
        pub organisations: Vec<OrganisationLimit>,
        /// Cap of each link in Mbit/s.
        pub link_mbit: u64,
        /// Deadline of the routes in milliseconds.
        pub deadline_ms: u64,
        /// Lifetime of look-up answers in milliseconds.
        pub lookup_ttl_ms: u64,
        /// Lease time in milliseconds.
        pub lease_ms: u64,
        /// Loan time of slots in milliseconds.
        pub slot_loan_ms: u64,
        /// Delays of the network; without them hosts talk directly.
        pub delays: Option<NetworkDelays>,
    }
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            regions: ["lima", "arequipa", "iquitos"].map(str::to_owned).to_vec(),
            hosts: 3,
            targets: 4,
            slots: 9,
            behaviour: TargetBehaviour::default(),
            organisations: vec![
                organisation("andes", 200, 100),
                organisation("brisa", 200, 100),
            ],
            link_mbit: 4_000,
            deadline_ms: 2_000,
            lookup_ttl_ms: 500,
            lease_ms: 2_000,
            slot_loan_ms: 5_000,
            delays: None,
        }
    }
}

/// Creates an organisation's limit.
pub fn organisation(name: &str, rate: u64, burst: u64) -> OrganisationLimit {
    OrganisationLimit {
        name: name.to_owned(),
        rate,
        burst,
        weight: 1,
    }
}

/// Host name of the service that clusters run.
pub const SERVICE_HOST: &str = "desk.example";
/// Name of the service that clusters run.
pub const SERVICE: &str = "desk";

/// `LocalCluster` is a running deployment.
#[derive(Debug)]
pub struct LocalCluster {
    /// What was asked for.
    pub plan: ClusterPlan,
    /// The store.
    pub platform: PlatformStandIn,
    /// Targets by name.
    pub targets: BTreeMap<String, TargetStandIn>,
    /// Entry hosts by name.
    pub nodes: BTreeMap<String, Rc<EntryNode>>,
    /// Keys by organisation.
    pub keys: BTreeMap<String, String>,
    /// A client of the store, for operators' work.
    pub store: StoreClient,
    /// The network, where the plan has delays.
    pub network: Option<Rc<NetworkStandIn>>,
}

impl LocalCluster {
    /// Starts everything and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// Returns an error when a part cannot start or is not ready in time.
    pub async fn start(plan: ClusterPlan) -> Result<Self> {
        let mut cluster = Self::start_without_hosts(plan).await?;
        for region in cluster.plan.regions.clone() {
            for index in 0..cluster.plan.hosts {
                let name = format!("{region}-{index}");
                cluster.start_host(&name, &region, index).await?;
            }
        }
        cluster.ready().await?;
        Ok(cluster)
    }

    /// Starts the store and the targets, publishes the plan and issues the keys.
    ///
    /// # Errors
    ///
    /// Returns an error when a part cannot start.
    pub async fn start_without_hosts(plan: ClusterPlan) -> Result<Self> {
        let platform = PlatformStandIn::start(loopback(), 1).await?;
        let mut cluster = Self::with_platform(plan, platform)?;
        cluster.start_targets().await?;
        cluster.publish_all().await?;
        for organisation in cluster.plan.organisations.clone() {
            cluster.issue_key(&organisation.name)?;
        }
        Ok(cluster)
    }

    /// Creates a deployment without hosts and targets on a store.
    ///
    /// # Errors
    ///
    /// Returns an error when the store's client cannot be set up.
    pub fn with_platform(plan: ClusterPlan, platform: PlatformStandIn) -> Result<Self> {
        let address = platform.address().to_string();
        let store = StoreClient::new(ClientOptions::with_long_timeout(address))?;
        let delays = plan.delays;
        Ok(Self {
            network: delays.map(|delays| NetworkStandIn::new(&plan.regions, delays)),
            plan,
            platform,
            targets: BTreeMap::new(),
            nodes: BTreeMap::new(),
            keys: BTreeMap::new(),
            store,
        })
    }

    /// Waits until all hosts are ready and know each other.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn ready(&self) -> Result<()> {
        let all = async {
            for node in self.nodes.values() {
                node.ready().await;
            }
            // Heartbeats bring what look-ups and loans rely on.
            compio::time::sleep(Duration::from_millis(700)).await;
        };
        let waited = compio::time::timeout(Duration::from_secs(30), all).await;
        waited.map_err(|_| ClusterError::NotReady)
    }

    /// Ends all hosts and targets, so that nothing of this deployment runs beside the next one.
    pub fn shut_down(mut self) {
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        for name in names {
            self.kill_host(&name);
        }
        for target in self.targets.values() {
            target.close();
        }
    }

    /// Writes a host into the platform's list.
    pub fn list_host(&self, name: &str, state: HostState, address: &str) {
        self.list(name, HostRole::Entry, state, address);
    }

    /// Writes a target into the platform's list.
    pub fn list_target(&self, name: &str, state: HostState) {
        self.list(name, HostRole::Target, state, "");
    }

    fn list(&self, name: &str, role: HostRole, state: HostState, address: &str) {
        let entry = ListedHost {
            role,
            state,
            address: address.to_owned(),
        };
        let text = serde_json::to_string(&entry).unwrap_or_default();
        self.platform.put(HOSTS, name, &text);
    }

    /// Gets the addresses for callers of all hosts.
    pub fn entries(&self) -> Vec<String> {
        let nodes = self.nodes.values();
        let addresses = nodes.map(|node| node.identity().caller_address.clone());
        addresses.collect()
    }

    /// Creates a caller of an organisation.
    pub fn caller(&self, organisation: &str) -> FleetCaller {
        FleetCaller::new(self.entries(), SERVICE, organisation)
    }

    /// Gets an organisation's key.
    pub fn key(&self, organisation: &str) -> String {
        self.keys.get(organisation).cloned().unwrap_or_default()
    }

    async fn start_targets(&mut self) -> Result<()> {
        for region in self.plan.regions.clone() {
            for index in 0..self.plan.targets {
                let name = format!("{region}-t{index}");
                let behaviour = TargetBehaviour {
                    slots: self.plan.slots,
                    ..self.plan.behaviour.clone()
                };
                let target = TargetStandIn::start(&name, loopback(), behaviour).await?;
                self.targets.insert(name, target);
            }
        }
        Ok(())
    }
}

/// Gets a value as JSON, as it stands in the store.
pub fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Gets the name of a zone.
pub fn zone_name(region: &str, index: u32) -> String {
    let letter = if index.is_multiple_of(2) { 'a' } else { 'b' };
    format!("{region}-{letter}")
}

/// Gets a loopback address with a port that the system picks.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

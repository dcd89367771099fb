//! Hosts of a local cluster, and the relays between them.

use super::{LocalCluster, Result, loopback, zone_name};
use fighall_config::listing::HostState;
use fighall_core::log::discarding_logger;
use fighall_entry::{node::EntryNode, settings::EntrySettings};
use fighall_store::object::kinds::HOSTS;
use std::net::SocketAddr;

impl LocalCluster {
    /// Starts an entry host, also in place of one that has left.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot start.
    pub async fn start_host(&mut self, name: &str, region: &str, index: u32) -> Result<()> {
        let zone = zone_name(region, index);
        let store = self.store_address(region).await?;
        let mut settings = EntrySettings::with_host(name, region, &zone, &store);
        let nodes = self.nodes.values();
        settings.seeds = nodes
            .map(|node| node.identity().peer_address.clone())
            .collect();
        if let Some(network) = &self.network {
            settings.source = Some(network.source(region));
            settings.advertise = Some(network.advertised(region));
        }
        let node = EntryNode::start(settings, discarding_logger()).await?;
        self.relay_host(region, &node).await?;
        self.list_host(name, HostState::Live, &node.identity().peer_address);
        self.nodes.insert(name.to_owned(), node);
        Ok(())
    }

    // The store lies in the first region.
    async fn store_address(&self, region: &str) -> Result<String> {
        let address = self.platform.address();
        let (Some(network), Some(home)) = (&self.network, self.plan.regions.first()) else {
            return Ok(address.to_string());
        };
        let relay = network.relay_from(region, home, address).await?;
        Ok(relay.to_string())
    }

    async fn relay_host(&self, region: &str, node: &EntryNode) -> Result<()> {
        let Some(network) = &self.network else {
            return Ok(());
        };
        for advertised in relayed_addresses(node) {
            let bound = SocketAddr::new(loopback().ip(), advertised.port());
            network.relay_host(region, bound).await?;
        }
        Ok(())
    }

    fn close_relays(&self, node: &EntryNode) {
        let Some(network) = &self.network else {
            return;
        };
        for advertised in relayed_addresses(node) {
            network.close_host(advertised);
        }
    }

    /// Stops a host as planned and takes it off the platform's list.
    pub async fn stop_host(&mut self, name: &str) {
        if let Some(node) = self.nodes.remove(name) {
            self.list_host(name, HostState::Leaving, "");
            node.stop().await;
            self.close_relays(&node);
            self.platform.delete(HOSTS, name);
        }
    }

    /// Ends a host as a crash would; the platform's list names it until it notices.
    pub fn kill_host(&mut self, name: &str) {
        if let Some(node) = self.nodes.remove(name) {
            node.kill();
            self.close_relays(&node);
        }
    }
}

fn relayed_addresses(node: &EntryNode) -> Vec<SocketAddr> {
    let identity = node.identity();
    let addresses = [
        &identity.caller_address,
        &identity.peer_address,
        &identity.forward_address,
    ];
    let addresses = addresses.into_iter();
    addresses
        .filter_map(|address| address.parse().ok())
        .collect()
}

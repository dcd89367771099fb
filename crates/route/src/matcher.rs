//! Matching of requests to services and routes.

use fighall_config::{assembly::FleetConfig, service::ServiceRoute};
use fighall_core::{ids::ServiceId, value};
use std::collections::BTreeMap;

/// `RouteMatcher` finds the service of a request by host name or path prefix, and its route by
/// path.
#[derive(Debug, Clone, Default)]
pub struct RouteMatcher {
    hosts: BTreeMap<String, ServiceId>,
    // Sorted by length, the longest prefix first.
    prefixes: Vec<PrefixEntry>,
    routes: BTreeMap<ServiceId, Vec<ServiceRoute>>,
}

#[derive(Debug, Clone)]
struct PrefixEntry {
    prefix: String,
    service: ServiceId,
}

value! {
    /// `RouteMatch` is the service and route of a request.
    pub struct RouteMatch<'a> {
        /// Service that serves the request.
        pub service: &'a ServiceId,
        /// Route of the service with the longest matching path.
        pub route: &'a ServiceRoute,
    }
}

impl RouteMatcher {
    /// Builds the matcher from a configuration.
    pub fn new(config: &FleetConfig) -> Self {
        let mut matcher = Self::default();
        for service in config.services.values() {
            for host in &service.hosts {
                matcher.hosts.insert(host.clone(), service.name.clone());
            }
            for prefix in &service.prefixes {
                matcher.prefixes.push(PrefixEntry {
                    prefix: prefix.clone(),
                    service: service.name.clone(),
                });
            }
            let mut routes = service.routes.clone();
            routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
            matcher.routes.insert(service.name.clone(), routes);
        }
        matcher
            .prefixes
            .sort_by_key(|entry| std::cmp::Reverse(entry.prefix.len()));
        matcher
    }

    /// Finds the service and route for a host name, with or without a port, and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteMatch<'_>> {
        let service = self.find_service(host, path)?;
        let route = self.find_route(service, path)?;
        Some(RouteMatch { service, route })
    }

    /// Finds the route with the longest matching path within a service.
    pub fn find_route(&self, service: &str, path: &str) -> Option<&ServiceRoute> {
        let routes = self.routes.get(service)?;
        routes
            .iter()
            .find(|route| has_path_prefix(path, &route.path))
    }

    fn find_service(&self, host: &str, path: &str) -> Option<&ServiceId> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            let is_port = port.chars().all(|c| c.is_ascii_digit());
            if is_port { name } else { host }
        });
        let by_host = self.hosts.get(&name.to_ascii_lowercase());
        if by_host.is_some() {
            return by_host;
        }
        let entry = self
            .prefixes
            .iter()
            .find(|entry| has_path_prefix(path, &entry.prefix))?;
        Some(&entry.service)
    }
}

// A prefix matches whole path segments: `/quotes` matches `/quotes/7` but not `/quotes-old`.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn prefixes_match_whole_segments() {
        assert!(has_path_prefix("/quotes/7", "/quotes"));
        assert!(has_path_prefix("/quotes", "/quotes"));
        assert!(has_path_prefix("/anything", "/"));
        assert!(!has_path_prefix("/quotes-old", "/quotes"));
    }
}

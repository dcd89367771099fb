//! Traffic splits: the requests of a route are distributed to services in proportion to weights.

use crate::policy::SplitPart;
use fighall_core::ids::ServiceId;
use std::collections::BTreeMap;

/// `RoundRobin` distributes the requests of one route by smooth weighted round robin: after any number
/// of requests, each service's count is within one of its exact share.
#[derive(Debug, Default)]
pub struct RoundRobin {
    current_weights: BTreeMap<ServiceId, i64>,
}

impl RoundRobin {
    /// Picks the part that serves the next request; `None` if all weights are zero.
    pub fn next_part<'p>(&mut self, parts: &'p [SplitPart]) -> Option<&'p SplitPart> {
        if let [single] = parts {
            return Some(single);
        }
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        self.current_weights
            .retain(|service, _| parts.iter().any(|part| part.service == *service));
        let mut highest: Option<(&SplitPart, i64)> = None;
        for part in parts.iter().filter(|part| part.weight > 0) {
            let current_weight = self
                .current_weights
                .entry(part.service.clone())
                .or_default();
            *current_weight += i64::from(part.weight);
            if highest.is_none_or(|(_, highest_weight)| *current_weight > highest_weight) {
                highest = Some((part, *current_weight));
            }
        }
        let (part, _) = highest?;
        *self
            .current_weights
            .entry(part.service.clone())
            .or_default() -= total;
        Some(part)
    }
}

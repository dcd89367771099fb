//! Traffic splits: the requests of a route are distributed to services in proportion to weights.

use crate::policy::SplitPart;
use fighall_core::ids::ServiceId;
use std::collections::BTreeMap;

/// `SplitWheel` distributes the requests of one route by smooth weighted round robin: after any number
/// of requests, each service's count is within one of its exact share.
#[derive(Debug, Default)]
pub struct SplitWheel {
    credits: BTreeMap<ServiceId, i64>,
}

impl SplitWheel {
    /// Picks the part that serves the next request; `None` if all weights are zero.
    pub fn next<'p>(&mut self, parts: &'p [SplitPart]) -> Option<&'p SplitPart> {
        if let [only] = parts {
            return Some(only);
        }
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        self.credits
            .retain(|service, _| parts.iter().any(|part| part.service == *service));
        let mut best: Option<(&SplitPart, i64)> = None;
        for part in parts.iter().filter(|part| part.weight > 0) {
            let credit = self.credits.entry(part.service.clone()).or_default();
            *credit += i64::from(part.weight);
            if best.is_none_or(|(_, most)| *credit > most) {
                best = Some((part, *credit));
            }
        }
        let (part, _) = best?;
        *self.credits.entry(part.service.clone()).or_default() -= total;
        Some(part)
    }
}

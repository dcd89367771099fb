//! Slots held here and free, and those that are asked for.

use super::TargetService;
use fighall_peer::message::ServiceCapacity;
use fighall_route::placement::SlotShare;

/// Targets for which slots are asked while requests wait.
const ASK_TARGETS: usize = 3;

impl TargetService {
    pub(super) fn room(&self, target: &str) -> SlotShare {
        let view = self.quotas.slots(target);
        SlotShare {
            held: view.held,
            free: view.free(),
        }
    }

    pub(super) fn held_slots(&self, service: &str) -> u32 {
        let board = self.board.borrow();
        let names = board.targets_of(service);
        names.iter().map(|name| self.quotas.slots(name).held).sum()
    }

    fn free_slots(&self, service: &str) -> u32 {
        let board = self.board.borrow();
        let mut free = 0;
        for name in board.targets_of(service) {
            let takes = board.get(name).is_some_and(|record| record.drain.is_none());
            if takes {
                free += self.quotas.slots(name).free();
            }
        }
        free
    }

    /// Gets the free slots held here by service.
    pub fn rooms(&self) -> Vec<ServiceCapacity> {
        let services = match self.config.config() {
            Some(config) => config.services.keys().cloned().collect(),
            None => Vec::new(),
        };
        let mut rooms = Vec::new();
        for service in services {
            let free = self.free_slots(&service);
            rooms.push(ServiceCapacity { service, free });
        }
        rooms
    }

    // While requests wait, slots of a few targets are asked for from the region's other hosts.
    pub(super) fn ask_for_slots(&self, service: &str) {
        let waiting = {
            let queues = self.queues.borrow();
            queues.get(service).map_or(0, |entry| entry.queue.len())
        };
        let board = self.board.borrow();
        let mut names = Vec::new();
        for name in board.targets_of(service) {
            let near = board.get(name).is_some_and(|record| {
                record.target.region == self.identity.region && record.drain.is_none()
            });
            self.quotas.set_slot_waiting(name, 0);
            if near {
                names.push(name.clone());
            }
        }
        self.rng.borrow_mut().shuffle(&mut names);
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        for name in names.iter().take(ASK_TARGETS) {
            self.quotas.set_slot_waiting(name, waiting.min(2));
        }
    }

    pub(super) fn set_gauges(&self) {
        let region = self.identity.region.as_str();
        let Some(config) = self.config.config() else {
            return;
        };
        for service in config.services.keys() {
            let held = f64::from(self.held_slots(service));
            let free = f64::from(self.free_slots(service));
            let ratio = if held > 0.0 { free / held } else { 0.0 };
            let labels = [service.as_str(), region];
            self.metrics.headroom.with_label_values(&labels).set(ratio);
            let waiting = {
                let queues = self.queues.borrow();
                queues.get(service).map_or(0, |entry| entry.queue.len())
            };
            let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
            self.metrics
                .waiting
                .with_label_values(&[service.as_str()])
                .set(waiting);
        }
    }
}

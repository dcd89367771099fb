//! Targets that are drained or leave, and how long it takes until nothing is in flight there.

use crate::targets::TargetService;
use fighall_config::{
    commands::{DrainScope, OperatorCommand},
    listing::{HostRole, HostState as ListedState, ListedHost},
    service::ServiceTarget,
};
use fighall_core::{clock::boot_time, ids::TargetId};
use fighall_route::target_table::DrainCause;
use fighall_store::object::kinds;

impl TargetService {
    pub(crate) fn apply_absences(&self) {
        let commands = self.config.commands();
        let leaving = self.leaving_targets();
        let now = boot_time();
        let changed = self.board.borrow_mut().set_drains(now, |target| {
            if leaving.contains(&target.name) {
                return Some(DrainCause::Leaving);
            }
            let drained = commands.iter().any(|command| drains(command, target));
            drained.then_some(DrainCause::Drained)
        });
        for name in changed {
            let absence = self
                .board
                .borrow()
                .get(&name)
                .and_then(|record| record.drain);
            let state = match absence {
                Some(DrainCause::Drained) => "drained",
                Some(DrainCause::Leaving) => "leaving",
                None => "takes work again",
            };
            let mut drains = self.drains.borrow_mut();
            if absence.is_some() {
                drains.insert(name.clone(), now);
            } else {
                drains.remove(&name);
            }
            self.record_target(&name, state);
        }
    }

    fn leaving_targets(&self) -> Vec<TargetId> {
        let leaving = self.mirrors.with_kind(kinds::HOSTS, |mirror| {
            let mut leaving = Vec::new();
            for (name, value) in mirror.values() {
                let Ok(listed) = serde_json::from_str::<ListedHost>(value) else {
                    continue;
                };
                if listed.role == HostRole::Target && listed.state == ListedState::Leaving {
                    leaving.push(name.clone());
                }
            }
            leaving
        });
        leaving.unwrap_or_default()
    }

    pub(crate) fn note_drains(&self) {
        let mut ended = Vec::new();
        {
            let board = self.board.borrow();
            for (name, since) in self.drains.borrow().iter() {
                let idle = board.get(name).is_none_or(|record| record.in_flight == 0);
                if idle {
                    ended.push((name.clone(), *since));
                }
            }
        }
        let now = boot_time();
        for (name, since) in ended {
            self.drains.borrow_mut().remove(&name);
            let seconds = now.saturating_sub(since).as_secs_f64();
            self.metrics
                .drain
                .with_label_values(&[name.as_str()])
                .observe(seconds);
            self.record_target(&name, "nothing in flight here");
        }
    }
}

fn drains(command: &OperatorCommand, target: &ServiceTarget) -> bool {
    let OperatorCommand::Drain { scope, name, .. } = command else {
        return false;
    };
    match scope {
        DrainScope::Target => *name == target.name,
        DrainScope::Zone => *name == target.zone,
        DrainScope::Region => *name == target.region,
        DrainScope::Host => false,
    }
}

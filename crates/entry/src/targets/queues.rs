//! Requests that wait for a slot of a service's targets, in their fair order.

use crate::{
    request::RequestContext,
    slots::{SlotLease, Waiter},
    targets::{AcquireFailure, ServiceQueue, TargetService},
};
use fighall_core::clock::boot_time;
use fighall_route::fair_queue::FairQueue;
use futures_util::{FutureExt, pin_mut, select_biased};
use std::{rc::Rc, time::Duration};

/// Service time that is assumed before any request has ended.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(20);

impl TargetService {
    pub(crate) fn enqueue(
        &self,
        context: &RequestContext,
        waiter: &Rc<Waiter>,
    ) -> std::result::Result<(), AcquireFailure> {
        let mut queues = self.queues.borrow_mut();
        let entry = queues
            .entry(context.service.clone())
            .or_insert_with(|| ServiceQueue {
                queue: FairQueue::new(self.queue_limit),
                service_time: ASSUMED_SERVICE_TIME.as_secs_f64(),
            });
        let pushed = entry.queue.push(
            context.organisation_name(),
            context.weight,
            context.deadline,
            Rc::clone(waiter),
        );
        match pushed {
            Ok(None) => Ok(()),
            Ok(Some(evicted)) => {
                evicted.evicted.set(true);
                evicted.ready.notify(1);
                Ok(())
            }
            Err(_) => Err(AcquireFailure::Full),
        }
    }

    pub(crate) async fn wait_for_lease(
        &self,
        waiter: &Waiter,
    ) -> std::result::Result<SlotLease, AcquireFailure> {
        loop {
            let listener = waiter.ready.listen();
            if let Some(lease) = waiter.lease.borrow_mut().take() {
                return Ok(lease);
            }
            if waiter.evicted.get() {
                return Err(AcquireFailure::Full);
            }
            let left = waiter.deadline.saturating_sub(boot_time());
            if left.is_zero() {
                return Err(AcquireFailure::Expired);
            }
            let ready = listener.fuse();
            let elapsed = compio::time::sleep(left).fuse();
            pin_mut!(ready, elapsed);
            select_biased! {
                () = ready => {}
                () = elapsed => {}
            }
        }
    }

    // Hands free slots to those who wait, in their fair order.
    pub(crate) fn pump(self: &Rc<Self>, service: &str) {
        while self.can_place(service) {
            let Some(waiter) = self.next_waiter(service) else {
                return;
            };
            let affinity = waiter.affinity.as_deref();
            let lease = self
                .take_slot(service, &waiter.tried, affinity, waiter.deadline, true)
                .or_else(|| self.take_slot(service, &[], affinity, waiter.deadline, true));
            let Some(lease) = lease else {
                // The free slots are borrowed and end too early for this request.
                self.put_back(service, waiter);
                return;
            };
            *waiter.lease.borrow_mut() = Some(lease);
            waiter.ready.notify(1);
        }
    }

    pub(crate) fn can_place(&self, service: &str) -> bool {
        let waiting = {
            let queues = self.queues.borrow();
            queues
                .get(service)
                .is_some_and(|entry| !entry.queue.is_empty())
        };
        waiting && self.pick(service, &[], None, true).is_some()
    }

    pub(crate) fn next_waiter(&self, service: &str) -> Option<Rc<Waiter>> {
        let mut expired = Vec::new();
        let mut queues = self.queues.borrow_mut();
        let entry = queues.get_mut(service)?;
        entry.queue.remove(|waiter| waiter.gone.get());
        let waiter = entry.queue.pop(boot_time(), &mut expired);
        for waiter in expired {
            waiter.ready.notify(1);
        }
        waiter
    }

    pub(crate) fn put_back(&self, service: &str, waiter: Rc<Waiter>) {
        let mut queues = self.queues.borrow_mut();
        if let Some(entry) = queues.get_mut(service) {
            let organisation = waiter.organisation.clone();
            let (weight, deadline) = (waiter.weight, waiter.deadline);
            entry
                .queue
                .push_front(&organisation, weight, deadline, waiter);
        }
    }
}

//! Where a request goes next: a target of the own region, an entry host of another region, or the
//! queue.

use crate::{
    configuration::ConfigService,
    identity::HostIdentity,
    names,
    pacing::LinkPace,
    problem::RequestRefusal,
    quotas::QuotaService,
    request::RequestContext,
    slots::SlotLease,
    targets::{AcquireFailure, TargetService},
};
use fighall_core::{
    clock::{boot_time, wall_millis},
    event::RefusalReason,
    ids::{HostId, RegionId, TargetId},
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_peer::view::PeerView;
use fighall_route::region::{RegionView, move_destination, order_regions};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Age of a peer's last sign beyond which nothing is forwarded to it.
const ALIVE: Duration = Duration::from_secs(2);

/// Bytes that must find room on a link before a request is forwarded.
const LINK_NEED: usize = 1_024;
/// Longest wait for that room, just under fifty milliseconds.
const LINK_WAIT: Duration = Duration::from_nanos(49_999_999);

/// `Place` is where a request goes next.
#[derive(Debug)]
pub(crate) enum Place {
    /// A target of this region.
    Local(Box<SlotLease>),
    /// An entry host of another region.
    Remote {
        /// Region.
        region: RegionId,
        /// Entry host.
        peer: Box<PeerView>,
    },
}

/// `Attempts` is what was tried for a request.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) count: usize,
    pub(crate) targets: Vec<TargetId>,
    pub(crate) hosts: Vec<HostId>,
    pub(crate) fresh: bool,
    pub(crate) may_have_run: bool,
}

impl Place {
    /// Gets the address that the request is sent to, if it is one.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        match self {
            Self::Local(lease) => Some(lease.address),
            Self::Remote { peer, .. } => peer.state.forward_address.parse().ok(),
        }
    }
}

impl Attempts {
    /// Notes an attempt at a place.
    pub(crate) fn note(&mut self, place: &Place) {
        match place {
            Place::Local(lease) => self.targets.push(lease.target.clone()),
            Place::Remote { peer, .. } => self.hosts.push(peer.peer.host.clone()),
        }
    }
}

/// `PlaceChooser` chooses places by what this host knows.
#[derive(Debug)]
pub(crate) struct PlaceChooser {
    identity: Rc<HostIdentity>,
    config: Rc<ConfigService>,
    quotas: Rc<QuotaService>,
    targets: Rc<TargetService>,
}

impl PlaceChooser {
    /// Creates a chooser.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub(crate) fn new(kernel: &MicroKernel) -> Result<Self> {
        Ok(Self {
            identity: kernel.find(names::IDENTITY)?,
            config: kernel.find(names::CONFIGURATION)?,
            quotas: kernel.find(names::QUOTAS)?,
            targets: kernel.find(names::TARGETS)?,
        })
    }

    // Own region first; another one when the own has no healthy target with room; then the own
    // region's queue, where targets that look unhealthy are a last resort.
    pub(crate) async fn choose(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
    ) -> std::result::Result<Place, RequestRefusal> {
        if context.way_back.is_some() {
            let lease = self.targets.acquire_now(context, &attempts.targets, true);
            return lease.map(Box::new).map(Place::Local).ok_or_else(|| {
                RequestRefusal::not_run(
                    RefusalReason::NoRoom,
                    "this host holds no free slot for a forwarded request",
                )
            });
        }
        if let Some(place) = self.choose_moved(context, attempts) {
            return Ok(place);
        }
        if let Some(lease) = self.targets.acquire_now(context, &attempts.targets, false) {
            return Ok(Place::Local(Box::new(lease)));
        }
        if let Some(place) = self.choose_remote(context, attempts) {
            return Ok(place);
        }
        self.wait_in_queue(context, attempts).await
    }

    /// Chooses a place that takes the request at once, other than those tried.
    pub(crate) fn choose_now(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
    ) -> Option<Place> {
        let lease = self.targets.acquire_now(context, &attempts.targets, true);
        if let Some(lease) = lease {
            return Some(Place::Local(Box::new(lease)));
        }
        if context.way_back.is_some() {
            return None;
        }
        self.choose_remote(context, attempts)
    }

    async fn wait_in_queue(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
    ) -> std::result::Result<Place, RequestRefusal> {
        let near = self.targets.serves(&context.service, &self.identity.region);
        if near == 0 {
            return Err(RequestRefusal::not_run(
                RefusalReason::NoRoom,
                "no target of this region takes work and no other region has room",
            )
            .with_retry_after(Duration::from_secs(1)));
        }
        let acquired = self.targets.acquire(context, &attempts.targets).await;
        acquired.map(Box::new).map(Place::Local).map_err(|failure| {
            let (evidence, wait) = match failure {
                AcquireFailure::TooLong { wait } => {
                    ("the wait for a slot would exceed the deadline", wait)
                }
                AcquireFailure::Full => ("the queue is full", Duration::from_secs(1)),
                AcquireFailure::Expired => (
                    "no slot came free before the deadline",
                    Duration::from_secs(1),
                ),
            };
            RequestRefusal::not_run(RefusalReason::NoRoom, evidence).with_retry_after(wait)
        })
    }

    fn choose_moved(&self, context: &RequestContext, attempts: &Attempts) -> Option<Place> {
        let commands = self.config.commands();
        let region = move_destination(
            &commands,
            &context.service,
            &self.identity.region,
            &context.id,
            wall_millis(),
        )?;
        let view = self.region_view(context, &region);
        if order_regions(&[view]).is_empty() {
            return None;
        }
        self.remote_place(context, &region, attempts)
    }

    fn choose_remote(&self, context: &RequestContext, attempts: &Attempts) -> Option<Place> {
        let mut views = Vec::new();
        for region in self.targets.regions_of(&context.service) {
            if region != self.identity.region {
                views.push(self.region_view(context, &region));
            }
        }
        // A short wait in the own queue is better than a long way.
        let organisation = context.organisation_name();
        let wait = self
            .targets
            .expected_wait(&context.service, organisation, context.weight);
        let near = self.targets.serves(&context.service, &self.identity.region);
        for region in order_regions(&views) {
            let view = views.iter().find(|view| view.region == region)?;
            if near > 0 && attempts.count == 0 && wait < view.round_trip {
                return None;
            }
            if let Some(place) = self.remote_place(context, &region, attempts) {
                return Some(place);
            }
        }
        None
    }

    fn region_view(&self, context: &RequestContext, region: &str) -> RegionView {
        let now = boot_time();
        let mut view = RegionView {
            region: region.to_owned(),
            targets: self.targets.serves(&context.service, region),
            free_slots: 0,
            report_age: None,
            round_trip: Duration::MAX,
            reachable: false,
            link_has_capacity: LinkPace::new(&self.quotas, region).has_room(LINK_NEED, LINK_WAIT),
        };
        self.targets.mesh().with_views(|peers| {
            for peer in peers {
                let usable =
                    peer.peer.region == region && peer.is_alive(now, ALIVE) && peer.state.open;
                if !usable {
                    continue;
                }
                view.reachable = true;
                view.free_slots += room_of(peer, &context.service);
                view.round_trip = view.round_trip.min(peer.round_trip);
                let age = peer.last_message_at.map(|at| now.saturating_sub(at));
                view.report_age = match (view.report_age, age) {
                    (Some(known), Some(age)) => Some(known.min(age)),
                    (known, age) => known.or(age),
                };
            }
        });
        view
    }

    // The entry host of the region with the most room that was not tried yet.
    fn remote_place(
        &self,
        context: &RequestContext,
        region: &str,
        attempts: &Attempts,
    ) -> Option<Place> {
        if !context.body.is_available() {
            return None;
        }
        let now = boot_time();
        let mut best: Option<PeerView> = None;
        for view in self.targets.mesh().views() {
            let usable = view.peer.region == region
                && view.is_alive(now, ALIVE)
                && view.state.open
                && !attempts.hosts.contains(&view.peer.host);
            if !usable {
                continue;
            }
            let room = room_of(&view, &context.service);
            let known = best.as_ref().map(|best| room_of(best, &context.service));
            if known.is_none_or(|known| room > known) {
                best = Some(view);
            }
        }
        Some(Place::Remote {
            region: region.to_owned(),
            peer: Box::new(best?),
        })
    }
}

fn room_of(view: &PeerView, service: &str) -> u32 {
    let room = view
        .state
        .capacities
        .iter()
        .find(|room| room.service == service);
    room.map_or(0, |room| room.free)
}

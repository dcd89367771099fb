//! What speaks for the end of another host.

use super::MemberService;
use fighall_config::listing::{HostRole, ListedHost};
use fighall_core::ids::BootTime;
use fighall_membership::{lease::MemberLease, table::HolderEvidence};
use fighall_store::object::kinds;

impl MemberService {
    pub(super) fn evidence(&self, now: BootTime, lease: &MemberLease) -> HolderEvidence {
        let listed = self.mirrors.with_kind(kinds::HOSTS, |mirror| {
            let value = mirror.value(&lease.host)?;
            serde_json::from_str::<ListedHost>(value).ok()
        });
        let listed = listed.flatten();
        let named = listed.is_some_and(|listed| listed.role == HostRole::Entry);
        // A new process on the old one's address has taken its place.
        let replaced = self.leases().iter().any(|other| {
            other.peer_address == lease.peer_address && other.incarnation > lease.incarnation
        });
        HolderEvidence {
            unlisted_or_replaced: !named
                || replaced
                || lease.peer_address == self.identity.peer_address,
            unheard_by_peers: self.is_unheard(now, lease),
        }
    }

    fn is_unheard(&self, now: BootTime, lease: &MemberLease) -> bool {
        let lease_time = self.lease_time.get();
        self.mesh.with_views(|views| {
            for view in views {
                let alive = view.is_alive(now, lease_time);
                let same = view.peer.host == lease.host;
                if same && alive && view.last_incarnation == Some(lease.incarnation) {
                    return false;
                }
                let heard = view.state.recent_peers.iter().any(|heard| {
                    heard.host == lease.host && heard.incarnation == lease.incarnation
                });
                if !same && alive && heard {
                    return false;
                }
            }
            true
        })
    }
}

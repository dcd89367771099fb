//! Base shares: what a configuration gives to a member id.

use crate::pacing::LINK_TOKEN_BYTES;
use fighall_config::assembly::FleetConfig;
use fighall_core::ids::MemberId;
use fighall_quota::{amount::QuotaLimit, ledgers::BaseAllocation, loan::QuotaKey};

/// Bits in a megabit over the bits of one link token.
const LINK_TOKENS_PER_MBIT: u64 = 1_000_000 / (8 * LINK_TOKEN_BYTES);

/// Lists the base shares that a configuration gives a member of a region.
pub fn base_grants(config: &FleetConfig, region: &str, member: MemberId) -> Vec<BaseAllocation> {
    let fleet = &config.fleet;
    let near_members = fleet.members_in(region);
    // A position beyond all members holds nothing.
    let fleet_member = fleet.fleet_member(region, member);
    let fleet_member = fleet_member.unwrap_or(MemberId::MAX);
    let mut grants = Vec::new();
    for organisation in &fleet.organisations {
        grants.push(BaseAllocation {
            key: QuotaKey::Organisation(organisation.name.clone()),
            limit: QuotaLimit::new(organisation.rate, organisation.burst),
            member: fleet_member,
            members: fleet.members(),
        });
    }
    for link in &fleet.links {
        if link.from != region {
            continue;
        }
        grants.push(BaseAllocation {
            key: QuotaKey::Link {
                from: link.from.clone(),
                to: link.to.clone(),
            },
            limit: QuotaLimit::new(link.mbit * LINK_TOKENS_PER_MBIT, link.burst_kib),
            member,
            members: near_members,
        });
    }
    for service in config.services.values() {
        for target in &service.targets {
            if target.region != region {
                continue;
            }
            grants.push(BaseAllocation {
                key: QuotaKey::Slots(target.name.clone()),
                limit: QuotaLimit::new(0, u64::from(target.slots)),
                member,
                members: near_members,
            });
        }
    }
    grants
}

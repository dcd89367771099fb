//! The membership table as one host sees it, and the rule by which a member id is reassigned.
//!
//! An id may be claimed if it was never held or was released. Otherwise all of these conditions
//! must hold:
//!
//! - The lease object has not changed for a whole lease time during which the store answered this
//!   host.
//! - The platform's list no longer names the previous holder, or a new process serves on its
//!   address.
//! - No live peer has heard the previous incarnation during that time.
//!
//! An expired lease alone is no evidence: during an outage of the store, no holder can renew.

use crate::lease::{MemberKey, MemberLease};
use fighall_core::{
    ids::{BootTime, Generation, MemberId, RegionId, Version},
    value,
};
use std::{collections::BTreeMap, time::Duration};

value! {
    /// `TableOptions` are the time limits of leases.
    pub struct TableOptions {
        /// Time without a renewal after which a lease has expired.
        pub lease_time: Duration,
        /// Longest gap between two answers of the store that still counts as continuous contact.
        pub answer_gap: Duration,
    }
}

impl Default for TableOptions {
    fn default() -> Self {
        Self::with_lease_time(Duration::from_secs(6))
    }
}

impl TableOptions {
    /// Creates the options for a lease time; the longest answer gap is half of it.
    pub fn with_lease_time(lease_time: Duration) -> Self {
        Self {
            lease_time,
            answer_gap: lease_time / 2,
        }
    }
}

value! {
    /// `Evidence` is what a claiming host knows about the previous holder from sources other than
    /// the store.
    #[derive(Copy, Eq)]
    pub struct Evidence {
        /// The platform's list does not name the host, or a new process serves on its address.
        pub unlisted: bool,
        /// No live peer has heard the holder's incarnation for a lease time.
        pub unheard: bool,
    }
}

value! {
    /// `ClaimPlan` is a claim that may be made now.
    pub struct ClaimPlan {
        /// Member id to claim in this host's region.
        pub member: MemberId,
        /// Version that the lease object must have; none if it must not exist.
        pub expected: Option<Version>,
        /// Time after the claim during which the base shares must not be used, because loans and
        /// requests of the previous holder may still be running.
        pub wait_out: Duration,
    }
}

#[derive(Debug, Clone)]
struct SeenMember {
    version: Version,
    lease: MemberLease,
    // Time without a change of the object, counted only while the store answered without a gap.
    unchanged: Duration,
}

/// `MemberTable` is one host's view of the leases on all member ids. The host may claim only ids of
/// its own region.
#[derive(Debug)]
pub struct MemberTable {
    options: TableOptions,
    region: RegionId,
    members: u32,
    seen: BTreeMap<MemberKey, SeenMember>,
    observed_at: Option<BootTime>,
    complete: bool,
}

impl MemberTable {
    /// Creates an empty table for a host whose region has `members` ids.
    pub fn new(options: TableOptions, region: &str, members: u32) -> Self {
        Self {
            options,
            region: region.to_owned(),
            members,
            seen: BTreeMap::new(),
            observed_at: None,
            complete: false,
        }
    }

    /// Changes the time limits and the number of ids of the region. Observed leases are kept.
    pub fn set_bounds(&mut self, options: TableOptions, members: u32) {
        self.options = options;
        self.members = members;
    }

    /// Records that the store answered at `now`. The time since the previous answer counts as
    /// unchanged for every lease, unless it exceeds the longest answer gap; then counting starts
    /// again at zero.
    pub fn tick(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.observed_at.unwrap_or(now));
        self.observed_at = Some(now);
        for member in self.seen.values_mut() {
            if elapsed > self.options.answer_gap {
                member.unchanged = Duration::ZERO;
            } else {
                member.unchanged += elapsed;
            }
        }
    }

    /// Applies the state of one id's lease object; `lease` is none if the object is gone. A version
    /// that is not newer than the known one is ignored.
    pub fn observe(&mut self, member: &MemberKey, version: Version, lease: Option<&MemberLease>) {
        let Some(lease) = lease else {
            self.seen.remove(member);
            return;
        };
        let known = self.seen.get(member);
        if known.is_some_and(|known| known.version >= version) {
            return;
        }
        let entry = SeenMember {
            version,
            lease: lease.clone(),
            unchanged: Duration::ZERO,
        };
        self.seen.insert(member.clone(), entry);
    }

    /// Records that the table holds the lease objects of all ids.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Tells whether all lease objects were listed at least once.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Gets the lease of an id and the version of its object.
    pub fn get(&self, member: &MemberKey) -> Option<(&MemberLease, Version)> {
        let seen = self.seen.get(member)?;
        Some((&seen.lease, seen.version))
    }

    /// Gets all leases that are not released.
    pub fn held(&self) -> impl Iterator<Item = &MemberLease> {
        let leases = self.seen.values().map(|seen| &seen.lease);
        leases.filter(|lease| !lease.released)
    }

    /// Tells whether every id except that of `host` was claimed with `generation` or a later one in
    /// force. If so, no other host can hold a share of an earlier generation.
    pub fn is_claimed_since(&self, generation: Generation, host: &str) -> bool {
        let mut others = self.seen.values().filter(|seen| seen.lease.host != host);
        others.all(|seen| seen.lease.claimed_generation >= generation)
    }

    /// Finds an id that `host` may claim now. The id that it held last comes first, then an id that
    /// was never held or was released, then an id whose holder is gone by all evidence.
    pub fn claimable(
        &self,
        host: &str,
        evidence: &impl Fn(MemberId, &MemberLease) -> Evidence,
    ) -> Option<ClaimPlan> {
        let own = (0..self.members).find(|member| {
            let seen = self.seen_at(*member);
            seen.is_some_and(|seen| seen.lease.host == host)
        });
        let free = (0..self.members).find(|member| {
            let seen = self.seen_at(*member);
            seen.is_none_or(|seen| seen.lease.released)
        });
        // The same host name with a new incarnation is a new process that replaces the old one.
        if let Some(plan) = own.or(free).map(|member| self.plan(member)) {
            return Some(plan);
        }
        for member in 0..self.members {
            let Some(seen) = self.seen_at(member) else {
                continue;
            };
            if seen.unchanged < self.options.lease_time {
                continue;
            }
            let evidence = evidence(member, &seen.lease);
            if evidence.unlisted && evidence.unheard {
                return Some(self.plan(member));
            }
        }
        None
    }

    fn seen_at(&self, member: MemberId) -> Option<&SeenMember> {
        self.seen.get(&MemberKey::new(&self.region, member))
    }

    fn plan(&self, member: MemberId) -> ClaimPlan {
        let seen = self.seen_at(member);
        let wait_out = seen.map_or(0, |seen| seen.lease.wait_out_ms);
        ClaimPlan {
            member,
            expected: seen.map(|seen| seen.version),
            wait_out: Duration::from_millis(wait_out),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);
    const GONE: Evidence = Evidence {
        unlisted: true,
        unheard: true,
    };

    fn held_table() -> MemberTable {
        let mut table = MemberTable::new(TableOptions::default(), "lima", 1);
        let mut lease = MemberLease::with_holder("a", 1, "127.0.0.1:1");
        lease.wait_out_ms = 4_000;
        table.observe(&MemberKey::new("lima", 0), 5, Some(&lease));
        table.set_complete();
        table.tick(SECOND);
        table
    }

    fn tick_seconds(table: &mut MemberTable, seconds: std::ops::Range<u32>) {
        for second in seconds {
            table.tick(SECOND * second);
        }
    }

    #[test]
    fn an_outage_of_the_store_hands_on_nothing() {
        let mut table = held_table();
        // The store is down for an hour and then answers once; no holder could renew in the
        // meantime.
        table.tick(SECOND * 3_600);
        assert_eq!(table.claimable("b", &|_, _| GONE), None);
        tick_seconds(&mut table, 3_601..3_606);
        assert_eq!(table.claimable("b", &|_, _| GONE), None);
        table.tick(SECOND * 3_606);
        let plan = table.claimable("b", &|_, _| GONE).unwrap();
        assert_eq!(plan.expected, Some(5));
        assert_eq!(plan.wait_out, SECOND * 4);
    }

    #[test]
    fn ids_of_other_regions_are_known_and_not_claimed() {
        let mut table = held_table();
        let lease = MemberLease::with_holder("c", 1, "127.0.0.1:2");
        table.observe(&MemberKey::new("iquitos", 0), 6, Some(&lease));
        assert_eq!(table.held().count(), 2);
        tick_seconds(&mut table, 2..20);
        assert_eq!(
            table.claimable("c", &|_, _| GONE).unwrap().expected,
            Some(5)
        );
    }

    #[test]
    fn a_claim_of_an_earlier_generation_is_told() {
        let mut table = held_table();
        let mut lease = MemberLease::with_holder("c", 1, "127.0.0.1:2");
        lease.claimed_generation = 4;
        table.observe(&MemberKey::new("iquitos", 0), 6, Some(&lease));
        assert!(table.is_claimed_since(4, "a"));
        assert!(!table.is_claimed_since(5, "a"));
        assert!(!table.is_claimed_since(4, "b"));
    }

    #[test]
    fn each_evidence_is_needed() {
        let mut table = held_table();
        tick_seconds(&mut table, 2..20);
        for evidence in [(false, true), (true, false), (false, false)] {
            let evidence = Evidence {
                unlisted: evidence.0,
                unheard: evidence.1,
            };
            assert_eq!(table.claimable("b", &|_, _| evidence), None);
        }
        assert!(table.claimable("b", &|_, _| GONE).is_some());
    }

    #[test]
    fn a_renewal_starts_the_time_again() {
        let mut table = held_table();
        tick_seconds(&mut table, 2..7);
        let lease = MemberLease::with_holder("a", 1, "127.0.0.1:1");
        table.observe(&MemberKey::new("lima", 0), 6, Some(&lease));
        tick_seconds(&mut table, 7..10);
        assert_eq!(table.claimable("b", &|_, _| GONE), None);
    }

    #[test]
    fn a_new_process_of_the_same_host_takes_its_own_id_back() {
        let table = held_table();
        let none = Evidence {
            unlisted: false,
            unheard: false,
        };
        let plan = table.claimable("a", &|_, _| none).unwrap();
        assert_eq!(plan.member, 0);
        assert_eq!(plan.wait_out, SECOND * 4);
    }
}

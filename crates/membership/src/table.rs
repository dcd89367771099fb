//! The membership table as one host sees it, and the rule by which a member id is reassigned.
//!
//! An id may be claimed if it was never held or was released. Otherwise all of these conditions
//! must hold:
//!
//! - The lease object has not changed for a whole lease time during which the store answered this
//!   host.
//! - The platform's list no longer names the previous holder, or a new process serves on its
//!   address.
//! - No live peer has received a heartbeat of the previous incarnation during that time.
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
        pub max_answer_gap: Duration,
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
            max_answer_gap: lease_time / 2,
        }
    }
}

value! {
    /// `HolderEvidence` is what a claiming host has observed of the previous holder from sources other
    /// than the store.
    #[derive(Copy, Eq)]
    pub struct HolderEvidence {
        /// The platform's list does not name the host, or a new process serves on its address.
        pub unlisted_or_replaced: bool,
        /// No live peer has received a heartbeat of the holder's incarnation for a lease time.
        pub unheard_by_peers: bool,
    }
}

value! {
    /// `ClaimPlan` is a claim that may be made now.
    pub struct ClaimPlan {
        /// Member id to claim in this host's region.
        pub member: MemberId,
        /// Version that the lease object must have; none if it must not exist.
        pub expected_version: Option<Version>,
        /// Time after the claim during which the base shares must not be used, because loans and
        /// requests of the previous holder may still be running.
        pub activation_delay: Duration,
    }
}

#[derive(Debug, Clone)]
struct ObservedMember {
    version: Version,
    lease: MemberLease,
    // Time without a change of the object, counted only while the store answered without a gap.
    unchanged_for: Duration,
}

/// `MemberTable` is one host's view of the leases on all member ids. The host may claim only ids of
/// its own region.
#[derive(Debug)]
pub struct MemberTable {
    options: TableOptions,
    region: RegionId,
    member_count: u32,
    observed: BTreeMap<MemberKey, ObservedMember>,
    last_answer_at: Option<BootTime>,
    complete: bool,
}

impl MemberTable {
    /// Creates an empty table for a host whose region has `member_count` ids.
    pub fn new(options: TableOptions, region: &str, member_count: u32) -> Self {
        Self {
            options,
            region: region.to_owned(),
            member_count,
            observed: BTreeMap::new(),
            last_answer_at: None,
            complete: false,
        }
    }

    /// Changes the time limits and the number of ids of the region. Observed leases are kept.
    pub fn set_options(&mut self, options: TableOptions, member_count: u32) {
        self.options = options;
        self.member_count = member_count;
    }

    /// Records that the store answered at `now`. The time since the previous answer counts as
    /// unchanged for every lease, unless it exceeds the longest answer gap; then counting starts
    /// again at zero.
    pub fn note_store_answer(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.last_answer_at.unwrap_or(now));
        self.last_answer_at = Some(now);
        for member in self.observed.values_mut() {
            if elapsed > self.options.max_answer_gap {
                member.unchanged_for = Duration::ZERO;
            } else {
                member.unchanged_for += elapsed;
            }
        }
    }

    /// Applies the state of one id's lease object; `lease` is none if the object is gone. A version
    /// that is not newer than the observed one is ignored.
    pub fn observe(&mut self, member: &MemberKey, version: Version, lease: Option<&MemberLease>) {
        let Some(lease) = lease else {
            self.observed.remove(member);
            return;
        };
        let known = self.observed.get(member);
        if known.is_some_and(|known| known.version >= version) {
            return;
        }
        let observed = ObservedMember {
            version,
            lease: lease.clone(),
            unchanged_for: Duration::ZERO,
        };
        self.observed.insert(member.clone(), observed);
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
        let observed = self.observed.get(member)?;
        Some((&observed.lease, observed.version))
    }

    /// Gets all leases that are not released.
    pub fn held_leases(&self) -> impl Iterator<Item = &MemberLease> {
        let leases = self.observed.values().map(|observed| &observed.lease);
        leases.filter(|lease| !lease.released)
    }

    /// Tells whether every id except that of `host` was claimed with `generation` or a later one in
    /// force. If so, no other host can hold a share of an earlier generation.
    pub fn others_claimed_since(&self, generation: Generation, host: &str) -> bool {
        let mut others = self
            .observed
            .values()
            .filter(|observed| observed.lease.host != host);
        others.all(|observed| observed.lease.claimed_generation >= generation)
    }

    /// Finds an id that `host` may claim now. The id that it held last comes first, then an id that
    /// was never held or was released, then an id whose holder is gone by all evidence.
    pub fn find_claimable(
        &self,
        host: &str,
        evidence: &impl Fn(MemberId, &MemberLease) -> HolderEvidence,
    ) -> Option<ClaimPlan> {
        let own = (0..self.member_count).find(|member| {
            let observed = self.observed_member(*member);
            observed.is_some_and(|observed| observed.lease.host == host)
        });
        let free = (0..self.member_count).find(|member| {
            let observed = self.observed_member(*member);
            observed.is_none_or(|observed| observed.lease.released)
        });
        // The same host name with a new incarnation is a new process that replaces the old one.
        if let Some(plan) = own.or(free).map(|member| self.plan_claim(member)) {
            return Some(plan);
        }
        for member in 0..self.member_count {
            let Some(observed) = self.observed_member(member) else {
                continue;
            };
            if observed.unchanged_for < self.options.lease_time {
                continue;
            }
            let evidence = evidence(member, &observed.lease);
            if evidence.unlisted_or_replaced && evidence.unheard_by_peers {
                return Some(self.plan_claim(member));
            }
        }
        None
    }

    fn observed_member(&self, member: MemberId) -> Option<&ObservedMember> {
        self.observed.get(&MemberKey::new(&self.region, member))
    }

    fn plan_claim(&self, member: MemberId) -> ClaimPlan {
        let observed = self.observed_member(member);
        let wait_out_ms = observed.map_or(0, |observed| observed.lease.wait_out_ms);
        ClaimPlan {
            member,
            expected_version: observed.map(|observed| observed.version),
            activation_delay: Duration::from_millis(wait_out_ms),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);
    const HOLDER_GONE: HolderEvidence = HolderEvidence {
        unlisted_or_replaced: true,
        unheard_by_peers: true,
    };

    fn table_with_held_id() -> MemberTable {
        let mut table = MemberTable::new(TableOptions::default(), "lima", 1);
        let mut lease = MemberLease::new("a", 1, "127.0.0.1:1");
        lease.wait_out_ms = 4_000;
        table.observe(&MemberKey::new("lima", 0), 5, Some(&lease));
        table.set_complete();
        table.note_store_answer(SECOND);
        table
    }

    fn note_answers_each_second(table: &mut MemberTable, seconds: std::ops::Range<u32>) {
        for second in seconds {
            table.note_store_answer(SECOND * second);
        }
    }

    #[test]
    fn a_store_outage_makes_no_id_claimable() {
        let mut table = table_with_held_id();
        // The store is down for an hour and then answers once; no holder could renew in the
        // meantime.
        table.note_store_answer(SECOND * 3_600);
        assert_eq!(table.find_claimable("b", &|_, _| HOLDER_GONE), None);
        note_answers_each_second(&mut table, 3_601..3_606);
        assert_eq!(table.find_claimable("b", &|_, _| HOLDER_GONE), None);
        table.note_store_answer(SECOND * 3_606);
        let plan = table.find_claimable("b", &|_, _| HOLDER_GONE).unwrap();
        assert_eq!(plan.expected_version, Some(5));
        assert_eq!(plan.activation_delay, SECOND * 4);
    }

    #[test]
    fn ids_of_other_regions_are_observed_but_not_claimed() {
        let mut table = table_with_held_id();
        let lease = MemberLease::new("c", 1, "127.0.0.1:2");
        table.observe(&MemberKey::new("iquitos", 0), 6, Some(&lease));
        assert_eq!(table.held_leases().count(), 2);
        note_answers_each_second(&mut table, 2..20);
        assert_eq!(
            table
                .find_claimable("c", &|_, _| HOLDER_GONE)
                .unwrap()
                .expected_version,
            Some(5)
        );
    }

    #[test]
    fn claims_of_earlier_generations_are_detected() {
        let mut table = table_with_held_id();
        let mut lease = MemberLease::new("c", 1, "127.0.0.1:2");
        lease.claimed_generation = 4;
        table.observe(&MemberKey::new("iquitos", 0), 6, Some(&lease));
        assert!(table.others_claimed_since(4, "a"));
        assert!(!table.others_claimed_since(5, "a"));
        assert!(!table.others_claimed_since(4, "b"));
    }

    #[test]
    fn both_kinds_of_evidence_are_required() {
        let mut table = table_with_held_id();
        note_answers_each_second(&mut table, 2..20);
        for evidence in [(false, true), (true, false), (false, false)] {
            let evidence = HolderEvidence {
                unlisted_or_replaced: evidence.0,
                unheard_by_peers: evidence.1,
            };
            assert_eq!(table.find_claimable("b", &|_, _| evidence), None);
        }
        assert!(table.find_claimable("b", &|_, _| HOLDER_GONE).is_some());
    }

    #[test]
    fn a_renewal_restarts_the_unchanged_time() {
        let mut table = table_with_held_id();
        note_answers_each_second(&mut table, 2..7);
        let lease = MemberLease::new("a", 1, "127.0.0.1:1");
        table.observe(&MemberKey::new("lima", 0), 6, Some(&lease));
        note_answers_each_second(&mut table, 7..10);
        assert_eq!(table.find_claimable("b", &|_, _| HOLDER_GONE), None);
    }

    #[test]
    fn a_new_process_of_the_same_host_reclaims_its_id() {
        let table = table_with_held_id();
        let no_evidence = HolderEvidence {
            unlisted_or_replaced: false,
            unheard_by_peers: false,
        };
        let plan = table.find_claimable("a", &|_, _| no_evidence).unwrap();
        assert_eq!(plan.member, 0);
        assert_eq!(plan.activation_delay, SECOND * 4);
    }
}

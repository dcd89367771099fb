//! The lease on a member id: claim, renewal, and what becomes of it when another process has it.

use super::{HeldMember, MemberService};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, MemberId, Version},
};
use fighall_membership::{
    lease::{MemberKey, MemberLease},
    table::ClaimPlan,
};
use fighall_store::{client::WriteOutcome, object::kinds};

/// Renewals within a lease time.
const RENEWALS: u32 = 3;

impl MemberService {
    pub(super) async fn claim_or_renew(&self) {
        let held = self.held.borrow().clone();
        match held {
            Some(held) => self.renew(held).await,
            None => self.claim().await,
        }
    }

    async fn renew(&self, held: HeldMember) {
        let now = boot_time();
        if now.saturating_sub(held.renewed_at) < self.lease_time.get() / RENEWALS {
            return;
        }
        let mut lease = held.lease.clone();
        lease.renewal += 1;
        lease.wait_out_ms = self.wait_out_ms();
        let outcome = self.write(held.member, &lease, Some(held.version)).await;
        match outcome {
            Ok(WriteOutcome::Written { version }) => {
                self.note_heard(now);
                if let Some(current) = self.held.borrow_mut().as_mut() {
                    current.version = version;
                    current.lease = lease;
                    current.renewed_at = now;
                }
            }
            Ok(WriteOutcome::Conflict { current }) => {
                self.resolve_conflict(
                    current
                        .as_ref()
                        .map(|object| (object.version, object.value.as_str())),
                );
            }
            // The store does not answer: the base shares outlive its outage.
            Err(_) => {}
        }
    }

    // An earlier renewal of this process may have taken effect late; anything else is a loss.
    fn resolve_conflict(&self, current: Option<(Version, &str)>) {
        let lease = current.and_then(|(version, text)| {
            let lease: MemberLease = serde_json::from_str(text).ok()?;
            let own = lease.is_held_by(&self.identity.host, self.identity.incarnation);
            own.then_some((version, lease))
        });
        match lease {
            Some((version, lease)) => {
                if let Some(held) = self.held.borrow_mut().as_mut() {
                    held.version = version;
                    held.lease = lease;
                }
            }
            None => self.lose("another process holds the member id"),
        }
    }

    async fn claim(&self) {
        let now = boot_time();
        if self.config.config().is_none() || !self.table.borrow().is_complete() {
            return;
        }
        let plan = {
            let table = self.table.borrow();
            let evidence = |_: MemberId, lease: &MemberLease| self.evidence(now, lease);
            table.find_claimable(&self.identity.host, &evidence)
        };
        let Some(plan) = plan else {
            return;
        };
        let lease = self.new_lease();
        let outcome = self.write(plan.member, &lease, plan.expected_version).await;
        if let Ok(WriteOutcome::Written { version }) = outcome {
            self.take_member(now, &plan, version, lease);
            self.mirrors.refresh(kinds::POINTERS).await;
            self.mirrors.refresh(kinds::MEMBERS).await;
        }
    }

    fn take_member(&self, now: BootTime, plan: &ClaimPlan, version: Version, lease: MemberLease) {
        let held = HeldMember {
            member: plan.member,
            version,
            lease,
            claimed_at: boot_time(),
            renewed_at: now,
            active_at: boot_time() + plan.activation_delay,
        };
        *self.held.borrow_mut() = Some(held);
        self.note_heard(now);
        let wait = plan.activation_delay.as_millis();
        let cause = format!("claimed; base shares rest for {wait} ms");
        self.record(Some(plan.member), &cause);
        self.changed.notify(usize::MAX);
    }

    pub(super) async fn write(
        &self,
        member: MemberId,
        lease: &MemberLease,
        expected: Option<Version>,
    ) -> fighall_store::errors::Result<WriteOutcome> {
        let text = serde_json::to_string(lease).unwrap_or_default();
        let name = self.object_name(member);
        match expected {
            None => self.store.create(kinds::MEMBERS, &name, &text).await,
            Some(version) => self.store.put(kinds::MEMBERS, &name, &text, version).await,
        }
    }

    pub(super) fn object_name(&self, member: MemberId) -> String {
        MemberKey::new(&self.identity.region, member).object_name()
    }

    fn new_lease(&self) -> MemberLease {
        let identity = &self.identity;
        MemberLease {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
            claimed_generation: self.config.generation(),
            peer_address: identity.peer_address.clone(),
            forward_address: identity.forward_address.clone(),
            caller_address: identity.caller_address.clone(),
            operator_address: identity.operator_address.clone(),
            region: identity.region.clone(),
            zone: identity.zone.clone(),
            renewal: 0,
            released: false,
            wait_out_ms: self.wait_out_ms(),
        }
    }

    // Loans last up to their term and requests up to the term of slots, each with its margin.
    pub(super) fn wait_out_ms(&self) -> u64 {
        let config = self.config.config();
        config.map_or(0, |config| {
            let longest = config.fleet.loan_ms.max(config.fleet.slot_loan_ms);
            longest + longest / 50 + 40
        })
    }
}

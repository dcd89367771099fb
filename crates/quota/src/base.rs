//! Base shares: the portion of a quota that a member holds by its id, before any loan.

use crate::amount::{QuotaLimit, TOKEN};
use fighall_core::{
    ids::{Generation, MemberId},
    rendezvous, tag, value,
};

/// Smallest burst, in whole tokens, that a holder's base share should have. With a smaller share
/// a host could never serve a request without a loan.
const MIN_HOLDER_TOKENS: u64 = 4;

tag! {
    /// `ShareStart` says when the first base share of a ledger may be used.
    pub enum ShareStart {
        /// Immediately, since no other member can hold a share of another generation.
        #[serde(rename = "at_once")]
        Immediate,
        /// After its generation has settled.
        Settled,
    }
}

/// `BaseShare` is the base share in force, and the one that replaces it when its generation has
/// settled.
#[derive(Debug, Clone)]
pub(crate) struct BaseShare<T> {
    pub(crate) generation: Generation,
    pub(crate) effective: T,
    pending: Option<T>,
}

impl<T: Copy> BaseShare<T> {
    pub(crate) fn new(generation: Generation, share: T) -> Self {
        Self {
            generation,
            effective: share,
            pending: None,
        }
    }

    pub(crate) fn with_start(generation: Generation, share: T, start: ShareStart, zero: T) -> Self {
        match start {
            ShareStart::Immediate => Self::new(generation, share),
            ShareStart::Settled => Self {
                generation,
                effective: zero,
                pending: Some(share),
            },
        }
    }

    // A change that keeps the holders takes effect at once: all members together stay within the
    // larger limit. A change of the holders lowers at once and raises when it has settled.
    pub(crate) fn update(
        &mut self,
        generation: Generation,
        share: T,
        same_holders: bool,
        min: impl Fn(T, T) -> T,
    ) {
        self.generation = generation;
        if same_holders && self.pending.is_none() {
            self.effective = share;
            return;
        }
        self.effective = min(self.effective, share);
        self.pending = Some(share);
    }

    pub(crate) fn apply_settled(&mut self, settled: Generation) {
        if settled >= self.generation
            && let Some(share) = self.pending.take()
        {
            self.effective = share;
        }
    }
}

value! {
    /// `RatePosition` is a member's position among the members that share a quota.
    #[derive(Eq)]
    pub struct RatePosition {
        key: String,
        member: MemberId,
        members: u32,
    }
}

impl RatePosition {
    /// Creates the position of `member` among `members` for the quota named `key`.
    pub fn new(key: &str, member: MemberId, members: u32) -> Self {
        Self {
            key: key.to_owned(),
            member,
            members: members.max(1),
        }
    }

    /// Computes the base share of a limit. The shares of all members add up exactly to the limit.
    pub fn share(&self, limit: QuotaLimit) -> QuotaLimit {
        let holders = self.holder_count(limit);
        let Some(index) = self.holder_index(holders) else {
            return QuotaLimit::default();
        };
        QuotaLimit {
            rate: equal_share(limit.rate, holders, index),
            capacity: equal_share(limit.capacity, holders, index),
        }
    }

    /// Returns whether both limits are divided among the same holders. Only then do all members
    /// together stay within the larger limit while some have applied the change and some have not.
    pub fn same_holders(&self, other: &Self, limit: QuotaLimit, previous: QuotaLimit) -> bool {
        self == other && self.holder_count(limit) == other.holder_count(previous)
    }

    fn holder_count(&self, limit: QuotaLimit) -> u32 {
        let max_holders = limit.capacity / (MIN_HOLDER_TOKENS * TOKEN);
        let max_holders = u32::try_from(max_holders).unwrap_or(u32::MAX);
        max_holders.clamp(1, self.members)
    }

    // A large quota is divided among all members in the order of their ids. A small one is held
    // by the members that rendezvous hashing ranks first, so that small quotas are spread out.
    fn holder_index(&self, holders: u32) -> Option<u32> {
        // An id beyond the configured number of members has no share.
        if self.member >= self.members {
            return None;
        }
        if holders == self.members {
            return Some(self.member);
        }
        let own_weight = rendezvous::weight(&self.key, &self.member.to_string());
        let mut rank = 0;
        for other in 0..self.members {
            let weight = rendezvous::weight(&self.key, &other.to_string());
            if (weight, other) > (own_weight, self.member) {
                rank += 1;
            }
        }
        Some(rank).filter(|rank| *rank < holders)
    }
}

fn equal_share(total: u64, holders: u32, index: u32) -> u64 {
    let holders = u64::from(holders);
    let remainder = u64::from(u64::from(index) < total % holders);
    total / holders + remainder
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_add_up_exactly() {
        for members in [1, 2, 3, 9, 100] {
            for burst in [1, 2, 5, 17, 80, 1_000_003] {
                let limit = QuotaLimit::new(burst * 3, burst);
                let mut sum = QuotaLimit::default();
                for member in 0..members {
                    sum = sum.plus(RatePosition::new("k", member, members).share(limit));
                }
                assert_eq!(sum, limit, "{members} members, burst {burst}");
            }
        }
    }

    #[test]
    fn a_member_beyond_the_configured_number_has_no_share() {
        for burst in [1, 5, 100] {
            let limit = QuotaLimit::new(10, burst);
            for member in 9..30 {
                assert!(RatePosition::new("k", member, 9).share(limit).is_zero());
            }
        }
    }

    #[test]
    fn a_small_quota_is_held_by_few_members() {
        let limit = QuotaLimit::new(1, 5);
        let holders =
            (0..9).filter(|member| !RatePosition::new("k", *member, 9).share(limit).is_zero());
        assert_eq!(holders.count(), 1);
    }
}

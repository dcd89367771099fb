//! Messages by which shares move between hosts.

use crate::amount::{MicroTokens, QuotaLimit};
use fighall_core::{
    ids::{HostId, Incarnation, OrgId, RegionId, TargetId},
    message, value,
};
use std::time::Duration;

message! {
    /// `QuotaKey` names a quota.
    #[derive(Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum QuotaKey {
        /// An organisation's rate and burst, in requests.
        Organisation(OrgId),
        /// A link's cap in one direction, in KiB.
        Link {
            /// Region that sends.
            from: RegionId,
            /// Region that receives.
            to: RegionId,
        },
        /// A target's slots.
        Slots(TargetId),
    }
}

impl std::fmt::Display for QuotaKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Organisation(name) => write!(f, "organisation/{name}"),
            Self::Link { from, to } => write!(f, "link/{from}/{to}"),
            Self::Slots(target) => write!(f, "slots/{target}"),
        }
    }
}

message! {
    /// `LoanId` identifies a loan, or the asking for one, for all time.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct LoanId {
        /// Host that issued the id.
        pub host: HostId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Number within the incarnation.
        pub number: u64,
    }
}

message! {
    /// `LoanAsk` asks a host for a part of its share.
    pub struct LoanAsk {
        /// Identifier of the asking.
        pub id: LoanId,
        /// Quota.
        pub key: QuotaKey,
        /// Rate and capacity wanted; for slots the capacity alone counts, in whole tokens.
        pub wanted: QuotaLimit,
        /// Tokens wanted now.
        pub tokens: MicroTokens,
    }
}

message! {
    /// `LoanGrant` is one loan. The lender has debited it already.
    pub struct LoanGrant {
        /// Identifier of the loan.
        pub id: LoanId,
        /// Rate and capacity that move.
        pub portion: QuotaLimit,
        /// Tokens that move with the capacity.
        pub tokens: MicroTokens,
        /// Time for which it holds, from when the borrower sent its asking.
        pub term: Duration,
    }
}

message! {
    /// `LoanAnswer` answers an asking; it may grant nothing.
    pub struct LoanAnswer {
        /// Identifier of the asking.
        pub ask: LoanId,
        /// Quota.
        pub key: QuotaKey,
        /// Loans granted.
        pub grants: Vec<LoanGrant>,
    }
}

message! {
    /// `LoanRenewal` asks a lender to extend a loan.
    pub struct LoanRenewal {
        /// Identifier of the loan.
        pub id: LoanId,
        /// Quota.
        pub key: QuotaKey,
        /// Number of this renewal at the borrower.
        pub number: u64,
    }
}

message! {
    /// `LoanExtension` extends a loan by `term` from when the borrower sent the renewal.
    pub struct LoanExtension {
        /// Identifier of the loan.
        pub id: LoanId,
        /// Quota.
        pub key: QuotaKey,
        /// Number of the renewal.
        pub number: u64,
        /// New time for which it holds.
        pub term: Duration,
    }
}

message! {
    /// `LoanReturn` gives a loan back before its end. The borrower has debited it already.
    pub struct LoanReturn {
        /// Identifier of the loan.
        pub id: LoanId,
        /// Quota.
        pub key: QuotaKey,
        /// Tokens that come back with it.
        pub tokens: MicroTokens,
    }
}

message! {
    /// `LoanMessage` is any message between lenders and borrowers.
    #[serde(rename_all = "snake_case")]
    pub enum LoanMessage {
        /// Asks for a loan.
        Ask(LoanAsk),
        /// Answers an asking.
        Answer(LoanAnswer),
        /// Asks for an extension.
        Renew(LoanRenewal),
        /// Grants an extension.
        Extend(LoanExtension),
        /// Gives a loan back.
        Return(LoanReturn),
    }
}

value! {
    /// `OutgoingLoan` is a message for one host.
    pub struct OutgoingLoan {
        /// Receiver.
        pub peer: HostId,
        /// Message.
        pub message: LoanMessage,
    }
}

impl OutgoingLoan {
    /// Addresses a message.
    pub fn new(peer: &str, message: LoanMessage) -> Self {
        Self {
            peer: peer.to_owned(),
            message,
        }
    }
}

/// Issues the ids of one incarnation of a host.
#[derive(Debug, Clone)]
pub struct IdSource {
    host: HostId,
    incarnation: Incarnation,
    next: u64,
}

impl IdSource {
    /// Creates the source of a host's incarnation.
    pub fn new(host: &str, incarnation: Incarnation) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            next: 0,
        }
    }

    /// Issues an id.
    pub fn issue(&mut self) -> LoanId {
        self.next += 1;
        LoanId {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number: self.next,
        }
    }
}

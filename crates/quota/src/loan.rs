//! Messages that move shares between hosts.

use crate::amount::{MicroTokens, QuotaLimit};
use fighall_core::{
    ids::{HostId, Incarnation, OrgId, RegionId, TargetId},
    message, value,
};
use std::time::Duration;

message! {
    /// `QuotaKey` identifies a quota.
    #[derive(Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum QuotaKey {
        /// Request rate and burst of an organisation.
        Organisation(OrgId),
        /// Rate and burst of a link in one direction, in KiB.
        Link {
            /// Sending region.
            from: RegionId,
            /// Receiving region.
            to: RegionId,
        },
        /// Slots of a target.
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
    /// `LoanId` identifies a loan or a loan request. Ids are never reused.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct LoanId {
        /// Host that issued the id.
        pub host: HostId,
        /// Incarnation of that host.
        pub incarnation: Incarnation,
        /// Sequence number within the incarnation.
        pub number: u64,
    }
}

message! {
    /// `LoanRequest` requests a portion of a host's share.
    pub struct LoanRequest {
        /// Identifier of the loan request.
        pub id: LoanId,
        /// Quota.
        pub key: QuotaKey,
        /// Rate and capacity requested; for slots only the capacity counts, one token per slot.
        pub wanted: QuotaLimit,
        /// Tokens requested for immediate use.
        pub tokens: MicroTokens,
    }
}

message! {
    /// `LoanGrant` is one loan. The lender has already debited it.
    pub struct LoanGrant {
        /// Identifier of the loan.
        pub id: LoanId,
        /// Rate and capacity lent.
        pub portion: QuotaLimit,
        /// Tokens transferred with the capacity.
        pub tokens: MicroTokens,
        /// Duration of the loan, from when the borrower sent its request.
        pub term: Duration,
    }
}

message! {
    /// `LoanResponse` responds to a loan request; it may grant nothing.
    pub struct LoanResponse {
        /// Identifier of the loan request.
        #[serde(rename = "ask")]
        pub request_id: LoanId,
        /// Quota.
        pub key: QuotaKey,
        /// Loans granted, at most one for each source of the lender.
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
        /// Sequence number of this renewal of the loan, set by the borrower.
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
        /// Sequence number of the renewal.
        pub number: u64,
        /// New duration of the loan.
        pub term: Duration,
    }
}

message! {
    /// `LoanReturn` returns a loan before its end. The borrower has already debited it.
    pub struct LoanReturn {
        /// Identifier of the loan.
        pub id: LoanId,
        /// Quota.
        pub key: QuotaKey,
        /// Unspent tokens that are returned with it.
        pub tokens: MicroTokens,
    }
}

message! {
    /// `LoanMessage` is a message between a lender and a borrower.
    #[serde(rename_all = "snake_case")]
    pub enum LoanMessage {
        /// Requests a loan.
        #[serde(rename = "ask")]
        Request(LoanRequest),
        /// Responds to a loan request.
        #[serde(rename = "answer")]
        Response(LoanResponse),
        /// Requests an extension.
        Renew(LoanRenewal),
        /// Grants an extension.
        Extend(LoanExtension),
        /// Returns a loan.
        Return(LoanReturn),
    }
}

value! {
    /// `OutgoingMessage` is a message to send to a host.
    pub struct OutgoingMessage {
        /// Host that receives the message.
        pub peer: HostId,
        /// Message.
        pub message: LoanMessage,
    }
}

impl OutgoingMessage {
    /// Creates a message to `peer`.
    pub fn new(peer: &str, message: LoanMessage) -> Self {
        Self {
            peer: peer.to_owned(),
            message,
        }
    }
}

/// `IdGenerator` generates the loan ids of one incarnation of a host.
#[derive(Debug, Clone)]
pub struct IdGenerator {
    host: HostId,
    incarnation: Incarnation,
    last_number: u64,
}

impl IdGenerator {
    /// Creates the source for one incarnation of a host.
    pub fn new(host: &str, incarnation: Incarnation) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            last_number: 0,
        }
    }

    /// Generates the next id.
    pub fn next_id(&mut self) -> LoanId {
        self.last_number += 1;
        LoanId {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number: self.last_number,
        }
    }
}

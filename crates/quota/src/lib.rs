//! Quotas that hold across a fleet: shares, loans and their ledgers.
//!
//! A quota is a limit that many hosts share: a rate with its burst, or a number of slots. Each
//! member holds a *base share* of it; the base shares of all members add up to the quota. A host
//! spends only what it holds. Shares move as *loans*: the lender debits its ledger before it sends
//! the grant, the borrower credits its own on receipt, and the loan expires by the borrower's clock
//! before the lender reclaims it. A lost, duplicate or late message can therefore make a portion
//! of the quota unusable for a while, but can never exceed the quota. This is the escrow method
//! (O'Neil, 1986) with the rule of the demarcation protocol that the limit moves before the value
//! (Barbará and Garcia-Molina, 1994).
//!
//! Time is an argument of every operation; the crate starts no tasks and performs no I/O.
//!
//! ```
//! use fighall_quota::{
//!     amount::{QuotaLimit, TOKEN},
//!     base::{RatePosition, ShareStart},
//!     rate::{LoanOptions, RateLedger},
//! };
//! use std::time::Duration;
//!
//! // An organisation may send 90 requests per second in bursts of up to 36; this is member 0
//! // of 9.
//! let limit = QuotaLimit::new(90, 36);
//! let position = RatePosition::new("acme", 0, 9);
//! let mut ledger = RateLedger::new(LoanOptions::default(), "host-0", 1, Duration::ZERO);
//! ledger.set_base_share(Duration::ZERO, 1, limit, position, ShareStart::Immediate);
//! ledger.activate(Duration::ZERO);
//!
//! // The bucket starts empty and fills at one ninth of the rate.
//! assert!(!ledger.spend(Duration::ZERO, TOKEN));
//! assert!(ledger.spend(Duration::from_millis(100), TOKEN));
//! ```

#![forbid(unsafe_code)]

pub mod amount;
pub mod base;
mod borrowing;
pub mod estimator;
pub mod generations;
pub mod ledgers;
pub mod loan;
pub mod rate;
pub mod slots;
mod tracker;

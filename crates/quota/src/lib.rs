//! Conserved quotas: shares, loans and their ledgers.
//!
//! A quota is a limit that holds over many hosts: a rate with its burst, or a number of slots.
//! Each member holds a *base share* of it; the base shares of all members add up to the quota. A
//! host spends only from what it holds. Shares move as *loans*: the lender debits before it sends,
//! the borrower credits on receipt, and a loan ends at the borrower by its own clock before the
//! lender takes it back. A lost, doubled or late message can therefore lose room for a while but
//! never make any. This is the escrow method (O'Neil, 1986) with the demarcation protocol's rule
//! that the limit moves before the value (Barbará and Garcia-Molina, 1994).
//!
//! Time is an argument of every operation; the crate has no tasks and no I/O.
//!
//! ```
//! use fighall_quota::{
//!     amount::{QuotaLimit, TOKEN},
//!     base::{BaseHolder, ShareStart},
//!     rate::{RateLedger, RateOptions},
//! };
//! use std::time::Duration;
//!
//! // An organisation may send 90 requests a second and 36 at once; this is member 0 of 9.
//! let limit = QuotaLimit::new(90, 36);
//! let holder = BaseHolder::new("acme", 0, 9);
//! let mut ledger = RateLedger::new(RateOptions::default(), "host-0", 1, Duration::ZERO);
//! ledger.set_base(Duration::ZERO, 1, limit, holder, ShareStart::AtOnce);
//! ledger.activate(Duration::ZERO);
//!
//! // The bucket starts empty and fills at a ninth of the rate.
//! assert!(!ledger.spend(Duration::ZERO, TOKEN));
//! assert!(ledger.spend(Duration::from_millis(100), TOKEN));
//! ```

#![forbid(unsafe_code)]

pub mod amount;
mod asked;
mod asking;
pub mod base;
pub mod book;
pub mod demand;
pub mod loan;
pub mod rate;
pub mod settle;
pub mod slots;

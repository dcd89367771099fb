//! Shares: memory by quota, time by transfer and by upkeep.

use crate::memory::{ratio, resident};
use fighall_quota::{
    amount::{QuotaLimit, TOKEN},
    ledgers::{BaseAllocation, LedgerOptions, QuotaLedgers},
    loan::{LoanMessage, QuotaKey},
};
use std::time::{Duration, Instant};

/// Numbers of quotas in a book.
const SIZES: [u32; 3] = [1_000, 10_000, 100_000];
/// Transfers timed.
const TRANSFERS: u32 = 20_000;

pub(crate) fn run() {
    println!("quotas    B/quota  us/upkeep, idle  us/upkeep, in use  ns/quota in use");
    for size in SIZES {
        let before = resident();
        let mut book = new_book("host-a", 0, size);
        let bytes = resident().saturating_sub(before);
        let now = Duration::from_secs(1);
        let idle = time_upkeep(&mut book, now);
        for index in 0..size {
            book.record_demand(now, &key(index), TOKEN);
        }
        let used = time_upkeep(&mut book, now);
        println!(
            "{size:>7} {:>9.0} {idle:>16.0} {used:>18.0} {:>16.0}",
            ratio(bytes, u64::from(size)),
            used * 1e3 / f64::from(size)
        );
    }
    let (nanos, bytes) = time_transfers();
    println!(
        "one loan asked for, granted, taken in and returned: {nanos:.0} ns, {bytes} B of CBOR"
    );
}

// Gets the microseconds that one round of asking and upkeep takes.
fn time_upkeep(book: &mut QuotaLedgers, now: Duration) -> f64 {
    let started = Instant::now();
    book.loan_requests(now, &["host-b".to_owned()], |_, _| true);
    book.maintain_loans(now);
    started.elapsed().as_secs_f64() * 1e6
}

fn key(index: u32) -> QuotaKey {
    QuotaKey::Organisation(format!("organisation-{index}"))
}

fn new_book(host: &str, member: u32, size: u32) -> QuotaLedgers {
    let mut book = QuotaLedgers::new(LedgerOptions::default(), host, 1);
    let mut grants = Vec::new();
    for index in 0..size {
        grants.push(BaseAllocation {
            key: key(index),
            limit: QuotaLimit::new(100, 50),
            member,
            members: 2,
        });
    }
    book.set_base_shares(Duration::ZERO, 1, &grants);
    book.activate(Duration::ZERO);
    book
}

fn time_transfers() -> (f64, usize) {
    let mut lender = new_book("host-a", 0, 1);
    let mut borrower = new_book("host-b", 1, 1);
    let key = key(0);
    let mut bytes = 0;
    let mut spent = Duration::ZERO;
    for round in 0..TRANSFERS {
        let now = Duration::from_secs(10) + Duration::from_millis(u64::from(round) * 700);
        borrower.start_wait(now, &key, TOKEN * 40);
        let started = Instant::now();
        let asks = borrower.loan_requests(now, &["host-a".to_owned()], |_, _| true);
        for ask in asks {
            let answer = lender.handle(now, "host-b", &ask.message);
            if let Some(answer) = answer {
                borrower.handle(now, "host-a", &answer);
                bytes = size(&ask.message) + size(&answer);
            }
        }
        borrower.end_wait(now, &key, TOKEN * 40);
        for returned in borrower.return_all(now) {
            lender.handle(now, "host-b", &returned.message);
        }
        spent += started.elapsed();
    }
    (spent.as_secs_f64() * 1e9 / f64::from(TRANSFERS), bytes)
}

fn size(message: &LoanMessage) -> usize {
    let mut bytes = Vec::new();
    match ciborium::into_writer(message, &mut bytes) {
        Ok(()) => bytes.len(),
        Err(_) => 0,
    }
}

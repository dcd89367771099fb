//! Two hosts share a limit of ten requests a second and twenty at once. All requests come in at
//! one of them, which borrows the other's share.

use fighall::quota::{
    amount::{QuotaLimit, TOKEN},
    ledgers::{BaseAllocation, LedgerOptions, QuotaLedgers},
    loan::QuotaKey,
};
use std::time::Duration;

fn main() {
    let key = QuotaKey::Organisation("acme".to_owned());
    let mut books = Vec::new();
    for (member, host) in (0..).zip(["north", "south"]) {
        let mut book = QuotaLedgers::new(LedgerOptions::default(), host, 1);
        let grant = BaseAllocation {
            key: key.clone(),
            limit: QuotaLimit::new(10, 20),
            member,
            members: 2,
        };
        book.set_base_shares(Duration::ZERO, 1, &[grant]);
        book.activate(Duration::ZERO);
        books.push(book);
    }
    let [mut north, mut south] = <[QuotaLedgers; 2]>::try_from(books).expect("two books");

    // After four seconds both buckets are full: ten tokens each.
    let now = Duration::from_secs(4);
    let mut served = 0;
    while north.spend(now, &key, TOKEN) {
        served += 1;
    }
    println!("served from the own share: {served}");

    // Ten more requests wait; what south holds is asked for and lent.
    north.start_wait(now, &key, TOKEN * 10);
    for ask in north.loan_requests(now, &["south".to_owned()], |_, _| true) {
        if let Some(answer) = south.handle(now, "north", &ask.message) {
            north.handle(now, "south", &answer);
        }
    }
    while north.spend(now, &key, TOKEN) {
        served += 1;
    }
    println!("served with the borrowed share: {served}");
    assert_eq!(served, 20);
    assert!(!south.spend(now, &key, TOKEN));
}

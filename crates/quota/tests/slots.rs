//! When a slot ledger gives out its own and borrowed slots.

use fighall_core::ids::MemberId;
use fighall_quota::{
    base::ShareStart,
    loan::QuotaKey,
    rate::LoanOptions,
    slots::{SlotLedger, SlotPosition},
};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn ledger(host: &str, total: u32, member: MemberId, members: u32) -> SlotLedger {
    let mut ledger = SlotLedger::new(LoanOptions::with_term(SECOND * 10), host, 1);
    let position = SlotPosition { member, members };
    ledger.set_base_share(Duration::ZERO, 1, total, position, ShareStart::Immediate);
    ledger.activate();
    ledger
}

#[test]
fn a_borrowed_slot_serves_only_requests_that_end_before_the_loan() {
    let key = QuotaKey::Slots("t".to_owned());
    let mut lender = ledger("a", 2, 0, 2);
    let mut borrower = ledger("b", 2, 1, 2);
    assert!(borrower.acquire(SECOND, SECOND * 2).is_some());
    assert!(borrower.acquire(SECOND, SECOND * 2).is_none());
    let request = borrower.request(SECOND, &key, 1);
    let response = lender.lend(SECOND, &request, 0);
    assert!(lender.acquire(SECOND, SECOND * 2).is_none());
    assert_eq!(borrower.accept(SECOND * 2, "a", &response), 1);
    assert_eq!(borrower.accept(SECOND * 2, "a", &response), 0);
    assert!(borrower.acquire(SECOND * 2, SECOND * 12).is_none());
    assert!(borrower.acquire(SECOND * 2, SECOND * 11).is_some());
    assert!(lender.acquire(SECOND * 11, SECOND * 12).is_none());
    assert!(lender.acquire(SECOND * 12, SECOND * 13).is_some());
}

#[test]
fn a_permit_of_an_earlier_ledger_releases_nothing() {
    let mut old = ledger("a", 2, 0, 2);
    let permit = old.acquire(SECOND, SECOND * 2).unwrap();
    let mut new = SlotLedger::new(LoanOptions::with_term(SECOND * 10), "a", 2);
    let position = SlotPosition {
        member: 1,
        members: 2,
    };
    new.set_base_share(Duration::ZERO, 1, 2, position, ShareStart::Immediate);
    new.activate();
    assert!(new.acquire(SECOND, SECOND * 2).is_some());
    new.release(permit);
    assert!(new.acquire(SECOND, SECOND * 2).is_none());
}

#[test]
fn positions_divide_all_slots_and_others_get_none() {
    for total in 0..20 {
        let shares = (0..9).map(|member| SlotPosition::rotated("t", member, 3).share(total));
        assert_eq!(shares.sum::<u32>(), total);
    }
}

#[test]
fn a_deactivated_ledger_gives_out_no_slot() {
    let mut ledger = ledger("a", 9, 0, 3);
    assert!(ledger.acquire(SECOND, SECOND).is_some());
    ledger.deactivate();
    assert!(ledger.acquire(SECOND, SECOND).is_none());
}

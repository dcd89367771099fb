//! Reservations of a memory budget and of its shares.

use arbtest::arbtest;
use fighall_net::memory::{MemoryBudget, ReservePriority, ReservedBytes};

const PRIORITIES: [ReservePriority; 3] = [
    ReservePriority::Low,
    ReservePriority::Normal,
    ReservePriority::High,
];

#[test]
fn reservations_never_exceed_the_budget_or_a_share_and_are_given_back() {
    const BUDGET_BYTES: usize = 8_000;
    const SHARE_BYTES: usize = 2_000;
    arbtest(|input| {
        let budget = MemoryBudget::new(BUDGET_BYTES);
        let share = budget.share(SHARE_BYTES);
        let mut held: Vec<(bool, ReservedBytes)> = Vec::new();
        for _ in 0..100 {
            if input.is_empty() {
                break;
            }
            if input.ratio(1, 3)? && !held.is_empty() {
                let index = input.choose_index(held.len())?;
                held.swap_remove(index);
            } else {
                let is_share = input.arbitrary()?;
                let priority = *input.choose(&PRIORITIES)?;
                let mut reserved = ReservedBytes::new(if is_share { &share } else { &budget });
                let before = budget.available_bytes();
                let bytes = input.int_in_range(0..=3_000)?;
                if reserved.grow(bytes, priority).is_err() {
                    assert_eq!(budget.available_bytes(), before);
                }
                reserved.shrink(input.int_in_range(0..=3_000)?);
                held.push((is_share, reserved));
            }
            let total: usize = held.iter().map(|(_, reserved)| reserved.bytes()).sum();
            let of_share = held.iter().filter(|(is_share, _)| *is_share);
            let of_share: usize = of_share.map(|(_, reserved)| reserved.bytes()).sum();
            assert!(total <= BUDGET_BYTES && of_share <= SHARE_BYTES);
            assert_eq!(budget.available_bytes(), BUDGET_BYTES - total);
            assert_eq!(share.available_bytes(), SHARE_BYTES - of_share);
        }
        drop(held);
        assert_eq!(budget.available_bytes(), BUDGET_BYTES);
        assert_eq!(share.available_bytes(), SHARE_BYTES);
        Ok(())
    });
}

#[test]
fn reservations_of_low_priority_leave_room_for_others() {
    let budget = MemoryBudget::new(1_600);
    let mut reserved = ReservedBytes::new(&budget);
    assert!(reserved.grow(1_401, ReservePriority::Low).is_err());
    assert!(reserved.grow(1_400, ReservePriority::Low).is_ok());
    assert!(reserved.grow(101, ReservePriority::Normal).is_err());
    assert!(reserved.grow(100, ReservePriority::Normal).is_ok());
    assert!(reserved.grow(100, ReservePriority::High).is_ok());
    assert_eq!(budget.available_bytes(), 0);
}

//! The table of open connections: which connection is closed when there is no room.

use fighall_net::{
    connections::{ConnectionPhase, ConnectionSlot, ConnectionTable, TableOptions},
    memory::{MemoryBudget, ReservedBytes},
};
use futures_util::FutureExt;
use std::{rc::Rc, time::Duration};

/// Time after which a connection that was chosen to close would be marked.
const SHORT_WAIT: Duration = Duration::from_millis(50);

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

fn new_table(budget_bytes: usize, max_connections: usize) -> Rc<ConnectionTable> {
    ConnectionTable::new(TableOptions {
        budget: MemoryBudget::new(budget_bytes),
        max_connections,
    })
}

async fn admit(table: &Rc<ConnectionTable>, phase: ConnectionPhase) -> ConnectionSlot {
    let slot = table.admit().await.expect("room for a connection");
    slot.connection().set_phase(move || phase);
    slot
}

fn is_evicted(slot: &ConnectionSlot) -> bool {
    slot.connection().evicted().now_or_never().is_some()
}

// Tries to add a connection while none of the others ends.
async fn try_admit(table: &Rc<ConnectionTable>) -> bool {
    let admitted = compio::time::timeout(SHORT_WAIT, table.admit()).await;
    admitted.is_ok_and(|slot| slot.is_some())
}

#[test]
fn the_connection_that_waits_longest_makes_room_and_a_served_one_never_does() {
    run(async {
        let table = new_table(1 << 20, 3);
        let serving = admit(&table, ConnectionPhase::Serving).await;
        let receiving = admit(&table, ConnectionPhase::Receiving).await;
        let idle = admit(&table, ConnectionPhase::Idle).await;
        assert!(!try_admit(&table).await);
        assert!(!is_evicted(&serving) && is_evicted(&receiving) && !is_evicted(&idle));
        drop(receiving);
        let _next = admit(&table, ConnectionPhase::Serving).await;
        assert!(!try_admit(&table).await);
        assert!(!is_evicted(&serving) && is_evicted(&idle));
        drop(idle);
        let _last = admit(&table, ConnectionPhase::Serving).await;
        assert!(table.admit().await.is_none(), "all are being served");
        assert_eq!(table.counts().evicted, 2);
        assert_eq!(table.counts().rejected, 1);
    });
}

#[test]
fn a_body_gets_the_memory_of_stalled_connections_only() {
    run(async {
        let table = new_table(200 << 10, 10);
        let receiving = admit(&table, ConnectionPhase::Receiving).await;
        let idle = admit(&table, ConnectionPhase::Idle).await;
        let mut reserved = ReservedBytes::new(table.budget());
        let mut body = ReservedBytes::new(table.budget());
        let free_bytes = table.budget().available_bytes() - (200 << 10) / 8;
        let reserve = table.reserve_body(&mut reserved, free_bytes);
        reserve.await.expect("room for a body");
        // Nothing is stalled yet, so the next body is refused at once.
        assert!(table.reserve_body(&mut body, 20 << 10).await.is_err());
        for _ in 0..3 {
            table.mark_time();
        }
        let reserve = table.reserve_body(&mut body, 20 << 10);
        let waited = compio::time::timeout(SHORT_WAIT, reserve).await;
        assert!(waited.is_err(), "the stalled connection is still open");
        assert!(is_evicted(&receiving) && !is_evicted(&idle));
        drop(receiving);
        let reserve = table.reserve_body(&mut body, 20 << 10);
        reserve.await.expect("the memory of the stalled connection");
    });
}

#[test]
fn a_small_body_gets_memory_that_large_ones_leave_free() {
    run(async {
        let table = new_table(160 << 10, 10);
        let mut large = ReservedBytes::new(table.budget());
        let mut small = ReservedBytes::new(table.budget());
        table
            .reserve_body(&mut large, 140 << 10)
            .await
            .expect("room for a large body");
        assert!(table.reserve_body(&mut large, 1 << 10).await.is_err());
        let reserve = table.reserve_body(&mut small, 16 << 10);
        reserve.await.expect("room for a small body");
    });
}

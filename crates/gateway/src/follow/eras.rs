//! Recovery after the store was restored from an older copy, which begins a new era.

use super::StoreFollower;
use crate::roster::RESTORE_GRACE;
use fighall_core::clock::boot_time;
use slog::warn;
use std::rc::Rc;

impl StoreFollower {
    /// Lists all kinds again when a new store era begins, and once more after writers have had time to
    /// rewrite the lost objects. Until then this host keeps what it has in force.
    pub async fn follow_eras(self: Rc<Self>) {
        let mut handled_era = None;
        loop {
            let era_began = self.store.listen_era_change();
            if handled_era.is_none_or(|era| era == self.store.era()) {
                era_began.await;
            }
            let era = self.store.era();
            handled_era = Some(era);
            warn!(self.logger, "store came back from an older copy"; "era" => era);
            self.copies.note_restored(boot_time());
            self.relist_all();
            let next_era = self.store.listen_era_change();
            if self.store.era() != era {
                continue;
            }
            if compio::time::timeout(RESTORE_GRACE, next_era)
                .await
                .is_err()
            {
                self.relist_all();
            }
        }
    }

    fn relist_all(&self) {
        for state in self.kinds.values() {
            state.needs_list.set(true);
            self.wake(state);
        }
    }
}

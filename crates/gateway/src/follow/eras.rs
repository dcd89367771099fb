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
        let mut followed = None;
        loop {
            let began = self.store.listen_era();
            if followed.is_none_or(|era| era == self.store.era()) {
                began.await;
            }
            let era = self.store.era();
            followed = Some(era);
            warn!(self.logger, "store came back from an older copy"; "era" => era);
            self.copies.note_restored(boot_time());
            self.list_anew();
            let again = self.store.listen_era();
            if self.store.era() != era {
                continue;
            }
            if compio::time::timeout(RESTORE_GRACE, again).await.is_err() {
                self.list_anew();
            }
        }
    }

    fn list_anew(&self) {
        for state in self.kinds.values() {
            state.restarts.set(true);
            self.kick(state);
        }
    }
}

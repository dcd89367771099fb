//! The pace of links between regions: what goes into a link is paid from this host's share of it.

use crate::quotas::{QuotaService, WAIT_STEP, WaitMark};
use fighall_core::{clock::boot_time, ids::RegionId};
use fighall_net::body::BodyPace;
use fighall_quota::{amount::TOKEN, loan::QuotaKey};
use futures_util::{FutureExt, future::LocalBoxFuture};
use std::{cell::Cell, rc::Rc, time::Duration};

/// Bytes that one token of a link stands for.
pub const LINK_TOKEN_BYTES: u64 = 1_024;
/// Most link tokens that are spent at once.
const LINK_PART: u64 = 16 * TOKEN;

/// `LinkPace` holds traffic into one link to this host's share of it.
#[derive(Debug, Clone)]
pub struct LinkPace {
    quotas: Rc<QuotaService>,
    region: RegionId,
    key: QuotaKey,
    // Bytes that were paid before they were known to be sent.
    prepaid: Rc<Cell<usize>>,
}

impl LinkPace {
    /// Creates the pace of the link from the own region to another one.
    pub fn new(quotas: &Rc<QuotaService>, to: &str) -> Self {
        Self {
            quotas: Rc::clone(quotas),
            region: to.to_owned(),
            prepaid: Rc::new(Cell::new(0)),
            key: QuotaKey::Link {
                from: quotas.identity.region.clone(),
                to: to.to_owned(),
            },
        }
    }

    /// Tells whether `bytes` may be sent within `bound`, behind what waits already.
    pub fn has_room(&self, bytes: usize, bound: Duration) -> bool {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let amount = bytes.saturating_mul(TOKEN) / LINK_TOKEN_BYTES;
        let now = boot_time();
        let wait = self
            .quotas
            .book
            .borrow_mut()
            .wait_time(now, &self.key, amount);
        wait.is_some_and(|wait| wait <= bound)
    }

    /// Waits until `bytes` may be sent, and lets as many be sent later without a wait.
    pub async fn prepay(&self, bytes: usize) {
        self.clone().wait(bytes).await;
        self.prepaid.set(self.prepaid.get() + bytes);
    }

    /// Waits until `bytes` may be sent.
    pub fn wait(self, bytes: usize) -> LocalBoxFuture<'static, ()> {
        async move {
            let covered = bytes.min(self.prepaid.get());
            self.prepaid.set(self.prepaid.get() - covered);
            let bytes = bytes - covered;
            let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
            let mut left = bytes.saturating_mul(TOKEN) / LINK_TOKEN_BYTES;
            let now = boot_time();
            let quotas = &self.quotas;
            quotas.book.borrow_mut().record_demand(now, &self.key, left);
            // Large frames are paid in parts that fit into a small share's burst.
            while left > 0 {
                let part = left.min(LINK_PART);
                self.spend(part).await;
                left -= part;
            }
            let region = self.region.as_str();
            quotas
                .metrics
                .link_bytes
                .with_label_values(&[region])
                .inc_by(bytes);
        }
        .boxed_local()
    }

    /// Creates the pace of a body that goes into the link.
    pub fn of_body(&self) -> BodyPace {
        let pace = self.clone();
        Rc::new(move |bytes| pace.clone().wait(bytes))
    }

    async fn spend(&self, amount: u64) {
        let quotas = &self.quotas;
        if quotas.spend_link(&self.key, amount) {
            return;
        }
        let _mark = WaitMark::new(quotas, &self.key, amount);
        while !quotas.spend_link(&self.key, amount) {
            quotas.pause(WAIT_STEP).await;
        }
    }
}

//! Tokens of organisations: held back while a request waits for a slot, spent when it is sent.

use super::{QuotaService, RateRefusal, WAIT_STEP};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, OrgId},
};
use fighall_quota::{amount::TOKEN, loan::QuotaKey};
use std::{rc::Rc, time::Duration};

/// Part of an organisation's rate, in percent, up to which its demand counts as within it: the
/// estimate of whole bursts ripples.
const WITHIN_RATE_PERCENT: u64 = 105;
/// Factor on the wait for a token of an organisation that is within its rate.
const WITHIN_RATE_PATIENCE: u32 = 4;

/// `TokenReservation` holds a token back for a request until it is sent: the book counts the
/// request as waiting, so that the token is neither lent nor given back meanwhile. Dropping it lets
/// the token go.
#[derive(Debug)]
pub struct TokenReservation {
    quotas: Rc<QuotaService>,
    organisation: OrgId,
    key: QuotaKey,
    covered: bool,
}

impl TokenReservation {
    fn new(quotas: &Rc<QuotaService>, organisation: &str, key: &QuotaKey) -> Self {
        let mut book = quotas.book.borrow_mut();
        book.start_wait(boot_time(), key, TOKEN);
        Self {
            quotas: Rc::clone(quotas),
            organisation: organisation.to_owned(),
            key: key.clone(),
            covered: false,
        }
    }

    fn with_cover(mut self) -> Self {
        self.covered = true;
        self
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let mut book = self.quotas.book.borrow_mut();
        book.end_wait(boot_time(), &self.key, TOKEN);
        if self.covered {
            self.quotas.uncover(&self.organisation);
        }
    }
}

impl QuotaService {
    /// Holds a token of an organisation back for a request, once those before it have theirs.
    /// Waits for a loan no longer than the configuration's bound and `deadline`.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no token can be had in time; it is decided as early as it is known.
    pub async fn reserve(
        self: &Rc<Self>,
        organisation: &str,
        deadline: BootTime,
    ) -> std::result::Result<TokenReservation, RateRefusal> {
        let key = QuotaKey::Organisation(organisation.to_owned());
        let started_at = boot_time();
        self.book
            .borrow_mut()
            .record_demand(started_at, &key, TOKEN);
        let reservation = TokenReservation::new(self, organisation, &key);
        if self.cover(organisation, &key) {
            return Ok(reservation.with_cover());
        }
        let within_rate = self.is_within_rate(organisation, &key);
        let give_up_at = deadline.min(started_at + self.patience(within_rate));
        self.hurry.notify(1);
        loop {
            let now = boot_time();
            let hopeless = !within_rate && self.is_hopeless(&key, give_up_at);
            if now >= give_up_at || hopeless {
                return Err(self.rate_refusal(organisation, &key));
            }
            self.pause(WAIT_STEP.min(give_up_at - now)).await;
            if self.cover(organisation, &key) {
                return Ok(reservation.with_cover());
            }
        }
    }

    /// Spends the token of a reservation, at the time of sending. A loan may have ended since; a
    /// new token is waited for as in [`QuotaService::reserve`].
    ///
    /// # Errors
    ///
    /// Returns a refusal when no token was had in time.
    pub async fn redeem(
        &self,
        reservation: TokenReservation,
        deadline: BootTime,
    ) -> std::result::Result<(), RateRefusal> {
        let organisation = reservation.organisation.clone();
        let key = QuotaKey::Organisation(organisation.clone());
        if self.spend_token(&key) {
            return Ok(());
        }
        let within_rate = self.is_within_rate(&organisation, &key);
        let give_up_at = deadline.min(boot_time() + self.patience(within_rate));
        loop {
            let now = boot_time();
            if self.spend_token(&key) {
                return Ok(());
            }
            if now >= give_up_at {
                return Err(self.rate_refusal(&organisation, &key));
            }
            self.pause(WAIT_STEP.min(give_up_at - now)).await;
        }
    }

    fn spend_token(&self, key: &QuotaKey) -> bool {
        let now = boot_time();
        self.may_spend(now) && self.book.borrow_mut().spend(now, key, TOKEN)
    }

    fn cover(&self, organisation: &str, key: &QuotaKey) -> bool {
        let now = boot_time();
        if !self.may_spend(now) {
            return false;
        }
        let mut covered = self.covered.borrow_mut();
        let ahead = covered.get(organisation).copied().unwrap_or(0);
        let mut book = self.book.borrow_mut();
        let held = book.rate_view(now, key).map_or(0, |view| view.tokens);
        if held < ahead + TOKEN {
            return false;
        }
        *covered.entry(organisation.to_owned()).or_default() += TOKEN;
        true
    }

    fn uncover(&self, organisation: &str) {
        let mut covered = self.covered.borrow_mut();
        if let Some(amount) = covered.get_mut(organisation) {
            *amount = amount.saturating_sub(TOKEN);
            if *amount == 0 {
                covered.remove(organisation);
            }
        }
    }

    fn is_hopeless(&self, key: &QuotaKey, give_up_at: BootTime) -> bool {
        let now = boot_time();
        let bound = give_up_at.saturating_sub(now);
        self.book.borrow_mut().is_exhausted(now, key, bound)
    }

    fn rate_refusal(&self, organisation: &str, key: &QuotaKey) -> RateRefusal {
        let now = boot_time();
        let wait = self.book.borrow_mut().wait_time(now, key, TOKEN);
        let within_rate = self.is_within_rate(organisation, key);
        if within_rate {
            self.metrics
                .refused_within_rate
                .with_label_values(&[organisation])
                .inc();
        }
        RateRefusal {
            retry_after: wait.unwrap_or(Duration::from_secs(1)),
            within_rate,
        }
    }

    // The fleet gains tokens faster than an organisation within its rate asks for them: it is worth
    // waiting for them for longer.
    fn patience(&self, within_rate: bool) -> Duration {
        if within_rate {
            return self.loan_wait() * WITHIN_RATE_PATIENCE;
        }
        self.loan_wait()
    }

    fn is_within_rate(&self, organisation: &str, key: &QuotaKey) -> bool {
        let view = self.book.borrow_mut().rate_view(boot_time(), key);
        view.is_some_and(|view| {
            let fleet = view.smoothed_demand + self.demand_elsewhere(organisation);
            fleet * 100 <= view.limit.rate * WITHIN_RATE_PERCENT
        })
    }

    fn demand_elsewhere(&self, organisation: &str) -> u64 {
        let mut sum = 0;
        self.mesh.with_views(|views| {
            for view in views {
                for demand in &view.state.demands {
                    if demand.organisation == organisation {
                        sum += demand.rate;
                    }
                }
            }
        });
        sum
    }

    fn loan_wait(&self) -> Duration {
        let config = self.config.config();
        let millis = config.map_or(250, |config| config.fleet.loan_wait_ms);
        Duration::from_millis(millis)
    }
}

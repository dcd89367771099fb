//! Keeps the book of shares in line with the configuration, the member id, and what the other
//! members have in force.

use crate::{bases::base_grants, quotas::QuotaService};
use fighall_config::assembly::FleetConfig;
use fighall_core::{
    clock::{boot_time, wall_millis},
    ids::{BootTime, Generation, MemberId},
};
use fighall_quota::{
    generations::SettledGenerations,
    ledgers::{LedgerOptions, QuotaLedgers},
    rate::LoanOptions,
};
use fighall_store::object::kinds;
use std::{collections::BTreeMap, time::Duration};

impl QuotaService {
    // Brings the book in line with the configuration and the member id.
    pub(crate) fn sync(&self) {
        let now = boot_time();
        let member = self.members.member();
        let config = self.config.config();
        if member != self.book_member.get() {
            self.reset_book(config.as_deref());
            self.book_member.set(member);
        }
        let (Some(config), Some(member)) = (config, member) else {
            return;
        };
        if config.generation > self.book_generation.get() {
            self.set_bases(now, &config, member);
        }
        let inactive = !self.book.borrow().is_active();
        if inactive && self.may_spend(now) && self.knows_accepted_changes() {
            self.book.borrow_mut().activate(now);
        }
    }

    // Others may have raised their shares by a change that was accepted before this host claimed
    // its id: it must be in force here before the base shares are used.
    fn knows_accepted_changes(&self) -> bool {
        let confirmed_at = self.mirrors.confirmed_at(kinds::POINTERS);
        let claimed_at = self.members.claimed_at();
        if claimed_at.is_none() || confirmed_at < claimed_at || !self.config.is_latest() {
            return false;
        }
        let generation = self.config.generation();
        self.mesh.with_views(|views| {
            for view in views {
                if view.state.generation > generation {
                    return false;
                }
            }
            true
        })
    }

    // Another member id has other base shares, and what the old one lent or held belongs to its
    // successor: the book starts anew. A new incarnation keeps its loans apart from the old ones.
    fn reset_book(&self, config: Option<&FleetConfig>) {
        let mut options = LedgerOptions::default();
        if let Some(config) = config {
            options.rates = LoanOptions::with_term(Duration::from_millis(config.fleet.loan_ms));
            options.slots =
                LoanOptions::with_term(Duration::from_millis(config.fleet.slot_loan_ms));
        }
        let incarnation = wall_millis().max(self.identity.incarnation + 1);
        let book = QuotaLedgers::new(options, &self.identity.host, incarnation);
        *self.book.borrow_mut() = book.with_deferred_start();
        self.book_generation.set(0);
    }

    fn set_bases(&self, now: BootTime, config: &FleetConfig, member: MemberId) {
        self.learn_settled(now, config.generation);
        let grants = base_grants(config, &self.identity.region, member);
        self.book
            .borrow_mut()
            .set_base_shares(now, config.generation, &grants);
        self.book_generation.set(config.generation);
        let mut regions = BTreeMap::new();
        for service in config.services.values() {
            for target in &service.targets {
                regions.insert(target.name.clone(), target.region.clone());
            }
        }
        *self.regions.borrow_mut() = regions;
    }

    // A lease whose holder was not heard counts as one of no generation.
    pub(crate) fn confirm_generation(&self, now: BootTime) {
        let generation = self.config.generation();
        self.learn_settled(now, generation);
        let mut lowest = if self.knows_members() { generation } else { 0 };
        self.members.with_leases(|leases| {
            for lease in leases {
                if lease.host == self.identity.host {
                    continue;
                }
                let heard = self.mesh.with_view(&lease.host, |view| {
                    let same = view.last_incarnation == Some(lease.incarnation);
                    if same { view.state.generation } else { 0 }
                });
                lowest = lowest.min(heard.unwrap_or(0));
            }
        });
        self.book.borrow_mut().confirm_generation(now, lowest);
    }

    fn learn_settled(&self, now: BootTime, generation: Generation) {
        let mut settled = SettledGenerations::default();
        if self.knows_members() && self.members.is_claimed_since(generation) {
            settled.rates = generation;
            settled.slots = generation;
        }
        self.mesh.with_views(|views| {
            for view in views {
                settled = settled.max(view.state.settled);
            }
        });
        self.book.borrow_mut().merge_settled(now, settled);
    }

    // Whoever claims an id later than the generation in force was accepted knows that generation.
    fn knows_members(&self) -> bool {
        let confirmed_at = self.mirrors.confirmed_at(kinds::MEMBERS);
        confirmed_at.is_some_and(|at| at >= self.config.in_force_at())
    }
}

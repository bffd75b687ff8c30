//! The shares that a daemon lends to owners.

use std::net::SocketAddr;

use super::settings::to_us;
use super::{OrganisationHash, QuotaSettings};
use crate::sorted::SortedMap;

/// The maximum time for which a share counts as free; loans that ended earlier are forgotten.
const FREE_MAX_US: u64 = 60_000_000;

/// A loan of one share.
#[derive(Clone, Copy, Debug)]
struct Loan {
    to: SocketAddr,
    /// The highest sequence number of the owner's requests for this loan.
    sequence: u64,
    expires_us: u64,
}

/// The loans of a daemon: each share is lent to at most one owner at a time.
#[derive(Clone, Debug)]
pub struct Lender {
    settings: QuotaSettings,
    loans: SortedMap<OrganisationHash, Loan>,
}

impl Lender {
    /// Creates a lender that has lent nothing.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            loans: SortedMap::default(),
        }
    }

    /// Lends the share of an organisation, or renews its loan, and returns how long the share was
    /// free in milliseconds; `None` if another owner has it. This daemon has lent nothing before
    /// `ready_us`.
    pub fn lend(
        &mut self,
        now_us: u64,
        ready_us: u64,
        organisation: OrganisationHash,
        to: SocketAddr,
        sequence: u64,
    ) -> Option<u32> {
        let loan = self.loans.get(&organisation).copied();
        let is_lent = loan.is_some_and(|loan| loan.expires_us > now_us);
        if is_lent && loan.is_some_and(|loan| loan.to != to) {
            return None;
        }
        let free_since_us = loan.map_or(ready_us, |loan| loan.expires_us.max(ready_us));
        let free_us = now_us.saturating_sub(free_since_us).min(FREE_MAX_US);
        let renewed_sequence = loan.filter(|_| is_lent).map_or(0, |loan| loan.sequence);
        let renewed = Loan {
            to,
            sequence: sequence.max(renewed_sequence),
            expires_us: now_us + to_us(self.settings.loan_ms),
        };
        self.loans.insert(organisation, renewed);
        Some((free_us / 1_000) as u32)
    }

    /// Ends a loan that its owner gives back, unless the owner has renewed it since.
    pub fn release(
        &mut self,
        now_us: u64,
        organisation: OrganisationHash,
        from: SocketAddr,
        sequence: u64,
    ) {
        let Some(loan) = self.loans.get_mut(&organisation) else {
            return;
        };
        if loan.to == from && loan.sequence == sequence {
            loan.expires_us = loan.expires_us.min(now_us);
        }
    }

    /// Forgets the loans that ended more than `FREE_MAX_US` ago.
    pub fn forget(&mut self, now_us: u64) {
        self.loans
            .retain(|_, loan| loan.expires_us + FREE_MAX_US > now_us);
    }
}

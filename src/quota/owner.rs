//! The organisations that a daemon owns, with their buckets and the shares that it borrows.

use std::net::SocketAddr;

use super::settings::{to_ms_rounded_up, to_us};
use super::{Bucket, Grant, OrganisationHash, QuotaSettings, View};
use crate::organisations::Quota;
use crate::sorted::SortedMap;

/// The part of the rate that an owner must hold to say when the next token is available. With less,
/// it may only be waiting for loans.
const READY_PART: f64 = 0.9;

/// A request for the shares of some organisations at one lender.
#[derive(Clone, Debug, PartialEq)]
pub struct BorrowRequest {
    /// The address of the lender.
    pub to: SocketAddr,
    /// Increases with each request of the owner.
    pub sequence: u64,
    /// The organisations.
    pub organisations: Vec<OrganisationHash>,
}

/// The response of a lender to a request for its share of one organisation's rate.
#[derive(Clone, Copy, Debug)]
pub struct Loan {
    /// The organisation.
    pub organisation: OrganisationHash,
    /// The address of the lender.
    pub lender: SocketAddr,
    /// The number of daemons among which the lender counts the rate as shared out.
    pub lenders: u16,
    /// The sequence number of the request.
    pub sequence: u64,
    /// When the request was sent. The loan counts from then, so it ends at the owner before it ends
    /// at the lender.
    pub sent_us: u64,
    /// How long the share was free before; `None` if it is not lent.
    pub free_ms: Option<u32>,
}

/// The state of the requests to one lender for its share.
#[derive(Clone, Copy, Debug, Default)]
struct LenderState {
    /// When the next request is due.
    next_us: u64,
    /// The sequence number of the last request; 0 if there was none.
    sequence: u64,
}

/// An organisation that this daemon owns.
#[derive(Clone, Debug)]
struct Owned {
    bucket: Bucket,
    /// When the bucket was created.
    since_us: u64,
    /// The sequence number of the last request before this bucket was created. Responses to that and
    /// earlier ones are ignored: the shares may have been given back since.
    sequence_before: u64,
    /// When tokens were last asked for.
    used_us: u64,
    /// The lenders by the view with `view_version`.
    lenders: SortedMap<SocketAddr, LenderState>,
    view_version: u64,
}

/// The buckets of the organisations that a daemon owns.
#[derive(Clone, Debug)]
pub struct Owner {
    settings: QuotaSettings,
    owned: SortedMap<OrganisationHash, Owned>,
    sequence: u64,
}

impl Owner {
    /// Creates an owner of no organisation.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            owned: SortedMap::default(),
            sequence: 0,
        }
    }

    /// Returns the number of organisations that are owned and in use.
    pub fn len(&self) -> usize {
        self.owned.len()
    }

    /// Returns whether no organisation is owned and in use.
    pub fn is_empty(&self) -> bool {
        self.owned.is_empty()
    }

    /// Creates the bucket of an organisation that this daemon owns by its view, without shares yet,
    /// unless there is one.
    pub fn open(&mut self, now_us: u64, organisation: OrganisationHash, quota: Quota) {
        let sequence_before = self.sequence;
        let owned = self.owned.get_or_insert_with(organisation, || Owned {
            bucket: Bucket::new(now_us, quota),
            since_us: now_us,
            sequence_before,
            used_us: now_us,
            lenders: SortedMap::default(),
            view_version: 0,
        });
        owned.used_us = now_us;
    }

    /// Grants up to `waiting` tokens from a bucket, and up to `ahead` more while they are not
    /// short.
    ///
    /// The time of the next token is told once the first loans, with one retry, should have
    /// arrived, or once the bucket holds `READY_PART` of the rate.
    pub fn grant(
        &mut self,
        now_us: u64,
        organisation: OrganisationHash,
        waiting: u16,
        ahead: u16,
    ) -> Grant {
        let Some(owned) = self.owned.get_mut(&organisation) else {
            return Grant::UNKNOWN;
        };
        let tokens = owned.bucket.take(now_us, waiting, ahead);
        let loans_expected_us = owned.since_us + 2 * to_us(self.settings.retry_ms);
        let is_ready = now_us >= loans_expected_us || owned.bucket.held_part(now_us) >= READY_PART;
        let next_us = owned.bucket.next_token_us(now_us).filter(|_| is_ready);
        Grant {
            tokens,
            next_ms: next_us.map(|us| to_ms_rounded_up(us).max(1)),
        }
    }

    /// Returns the requests for shares that are due, and counts them as sent.
    pub fn due_requests(&mut self, now_us: u64, view: &View) -> Vec<BorrowRequest> {
        let sequence = now_us.max(self.sequence + 1);
        let mut requests: SortedMap<SocketAddr, Vec<OrganisationHash>> = SortedMap::default();
        for (organisation, owned) in self.owned.iter_mut() {
            owned.update_lenders(view, *organisation);
            for (lender, state) in owned.lenders.iter_mut() {
                if state.next_us > now_us {
                    continue;
                }
                state.next_us = now_us + to_us(self.settings.renew_ms);
                state.sequence = sequence;
                requests
                    .get_or_insert_with(*lender, Vec::new)
                    .push(*organisation);
            }
        }
        let mut due = Vec::new();
        for (to, organisations) in requests.iter() {
            self.sequence = sequence;
            due.push(BorrowRequest {
                to: *to,
                sequence,
                organisations: organisations.clone(),
            });
        }
        due
    }

    /// Records that a lender lent its share of an organisation, or that it did not.
    pub fn record_loan(&mut self, now_us: u64, loan: Loan) {
        let Some(owned) = self.owned.get_mut(&loan.organisation) else {
            return;
        };
        if loan.sequence <= owned.sequence_before {
            return;
        }
        let Some(free_ms) = loan.free_ms else {
            let retry_us = now_us + to_us(self.settings.retry_ms);
            if let Some(state) = owned.lenders.get_mut(&loan.lender) {
                state.next_us = retry_us.min(state.next_us);
            }
            return;
        };
        let expires_us = loan.sent_us + to_us(self.settings.loan_ms);
        let lenders = usize::from(loan.lenders).max(owned.lenders.len());
        owned
            .bucket
            .add_share(now_us, loan.lender, expires_us, lenders, free_ms);
    }

    /// Returns whether any bucket holds less than `READY_PART` of the rate.
    pub fn is_short_of_shares(&mut self, now_us: u64) -> bool {
        let mut buckets = self.owned.values_mut().map(|owned| &mut owned.bucket);
        buckets.any(|bucket| bucket.held_part(now_us) < READY_PART)
    }

    /// Applies a new set of quotas: buckets of organisations without one are dropped.
    pub fn set_quotas(&mut self, now_us: u64, quotas: &SortedMap<OrganisationHash, Quota>) {
        self.owned
            .retain(|organisation, _| quotas.contains_key(organisation));
        for (organisation, owned) in self.owned.iter_mut() {
            if let Some(quota) = quotas.get(organisation) {
                owned.bucket.set_quota(now_us, *quota);
            }
        }
    }

    /// Drops the buckets of organisations that this daemon no longer owns, and returns which shares
    /// to give back, each with the sequence number of the last request for it.
    pub fn drop_lost(&mut self, view: &mut View) -> Vec<BorrowRequest> {
        let mut lost = Vec::new();
        self.owned.retain(|organisation, owned| {
            if view.owner(*organisation) == Some(view.own()) {
                return true;
            }
            for (to, state) in owned.lenders.iter() {
                lost.push(BorrowRequest {
                    to: *to,
                    sequence: state.sequence,
                    organisations: vec![*organisation],
                });
            }
            false
        });
        lost
    }

    /// Drops the buckets of which no tokens were asked for within `idle_ms`. Their loans end by
    /// themselves.
    pub fn drop_idle(&mut self, now_us: u64) {
        let idle_us = to_us(self.settings.idle_ms);
        self.owned
            .retain(|_, owned| now_us < owned.used_us + idle_us);
    }
}

impl Owned {
    /// Follows a changed view: new lenders are asked at once, former ones are no longer asked.
    fn update_lenders(&mut self, view: &View, organisation: OrganisationHash) {
        if self.view_version == view.version() {
            return;
        }
        self.view_version = view.version();
        let mut lenders = SortedMap::default();
        for lender in view.lenders(organisation) {
            let state = self.lenders.get(&lender).copied().unwrap_or_default();
            lenders.insert(lender, state);
        }
        self.lenders = lenders;
    }
}

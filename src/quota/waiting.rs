//! The requests of a daemon that wait for a token, and the tokens granted to it.

use macro_rules_attribute::apply;

use super::lease::Lease;
use super::settings::{to_ms_rounded_up, to_us};
use super::{Grant, OrganisationHash, QuotaSettings};
use crate::derives::value;
use crate::ids::{CallKey, Priority};
use crate::sorted::SortedMap;

/// The time constant of the estimated demand of an organisation at this daemon.
const DEMAND_US: f64 = 1_000_000.0;

/// The time without requests after which the demand of an organisation is forgotten.
const DEMAND_IDLE_US: u64 = 10_000_000;

/// A request that asks for a token.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// The call.
    pub call: CallKey,
    /// Its priority: of the requests that wait, those of the highest priority get tokens first.
    pub priority: Priority,
    /// Until when it may wait.
    pub until_us: u64,
}

/// The response to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// The request has a token that expires at this time, in microseconds.
    Granted(u64),
    /// The request waits.
    Waiting,
    /// Tokens are short; the request is refused.
    Exceeded {
        /// The time until the next token.
        retry_after_ms: u32,
    },
}

/// What became of a request that waited.
#[apply(value!)]
pub enum Outcome {
    /// It has a token that expires at this time, in microseconds.
    Granted(u64),
    /// The quota is exhausted.
    Exceeded {
        /// The time until the next token.
        retry_after_ms: u32,
    },
    /// No owner answered in time.
    Unavailable,
}

/// The demand of one organisation at this daemon.
#[derive(Clone, Debug, Default)]
struct Demand {
    lease: Lease,
    /// The requests that wait, in the order in which they get tokens.
    waiting: Vec<WaitingRequest>,
    /// When the next token is available, as the owner said.
    short_until_us: u64,
    /// The number of requests that the request in flight to the owner asks for.
    asked: Option<u16>,
    ask_again_us: u64,
    /// The number of recent requests, decaying by [`DEMAND_US`].
    recent: f64,
    recent_us: u64,
}

/// Obtains tokens from owners for the requests that reach this daemon.
#[derive(Clone, Debug)]
pub struct TokenClient {
    settings: QuotaSettings,
    demands: SortedMap<OrganisationHash, Demand>,
}

impl TokenClient {
    /// Creates a client without tokens.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            demands: SortedMap::default(),
        }
    }

    /// Takes a token for a request, or lets it wait for one.
    pub fn take(
        &mut self,
        now_us: u64,
        organisation: OrganisationHash,
        request: WaitingRequest,
    ) -> Take {
        let demand = self
            .demands
            .get_or_insert_with(organisation, Demand::default);
        demand.record_request(now_us);
        if demand.waiting.is_empty()
            && let Some(expires_us) = demand.lease.take(now_us)
        {
            return Take::Granted(expires_us);
        }
        if demand.short_until_us > now_us {
            let retry_after_ms = to_ms_rounded_up(demand.short_until_us - now_us);
            return Take::Exceeded { retry_after_ms };
        }
        let index = demand
            .waiting
            .partition_point(|other| other.priority >= request.priority);
        demand.waiting.insert(index, request);
        Take::Waiting
    }

    /// Returns the number of tokens to request from the owner for the requests that wait, and the
    /// number to request ahead, and counts the request as sent. Returns `None` if nothing waits, a
    /// request is in flight or the delay after a failed one is not over.
    pub fn next_ask(&mut self, now_us: u64, organisation: OrganisationHash) -> Option<(u16, u16)> {
        let demand = self.demands.get_mut(&organisation)?;
        if demand.waiting.is_empty() || demand.asked.is_some() || demand.ask_again_us > now_us {
            return None;
        }
        let rate_per_us = demand.recent / DEMAND_US;
        let ahead = rate_per_us * to_us(self.settings.ahead_ms) as f64;
        let waiting = u16::try_from(demand.waiting.len()).unwrap_or(u16::MAX);
        demand.asked = Some(waiting);
        Some((waiting, ahead as u16))
    }

    /// Returns the organisations of which requests wait.
    pub fn waiting_organisations(&self) -> Vec<OrganisationHash> {
        let mut organisations = Vec::new();
        for (organisation, demand) in self.demands.iter() {
            if !demand.waiting.is_empty() {
                organisations.push(*organisation);
            }
        }
        organisations
    }

    /// Distributes the tokens that the owner granted in response to a message sent at `sent_us`.
    /// They expire `lease_ms` after that time. If the owner granted fewer than were asked for and
    /// says when the next token is available, the requests without one are refused; otherwise they
    /// go on waiting.
    pub fn record_grant(
        &mut self,
        now_us: u64,
        sent_us: u64,
        organisation: OrganisationHash,
        grant: Grant,
    ) -> Vec<(CallKey, Outcome)> {
        let Some(demand) = self.demands.get_mut(&organisation) else {
            return Vec::new();
        };
        let asked = demand.asked.take().unwrap_or(0);
        let expires_us = sent_us + to_us(self.settings.lease_ms);
        demand.lease.add(grant.tokens, expires_us);
        let mut decided = demand.distribute(now_us);
        if demand.waiting.is_empty() {
            return decided;
        }
        match grant.next_ms {
            None => demand.ask_again_us = now_us + to_us(self.settings.retry_ms),
            Some(next_ms) if grant.tokens < asked => {
                demand.short_until_us = now_us + to_us(next_ms);
                for request in demand.waiting.drain(..) {
                    let retry_after_ms = next_ms;
                    decided.push((request.call, Outcome::Exceeded { retry_after_ms }));
                }
            }
            Some(_) => {}
        }
        decided
    }

    /// Records that the owner did not answer; it is asked again after a delay.
    pub fn record_failure(&mut self, now_us: u64, organisation: OrganisationHash) {
        if let Some(demand) = self.demands.get_mut(&organisation) {
            demand.asked = None;
            demand.ask_again_us = now_us + to_us(self.settings.retry_ms);
        }
    }

    /// Takes back a token that was not used, unless it has expired, and gives it to a request that
    /// waits.
    pub fn give_back(
        &mut self,
        now_us: u64,
        organisation: OrganisationHash,
        expires_us: u64,
    ) -> Vec<(CallKey, Outcome)> {
        let Some(demand) = self.demands.get_mut(&organisation) else {
            return Vec::new();
        };
        if expires_us > now_us {
            demand.lease.add(1, expires_us);
        }
        demand.distribute(now_us)
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, organisation: OrganisationHash, call: CallKey) {
        if let Some(demand) = self.demands.get_mut(&organisation) {
            demand.waiting.retain(|request| request.call != call);
        }
    }

    /// Removes the requests that have waited as long as they may, drops expired tokens and forgets
    /// organisations without demand. Returns the removed requests and the number of dropped tokens.
    pub fn expire(&mut self, now_us: u64) -> (Vec<(CallKey, Outcome)>, u64) {
        let mut decided = Vec::new();
        let mut lapsed = 0;
        for demand in self.demands.values_mut() {
            lapsed += demand.lease.expire(now_us);
            demand.waiting.retain(|request| {
                if request.until_us > now_us {
                    return true;
                }
                decided.push((request.call, Outcome::Unavailable));
                false
            });
        }
        self.demands.retain(|_, demand| demand.is_in_use(now_us));
        (decided, lapsed)
    }

    /// Drops all tokens and returns how many.
    pub fn drop_tokens(&mut self) -> u64 {
        let mut dropped = 0;
        for demand in self.demands.values_mut() {
            dropped += demand.lease.clear();
        }
        dropped
    }

    /// Returns whether any request waits or any token is unused.
    pub fn is_active(&self) -> bool {
        let is_active = |demand: &Demand| !demand.waiting.is_empty() || !demand.lease.is_empty();
        self.demands.values().any(is_active)
    }
}

impl Demand {
    fn record_request(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.recent_us) as f64;
        self.recent = self.recent * (-elapsed_us / DEMAND_US).exp() + 1.0;
        self.recent_us = now_us;
    }

    /// Gives tokens to the requests that wait, and returns the requests that got one.
    fn distribute(&mut self, now_us: u64) -> Vec<(CallKey, Outcome)> {
        let mut decided = Vec::new();
        while !self.waiting.is_empty() {
            let Some(expires_us) = self.lease.take(now_us) else {
                break;
            };
            let request = self.waiting.remove(0);
            decided.push((request.call, Outcome::Granted(expires_us)));
        }
        decided
    }

    fn is_in_use(&self, now_us: u64) -> bool {
        let is_recent = now_us.saturating_sub(self.recent_us) < DEMAND_IDLE_US;
        is_recent || self.asked.is_some() || !self.waiting.is_empty()
    }
}

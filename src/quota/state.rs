//! The decisions of one daemon on quotas: as the entry of requests, as an owner and as a lender.

use std::net::SocketAddr;

use super::settings::to_us;
use super::{
    BorrowRequest, Grant, Lender, Loan, Message, OrganisationHash, Outcome, Owner, QuotaSettings,
    Take, TokenClient, View, WaitingRequest,
};
use crate::ids::{CallKey, MemberId, Priority};
use crate::organisations::Quota;
use crate::sorted::SortedMap;

/// A request waits for its token for at most its remaining time divided by this.
const WAIT_DIVISOR: u64 = 3;

/// A message to send.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The address of the receiver, which may be this daemon.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
    /// What its response is for; `None` if the response does not matter.
    pub pending: Option<Pending>,
}

/// The purpose of a message whose response is awaited.
#[derive(Clone, Debug)]
pub enum Pending {
    /// Tokens from an owner.
    Ask {
        /// The organisation.
        organisation: OrganisationHash,
        /// When the message was sent.
        sent_us: u64,
    },
    /// Shares from a lender.
    Borrow {
        /// The request.
        request: BorrowRequest,
        /// When the message was sent.
        sent_us: u64,
    },
    /// The absent daemons.
    ListAbsent {
        /// The address that was asked.
        to: SocketAddr,
    },
}

/// What the service must do after an event.
#[derive(Clone, Debug, Default)]
pub struct Actions {
    /// Messages to send.
    pub outgoing: Vec<Outgoing>,
    /// Requests that no longer wait for a token.
    pub decided: Vec<(CallKey, Outcome)>,
    /// The number of tokens that this daemon granted as an owner.
    pub granted: u64,
    /// The number of tokens that this daemon was granted and that expired unused.
    pub lapsed: u64,
    /// The number of organisations of which this daemon is no longer the owner.
    pub owners_changed: u64,
}

/// The state of one daemon.
#[derive(Clone, Debug)]
pub struct QuotaState {
    settings: QuotaSettings,
    view: View,
    /// The view's version at which the buckets of other owners were last dropped.
    checked_version: u64,
    quotas: SortedMap<OrganisationHash, Quota>,
    client: TokenClient,
    owner: Owner,
    lender: Lender,
}

impl QuotaState {
    /// Creates the state of a daemon that starts and knows no other.
    pub fn new(settings: QuotaSettings, now_us: u64, id: MemberId, own: SocketAddr) -> Self {
        Self {
            view: View::new(settings.clone(), now_us, id, own),
            checked_version: 0,
            quotas: SortedMap::default(),
            client: TokenClient::new(settings.clone()),
            owner: Owner::new(settings.clone()),
            lender: Lender::new(settings.clone()),
            settings,
        }
    }

    /// Returns the view; after a change of it, [`Self::follow_view`] must be called.
    pub fn view_mut(&mut self) -> &mut View {
        &mut self.view
    }

    /// Returns the view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns whether an organisation has a quota.
    pub fn is_limited(&self, organisation: OrganisationHash) -> bool {
        self.quotas.contains_key(&organisation)
    }

    /// Returns whether no organisation has a quota.
    pub fn is_empty(&self) -> bool {
        self.quotas.is_empty()
    }

    /// Returns the number of organisations in use that this daemon owns.
    pub fn owned_len(&self) -> usize {
        self.owner.len()
    }

    /// Takes a token for a request with some time left, or lets the request wait for one.
    pub fn take(
        &mut self,
        now_us: u64,
        organisation: OrganisationHash,
        call: CallKey,
        priority: Priority,
        left_us: u64,
    ) -> (Take, Actions) {
        let wait_us = to_us(self.settings.wait_max_ms).min(left_us / WAIT_DIVISOR);
        let request = WaitingRequest {
            call,
            priority,
            until_us: now_us + wait_us,
        };
        let take = self.client.take(now_us, organisation, request);
        let mut actions = Actions::default();
        if take == Take::Waiting {
            self.ask(now_us, organisation, &mut actions);
        }
        (take, actions)
    }

    /// Takes back the token of a request that did not run.
    pub fn give_back(
        &mut self,
        now_us: u64,
        organisation: OrganisationHash,
        expires_us: u64,
    ) -> Actions {
        Actions {
            decided: self.client.give_back(now_us, organisation, expires_us),
            ..Actions::default()
        }
    }

    /// Removes a request that waits for a token.
    pub fn cancel(&mut self, organisation: OrganisationHash, call: CallKey) {
        self.client.cancel(organisation, call);
    }

    /// Handles a message of a daemon and returns the response.
    pub fn respond(&mut self, now_us: u64, message: Message) -> (Message, Actions) {
        let mut actions = Actions::default();
        let response = match message {
            Message::Ask {
                organisation,
                waiting,
                ahead,
            } => {
                let grant = self.grant(now_us, organisation, (waiting, ahead), &mut actions);
                Message::Grant(grant)
            }
            Message::Borrow {
                from,
                sequence,
                organisations,
            } => Message::Loans {
                free_ms: self.lend(now_us, from, sequence, &organisations),
                lenders: self.lenders_len(),
            },
            Message::Release {
                from,
                sequence,
                organisations,
            } => {
                self.release(now_us, from, sequence, &organisations);
                Message::Released
            }
            Message::ListAbsent => Message::Absent(self.view.absent(now_us)),
            // Not requests; a daemon sends these only as responses.
            Message::Grant(_) | Message::Loans { .. } | Message::Released | Message::Absent(_) => {
                Message::Released
            }
        };
        (response, actions)
    }

    /// Handles the response to a message; `None` if there is none.
    pub fn handle_response(
        &mut self,
        now_us: u64,
        pending: Pending,
        response: Option<Message>,
    ) -> Actions {
        let mut actions = Actions::default();
        match (pending, response) {
            (
                Pending::Ask {
                    organisation,
                    sent_us,
                },
                Some(Message::Grant(grant)),
            ) => {
                actions.decided = self
                    .client
                    .record_grant(now_us, sent_us, organisation, grant);
                self.ask(now_us, organisation, &mut actions);
            }
            (Pending::Ask { organisation, .. }, _) => {
                self.client.record_failure(now_us, organisation);
            }
            (Pending::Borrow { request, sent_us }, Some(Message::Loans { lenders, free_ms })) => {
                self.record_loans(now_us, sent_us, &request, lenders, &free_ms);
            }
            (Pending::ListAbsent { .. }, Some(Message::Absent(absent))) => {
                for (address, left_ms) in absent {
                    self.view.record_absent(now_us, address, left_ms);
                }
                self.view.record_absent_read();
            }
            (Pending::ListAbsent { to }, _) => self.view.record_no_answer(to),
            (Pending::Borrow { .. }, _) => {}
        }
        actions
    }

    /// Follows a changed view: drops the buckets of organisations that another daemon owns, and
    /// gives their shares back.
    pub fn follow_view(&mut self, now_us: u64) -> Actions {
        let mut actions = Actions::default();
        if self.checked_version == self.view.version() {
            return actions;
        }
        self.checked_version = self.view.version();
        let before = self.owner.len();
        for request in self.owner.drop_lost(&mut self.view) {
            let own = self.view.own();
            if request.to == own {
                self.release(now_us, own, request.sequence, &request.organisations);
                continue;
            }
            let message = Message::Release {
                from: own,
                sequence: request.sequence,
                organisations: request.organisations,
            };
            actions.outgoing.push(Outgoing {
                to: request.to,
                message,
                pending: None,
            });
        }
        actions.owners_changed = (before - self.owner.len()) as u64;
        actions
    }

    /// Applies the quotas of a new route table.
    pub fn set_quotas(&mut self, now_us: u64, quotas: SortedMap<OrganisationHash, Quota>) {
        self.quotas = quotas;
        self.owner.set_quotas(now_us, &self.quotas);
    }

    /// Renews loans, and drops idle buckets, ended loans and former daemons; called every
    /// `renew_ms`.
    pub fn renew(&mut self, now_us: u64) -> Actions {
        self.view.forget(now_us);
        self.lender.forget(now_us);
        self.owner.drop_idle(now_us);
        let mut actions = self.follow_view(now_us);
        for to in self.view.next_to_ask(now_us) {
            actions.outgoing.push(Outgoing {
                to,
                message: Message::ListAbsent,
                pending: Some(Pending::ListAbsent { to }),
            });
        }
        self.borrow(now_us, &mut actions);
        actions
    }

    /// Ends waits that have lasted too long, and asks owners and lenders again.
    pub fn check(&mut self, now_us: u64) -> Actions {
        let (decided, lapsed) = self.client.expire(now_us);
        let mut actions = Actions {
            decided,
            lapsed,
            ..Actions::default()
        };
        for organisation in self.client.waiting_organisations() {
            self.ask(now_us, organisation, &mut actions);
        }
        self.borrow(now_us, &mut actions);
        actions
    }

    /// Returns whether requests wait, tokens are unused or shares are missing, so that
    /// [`Self::check`] must be called soon.
    pub fn needs_check(&mut self, now_us: u64) -> bool {
        self.client.is_active() || self.owner.is_short_of_shares(now_us)
    }

    /// Drops all tokens after a pause of the process, and returns how many.
    pub fn drop_tokens(&mut self) -> u64 {
        self.client.drop_tokens()
    }

    /// Asks the owner for tokens, unless nothing waits or a request is in flight.
    fn ask(&mut self, now_us: u64, organisation: OrganisationHash, actions: &mut Actions) {
        let Some((waiting, ahead)) = self.client.next_ask(now_us, organisation) else {
            return;
        };
        let Some(to) = self.view.owner(organisation) else {
            self.client.record_failure(now_us, organisation);
            return;
        };
        let sent_us = now_us;
        actions.outgoing.push(Outgoing {
            to,
            message: Message::Ask {
                organisation,
                waiting,
                ahead,
            },
            pending: Some(Pending::Ask {
                organisation,
                sent_us,
            }),
        });
    }

    /// Grants tokens if this daemon is the owner by its view.
    fn grant(
        &mut self,
        now_us: u64,
        organisation: OrganisationHash,
        (waiting, ahead): (u16, u16),
        actions: &mut Actions,
    ) -> Grant {
        let Some(quota) = self.quotas.get(&organisation).copied() else {
            return Grant::UNKNOWN;
        };
        if self.view.owner(organisation) != Some(self.view.own()) {
            return Grant::UNKNOWN;
        }
        self.owner.open(now_us, organisation, quota);
        self.borrow(now_us, actions);
        let grant = self.owner.grant(now_us, organisation, waiting, ahead);
        actions.granted += u64::from(grant.tokens);
        grant
    }

    /// Requests the shares that are due; this daemon's own need no message.
    fn borrow(&mut self, now_us: u64, actions: &mut Actions) {
        let own = self.view.own();
        for request in self.owner.due_requests(now_us, &self.view) {
            if request.to == own {
                let free_ms = self.lend(now_us, own, request.sequence, &request.organisations);
                let lenders = self.lenders_len();
                self.record_loans(now_us, now_us, &request, lenders, &free_ms);
                continue;
            }
            let message = Message::Borrow {
                from: own,
                sequence: request.sequence,
                organisations: request.organisations.clone(),
            };
            let (to, sent_us) = (request.to, now_us);
            actions.outgoing.push(Outgoing {
                to,
                message,
                pending: Some(Pending::Borrow { request, sent_us }),
            });
        }
    }

    fn record_loans(
        &mut self,
        now_us: u64,
        sent_us: u64,
        request: &BorrowRequest,
        lenders: u16,
        free_ms: &[Option<u32>],
    ) {
        for (organisation, free_ms) in request.organisations.iter().zip(free_ms) {
            let loan = Loan {
                organisation: *organisation,
                lender: request.to,
                lenders,
                sequence: request.sequence,
                sent_us,
                free_ms: *free_ms,
            };
            self.owner.record_loan(now_us, loan);
        }
    }

    /// Lends this daemon's shares of some organisations to a daemon, where that is the owner by its
    /// own view. Returns for each how long the share was free, in milliseconds; `None` if it is not
    /// lent.
    fn lend(
        &mut self,
        now_us: u64,
        to: SocketAddr,
        sequence: u64,
        organisations: &[OrganisationHash],
    ) -> Vec<Option<u32>> {
        let mut free_ms = Vec::new();
        for organisation in organisations {
            let may_borrow =
                self.view.owner(*organisation) == Some(to) && self.view.is_lender(*organisation);
            let since_us = self.view.may_lend_since(now_us, *organisation, to);
            let lent = since_us.filter(|_| may_borrow).and_then(|ready_us| {
                self.lender
                    .lend(now_us, ready_us, *organisation, to, sequence)
            });
            free_ms.push(lent);
        }
        free_ms
    }

    fn release(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        sequence: u64,
        organisations: &[OrganisationHash],
    ) {
        for organisation in organisations {
            self.lender.release(now_us, *organisation, from, sequence);
        }
    }

    fn lenders_len(&self) -> u16 {
        u16::try_from(self.view.lenders_len()).unwrap_or(u16::MAX)
    }
}

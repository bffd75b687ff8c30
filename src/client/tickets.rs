//! The tickets that a client took ahead.

use std::time::{Duration, Instant};

use crate::ids::ServiceName;
use crate::run_once::Ticket;
use crate::sorted::SortedMap;

/// The greatest number of tickets kept for one service.
const TICKETS_MAX: usize = 64;

/// The time after which an unused ticket is dropped.
const TICKET_AGE_MAX: Duration = Duration::from_secs(30);

/// A ticket and the time it was handed out.
struct KeptTicket {
    ticket: Ticket,
    since: Instant,
}

/// The tickets that a client took ahead, by service.
#[derive(Default)]
pub(super) struct TicketStock {
    tickets: SortedMap<ServiceName, Vec<KeptTicket>>,
}

impl TicketStock {
    /// Takes a ticket that is not too old.
    pub(super) fn take(&mut self, service: &ServiceName, now: Instant) -> Option<Ticket> {
        let tickets = self.tickets.get_mut(service)?;
        tickets.retain(|kept| now.duration_since(kept.since) < TICKET_AGE_MAX);
        Some(tickets.pop()?.ticket)
    }

    /// Keeps tickets for later requests.
    pub(super) fn put(&mut self, service: &ServiceName, handed_out: &[Ticket], now: Instant) {
        let tickets = self.tickets.get_or_insert_with(service.clone(), Vec::new);
        for ticket in handed_out {
            if tickets.len() >= TICKETS_MAX {
                return;
            }
            tickets.push(KeptTicket {
                ticket: *ticket,
                since: now,
            });
        }
    }
}

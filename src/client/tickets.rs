//! A cache of unused tickets, which saves later requests the attempt that fetches a ticket.

use std::time::{Duration, Instant};

use crate::ids::ServiceName;
use crate::run_once::Ticket;
use crate::sorted::SortedMap;

/// The maximum number of cached tickets of one service.
const TICKETS_PER_SERVICE_MAX: usize = 64;

/// The age at which a cached ticket is dropped.
const TICKET_AGE_MAX: Duration = Duration::from_secs(30);

/// A cached ticket and the time at which it was received.
struct CachedTicket {
    ticket: Ticket,
    received_at: Instant,
}

/// Unused tickets by service.
#[derive(Default)]
pub(super) struct TicketCache {
    tickets: SortedMap<ServiceName, Vec<CachedTicket>>,
}

impl TicketCache {
    /// Drops the expired tickets of a service, then removes and returns its newest one.
    pub(super) fn pop(&mut self, service: &ServiceName, now: Instant) -> Option<Ticket> {
        let tickets = self.tickets.get_mut(service)?;
        tickets.retain(|cached| now.duration_since(cached.received_at) < TICKET_AGE_MAX);
        Some(tickets.pop()?.ticket)
    }

    /// Caches issued tickets for later requests, up to [`TICKETS_PER_SERVICE_MAX`].
    pub(super) fn insert(&mut self, service: &ServiceName, issued: &[Ticket], now: Instant) {
        let tickets = self.tickets.get_or_insert_with(service.clone(), Vec::new);
        for ticket in issued {
            if tickets.len() >= TICKETS_PER_SERVICE_MAX {
                return;
            }
            tickets.push(CachedTicket {
                ticket: *ticket,
                received_at: now,
            });
        }
    }
}

//! The tickets of the calls that a running request makes, so that a repeat of such a call keeps its
//! ticket.

use super::RunOnce;
use crate::ids::{CallKey, RequestId};
use crate::run_once::Ticket;
use crate::run_once::run::{Run, RunState};

impl RunOnce {
    /// Returns the ticket of a call that the running request of `parent` made before.
    pub fn child_ticket(&mut self, parent: CallKey, child: RequestId) -> Option<Ticket> {
        self.running_parent(parent)?
            .child_tickets
            .get(&child)
            .copied()
    }

    /// Keeps the ticket of a call until its parent ends, and returns the one that is to be used.
    ///
    /// A ticket that is kept already stays. `None` where the parent does not run, or has more calls
    /// than are remembered: then the call may not run.
    pub fn keep_child_ticket(
        &mut self,
        parent: CallKey,
        child: RequestId,
        ticket: Ticket,
    ) -> Option<Ticket> {
        let children_max = self.settings.children_max;
        let run = self.running_parent(parent)?;
        if run.child_tickets.len() >= children_max && !run.child_tickets.contains_key(&child) {
            return None;
        }
        Some(*run.child_tickets.get_or_insert_with(child, || ticket))
    }

    /// Forgets the ticket of a call whose issuer said that it did not run.
    pub fn drop_child_ticket(&mut self, parent: CallKey, child: RequestId, ticket: Ticket) {
        let Some(run) = self.running_parent(parent) else {
            return;
        };
        if run.child_tickets.get(&child) == Some(&ticket) {
            run.child_tickets.remove(&child);
        }
    }

    fn running_parent(&mut self, call: CallKey) -> Option<&mut Run> {
        let slot = self.runs.find_by_call(call)?;
        let run = self.runs.get_mut(slot)?;
        (run.call == call && run.state == RunState::Sent).then_some(run)
    }
}

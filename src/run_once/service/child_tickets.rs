//! The tickets of the child calls that a running request makes, kept while it runs so that a repeat
//! of a child call uses the same ticket.

use super::RunOnce;
use crate::ids::{CallKey, RequestId};
use crate::run_once::Ticket;
use crate::run_once::run::{Run, RunState};

impl RunOnce {
    /// Returns the ticket of a child call that the running request of `parent` made before.
    pub fn child_ticket(&mut self, parent: CallKey, child: RequestId) -> Option<Ticket> {
        self.running_parent(parent)?
            .child_tickets
            .get(&child)
            .copied()
    }

    /// Keeps the ticket of a child call until its parent finishes, and returns the ticket to use.
    ///
    /// If a ticket is already kept for the child, that one is returned and `ticket` is ignored.
    /// Returns `None` if the parent is not running or already has `children_max` child calls; the
    /// call must not run then.
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

    /// Removes the ticket of a child call whose issuer reported that it did not run.
    pub fn drop_child_ticket(&mut self, parent: CallKey, child: RequestId, ticket: Ticket) {
        let Some(run) = self.running_parent(parent) else {
            return;
        };
        if run.child_tickets.get(&child) == Some(&ticket) {
            run.child_tickets.remove(&child);
        }
    }

    fn running_parent(&mut self, call: CallKey) -> Option<&mut Run> {
        let handle = self.runs.find_by_call(call)?;
        let run = self.runs.get_mut(handle)?;
        (run.call == call && run.state == RunState::Sent).then_some(run)
    }
}

//! The runs in memory, indexed by ticket, by claim and by call.
//!
//! Finished runs, which completed or were refused, are kept in the order in which they finished, so
//! that repeats get the verdict until the run is evicted by age or by memory use.

use std::collections::VecDeque;

use slotmap::{SlotMap, new_key_type};

use super::Ticket;
use super::claim::{ClaimDigest, ClaimProgress};
use super::service::answer_bytes;
use crate::ids::{CallKey, RequestId};
use crate::sorted::SortedMap;
use crate::verdict::{Refusal, Verdict};

new_key_type! {
    /// The key of a run in memory.
    pub(super) struct RunHandle;
}

/// The memory of a run without its answer, in bytes; 96 bytes account for its index entries.
const RUN_OVERHEAD_BYTES: usize = size_of::<Run>() + 96;

/// The ticket or claim that identifies a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunId {
    /// The sequence number of a ticket.
    Ticket(u64),
    /// The digest of a claim's key.
    Claim(ClaimDigest),
}

/// The progress of a run.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunState {
    /// The insert of its claim row has not been decided by the table.
    Pending,
    /// The request may be sent to the target.
    Ready,
    /// The request was sent to the target.
    Sent,
    /// The run completed with this verdict.
    Completed(Verdict),
    /// The request was refused and never sent.
    Refused(Refusal),
}

/// One request that runs at most once.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) id: RunId,
    pub(super) request_id: RequestId,
    /// The call that is admitted and sent to the target.
    pub(super) call: CallKey,
    pub(super) state: RunState,
    /// The calls with the same ticket or claim that get the verdict of this run.
    pub(super) joined: Vec<CallKey>,
    /// Whether the call that created or reopened the run and every call that joined it since
    /// carried `is_first_try`; always true for a ticket.
    pub(super) has_only_first_attempts: bool,
    pub(super) claim: Option<ClaimProgress>,
    /// The tickets of the child calls that the target makes while the request runs.
    pub(super) child_tickets: SortedMap<RequestId, Ticket>,
    kept: Option<KeptEntry>,
}

/// The position of a finished run in the finish order, and its memory.
#[derive(Clone, Copy, Debug)]
struct KeptEntry {
    finish_number: u64,
    bytes: usize,
}

/// A finished run in the finish order.
#[derive(Clone, Copy, Debug)]
struct FinishOrderEntry {
    finish_number: u64,
    handle: RunHandle,
    finished_us: u64,
}

/// The runs in memory and their indices.
#[derive(Debug, Default)]
pub(super) struct Runs {
    arena: SlotMap<RunHandle, Run>,
    tickets: SortedMap<u64, RunHandle>,
    claims: SortedMap<ClaimDigest, RunHandle>,
    calls: SortedMap<CallKey, RunHandle>,
    finish_order: VecDeque<FinishOrderEntry>,
    last_finish_number: u64,
    kept_bytes: usize,
}

impl Run {
    /// Creates the run of a ticket, which may be sent at once.
    pub(super) fn for_ticket(sequence: u64, request_id: RequestId, call: CallKey) -> Self {
        Self {
            id: RunId::Ticket(sequence),
            request_id,
            call,
            state: RunState::Ready,
            joined: Vec::new(),
            has_only_first_attempts: true,
            claim: None,
            child_tickets: SortedMap::default(),
            kept: None,
        }
    }

    /// Creates the run of a claim whose row is still to be inserted.
    pub(super) fn for_claim(
        digest: ClaimDigest,
        nonce: u64,
        request_id: RequestId,
        call: CallKey,
    ) -> Self {
        Self {
            id: RunId::Claim(digest),
            state: RunState::Pending,
            claim: Some(ClaimProgress::new(nonce)),
            ..Self::for_ticket(0, request_id, call)
        }
    }

    fn memory_bytes(&self) -> usize {
        match &self.state {
            RunState::Completed(Verdict::Ran(answer)) => RUN_OVERHEAD_BYTES + answer_bytes(answer),
            _ => RUN_OVERHEAD_BYTES,
        }
    }
}

impl Runs {
    /// Adds a run.
    pub(super) fn insert(&mut self, run: Run) -> RunHandle {
        let (id, call) = (run.id, run.call);
        let handle = self.arena.insert(run);
        match id {
            RunId::Ticket(sequence) => self.tickets.insert(sequence, handle),
            RunId::Claim(claim) => self.claims.insert(claim, handle),
        };
        self.calls.insert(call, handle);
        handle
    }

    /// Finds a run by its ticket or claim.
    pub(super) fn find(&self, id: RunId) -> Option<RunHandle> {
        match id {
            RunId::Ticket(sequence) => self.tickets.get(&sequence).copied(),
            RunId::Claim(claim) => self.claims.get(&claim).copied(),
        }
    }

    /// Finds the run of a call.
    pub(super) fn find_by_call(&self, call: CallKey) -> Option<RunHandle> {
        self.calls.get(&call).copied()
    }

    /// Returns a run.
    pub(super) fn get(&self, handle: RunHandle) -> Option<&Run> {
        self.arena.get(handle)
    }

    /// Returns a run, mutably.
    pub(super) fn get_mut(&mut self, handle: RunHandle) -> Option<&mut Run> {
        self.arena.get_mut(handle)
    }

    /// Adds a call that waits for the verdict of a run.
    pub(super) fn join(&mut self, handle: RunHandle, call: CallKey) {
        let Some(run) = self.arena.get_mut(handle) else {
            return;
        };
        run.joined.push(call);
        self.calls.insert(call, handle);
    }

    /// Removes a call that waits for the verdict of a run.
    pub(super) fn remove_joined(&mut self, handle: RunHandle, call: CallKey) {
        let Some(run) = self.arena.get_mut(handle) else {
            return;
        };
        run.joined.retain(|joined| *joined != call);
        self.calls.remove(&call);
    }

    /// Removes and returns the calls that wait for the verdict of a run.
    pub(super) fn take_joined(&mut self, handle: RunHandle) -> Vec<CallKey> {
        let Some(run) = self.arena.get_mut(handle) else {
            return Vec::new();
        };
        let joined = std::mem::take(&mut run.joined);
        for call in &joined {
            self.calls.remove(call);
        }
        joined
    }

    /// Replaces the call that is admitted and sent to the target.
    pub(super) fn replace_call(&mut self, handle: RunHandle, call: CallKey) {
        let Some(run) = self.arena.get_mut(handle) else {
            return;
        };
        self.calls.remove(&run.call);
        run.call = call;
        self.calls.insert(call, handle);
    }

    /// Finishes a run in the given state and keeps it.
    ///
    /// If the run is already in the finish order, its position does not change.
    pub(super) fn finish(&mut self, handle: RunHandle, state: RunState, now_us: u64) {
        let Some(run) = self.arena.get_mut(handle) else {
            return;
        };
        run.state = state;
        run.child_tickets = SortedMap::default();
        let bytes = run.memory_bytes();
        self.kept_bytes += bytes;
        if let Some(kept) = &mut run.kept {
            self.kept_bytes -= kept.bytes;
            kept.bytes = bytes;
            return;
        }
        self.last_finish_number += 1;
        let finish_number = self.last_finish_number;
        run.kept = Some(KeptEntry {
            finish_number,
            bytes,
        });
        self.finish_order.push_back(FinishOrderEntry {
            finish_number,
            handle,
            finished_us: now_us,
        });
    }

    /// Removes a run from the finish order and sets its state, so that a refused run can continue.
    pub(super) fn reopen(&mut self, handle: RunHandle, state: RunState) {
        let Some(run) = self.arena.get_mut(handle) else {
            return;
        };
        run.state = state;
        let Some(kept) = run.kept.take() else {
            return;
        };
        self.kept_bytes -= kept.bytes;
        let index = self
            .finish_order
            .binary_search_by_key(&kept.finish_number, |entry| entry.finish_number);
        if let Ok(index) = index {
            self.finish_order.remove(index);
        }
    }

    /// Returns the run that finished first and its finish time.
    pub(super) fn oldest_finished(&self) -> Option<(RunHandle, u64)> {
        self.finish_order
            .front()
            .map(|entry| (entry.handle, entry.finished_us))
    }

    /// Removes a run.
    pub(super) fn remove(&mut self, handle: RunHandle) -> Option<Run> {
        self.take_joined(handle);
        self.reopen(handle, RunState::Pending);
        let run = self.arena.remove(handle)?;
        self.calls.remove(&run.call);
        match run.id {
            RunId::Ticket(sequence) => self.tickets.remove(&sequence),
            RunId::Claim(claim) => self.claims.remove(&claim),
        };
        Some(run)
    }

    /// Returns the memory of the finished runs that are kept, in bytes.
    pub(super) fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the number of runs.
    pub(super) fn len(&self) -> usize {
        self.arena.len()
    }
}

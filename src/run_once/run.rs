//! The runs in memory, found by ticket, by claim and by call.

use std::collections::VecDeque;

use slotmap::{SlotMap, new_key_type};

use super::Ticket;
use super::claim::{ClaimName, ClaimProgress};
use super::service::answer_bytes;
use crate::ids::{CallKey, RequestId};
use crate::sorted::SortedMap;
use crate::verdict::{Refusal, Verdict};

new_key_type! {
    /// The place of a run in memory.
    pub(super) struct RunSlot;
}

/// The memory of a run beside its answer, with its places in the indices, in bytes.
const RUN_BYTES: usize = size_of::<Run>() + 96;

/// What a run is found by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunName {
    /// The sequence number of a ticket.
    Ticket(u64),
    /// The name of a claim.
    Claim(ClaimName),
}

/// How far a run is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunState {
    /// The table is asked for the claim.
    Pending,
    /// It may be sent to the target.
    Queued,
    /// It was sent to the target.
    Sent,
    /// It ended.
    Ended(Verdict),
    /// It was refused and never sent.
    Refused(Refusal),
}

/// One request that runs at most once.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) name: RunName,
    pub(super) request: RequestId,
    pub(super) call: CallKey,
    pub(super) state: RunState,
    pub(super) waiting: Vec<CallKey>,
    /// Whether each copy so far was a caller's first try.
    pub(super) is_first_try: bool,
    pub(super) claim: Option<ClaimProgress>,
    /// The tickets of the calls that the request makes while it runs.
    pub(super) children: SortedMap<RequestId, Ticket>,
    kept: Option<Kept>,
}

/// The place of an ended run in the order of ends, and its memory.
#[derive(Clone, Copy, Debug)]
struct Kept {
    number: u64,
    bytes: usize,
}

/// An ended run in the order of ends.
#[derive(Clone, Copy, Debug)]
struct End {
    number: u64,
    slot: RunSlot,
    ended_us: u64,
}

/// The runs in memory.
#[derive(Debug, Default)]
pub(super) struct Runs {
    arena: SlotMap<RunSlot, Run>,
    tickets: SortedMap<u64, RunSlot>,
    claims: SortedMap<ClaimName, RunSlot>,
    calls: SortedMap<CallKey, RunSlot>,
    ends: VecDeque<End>,
    next_end: u64,
    kept_bytes: usize,
}

impl Run {
    /// Makes a run of a ticket.
    pub(super) fn of_ticket(sequence: u64, request: RequestId, call: CallKey) -> Self {
        Self {
            name: RunName::Ticket(sequence),
            request,
            call,
            state: RunState::Queued,
            waiting: Vec::new(),
            is_first_try: true,
            claim: None,
            children: SortedMap::default(),
            kept: None,
        }
    }

    /// Makes a run of a claim that the table is asked for.
    pub(super) fn of_claim(name: ClaimName, nonce: u64, request: RequestId, call: CallKey) -> Self {
        Self {
            name: RunName::Claim(name),
            state: RunState::Pending,
            claim: Some(ClaimProgress::new(nonce)),
            ..Self::of_ticket(0, request, call)
        }
    }

    fn bytes(&self) -> usize {
        match &self.state {
            RunState::Ended(Verdict::Ran(answer)) => RUN_BYTES + answer_bytes(answer),
            _ => RUN_BYTES,
        }
    }
}

impl Runs {
    /// Adds a run.
    pub(super) fn insert(&mut self, run: Run) -> RunSlot {
        let (name, call) = (run.name, run.call);
        let slot = self.arena.insert(run);
        match name {
            RunName::Ticket(sequence) => self.tickets.insert(sequence, slot),
            RunName::Claim(claim) => self.claims.insert(claim, slot),
        };
        self.calls.insert(call, slot);
        slot
    }

    /// Finds a run by its ticket or claim.
    pub(super) fn find(&self, name: RunName) -> Option<RunSlot> {
        match name {
            RunName::Ticket(sequence) => self.tickets.get(&sequence).copied(),
            RunName::Claim(claim) => self.claims.get(&claim).copied(),
        }
    }

    /// Finds the run of a call.
    pub(super) fn of_call(&self, call: CallKey) -> Option<RunSlot> {
        self.calls.get(&call).copied()
    }

    /// Returns a run.
    pub(super) fn get(&self, slot: RunSlot) -> Option<&Run> {
        self.arena.get(slot)
    }

    /// Returns a run for change in place.
    pub(super) fn get_mut(&mut self, slot: RunSlot) -> Option<&mut Run> {
        self.arena.get_mut(slot)
    }

    /// Lets a call wait for a run.
    pub(super) fn join(&mut self, slot: RunSlot, call: CallKey) {
        let Some(run) = self.arena.get_mut(slot) else {
            return;
        };
        run.waiting.push(call);
        self.calls.insert(call, slot);
    }

    /// Forgets a call that waits for a run.
    pub(super) fn leave(&mut self, slot: RunSlot, call: CallKey) {
        let Some(run) = self.arena.get_mut(slot) else {
            return;
        };
        run.waiting.retain(|waiting| *waiting != call);
        self.calls.remove(&call);
    }

    /// Takes the calls that wait for a run.
    pub(super) fn take_waiting(&mut self, slot: RunSlot) -> Vec<CallKey> {
        let Some(run) = self.arena.get_mut(slot) else {
            return Vec::new();
        };
        let waiting = std::mem::take(&mut run.waiting);
        for call in &waiting {
            self.calls.remove(call);
        }
        waiting
    }

    /// Makes another call the one that runs.
    pub(super) fn replace_call(&mut self, slot: RunSlot, call: CallKey) {
        let Some(run) = self.arena.get_mut(slot) else {
            return;
        };
        self.calls.remove(&run.call);
        run.call = call;
        self.calls.insert(call, slot);
    }

    /// Ends a run in the given state and keeps it; an end that is kept already keeps its place.
    pub(super) fn end(&mut self, slot: RunSlot, state: RunState, now_us: u64) {
        let Some(run) = self.arena.get_mut(slot) else {
            return;
        };
        run.state = state;
        run.children = SortedMap::default();
        let bytes = run.bytes();
        self.kept_bytes += bytes;
        if let Some(kept) = &mut run.kept {
            self.kept_bytes -= kept.bytes;
            kept.bytes = bytes;
            return;
        }
        self.next_end += 1;
        let number = self.next_end;
        run.kept = Some(Kept { number, bytes });
        self.ends.push_back(End {
            number,
            slot,
            ended_us: now_us,
        });
    }

    /// Takes a run that was refused out of those that are kept, so that it may go on.
    pub(super) fn reopen(&mut self, slot: RunSlot, state: RunState) {
        let Some(run) = self.arena.get_mut(slot) else {
            return;
        };
        run.state = state;
        let Some(kept) = run.kept.take() else {
            return;
        };
        self.kept_bytes -= kept.bytes;
        let at = self
            .ends
            .binary_search_by_key(&kept.number, |end| end.number);
        if let Ok(at) = at {
            self.ends.remove(at);
        }
    }

    /// Returns the run that ended first and its time.
    pub(super) fn oldest_end(&self) -> Option<(RunSlot, u64)> {
        self.ends.front().map(|end| (end.slot, end.ended_us))
    }

    /// Removes a run.
    pub(super) fn remove(&mut self, slot: RunSlot) -> Option<Run> {
        self.take_waiting(slot);
        self.reopen(slot, RunState::Pending);
        let run = self.arena.remove(slot)?;
        self.calls.remove(&run.call);
        match run.name {
            RunName::Ticket(sequence) => self.tickets.remove(&sequence),
            RunName::Claim(claim) => self.claims.remove(&claim),
        };
        Some(run)
    }

    /// Returns the memory of the kept runs, in bytes.
    pub(super) fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the number of runs.
    pub(super) fn len(&self) -> usize {
        self.arena.len()
    }
}

//! The membership service: handles events, sends peer requests and publishes notices.

mod joining;
mod own;
mod probing;
mod reports;
mod rows;
mod sending;
mod syncing;

use rand::Rng;
use rand::seq::index;

use super::message::{Gossip, Message, Update};
use super::probe::Prober;
use super::{ByteBudget, Member, MemberState, MembershipSettings, NAME, Roster, UpdateQueue};
use crate::backoff::Backoff;
use crate::ids::{InboundKey, MemberId, OutboundKey};
use crate::kernel::{Context, Event, Notice, Service};
use crate::metrics::Counter;
use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;
use joining::JoinProgress;
use rows::RowCheck;

/// Members that this daemon marked gone because their suspicion expired; a leaving member that
/// cannot be connected to is not counted.
const MEMBERS_FAILED: Counter = Counter::unlabelled("members_failed");

/// Members that this daemon suspected because its own probes and those of its relays failed.
const MEMBERS_SUSPECTED: Counter = Counter::unlabelled("members_suspected");

/// How far an update is propagated.
#[derive(Clone, Copy)]
enum Propagation {
    /// To all members.
    Full,
    /// To a few members; used for updates from a roster comparison, which most members have
    /// already.
    Limited,
    /// To no member; used for the reports in a member list that this daemon requested.
    None,
}

/// The timers of the service.
#[derive(Clone, Copy)]
enum Timer {
    Probe = 1,
    ProbeGone = 2,
    ListMembers = 3,
    FindContacts = 4,
    WriteRow = 5,
    CheckRows = 6,
    Sync = 7,
    EarlyProbe = 8,
    ReadAllRows = 9,
}

/// The purpose of a request that this daemon sent to a peer, the table or the object store.
#[derive(Clone, Copy)]
enum RequestPurpose {
    Probe(MemberId),
    IndirectProbe(MemberId),
    ProbeForPeer(InboundKey),
    ProbeGone,
    ProbeRow(MemberId),
    ListMembers,
    Sync {
        peer: MemberId,
        small_differences_left: u32,
    },
    ScanZone,
    ScanAllRows,
    ScanNextZone,
    CheckRows,
    WriteRow,
    ReadSnapshot,
    WriteSnapshot,
    DeleteRow,
}

/// The membership service of one daemon: its roster, and the protocol state that keeps it up to
/// date.
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    is_stopping: bool,
    is_early_probe_scheduled: bool,
    /// The number of reports about other members that changed the roster; roster comparisons count
    /// differences with it.
    applied_report_count: u64,
    roster: Roster,
    queue: UpdateQueue,
    budget: ByteBudget,
    prober: Prober,
    join: JoinProgress,
    row_check: RowCheck,
    pending_requests: SortedMap<OutboundKey, RequestPurpose>,
    contact_backoff: Backoff,
    row_backoff: Backoff,
    list_backoff: Backoff,
}

impl Membership {
    /// Creates the membership of a daemon with a roster that contains only itself.
    pub fn new(settings: MembershipSettings, own: Member) -> Self {
        let mut roster = Roster::default();
        roster.apply_report(own.clone(), 0);
        Self {
            budget: ByteBudget::new(settings.gossip_bytes_per_s, settings.gossip_burst_bytes),
            settings,
            own,
            is_stopping: false,
            is_early_probe_scheduled: false,
            applied_report_count: 0,
            roster,
            queue: UpdateQueue::default(),
            prober: Prober::default(),
            join: JoinProgress::default(),
            row_check: RowCheck::default(),
            pending_requests: SortedMap::default(),
            contact_backoff: Backoff::default(),
            row_backoff: Backoff::default(),
            list_backoff: Backoff::default(),
        }
    }

    /// Returns the member that this daemon reports itself as.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns a member that is not gone.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.roster.get(id)
    }

    /// Returns the members that are not gone, this one included, in order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.roster.members()
    }

    /// Returns the number of members that are not gone, this one included.
    pub fn len(&self) -> usize {
        self.roster.len()
    }

    /// Returns whether there are no members; never true, as a daemon's roster includes itself.
    pub fn is_empty(&self) -> bool {
        self.roster.is_empty()
    }

    /// Returns whether fewer than `count` members that are alive in the availability zone of this
    /// daemon have a smaller id.
    pub fn is_first_in_zone(&self, count: usize) -> bool {
        let mut smaller = 0;
        for member in self.roster.members() {
            if member.id >= self.own.id || smaller >= count {
                break;
            }
            let is_in_zone = member.availability_zone == self.own.availability_zone;
            smaller += usize::from(is_in_zone && member.state == MemberState::Alive);
        }
        smaller < count
    }

    /// Returns up to `count` random members that are alive, without this one.
    pub fn sample(&self, rng: &mut impl Rng, count: usize) -> Vec<Member> {
        let mut members = Vec::new();
        let candidates = self.roster.len().min(2 * count + 2);
        for index in index::sample(rng, self.roster.len(), candidates) {
            let Some(member) = self.roster.member_at(index) else {
                continue;
            };
            if member.id == self.own.id || member.state != MemberState::Alive {
                continue;
            }
            if members.len() == count {
                break;
            }
            members.push(member.clone());
        }
        members
    }

    fn set_timer(&self, context: &mut Context<'_>, delay_us: u64, timer: Timer) {
        context.set_timer(delay_us, timer as u64);
    }

    fn handle_notice(&mut self, context: &mut Context<'_>, notice: Notice) {
        match notice {
            Notice::TargetAnnounced(target) => self.handle_target_announcement(context, target),
            Notice::TargetSilent => self.handle_target_silence(context),
            Notice::StopRequested => self.stop(context),
            Notice::Resumed { .. } => self.handle_resume(context),
            Notice::StoreRestored => self.schedule_row_rewrite(context),
            Notice::MemberChanged(_)
            | Notice::MemberGone(_)
            | Notice::ConfigChanged(_)
            | Notice::RoutesChanged(_)
            | Notice::StopAnnounced { .. } => {}
        }
    }

    fn handle_timer(&mut self, context: &mut Context<'_>, tag: u64) {
        match tag {
            tag if tag == Timer::Probe as u64 => self.probe(context),
            tag if tag == Timer::ProbeGone as u64 => self.probe_gone(context),
            tag if tag == Timer::ListMembers as u64 => self.request_next_list_part(context),
            tag if tag == Timer::FindContacts as u64 => self.find_contacts(context),
            tag if tag == Timer::WriteRow as u64 => self.write_own_row(context),
            tag if tag == Timer::CheckRows as u64 => self.check_rows(context),
            tag if tag == Timer::Sync as u64 => self.sync(context),
            tag if tag == Timer::EarlyProbe as u64 => self.send_early_probe(context),
            tag if tag == Timer::ReadAllRows as u64 => self.read_all_rows(context),
            _ => {}
        }
    }
}

impl Service for Membership {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        match event {
            Event::Started => self.start(context),
            Event::Notice(notice) => self.handle_notice(context, notice),
            Event::Timer(tag) => self.handle_timer(context, tag),
            Event::PeerRequest {
                inbound,
                request: PeerRequest::Membership(message),
            } => self.handle_request(context, inbound, message),
            Event::PeerResponse { key, result } => {
                let Some(purpose) = self.pending_requests.remove(&key) else {
                    return;
                };
                let message = match result {
                    Ok(PeerResponse::Membership(message)) => Ok(message),
                    Ok(_) => return,
                    Err(error) => Err(error),
                };
                self.handle_response(context, purpose, message);
            }
            Event::TableResponse { key, result } => {
                if let Some(purpose) = self.pending_requests.remove(&key) {
                    self.handle_table_response(context, purpose, result);
                }
            }
            Event::ObjectResponse { key, result } => {
                if let Some(purpose) = self.pending_requests.remove(&key) {
                    self.handle_object_response(context, purpose, result);
                }
            }
            _ => {}
        }
    }
}

fn latest_update(roster: &Roster, id: MemberId) -> Option<Update> {
    let member = roster.get(id).or_else(|| roster.gone(id))?;
    match member.state {
        MemberState::Alive | MemberState::Leaving => Some(Update::Full(member.clone())),
        MemberState::Suspect | MemberState::Gone => Some(Update::State {
            id,
            state: member.state,
            incarnation: member.incarnation,
        }),
    }
}

fn describe(member: &Member) -> String {
    format!(
        "id={:016x} address={} availability_zone={} incarnation={}",
        member.id.0, member.address, member.availability_zone, member.incarnation
    )
}

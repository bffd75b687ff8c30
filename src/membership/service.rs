//! The membership service: events in, questions and notices out.

mod joining;
mod learning;
mod own;
mod probing;
mod rows;
mod syncing;
mod telling;

use rand::Rng;
use rand::seq::index;

use super::contacts::Backoff;
use super::message::{Gossip, Message, Update};
use super::probe::Prober;
use super::{ByteBudget, Member, MemberState, MembershipSettings, NAME, Roster, UpdateQueue};
use crate::ids::{InboundKey, MemberId, OutboundKey};
use crate::kernel::{Context, Event, Notice, Service};
use crate::metrics::Counter;
use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;
use joining::Joining;
use rows::Collecting;

/// Members that were taken for gone because they did not answer.
const MEMBERS_FAILED: Counter = Counter::unlabelled("members_failed");

/// Members that came under suspicion by this daemon's own probes.
const MEMBERS_SUSPECTED: Counter = Counter::unlabelled("members_suspected");

/// How far news is spread.
#[derive(Clone, Copy)]
enum Spread {
    /// To all members.
    Whole,
    /// To a few, as most know it already.
    Little,
    /// To none.
    Nothing,
}

/// The timers of the service.
#[derive(Clone, Copy)]
enum Tag {
    Probe = 1,
    ProbeGone = 2,
    List = 3,
    Platform = 4,
    Row = 5,
    Rows = 6,
    Sync = 7,
    Tell = 8,
    AllRows = 9,
}

/// A question that this daemon sent.
#[derive(Clone, Copy)]
enum Ask {
    Probe(MemberId),
    Relayed(MemberId),
    ForPeer(InboundKey),
    ProbeGone,
    ProbeRow(MemberId),
    List,
    Sync { to: MemberId, parts_left: u32 },
    Scan,
    AllRows,
    ScanNext,
    Collect,
    WriteRow,
    ReadSnapshot,
    WriteSnapshot,
    DeleteRow,
}

/// The members that this daemon knows, and how it keeps up with them.
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    is_stopping: bool,
    tells_soon: bool,
    changes: u64,
    roster: Roster,
    queue: UpdateQueue,
    budget: ByteBudget,
    prober: Prober,
    joining: Joining,
    collecting: Collecting,
    asks: SortedMap<OutboundKey, Ask>,
    backoff: Backoff,
    row_backoff: Backoff,
    list_backoff: Backoff,
}

impl Membership {
    /// Makes the membership of a daemon that knows only itself.
    pub fn new(settings: MembershipSettings, own: Member) -> Self {
        let mut roster = Roster::default();
        roster.apply_report(own.clone(), 0);
        Self {
            budget: ByteBudget::new(settings.gossip_bytes_per_s, settings.gossip_burst_bytes),
            settings,
            own,
            is_stopping: false,
            tells_soon: false,
            changes: 0,
            roster,
            queue: UpdateQueue::default(),
            prober: Prober::default(),
            joining: Joining::default(),
            collecting: Collecting::default(),
            asks: SortedMap::default(),
            backoff: Backoff::default(),
            row_backoff: Backoff::default(),
            list_backoff: Backoff::default(),
        }
    }

    /// Returns this daemon as others know it.
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

    /// Says whether no member is known; never true, as a daemon knows itself.
    pub fn is_empty(&self) -> bool {
        self.roster.is_empty()
    }

    /// Returns some members at random, without this one and without those that leave.
    pub fn sample(&self, rng: &mut impl Rng, count: usize) -> Vec<Member> {
        let mut members = Vec::new();
        let tries = self.roster.len().min(2 * count + 2);
        for at in index::sample(rng, self.roster.len(), tries) {
            let Some(member) = self.roster.member_at(at) else {
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

    fn timer(&self, context: &mut Context<'_>, after_us: u64, tag: Tag) {
        context.set_timer(after_us, tag as u64);
    }

    fn on_notice(&mut self, context: &mut Context<'_>, notice: Notice) {
        match notice {
            Notice::TargetAnnounced(target) => self.announced_target(context, target),
            Notice::TargetSilent => self.lost_target(context),
            Notice::StopRequested => self.stop(context),
            Notice::Resumed { .. } => self.wake(context),
            Notice::MemberChanged(_)
            | Notice::MemberGone(_)
            | Notice::ConfigChanged(_)
            | Notice::RoutesChanged(_) => {}
        }
    }

    fn on_timer(&mut self, context: &mut Context<'_>, tag: u64) {
        match tag {
            tag if tag == Tag::Probe as u64 => self.probe(context),
            tag if tag == Tag::ProbeGone as u64 => self.probe_gone(context),
            tag if tag == Tag::List as u64 => self.list(context),
            tag if tag == Tag::Platform as u64 => self.find_contacts(context),
            tag if tag == Tag::Row as u64 => self.write_own_row(context),
            tag if tag == Tag::Rows as u64 => self.refresh_rows(context),
            tag if tag == Tag::Sync as u64 => self.sync(context),
            tag if tag == Tag::Tell as u64 => self.tell_soon(context),
            tag if tag == Tag::AllRows as u64 => self.read_all_rows(context),
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
            Event::Notice(notice) => self.on_notice(context, notice),
            Event::Timer(tag) => self.on_timer(context, tag),
            Event::PeerRequest {
                inbound,
                request: PeerRequest::Membership(message),
            } => self.asked(context, inbound, message),
            Event::PeerResponse { key, result } => {
                let Some(asked) = self.asks.remove(&key) else {
                    return;
                };
                let message = match result {
                    Ok(PeerResponse::Membership(message)) => Ok(message),
                    Ok(_) => return,
                    Err(error) => Err(error),
                };
                self.answered(context, asked, message);
            }
            Event::TableResponse { key, result } => {
                if let Some(asked) = self.asks.remove(&key) {
                    self.table_answered(context, asked, result);
                }
            }
            Event::ObjectResponse { key, result } => {
                if let Some(asked) = self.asks.remove(&key) {
                    self.object_answered(context, asked, result);
                }
            }
            _ => {}
        }
    }
}

fn news_of(roster: &Roster, id: MemberId) -> Option<Update> {
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

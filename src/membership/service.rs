//! The membership service: events in, questions and notices out.

mod joining;
mod probing;
mod rows;
mod syncing;

use rand::Rng;
use rand::seq::index;

use super::contacts::Backoff;
use super::message::{Gossip, Message, Update, encoded_bytes};
use super::probe::Prober;
use super::{
    Budget, Learned, Member, MemberState, MembershipSettings, NAME, Roster, Tell, UpdateQueue,
};
use crate::ids::{AskKey, InboundKey, MemberId};
use crate::kernel::{Context, Event, Notice, Service, StateChange};
use crate::metrics::Counter;
use crate::peer::{PeerAnswer, PeerQuestion};
use crate::sorted::SortedMap;
use crate::target::Announcement;
use joining::Joining;
use rows::Collecting;

/// Bytes of membership messages that this daemon sent, answers included.
const GOSSIP_BYTES: Counter = Counter::plain("gossip_bytes");

/// Membership messages that this daemon sent, answers included.
const GOSSIP_MESSAGES: Counter = Counter::plain("gossip_messages");

/// Membership messages that this daemon had no bytes to send.
const MESSAGES_LEFT_OUT: Counter = Counter::plain("gossip_messages_left_out");

/// Members that were taken for gone because they did not answer.
const MEMBERS_FAILED: Counter = Counter::plain("members_failed");

/// Members that came under suspicion by this daemon's own probes.
const MEMBERS_SUSPECTED: Counter = Counter::plain("members_suspected");

/// The times that news is told by each daemon, for each doubling of the members.
const TELLS_PER_DOUBLING: usize = 2;

/// The times that others tell news to a daemon until it tells that news no longer.
const REPEATS_UNTIL_DROPPED: usize = 3;

/// The times that a daemon tells news that it missed before.
const REPAIR_TELLS: usize = 2;

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
    budget: Budget,
    prober: Prober,
    joining: Joining,
    collecting: Collecting,
    asks: SortedMap<AskKey, Ask>,
    backoff: Backoff,
    row_backoff: Backoff,
    list_backoff: Backoff,
}

impl Membership {
    /// Makes the membership of a daemon that knows only itself.
    pub fn new(settings: MembershipSettings, own: Member) -> Self {
        let mut roster = Roster::default();
        roster.learn(own.clone(), 0);
        Self {
            budget: Budget::new(settings.gossip_bytes_per_s, settings.gossip_burst_bytes),
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

    /// Takes in what a member said of itself on another message.
    pub fn hear(&mut self, context: &mut Context<'_>, member: Member) {
        if member.id == self.own.id {
            return;
        }
        if let Some(other) = self.roster.at_address(member.address)
            && other.id != member.id
        {
            let other = other.id;
            self.remove(context, other);
        }
        self.learn(context, member, Spread::Whole);
    }

    fn learn(&mut self, context: &mut Context<'_>, report: Member, spread: Spread) {
        if report.id == self.own.id {
            self.refute(context, report.freshness());
            return;
        }
        if report.address == self.own.address && report.state != MemberState::Gone {
            self.outlive(context, report);
            return;
        }
        let forget_at_us = self.forget_at_us(context);
        let (id, freshness) = (report.id, report.freshness());
        match self.roster.learn(report, forget_at_us) {
            Learned::Nothing => self.note_known(id, freshness),
            Learned::AddressTaken(other) => self.queue.push(other),
            Learned::Gone => {
                self.changes += 1;
                self.note_gone(context, id, spread);
            }
            Learned::Changed { replaced } => {
                self.changes += 1;
                if let Some(replaced) = replaced {
                    self.note_gone(context, replaced, spread);
                }
                self.spread(context, id, spread);
                self.note_changed(context, id);
            }
        }
    }

    fn note_changed(&mut self, context: &mut Context<'_>, id: MemberId) {
        if let Some(member) = self.roster.get(id) {
            context.publish(Notice::MemberChanged(member.clone()));
        }
    }

    /// News that a peer knew already is known by more members than were told.
    fn note_known(&mut self, id: MemberId, freshness: (u32, MemberState)) {
        let known = self.roster.get(id).or_else(|| self.roster.gone(id));
        if known.is_some_and(|known| known.freshness() == freshness) {
            let times = self.tell_times();
            self.queue.known(id, times.div_ceil(REPEATS_UNTIL_DROPPED));
        }
    }

    fn spread(&mut self, context: &mut Context<'_>, id: MemberId, spread: Spread) {
        match spread {
            Spread::Whole => {
                self.queue.push(id);
                self.tell_after_pause(context);
            }
            Spread::Little => {
                let told = self.tell_times().saturating_sub(REPAIR_TELLS);
                self.queue.push_told(id, told);
            }
            Spread::Nothing => {}
        }
    }

    /// Returns how often news is told by each daemon that nobody is known to know.
    fn tell_times(&self) -> usize {
        let doublings = usize::BITS - self.roster.len().leading_zeros();
        TELLS_PER_DOUBLING * doublings as usize
    }

    fn note_gone(&mut self, context: &mut Context<'_>, id: MemberId, spread: Spread) {
        self.spread(context, id, spread);
        context.publish(Notice::MemberGone(id));
    }

    fn remove(&mut self, context: &mut Context<'_>, id: MemberId) {
        let forget_at_us = self.forget_at_us(context);
        if let Some(member) = self.roster.remove(id, forget_at_us) {
            self.note_gone(context, id, Spread::Whole);
            context.log(StateChange::new("member", "gone", describe(&member)));
        }
    }

    /// Says something new of this daemon.
    fn announce(&mut self, context: &mut Context<'_>) {
        self.own.incarnation += 1;
        self.roster.learn(self.own.clone(), 0);
        self.spread(context, self.own.id, Spread::Whole);
        self.note_changed(context, self.own.id);
    }

    /// Contradicts a report that this daemon is not what it is.
    fn refute(&mut self, context: &mut Context<'_>, reported: (u32, MemberState)) {
        if reported <= self.own.freshness() {
            return;
        }
        self.own.incarnation = reported.0;
        self.announce(context);
    }

    /// Marks an earlier daemon at this address as gone.
    fn outlive(&mut self, context: &mut Context<'_>, mut earlier: Member) {
        let is_fresher = (earlier.incarnation, earlier.id) > (self.own.incarnation, self.own.id);
        earlier.state = MemberState::Gone;
        let (id, incarnation) = (earlier.id, earlier.incarnation);
        let is_known = self.roster.gone(id).is_some();
        self.roster.learn(earlier, self.forget_at_us(context));
        if !is_known {
            self.queue.push(id);
        }
        if is_fresher {
            self.own.incarnation = incarnation;
            self.announce(context);
        }
    }

    fn announced_target(&mut self, context: &mut Context<'_>, target: Announcement) {
        let mut own = self.own.clone();
        own.service = Some(target.service);
        own.slots = target.slots;
        own.state = match self.is_stopping || target.is_draining {
            true => MemberState::Leaving,
            false => MemberState::Alive,
        };
        if own == self.own {
            return;
        }
        let is_leaving = own.state == MemberState::Leaving;
        self.own = own;
        self.announce(context);
        if is_leaving {
            self.tell_fingers(context);
        }
    }

    /// Tells others that no target is beside this daemon any more.
    fn lost_target(&mut self, context: &mut Context<'_>) {
        if self.own.service.take().is_none() {
            return;
        }
        self.own.slots = 0;
        self.announce(context);
    }

    fn stop(&mut self, context: &mut Context<'_>) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        self.own.state = MemberState::Leaving;
        self.announce(context);
        self.tell_fingers(context);
        self.delete_own_row(context);
    }

    fn forget_at_us(&self, context: &Context<'_>) -> u64 {
        context.now_us() + u64::from(self.settings.gone_memory_ms) * 1_000
    }

    /// Takes in what rode on a message and returns the members that it was about.
    fn absorb(&mut self, context: &mut Context<'_>, gossip: Gossip) -> Vec<MemberId> {
        let mut heard = Vec::new();
        for update in gossip.updates {
            heard.push(update.id());
            self.absorb_one(context, update, Spread::Whole);
        }
        heard
    }

    fn absorb_one(&mut self, context: &mut Context<'_>, update: Update, spread: Spread) {
        match update {
            Update::Whole(member) => self.learn(context, member, spread),
            Update::State {
                id,
                state,
                incarnation,
            } => self.learn_state(context, id, (incarnation, state), spread),
        }
    }

    fn learn_state(
        &mut self,
        context: &mut Context<'_>,
        id: MemberId,
        freshness: (u32, MemberState),
        spread: Spread,
    ) {
        if id == self.own.id {
            self.refute(context, freshness);
            return;
        }
        let Some(known) = self.roster.get(id).or_else(|| self.roster.gone(id)) else {
            return;
        };
        let mut report = known.clone();
        (report.incarnation, report.state) = freshness;
        self.learn(context, report, spread);
    }

    /// Picks the news that rides on a message to a member, without what it told itself.
    fn gossip(&mut self, context: &Context<'_>, to: MemberId, heard: &[MemberId]) -> Gossip {
        let mut updates = Vec::new();
        let mut bytes = 0;
        if let Some(update) = self.contradictable(to) {
            updates.push(update);
        }
        let left_bytes = self.budget.left_bytes(context.now_us());
        let room_bytes = left_bytes.min(self.settings.updates_max_bytes as usize);
        let times = self.tell_times();
        let roster = &self.roster;
        self.queue.tell(times, |id| {
            let Some(update) = news_of(roster, id) else {
                return Tell::Done;
            };
            if heard.contains(&id) {
                return Tell::Later;
            }
            bytes += update.bytes();
            if bytes > room_bytes {
                return Tell::Full;
            }
            updates.push(update);
            Tell::Done
        });
        Gossip {
            from: self.own.id,
            incarnation: self.own.incarnation,
            updates,
        }
    }

    /// Returns what a member must hear so that it can refute it.
    fn contradictable(&self, to: MemberId) -> Option<Update> {
        if let Some(member) = self.roster.get(to)
            && member.state != MemberState::Suspect
        {
            return None;
        }
        news_of(&self.roster, to)
    }

    /// Asks another daemon; returns whether there were bytes to do so.
    fn ask(
        &mut self,
        context: &mut Context<'_>,
        to: std::net::SocketAddr,
        message: Message,
        about: Ask,
    ) -> bool {
        if !self.spend(context, &message) {
            return false;
        }
        let timeout_ms = match about {
            Ask::Relayed(_) => 2 * self.settings.probe_timeout_ms,
            _ => self.settings.probe_timeout_ms,
        };
        let timeout_us = u64::from(timeout_ms) * 1_000;
        let ask = context.ask(to, PeerQuestion::Membership(message), timeout_us);
        self.asks.insert(ask, about);
        true
    }

    fn answer(&mut self, context: &mut Context<'_>, inbound: InboundKey, message: Message) {
        if !self.spend(context, &message) {
            return;
        }
        context.answer(inbound, PeerAnswer::Membership(message));
    }

    /// Spends the bytes of a message, or counts it as left out where there are too few.
    fn spend(&mut self, context: &mut Context<'_>, message: &Message) -> bool {
        let bytes = encoded_bytes(message);
        if !self.budget.spend(context.now_us(), bytes) {
            context.count(MESSAGES_LEFT_OUT);
            return false;
        }
        context.count_by(GOSSIP_BYTES, bytes as u64);
        context.count(GOSSIP_MESSAGES);
        true
    }

    fn timer(&self, context: &mut Context<'_>, after_us: u64, tag: Tag) {
        context.timer(after_us, tag as u64);
    }

    fn on_notice(&mut self, context: &mut Context<'_>, notice: Notice) {
        match notice {
            Notice::TargetAnnounced(target) => self.announced_target(context, target),
            Notice::TargetSilent => self.lost_target(context),
            Notice::StopRequested => self.stop(context),
            Notice::Woke { .. } => self.wake(context),
            Notice::MemberChanged(_) | Notice::MemberGone(_) | Notice::ConfigChanged(_) => {}
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
            Event::Asked {
                inbound,
                question: PeerQuestion::Membership(message),
            } => self.asked(context, inbound, message),
            Event::Answered { ask, result } => {
                let Some(asked) = self.asks.remove(&ask) else {
                    return;
                };
                let message = match result {
                    Ok(PeerAnswer::Membership(message)) => Ok(message),
                    Ok(_) => return,
                    Err(error) => Err(error),
                };
                self.answered(context, asked, message);
            }
            Event::TableAnswered { ask, result } => {
                if let Some(asked) = self.asks.remove(&ask) {
                    self.table_answered(context, asked, result);
                }
            }
            Event::ObjectAnswered { ask, result } => {
                if let Some(asked) = self.asks.remove(&ask) {
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
        MemberState::Alive | MemberState::Leaving => Some(Update::Whole(member.clone())),
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

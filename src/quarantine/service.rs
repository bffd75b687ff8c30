//! The kernel service that shares records with other daemons and keeps quarantines in the platform's
//! table.

mod table_requests;

use std::net::SocketAddr;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::evidence::{Culprit, Evidence};
use super::message::{Completion, CrashId, CrashReport, Message, Records};
use super::{NAME, QuarantineSettings, RequestContent, RequestFingerprint, Standing, rows};
use crate::backoff::Backoff;
use crate::calls::guard;
use crate::ids::{InboundKey, MemberId, OutboundKey, ServiceName};
use crate::kernel::{Context, Event, LinkError, Notice, Service, StateChange};
use crate::membership::{self, Membership};
use crate::metrics::Counter;
use crate::peer::{PeerRequest, PeerResponse};
use crate::sorted::SortedMap;
use crate::table::{REWRITE_SPREAD_US, TableRequest};

/// How long records wait for others before they are pushed together.
const PUSH_DELAY_US: u64 = 2_000;

/// The maximum number of entry daemons that a report is pushed to, beside random peers.
const ENTRIES_MAX: usize = 32;

/// For this long after its start, or after a pause of its process, a daemon compares its records more
/// often, and also if it has none.
const CATCH_UP_US: u64 = 10_000_000;

/// The time between two comparisons meanwhile.
const CATCH_UP_PERIOD_US: u64 = 250_000;

/// The timers of the service.
#[derive(Clone, Copy)]
enum Timer {
    Push = 1,
    Compare = 2,
    Table = 3,
    RewriteRows = 4,
}

/// The purpose of a request whose response is awaited.
enum Pending {
    Push,
    Compare(SocketAddr),
    ReadRows,
    ChangeRow(TableRequest),
}

/// Judges requests by the reports of ended targets, and shares the reports.
pub struct Quarantine {
    settings: QuarantineSettings,
    own_id: MemberId,
    /// A generator of its own, so that reports do not change what the other services draw.
    rng: ChaCha8Rng,
    evidence: Evidence,
    unpushed: Records,
    /// The entry daemons of the requests in unpushed reports of this daemon.
    entries: Vec<SocketAddr>,
    is_push_scheduled: bool,
    catch_up_until_us: u64,
    pending: SortedMap<OutboundKey, Pending>,
    /// Requests to the table that failed and are repeated.
    failed_requests: Vec<TableRequest>,
    table_backoff: Backoff,
}

impl Quarantine {
    /// Creates the service of a daemon without records.
    pub fn new(settings: QuarantineSettings, own_id: MemberId) -> Self {
        Self {
            evidence: Evidence::new(settings.clone()),
            settings,
            own_id,
            rng: ChaCha8Rng::seed_from_u64(own_id.0),
            unpushed: Records::default(),
            entries: Vec::new(),
            is_push_scheduled: false,
            catch_up_until_us: CATCH_UP_US,
            pending: SortedMap::default(),
            failed_requests: Vec::new(),
            table_backoff: Backoff::default(),
        }
    }

    /// Returns how a request is judged.
    pub fn standing(&self, now_us: u64, content: &RequestContent<'_>) -> Standing {
        if !self.knows_outline(content) {
            return Standing::Clear;
        }
        self.evidence.standing(now_us, &content.fingerprint())
    }

    /// Records that the target beside this daemon ended while it had some requests. The entry daemons
    /// of the requests are told first.
    pub fn record_end(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceName,
        requests: Vec<RequestFingerprint>,
        entries: &[MemberId],
    ) {
        context.count(Counter::unlabelled("target_crashes"));
        for entry in entries {
            let membership = context.find::<Membership>(membership::NAME);
            let member = membership.and_then(|membership| membership.get(*entry));
            let Some(address) = member.map(|member| member.address) else {
                continue;
            };
            if self.entries.len() < ENTRIES_MAX && !self.entries.contains(&address) {
                self.entries.push(address);
            }
        }
        let report = CrashReport {
            id: CrashId(self.rng.next_u64()),
            origin: self.own_id,
            service: service.clone(),
            age_ms: 0,
            requests,
        };
        let records = Records {
            crashes: vec![report],
            ..Records::default()
        };
        self.merge(context, records);
    }

    /// Records that the target beside this daemon ran a request to its answer, if the request was at a
    /// target that ended.
    pub fn record_completion(&mut self, context: &mut Context<'_>, content: &RequestContent<'_>) {
        if !self.knows_outline(content) {
            return;
        }
        let request = content.fingerprint();
        if !self.evidence.is_reported(&request) {
            return;
        }
        let now_us = context.now_us();
        let was_quarantined = self.is_quarantined(now_us, &request);
        let completion = Completion { request, age_ms: 0 };
        let records = Records {
            completions: vec![completion],
            ..Records::default()
        };
        self.merge(context, records);
        if was_quarantined && !self.is_quarantined(now_us, &request) {
            let change = "quarantine lifted, since a copy of the request completed";
            context.log(StateChange::new("quarantine", change, request.to_string()));
            self.change_row(context, rows::delete_request(&request));
        }
    }

    fn knows_outline(&self, content: &RequestContent<'_>) -> bool {
        self.evidence.knows_any() && self.evidence.knows(content.outline())
    }

    fn is_quarantined(&self, now_us: u64, request: &RequestFingerprint) -> bool {
        let standing = self.evidence.standing(now_us, request);
        matches!(standing, Standing::Quarantined { .. })
    }

    /// Adds records, quarantines what they point to, and schedules that new ones are pushed.
    fn merge(&mut self, context: &mut Context<'_>, records: Records) {
        let now_us = context.now_us();
        let mut new = self.evidence.merge(now_us, records);
        if new.is_empty() {
            return;
        }
        for culprit in self.evidence.quarantine_culprits(now_us) {
            self.handle_culprit(context, &culprit);
            new.quarantines.push(culprit.record);
        }
        self.unpushed.crashes.append(&mut new.crashes);
        self.unpushed.completions.append(&mut new.completions);
        self.unpushed.quarantines.append(&mut new.quarantines);
        context.queue_event(guard::NAME, guard::STANDINGS_CHANGED);
        if !self.is_push_scheduled {
            self.is_push_scheduled = true;
            context.set_timer(PUSH_DELAY_US, Timer::Push as u64);
        }
    }

    /// Logs a quarantine, and stores it if this daemon reported the last end.
    fn handle_culprit(&mut self, context: &mut Context<'_>, culprit: &Culprit) {
        context.count(Counter::unlabelled("requests_quarantined"));
        let detail = format!(
            "{}, {} targets ended",
            culprit.record.request, culprit.crashes
        );
        context.log(StateChange::new(
            "quarantine",
            "request quarantined",
            detail,
        ));
        if culprit.origin == self.own_id {
            self.write_row(context, &culprit.record);
        }
    }

    /// Pushes the new records to random peers, and to the entry daemons of reported requests.
    fn push(&mut self, context: &mut Context<'_>) {
        self.is_push_scheduled = false;
        let records = std::mem::take(&mut self.unpushed);
        let mut peers = std::mem::take(&mut self.entries);
        for address in self.sample_peers(context, self.settings.fan_out) {
            if !peers.contains(&address) {
                peers.push(address);
            }
        }
        for peer in peers {
            self.send(context, peer, Message::Push(records.clone()), Pending::Push);
        }
    }

    /// Compares records with a random peer if there are any, or if this daemon catches up.
    fn compare(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        let catches_up = now_us < self.catch_up_until_us;
        let period_us = match catches_up {
            true => CATCH_UP_PERIOD_US,
            false => u64::from(self.settings.compare_period_ms) * 1_000,
        };
        context.set_timer(period_us, Timer::Compare as u64);
        self.expire(context);
        if self.evidence.is_empty() && !catches_up {
            return;
        }
        for peer in self.sample_peers(context, 1) {
            let digest = self.evidence.digest();
            self.send(
                context,
                peer,
                Message::Compare { digest },
                Pending::Compare(peer),
            );
        }
    }

    /// Forgets old records. The member with the smallest identifier deletes the rows of quarantines
    /// that are over.
    fn expire(&mut self, context: &mut Context<'_>) {
        let over = self.evidence.expire(context.now_us());
        if !self.has_smallest_id(context) {
            return;
        }
        for request in over {
            self.change_row(context, rows::delete_request(&request));
        }
    }

    /// Writes the rows of all quarantines again, if this is the member with the smallest identifier.
    fn rewrite_rows(&mut self, context: &mut Context<'_>) {
        if !self.has_smallest_id(context) {
            return;
        }
        for record in self.evidence.contents(context.now_us()).quarantines {
            self.write_row(context, &record);
        }
    }

    fn has_smallest_id(&self, context: &mut Context<'_>) -> bool {
        let membership = context.find::<Membership>(membership::NAME);
        let first = membership.and_then(|membership| membership.members().next());
        first.map(|member| member.id) == Some(self.own_id)
    }

    /// Returns the addresses of some random members that are alive.
    fn sample_peers(&mut self, context: &mut Context<'_>, count: usize) -> Vec<SocketAddr> {
        let Some(membership) = context.find::<Membership>(membership::NAME) else {
            return Vec::new();
        };
        let members = membership.sample(&mut self.rng, count);
        members.iter().map(|member| member.address).collect()
    }

    fn send(
        &mut self,
        context: &mut Context<'_>,
        to: SocketAddr,
        message: Message,
        purpose: Pending,
    ) {
        let timeout_us = u64::from(self.settings.ask_timeout_ms) * 1_000;
        let key = context.send_request(to, PeerRequest::Quarantine(message), timeout_us);
        self.pending.insert(key, purpose);
    }

    fn handle_request(&mut self, context: &mut Context<'_>, inbound: InboundKey, message: Message) {
        let response = match message {
            Message::Compare { digest } if digest != self.evidence.digest() => {
                self.all_contents(context)
            }
            Message::Push(records) => {
                self.merge(context, records);
                Message::Same
            }
            Message::Compare { .. } | Message::Same | Message::Contents { .. } => Message::Same,
        };
        context.respond(inbound, PeerResponse::Quarantine(response));
    }

    fn all_contents(&self, context: &Context<'_>) -> Message {
        Message::Contents {
            digest: self.evidence.digest(),
            records: self.evidence.contents(context.now_us()),
        }
    }

    /// Adds the records of a peer that differ from those of this daemon, and sends it all that are
    /// known now if it lacks any.
    fn handle_contents(
        &mut self,
        context: &mut Context<'_>,
        peer: SocketAddr,
        digest: u64,
        records: Records,
    ) {
        self.merge(context, records);
        if self.evidence.digest() == digest {
            return;
        }
        let contents = self.evidence.contents(context.now_us());
        self.send(context, peer, Message::Push(contents), Pending::Push);
    }

    fn handle_response(
        &mut self,
        context: &mut Context<'_>,
        key: OutboundKey,
        result: Result<PeerResponse, LinkError>,
    ) {
        let purpose = self.pending.remove(&key);
        let (Some(Pending::Compare(peer)), Ok(PeerResponse::Quarantine(message))) =
            (purpose, result)
        else {
            return;
        };
        if let Message::Contents { digest, records } = message {
            self.handle_contents(context, peer, digest, records);
        }
    }
}

impl Service for Quarantine {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        match event {
            Event::Started => {
                self.catch_up_until_us = context.now_us() + CATCH_UP_US;
                self.read_rows(context);
                context.set_timer(CATCH_UP_PERIOD_US, Timer::Compare as u64);
            }
            Event::Notice(Notice::Resumed { .. }) => {
                self.catch_up_until_us = context.now_us() + CATCH_UP_US;
            }
            Event::Notice(Notice::StoreRestored) => {
                let delay_us = self.rng.random_range(0..=REWRITE_SPREAD_US);
                context.set_timer(delay_us, Timer::RewriteRows as u64);
            }
            Event::Timer(tag) if tag == Timer::RewriteRows as u64 => self.rewrite_rows(context),
            Event::Timer(tag) if tag == Timer::Push as u64 => self.push(context),
            Event::Timer(tag) if tag == Timer::Compare as u64 => self.compare(context),
            Event::Timer(tag) if tag == Timer::Table as u64 => self.repeat_table_requests(context),
            Event::PeerRequest {
                inbound,
                request: PeerRequest::Quarantine(message),
            } => self.handle_request(context, inbound, message),
            Event::PeerResponse { key, result } => self.handle_response(context, key, result),
            Event::TableResponse { key, result } => {
                self.handle_table_response(context, key, result);
            }
            _ => {}
        }
    }
}

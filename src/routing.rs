//! Routing: an entry daemon's choice of the target for each request.
//!
//! A target is chosen by membership, load, latency, health, availability zone and the admission
//! threshold of its guard. Targets that fail are ejected for a while (outlier ejection).

mod choice;
mod distance;
mod expected_time;
mod health;
mod kind_times;
mod pool;
mod slow_start;
mod spill;
mod target;

use std::net::SocketAddr;

use macro_rules_attribute::apply;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::derives::{settings, value};
use crate::ids::{AvailabilityZone, MemberId, OutboundKey, ServiceName, WorkKind};
use crate::kernel::{Context, Event, Notice, Service};
use crate::membership::{Member, MemberState};
use crate::peer::{PeerRequest, PeerResponse};
use crate::request::{LoadReport, Rank};
use crate::sorted::SortedMap;
use crate::verdict::{Refusal, RefusalReason, Verdict};
use distance::Distances;
use kind_times::TypicalTimes;
use pool::Pool;
use target::{Target, TargetKey};

/// The name of the routing service.
pub const NAME: &str = "routing";

/// The target that is chosen for a request.
#[apply(value!)]
pub struct ChosenTarget {
    /// The daemon beside the target.
    pub member: MemberId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// How an attempt at a target ended.
///
/// A request for tickets counts as an attempt too: as `Answered` if tickets were issued, otherwise
/// as `NotSent`.
#[apply(value!)]
pub enum AttemptOutcome {
    /// With a complete answer that is not a server error of the target itself.
    Answered,
    /// With a server error or a refusal of the target itself.
    TargetError,
    /// With a refusal of the guard.
    Refused,
    /// Without a complete answer: the guard returned a doubt, the attempt timed out, or the answer
    /// was truncated or altered.
    Lost,
    /// Without being sent to a target: the guard has none that could accept it.
    NotSent,
    /// Without a response of the daemon beside the target on any connection.
    Unreachable,
    /// With a cancellation by the entry daemon.
    Cancelled,
}

/// The parameters of a choice between targets.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The service that is called.
    pub service: &'a ServiceName,
    /// The rank of the request, which is compared with the thresholds of the guards.
    pub rank: Rank,
    /// The kind of work, whose service times at the targets are compared.
    pub kind: WorkKind,
    /// Members to leave out, because an earlier attempt was sent to them.
    pub excluded: &'a [MemberId],
}

/// How targets are compared, and when those of other availability zones are used.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
#[derive(Default)]
pub enum Placement {
    /// By load and latency; other zones are used from a fixed load of the own zone on, see
    /// [`RoutingSettings::zone_spill_percent`].
    #[default]
    ZoneSpill,
    /// By expected response time, which includes the measured distance to other zones.
    ExpectedTime,
}

/// Settings of routing.
#[apply(settings!)]
pub struct RoutingSettings {
    /// How targets are compared.
    pub placement: Placement,
    /// The maximum share of a service's targets that is ejected at the same time.
    pub ejected_share_max_percent: u32,
    /// The duration of a first ejection; it doubles with each further one.
    pub ejection_ms: u32,
    /// The maximum duration of an ejection.
    pub ejection_max_ms: u32,
    /// How long it takes until a new target gets its full share of requests.
    pub slow_start_ms: u32,
    /// The load of a target, in percent of its limit, above which other zones are used too, with
    /// [`Placement::ZoneSpill`].
    pub zone_spill_percent: u32,
    /// How long a threshold applies after it was reported.
    pub threshold_fresh_ms: u32,
    /// The share of requests that ignore thresholds, to detect outdated ones.
    pub threshold_probe_percent: u32,
    /// The timeout of the load request that probes a daemon that could not be reached.
    pub probe_timeout_ms: u32,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            placement: Placement::default(),
            ejected_share_max_percent: 50,
            ejection_ms: 1_000,
            ejection_max_ms: 30_000,
            slow_start_ms: 5_000,
            zone_spill_percent: 80,
            threshold_fresh_ms: 200,
            threshold_probe_percent: 1,
            probe_timeout_ms: 300,
        }
    }
}

/// Chooses targets based on membership, load reports and the outcomes of requests.
pub struct Router {
    settings: RoutingSettings,
    own_zone: AvailabilityZone,
    own_id: MemberId,
    targets: SlotMap<TargetKey, Target>,
    keys_by_member: SortedMap<MemberId, TargetKey>,
    pools: SortedMap<ServiceName, Pool>,
    probes: SortedMap<OutboundKey, MemberId>,
    typical_times: TypicalTimes,
    distances: Distances,
    is_probe_timer_set: bool,
}

impl Router {
    /// Creates a router without any members.
    pub fn new(settings: RoutingSettings, own_zone: AvailabilityZone, own_id: MemberId) -> Self {
        Self {
            settings,
            distances: Distances::new(own_zone.clone()),
            own_zone,
            own_id,
            targets: SlotMap::with_key(),
            keys_by_member: SortedMap::default(),
            pools: SortedMap::default(),
            probes: SortedMap::default(),
            typical_times: TypicalTimes::default(),
            is_probe_timer_set: false,
        }
    }

    /// Chooses a target for a request.
    pub fn choose(
        &mut self,
        now_us: u64,
        rng: &mut ChaCha8Rng,
        query: &TargetQuery<'_>,
    ) -> Result<ChosenTarget, Refusal> {
        let Some(pool) = self.pools.get_mut(query.service) else {
            return Err(refusal(
                RefusalReason::UnknownService,
                UNKNOWN_SERVICE_RETRY_AFTER_MS,
            ));
        };
        let chooser = choice::Chooser {
            settings: &self.settings,
            targets: &self.targets,
            local: &pool.local,
            remote: &pool.remote,
            now_us,
            query,
            typical_us: self.typical_times.mean_us(query.kind),
            distances: &self.distances,
        };
        let key = chooser.choose(rng, &mut pool.spill)?;
        let target = &self.targets[key];
        Ok(ChosenTarget {
            member: target.member,
            address: target.address,
        })
    }

    /// Records that a request is sent to a member.
    pub fn record_sent(&mut self, now_us: u64, member: MemberId) {
        if let Some(target) = self.target_mut(member) {
            target.record_sent(now_us);
        }
    }

    /// Records how a request to a member ended, and ejects its target if it is failing.
    pub fn record_outcome(
        &mut self,
        now_us: u64,
        member: MemberId,
        outcome: AttemptOutcome,
        latency_us: u64,
        load: Option<LoadReport>,
    ) {
        let Some(&key) = self.keys_by_member.get(&member) else {
            return;
        };
        let target = &mut self.targets[key];
        target.record_outcome(now_us, outcome, latency_us, load);
        self.eject_if_failing(now_us, key, outcome);
    }

    /// Records the service time of a kind of work that the guard of a member reported.
    pub fn record_kind_time(
        &mut self,
        now_us: u64,
        member: MemberId,
        kind: WorkKind,
        service_us: u32,
    ) {
        if kind == WorkKind::default() {
            return;
        }
        if let Some(target) = self.target_mut(member) {
            target.record_kind_time(now_us, kind, service_us);
            self.typical_times.record(kind, service_us);
        }
    }

    /// Records the time from sending a request to a member until its response, and the part of it
    /// that the guard reported as its own; the difference is the distance to the member's zone.
    pub fn record_distance(&mut self, member: MemberId, latency_us: u64, guard_us: u32) {
        let Some(&key) = self.keys_by_member.get(&member) else {
            return;
        };
        let network_us = latency_us.saturating_sub(u64::from(guard_us));
        let zone = self.targets[key].zone;
        self.distances.record(zone, network_us);
    }

    /// Sends a probe to each daemon that could not be reached and whose next probe is due.
    fn probe_unreachable(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        let mut is_any_unreachable = false;
        let timeout_us = u64::from(self.settings.probe_timeout_ms) * 1_000;
        for target in self.targets.values_mut() {
            let Some(schedule) = &mut target.probe_schedule else {
                continue;
            };
            is_any_unreachable = true;
            if !schedule.advance_if_due(now_us) {
                continue;
            }
            let probe_key = context.send_request(target.address, PeerRequest::Load, timeout_us);
            self.probes.insert(probe_key, target.member);
        }
        self.is_probe_timer_set = is_any_unreachable;
        if is_any_unreachable {
            context.set_timer(PROBE_PERIOD_US, PROBE_TIMER);
        }
    }

    fn record_probe_result(
        &mut self,
        context: &mut Context<'_>,
        probe_key: OutboundKey,
        load: Option<LoadReport>,
    ) {
        let Some(member) = self.probes.remove(&probe_key) else {
            return;
        };
        let now_us = context.now_us();
        if let (Some(load), Some(target)) = (load, self.target_mut(member)) {
            target.record_reachable(now_us, load);
        }
    }

    /// Returns the peer address of a member.
    pub fn peer_address(&self, member: MemberId) -> Option<SocketAddr> {
        let key = self.keys_by_member.get(&member)?;
        Some(self.targets[*key].address)
    }

    /// Returns whether the target of a member is in another availability zone.
    pub fn is_in_other_zone(&self, member: MemberId) -> bool {
        let key = self.keys_by_member.get(&member);
        key.is_some_and(|key| self.targets[*key].zone.is_other())
    }

    /// Returns the number of members that currently serve a service.
    pub fn member_count(&self, service: &ServiceName) -> usize {
        self.pools.get(service).map_or(0, Pool::len)
    }

    /// Returns whether any member has ever served a service.
    pub fn is_known_service(&self, service: &ServiceName) -> bool {
        self.pools.contains_key(service)
    }

    fn target_mut(&mut self, member: MemberId) -> Option<&mut Target> {
        let key = self.keys_by_member.get(&member)?;
        self.targets.get_mut(*key)
    }

    /// Applies a membership update to the target of a member.
    fn update_member(&mut self, now_us: u64, member: Member) {
        if member.state == MemberState::Gone {
            self.remove_member(member.id);
            return;
        }
        let Some(service) = member.service.clone() else {
            self.remove_member(member.id);
            return;
        };
        if let Some(target) = self.target_mut(member.id)
            && target.service == service
        {
            target.update(now_us, &member);
            return;
        }
        self.remove_member(member.id);
        let is_local = member.id == self.own_id || member.availability_zone == self.own_zone;
        let zone = self.distances.index_of(&member.availability_zone);
        let target = Target::new(now_us, &member, service.clone(), zone);
        let key = self.targets.insert(target);
        self.keys_by_member.insert(member.id, key);
        let pool = self.pools.get_or_insert_with(service, Pool::default);
        pool.insert(key, is_local);
    }

    fn remove_member(&mut self, member: MemberId) {
        let Some(key) = self.keys_by_member.remove(&member) else {
            return;
        };
        let Some(target) = self.targets.remove(key) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&target.service) {
            pool.remove(key);
        }
    }

    /// Ejects a target that is failing, unless too many targets of its service are ejected already.
    fn eject_if_failing(&mut self, now_us: u64, key: TargetKey, outcome: AttemptOutcome) {
        let target = &self.targets[key];
        let health = &target.health;
        if health.is_ejected(now_us) || !health.should_eject_after(outcome) {
            return;
        }
        let Some(pool) = self.pools.get(&target.service) else {
            return;
        };
        let mut ejected = 0;
        for other in pool.keys() {
            ejected += usize::from(self.targets[other].health.is_ejected(now_us));
        }
        let share_max = self.settings.ejected_share_max_percent as usize;
        if (ejected + 1) * 100 > pool.len() * share_max {
            return;
        }
        let first_duration_us = u64::from(self.settings.ejection_ms) * 1_000;
        let max_us = u64::from(self.settings.ejection_max_ms) * 1_000;
        self.targets[key]
            .health
            .eject(now_us, first_duration_us, max_us);
    }
}

/// The event that starts the probing of daemons that could not be reached; it has no effect while
/// probing is active.
///
/// The caller of [`Router::record_outcome`] sends it after [`AttemptOutcome::Unreachable`].
pub const START_PROBES: Event = Event::Timer(START_PROBES_TIMER);

const START_PROBES_TIMER: u64 = 1;
const PROBE_TIMER: u64 = 2;

/// The time between two checks for probes that are due.
const PROBE_PERIOD_US: u64 = 250_000;

/// The retry-after time for a service that no member has served; one may have joined by then.
const UNKNOWN_SERVICE_RETRY_AFTER_MS: u32 = 1_000;

/// Creates a refusal by this entry daemon, which says that another target is not worth a try: the
/// choice covers the targets of all zones, although a scan may stop before it has visited them all.
fn refusal(reason: RefusalReason, retry_after_ms: u32) -> Refusal {
    Refusal {
        reason,
        retry_after_ms,
        is_other_target_worthwhile: false,
    }
}

impl Service for Router {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        let now_us = context.now_us();
        match event {
            Event::Notice(Notice::MemberChanged(member)) => self.update_member(now_us, member),
            Event::Notice(Notice::MemberGone(member)) => self.remove_member(member),
            Event::Timer(START_PROBES_TIMER) if self.is_probe_timer_set => {}
            Event::Timer(START_PROBES_TIMER | PROBE_TIMER) => self.probe_unreachable(context),
            Event::PeerResponse { key, result } => {
                let load = match result {
                    Ok(PeerResponse::Load(load)) => Some(load),
                    _ => None,
                };
                self.record_probe_result(context, key, load);
            }
            Event::Notice(Notice::Resumed { .. }) => {
                for target in self.targets.values_mut() {
                    target.discard_report();
                }
            }
            _ => {}
        }
    }
}

impl AttemptOutcome {
    /// Returns whether the outcome is a success of the target; `None` if it says nothing about the
    /// target.
    fn is_success(self) -> Option<bool> {
        match self {
            Self::Answered => Some(true),
            Self::TargetError | Self::Lost | Self::NotSent | Self::Unreachable => Some(false),
            Self::Refused | Self::Cancelled => None,
        }
    }

    /// Returns the attempt outcome for a verdict.
    ///
    /// An error that was caused by a failed child call is not a fault of the target. All doubts
    /// count as `Lost`.
    pub fn from_verdict(verdict: &Verdict, has_failed_child: bool) -> Self {
        match verdict {
            Verdict::Ran(_) if has_failed_child => Self::Answered,
            Verdict::Ran(answer) if answer.status >= 500 => Self::TargetError,
            Verdict::Ran(_) => Self::Answered,
            Verdict::NotRun(refusal) if refusal.reason == RefusalReason::TargetRefused => {
                Self::TargetError
            }
            Verdict::NotRun(refusal) if refusal.reason.is_target_unavailable() => Self::NotSent,
            Verdict::NotRun(_) => Self::Refused,
            Verdict::MayHaveRun(_) => Self::Lost,
        }
    }
}

//! Routing: which target takes a request.

mod choice;
mod health;
mod pool;
mod slow_start;
mod target;

use std::net::SocketAddr;

use macro_rules_attribute::apply;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::derives::{settings, value};
use crate::ids::{AvailabilityZone, MemberId, OutboundKey, ServiceName};
use crate::kernel::{Context, Event, Notice, Service};
use crate::membership::{Member, MemberState};
use crate::peer::{PeerRequest, PeerResponse};
use crate::request::{LoadReport, Rank};
use crate::sorted::SortedMap;
use crate::verdict::{Refusal, RefusalReason, Verdict};
use pool::Pool;
use target::{Target, TargetKey};

/// The name of the routing service.
pub const NAME: &str = "routing";

/// The target that takes a request.
#[apply(value!)]
pub struct Choice {
    /// The daemon beside the target.
    pub member: MemberId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// How a try at a target ended.
#[apply(value!)]
pub enum TryOutcome {
    /// With a whole answer that is no server error.
    Answered,
    /// With a server error from the target.
    TargetError,
    /// With a refusal of the guard.
    Refused,
    /// Without an answer.
    Lost,
    /// The guard has no target that could take it.
    NotSent,
    /// The daemon beside the target did not answer on any connection.
    Unreachable,
    /// The entry daemon gave up on it.
    Cancelled,
}

/// What a target is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The order in which the request is shed.
    pub rank: Rank,
    /// Members that were tried already.
    pub excluded: &'a [MemberId],
}

/// Settings of routing.
#[apply(settings!)]
pub struct RoutingSettings {
    /// The greatest share of a service's targets that is ejected at once.
    pub ejected_share_max_percent: u32,
    /// The time of a first ejection; it doubles with each further one.
    pub ejection_ms: u32,
    /// The greatest time of an ejection.
    pub ejection_max_ms: u32,
    /// The time over which a new target is brought to its full share.
    pub slow_start_ms: u32,
    /// The load of a target, in percent of its limit, above which other zones are used too.
    pub zone_spill_percent: u32,
    /// The time that a threshold holds after it was reported.
    pub threshold_fresh_ms: u32,
    /// The share of requests that pass a threshold to find out whether it still holds.
    pub threshold_probe_percent: u32,
    /// The time allowed for a sign of life of a daemon that could not be reached.
    pub probe_timeout_ms: u32,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
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

/// Chooses targets from what membership and answers say of them.
pub struct Router {
    settings: RoutingSettings,
    own_zone: AvailabilityZone,
    own_id: MemberId,
    targets: SlotMap<TargetKey, Target>,
    members: SortedMap<MemberId, TargetKey>,
    pools: SortedMap<ServiceName, Pool>,
    probes: SortedMap<OutboundKey, MemberId>,
    is_probing: bool,
}

impl Router {
    /// Makes a router that knows no member.
    pub fn new(settings: RoutingSettings, own_zone: AvailabilityZone, own_id: MemberId) -> Self {
        Self {
            settings,
            own_zone,
            own_id,
            targets: SlotMap::with_key(),
            members: SortedMap::default(),
            pools: SortedMap::default(),
            probes: SortedMap::default(),
            is_probing: false,
        }
    }

    /// Chooses a target for a request.
    pub fn choose(
        &mut self,
        now_us: u64,
        rng: &mut ChaCha8Rng,
        want: &Want<'_>,
    ) -> Result<Choice, Refusal> {
        let Some(pool) = self.pools.get(want.service) else {
            return Err(refusal(RefusalReason::UnknownService, UNKNOWN_RETRY_MS));
        };
        let chooser = choice::Chooser {
            settings: &self.settings,
            targets: &self.targets,
            pool,
            now_us,
            want,
        };
        let key = chooser.choose(rng)?;
        let target = &self.targets[key];
        Ok(Choice {
            member: target.member,
            address: target.address,
        })
    }

    /// Takes in that a request is sent to a member.
    pub fn sent(&mut self, now_us: u64, member: MemberId) {
        if let Some(target) = self.target_mut(member) {
            target.sent(now_us);
        }
    }

    /// Takes in how a request to a member ended.
    pub fn ended(
        &mut self,
        now_us: u64,
        member: MemberId,
        outcome: TryOutcome,
        latency_us: u64,
        load: Option<LoadReport>,
    ) {
        let Some(&key) = self.members.get(&member) else {
            return;
        };
        let target = &mut self.targets[key];
        target.ended(now_us, outcome, latency_us, load);
        self.judge(now_us, key, outcome);
    }

    /// Asks the daemons that could not be reached for a sign of life, each after its own pause.
    fn probe_unreachable(&mut self, context: &mut Context<'_>) {
        let now_us = context.now_us();
        let mut is_any_left = false;
        let timeout_us = u64::from(self.settings.probe_timeout_ms) * 1_000;
        for target in self.targets.values_mut() {
            let Some(reach) = &mut target.unreachable else {
                continue;
            };
            is_any_left = true;
            if !reach.is_due(now_us) {
                continue;
            }
            let ask = context.send_request(target.address, PeerRequest::Load, timeout_us);
            self.probes.insert(ask, target.member);
        }
        self.is_probing = is_any_left;
        if is_any_left {
            context.set_timer(PROBE_PERIOD_US, PROBE_TIMER);
        }
    }

    fn probed(&mut self, context: &mut Context<'_>, ask: OutboundKey, load: Option<LoadReport>) {
        let Some(member) = self.probes.remove(&ask) else {
            return;
        };
        let now_us = context.now_us();
        if let (Some(load), Some(target)) = (load, self.target_mut(member)) {
            target.reached(now_us, load);
        }
    }

    /// Returns the peer address of a member.
    pub fn address(&self, member: MemberId) -> Option<SocketAddr> {
        let key = self.members.get(&member)?;
        Some(self.targets[*key].address)
    }

    /// Returns the number of members that serve a service.
    pub fn members_of(&self, service: &ServiceName) -> usize {
        self.pools.get(service).map_or(0, Pool::len)
    }

    /// Says whether a member ever served a service.
    pub fn is_known(&self, service: &ServiceName) -> bool {
        self.pools.contains_key(service)
    }

    fn target_mut(&mut self, member: MemberId) -> Option<&mut Target> {
        let key = self.members.get(&member)?;
        self.targets.get_mut(*key)
    }

    /// Takes in what membership says of a member.
    fn change(&mut self, now_us: u64, member: Member) {
        if member.state == MemberState::Gone {
            self.forget(member.id);
            return;
        }
        let Some(service) = member.service.clone() else {
            self.forget(member.id);
            return;
        };
        if let Some(target) = self.target_mut(member.id)
            && target.service == service
        {
            target.update(now_us, &member);
            return;
        }
        self.forget(member.id);
        let is_local = member.id == self.own_id || member.availability_zone == self.own_zone;
        let target = Target::new(now_us, &member, service.clone());
        let key = self.targets.insert(target);
        self.members.insert(member.id, key);
        let pool = self.pools.get_or_insert_with(service, Pool::default);
        pool.insert(key, is_local);
    }

    fn forget(&mut self, member: MemberId) {
        let Some(key) = self.members.remove(&member) else {
            return;
        };
        let Some(target) = self.targets.remove(key) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&target.service) {
            pool.remove(key);
        }
    }

    /// Ejects a target that fails, unless too many of its service are ejected already.
    fn judge(&mut self, now_us: u64, key: TargetKey, outcome: TryOutcome) {
        let target = &self.targets[key];
        let health = &target.health;
        if health.is_ejected(now_us) || !health.is_failing(outcome) {
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
        let first_us = u64::from(self.settings.ejection_ms) * 1_000;
        let max_us = u64::from(self.settings.ejection_max_ms) * 1_000;
        self.targets[key].health.eject(now_us, first_us, max_us);
    }
}

/// The event that starts the probes of daemons that could not be reached.
pub const PROBE_DUE: Event = Event::Timer(PROBE_START);

const PROBE_START: u64 = 1;
const PROBE_TIMER: u64 = 2;

/// The time between two looks at the daemons that could not be reached.
const PROBE_PERIOD_US: u64 = 250_000;

/// The time after which a service that is not known may be known.
const UNKNOWN_RETRY_MS: u32 = 1_000;

/// Makes a refusal of this entry daemon; no other target would take the request.
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
            Event::Notice(Notice::MemberChanged(member)) => self.change(now_us, member),
            Event::Notice(Notice::MemberGone(member)) => self.forget(member),
            Event::Timer(PROBE_START) if self.is_probing => {}
            Event::Timer(PROBE_START | PROBE_TIMER) => self.probe_unreachable(context),
            Event::PeerResponse { key, result } => {
                let load = match result {
                    Ok(PeerResponse::Load(load)) => Some(load),
                    _ => None,
                };
                self.probed(context, key, load);
            }
            Event::Notice(Notice::Resumed { .. }) => {
                for target in self.targets.values_mut() {
                    target.forget_report();
                }
            }
            _ => {}
        }
    }
}

impl TryOutcome {
    /// Returns the outcome that a verdict is counted as.
    ///
    /// An error that only passes on a failure further down is no fault of the target.
    pub fn of(verdict: &Verdict, has_failed_child: bool) -> Self {
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

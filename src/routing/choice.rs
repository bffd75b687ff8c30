//! The choice between the targets of a service.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use super::pool::Pool;
use super::target::{Target, TargetKey};
use super::{RoutingSettings, TargetQuery, refusal};
use crate::membership::MemberState;
use crate::verdict::{Refusal, RefusalReason};

/// The shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_MIN_MS: u32 = 10;
/// The longest time after which a refused caller is asked to come back.
const RETRY_AFTER_MAX_MS: u32 = 10_000;
/// The time after which a service without a target may have one.
const NO_TARGET_RETRY_MS: u32 = 500;

/// The share of requests that try a target whose ejection is over.
const TRIAL_SHARE: f64 = 0.05;

/// The targets of a zone that a choice looks for.
const CANDIDATES_MAX: usize = 16;
/// The targets of a zone that refuse by their threshold before the zone is given up.
const REFUSALS_MAX: usize = 64;

/// How willingly a target is used; a later one only where there is none of an earlier one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Healthy,
    OnTrial,
    Ejected,
    Suspect,
    Unreachable,
}

impl Survey {
    fn is_enough(&self) -> bool {
        let has_candidates = self.tier == Tier::Healthy && self.candidates.len() >= CANDIDATES_MAX;
        has_candidates || self.refusals >= REFUSALS_MAX
    }

    fn refused(&mut self, drain_ms: u32) {
        self.refusals += 1;
        let shortest_ms = self.refused_for_ms.unwrap_or(u32::MAX);
        self.refused_for_ms = Some(shortest_ms.min(drain_ms));
    }

    fn add(&mut self, key: TargetKey, tier: Tier) {
        if tier < self.tier {
            self.tier = tier;
            self.candidates.clear();
        }
        if tier == self.tier {
            self.candidates.push(key);
        }
    }
}

/// Says why no target can take a request.
fn no_candidate(local: &Survey, remote: &Survey) -> Refusal {
    let shortest_ms = match (local.refused_for_ms, remote.refused_for_ms) {
        (Some(near_ms), Some(far_ms)) => near_ms.min(far_ms),
        (Some(drain_ms), None) | (None, Some(drain_ms)) => drain_ms,
        (None, None) => return refusal(RefusalReason::NoTarget, NO_TARGET_RETRY_MS),
    };
    let retry_after_ms = shortest_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    refusal(RefusalReason::Threshold, retry_after_ms)
}

/// One choice with what it rests on.
pub(super) struct Chooser<'a> {
    pub(super) settings: &'a RoutingSettings,
    pub(super) targets: &'a SlotMap<TargetKey, Target>,
    pub(super) pool: &'a Pool,
    pub(super) now_us: u64,
    pub(super) want: &'a TargetQuery<'a>,
}

/// What a look at the targets of one or of other zones found.
struct Survey {
    tier: Tier,
    /// The targets of that tier, as far as they were looked at.
    candidates: Vec<TargetKey>,
    /// A target whose ejection is over and that is tried now.
    trial: Option<TargetKey>,
    /// The shortest wait of those whose threshold refuses the request.
    refused_for_ms: Option<u32>,
    refusals: usize,
}

impl Chooser<'_> {
    pub(super) fn choose(&self, rng: &mut ChaCha8Rng) -> Result<TargetKey, Refusal> {
        let ignores_threshold = rng.random_range(0..100) < self.settings.threshold_probe_percent;
        let local = self.survey(rng, &self.pool.local, ignores_threshold);
        if let Some(trial) = local.trial {
            return Ok(trial);
        }
        let near = self.better_of_two(rng, &local.candidates);
        if let Some(near) = near
            && local.tier == Tier::Healthy
            && self.has_room(near)
        {
            return Ok(near);
        }
        let remote = self.survey(rng, &self.pool.remote, ignores_threshold);
        if let Some(trial) = remote.trial {
            return Ok(trial);
        }
        let far = self.better_of_two(rng, &remote.candidates);
        match (near, far) {
            (Some(near), Some(far)) if local.tier == remote.tier => Ok(self.better(near, far)),
            (Some(near), Some(_)) if local.tier < remote.tier => Ok(near),
            (_, Some(far)) => Ok(far),
            (Some(near), None) => Ok(near),
            (None, None) => Err(no_candidate(&local, &remote)),
        }
    }

    /// Looks at targets from a random one on until there are enough to pick from.
    fn survey(&self, rng: &mut ChaCha8Rng, keys: &[TargetKey], ignores_threshold: bool) -> Survey {
        let mut survey = Survey {
            tier: Tier::Unreachable,
            candidates: Vec::new(),
            trial: None,
            refused_for_ms: None,
            refusals: 0,
        };
        if keys.is_empty() {
            return survey;
        }
        let (before, after) = keys.split_at(rng.random_range(0..keys.len()));
        for &key in after.iter().chain(before) {
            if survey.is_enough() {
                break;
            }
            let target = &self.targets[key];
            if !target.takes_work() || self.want.excluded.contains(&target.member) {
                continue;
            }
            if !ignores_threshold && target.refuses(self.now_us, self.want.rank, self.settings) {
                survey.refused(target.drain_ms(self.now_us));
                continue;
            }
            let tier = self.tier(target);
            if tier == Tier::OnTrial && target.is_idle() && rng.random_bool(TRIAL_SHARE) {
                survey.trial = Some(key);
                break;
            }
            survey.add(key, tier);
        }
        survey
    }

    fn tier(&self, target: &Target) -> Tier {
        if target.unreachable.is_some() {
            return Tier::Unreachable;
        }
        if target.state == MemberState::Suspect {
            return Tier::Suspect;
        }
        if target.health.is_ejected(self.now_us) {
            return Tier::Ejected;
        }
        if target.health.is_on_trial(self.now_us) {
            return Tier::OnTrial;
        }
        Tier::Healthy
    }

    fn has_room(&self, key: TargetKey) -> bool {
        let load_percent = self.targets[key].load(self.now_us, self.settings) * 100.0;
        load_percent <= f64::from(self.settings.zone_spill_percent)
    }

    fn better_of_two(&self, rng: &mut ChaCha8Rng, keys: &[TargetKey]) -> Option<TargetKey> {
        let first = self.pick(rng, keys, None)?;
        match self.pick(rng, keys, Some(first)) {
            Some(second) => Some(self.better(first, second)),
            None => Some(first),
        }
    }

    fn better(&self, one: TargetKey, other: TargetKey) -> TargetKey {
        let score = |key: TargetKey| self.targets[key].score(self.now_us, self.settings);
        if score(other) < score(one) {
            other
        } else {
            one
        }
    }

    /// Picks one at random in proportion to slots, leaving out one.
    fn pick(
        &self,
        rng: &mut ChaCha8Rng,
        keys: &[TargetKey],
        left_out: Option<TargetKey>,
    ) -> Option<TargetKey> {
        let mut slots_sum = 0;
        for key in keys {
            if Some(*key) != left_out {
                slots_sum += self.targets[*key].slots();
            }
        }
        if slots_sum == 0 {
            return None;
        }
        let mut at = rng.random_range(0..slots_sum);
        for key in keys {
            if Some(*key) == left_out {
                continue;
            }
            let slots = self.targets[*key].slots();
            if at < slots {
                return Some(*key);
            }
            at -= slots;
        }
        None
    }
}

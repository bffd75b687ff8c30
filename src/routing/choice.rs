//! The choice between the targets of a service.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use super::pool::Pool;
use super::target::{Target, TargetKey};
use super::{RoutingSettings, Want, refusal};
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

/// How willingly a target is used; a later one only where there is none of an earlier one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Healthy,
    OnTrial,
    Ejected,
    Suspect,
}

/// One choice with what it rests on.
pub(super) struct Chooser<'a> {
    pub(super) settings: &'a RoutingSettings,
    pub(super) targets: &'a SlotMap<TargetKey, Target>,
    pub(super) pool: &'a Pool,
    pub(super) now_us: u64,
    pub(super) want: &'a Want<'a>,
}

impl Chooser<'_> {
    pub(super) fn choose(&self, rng: &mut ChaCha8Rng) -> Result<TargetKey, Refusal> {
        let ignores_threshold = rng.random_range(0..100) < self.settings.threshold_probe_percent;
        let mut candidates = Vec::new();
        let mut best_tier = Tier::Suspect;
        let mut refused_for_ms = None;
        for key in self.pool.keys() {
            let target = &self.targets[key];
            if !target.takes_work() || self.want.excluded.contains(&target.member) {
                continue;
            }
            if !ignores_threshold && target.refuses(self.now_us, self.want.rank, self.settings) {
                let drain_ms = target.drain_ms(self.now_us);
                refused_for_ms = Some(refused_for_ms.unwrap_or(u32::MAX).min(drain_ms));
                continue;
            }
            let tier = self.tier(target);
            if tier == Tier::OnTrial && target.is_idle() && rng.random_bool(TRIAL_SHARE) {
                return Ok(key);
            }
            if tier < best_tier {
                best_tier = tier;
                candidates.clear();
            }
            if tier == best_tier {
                candidates.push(key);
            }
        }
        if let Some(key) = self.pick_by_zone(rng, &candidates) {
            return Ok(key);
        }
        let Some(drain_ms) = refused_for_ms else {
            return Err(refusal(RefusalReason::NoTarget, NO_TARGET_RETRY_MS));
        };
        let retry_after_ms = drain_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        Err(refusal(RefusalReason::Threshold, retry_after_ms))
    }

    fn tier(&self, target: &Target) -> Tier {
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

    /// Takes the better of two in the own zone while it has room, else the best of all picked.
    fn pick_by_zone(&self, rng: &mut ChaCha8Rng, candidates: &[TargetKey]) -> Option<TargetKey> {
        let (local, remote): (Vec<_>, Vec<_>) = candidates
            .iter()
            .copied()
            .partition(|key| self.targets[*key].is_local);
        let near = self.better_of_two(rng, &local);
        if let Some(near) = near
            && self.has_room(near)
        {
            return Some(near);
        }
        let far = self.better_of_two(rng, &remote);
        match (near, far) {
            (Some(near), Some(far)) => Some(self.better(near, far)),
            (near, far) => near.or(far),
        }
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

//! The choice between the targets of a service.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use super::distance::Distances;
use super::expected_time::{ExpectedTime, LoadEstimate};
use super::spill::SpillShare;
use super::target::{Target, TargetKey};
use super::{Placement, RoutingSettings, TargetQuery, refusal};
use crate::membership::MemberState;
use crate::verdict::{Refusal, RefusalReason};

/// The minimum retry-after time of a refusal.
const RETRY_AFTER_MIN_MS: u32 = 10;
/// The maximum retry-after time of a refusal.
const RETRY_AFTER_MAX_MS: u32 = 10_000;
/// The retry-after time for a service without a target; one may have joined by then.
const NO_TARGET_RETRY_AFTER_MS: u32 = 500;

/// The probability with which each idle target on trial that a scan meets gets the request.
const TRIAL_PROBABILITY: f64 = 0.05;

/// The number of healthy candidates at which a scan stops.
const CANDIDATES_MAX: usize = 16;
/// The number of targets with a threshold above the request's rank at which a scan stops.
const BELOW_THRESHOLD_MAX: usize = 64;

/// The maximum number of targets with which the first random one is compared.
const COMPARISONS_MAX: u32 = 3;

/// The order of preference between targets; a later tier is used only if an earlier one has no
/// target. Only an idle target on trial may be chosen at random although there are healthy ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Healthy,
    OnTrial,
    Ejected,
    Suspect,
    Unreachable,
}

/// Returns the refusal of a request for which there is no candidate: after the shortest drain time
/// of the targets whose threshold is above its rank, or [`RefusalReason::NoTarget`] without any.
fn refusal_without_candidate(local: &Scan, remote: &Scan) -> Refusal {
    let shortest_ms = match (local.shortest_drain_ms, remote.shortest_drain_ms) {
        (Some(local_ms), Some(remote_ms)) => local_ms.min(remote_ms),
        (Some(drain_ms), None) | (None, Some(drain_ms)) => drain_ms,
        (None, None) => return refusal(RefusalReason::NoTarget, NO_TARGET_RETRY_AFTER_MS),
    };
    let retry_after_ms = shortest_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    refusal(RefusalReason::Threshold, retry_after_ms)
}

/// Returns whether a target has a queue and its occupancy exceeds that of another one by more than
/// the usual error of reported occupancies.
fn has_clear_queue(occupancy: f64, other_occupancy: f64, margin: f64) -> bool {
    occupancy > 1.0 && occupancy - other_occupancy > margin
}

/// One choice between the targets of a service, with its input.
pub(super) struct Chooser<'a> {
    pub(super) settings: &'a RoutingSettings,
    pub(super) targets: &'a SlotMap<TargetKey, Target>,
    /// The targets in the daemon's own availability zone.
    pub(super) local: &'a [TargetKey],
    /// The targets in other zones.
    pub(super) remote: &'a [TargetKey],
    pub(super) now_us: u64,
    pub(super) query: &'a TargetQuery<'a>,
    /// The mean service time of the request's kind at all targets, if it is known.
    pub(super) typical_us: Option<f64>,
    pub(super) distances: &'a Distances,
}

/// The better of two targets, and the one that it was compared with, which is the same if there is
/// only one.
#[derive(Clone, Copy)]
struct Picked {
    best: TargetKey,
    other: TargetKey,
}

/// The result of a scan of the targets of the own zone or of those of the other zones.
struct Scan {
    /// The best tier that was found.
    tier: Tier,
    /// The targets of that tier among those that were scanned.
    candidates: Vec<TargetKey>,
    /// A target whose ejection is over and that gets this request as a trial.
    trial: Option<TargetKey>,
    /// The shortest queue drain time of the targets whose threshold is above the request's rank.
    shortest_drain_ms: Option<u32>,
    /// The number of targets whose threshold is above the request's rank.
    below_threshold_count: usize,
}

impl Scan {
    fn is_sufficient(&self) -> bool {
        let has_candidates = self.tier == Tier::Healthy && self.candidates.len() >= CANDIDATES_MAX;
        has_candidates || self.below_threshold_count >= BELOW_THRESHOLD_MAX
    }

    fn record_below_threshold(&mut self, drain_ms: u32) {
        self.below_threshold_count += 1;
        let shortest_ms = self.shortest_drain_ms.unwrap_or(u32::MAX);
        self.shortest_drain_ms = Some(shortest_ms.min(drain_ms));
    }

    fn add_candidate(&mut self, key: TargetKey, tier: Tier) {
        if tier < self.tier {
            self.tier = tier;
            self.candidates.clear();
        }
        if tier == self.tier {
            self.candidates.push(key);
        }
    }
}

impl Chooser<'_> {
    /// Chooses a target; `spill` is the share of the service's requests for other zones.
    pub(super) fn choose(
        &self,
        rng: &mut ChaCha8Rng,
        spill: &mut SpillShare,
    ) -> Result<TargetKey, Refusal> {
        let ignores_threshold = rng.random_range(0..100) < self.settings.threshold_probe_percent;
        let local = self.scan(rng, self.local, ignores_threshold);
        if let Some(trial) = local.trial {
            return Ok(trial);
        }
        let local_best = self.best_of_some(rng, &local.candidates);
        if let Some(local_best) = local_best
            && local.tier == Tier::Healthy
            && self.has_room_in_own_zone(local_best, spill)
        {
            return Ok(local_best.best);
        }
        let remote = self.scan(rng, self.remote, ignores_threshold);
        if let Some(trial) = remote.trial {
            return Ok(trial);
        }
        let remote_best = self.best_of_some(rng, &remote.candidates);
        match (local_best, remote_best) {
            (Some(local_best), Some(remote_best)) if local.tier == remote.tier => {
                Ok(self.better_of_zones(rng, local_best, remote_best, spill))
            }
            (Some(local_best), Some(_)) if local.tier < remote.tier => Ok(local_best.best),
            (_, Some(remote_best)) => Ok(remote_best.best),
            (Some(local_best), None) => Ok(local_best.best),
            (None, None) => Err(refusal_without_candidate(&local, &remote)),
        }
    }

    /// Scans targets from a random one on until there are enough candidates, a target gets the
    /// request as a trial, or [`BELOW_THRESHOLD_MAX`] targets have a threshold above the request's
    /// rank.
    fn scan(&self, rng: &mut ChaCha8Rng, keys: &[TargetKey], ignores_threshold: bool) -> Scan {
        let mut scan = Scan {
            tier: Tier::Unreachable,
            candidates: Vec::new(),
            trial: None,
            shortest_drain_ms: None,
            below_threshold_count: 0,
        };
        if keys.is_empty() {
            return scan;
        }
        let (before, after) = keys.split_at(rng.random_range(0..keys.len()));
        for &key in after.iter().chain(before) {
            if scan.is_sufficient() {
                break;
            }
            let target = &self.targets[key];
            if !target.accepts_requests() || self.query.excluded.contains(&target.member) {
                continue;
            }
            if !ignores_threshold
                && target.has_threshold_above(self.now_us, self.query.rank, self.settings)
            {
                scan.record_below_threshold(target.drain_ms(self.now_us));
                continue;
            }
            let tier = self.tier(target);
            if tier == Tier::OnTrial && target.is_idle() && rng.random_bool(TRIAL_PROBABILITY) {
                scan.trial = Some(key);
                break;
            }
            scan.add_candidate(key, tier);
        }
        scan
    }

    fn tier(&self, target: &Target) -> Tier {
        if target.probe_schedule.is_some() {
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

    /// Returns whether the best target of the own zone is used without comparing it with those of
    /// other zones.
    fn has_room_in_own_zone(&self, local: Picked, spill: &mut SpillShare) -> bool {
        if self.settings.placement == Placement::ZoneSpill {
            return self.has_room(local.best);
        }
        let delay_us = self.least_delayed_time(local).delay_us();
        if spill.share() > 0.0 || delay_us > self.distances.least_extra_us() {
            return false;
        }
        spill.skip_update(self.now_us);
        true
    }

    /// Decides between the best target of the own zone and that of the others.
    fn better_of_zones(
        &self,
        rng: &mut ChaCha8Rng,
        local: Picked,
        remote: Picked,
        spill: &mut SpillShare,
    ) -> TargetKey {
        if self.settings.placement == Placement::ZoneSpill {
            return self.better(local.best, remote.best);
        }
        let local_time = self.least_delayed_time(local);
        let remote_time = self.least_delayed_time(remote);
        let local_occupancy = local_time.equivalent_occupancy();
        let remote_occupancy = remote_time.equivalent_occupancy();
        let local_feedback_us = local_time.feedback_delay_us();
        let feedback_us = local_feedback_us.max(remote_time.feedback_delay_us());
        spill.update(self.now_us, local_occupancy - remote_occupancy, feedback_us);
        if rng.random_bool(spill.share()) {
            let margin = remote_time.occupancy_spread();
            let stays = has_clear_queue(remote_occupancy, local_occupancy, margin);
            return if stays { local.best } else { remote.best };
        }
        let margin = local_time.occupancy_spread();
        let moves = has_clear_queue(local_occupancy, remote_occupancy, margin);
        if moves { remote.best } else { local.best }
    }

    /// Returns the expected time at the one of two compared targets that has the shorter delay,
    /// which may be the slower one: a zone has room as long as one of its targets has.
    fn least_delayed_time(&self, picked: Picked) -> ExpectedTime {
        let best_time = self.expected_time(picked.best, LoadEstimate::Latest);
        if picked.other == picked.best {
            return best_time;
        }
        let other_time = self.expected_time(picked.other, LoadEstimate::Latest);
        match other_time.delay_us() < best_time.delay_us() {
            true => other_time,
            false => best_time,
        }
    }

    fn expected_time(&self, key: TargetKey, estimate: LoadEstimate) -> ExpectedTime {
        let target = &self.targets[key];
        let distance_us = self.distances.extra_us(target.zone);
        let (kind, typical_us) = (self.query.kind, self.typical_us);
        ExpectedTime::new(target, self.now_us, kind, typical_us, distance_us, estimate)
    }

    fn cost(&self, key: TargetKey) -> f64 {
        let (kind, typical_us) = (self.query.kind, self.typical_us);
        match self.settings.placement {
            Placement::ZoneSpill => {
                self.targets[key].cost(self.now_us, self.settings, kind, typical_us)
            }
            Placement::ExpectedTime => self
                .expected_time(key, LoadEstimate::Smoothed)
                .response_us(),
        }
    }

    fn has_room(&self, key: TargetKey) -> bool {
        let target = &self.targets[key];
        let load_percent = target.load(self.now_us, self.settings) * 100.0;
        target.rate_wait_us(self.now_us) == 0
            && load_percent <= f64::from(self.settings.zone_spill_percent)
    }

    /// Compares two random targets, and up to two more as long as the better one loses answers.
    fn best_of_some(&self, rng: &mut ChaCha8Rng, keys: &[TargetKey]) -> Option<Picked> {
        let mut best = self.pick_weighted(rng, keys, None)?;
        let mut compared = best;
        for comparison in 0..COMPARISONS_MAX {
            if comparison > 0 && !self.targets[best].loses_answers(self.now_us) {
                break;
            }
            let Some(other) = self.pick_weighted(rng, keys, Some(best)) else {
                break;
            };
            (best, compared) = match self.better(best, other) == best {
                true => (best, other),
                false => (other, best),
            };
        }
        Some(Picked {
            best,
            other: compared,
        })
    }

    fn better(&self, one: TargetKey, other: TargetKey) -> TargetKey {
        match self.cost(other) < self.cost(one) {
            true => other,
            false => one,
        }
    }

    /// Returns the weight of a target in random picks. With [`Placement::ExpectedTime`], that of a
    /// target without a report rises with time, so that the daemons do not all try it at once.
    fn pick_weight(&self, key: TargetKey) -> u64 {
        let target = &self.targets[key];
        if self.settings.placement == Placement::ZoneSpill {
            return target.slots();
        }
        target.slots_permille(self.now_us, self.settings)
    }

    /// Picks a target at random in proportion to its slots, except one that is excluded.
    fn pick_weighted(
        &self,
        rng: &mut ChaCha8Rng,
        keys: &[TargetKey],
        excluded: Option<TargetKey>,
    ) -> Option<TargetKey> {
        let mut slots_sum = 0;
        for key in keys {
            if Some(*key) != excluded {
                slots_sum += self.pick_weight(*key);
            }
        }
        if slots_sum == 0 {
            return None;
        }
        let mut position = rng.random_range(0..slots_sum);
        for key in keys {
            if Some(*key) == excluded {
                continue;
            }
            let slots = self.pick_weight(*key);
            if position < slots {
                return Some(*key);
            }
            position -= slots;
        }
        None
    }
}

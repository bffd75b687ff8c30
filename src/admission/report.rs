//! What admission reports to entry daemons: the load and the pressure.

use super::{Admission, threshold};
use crate::fairness::NEUTRAL_PERMILLE;
use crate::ids::WorkKind;
use crate::request::LoadReport;
use crate::retry::ArrivalCounts;

impl Admission {
    /// Returns the pressure on the target, from 0 to 1.
    pub fn pressure(&mut self, now_us: u64) -> f64 {
        self.pressure.current(now_us)
    }

    /// Counts a refused call in the pressure as one that waited behind the whole queue, and for no
    /// less than the maximum wait.
    ///
    /// This covers calls that could not be queued and queued calls that can no longer finish in
    /// time, but neither calls that an arrival of a higher rank evicts nor calls that would miss
    /// their deadline even without a wait.
    pub(super) fn observe_refusal(&mut self, now_us: u64, kind: WorkKind) {
        let wait_us = self.expected_wait_us(now_us, self.queue.len());
        let min_wait_us = u64::from(self.settings.queue_wait_max_ms) * 1_000;
        let wait_us = self.pressure_wait_us(now_us, wait_us.max(min_wait_us));
        self.pressure.observe_wait(now_us, kind, wait_us);
    }

    /// Returns a wait as it counts in the pressure.
    pub(super) fn pressure_wait_us(&self, now_us: u64, wait_us: u64) -> u64 {
        let aim_us = u64::from(self.settings.pressure.wait_aim_ms) * 1_000;
        self.pacer.pressure_wait_us(now_us, wait_us, aim_us)
    }

    /// Returns the load with the mean service time of all work.
    pub fn load(&self, now_us: u64) -> LoadReport {
        self.load_for(now_us, WorkKind::default())
    }

    /// Returns the load that the guard reports for a call of a kind of work, without `is_leaving`,
    /// the pressure, the share of lost answers and the arrivals, which the guard fills in.
    pub fn load_for(&self, now_us: u64, kind: WorkKind) -> LoadReport {
        let rate_wait_us = self.pacer.wait_us(now_us, self.queue.len());
        LoadReport {
            threshold: threshold::threshold(&self.queue, self.queue_len_bound(now_us)),
            in_flight: self.in_flight(),
            limit: self.effective_limit(now_us),
            queued: self.queue.len(),
            is_leaving: false,
            pressure_permille: 0,
            lost_permille: 0,
            arrivals: ArrivalCounts::default(),
            fair_permille: NEUTRAL_PERMILLE,
            rate_wait_us: u32::try_from(rate_wait_us).unwrap_or(u32::MAX),
            service_us: u32::try_from(self.service_times.kind_mean_us(kind)).unwrap_or(u32::MAX),
        }
    }
}

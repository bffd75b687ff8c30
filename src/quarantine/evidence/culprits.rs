//! Which requests the reports of ended targets point to.

use super::{Crash, Evidence, age_ms};
use crate::ids::MemberId;
use crate::quarantine::{CrashId, QuarantineRecord, RequestFingerprint};

/// How long the end of a target for no known reason makes it less likely that others end by a request.
const UNEXPLAINED_US: i64 = 30_000_000;

/// The maximum number of further reports that such ends ask for.
const UNEXPLAINED_MAX: u32 = 3;

/// A request that was found to end its targets, and the daemon that reported the last end.
#[derive(Clone, Debug, PartialEq)]
pub struct Culprit {
    /// The record of its quarantine.
    pub record: QuarantineRecord,
    /// The daemon that reported the last end.
    pub origin: MemberId,
    /// The number of targets that it ended.
    pub crashes: u32,
}

impl Evidence {
    /// Quarantines the requests that the reports point to, and returns them.
    pub fn quarantine_culprits(&mut self, now_us: u64) -> Vec<Culprit> {
        let mut culprits = Vec::new();
        while let Some(culprit) = self.find_culprit(now_us) {
            if !self.add_quarantine(now_us, &culprit.record) {
                break;
            }
            self.update_scores();
            culprits.push(culprit);
        }
        if !culprits.is_empty() {
            self.limit_counts();
            self.update_scores();
        }
        culprits
    }

    fn find_culprit(&self, now_us: u64) -> Option<Culprit> {
        let found = self.find_by_score(now_us);
        found.or_else(|| self.find_renewed(now_us))
    }

    /// Returns the request that is in the most reports, if these are enough.
    fn find_by_score(&self, now_us: u64) -> Option<Culprit> {
        let mut best: Option<(&RequestFingerprint, u32)> = None;
        for (request, score) in self.scores.iter() {
            let best_score = best.map_or(0, |(_, score)| score);
            if *score < self.settings.crashes_min || *score <= best_score {
                continue;
            }
            let needed = self.settings.crashes_min + self.unexplained(now_us, request);
            if *score >= needed && !self.has_companion(request) {
                best = Some((request, *score));
            }
        }
        let (request, score) = best?;
        self.culprit(now_us, request, score, i64::MIN)
    }

    /// Returns a request that was at a target which ended after its quarantine.
    fn find_renewed(&self, now_us: u64) -> Option<Culprit> {
        for (request, quarantined) in self.quarantines.iter() {
            let refused_until_us = quarantined.last_ended_us + self.refuse_us();
            let culprit = self.culprit(now_us, request, 1, refused_until_us);
            if culprit.is_some() {
                return culprit;
            }
        }
        None
    }

    /// Returns the culprit for the last end after a time of a target that ran the request.
    fn culprit(
        &self,
        now_us: u64,
        request: &RequestFingerprint,
        crashes: u32,
        after_us: i64,
    ) -> Option<Culprit> {
        let mut last: Option<(CrashId, &Crash)> = None;
        for (id, crash) in self.crashes.iter() {
            let is_later = last.is_none_or(|(_, last)| crash.ended_us > last.ended_us);
            if crash.has(request) && crash.ended_us > after_us && is_later {
                last = Some((*id, crash));
            }
        }
        let (last_crash, crash) = last?;
        Some(Culprit {
            record: QuarantineRecord {
                request: *request,
                last_crash,
                age_ms: age_ms(now_us, crash.ended_us),
            },
            origin: crash.origin,
            crashes,
        })
    }

    /// Returns the number of recent ends of targets of the same service, limited to
    /// [`UNEXPLAINED_MAX`], at which neither the request nor a quarantined one was.
    fn unexplained(&self, now_us: u64, request: &RequestFingerprint) -> u32 {
        let crashes = || self.crashes.values();
        let own = crashes().filter(|crash| crash.has(request));
        let Some(last) = own.max_by_key(|crash| crash.ended_us) else {
            return 0;
        };
        let mut count = 0;
        for crash in crashes() {
            let is_recent = now_us as i64 - crash.ended_us < UNEXPLAINED_US;
            if !is_recent || crash.service != last.service || self.is_explained(crash) {
                continue;
            }
            count += u32::from(!crash.has(request));
        }
        count.min(UNEXPLAINED_MAX)
    }

    /// Returns whether another request is in all reports that point to a request.
    fn has_companion(&self, request: &RequestFingerprint) -> bool {
        let mut companions: Option<Vec<RequestFingerprint>> = None;
        for crash in self.crashes.values() {
            if !crash.has(request) || self.is_explained(crash) {
                continue;
            }
            let companions = companions.get_or_insert_with(|| crash.requests.clone());
            companions.retain(|other| other != request && crash.has(other));
        }
        companions.is_some_and(|companions| !companions.is_empty())
    }
}

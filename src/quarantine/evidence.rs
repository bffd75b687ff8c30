//! The reports of ended targets and of completed requests, and the quarantines that follow from them.

mod culprits;

pub use culprits::Culprit;

use super::message::{Completion, CrashId, CrashReport, QuarantineRecord, Records};
use super::{QuarantineSettings, RequestFingerprint, RequestOutline, Standing};
use crate::ids::{MemberId, ServiceName};
use crate::sorted::SortedMap;

/// The maximum number of reports of ended targets.
const CRASHES_MAX: usize = 256;

/// The maximum number of requests in all these reports.
const REPORTED_REQUESTS_MAX: usize = 4_096;

/// The maximum number of completed requests.
const COMPLETIONS_MAX: usize = 4_096;

/// The maximum number of quarantined requests.
const QUARANTINES_MAX: usize = 256;

/// The number of reports from which a request is a suspect.
const SUSPECT_CRASHES: u32 = 2;

/// Two reports of completions of a request that are no more than this apart count as one; a report
/// that arrives twice has slightly different times.
const SAME_TIME_US: i64 = 1_000_000;

/// The tolerance when the times of a completion and of an end are compared: ages do not count the time
/// on the way.
const COMPLETION_SLACK_US: i64 = 500_000;

/// The seeds of the hashes of ends and completions in the digest.
const CRASH_SEED: u64 = 1;
const COMPLETION_SEED: u64 = 2;

/// An ended target. Times are those of this daemon's clock, and negative before its start.
struct Crash {
    origin: MemberId,
    service: ServiceName,
    ended_us: i64,
    /// The requests that were at the target and have not completed since, in ascending order.
    requests: Vec<RequestFingerprint>,
}

impl Crash {
    fn has(&self, request: &RequestFingerprint) -> bool {
        self.requests.binary_search(request).is_ok()
    }
}

/// A quarantined request.
#[derive(Clone, Copy)]
struct Quarantined {
    last_crash: CrashId,
    last_ended_us: i64,
}

/// The records of one daemon and what follows from them.
pub struct Evidence {
    settings: QuarantineSettings,
    crashes: SortedMap<CrashId, Crash>,
    completions: SortedMap<RequestFingerprint, i64>,
    quarantines: SortedMap<RequestFingerprint, Quarantined>,
    /// The number of reports with each request that no quarantined request explains.
    scores: SortedMap<RequestFingerprint, u32>,
    /// The outlines of all reported and quarantined requests, in ascending order.
    outlines: Vec<RequestOutline>,
}

impl Evidence {
    /// Creates a set without records.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            crashes: SortedMap::default(),
            completions: SortedMap::default(),
            quarantines: SortedMap::default(),
            scores: SortedMap::default(),
            outlines: Vec::new(),
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.crashes.len() + self.completions.len() + self.quarantines.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether any request is in a report or quarantined.
    pub fn knows_any(&self) -> bool {
        !self.outlines.is_empty()
    }

    /// Returns whether a request with this outline is in a report or quarantined.
    pub fn knows(&self, outline: RequestOutline) -> bool {
        self.outlines.binary_search(&outline).is_ok()
    }

    /// Returns whether a request is in a report or quarantined.
    pub fn is_reported(&self, request: &RequestFingerprint) -> bool {
        self.scores.contains_key(request) || self.quarantines.contains_key(request)
    }

    /// Returns how a request is judged.
    pub fn standing(&self, now_us: u64, request: &RequestFingerprint) -> Standing {
        if let Some(quarantined) = self.quarantines.get(request) {
            let until_us = quarantined.last_ended_us + self.refuse_us();
            let left_us = until_us - now_us as i64;
            if left_us > 0 {
                let left_ms = u32::try_from(left_us / 1_000).unwrap_or(u32::MAX);
                return Standing::Quarantined { left_ms };
            }
            return Standing::Suspect;
        }
        match self.scores.get(request) {
            Some(score) if *score >= SUSPECT_CRASHES => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Adds records of another daemon or of this one, and returns those that were new.
    pub fn merge(&mut self, now_us: u64, records: Records) -> Records {
        let mut new = Records::default();
        for completion in records.completions {
            if self.add_completion(now_us, &completion) {
                new.completions.push(completion);
            }
        }
        for quarantine in records.quarantines {
            if self.add_quarantine(now_us, &quarantine) {
                new.quarantines.push(quarantine);
            }
        }
        for report in records.crashes {
            if self.add_crash(now_us, &report) {
                new.crashes.push(report);
            }
        }
        if !new.is_empty() {
            self.limit_counts();
            self.update_scores();
        }
        new
    }

    fn add_crash(&mut self, now_us: u64, report: &CrashReport) -> bool {
        let ended_us = time_of(now_us, report.age_ms);
        if self.crashes.contains_key(&report.id) || self.is_expired(now_us, ended_us) {
            return false;
        }
        let mut requests = report.requests.clone();
        requests.sort_unstable();
        requests.dedup();
        requests.truncate(REPORTED_REQUESTS_MAX);
        requests.retain(|request| {
            let completed_us = self.completions.get(request);
            completed_us.is_none_or(|completed_us| !refutes(*completed_us, ended_us))
        });
        let crash = Crash {
            origin: report.origin,
            service: report.service.clone(),
            ended_us,
            requests,
        };
        self.crashes.insert(report.id, crash);
        true
    }

    /// Records that a request completed, so that it did not end the targets that ended before.
    fn add_completion(&mut self, now_us: u64, completion: &Completion) -> bool {
        let completed_us = time_of(now_us, completion.age_ms);
        let request = completion.request;
        let is_refuted =
            |crash: &Crash| refutes(completed_us, crash.ended_us) && crash.has(&request);
        let is_needed = self.crashes.values().any(is_refuted);
        let known_us = self.completions.get(&request);
        let is_known = known_us.is_some_and(|known_us| *known_us + SAME_TIME_US >= completed_us);
        if (is_known && !is_needed) || self.is_expired(now_us, completed_us) {
            return false;
        }
        self.completions.insert(request, completed_us);
        for (_, crash) in self.crashes.iter_mut() {
            if !refutes(completed_us, crash.ended_us) {
                continue;
            }
            if let Ok(index) = crash.requests.binary_search(&request) {
                crash.requests.remove(index);
            }
        }
        let quarantined = self.quarantines.get(&request);
        if quarantined.is_some_and(|quarantined| refutes(completed_us, quarantined.last_ended_us)) {
            self.quarantines.remove(&request);
        }
        true
    }

    /// Records a quarantine. Of two records of the same last end the older one is right, as ages do
    /// not count the time on the way; otherwise the younger one.
    fn add_quarantine(&mut self, now_us: u64, record: &QuarantineRecord) -> bool {
        let last_ended_us = time_of(now_us, record.age_ms);
        let completed_us = self.completions.get(&record.request);
        let is_refuted =
            completed_us.is_some_and(|completed_us| refutes(*completed_us, last_ended_us));
        if is_refuted || last_ended_us + 2 * self.refuse_us() <= now_us as i64 {
            return false;
        }
        if let Some(known) = self.quarantines.get_mut(&record.request) {
            if known.last_crash == record.last_crash {
                known.last_ended_us = known.last_ended_us.min(last_ended_us);
                return false;
            }
            if known.last_ended_us >= last_ended_us {
                return false;
            }
        }
        let quarantined = Quarantined {
            last_crash: record.last_crash,
            last_ended_us,
        };
        self.quarantines.insert(record.request, quarantined);
        true
    }

    /// Returns whether a quarantined request was at a target when it ended.
    fn is_explained(&self, crash: &Crash) -> bool {
        let is_quarantined = |request| self.quarantines.contains_key(request);
        crash.requests.iter().any(is_quarantined)
    }

    /// Forgets the records that are too old; returns the requests whose quarantine is over.
    pub fn expire(&mut self, now_us: u64) -> Vec<RequestFingerprint> {
        let kept_since_us = now_us as i64 - i64::from(self.settings.evidence_ms) * 1_000;
        let count = self.len();
        self.crashes
            .retain(|_, crash| crash.ended_us > kept_since_us);
        self.completions
            .retain(|_, completed_us| *completed_us > kept_since_us);
        let refuse_us = self.refuse_us();
        let mut over = Vec::new();
        self.quarantines.retain(|request, quarantined| {
            let is_kept = quarantined.last_ended_us + 2 * refuse_us > now_us as i64;
            if !is_kept {
                over.push(*request);
            }
            is_kept
        });
        if self.len() != count {
            self.update_scores();
        }
        over
    }

    /// Returns all records.
    pub fn contents(&self, now_us: u64) -> Records {
        let mut records = Records::default();
        for (id, crash) in self.crashes.iter() {
            records.crashes.push(CrashReport {
                id: *id,
                origin: crash.origin,
                service: crash.service.clone(),
                age_ms: age_ms(now_us, crash.ended_us),
                requests: crash.requests.clone(),
            });
        }
        for (request, completed_us) in self.completions.iter() {
            records.completions.push(Completion {
                request: *request,
                age_ms: age_ms(now_us, *completed_us),
            });
        }
        for (request, quarantined) in self.quarantines.iter() {
            records.quarantines.push(QuarantineRecord {
                request: *request,
                last_crash: quarantined.last_crash,
                age_ms: age_ms(now_us, quarantined.last_ended_us),
            });
        }
        records
    }

    /// Returns a digest that is the same at daemons with the same records.
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for id in self.crashes.keys() {
            digest ^= hash(CRASH_SEED, &[id.0]);
        }
        for request in self.completions.keys() {
            digest ^= hash(COMPLETION_SEED, &request.digest);
        }
        for (request, quarantined) in self.quarantines.iter() {
            digest ^= hash(quarantined.last_crash.0, &request.digest);
        }
        digest
    }

    fn is_expired(&self, now_us: u64, at_us: i64) -> bool {
        at_us + i64::from(self.settings.evidence_ms) * 1_000 <= now_us as i64
    }

    fn refuse_us(&self) -> i64 {
        i64::from(self.settings.refuse_ms) * 1_000
    }

    /// Drops the oldest records above the maximum counts.
    fn limit_counts(&mut self) {
        let mut reported: usize = self
            .crashes
            .values()
            .map(|crash| crash.requests.len())
            .sum();
        while self.crashes.len() > CRASHES_MAX || reported > REPORTED_REQUESTS_MAX {
            let removed = remove_oldest(&mut self.crashes, |crash| crash.ended_us);
            reported -= removed.map_or(reported, |crash| crash.requests.len());
        }
        while self.completions.len() > COMPLETIONS_MAX {
            remove_oldest(&mut self.completions, |completed_us| *completed_us);
        }
        while self.quarantines.len() > QUARANTINES_MAX {
            remove_oldest(&mut self.quarantines, |quarantined| {
                quarantined.last_ended_us
            });
        }
    }

    fn update_scores(&mut self) {
        let mut reported = Vec::new();
        let mut outlines = Vec::new();
        for crash in self.crashes.values() {
            outlines.extend(crash.requests.iter().map(|request| request.outline));
            if !self.is_explained(crash) {
                reported.extend(crash.requests.iter().copied());
            }
        }
        outlines.extend(self.quarantines.keys().map(|request| request.outline));
        outlines.sort_unstable();
        outlines.dedup();
        self.outlines = outlines;
        reported.sort_unstable();
        self.scores = SortedMap::default();
        for group in reported.chunk_by(|one, other| one == other) {
            self.scores.insert(group[0], group.len() as u32);
        }
    }
}

/// Returns whether a request that completed at a time did not end a target that ended before.
fn refutes(completed_us: i64, ended_us: i64) -> bool {
    ended_us <= completed_us + COMPLETION_SLACK_US
}

fn remove_oldest<K: Ord + Copy, V>(
    map: &mut SortedMap<K, V>,
    time_us: impl Fn(&V) -> i64,
) -> Option<V> {
    let (key, _) = map.iter().min_by_key(|(_, value)| time_us(value))?;
    let key = *key;
    map.remove(&key)
}

fn time_of(now_us: u64, age_ms: u64) -> i64 {
    let age_us = i64::try_from(age_ms)
        .unwrap_or(i64::MAX)
        .saturating_mul(1_000);
    (now_us as i64).saturating_sub(age_us)
}

fn age_ms(now_us: u64, at_us: i64) -> u64 {
    u64::try_from((now_us as i64).saturating_sub(at_us)).unwrap_or(0) / 1_000
}

fn hash(seed: u64, parts: &[u64]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::with_seed(seed);
    for part in parts {
        hasher.update(&part.to_le_bytes());
    }
    hasher.digest()
}

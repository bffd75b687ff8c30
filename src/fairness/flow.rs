//! The rates of one organisation at a guard.

/// The time constant of the offered rate.
const OFFERED_TIME_S: f64 = 3.0;

/// The time constant of the usual rate: longer than a surge.
const USUAL_TIME_S: f64 = 600.0;

/// The minimum time over which the usual rate is taken.
const USUAL_TIME_MIN_S: f64 = 10.0;

/// The multiple of the usual rate up to which requests count in it while capacity is short. A lower
/// one would let the usual rate fall by the fluctuation of arrivals alone.
const USUAL_RISE_MAX: f64 = 1.2;

/// The multiple of the usual rate up to which a higher rate counts as a fluctuation and not as a
/// surge.
const FLUCTUATION_MAX: f64 = 1.3;

/// The weight of the usual rate in the offered rate, as a number of requests. It keeps the estimate
/// of an organisation with few requests from following each of them.
const PRIOR_REQUESTS: f64 = 0.4;

/// The decaying counts of the requests of one organisation and one priority.
pub(super) struct Flow {
    /// The quota in requests per second, if there is one.
    pub(super) quota_per_s: Option<f64>,
    /// When the organisation's first request arrived.
    since_us: u64,
    updated_us: u64,
    /// The offered requests, decaying by [`OFFERED_TIME_S`].
    offered: f64,
    /// The number of requests for which the latest one stands.
    latest: f64,
    /// The requests that count in the usual rate, decaying by [`USUAL_TIME_S`].
    usual: f64,
}

impl Flow {
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            quota_per_s: None,
            since_us: now_us,
            updated_us: now_us,
            offered: 0.0,
            latest: 0.0,
            usual: 0.0,
        }
    }

    /// Records a request. While capacity is short, a surge counts little in the usual rate.
    pub(super) fn record(&mut self, now_us: u64, offered: f64, is_short: bool) {
        let usual_max = USUAL_RISE_MAX * self.usual_per_s(now_us) / self.offered_per_s(now_us);
        let usual = match is_short {
            true => offered * usual_max.min(1.0),
            false => offered,
        };
        let age_s = seconds_between(self.updated_us, now_us);
        self.offered = self.offered * decay(age_s, OFFERED_TIME_S) + offered;
        self.latest = offered;
        self.usual = self.usual * decay(age_s, USUAL_TIME_S) + usual;
        self.updated_us = self.updated_us.max(now_us);
    }

    pub(super) fn is_idle(&self, now_us: u64, idle_us: u64) -> bool {
        now_us >= self.updated_us + idle_us
    }

    /// Returns the estimated rate of the requests that are offered now.
    pub(super) fn offered_per_s(&self, now_us: u64) -> f64 {
        self.rate_of(now_us, self.offered)
    }

    /// Returns the estimated rate without the latest request, for a decision on that request: right
    /// after it was recorded, [`Self::offered_per_s`] is too high.
    pub(super) fn offered_before_latest_per_s(&self, now_us: u64) -> f64 {
        self.rate_of(now_us, self.offered - self.latest)
    }

    /// Returns the estimated rate for a decayed count of requests.
    fn rate_of(&self, now_us: u64, requests: f64) -> f64 {
        let age_s = seconds_between(self.updated_us, now_us);
        let requests = requests * decay(age_s, OFFERED_TIME_S);
        let time_s = OFFERED_TIME_S * (1.0 - decay(self.known_s(now_us), OFFERED_TIME_S));
        let usual_per_s = self.usual_per_s(now_us);
        let rate_per_s = (requests + PRIOR_REQUESTS) / (time_s + PRIOR_REQUESTS / usual_per_s);
        match rate_per_s <= FLUCTUATION_MAX * usual_per_s {
            true => rate_per_s.min(usual_per_s),
            false => rate_per_s,
        }
    }

    /// Returns the mean rate since the first request, decaying by [`USUAL_TIME_S`].
    pub(super) fn usual_per_s(&self, now_us: u64) -> f64 {
        let age_s = seconds_between(self.updated_us, now_us);
        let requests = self.usual * decay(age_s, USUAL_TIME_S);
        let known_s = self.known_s(now_us).max(USUAL_TIME_MIN_S);
        let time_s = USUAL_TIME_S * (1.0 - decay(known_s, USUAL_TIME_S));
        requests.max(1.0) / time_s
    }

    fn known_s(&self, now_us: u64) -> f64 {
        seconds_between(self.since_us, now_us)
    }
}

fn seconds_between(from_us: u64, until_us: u64) -> f64 {
    until_us.saturating_sub(from_us) as f64 / 1_000_000.0
}

fn decay(age_s: f64, time_s: f64) -> f64 {
    (-age_s / time_s).exp()
}

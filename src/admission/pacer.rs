//! Paces the calls to a target that names a rate limit, as a token bucket.

/// The time for which unused tokens are kept, so that the rate is used up although calls do not
/// arrive evenly.
const BURST_S: f64 = 0.5;

/// The lowest rate, in calls per second. Only an answer can end a limit, so that even a target with a
/// limit of 0 gets a call at times.
const RATE_MIN_PER_S: f64 = 0.25;

/// The time in which the rate doubles after a limit was lifted, so that a target recovers gradually
/// and answers with and without a limit, one after the other, do not add up to no limit.
const RELEASE_DOUBLING_S: f64 = 1.0;

/// The lowest rate after a limit was lifted, and the rate at which calls are no longer paced.
const RELEASE_FROM_PER_S: f64 = 1.0;
const RELEASE_UNTIL_PER_S: f64 = 10_000.0;

/// The set point of the wait under a rate limit, in calls that wait, if that is the longer one.
const PACED_AIM_CALLS: f64 = 2.0;

/// The maximum wait that counts in the pressure under a rate limit, as a multiple of the set point.
const PACED_WAIT_MAX: f64 = 2.5;

/// The tolerance of a whole token for rounding errors.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// The rate at which tokens arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Pace {
    /// Calls are not paced.
    #[default]
    Unlimited,
    /// The target accepts this rate.
    Limited { per_s: f64 },
    /// The target accepted the rate until a time and names no limit since.
    Released { from_per_s: f64, since_us: u64 },
}

/// Decides when the next call may be sent to the target.
#[derive(Default)]
pub(super) struct Pacer {
    pace: Pace,
    tokens: f64,
    updated_us: u64,
}

impl Pacer {
    /// Limits the rate from now on. A first limit begins without a token.
    pub(super) fn limit(&mut self, now_us: u64, per_s: f64) {
        self.advance(now_us);
        let per_s = per_s.max(RATE_MIN_PER_S);
        self.tokens = match self.pace {
            Pace::Unlimited => 0.0,
            _ => self.tokens.min(burst(per_s)),
        };
        self.pace = Pace::Limited { per_s };
        self.updated_us = now_us;
    }

    /// Raises the rate gradually from now on; has no effect without a limit.
    pub(super) fn release(&mut self, now_us: u64) {
        self.advance(now_us);
        if let Pace::Limited { per_s } = self.pace {
            self.pace = Pace::Released {
                from_per_s: per_s.max(RELEASE_FROM_PER_S),
                since_us: now_us,
            };
        }
    }

    /// Stops pacing at once, for a target that never named a limit.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns whether a call may be sent now.
    pub(super) fn has_token(&self, now_us: u64) -> bool {
        self.wait_us(now_us, 0) == 0
    }

    /// Uses up a token.
    pub(super) fn take(&mut self, now_us: u64) {
        self.advance(now_us);
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Returns the time until a call may be sent, after a number of others.
    pub(super) fn wait_us(&self, now_us: u64, ahead: u32) -> u64 {
        let Some(per_s) = self.rate_per_s(now_us) else {
            return 0;
        };
        let missing = f64::from(ahead) + 1.0 - self.tokens_at(now_us);
        if missing <= TOKEN_TOLERANCE {
            return 0;
        }
        // The conversion saturates.
        (missing / per_s * 1_000_000.0).ceil() as u64
    }

    /// Returns the rate in calls per second; `None` if calls are not paced.
    pub(super) fn rate_per_s(&self, now_us: u64) -> Option<f64> {
        let per_s = match self.pace {
            Pace::Unlimited => return None,
            Pace::Limited { per_s } => per_s,
            Pace::Released {
                from_per_s,
                since_us,
            } => released_rate(from_per_s, now_us.saturating_sub(since_us)),
        };
        let is_released = matches!(self.pace, Pace::Released { .. });
        Some(per_s).filter(|per_s| !is_released || *per_s < RELEASE_UNTIL_PER_S)
    }

    /// Returns a wait as it counts in the pressure, whose set point is `aim_us`.
    ///
    /// Under a low rate limit a few calls that arrive together wait for long. Their wait counts in
    /// proportion to a higher set point and with a bound, so that the pressure does not oscillate.
    pub(super) fn pressure_wait_us(&self, now_us: u64, wait_us: u64, aim_us: u64) -> u64 {
        let Some(per_s) = self.rate_per_s(now_us) else {
            return wait_us;
        };
        let aim_us = aim_us as f64;
        let paced_aim_us = PACED_AIM_CALLS / per_s * 1_000_000.0;
        let comparable_us = wait_us as f64 * (aim_us / paced_aim_us).min(1.0);
        comparable_us.min(PACED_WAIT_MAX * aim_us) as u64
    }

    /// Returns the tokens at a time. While the rate rises, that of the last update counts.
    fn tokens_at(&self, now_us: u64) -> f64 {
        let (Some(per_s), Some(updated_per_s)) =
            (self.rate_per_s(now_us), self.rate_per_s(self.updated_us))
        else {
            return 0.0;
        };
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1_000_000.0;
        (self.tokens + elapsed_s * updated_per_s).min(burst(per_s))
    }

    fn advance(&mut self, now_us: u64) {
        self.tokens = self.tokens_at(now_us);
        self.updated_us = self.updated_us.max(now_us);
        if self.rate_per_s(now_us).is_none() {
            self.pace = Pace::Unlimited;
        }
    }
}

/// Returns the number of tokens that are kept at a rate.
fn burst(per_s: f64) -> f64 {
    (per_s * BURST_S).max(1.0)
}

fn released_rate(from_per_s: f64, elapsed_us: u64) -> f64 {
    let elapsed_s = elapsed_us as f64 / 1_000_000.0;
    from_per_s * 2.0_f64.powf(elapsed_s / RELEASE_DOUBLING_S)
}

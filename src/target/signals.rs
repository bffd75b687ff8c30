//! What a target says of itself in its answers: a rate limit, or that it is leaving.

use macro_rules_attribute::apply;

use crate::derives::value;

/// The number of parts into which a request per second is divided.
const PARTS: f64 = 1_000.0;

/// A rate of requests, exact to a thousandth of a request per second.
#[apply(value!)]
pub struct RequestRate {
    milli_per_s: u32,
}

impl RequestRate {
    /// Parses a decimal number of requests per second, such as `8.4`; a number that is too great
    /// becomes the greatest rate. Returns `None` if the text is not a finite number of at least 0.
    pub fn parse(text: &str) -> Option<Self> {
        let per_s: f64 = text.trim().parse().ok()?;
        if !per_s.is_finite() || per_s.is_sign_negative() {
            return None;
        }
        // The conversion saturates.
        let milli_per_s = (per_s * PARTS) as u32;
        Some(Self { milli_per_s })
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / PARTS
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}", self.per_s())
    }
}

/// What an answer says of the rate that the target accepts from all daemons together.
#[apply(value!)]
#[derive(Default)]
pub enum RateLimitSignal {
    /// Nothing can be concluded from the answer.
    #[default]
    Inconclusive,
    /// The target accepts this rate, until an answer says otherwise.
    Limited(RequestRate),
    /// The target names no limit at present.
    Unlimited,
    /// The target names a limit that cannot be read.
    Invalid,
}

impl RateLimitSignal {
    /// Reads the signal from the values of the header that names a limit, if there are any; of
    /// several limits the lowest counts. `None` stands for a value that is not visible ASCII.
    ///
    /// `is_conclusive` says whether an answer without the header means that there is no limit.
    pub fn read<'a>(
        values: impl Iterator<Item = Option<&'a str>>,
        is_conclusive: bool,
    ) -> RateLimitSignal {
        let mut lowest: Option<RequestRate> = None;
        let mut is_named = false;
        for value in values {
            is_named = true;
            let Some(rate) = value.and_then(RequestRate::parse) else {
                continue;
            };
            lowest = Some(lowest.map_or(rate, |lowest| lowest.min(rate)));
        }
        match lowest {
            Some(rate) => Self::Limited(rate),
            None if is_named => Self::Invalid,
            None if is_conclusive => Self::Unlimited,
            None => Self::Inconclusive,
        }
    }
}

/// What an answer of a target says of the target itself.
#[apply(value!)]
#[derive(Default)]
pub struct AnswerSignals {
    /// The rate that the target accepts.
    pub rate_limit: RateLimitSignal,
    /// Whether the target is leaving. An answer that does not say so takes nothing back.
    pub is_leaving: bool,
}

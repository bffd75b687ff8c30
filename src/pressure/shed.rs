//! The share of new requests that is shed at a given pressure, by priority.

use macro_rules_attribute::apply;

use super::PRESSURE_MAX;
use crate::derives::value;
use crate::fairness::NEUTRAL_PERMILLE;
use crate::ids::Priority;

/// The maximum share of a route's requests that is shed, so that no route is starved.
const SHARE_MAX: f64 = 0.95;

/// The pressure at which the shed share of requests of normal and lower priority would be 1. The
/// share grows linearly from 0 at pressure 0; [`SHARE_MAX`] caps it earlier.
const NORMAL_UNTIL: f64 = 0.85;

/// The pressures at which the shed share of high-priority requests is 0 and would be 1.
const HIGH_FROM: f64 = 0.5;
const HIGH_UNTIL: f64 = 0.9;

/// The pressure above which critical requests are shed too.
const CRITICAL_FROM: f64 = 0.75;

/// A request whose time left is below this share of the longest that was observed on its route
/// counts as a client's retry.
const RETRY_TIME_LEFT_PERCENT: u64 = 80;

/// The properties of a new request that decide whether it is shed.
#[apply(value!)]
pub struct ArrivingRequest {
    /// The priority that decides at which pressure it is shed, as in [`shed_priority`].
    pub priority: Priority,
    /// Whether the request looks like a client's retry, because of the time that it has left.
    pub is_client_retry: bool,
}

/// Returns the share of such requests that is shed at a pressure from 0 to 1.
///
/// Clients' retries are shed less often, with the square of the share, so that a client that was
/// refused is preferred while there is capacity.
pub fn shed_share(pressure: f64, request: ArrivingRequest) -> f64 {
    let (from, until) = match request.priority {
        Priority::Critical => (CRITICAL_FROM, PRESSURE_MAX),
        Priority::High => (HIGH_FROM, HIGH_UNTIL),
        Priority::Normal | Priority::Low | Priority::Background => (0.0, NORMAL_UNTIL),
    };
    let share = ((pressure - from) / (until - from)).clamp(0.0, SHARE_MAX);
    match request.is_client_retry {
        true => share * share,
        false => share,
    }
}

/// Returns the priority that decides at which pressure a request is shed, for the lowest priority in
/// use among requests with a key; `None` if requests carry none.
///
/// Requests of the lowest priority in use, or a lower one, are shed as those of normal priority.
/// Otherwise nothing would be shed before the pressure for high priority, where no request has a
/// lower one.
pub fn shed_priority(priority: Priority, lowest_in_use: Option<Priority>) -> Priority {
    match lowest_in_use {
        Some(lowest) if priority <= lowest => priority.min(Priority::Normal),
        _ => priority,
    }
}

/// Returns the share of such requests of an organisation that is shed: the admitted share of all
/// such requests is multiplied by `fair_permille`, the factor of the organisation in thousandths.
/// Nothing is shed where the pressure alone sheds nothing.
pub fn fair_shed_share(pressure: f64, request: ArrivingRequest, fair_permille: u16) -> f64 {
    let share = shed_share(pressure, request);
    if share == 0.0 || fair_permille == NEUTRAL_PERMILLE {
        return share;
    }
    let factor = f64::from(fair_permille) / f64::from(NEUTRAL_PERMILLE);
    (1.0 - (1.0 - share) * factor).clamp(0.0, SHARE_MAX)
}

/// What an entry daemon knew when it decided not to shed a request.
#[apply(value!)]
pub struct ShedBasis {
    /// The request.
    pub request: ArrivingRequest,
    /// The pressure on its route that replies had reported, in thousandths.
    pub pressure_permille: u16,
    /// The factor of the request's organisation, in thousandths; 1,000 if it has none.
    pub fair_permille: u16,
}

impl ShedBasis {
    /// Returns the share of such requests that the entry daemon sheds.
    pub fn shed_share(&self) -> f64 {
        let pressure = f64::from(self.pressure_permille) / 1_000.0;
        fair_shed_share(pressure, self.request, self.fair_permille)
    }
}

/// The difference of pressure from which on an entry daemon counts as not informed.
const OUTDATED_BY: f64 = 0.1;

/// The difference of an organisation's factor from which on an entry daemon counts as not informed.
const FACTOR_OUTDATED_BY_PERMILLE: u16 = 100;

/// Returns the share of such requests to shed beside the target if the entry daemon was not
/// informed of the present pressure or of the organisation's factor, `fair_permille` in
/// thousandths. Together with what the entry daemon shed, it is the share that is shed at the
/// present values.
///
/// The pressure travels with replies. Where requests wait so long that no reply comes in time, entry
/// daemons would otherwise not learn of it.
pub fn missed_share(pressure: f64, basis: ShedBasis, fair_permille: u16) -> f64 {
    let known_pressure = f64::from(basis.pressure_permille) / 1_000.0;
    let has_factor =
        fair_permille.saturating_add(FACTOR_OUTDATED_BY_PERMILLE) >= basis.fair_permille;
    if pressure < known_pressure + OUTDATED_BY && has_factor {
        return 0.0;
    }
    let shed_before = basis.shed_share();
    let missed = fair_shed_share(pressure, basis.request, fair_permille) - shed_before;
    (missed / (1.0 - shed_before)).max(0.0)
}

/// Returns whether a request has clearly less time left than a first attempt would have.
pub(super) fn is_client_retry(time_left_ms: u32, longest_ms: u32) -> bool {
    u64::from(time_left_ms) * 100 < u64::from(longest_ms) * RETRY_TIME_LEFT_PERCENT
}

//! Rate-limited log lines for the decisions on requests.

use std::sync::Mutex;

use super::lock;
use crate::decision::Decision;
use crate::ids::OrganisationName;

/// The maximum number of lines per second for decisions that let a request proceed, and for
/// requests that succeeded.
const ORDINARY_LINES_PER_S: u32 = 60;

/// The maximum number of lines per second for refusals and failures.
const FAILURE_LINES_PER_S: u32 = 200;

const SECOND_US: u64 = 1_000_000;

/// The lines that were written and left out in the current second.
#[derive(Default)]
struct LineCounts {
    second: u64,
    ordinary: u32,
    failures: u32,
    left_out: u32,
}

/// Writes a line for each decision up to the limits per second and counts the lines left out.
#[derive(Default)]
pub(super) struct DecisionLog {
    counts: Mutex<LineCounts>,
}

impl DecisionLog {
    pub(super) fn write(&self, now_us: u64, decision: &Decision) {
        let (is_written, left_out) = lock(&self.counts).count_line(now_us, decision.is_ordinary);
        if left_out > 0 {
            log::info!(target: "dragonflylug", left_out; "decision log lines left out because of the rate limit");
        }
        if is_written {
            write_line(decision);
        }
    }
}

impl LineCounts {
    /// Counts a line and returns whether to write it. The first call in a new second also returns
    /// the number of lines left out in the last second that had decisions; other calls return 0.
    fn count_line(&mut self, now_us: u64, is_ordinary: bool) -> (bool, u32) {
        let second = now_us / SECOND_US;
        let mut left_out = 0;
        if second != self.second {
            left_out = self.left_out;
            *self = Self {
                second,
                ..Self::default()
            };
        }
        let (lines, lines_max) = match is_ordinary {
            true => (&mut self.ordinary, ORDINARY_LINES_PER_S),
            false => (&mut self.failures, FAILURE_LINES_PER_S),
        };
        if *lines >= lines_max {
            self.left_out += 1;
            return (false, left_out);
        }
        *lines += 1;
        (true, left_out)
    }
}

fn write_line(decision: &Decision) {
    let subject = &decision.subject;
    let inputs = &decision.inputs;
    let organisation = subject.organisation.as_ref();
    let member = inputs.member.map_or(0, |member| member.0);
    log::info!(
        target: "dragonflylug",
        trace_id = subject.trace_id.as_str(),
        service = subject.service.as_str(),
        organisation = organisation.map_or("", OrganisationName::as_str),
        outcome = decision.outcome,
        member:% = format_args!("{member:016x}"),
        left_ms = inputs.left_ms,
        elapsed_ms = inputs.elapsed_ms,
        status = inputs.status,
        queued = inputs.queued,
        in_flight = inputs.in_flight,
        limit = inputs.limit,
        pressure_permille = inputs.pressure_permille,
        config_version = inputs.config_version;
        "{}", decision.step.name()
    );
}

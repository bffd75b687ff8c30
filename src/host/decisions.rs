//! Log lines for decisions on requests, bounded in number.

use std::sync::Mutex;

use super::lock;
use crate::decision::Decision;

/// The lines of a second for requests that go on or ended well.
const ORDINARY_PER_S: u32 = 60;

/// The lines of a second for refusals and failures.
const FAILURES_PER_S: u32 = 200;

const SECOND_US: u64 = 1_000_000;

/// The lines of the present second.
#[derive(Default)]
struct Count {
    second: u64,
    ordinary: u32,
    failures: u32,
    left_out: u32,
}

/// Writes a line for each decision within the bound, and counts those that are left out.
#[derive(Default)]
pub(super) struct DecisionLog {
    count: Mutex<Count>,
}

impl DecisionLog {
    pub(super) fn write(&self, now_us: u64, decision: &Decision) {
        let (is_written, left_out) = lock(&self.count).take(now_us, decision.is_ordinary);
        if left_out > 0 {
            log::info!(target: "dragonflylug", left_out; "decisions without a line");
        }
        if is_written {
            write_line(decision);
        }
    }
}

impl Count {
    /// Returns whether a line is written, and the lines that the second before left out.
    fn take(&mut self, now_us: u64, is_ordinary: bool) -> (bool, u32) {
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
            true => (&mut self.ordinary, ORDINARY_PER_S),
            false => (&mut self.failures, FAILURES_PER_S),
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
    let facts = &decision.inputs;
    let member = facts.member.map_or(0, |member| member.0);
    log::info!(
        target: "dragonflylug",
        trace_id = decision.trace_id.as_str(),
        service = decision.service.as_str(),
        outcome = decision.outcome,
        member:% = format_args!("{member:016x}"),
        left_ms = facts.left_ms,
        elapsed_ms = facts.elapsed_ms,
        status = facts.status,
        queued = facts.queued,
        in_flight = facts.in_flight,
        limit = facts.limit,
        pressure_permille = facts.pressure_permille,
        config_version = facts.config_version;
        "{}", decision.step.name()
    );
}
